//! The end of the work of a stopping process.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::StopPlan;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn work_must_begin_early_enough_to_end() {
    let now = Instant::now();
    let plan = StopPlan::new(now + 5 * SECOND);
    assert!(plan.can_end(now, 4 * SECOND));
    assert!(!plan.can_end(now, 5 * SECOND));
    assert!(!plan.can_end(now, 6 * SECOND));
    assert!(plan.can_end(now + 4 * SECOND, Duration::ZERO));
    assert!(!plan.can_end(now + 5 * SECOND, Duration::ZERO));
    assert_eq!(plan.time_to_begin(now + SECOND, 3 * SECOND), SECOND);
    assert_eq!(plan.time_to_begin(now + 9 * SECOND, SECOND), Duration::ZERO);
}

#[test]
fn earlier_end_counts() {
    let now = Instant::now();
    let plans = [3, 2].map(|seconds| StopPlan::new(now + seconds * SECOND));
    assert_eq!(plans[0].earlier(plans[1]), plans[1]);
    assert_eq!(plans[1].earlier(plans[0]), plans[1]);
}

#[test]
fn work_ends_before_a_reclaim() {
    let now = Instant::now();
    let plan = |millis| StopPlan::before_reclaim(now, Duration::from_millis(millis));
    assert_eq!(plan(10_000), StopPlan::new(now + 9 * SECOND));
    assert_eq!(plan(1_500), StopPlan::new(now + SECOND));
    assert_eq!(plan(0), StopPlan::new(now));
}
