//! The end of the work of a process that stops at a planned time.

use std::time::Duration;
use std::time::Instant;

/// Time before a reclaim that is reserved for what follows the work.
const RECLAIM_MARGIN: Duration = Duration::from_millis(1000);

/// The margin is at most one part in this many of the time left.
const MARGIN_DIVISOR: u32 = 3;

/// When the work of a stopping process must have ended. Every decision about a request
/// takes the earlier of its deadline and this time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    work_end: Instant,
}

impl StopPlan {
    /// Creates a plan with the end of the work.
    pub fn new(work_end: Instant) -> Self {
        Self { work_end }
    }

    /// Creates the plan of a process whose VM is reclaimed `time_left` after `now`.
    pub fn before_reclaim(now: Instant, time_left: Duration) -> Self {
        let margin = RECLAIM_MARGIN.min(time_left / MARGIN_DIVISOR);
        Self::new(now + (time_left - margin))
    }

    /// Returns when the work must have ended.
    pub fn work_end(self) -> Instant {
        self.work_end
    }

    /// Returns the plan whose work ends first.
    pub fn earlier(self, other: Self) -> Self {
        Self::new(self.work_end.min(other.work_end))
    }

    /// Returns the time until work that takes `expected` must begin.
    pub fn time_to_begin(self, now: Instant, expected: Duration) -> Duration {
        let left = self.work_end.saturating_duration_since(now);
        left.saturating_sub(expected)
    }

    /// Returns whether work that begins now and takes `expected` ends in time.
    pub fn can_end(self, now: Instant, expected: Duration) -> bool {
        !self.time_to_begin(now, expected).is_zero()
    }
}
