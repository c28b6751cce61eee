//! How long work of one kind takes, as far as that is known.

use std::time::Duration;
use std::time::Instant;

/// Time after which an earlier observation begins to be forgotten.
const PERIOD: Duration = Duration::from_secs(60);

/// The longest times of the last one to two periods in which work ended.
#[derive(Debug, Clone, Default)]
pub struct RunTimes {
    began: Option<Instant>,
    current: Duration,
    previous: Duration,
}

impl RunTimes {
    /// Records work that took `duration` and ended at `now`.
    pub fn observe(&mut self, duration: Duration, now: Instant) {
        let began = *self.began.get_or_insert(now);
        if now.saturating_duration_since(began) >= PERIOD {
            self.previous = std::mem::take(&mut self.current);
            self.began = Some(now);
        }
        self.current = self.current.max(duration);
    }

    /// Returns the time that work is expected to take: zero if none was observed.
    pub fn expected(&self) -> Duration {
        self.current.max(self.previous)
    }
}
