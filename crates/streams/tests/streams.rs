//! Streams, evacuation plans, learned lengths and suspicion.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_streams::Broken;
use lycheehaven_streams::Candidate;
use lycheehaven_streams::EvacuationInput;
use lycheehaven_streams::Event;
use lycheehaven_streams::Expectation;
use lycheehaven_streams::Loss;
use lycheehaven_streams::Move;
use lycheehaven_streams::Stream;
use lycheehaven_streams::Suspicion;
use lycheehaven_streams::Verdict;
use lycheehaven_streams::plan_evacuation;
use lycheehaven_types::Digest;
use lycheehaven_types::Incarnation;

fn token(attempt: u32, offset: usize) -> Event {
    Event::Token {
        attempt,
        offset,
        text: format!("t{offset} "),
    }
}

#[test]
fn late_and_repeated_tokens_are_dropped_and_gaps_noticed() {
    let mut stream = Stream::new();
    stream.handle(Event::Begin("engine-1".into()));
    assert_eq!(stream.handle(token(1, 0)), Verdict::Applied);
    assert_eq!(stream.handle(token(1, 0)), Verdict::Stale);
    assert_eq!(stream.handle(token(1, 2)), Verdict::Gap);
    stream.handle(Event::Break {
        attempt: 1,
        cause: Broken::Cut,
    });
    stream.handle(Event::Begin("engine-2".into()));
    assert_eq!(stream.handle(token(1, 1)), Verdict::Stale);
    assert_eq!(stream.handle(token(2, 1)), Verdict::Applied);
    let late = Event::Finish {
        attempt: 1,
        reason: "stop".into(),
    };
    assert_eq!(stream.handle(late), Verdict::Stale);
    assert_eq!(stream.tokens().text(), "t0 t1 ");
}

#[test]
fn plan_finishes_what_fits_and_moves_the_largest_first() {
    let input = EvacuationInput {
        left: Duration::from_secs(1),
        step: Duration::from_millis(10),
        link_rate: 10.0,
        links: 1,
    };
    let candidate = |index, context, rest| Candidate {
        index,
        context,
        rest,
    };
    let streams = [
        candidate(0, 100, 50),
        candidate(1, 2000, 500),
        candidate(2, 4000, 500),
        candidate(3, 3500, 500),
    ];
    let plan = plan_evacuation(input, streams);
    let expected = [
        (2, Move::Export),
        (1, Move::Export),
        (3, Move::Resume),
        (0, Move::Finish),
    ];
    assert_eq!(plan, expected);
}

#[test]
fn learned_length_is_far_below_what_is_declared() {
    let mut expectation = Expectation::new();
    assert_eq!(expectation.length(0.7, 0, 4000), 4000);
    (0..200).for_each(|n| expectation.observe(20 + n % 40));
    assert!(expectation.length(0.7, 0, 4000) <= 64);
    assert!(expectation.length(0.7, 100, 4000) >= 100);
}

fn loss(index: u64) -> Loss {
    Loss {
        vm: format!("engine-{index}").into(),
        incarnation: Incarnation(index),
    }
}

#[test]
fn second_loss_at_the_same_place_refuses() {
    let now = Instant::now();
    let mut suspicion = Suspicion::default();
    suspicion.record(Digest(1), &loss(1), true, now);
    suspicion.record(Digest(1), &loss(1), true, now);
    assert!(
        !suspicion.is_refused(Digest(1), now),
        "one upstream counts once"
    );
    let later = now + Duration::from_secs(5);
    suspicion.record(Digest(1), &loss(2), true, later);
    assert!(suspicion.is_refused(Digest(1), later));
    suspicion.acquit(Digest(1));
    assert!(suspicion.is_refused(Digest(1), later), "a verdict stands");
}

#[test]
fn late_losses_and_waves_spare_the_innocent() {
    let now = Instant::now();
    let mut suspicion = Suspicion::default();
    suspicion.record(Digest(1), &loss(1), true, now);
    let later = now + Duration::from_secs(5);
    suspicion.record(Digest(1), &loss(2), false, later);
    assert!(!suspicion.is_refused(Digest(1), later));
    let wave = later + Duration::from_secs(60);
    for index in 10..20 {
        suspicion.record(Digest(2), &loss(index), true, wave);
    }
    assert!(
        suspicion
            .losses(Digest(2))
            .is_none_or(|losses| losses.len() <= 2)
    );
}
