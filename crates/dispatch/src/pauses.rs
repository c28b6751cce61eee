//! Upstreams that asked this entry to send nothing for some time.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::UpstreamKey;
use lycheehaven_types::HashMap;
use lycheehaven_types::MAX_PAUSE;

/// Range of the time over which callers return after a pause.
const RETURN_SPREAD: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(5));

/// A period in which an upstream wants no requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pause {
    began: Instant,
    ends: Instant,
}

impl Pause {
    /// Returns the time until the pause ends, zero once it has ended.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.ends.saturating_duration_since(now)
    }

    /// Returns the time after which a caller that can't be served during the pause
    /// should return. `draw` is a random number from 0 to 1. Callers return over a time
    /// as long as the pause, so that the requests which the pause held off do not all
    /// arrive at its end.
    pub fn return_delay(&self, draw: f64, now: Instant) -> Duration {
        let (shortest, longest) = RETURN_SPREAD;
        let spread = self.ends.saturating_duration_since(self.began);
        self.remaining(now) + spread.clamp(shortest, longest).mul_f64(draw)
    }
}

/// The pauses that upstreams asked this entry for. They concern no other entry, and do
/// not count as failures.
#[derive(Debug, Default)]
pub struct Pauses {
    pauses: HashMap<UpstreamKey, Pause>,
}

impl Pauses {
    /// Records that `upstream` wants no requests for `length`, of which at most
    /// [`MAX_PAUSE`] is kept. A pause never ends earlier than was asked for before.
    /// Returns the pause if it is new or longer.
    pub fn record(
        &mut self,
        upstream: &UpstreamKey,
        length: Duration,
        now: Instant,
    ) -> Option<Pause> {
        let ends = now + length.min(MAX_PAUSE);
        let current = self.get(upstream, now);
        if ends <= current.map_or(now, |pause| pause.ends) {
            return None;
        }
        let pause = Pause {
            began: current.map_or(now, |pause| pause.began),
            ends,
        };
        self.pauses.insert(upstream.clone(), pause);
        Some(pause)
    }

    /// Returns the pause of an upstream if it has not ended.
    pub fn get(&self, upstream: &UpstreamKey, now: Instant) -> Option<Pause> {
        let pause = self.pauses.get(upstream)?;
        (now < pause.ends).then_some(*pause)
    }

    /// Returns whether an upstream wants no requests.
    pub fn is_paused(&self, upstream: &UpstreamKey, now: Instant) -> bool {
        self.get(upstream, now).is_some()
    }

    /// Returns the pause that ends first among those of `upstreams`.
    pub fn first_to_end<'a>(
        &self,
        upstreams: impl Iterator<Item = &'a UpstreamKey>,
        now: Instant,
    ) -> Option<Pause> {
        upstreams
            .filter_map(|upstream| self.get(upstream, now))
            .min_by_key(|pause| pause.ends)
    }

    /// Returns the number of upstreams that want no requests.
    pub fn count(&self, now: Instant) -> usize {
        self.pauses
            .values()
            .filter(|pause| now < pause.ends)
            .count()
    }

    /// Discards the pauses that have ended.
    pub fn prune(&mut self, now: Instant) {
        self.pauses.retain(|_, pause| now < pause.ends);
    }
}
