//! VMs known to be leaving.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::HashMap;
use lycheehaven_types::Incarnation;
use lycheehaven_types::Name;

/// How long a leaving VM is remembered.
const KEEP: Duration = Duration::from_secs(1800);

/// Leaving VMs remembered at once.
const LIMIT: usize = 8192;

/// Set of leaving VM incarnations. Once in, an incarnation stays: a lagging VM
/// list can't make it live again.
#[derive(Debug, Default)]
pub struct Leaving {
    vms: HashMap<(Name, Incarnation), Instant>,
}

impl Leaving {
    /// Adds an incarnation; `true` if it is news.
    pub fn add(&mut self, name: &Name, incarnation: Incarnation, now: Instant) -> bool {
        if self.contains(name, incarnation) {
            return false;
        }
        if self.vms.len() >= LIMIT {
            self.vms
                .retain(|_, since| now.duration_since(*since) < KEEP);
        }
        self.vms.insert((name.clone(), incarnation), now);
        true
    }

    /// Whether the incarnation is leaving.
    pub fn contains(&self, name: &Name, incarnation: Incarnation) -> bool {
        self.vms.contains_key(&(name.clone(), incarnation))
    }

    /// The latest additions, at most `limit`.
    pub fn latest(&self, limit: usize) -> Vec<(Name, Incarnation)> {
        let mut vms: Vec<_> = self.vms.iter().collect();
        vms.sort_by_key(|(_, since)| std::cmp::Reverse(**since));
        vms.into_iter()
            .take(limit)
            .map(|(key, _)| key.clone())
            .collect()
    }
}
