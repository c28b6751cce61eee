//! Tests of how long requests are expected to take.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_dispatch::WorkTimes;
use lycheehaven_types::Name;

fn record(times: &mut WorkTimes, route: &str, millis: impl IntoIterator<Item = u64>) {
    let route = Name::from(route);
    for taken in millis {
        times.record(&route, Duration::from_millis(taken), Instant::now());
    }
}

fn expected_ms(times: &WorkTimes, route: &str) -> Option<u128> {
    let expected = times.expected(&Name::from(route));
    expected.map(|expected| expected.as_millis())
}

#[test]
fn nothing_is_expected_of_a_route_without_requests() {
    let mut times = WorkTimes::default();
    record(&mut times, "a", [100]);
    assert_eq!(expected_ms(&times, "b"), None);
    assert_eq!(expected_ms(&times, "a"), Some(100));
}

#[test]
fn one_long_request_among_many_does_not_make_all_look_long() {
    let mut times = WorkTimes::default();
    record(
        &mut times,
        "a",
        (0..32).map(|index| if index == 9 { 5000 } else { 100 }),
    );
    assert_eq!(expected_ms(&times, "a"), Some(100));
}

#[test]
fn some_long_requests_make_long_ones_expected() {
    let mut times = WorkTimes::default();
    record(
        &mut times,
        "a",
        (0..32).map(|index| if index % 10 == 0 { 5000 } else { 100 }),
    );
    assert_eq!(expected_ms(&times, "a"), Some(5000));
}

#[test]
fn times_of_long_ago_no_longer_count() {
    let mut times = WorkTimes::default();
    record(&mut times, "a", [5000; 100]);
    record(&mut times, "a", [100; 32]);
    assert_eq!(expected_ms(&times, "a"), Some(100));
}

#[test]
fn number_of_routes_is_bounded_and_the_newest_stay() {
    let mut times = WorkTimes::default();
    for index in 0..5000 {
        record(&mut times, &format!("r{index}"), [index]);
    }
    assert_eq!(times.route_count(), 1024);
    assert_eq!(expected_ms(&times, "r4999"), Some(4999));
}
