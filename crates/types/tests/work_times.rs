//! Tests of how long requests are expected to take.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::Name;
use lycheehaven_types::WorkTimes;

fn record(times: &mut WorkTimes<Name>, route: &str, millis: impl IntoIterator<Item = u64>) {
    let route = Name::from(route);
    for taken in millis {
        times.record(&route, Duration::from_millis(taken), Instant::now());
    }
}

/// Returns a time with the slack that is expected besides.
fn slack(millis: u64) -> u64 {
    millis * 9 / 8
}

/// Time that is assumed where nothing is known.
const ASSUMED_MS: u64 = 700;

fn expected_at(times: &WorkTimes<Name>, route: &str, now: Instant) -> u64 {
    let assumed = Duration::from_millis(ASSUMED_MS);
    let expected = times.expected(&Name::from(route), assumed, now);
    expected.as_millis() as u64
}

fn expected_ms(times: &WorkTimes<Name>, route: &str) -> u64 {
    expected_at(times, route, Instant::now())
}

#[test]
fn nothing_but_the_assumed_time_is_expected_of_a_route_without_requests() {
    let mut times = WorkTimes::default();
    record(&mut times, "a", [100]);
    assert_eq!(expected_ms(&times, "b"), ASSUMED_MS);
    assert_eq!(expected_ms(&times, "a"), slack(100));
}

#[test]
fn one_long_request_among_many_does_not_make_all_look_long() {
    let mut times = WorkTimes::default();
    record(
        &mut times,
        "a",
        (0..32).map(|index| if index == 9 { 5000 } else { 100 }),
    );
    assert_eq!(expected_ms(&times, "a"), slack(100));
}

#[test]
fn some_long_requests_make_long_ones_expected() {
    let mut times = WorkTimes::default();
    record(
        &mut times,
        "a",
        (0..32).map(|index| if index % 10 == 0 { 5000 } else { 100 }),
    );
    assert_eq!(expected_ms(&times, "a"), slack(5000));
}

#[test]
fn times_of_long_ago_no_longer_count() {
    let mut times = WorkTimes::default();
    record(&mut times, "a", [5000; 100]);
    record(&mut times, "a", [100; 32]);
    assert_eq!(expected_ms(&times, "a"), slack(100));
}

#[test]
fn number_of_routes_is_bounded_and_the_newest_stay() {
    let mut times = WorkTimes::default();
    for index in 0..5000 {
        record(&mut times, &format!("r{index}"), [index]);
    }
    assert_eq!(times.kind_count(), 1024);
    assert_eq!(expected_ms(&times, "r4999"), slack(4999));
}

#[test]
fn run_that_does_not_end_makes_long_ones_expected_until_an_answer_is_whole() {
    let began = Instant::now();
    let route = Name::from("a");
    let mut times = WorkTimes::default();
    let first = times.begin(&route, began);
    let at = |millis| began + Duration::from_millis(millis);
    let second = times.begin(&route, at(2000));
    assert_eq!(expected_at(&times, "a", at(300)), ASSUMED_MS);
    assert_eq!(expected_at(&times, "a", at(4000)), 6000);
    times.end(&route, first);
    assert_eq!(expected_at(&times, "a", at(4000)), 3000);
    times.record(&route, Duration::from_millis(50), at(4000));
    assert_eq!(expected_at(&times, "a", at(4000)), slack(50));
    times.end(&route, second);
    assert_eq!(expected_at(&times, "a", at(9000)), slack(50));
}

#[test]
fn run_whose_route_is_forgotten_ends_without_a_trace() {
    let mut times = WorkTimes::default();
    let route = Name::from("a");
    let run = times.begin(&route, Instant::now());
    for index in 0..1024 {
        record(&mut times, &format!("r{index}"), [index]);
    }
    times.end(&route, run);
    assert_eq!(times.kind_count(), 1024);
    assert_eq!(expected_ms(&times, "a"), ASSUMED_MS);
}
