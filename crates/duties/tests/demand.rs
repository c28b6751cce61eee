//! Engine time that callers request.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_duties::Demand;
use lycheehaven_types::Name;

#[test]
fn engine_that_limits_its_requests_counts_for_what_they_keep_busy() {
    let mut demand = Demand::default();
    let service: Name = "llm".into();
    let now = Instant::now();
    assert_eq!(
        demand.usable_part(&service, 0.0, now),
        1.0,
        "nothing is known"
    );
    for _ in 0..10 {
        demand.add_request(&service, 120.0, now);
        // What a stream generates later is not another request.
        demand.add_work(&service, 50.0, now);
        demand.add_work(&service, 30.0, now);
    }
    let mut part = |per_second| demand.usable_part(&service, per_second, now);
    assert!((part(1.0) - 0.2).abs() < 1e-9);
    assert!((part(4.0) - 0.8).abs() < 1e-9);
    assert_eq!(part(100.0), 1.0);
    assert_eq!(part(0.0), 0.0);
    let later = now + Duration::from_secs(60);
    assert_eq!(demand.usable_part(&service, 0.0, later), 1.0);
}
