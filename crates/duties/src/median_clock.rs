//! Agreement on the time of day.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use lycheehaven_types::HashMap;
use lycheehaven_types::Name;

/// Age at which a peer's clock no longer counts.
const STALE: Duration = Duration::from_secs(3);

/// The time of day by the median of this entry's clock and its peers', as some
/// clocks jump by seconds.
#[derive(Debug, Default)]
pub struct MedianClock {
    offsets: HashMap<Name, (i64, Instant)>,
}

impl MedianClock {
    /// Takes over a peer's time of day, in milliseconds since the Unix epoch.
    pub fn update_peer(&mut self, peer: &Name, peer_ms: i64, own: SystemTime, now: Instant) {
        self.offsets
            .insert(peer.clone(), (peer_ms - millis(own), now));
        self.offsets
            .retain(|_, (_, heard)| now.saturating_duration_since(*heard) < STALE);
    }

    /// Milliseconds since the Unix epoch, as agreed.
    pub fn now_millis(&self, own: SystemTime, now: Instant) -> i64 {
        let mut offsets: Vec<i64> = self
            .offsets
            .values()
            .filter(|(_, heard)| now.saturating_duration_since(*heard) < STALE)
            .map(|(offset, _)| *offset)
            .collect();
        offsets.push(0);
        offsets.sort_unstable();
        millis(own) + offsets[offsets.len() / 2]
    }
}

fn millis(wall: SystemTime) -> i64 {
    wall.duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as i64)
}
