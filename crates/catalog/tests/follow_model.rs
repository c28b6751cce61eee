//! Simulation of upstreams that come and go, observed by an entry that uses stale
//! reads and receives reports from entries that follow the store.
//!
//! `LYCHEEHAVEN_SEED` sets the first seed of the simulated runs.

mod support;

use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::Directory;
use lycheehaven_catalog::FollowerLiveness;
use lycheehaven_catalog::Upstream;
use lycheehaven_catalog::UpstreamKey;
use lycheehaven_catalog::UpstreamState;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::support::upstream;

const STEP_MS: u64 = 50;
const STEPS: u64 = 1200;
const SEEDS: u64 = 150;
const ENGINES: usize = 12;
const FOLLOWERS: usize = 3;

/// Steps between messages of followers.
const MESSAGE_INTERVAL_STEPS: u64 = 4;

/// Steps between stale reads.
const STALE_READ_INTERVAL_STEPS: u64 = 20;

/// Maximum number of steps until a follower, or an entry with current reads, sees a
/// change.
const MAX_CURRENT_LAG_STEPS: u64 = 12;

/// Maximum age of the answer to a stale read, in steps.
const MAX_STALE_LAG_STEPS: u64 = 110;

/// Steps within which requests to a leaving upstream must end: 2 s, the shortest
/// drain time of the known deployments.
const DRAIN_STEPS: u64 = 2000 / STEP_MS;

/// A change in the store. Its position in the history is its revision.
#[derive(Debug, Clone)]
struct Change {
    step: u64,
    upstream: Upstream,
    removed: bool,
}

/// A reader of the store.
#[derive(Default)]
struct Reader {
    directory: Directory,
    position: usize,
}

impl Reader {
    /// Applies the changes made up to the step `until`.
    fn read(&mut self, changes: &[Change], until: u64, now: Instant) {
        let known = changes.iter().take_while(|change| change.step <= until);
        let end = known.count().max(self.position);
        for change in &changes[self.position..end] {
            let key = &change.upstream.key;
            if change.removed {
                self.directory.remove(&key.id, end as u64, now);
            } else {
                self.directory.update(change.upstream.clone(), now);
            }
        }
        self.position = end;
    }
}

/// Generates incarnations of engines that register, leave with or without an
/// announcement, and are removed.
fn history(random: &mut StdRng) -> Vec<Change> {
    let mut plan: Vec<(u64, usize, u64, Option<UpstreamState>)> = Vec::new();
    for engine in 0..ENGINES {
        let mut step = random.random_range(0..100);
        while step < STEPS {
            let incarnation = step + 1;
            plan.push((step, engine, incarnation, Some(UpstreamState::Ready)));
            step += random.random_range(40..400);
            if random.random_bool(0.5) {
                let time_left = Duration::from_millis(2000);
                let draining = UpstreamState::Draining(Some(time_left));
                plan.push((step, engine, incarnation, Some(draining)));
                step += random.random_range(20..80);
            }
            plan.push((step, engine, incarnation, None));
            step += random.random_range(5..100);
        }
    }
    plan.sort_by_key(|(step, engine, ..)| (*step, *engine));
    let mut changes = Vec::new();
    for (step, engine, incarnation, state) in plan {
        let removed = state.is_none();
        let state = state.unwrap_or(UpstreamState::Ready);
        changes.push(Change {
            step,
            upstream: upstream(
                &format!("i-{engine}"),
                incarnation,
                state,
                changes.len() as u64 + 1,
            ),
            removed,
        });
    }
    changes
}

/// Returns the step at which an incarnation left according to the store.
fn left_at(changes: &[Change], key: &UpstreamKey) -> Option<u64> {
    changes
        .iter()
        .filter(|change| change.upstream.key == *key)
        .find(|change| change.removed || change.upstream.state != UpstreamState::Ready)
        .map(|change| change.step)
}

/// Simulates one seed and returns the number of steps for which the entry relied
/// on its peers.
fn simulate(seed: u64) -> u64 {
    let mut random = StdRng::seed_from_u64(seed);
    let changes = history(&mut random);
    let start = Instant::now();
    let mut followers: Vec<Reader> = (0..FOLLOWERS).map(|_| Reader::default()).collect();
    let mut entry = Reader::default();
    let mut liveness = FollowerLiveness::default();
    let mut disconnected_until = 0;
    let mut relied_steps = 0;
    for step in 0..STEPS {
        let now = start + Duration::from_millis(step * STEP_MS);
        if random.random_bool(0.004) {
            disconnected_until = step + random.random_range(10..120);
        }
        for follower in &mut followers {
            let lag = random.random_range(0..=MAX_CURRENT_LAG_STEPS);
            follower.read(&changes, step.saturating_sub(lag), now);
        }
        if step % MESSAGE_INTERVAL_STEPS == 0 {
            for follower in &followers {
                if step < disconnected_until || random.random_bool(0.5) {
                    continue;
                }
                let age = Duration::from_millis(random.random_range(0..2500));
                liveness.record(age, now);
                for key in follower.directory.leaving_news(0, now) {
                    entry.directory.mark_leaving(&key, now);
                }
                for (key, revision) in follower.directory.removed_news(0, now) {
                    entry.directory.remove_reported(&key, revision, now);
                }
            }
        }
        if liveness.is_live(now) {
            relied_steps += 1;
            if step % STALE_READ_INTERVAL_STEPS == 0 {
                let lag = random.random_range(0..=MAX_STALE_LAG_STEPS);
                entry.read(&changes, step.saturating_sub(lag), now);
            }
        } else {
            let lag = random.random_range(0..=MAX_CURRENT_LAG_STEPS);
            entry.read(&changes, step.saturating_sub(lag), now);
        }
        for upstream in entry.directory.ready("llm") {
            let left_step = left_at(&changes, &upstream.key).unwrap_or(STEPS);
            assert!(
                step <= left_step + DRAIN_STEPS,
                "seed {seed}: at step {step} {:?} is still used, which left at step {left_step}",
                upstream.key
            );
        }
    }
    relied_steps
}

#[test]
fn leaving_upstreams_are_avoided_in_time_under_lost_messages_and_stale_reads() {
    let first = std::env::var("LYCHEEHAVEN_SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let relied_steps: u64 = (first..first + SEEDS).map(simulate).sum();
    // Guards the simulation itself: the entry must rely on its peers.
    assert!(
        relied_steps > SEEDS * STEPS / 2,
        "{relied_steps} steps relying on peers"
    );
}
