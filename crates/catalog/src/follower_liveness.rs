//! Decides whether an entry must follow the store itself.
//!
//! In a large deployment the aggregators of each failure domain follow the
//! upstreams in the store with current reads and report leaving upstreams to the
//! others. The others use cheaper reads whose answers may be stale, but only
//! while they receive messages of such a follower.

use std::time::Duration;
use std::time::Instant;

/// Age of a peer's last answer from the store at which the peer no longer counts as
/// a follower. A follower renews its watch every 2 s.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(2600);

/// Time without a message of a follower after which an entry reads the store
/// itself. Two followers send a message every 200 ms each.
const FOLLOWER_TIMEOUT: Duration = Duration::from_millis(1200);

/// Tracks whether messages of peers that follow the store arrive.
#[derive(Debug, Default)]
pub struct FollowerLiveness {
    last_message: Option<Instant>,
}

impl FollowerLiveness {
    /// Records a message of a peer whose last answer from the store is `age` old.
    pub fn record(&mut self, age: Duration, now: Instant) {
        if age < MAX_ANSWER_AGE {
            self.last_message = Some(now);
        }
    }

    /// Returns whether followers report leaving upstreams to this entry.
    pub fn is_live(&self, now: Instant) -> bool {
        self.last_message.is_some_and(|last_message| {
            now.saturating_duration_since(last_message) < FOLLOWER_TIMEOUT
        })
    }
}
