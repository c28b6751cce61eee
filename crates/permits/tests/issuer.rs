//! How many permits an issuer hands out, and when callers return.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::UpstreamKey;
use lycheehaven_permits::Issuer;
use lycheehaven_permits::Returns;
use lycheehaven_permits::issuer;
use lycheehaven_permits::reachable_share;
use lycheehaven_types::Name;
use lycheehaven_types::RequestRate;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const WINDOW: Duration = Duration::from_secs(4);

fn key(id: &str) -> UpstreamKey {
    UpstreamKey {
        id: id.into(),
        incarnation: 1,
    }
}

fn most_in_window(times: &[Instant]) -> usize {
    let count = |from: &Instant| {
        let window = times.iter().filter(|at| *at >= from);
        window.filter(|at| **at < *from + WINDOW).count()
    };
    times.iter().map(count).max().unwrap_or(0)
}

/// Asks at random times, on average `asks` times a second, with pauses, and returns when
/// permits were issued.
fn issue_at_random(per_second: f64, asks: f64, seed: u64, length: Duration) -> Vec<Instant> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut issuer = Issuer::default();
    let start = Instant::now();
    let mut now = start;
    let mut issued = Vec::new();
    while now < start + length {
        let gap = -rng.random::<f64>().ln() / asks;
        let pause = if rng.random_bool(0.002) { 6.0 } else { 0.0 };
        now += Duration::from_secs_f64(gap + pause);
        let rate = RequestRate::new(per_second);
        let draw = rng.random();
        if issuer.issue(&key("i-1"), rate, 1.0, draw, now).is_ok() {
            issued.push(now);
        }
    }
    issued
}

#[test]
fn window_holds_no_more_than_the_rate_and_one_request() {
    for (seed, per_second) in [0.3, 1.0, 2.0, 7.5, 50.0, 400.0].into_iter().enumerate() {
        let asks = 20.0 + 3.0 * per_second;
        let length = Duration::from_secs(60);
        let issued = issue_at_random(per_second, asks, seed as u64, length);
        let most = most_in_window(&issued) as f64;
        let allowed = per_second * WINDOW.as_secs_f64() + 1.0;
        assert!(most <= allowed, "{per_second}: {most} of {allowed}");
    }
}

#[test]
fn most_of_the_rate_is_used_while_there_is_demand() {
    for per_second in [1.0, 2.0, 7.5, 50.0, 400.0] {
        let mut issuer = Issuer::default();
        let start = Instant::now();
        let asks = (0..20_000).map(|millis| start + Duration::from_millis(millis));
        let rate = RequestRate::new(per_second);
        let issued = asks
            .filter(|now| issuer.issue(&key("i-1"), rate, 1.0, 0.0, *now).is_ok())
            .count();
        let used = issued as f64 / (20.0 * per_second);
        assert!((0.8..=1.0).contains(&used), "{per_second}: {used}");
    }
}

#[test]
fn upstream_that_takes_nothing_is_tried_rarely() {
    let issued = issue_at_random(0.0, 50.0, 1, Duration::from_secs(120));
    assert!(most_in_window(&issued) <= 2);
    assert!(issued.len() >= 20, "{}", issued.len());
}

#[test]
fn smaller_rate_holds_at_once() {
    let mut issuer = Issuer::default();
    let start = Instant::now();
    let mut issue = |per_second, millis| {
        let now = start + Duration::from_millis(millis);
        issuer.issue(&key("i-1"), RequestRate::new(per_second), 1.0, 0.0, now)
    };
    let _ = issue(500.0, 0);
    assert!(issue(500.0, 5000).is_ok());
    let issued = (5001..9001).filter(|at| issue(1.0, *at).is_ok()).count();
    assert!(issued <= 5, "{issued} in a window");
}

#[test]
fn extreme_rates_neither_panic_nor_wait_for_ever() {
    let mut issuer = Issuer::default();
    let now = Instant::now();
    let rates = [
        f64::NAN,
        -1.0,
        0.0,
        f64::MIN_POSITIVE,
        1e-300,
        1e300,
        f64::INFINITY,
    ];
    for rate in rates.map(RequestRate::new) {
        for share in [0.0001, 1.0] {
            if let Err(wait) = issuer.issue(&key("i-1"), rate, share, 1.0, now) {
                assert!(wait < Duration::from_secs(24 * 3600), "{rate:?}: {wait:?}");
            }
        }
    }
}

#[test]
fn parts_of_a_partitioned_fleet_add_up_to_less_than_the_allowed_excess() {
    for registered in [1, 2, 7, 40, 295, 420] {
        for first in 0..=registered {
            let parts = [first, registered - first];
            let shares = parts
                .iter()
                .filter(|part| **part > 0)
                .map(|part| reachable_share(*part, registered));
            assert!(shares.sum::<f64>() <= 1.25 + 1e-9);
        }
        assert_eq!(reachable_share(registered, registered), 1.0);
    }
}

#[test]
fn issuer_is_a_live_entry_of_the_domain_if_there_is_one() {
    let names: Vec<Name> = ["a", "b", "c", "d"].map(Name::from).to_vec();
    let all: Vec<&Name> = names.iter().collect();
    let domain = &all[2..];
    let chosen = issuer(&key("i-1"), domain, &all).expect("there are live entries");
    assert!(domain.contains(&chosen));
    assert!(issuer(&key("i-1"), &[], &all).is_some());
    assert_eq!(issuer(&key("i-1"), &[], &[]), None);
    let mut used: Vec<&Name> = (0..40)
        .filter_map(|index| issuer(&key(&format!("i-{index}")), &[], &all))
        .collect();
    used.sort_unstable();
    used.dedup();
    assert_eq!(used.len(), 4, "upstreams have different issuers");
}

#[test]
fn callers_return_no_faster_than_the_limits_allow() {
    let mut returns = Returns::default();
    let now = Instant::now();
    let service: Name = "llm".into();
    let first = Duration::from_millis(300);
    let delays: Vec<Duration> = (0..5)
        .map(|_| returns.book(&service, 2.0, first, 0.5, now))
        .collect();
    assert_eq!(
        delays,
        [300, 800, 1300, 1800, 2300].map(Duration::from_millis)
    );
    for _ in 0..1000 {
        assert!(returns.book(&service, 2.0, first, 0.5, now) <= Duration::from_secs(45));
    }
    // Those without a place do not return together.
    let beyond = [0.0, 0.25, 1.0].map(|draw| returns.book(&service, 2.0, first, draw, now));
    assert_eq!(beyond, [30_000, 37_500, 60_000].map(Duration::from_millis));
    let later = now + Duration::from_secs(60);
    assert_eq!(returns.book(&service, 2.0, first, 0.5, later), first);
    for per_second in [0.0, f64::INFINITY] {
        returns.book(&service, per_second, first, 0.5, later);
    }
}
