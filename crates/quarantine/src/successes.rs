//! Recent successes.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::HashMap;

use crate::feature::Feature;

/// Most features kept in each of the two generations.
const MAX_FEATURES: usize = 8192;

/// Age of a generation at which the next one begins.
const GENERATION_TIME: Duration = Duration::from_secs(15);

/// When the last successful run of each feature began. Forgets a feature one or two
/// generations after its last success.
#[derive(Debug, Default)]
pub(crate) struct Successes {
    current: HashMap<Feature, Instant>,
    previous: HashMap<Feature, Instant>,
    started: Option<Instant>,
}

impl Successes {
    pub(crate) fn record(&mut self, feature: Feature, began: Instant, now: Instant) {
        let started = *self.started.get_or_insert(now);
        let old = now.saturating_duration_since(started) >= GENERATION_TIME;
        if old || self.current.len() >= MAX_FEATURES {
            self.previous = std::mem::take(&mut self.current);
            self.started = Some(now);
        }
        let last = self.current.entry(feature).or_insert(began);
        *last = began.max(*last);
    }

    /// Returns when the last known successful run began.
    pub(crate) fn last(&self, feature: &Feature) -> Option<Instant> {
        let current = self.current.get(feature);
        current.or_else(|| self.previous.get(feature)).copied()
    }
}
