//! Tests of the pauses that upstreams ask for, and of the return of callers.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::UpstreamKey;
use lycheehaven_dispatch::Pauses;
use lycheehaven_types::MAX_PAUSE;
use proptest::prelude::*;

fn key(id: &str) -> UpstreamKey {
    UpstreamKey {
        id: id.into(),
        incarnation: 1,
    }
}

#[test]
fn pause_ends_no_earlier_than_asked_for_before() {
    let now = Instant::now();
    let mut pauses = Pauses::default();
    let upstream = key("i-1");
    pauses.record(&upstream, Duration::from_secs(3), now);
    let shorter = pauses.record(&upstream, Duration::from_secs(1), now);
    assert_eq!(shorter, None);
    let later = now + Duration::from_millis(2900);
    assert!(pauses.is_paused(&upstream, later));
    assert!(!pauses.is_paused(&upstream, now + Duration::from_secs(3)));
    assert!(!pauses.is_paused(&key("i-2"), now));
}

#[test]
fn pause_of_no_length_is_none() {
    let now = Instant::now();
    let mut pauses = Pauses::default();
    assert_eq!(pauses.record(&key("i-1"), Duration::ZERO, now), None);
    assert_eq!(pauses.count(now), 0);
}

#[test]
fn restarted_upstream_does_not_pause() {
    let now = Instant::now();
    let mut pauses = Pauses::default();
    pauses.record(&key("i-1"), Duration::from_secs(60), now);
    let restarted = UpstreamKey {
        incarnation: 2,
        ..key("i-1")
    };
    assert!(!pauses.is_paused(&restarted, now));
}

#[test]
fn pause_is_limited() {
    let now = Instant::now();
    let mut pauses = Pauses::default();
    let pause = pauses.record(&key("i-1"), Duration::MAX, now);
    let pause = pause.expect("the pause is new");
    assert_eq!(pause.remaining(now), MAX_PAUSE);
}

/// Time that the load of the test is counted by.
const STEP: Duration = Duration::from_millis(100);

/// New callers in each step.
const CALLERS: usize = 20;

proptest! {
    /// All engines of a service pause for the same time under a steady load. Callers that
    /// are refused return when they are told to.
    #[test]
    fn callers_do_not_return_together(
        pause_steps in 3..50_usize,
        draws in prop::collection::vec(0.0..1.0_f64, 50 * CALLERS),
    ) {
        let began = Instant::now();
        let length = STEP * pause_steps as u32;
        let mut pauses = Pauses::default();
        let engines = [key("i-1"), key("i-2")];
        for engine in &engines {
            pauses.record(engine, length, began);
        }
        let mut returns = vec![0_usize; 100];
        let callers = pause_steps * CALLERS;
        for (caller, draw) in draws.into_iter().take(callers).enumerate() {
            let now = began + length.mul_f64(caller as f64 / callers as f64);
            let pause = pauses
                .first_to_end(engines.iter(), now)
                .expect("all engines pause");
            let delay = pause.return_delay(draw, now);
            prop_assert!(now + delay >= began + length, "returns within the pause");
            let step = (now + delay - began).as_millis() / STEP.as_millis();
            returns[step as usize] += 1;
        }
        // With the new callers of each step, at most three times the steady load.
        let most = returns.iter().max().copied().unwrap_or(0);
        prop_assert!(most <= 2 * CALLERS + CALLERS / 2, "{returns:?}");
    }
}
