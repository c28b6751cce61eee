//! The era of the store, which rises when the store goes back to an older copy.

use std::cell::Cell;
use std::time::Instant;

use tokio::sync::Notify;

/// What this entry knows of the store's era.
#[derive(Debug)]
pub(crate) struct EraTracker {
    /// The latest era, or `None` before the first response.
    latest: Cell<Option<u64>>,
    /// Time before which writes of others may have been lost.
    lost_before: Cell<Option<Instant>>,
    /// Whether the whole system starts for the first time, so that no writes can have
    /// been lost before.
    first_start: bool,
    /// Wakes watches when the era rises.
    risen: Notify,
}

impl EraTracker {
    pub(crate) fn new(first_start: bool) -> Self {
        Self {
            latest: Cell::default(),
            lost_before: Cell::default(),
            first_start,
            risen: Notify::new(),
        }
    }

    /// Takes note of the era that a response states, if any. Returns `false` if the
    /// response is from before the store went back.
    pub(crate) fn record(&self, stated: Option<u64>, now: Instant) -> bool {
        let Some(latest) = self.latest.get() else {
            let era = stated.unwrap_or(0);
            self.latest.set(Some(era));
            // The store may have gone back just before this process started.
            let may_have_lost = era > 0 && !self.first_start;
            self.lost_before.set(may_have_lost.then_some(now));
            return true;
        };
        let era = stated.unwrap_or(latest);
        if era > latest {
            self.latest.set(Some(era));
            self.lost_before.set(Some(now));
            self.risen.notify_waiters();
            log::warn!(target: "lycheehaven", era = era, known = latest; "the store went back to an older copy; reading everything again");
        }
        era >= latest
    }

    /// Waits until the era rises.
    pub(crate) async fn rise(&self) {
        self.risen.notified().await;
    }

    /// Returns the latest era.
    pub(crate) fn latest(&self) -> u64 {
        self.latest.get().unwrap_or(0)
    }

    /// Returns the time before which writes of others may have been lost, if any may.
    pub(crate) fn lost_before(&self) -> Option<Instant> {
        self.lost_before.get()
    }
}
