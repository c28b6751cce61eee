//! Whether an entry must follow the store itself.
//!
//! In a large deployment a few entries of each failure domain follow the
//! upstreams in the store and tell the others which of them leave. The others
//! read the store late and cheaply, but only while they hear such an entry.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::Name;

/// Entries of each failure domain that follow the store.
const FOLLOWERS: usize = 2;

/// Age of a peer's last answer from the store above which it follows it no
/// more: its watch is renewed every 2 s.
const MOST_AGE: Duration = Duration::from_millis(2600);

/// Silence after which an entry relies on its peers no more. About 1.4 messages
/// of such peers arrive in each 200 ms.
const SILENCE: Duration = Duration::from_millis(1200);

/// When peers that follow the store were last heard.
#[derive(Debug, Default)]
pub struct FollowerLiveness {
    heard: Option<Instant>,
}

impl FollowerLiveness {
    /// Notes a message of a peer whose last answer from the store is `age` old.
    pub fn record(&mut self, age: Duration, now: Instant) {
        if age < MOST_AGE {
            self.heard = Some(now);
        }
    }

    /// Whether peers tell this entry of leaving upstreams.
    pub fn is_live(&self, now: Instant) -> bool {
        self.heard
            .is_some_and(|heard| now.saturating_duration_since(heard) < SILENCE)
    }
}

/// Whether the entry `me` follows the store, among the entries of its failure
/// domain: those with the first names do.
pub fn follows_store<'a>(me: &Name, neighbours: impl Iterator<Item = &'a Name>) -> bool {
    let before = neighbours.filter(|name| *name < me).count();
    before < FOLLOWERS
}
