//! Which upstreams have prompt parts cached.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::UpstreamKey;
use lycheehaven_types::HashMap;
use lycheehaven_types::Name;

/// Upstreams that have a prompt part cached, and when this entry last had each of them
/// prefill it.
pub(crate) type Holders = HashMap<UpstreamKey, Instant>;

/// The prompt parts that upstreams have prefilled, by part: few upstreams have any of a
/// prompt's parts, so that a choice among many looks up the parts and not the upstreams.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    parts: HashMap<Name, Holders>,
}

impl PrefixCache {
    /// Records that `upstream` has prefilled a part.
    pub(crate) fn record(&mut self, upstream: &UpstreamKey, part: &Name, now: Instant) {
        let holders = self.parts.entry(part.clone()).or_default();
        holders.insert(upstream.clone(), now);
    }

    /// Returns the upstreams that have a part cached.
    pub(crate) fn holders(&self, part: &Name) -> Option<&Holders> {
        self.parts.get(part)
    }

    /// Discards upstreams for which `keep` returns false, and parts older than `age`.
    pub(crate) fn prune(
        &mut self,
        keep: impl Fn(&UpstreamKey) -> bool,
        age: Duration,
        now: Instant,
    ) {
        self.parts.retain(|_, holders| {
            holders
                .retain(|upstream, at| keep(upstream) && now.saturating_duration_since(*at) < age);
            !holders.is_empty()
        });
    }
}
