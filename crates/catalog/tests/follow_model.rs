//! Histories of upstreams that come and go, seen by an entry that reads the
//! store late and hears from entries that follow it.
//!
//! `LYCHEEHAVEN_SEED` names the first of the seeds that are played.

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

/// Steps between messages, and between late reads.
const EXCHANGE: u64 = 4;
const LATE_READ: u64 = 20;

/// Most steps until a follower, or an entry that reads current, knows a change.
const CURRENT_LAG: u64 = 12;

/// Most steps by which a late answer is old.
const LATE_LAG: u64 = 110;

/// Steps within which requests to a leaving upstream must end: 2 s, the
/// shortest of the known deployments.
const DRAIN: u64 = 2000 / STEP_MS;

/// A change in the store, which is also its revision.
#[derive(Debug, Clone)]
struct Change {
    step: u64,
    upstream: Upstream,
    removed: bool,
}

/// What one reader has taken over.
#[derive(Default)]
struct Reader {
    directory: Directory,
    position: usize,
}

impl Reader {
    /// Takes over the changes that were made by `until`.
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

/// Runs of engines that come, say that they leave or do not, and are removed.
fn history(random: &mut StdRng) -> Vec<Change> {
    let mut plan: Vec<(u64, usize, u64, Option<UpstreamState>)> = Vec::new();
    for engine in 0..ENGINES {
        let mut step = random.random_range(0..100);
        while step < STEPS {
            let born = step + 1;
            plan.push((step, engine, born, Some(UpstreamState::Ready)));
            step += random.random_range(40..400);
            if random.random_bool(0.5) {
                let left = Duration::from_millis(2000);
                let draining = UpstreamState::Draining(Some(left));
                plan.push((step, engine, born, Some(draining)));
                step += random.random_range(20..80);
            }
            plan.push((step, engine, born, None));
            step += random.random_range(5..100);
        }
    }
    plan.sort_by_key(|(step, engine, ..)| (*step, *engine));
    let mut changes = Vec::new();
    for (step, engine, born, state) in plan {
        let removed = state.is_none();
        let state = state.unwrap_or(UpstreamState::Ready);
        changes.push(Change {
            step,
            upstream: upstream(
                &format!("i-{engine}"),
                born,
                state,
                changes.len() as u64 + 1,
            ),
            removed,
        });
    }
    changes
}

/// When a run left, as the store knew it.
fn left_at(changes: &[Change], key: &UpstreamKey) -> Option<u64> {
    changes
        .iter()
        .filter(|change| change.upstream.key == *key)
        .find(|change| change.removed || change.upstream.state != UpstreamState::Ready)
        .map(|change| change.step)
}

/// Returns for how many steps the entry relied on its peers.
fn play(seed: u64) -> u64 {
    let mut random = StdRng::seed_from_u64(seed);
    let changes = history(&mut random);
    let start = Instant::now();
    let mut followers: Vec<Reader> = (0..FOLLOWERS).map(|_| Reader::default()).collect();
    let mut entry = Reader::default();
    let mut liveness = FollowerLiveness::default();
    let mut cut_until = 0;
    let mut relied = 0;
    for step in 0..STEPS {
        let now = start + Duration::from_millis(step * STEP_MS);
        if random.random_bool(0.004) {
            cut_until = step + random.random_range(10..120);
        }
        for follower in &mut followers {
            let lag = random.random_range(0..=CURRENT_LAG);
            follower.read(&changes, step.saturating_sub(lag), now);
        }
        if step % EXCHANGE == 0 {
            for follower in &followers {
                if step < cut_until || random.random_bool(0.5) {
                    continue;
                }
                let age = Duration::from_millis(random.random_range(0..2500));
                liveness.record(age, now);
                for key in follower.directory.recently_leaving(now) {
                    entry.directory.mark_leaving(key, now);
                }
                for (key, revision) in follower.directory.recently_removed(now) {
                    entry.directory.remove_reported(&key, revision, now);
                }
            }
        }
        if liveness.is_live(now) {
            relied += 1;
            if step % LATE_READ == 0 {
                let lag = random.random_range(0..=LATE_LAG);
                entry.read(&changes, step.saturating_sub(lag), now);
            }
        } else {
            let lag = random.random_range(0..=CURRENT_LAG);
            entry.read(&changes, step.saturating_sub(lag), now);
        }
        for upstream in entry.directory.ready("llm") {
            let left = left_at(&changes, &upstream.key).unwrap_or(STEPS);
            assert!(
                step <= left + DRAIN,
                "seed {seed}: at step {step} {:?} is used, which left at {left}",
                upstream.key
            );
        }
    }
    relied
}

#[test]
fn leaving_upstreams_are_left_in_time_whatever_is_late_or_lost() {
    let first = std::env::var("LYCHEEHAVEN_SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let relied: u64 = (first..first + SEEDS).map(play).sum();
    // The model is worth something only if the entry relies on its peers.
    assert!(relied > SEEDS * STEPS / 2, "{relied} steps");
}
