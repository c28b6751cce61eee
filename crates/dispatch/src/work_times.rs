//! How long the requests of each route take, from the send to the end of the answer.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::HashMap;
use lycheehaven_types::Name;

/// Number of the newest times that are kept of a route.
const KEPT_TIMES: usize = 32;

/// Number of routes whose times are kept.
const MAX_ROUTES: usize = 1024;

/// Part of a route's kept times that are at most as long as the expected one.
const EXPECTED_QUANTILE: f64 = 0.95;

/// Part of that time that is added to it, as a request that is sent at the last moment must
/// not miss the end by a little.
const EXPECTED_SLACK: f64 = 0.125;

/// The part of a run's expected time that it has taken if nothing else is known of its
/// route.
const ASSUMED_PROGRESS: f64 = 2.0 / 3.0;

/// The newest times of a route, and its runs that have not ended.
#[derive(Debug)]
struct RouteTimes {
    times: VecDeque<Duration>,
    running: VecDeque<(RunNumber, Instant)>,
    recorded: Instant,
}

impl RouteTimes {
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

/// The times that requests took lately, by route.
#[derive(Debug, Default)]
pub struct WorkTimes {
    routes: HashMap<Name, RouteTimes>,
    last_run: u64,
}

impl WorkTimes {
    /// Records that a run of a request of `route` begins.
    pub fn begin(&mut self, route: &Name, now: Instant) -> RunNumber {
        self.last_run += 1;
        let run = RunNumber(self.last_run);
        self.known(route, now).running.push_back((run, now));
        run
    }

    /// Records that a run has ended, whether or not its answer is whole.
    pub fn end(&mut self, route: &Name, run: RunNumber) {
        if let Some(known) = self.routes.get_mut(route) {
            known.running.retain(|(other, _)| *other != run);
        }
    }

    /// Records the time until the answer to a request of `route` was whole.
    pub fn record(&mut self, route: &Name, taken: Duration, now: Instant) {
        let known = self.known(route, now);
        if known.times.len() >= KEPT_TIMES {
            known.times.pop_front();
        }
        known.times.push_back(taken);
        known.recorded = now;
    }

    /// Returns the time that almost no request of `route` exceeded, with some slack. Before the first whole
    /// answer, returns `assumed`, or more if a run has not ended for long.
    pub fn expected(&self, route: &Name, assumed: Duration, now: Instant) -> Duration {
        let Some(known) = self.routes.get(route) else {
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

    /// Returns the number of routes whose times are kept.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    fn known(&mut self, route: &Name, now: Instant) -> &mut RouteTimes {
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_ROUTES {
            self.forget_oldest();
        }
        let known = self.routes.entry(route.clone());
        known.or_insert_with(|| RouteTimes::new(now))
    }

    fn forget_oldest(&mut self) {
        let oldest = self.routes.iter().min_by_key(|(_, known)| known.recorded);
        if let Some(route) = oldest.map(|(route, _)| route.clone()) {
            self.routes.remove(&route);
        }
    }
}
