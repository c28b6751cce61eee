//! Decisions about features.

use lycheehaven_types::wire;
use serde::Deserialize;
use serde::Serialize;

use crate::feature::Feature;

/// Time until the first trial of a quarantined feature, in milliseconds.
const FIRST_RETRY_MS: i64 = 2 * 60 * 1000;

/// Longest time between trials of a quarantined feature, in milliseconds.
const MAX_RETRY_MS: i64 = 6 * 60 * 60 * 1000;

/// Time for which a decision is kept after requests may be sent again, in milliseconds.
const RETENTION_MS: i64 = 24 * 60 * 60 * 1000;

/// Whether a feature is quarantined. Of two decisions the one with the higher number
/// holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// The feature.
    pub feature: Feature,
    /// Number of the decision among those on this feature.
    #[serde(deserialize_with = "wire::count")]
    pub number: u64,
    /// Whether the feature is quarantined. Otherwise an earlier quarantine is lifted.
    pub quarantined: bool,
    /// Time of the decision, in milliseconds since the Unix epoch.
    #[serde(deserialize_with = "wire::unix_millis")]
    pub decided_ms: i64,
    /// How often the feature has been quarantined since it was last lifted.
    #[serde(deserialize_with = "wire::small_count")]
    pub times: u32,
}

impl Decision {
    /// Returns the decision that quarantines `feature` after `last`.
    pub(crate) fn quarantine(feature: Feature, last: Option<&Self>, wall_ms: i64) -> Self {
        let times = last.filter(|last| last.quarantined).map_or(0, |l| l.times);
        Self {
            feature,
            number: last.map_or(1, |last| last.number + 1),
            quarantined: true,
            decided_ms: wall_ms,
            times: times + 1,
        }
    }

    /// Returns the decision that lifts this one.
    pub(crate) fn lift(&self, wall_ms: i64) -> Self {
        Self {
            number: self.number + 1,
            quarantined: false,
            decided_ms: wall_ms,
            times: 0,
            ..*self
        }
    }

    /// Whether this decision holds rather than `other`.
    pub(crate) fn supersedes(&self, other: &Self) -> bool {
        (self.number, self.quarantined, self.decided_ms)
            > (other.number, other.quarantined, other.decided_ms)
    }

    /// Returns the milliseconds until a trial is due, 0 if it is due or the feature is
    /// not quarantined. The clock may have jumped back since the decision.
    pub fn remaining_ms(&self, wall_ms: i64) -> i64 {
        if !self.quarantined {
            return 0;
        }
        let doublings = self.times.saturating_sub(1).min(16);
        let wait = (FIRST_RETRY_MS << doublings).min(MAX_RETRY_MS);
        (self.decided_ms + wait - wall_ms).clamp(0, wait)
    }

    /// Whether the decision is so old that it can be forgotten.
    pub(crate) fn is_outdated(&self, wall_ms: i64) -> bool {
        self.remaining_ms(wall_ms) == 0 && wall_ms - self.decided_ms > RETENTION_MS
    }
}
