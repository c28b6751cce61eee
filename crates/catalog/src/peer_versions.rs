//! Versions of the configuration that peers state.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::HashMap;
use lycheehaven_types::Name;

/// Time for which a statement holds. A live peer repeats it several times a second; one
/// that is not repeated may be an error, and must not hold for good.
const STATEMENT_EXPIRY: Duration = Duration::from_secs(5);

/// The last version that each peer stated.
#[derive(Debug, Default)]
pub struct PeerVersions {
    stated: HashMap<Name, (u64, Instant)>,
}

impl PeerVersions {
    /// Replaces the version that `peer` states.
    pub fn record(&mut self, peer: &Name, version: u64, now: Instant) {
        self.stated.insert(peer.clone(), (version, now));
        self.stated
            .retain(|_, (_, stated_at)| is_recent(*stated_at, now));
    }

    /// Returns the newest version that a peer states, 0 if none does.
    pub fn newest(&self, now: Instant) -> u64 {
        self.stated
            .values()
            .filter(|(_, stated_at)| is_recent(*stated_at, now))
            .map(|(version, _)| *version)
            .max()
            .unwrap_or(0)
    }
}

fn is_recent(stated_at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(stated_at) < STATEMENT_EXPIRY
}
