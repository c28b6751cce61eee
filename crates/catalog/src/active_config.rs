//! The configuration in force here, with its age.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::catalog::Catalog;

/// The newest known configuration and the time at which it was last proved to
/// be the newest. Versions only grow.
#[derive(Debug, Default)]
pub struct ActiveConfig {
    catalog: Option<Rc<Catalog>>,
    confirmed_at: Option<Instant>,
}

impl ActiveConfig {
    /// Takes over a configuration. Returns whether it is newer than the known
    /// one.
    pub fn install(&mut self, catalog: Catalog) -> bool {
        let newer = self
            .catalog
            .as_ref()
            .is_none_or(|known| catalog.version > known.version);
        if newer {
            self.catalog = Some(Rc::new(catalog));
        }
        newer
    }

    /// Notes that the store had nothing newer at `at` or later, such as when the
    /// call was sent that it answered.
    pub fn confirm(&mut self, at: Instant) {
        if self.confirmed_at.is_none_or(|known| known < at) {
            self.confirmed_at = Some(at);
        }
    }

    /// The configuration in force.
    pub fn catalog(&self) -> Option<&Rc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Notes what a peer answered to a question sent at `asked`: that it has
    /// `version`, which the store proved `age` before the answer.
    pub fn confirm_by_peer(&mut self, version: u64, asked: Instant, age: Duration, now: Instant) {
        let proved = asked.checked_sub(age).filter(|_| asked <= now);
        if let Some(proved) = proved.filter(|_| self.version() == Some(version)) {
            self.confirm(proved);
        }
    }

    /// Version of the configuration in force.
    pub fn version(&self) -> Option<u64> {
        self.catalog.as_ref().map(|catalog| catalog.version)
    }

    /// Time since the configuration was last proved to be the newest.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.catalog.as_ref()?;
        Some(now.saturating_duration_since(self.confirmed_at?))
    }

    /// Whether the age is below `bound`.
    pub fn is_fresh(&self, now: Instant, bound: Duration) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }
}
