//! VMs known to be leaving.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::HashMap;
use lycheehaven_types::Incarnation;
use lycheehaven_types::Name;

/// Minimum time for which a leaving VM is kept in the set.
const RETENTION: Duration = Duration::from_secs(1800);

/// Size of the set from which VMs past [`RETENTION`] are evicted.
const EVICTION_THRESHOLD: usize = 8192;

/// Set of leaving VM incarnations. An incarnation in the set is not removed
/// when a stale VM list shows it as live.
#[derive(Debug, Default)]
pub struct LeavingVms {
    vms: HashMap<(Name, Incarnation), Instant>,
}

impl LeavingVms {
    /// Adds an incarnation. Returns `false` if it was already in the set.
    pub fn add(&mut self, name: &Name, incarnation: Incarnation, now: Instant) -> bool {
        if self.contains(name, incarnation) {
            return false;
        }
        if self.vms.len() >= EVICTION_THRESHOLD {
            self.vms
                .retain(|_, since| now.duration_since(*since) < RETENTION);
        }
        self.vms.insert((name.clone(), incarnation), now);
        true
    }

    /// Returns whether the incarnation is leaving.
    pub fn contains(&self, name: &Name, incarnation: Incarnation) -> bool {
        self.vms.contains_key(&(name.clone(), incarnation))
    }

    /// Returns the latest additions, at most `limit`, the most recent first.
    pub fn latest(&self, limit: usize) -> Vec<(Name, Incarnation)> {
        let mut vms: Vec<_> = self.vms.iter().collect();
        vms.sort_by_key(|(_, since)| std::cmp::Reverse(**since));
        vms.into_iter()
            .take(limit)
            .map(|(key, _)| key.clone())
            .collect()
    }
}
