//! The configuration in force at this entry, and its age.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::catalog::Catalog;

/// The newest known configuration and the time at which it was last confirmed to
/// be the newest. Its version only increases.
#[derive(Debug, Default)]
pub struct ActiveConfig {
    catalog: Option<Rc<Catalog>>,
    confirmed_at: Option<Instant>,
}

impl ActiveConfig {
    /// Installs a configuration if it is newer than the one in force. Returns
    /// whether it is.
    pub fn install(&mut self, catalog: Catalog) -> bool {
        let is_newer = self
            .catalog
            .as_ref()
            .is_none_or(|known| catalog.version > known.version);
        if is_newer {
            self.catalog = Some(Rc::new(catalog));
        }
        is_newer
    }

    /// Records that the configuration in force was still the newest in the store
    /// at `at`, for example the time at which an answered call was sent.
    pub fn confirm(&mut self, at: Instant) {
        if self.confirmed_at.is_none_or(|known| known < at) {
            self.confirmed_at = Some(at);
        }
    }

    /// Returns the configuration in force.
    pub fn catalog(&self) -> Option<&Rc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Records the answer of a peer to a query sent at `sent_at`: the peer has
    /// `version`, which the store confirmed `age` before the answer.
    ///
    /// The configuration counts as confirmed at `sent_at` less `age`, which is no
    /// later than the store's confirmation. The answer is ignored if it concerns
    /// another version or if `sent_at` lies after `now`.
    pub fn confirm_by_peer(&mut self, version: u64, sent_at: Instant, age: Duration, now: Instant) {
        let confirmed_at = sent_at.checked_sub(age).filter(|_| sent_at <= now);
        if let Some(confirmed_at) = confirmed_at.filter(|_| self.version() == Some(version)) {
            self.confirm(confirmed_at);
        }
    }

    /// Returns the version of the configuration in force.
    pub fn version(&self) -> Option<u64> {
        self.catalog.as_ref().map(|catalog| catalog.version)
    }

    /// Returns the time since the configuration was last confirmed to be the
    /// newest.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.catalog.as_ref()?;
        Some(now.saturating_duration_since(self.confirmed_at?))
    }

    /// Returns whether the age is below `bound`.
    pub fn is_fresh(&self, now: Instant, bound: Duration) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }
}
