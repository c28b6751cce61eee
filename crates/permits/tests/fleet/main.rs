//! A seeded model of a fleet in front of an upstream that limits its requests.

mod model;

use model::Fleet;
use model::Outcome;
use model::Trouble;
use model::Way;
use model::play;

/// Requests in a window beside those of the rate while nothing is disturbed.
const STEADY_EXCESS: f64 = 2.0;

/// Fleets by number of entries and of failure domains.
const FLEETS: [(usize, usize); 4] = [(7, 4), (40, 4), (295, 6), (420, 8)];

fn fleet(size: (usize, usize), rate: f64) -> Fleet {
    Fleet {
        entries: size.0,
        domains: size.1,
        rates: vec![(0, Some(rate))],
        demand: 30.0 + 3.0 * rate,
        troubles: Vec::new(),
        loss: 0.01,
        way: Way::Permits,
    }
}

fn check_bound(name: &str, fleet: &Fleet, outcome: &Outcome) {
    let most = outcome.most_counted as f64;
    let allowed = 1.5 * 4.0 * fleet.greatest_rate() + 5.0;
    assert!(
        most <= allowed,
        "{name}: {most} requests of {allowed} in a window"
    );
}

#[test]
fn undisturbed_fleet_keeps_to_the_rate_and_uses_it() {
    for size in FLEETS {
        for rate in [0.5, 1.0, 3.0, 25.0] {
            let fleet = fleet(size, rate);
            let outcome = play(&fleet, 1);
            let most = outcome.most as f64;
            let allowed = 4.0 * rate + STEADY_EXCESS;
            let used = outcome.used(rate);
            assert!(most <= allowed, "{size:?} at {rate}: {most} of {allowed}");
            assert!(used >= 0.8, "{size:?} at {rate}: {used} is used");
        }
    }
}

#[test]
fn bound_holds_while_issuers_pause_restart_and_are_cut_off() {
    for size in FLEETS {
        for seed in 0..12 {
            for rate in [1.0, 25.0] {
                let mut fleet = fleet(size, rate);
                fleet.loss = 0.05;
                fleet.troubles = Trouble::mixed(&fleet, seed);
                let outcome = play(&fleet, seed);
                check_bound(&format!("{size:?}, seed {seed}"), &fleet, &outcome);
            }
        }
    }
}

#[test]
fn bound_holds_while_the_domain_of_the_upstream_is_cut_off() {
    for size in FLEETS {
        for rate in [1.0, 25.0] {
            let mut fleet = fleet(size, rate);
            fleet.troubles = vec![Trouble::cut_domain(&fleet, 0, 6_000, 14_000)];
            let outcome = play(&fleet, 3);
            check_bound(&format!("{size:?} at {rate}"), &fleet, &outcome);
        }
    }
}

#[test]
fn changed_rate_holds_at_all_entries() {
    for size in FLEETS {
        let mut fleet = fleet(size, 20.0);
        fleet.rates.push((6_000, Some(2.0)));
        let outcome = play(&fleet, 4);
        let most = outcome.most_between(6_000 + 3_000, 20_000) as f64;
        let allowed = 4.0 * 2.0 + STEADY_EXCESS;
        assert!(most <= allowed, "{size:?}: {most} of {allowed}");
    }
}

#[test]
fn end_of_a_limit_is_heard_by_all_though_few_may_send() {
    for size in FLEETS {
        let mut fleet = fleet(size, 0.0);
        fleet.rates.push((8_000, None));
        let outcome = play(&fleet, 5);
        assert!(outcome.most_between(3_000, 8_000) <= 2, "{size:?}");
        let after = outcome.most_between(14_000, 20_000) as f64;
        let demand = 4.0 * fleet.demand;
        assert!(after >= 0.7 * demand, "{size:?}: {after} of {demand}");
    }
}

/// What an entry's own share would give, for comparison.
#[test]
fn even_shares_exceed_the_bound_or_leave_the_rate_unused() {
    for size in [(40, 4), (295, 6)] {
        let mut fleet = fleet(size, 1.0);
        fleet.way = Way::RoundedShares;
        let rounded = play(&fleet, 6);
        assert!(rounded.most as f64 > 11.0, "{size:?}: {}", rounded.most);
        fleet.way = Way::FullShares;
        let shares = play(&fleet, 6);
        assert!(shares.used(1.0) < 0.8, "{size:?}: {}", shares.used(1.0));
    }
}
