//! Quotas in fleets of 7 to 420 entries that learn of one another's spending
//! through aggregators.

mod model;

use lycheehaven_guard::Quota;
use lycheehaven_types::Name;
use model::Fleet;
use model::STEP;
use model::Trouble;
use model::WINDOW;
use rand::RngExt;

/// Entries and failure domains of the simulated fleets.
const SIZES: [(usize, usize); 4] = [(7, 4), (88, 5), (295, 6), (420, 8)];

/// Units per second of a large workspace, in tokens.
const LARGE_RATE: f64 = 250_000.0;

/// Units per second of a small workspace, in tokens.
const SMALL_RATE: f64 = 6_000.0;

/// Units of a request.
const REQUEST_COST: f64 = 12_000.0;

/// Steps between checks of whether a snapshot is due.
const SNAPSHOT_CHECK_STEPS: u64 = 5;

/// Steps in which the reports of all entries have arrived.
const SETTLE_STEPS: u64 = 16;

fn units(rate: f64) -> f64 {
    rate * WINDOW.as_secs_f64()
}

/// Returns by how much all entries together may exceed the quota of `rate`.
fn excess(rate: f64) -> f64 {
    units(rate) * 0.1 + 110_000.0
}

fn quota(rate: f64) -> Quota {
    Quota::new(units(rate), excess(rate))
}

/// Lets callers of `workspace` request `rate` units per second for one step, at
/// random entries. Returns the units spent.
fn request_at(fleet: &mut Fleet, workspace: &Name, quota: Quota, rate: f64) -> f64 {
    let expected = rate * STEP.as_secs_f64() / REQUEST_COST;
    let mut count = expected as usize;
    count += usize::from(fleet.random.random_bool(expected.fract()));
    let mut spent = 0.0;
    for _ in 0..count {
        let index = fleet.random.random_range(0..fleet.len());
        if fleet.request(index, workspace, quota, REQUEST_COST) {
            spent += REQUEST_COST;
        }
    }
    spent
}

/// Requests four times the rate of a large and of a small workspace, and checks that
/// neither exceeds what its quota permits. Returns the fraction of the large quota
/// that was spent.
fn overload(fleet: &mut Fleet, steps: u64, mut disturb: impl FnMut(&mut Fleet, u64)) -> f64 {
    let (large, small): (Name, Name) = ("large".into(), "small".into());
    let quotas = [
        (large.clone(), quota(LARGE_RATE)),
        (small.clone(), quota(SMALL_RATE)),
    ];
    let mut spent = 0.0;
    for step in 0..steps {
        disturb(fleet, step);
        fleet.advance();
        if step % SNAPSHOT_CHECK_STEPS == 0 {
            fleet.take_snapshot(&quotas);
        }
        spent += request_at(fleet, &large, quota(LARGE_RATE), LARGE_RATE * 4.0);
        request_at(fleet, &small, quota(SMALL_RATE), SMALL_RATE * 4.0);
    }
    for (workspace, rate) in [(&large, LARGE_RATE), (&small, SMALL_RATE)] {
        let (most, bound) = (fleet.max_spent(workspace), units(rate) + excess(rate));
        assert!(
            most <= bound,
            "{} entries spent {most} of {bound} for {workspace}",
            fleet.len()
        );
    }
    spent / (LARGE_RATE * STEP.as_secs_f64() * steps as f64)
}

fn settle(fleet: &mut Fleet) {
    for _ in 0..SETTLE_STEPS {
        fleet.advance();
    }
}

#[test]
fn quota_is_kept_and_used_under_overload() {
    for (size, domains) in SIZES {
        let mut fleet = Fleet::new(size, domains, size as u64);
        settle(&mut fleet);
        let used = overload(&mut fleet, 500, |_, _| {});
        assert!(used > 0.9, "{size} entries used {used} of the quota");
    }
}

#[test]
fn quota_is_kept_under_loss_delay_duplication_pauses_and_restarts() {
    for seed in 0..6 {
        let (size, domains) = SIZES[seed as usize % SIZES.len()];
        let mut fleet = Fleet::new(size, domains, 100 + seed);
        fleet.trouble = Trouble {
            loss: 0.05,
            duplication: 0.05,
            max_delay: 2,
        };
        settle(&mut fleet);
        overload(&mut fleet, 400, |fleet, _| {
            if fleet.random.random_bool(0.05) {
                let index = fleet.random.random_range(0..size);
                let steps = fleet.random.random_range(10..80);
                fleet.pause(index, steps);
            }
            if fleet.random.random_bool(0.05) {
                let index = fleet.random.random_range(0..size);
                fleet.restart(index);
            }
        });
    }
}

#[test]
fn quota_is_kept_across_partitions_of_failure_domains() {
    for seed in 0..6 {
        let (size, domains) = SIZES[seed as usize % SIZES.len()];
        let mut fleet = Fleet::new(size, domains, 200 + seed);
        settle(&mut fleet);
        overload(&mut fleet, 500, |fleet, step| {
            if step % 120 == 40 {
                fleet.cut_domains = vec![fleet.random.random_range(0..domains)];
            }
            if step % 120 == 110 {
                fleet.cut_domains.clear();
            }
        });
    }
}

#[test]
fn small_workspace_is_served_by_any_entry_that_is_in_touch() {
    for (size, domains) in SIZES {
        let mut fleet = Fleet::new(size, domains, 300 + size as u64);
        settle(&mut fleet);
        for index in 0..size {
            let workspace: Name = format!("small-{index}").into();
            let admitted = fleet.request(index, &workspace, quota(SMALL_RATE), REQUEST_COST);
            assert!(admitted, "entry {index} of {size} refused");
        }
    }
}

#[test]
fn death_of_one_aggregator_leaves_every_entry_with_a_digest() {
    let mut fleet = Fleet::new(88, 5, 400);
    settle(&mut fleet);
    let dead = fleet.aggregators()[0];
    fleet.pause(dead, 400);
    for step in 0..200 {
        fleet.advance();
        let lacking = fleet.without_digest();
        assert_eq!(lacking, 0, "entries without a digest at step {step}");
    }
}

/// The next entries notice the silence after one second and need two intervals of
/// 200 ms to receive the reports of all others.
#[test]
fn death_of_all_aggregators_of_a_domain_costs_at_most_ten_intervals() {
    let mut fleet = Fleet::new(295, 6, 500);
    settle(&mut fleet);
    let aggregators = fleet.aggregators();
    assert_eq!(aggregators.len(), 12);
    for dead in aggregators.into_iter().filter(|index| index % 6 == 0) {
        fleet.pause(dead, 1000);
    }
    for _ in 0..10 * 4 {
        fleet.advance();
    }
    for step in 0..100 {
        fleet.advance();
        let lacking = fleet.without_digest();
        assert_eq!(lacking, 0, "entries without a digest at step {step}");
    }
}

/// Messages of one entry per second grow with its failure domain, and those of the
/// fleet between domains only with the number of domains.
#[test]
fn messages_between_domains_grow_with_domains_only() {
    let mut rates = Vec::new();
    for size in [88, 295] {
        let mut fleet = Fleet::new(size, 6, 600);
        settle(&mut fleet);
        fleet.sent = [0; 3];
        for _ in 0..200 {
            fleet.advance();
        }
        let seconds = 200.0 * STEP.as_secs_f64();
        let [reports, sums, digests] = fleet.sent.map(|count| count as f64 / seconds);
        assert!(reports / size as f64 <= 11.0, "{reports} reports");
        assert!(digests / size as f64 <= 11.0, "{digests} digests");
        rates.push(sums);
    }
    // 12 aggregators send to 10 others five times a second.
    assert_eq!(rates, [600.0, 600.0]);
}
