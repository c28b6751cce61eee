//! What entries tell each other.

use lycheehaven_catalog::UpstreamKey;
use serde::Deserialize;
use serde::Serialize;

use crate::decision::Decision;
use crate::feature::Feature;

/// A crash that may have been caused by a feature.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The feature.
    pub feature: Feature,
    /// The upstream that crashed.
    pub upstream: UpstreamKey,
    /// Milliseconds since the crash.
    pub age_ms: u32,
    /// Milliseconds from the sending of the request to the crash.
    pub run_ms: u32,
    /// Code of its weight as evidence.
    pub weight: u8,
    /// Whether a later success shows that the feature was not the cause.
    pub cleared: bool,
}

/// A trial that is running at some entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialReport {
    /// Random number of the trial.
    pub number: u64,
    /// Features that are tried.
    pub features: Vec<Feature>,
    /// Upstream that runs it.
    pub upstream: UpstreamKey,
    /// Milliseconds since it began.
    pub age_ms: u32,
}

/// What an entry knows, its own observations and those of its peers. Messages may be
/// lost, repeated and reordered.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// Recent crashes, as many as fit; the most suspect features first, then the others
    /// in turn.
    pub crashes: Vec<CrashReport>,
    /// Running trials.
    pub trials: Vec<TrialReport>,
    /// Decisions, as many as fit, in turn.
    pub decisions: Vec<Decision>,
}

impl News {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.trials.is_empty() && self.decisions.is_empty()
    }
}
