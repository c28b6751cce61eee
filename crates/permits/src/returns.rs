//! Times at which callers return whose requests no upstream takes now.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::HashMap;
use lycheehaven_types::Name;

/// Longest time for which a place in the order of return is given.
const MAX_RETURN: Duration = Duration::from_secs(30);

/// Shortest interval between two returns, of which a process could serve more.
const MIN_INTERVAL: Duration = Duration::from_millis(1);

/// The next free time of return for each service.
#[derive(Debug, Default)]
pub struct Returns {
    next: HashMap<Name, Instant>,
}

impl Returns {
    /// Returns the time after which a caller of `service` should return, at least
    /// `first`. Callers return one after the other at `per_second`, this entry's part of
    /// what the upstreams of the service take. Later than [`MAX_RETURN`] there are no places,
    /// as most callers will have given up by then; these return over twice that time, as
    /// `draw` says, a random number from 0 to 1.
    pub fn book(
        &mut self,
        service: &Name,
        per_second: f64,
        first: Duration,
        draw: f64,
        now: Instant,
    ) -> Duration {
        let next = self.next.entry(service.clone()).or_insert(now);
        let at = (*next).max(now + first);
        let delay = at.saturating_duration_since(now);
        if delay >= MAX_RETURN {
            return MAX_RETURN.mul_f64(1.0 + draw);
        }
        let interval = 1.0 / per_second.max(f64::MIN_POSITIVE);
        let interval = Duration::try_from_secs_f64(interval).unwrap_or(MAX_RETURN);
        *next = at + interval.clamp(MIN_INTERVAL, MAX_RETURN);
        delay
    }
}
