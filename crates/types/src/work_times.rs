//! How long work of each kind takes, from the send of a request to the end of its answer.

use std::collections::VecDeque;
use std::hash::Hash;
use std::time::Duration;
use std::time::Instant;

use crate::HashMap;

/// Number of the newest times that are kept of a kind.
const KEPT_TIMES: usize = 32;

/// Number of kinds whose times are kept.
const MAX_KINDS: usize = 1024;

/// Part of a kind's kept times that are at most as long as the expected one.
const EXPECTED_QUANTILE: f64 = 0.95;

/// Part of that time that is added to it, as a request that is sent at the last moment must
/// not miss the end by a little.
const EXPECTED_SLACK: f64 = 0.125;

/// The part of a run's expected time that it has taken if nothing else is known of its
/// kind.
const ASSUMED_PROGRESS: f64 = 2.0 / 3.0;

/// The newest times of a kind, and its runs that have not ended.
#[derive(Debug)]
struct KindTimes {
    times: VecDeque<Duration>,
    running: VecDeque<(RunNumber, Instant)>,
    recorded: Instant,
}

impl KindTimes {
    fn new(now: Instant) -> Self {
        Self {
            times: VecDeque::new(),
            running: VecDeque::new(),
            recorded: now,
        }
    }
}

/// Identifies a run that has not ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunNumber(u64);

/// The times that work took lately, by kind: a route, for example.
#[derive(Debug)]
pub struct WorkTimes<K> {
    kinds: HashMap<K, KindTimes>,
    last_run: u64,
}

impl<K> Default for WorkTimes<K> {
    fn default() -> Self {
        Self {
            kinds: HashMap::default(),
            last_run: 0,
        }
    }
}

impl<K: Clone + Eq + Hash> WorkTimes<K> {
    /// Records that a run of `kind` begins.
    pub fn begin(&mut self, kind: &K, now: Instant) -> RunNumber {
        self.last_run += 1;
        let run = RunNumber(self.last_run);
        self.known(kind, now).running.push_back((run, now));
        run
    }

    /// Records that a run has ended, whether or not its answer is whole.
    pub fn end(&mut self, kind: &K, run: RunNumber) {
        if let Some(known) = self.kinds.get_mut(kind) {
            known.running.retain(|(other, _)| *other != run);
        }
    }

    /// Records the time until the answer to a request of `kind` was whole.
    pub fn record(&mut self, kind: &K, taken: Duration, now: Instant) {
        let known = self.known(kind, now);
        if known.times.len() >= KEPT_TIMES {
            known.times.pop_front();
        }
        known.times.push_back(taken);
        known.recorded = now;
    }

    /// Returns the time that almost no request of `kind` exceeded, with some slack. Before
    /// the first whole answer, returns `assumed`, or more if a run has not ended for long.
    pub fn expected(&self, kind: &K, assumed: Duration, now: Instant) -> Duration {
        let Some(known) = self.kinds.get(kind) else {
            return assumed;
        };
        let mut times: Vec<Duration> = known.times.iter().copied().collect();
        times.sort_unstable();
        let rank = (times.len() as f64 * EXPECTED_QUANTILE).ceil() as usize;
        if let Some(expected) = rank.checked_sub(1).and_then(|index| times.get(index)) {
            return expected.mul_f64(1.0 + EXPECTED_SLACK);
        }
        let oldest = known.running.front();
        let age = oldest.map_or(Duration::ZERO, |(_, began)| {
            now.saturating_duration_since(*began)
        });
        assumed.max(age.div_f64(ASSUMED_PROGRESS))
    }

    /// Returns the number of kinds whose times are kept.
    pub fn kind_count(&self) -> usize {
        self.kinds.len()
    }

    fn known(&mut self, kind: &K, now: Instant) -> &mut KindTimes {
        if !self.kinds.contains_key(kind) && self.kinds.len() >= MAX_KINDS {
            self.forget_oldest();
        }
        let known = self.kinds.entry(kind.clone());
        known.or_insert_with(|| KindTimes::new(now))
    }

    fn forget_oldest(&mut self) {
        let oldest = self.kinds.iter().min_by_key(|(_, known)| known.recorded);
        if let Some(kind) = oldest.map(|(kind, _)| kind.clone()) {
            self.kinds.remove(&kind);
        }
    }
}
