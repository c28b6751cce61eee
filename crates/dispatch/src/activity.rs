//! When an upstream was last heard.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

/// What was heard of an upstream on all connections of this entry.
#[derive(Debug, Default)]
pub struct Activity {
    /// Requests that it has not answered in full.
    open: Cell<usize>,
    /// When a byte of any response last arrived.
    heard: Cell<Option<Instant>>,
    /// When it was last heard, or got a request while it had none.
    quiet_since: Cell<Option<Instant>>,
}

impl Activity {
    /// Records that the upstream gets a request.
    pub fn begin(&self, now: Instant) {
        if self.open.get() == 0 {
            self.quiet_since.set(Some(now));
        }
        self.open.set(self.open.get() + 1);
    }

    /// Records that a request has ended, in whatever way.
    pub fn end(&self) {
        self.open.set(self.open.get().saturating_sub(1));
    }

    /// Records that bytes of a response arrived.
    pub fn record(&self, now: Instant) {
        self.heard.set(Some(now));
        self.quiet_since.set(Some(now));
    }

    /// Returns whether bytes ever arrived.
    pub fn was_heard(&self) -> bool {
        self.heard.get().is_some()
    }

    /// Returns whether bytes arrived after `since`, and not longer than `max_age` ago.
    pub fn is_heard(&self, since: Instant, max_age: Duration, now: Instant) -> bool {
        let heard = self.heard.get();
        heard.is_some_and(|at| at > since && now.saturating_duration_since(at) < max_age)
    }

    /// Returns for how long the upstream has said nothing though it has requests, zero if
    /// it has none.
    pub fn silence(&self, now: Instant) -> Duration {
        match self.quiet_since.get() {
            Some(since) if self.open.get() > 0 => now.saturating_duration_since(since),
            _ => Duration::ZERO,
        }
    }
}
