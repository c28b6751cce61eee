//! What is known against a feature, for logs and operators.

use std::fmt;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::UpstreamKey;
use lycheehaven_types::ErrorKind;
use lycheehaven_types::Failure;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::crash::Crashes;
use crate::decision::Decision;
use crate::feature::Feature;
use crate::quarantine::Quarantine;

/// Most suspects in a summary.
const MAX_SUMMARY: usize = 8;

/// A feature that crashes speak against.
#[derive(Debug, Clone, PartialEq)]
pub struct Suspect {
    /// The feature.
    pub feature: Feature,
    /// Weight of the evidence; a crash of a request that the upstream had begun to
    /// answer weighs 1.
    pub weight: f64,
    /// Weight from which on the feature is quarantined.
    pub threshold: f64,
    /// Upstreams that crashed, each with the time since then.
    pub crashes: Vec<(UpstreamKey, Duration)>,
    /// The decision, if there is one.
    pub decision: Option<Decision>,
}

impl fmt::Display for Suspect {
    /// Writes the feature, and its weight out of the threshold.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}/{}", self.feature, self.weight, self.threshold)
    }
}

/// A [`Suspect`] as the operators' API shows it.
#[derive(Debug, Serialize)]
pub struct SuspectView {
    /// The feature.
    pub feature: Feature,
    /// Whether it is quarantined.
    pub quarantined: bool,
    /// Weight of the evidence.
    pub weight: f64,
    /// Weight from which on the feature is quarantined.
    pub threshold: f64,
    /// Ids of the upstreams that crashed.
    pub upstreams: Vec<String>,
    /// Milliseconds since the last crash, if one is known.
    pub crash_age_ms: Option<u64>,
    /// Milliseconds until a request with it is tried.
    pub trial_ms: i64,
}

/// An operator's call to lift the quarantine of a feature.
#[derive(Debug, Deserialize)]
pub struct LiftCall {
    /// The feature.
    pub feature: Feature,
}

impl LiftCall {
    /// Decodes the body of a call.
    ///
    /// # Errors
    /// Fails with [`ErrorKind::BadRequest`] if it is malformed.
    pub fn decode(body: &[u8]) -> Result<Self, Failure> {
        serde_json::from_slice(body)
            .map_err(|cause| Failure::new(ErrorKind::BadRequest, cause.to_string()))
    }

    /// Returns the body of the response.
    ///
    /// # Errors
    /// Fails with [`ErrorKind::NotFound`] if the feature was not quarantined.
    pub fn response(&self, was_quarantined: bool) -> Result<Value, Failure> {
        if was_quarantined {
            return Ok(json!({ "lifted": self.feature }));
        }
        let message = format!("{} is not quarantined", self.feature);
        Err(Failure::new(ErrorKind::NotFound, message))
    }
}

impl Suspect {
    /// Returns the suspects with the most evidence as text, as many as fit into a log
    /// line.
    pub fn summarize(suspects: &[Self]) -> String {
        let mut strongest: Vec<&Self> = suspects.iter().collect();
        strongest.sort_by(|a, b| b.weight.total_cmp(&a.weight));
        strongest.truncate(MAX_SUMMARY);
        let texts: Vec<String> = strongest.iter().map(ToString::to_string).collect();
        texts.join(", ")
    }

    /// Returns what the operators' API shows at `wall_ms`.
    pub fn view(&self, wall_ms: i64) -> SuspectView {
        let decision = self.decision.filter(|decision| decision.quarantined);
        let upstreams = self.crashes.iter().map(|(key, _)| key.id.to_string());
        let last = self.crashes.iter().map(|(_, age)| *age).min();
        SuspectView {
            feature: self.feature,
            quarantined: decision.is_some(),
            weight: self.weight,
            threshold: self.threshold,
            upstreams: upstreams.collect(),
            crash_age_ms: last.map(|age| age.as_millis() as u64),
            trial_ms: decision.map_or(0, |decision| decision.remaining_ms(wall_ms)),
        }
    }
}

impl Quarantine {
    /// Returns what crashes say about a feature.
    pub(crate) fn suspect(&self, feature: &Feature, now: Instant) -> Suspect {
        let none = Crashes::default();
        let crashes = self.crashes.get(feature).unwrap_or(&none);
        let crashed = crashes
            .live()
            .map(|c| (c.upstream.clone(), now.saturating_duration_since(c.at)));
        let threshold = self.threshold_halves(feature, crashes);
        Suspect {
            feature: *feature,
            weight: f64::from(crashes.halves()) / 2.0,
            threshold: f64::from(threshold) / 2.0,
            crashes: crashed.collect(),
            decision: self.decisions.get(feature).copied(),
        }
    }

    /// Returns the suspect and quarantined features, for operators.
    pub fn suspects(&self, now: Instant) -> Vec<Suspect> {
        let suspects = self.crashes.keys().filter(|f| self.is_suspect(f));
        let judged = self.decisions.keys();
        let judged = judged.filter(|feature| !self.crashes.contains_key(*feature));
        let mut all: Vec<Feature> = suspects.chain(judged).copied().collect();
        all.sort_unstable();
        all.iter()
            .map(|feature| self.suspect(feature, now))
            .collect()
    }
}
