//! Tests of streams, evacuation plans, length estimation and crash tracking.

use std::time::Duration;

use lycheehaven_streams::EvacuationAction;
use lycheehaven_streams::EvacuationCandidate;
use lycheehaven_streams::EvacuationInput;
use lycheehaven_streams::Event;
use lycheehaven_streams::EventOutcome;
use lycheehaven_streams::InterruptCause;
use lycheehaven_streams::LengthEstimator;
use lycheehaven_streams::Stream;
use lycheehaven_streams::plan_evacuation;

fn begin(upstream: &str, software: &str) -> Event {
    Event::Begin {
        upstream: upstream.into(),
        software: software.into(),
    }
}

fn token(attempt: u32, offset: usize) -> Event {
    Event::Token {
        attempt,
        offset,
        text: format!("t{offset} "),
    }
}

fn finish(attempt: u32, offset: usize) -> Event {
    Event::Finish {
        attempt,
        offset,
        reason: "stop".into(),
    }
}

#[test]
fn answer_that_ends_after_tokens_that_are_missing_is_not_complete() {
    let mut stream = Stream::new();
    stream.handle(begin("engine-1", "v1"));
    assert_eq!(stream.handle(token(1, 0)), EventOutcome::Applied);
    assert_eq!(stream.handle(finish(1, 2)), EventOutcome::Gap);
    assert!(!stream.is_over());
    assert_eq!(stream.handle(finish(1, 1)), EventOutcome::Applied);
    assert!(stream.is_over());
}

#[test]
fn stale_and_repeated_tokens_are_dropped_and_gaps_reported() {
    let mut stream = Stream::new();
    stream.handle(begin("engine-1", "v1"));
    assert_eq!(stream.handle(token(1, 0)), EventOutcome::Applied);
    assert_eq!(stream.handle(token(1, 0)), EventOutcome::Stale);
    assert_eq!(stream.handle(token(1, 2)), EventOutcome::Gap);
    stream.handle(Event::Interrupt {
        attempt: 1,
        cause: InterruptCause::ConnectionLost,
    });
    stream.handle(begin("engine-2", "v1"));
    assert_eq!(stream.handle(token(1, 1)), EventOutcome::Stale);
    assert_eq!(stream.handle(token(2, 1)), EventOutcome::Applied);
    assert_eq!(stream.handle(finish(1, 2)), EventOutcome::Stale);
    assert_eq!(stream.tokens().text(), "t0 t1 ");
}

#[test]
fn plan_finishes_streams_that_fit_and_exports_the_largest_first() {
    let input = EvacuationInput {
        time_left: Duration::from_secs(1),
        step_time: Duration::from_millis(10),
        link_rate: 10.0,
        parallel_transfers: 1,
    };
    let candidate = |index, context_tokens, remaining_tokens| EvacuationCandidate {
        index,
        context_tokens,
        remaining_tokens,
    };
    let streams = [
        candidate(0, 100, 50),
        candidate(1, 2000, 500),
        candidate(2, 4000, 500),
        candidate(3, 3500, 500),
    ];
    let plan = plan_evacuation(input, streams);
    let expected = [
        (2, EvacuationAction::Export),
        (1, EvacuationAction::Export),
        (3, EvacuationAction::Resume),
        (0, EvacuationAction::Finish),
    ];
    assert_eq!(plan, expected);
}

#[test]
fn estimate_follows_observed_lengths_instead_of_the_declared_limit() {
    let mut estimator = LengthEstimator::new();
    assert_eq!(estimator.estimate(0.7, 0, 4000), 4000);
    (0..200).for_each(|n| estimator.observe(20 + n % 40));
    assert!(estimator.estimate(0.7, 0, 4000) <= 64);
    assert!(estimator.estimate(0.7, 100, 4000) >= 100);
}
