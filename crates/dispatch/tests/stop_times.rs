//! Tests of the instants of a planned stop.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_dispatch::StopTimes;
use proptest::prelude::*;

#[test]
fn work_ends_before_the_exit_so_that_open_requests_get_an_answer() {
    let requested = Instant::now();
    let stop = StopTimes::new(requested, Duration::from_secs(8));
    assert_eq!(stop.work_end() - requested, Duration::from_secs(7));
    assert_eq!(stop.stream_end() - requested, Duration::from_millis(7600));
    assert_eq!(stop.exit() - requested, Duration::from_millis(7800));
}

#[test]
fn request_that_cannot_end_before_the_work_must_does_not_begin() {
    let requested = Instant::now();
    let stop = StopTimes::new(requested, Duration::from_secs(8));
    let far = requested + Duration::from_secs(60);
    let at = |millis| requested + Duration::from_millis(millis);
    let work = Duration::from_secs(3);
    assert!(stop.may_begin(work, far, at(3900)));
    assert!(!stop.may_begin(work, far, at(4000)));
    assert!(
        stop.may_begin(work, at(6900), at(4000)),
        "its deadline ends it"
    );
    assert!(!stop.may_begin(Duration::MAX, far, requested));
    assert!(!stop.may_begin(Duration::ZERO, far, at(7000)));
}

proptest! {
    #[test]
    fn margins_take_a_sixth_of_the_time_to_stop_at_most(grace_ms in 0_u64..3_600_000) {
        let requested = Instant::now();
        let grace = Duration::from_millis(grace_ms);
        let stop = StopTimes::new(requested, grace);
        prop_assert!(requested <= stop.work_end());
        prop_assert!(stop.work_end() <= stop.stream_end());
        prop_assert!(stop.stream_end() <= stop.exit());
        prop_assert!(stop.exit() <= requested + grace);
        prop_assert!(requested + grace - stop.work_end() <= grace / 6);
        prop_assert!(grace_ms < 40 || stop.stream_end() < stop.exit());
    }

    #[test]
    fn request_may_begin_exactly_until_its_latest_start(
        grace_ms in 0_u64..20_000,
        at_ms in 0_u64..20_000,
        expected_ms in 0_u64..20_000,
    ) {
        let requested = Instant::now();
        let stop = StopTimes::new(requested, Duration::from_millis(grace_ms));
        let now = requested + Duration::from_millis(at_ms);
        let expected = Duration::from_millis(expected_ms);
        let far = requested + Duration::from_secs(60);
        let may_begin = stop.may_begin(expected, far, now);
        prop_assert_eq!(may_begin, now + expected < stop.work_end());
        prop_assert_eq!(may_begin, !stop.until_latest_start(expected, now).is_zero());
    }
}
