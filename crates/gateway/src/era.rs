//! The era of the store, which rises when the store goes back to an older copy.

use std::cell::Cell;
use std::time::Instant;

/// What this entry knows of the store's era.
#[derive(Debug)]
pub(crate) struct EraTracker {
    /// The latest era, or `None` before the first response.
    latest: Cell<Option<u64>>,
    /// When this entry first heard of the latest era, if it has risen since the start.
    rose_at: Cell<Option<Instant>>,
    /// Time before which writes of others may have been lost.
    lost_before: Cell<Option<Instant>>,
    /// Whether the whole system starts for the first time, so that no writes can have
    /// been lost before.
    first_start: bool,
}

impl EraTracker {
    pub(crate) fn new(first_start: bool) -> Self {
        Self {
            latest: Cell::default(),
            rose_at: Cell::default(),
            lost_before: Cell::default(),
            first_start,
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
            self.rose_at.set(Some(now));
            self.lost_before.set(Some(now));
            log::warn!(target: "lycheehaven", era = era, known = latest; "the store went back to an older copy; reading everything again");
        }
        era >= latest
    }

    /// Returns the latest era.
    pub(crate) fn latest(&self) -> u64 {
        self.latest.get().unwrap_or(0)
    }

    /// Returns when this entry heard that the store went back, if it did since the start.
    pub(crate) fn rose_at(&self) -> Option<Instant> {
        self.rose_at.get()
    }

    /// Returns the time before which writes of others may have been lost, if any may.
    pub(crate) fn lost_before(&self) -> Option<Instant> {
        self.lost_before.get()
    }
}
