//! Whole units that all entries together may use at an upstream, as connections.

use std::hash::Hash;
use std::hash::Hasher;

use lycheehaven_catalog::UpstreamKey;
use lycheehaven_types::FastHasher;

/// Returns how many of `units` at `upstream` the entry at `index` of `entries` may use. The
/// parts of all entries add up to `units`. With fewer units than entries some may use
/// none; which ones differs between upstreams.
pub fn units_of(units: usize, upstream: &UpstreamKey, index: usize, entries: usize) -> usize {
    let entries = entries.max(1);
    let mut hasher = FastHasher::default();
    upstream.hash(&mut hasher);
    // The low bits of the hash are poor.
    let first = (hasher.finish() >> 32) as usize % entries;
    let place = (index + entries - first) % entries;
    units / entries + usize::from(place < units % entries)
}
