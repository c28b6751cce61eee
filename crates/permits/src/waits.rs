//! Upstreams that an entry has no permit for.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::UpstreamKey;
use lycheehaven_types::HashMap;

/// Until when it makes no sense to ask for a permit.
#[derive(Debug, Default)]
pub struct Waits {
    until: HashMap<UpstreamKey, Instant>,
}

impl Waits {
    /// Records that there is no permit for `upstream` for `wait`.
    pub fn record(&mut self, upstream: &UpstreamKey, wait: Duration, now: Instant) {
        self.until.insert(upstream.clone(), now + wait);
    }

    /// Discards the wait for an upstream, as its limit has changed.
    pub fn forget(&mut self, upstream: &UpstreamKey) {
        self.until.remove(upstream);
    }

    /// Returns the time until a permit may be had, zero if there may be one now.
    pub fn remaining(&self, upstream: &UpstreamKey, now: Instant) -> Duration {
        let until = self.until.get(upstream);
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Returns the shortest wait among those of `upstreams` that have one.
    pub fn shortest<'a>(
        &self,
        upstreams: impl Iterator<Item = &'a UpstreamKey>,
        now: Instant,
    ) -> Option<Duration> {
        upstreams
            .map(|upstream| self.remaining(upstream, now))
            .filter(|wait| !wait.is_zero())
            .min()
    }

    /// Discards the waits that have ended.
    pub fn prune(&mut self, now: Instant) {
        self.until.retain(|_, until| now < *until);
    }
}
