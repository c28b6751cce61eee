//! When a run that sends nothing may be left for another upstream.
//!
//! Silence alone never ends a run: a sound upstream may send nothing for a while and go
//! on. A run that is overdue may be left once the next upstream is in hand, and stays
//! otherwise. The end of an upstream shows on its connections, without any of this.

use std::time::Duration;

/// Multiple of the limit after which a run is overdue although other runs at its upstream
/// go on. It may wait for its turn there.
const LONE_RUN_FACTOR: u32 = 4;

/// Greatest number of doublings of the limit.
const MAX_DOUBLINGS: u32 = 6;

/// Returns the limit for a request that was left `left` times because of silence. It
/// doubles each time, so that a request that takes longer than the first limit at every
/// upstream ends at one of them.
pub fn silence_limit(first: Duration, left: u32) -> Duration {
    first.saturating_mul(1 << left.min(MAX_DOUBLINGS))
}

/// How long nothing has come from an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Silence {
    /// Time since the run was sent, or sent something.
    pub run: Duration,
    /// The same of all runs at its upstream, this one included.
    pub upstream: Duration,
}

/// What silence means for a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The run is to be left alone for this time, at least.
    Wait(Duration),
    /// The run may be left if the next upstream is in hand.
    Overdue,
}

impl Silence {
    /// Judges a silence. `limit` is how long sound upstreams seldom send nothing.
    pub fn judge(self, limit: Duration) -> Verdict {
        let lone_limit = limit.saturating_mul(LONE_RUN_FACTOR);
        let left = |silence: Duration, limit: Duration| limit.saturating_sub(silence);
        let all_silent = left(self.run, limit).max(left(self.upstream, limit));
        let wait = all_silent.min(left(self.run, lone_limit));
        match wait.is_zero() {
            true => Verdict::Overdue,
            false => Verdict::Wait(wait),
        }
    }
}
