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

/// The newest times of a route.
#[derive(Debug)]
struct RouteTimes {
    times: VecDeque<Duration>,
    recorded: Instant,
}

/// The times that requests took lately, by route.
#[derive(Debug, Default)]
pub struct WorkTimes {
    routes: HashMap<Name, RouteTimes>,
}

impl WorkTimes {
    /// Records the time that a request of `route` took.
    pub fn record(&mut self, route: &Name, taken: Duration, now: Instant) {
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_ROUTES {
            self.forget_oldest();
        }
        let new = || RouteTimes {
            times: VecDeque::with_capacity(KEPT_TIMES),
            recorded: now,
        };
        let known = self.routes.entry(route.clone()).or_insert_with(new);
        if known.times.len() >= KEPT_TIMES {
            known.times.pop_front();
        }
        known.times.push_back(taken);
        known.recorded = now;
    }

    /// Returns the time that almost no request of `route` exceeded, or `None` if none is
    /// known.
    pub fn expected(&self, route: &Name) -> Option<Duration> {
        let mut times: Vec<Duration> = self.routes.get(route)?.times.iter().copied().collect();
        times.sort_unstable();
        let rank = (times.len() as f64 * EXPECTED_QUANTILE).ceil() as usize;
        times.get(rank.checked_sub(1)?).copied()
    }

    /// Returns the number of routes whose times are kept.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    fn forget_oldest(&mut self) {
        let oldest = self.routes.iter().min_by_key(|(_, known)| known.recorded);
        if let Some(route) = oldest.map(|(route, _)| route.clone()) {
            self.routes.remove(&route);
        }
    }
}
