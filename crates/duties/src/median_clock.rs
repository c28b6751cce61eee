//! Wall-clock time agreed among the entries.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use lycheehaven_types::HashMap;
use lycheehaven_types::Name;

/// Age at which a peer's clock reading is ignored.
const READING_EXPIRY: Duration = Duration::from_secs(3);

/// Wall clock corrected to the median of this entry's clock and its peers'
/// clocks, because individual clocks can jump by seconds.
#[derive(Debug, Default)]
pub struct MedianClock {
    offsets: HashMap<Name, (i64, Instant)>,
}

impl MedianClock {
    /// Records the wall-clock time that `peer` reported, in milliseconds since
    /// the Unix epoch. `local` is the wall-clock time of this entry.
    pub fn update_peer(&mut self, peer: &Name, peer_ms: i64, local: SystemTime, now: Instant) {
        self.offsets
            .insert(peer.clone(), (peer_ms - unix_millis(local), now));
        self.offsets.retain(|_, (_, received_at)| {
            now.saturating_duration_since(*received_at) < READING_EXPIRY
        });
    }

    /// Returns the agreed time in milliseconds since the Unix epoch. `local` is the
    /// wall-clock time of this entry.
    pub fn now_millis(&self, local: SystemTime, now: Instant) -> i64 {
        let mut offsets: Vec<i64> = self
            .offsets
            .values()
            .filter(|(_, received_at)| now.saturating_duration_since(*received_at) < READING_EXPIRY)
            .map(|(offset, _)| *offset)
            .collect();
        offsets.push(0);
        offsets.sort_unstable();
        unix_millis(local) + offsets[offsets.len() / 2]
    }
}

fn unix_millis(wall: SystemTime) -> i64 {
    wall.duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as i64)
}
