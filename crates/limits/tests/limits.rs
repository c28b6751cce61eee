//! Tests of the division of limits among entries and of admission.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_config::Workspace;
use lycheehaven_limits::DemandTracker;
use lycheehaven_limits::Limiter;
use lycheehaven_limits::Rejection;
use lycheehaven_limits::Topology;
use lycheehaven_types::Name;

fn limits(share: f64) -> Workspace {
    Workspace {
        keys: Vec::new(),
        rate: 1e6,
        tokens: 1e6,
        concurrent: 1e6,
        share,
    }
}

fn topology(alive: usize, connected: bool) -> Topology {
    Topology {
        known: 7,
        alive,
        domain_known: 2,
        connected,
    }
}

/// The fractions of all entries add up to 1 while all entries are connected.
#[test]
fn fractions_follow_demand_and_add_up() {
    let now = Instant::now();
    let workspace: Name = "riigi".into();
    let demands = [90, 0, 0, 30, 0, 0, 0];
    let mut sum = 0.0;
    for index in 0..7 {
        let mut tracker = DemandTracker::default();
        (0..demands[index]).for_each(|_| tracker.record_request(&workspace, now));
        for (other, demand) in demands
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != index)
        {
            let name = format!("entry-{other}").into();
            tracker.update_peer(&name, &workspace, f64::from(*demand) / 3.0, now);
        }
        sum += tracker.limit_fraction(&workspace, topology(7, true), now);
    }
    assert!((sum - 1.0).abs() < 0.01, "fractions add up to {sum}");
}

#[test]
fn isolated_domain_uses_at_most_its_fixed_fraction() {
    let now = Instant::now();
    let workspace: Name = "riigi".into();
    let mut sum = 0.0;
    for index in 0..2 {
        let mut tracker = DemandTracker::default();
        (0..50).for_each(|_| tracker.record_request(&workspace, now));
        tracker.update_peer(
            &format!("entry-{}", 1 - index).into(),
            &workspace,
            50.0 / 3.0,
            now,
        );
        sum += tracker.limit_fraction(&workspace, topology(2, false), now);
    }
    assert!(sum <= 2.0 / 7.0 + 0.01, "{sum}");
}

/// A workspace that floods the entry leaves room for one that arrives later.
#[test]
fn contended_entry_keeps_room_for_other_workspaces() {
    let now = Instant::now();
    let mut limiter = Limiter::new(100);
    let (heavy, light): (Name, Name) = ("heavy".into(), "light".into());
    let light_permit = limiter.admit(&light, &limits(1.0), 1.0, 1.0, now);
    assert!(light_permit.is_ok());
    let admitted = (0..1000)
        .filter(|_| limiter.admit(&heavy, &limits(1.0), 1.0, 1.0, now).is_ok())
        .count();
    assert!((50..=75).contains(&admitted), "{admitted}");
    let admitted = (0..20)
        .filter(|_| limiter.admit(&light, &limits(1.0), 1.0, 1.0, now).is_ok())
        .count();
    assert_eq!(admitted, 20);
}

#[test]
fn rate_is_enforced_and_rejections_return_the_wait() {
    let start = Instant::now();
    let mut limiter = Limiter::new(1000);
    let workspace: Name = "riigi".into();
    let limits = Workspace {
        rate: 10.0,
        ..limits(1.0)
    };
    let mut admitted = 0;
    for tick in 0..1000 {
        let now = start + Duration::from_millis(tick * 10);
        match limiter.admit(&workspace, &limits, 1.0, 1.0, now) {
            Ok(permit) => {
                admitted += 1;
                limiter.release(&permit, 1.0);
            }
            Err(Rejection::Rate(wait)) => assert!(wait <= Duration::from_millis(200)),
            Err(other) => panic!("{other:?}"),
        }
    }
    assert!(
        (100..=121).contains(&admitted),
        "admitted {admitted} in 10 s at 10 per second"
    );
}
