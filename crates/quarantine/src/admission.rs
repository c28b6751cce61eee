//! Decides which requests may be sent, and as trials.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::UpstreamKey;

use crate::crash::Crashes;
use crate::decision::Decision;
use crate::feature::Feature;
use crate::quarantine::Quarantine;

/// Weight in halves from which on a feature is suspect.
pub(crate) const SUSPECT_HALVES: u32 = 4;

/// Weight in halves from which on a request is suspect if it is to be tried early.
const EARLY_SUSPECT_HALVES: u32 = 2;

/// Time after a crash in which an entry in touch may not know of it.
const NEWS_TIME: Duration = Duration::from_secs(1);

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Nothing speaks against it.
    Pass,
    /// It has a suspect feature, and may be sent as a trial.
    Trial,
    /// It has a suspect feature, and another request with it is being tried. Holds the
    /// longest time until the outcome.
    Busy(Duration),
    /// It has a quarantined feature. Holds the time until a trial is due.
    Quarantined(Duration),
}

impl Quarantine {
    /// Returns whether a request with these features may be sent now.
    pub fn admission(&self, features: &[Feature], wall_ms: i64, now: Instant) -> Admission {
        let decisions = self.decisions_against(features, wall_ms);
        let remaining = decisions.map(|decision| decision.remaining_ms(wall_ms));
        if let Some(left) = remaining.max() {
            return Admission::Quarantined(Duration::from_millis(left as u64));
        }
        let mut suspects = self.suspects_of(features).peekable();
        if suspects.peek().is_none() {
            return Admission::Pass;
        }
        let busy = suspects.filter_map(|feature| {
            let trial = self.trials.remaining(feature, now);
            let delay = self.decision_delay(feature, now);
            trial.max(delay).max(self.outcome_delay(feature, now))
        });
        match busy.max() {
            Some(wait) => Admission::Busy(wait),
            None => Admission::Trial,
        }
    }

    /// Returns the time until all entries know of the last crash under a part, so that
    /// the next trial begins with what the last one told.
    fn outcome_delay(&self, feature: &Feature, now: Instant) -> Option<Duration> {
        let crashes = self.crashes.get(feature)?;
        let last = crashes.live().last()?;
        let age = now.saturating_duration_since(last.at);
        let is_part = matches!(feature, Feature::Part(_));
        (is_part && age < NEWS_TIME).then(|| NEWS_TIME - age)
    }

    /// Returns the time until the decision on a feature that is about to be reached.
    fn decision_delay(&self, feature: &Feature, now: Instant) -> Option<Duration> {
        let due = self.due_decisions.get(feature)?;
        Some(due.saturating_duration_since(now))
    }

    /// Begins a trial at `upstream` of a request that was admitted as one. `number` is
    /// random.
    pub fn begin_trial(
        &mut self,
        number: u64,
        features: &[Feature],
        upstream: &UpstreamKey,
        now: Instant,
    ) {
        let suspects = self.suspects_among(features);
        self.trials.add(number, suspects, upstream.clone(), now);
        self.news = None;
    }

    /// Returns the upstreams that run trials. Another trial there would blur the outcome
    /// of both.
    pub fn trial_upstreams(&self, now: Instant) -> Vec<UpstreamKey> {
        let running = self.trials.running(now);
        running.map(|(_, trial)| trial.upstream.clone()).collect()
    }

    /// Records that the run of a trial has ended, whatever its outcome.
    pub fn end_trial(&mut self, number: u64, now: Instant) {
        self.trials.end(number, now);
    }

    /// Forgets a trial whose request did not run.
    pub fn cancel_trial(&mut self, number: u64) {
        self.trials.remove(number);
    }

    /// Returns whether any crash or decision is known of the features.
    pub fn knows_any(&self, features: &[Feature]) -> bool {
        let is_known = |f| self.crashes.contains_key(f) || self.decisions.contains_key(f);
        features.iter().any(is_known)
    }

    /// Returns whether a feature of the request is quarantined now.
    pub fn is_quarantined(&self, features: &[Feature], wall_ms: i64) -> bool {
        self.decisions_against(features, wall_ms).next().is_some()
    }

    /// Returns the decisions by which a request must not be sent now.
    fn decisions_against<'a>(
        &'a self,
        features: &'a [Feature],
        wall_ms: i64,
    ) -> impl Iterator<Item = &'a Decision> {
        let decisions = features.iter().filter_map(|f| self.decisions.get(f));
        decisions
            .filter(move |decision| decision.remaining_ms(wall_ms) > 0)
            .filter(|decision| !self.may_be_sound(&decision.feature, features))
    }

    /// Returns those of the features that are suspect.
    pub fn suspects_among(&self, features: &[Feature]) -> Vec<Feature> {
        self.suspects_of(features).copied().collect()
    }

    fn suspects_of<'a>(&self, features: &'a [Feature]) -> impl Iterator<Item = &'a Feature> {
        features.iter().filter(|feature| self.is_suspect(feature))
    }

    pub(crate) fn is_suspect(&self, feature: &Feature) -> bool {
        if self.is_quarantined_feature(feature) {
            return true;
        }
        let halves = self.crashes.get(feature).map_or(0, Crashes::halves);
        match feature {
            Feature::Request(_) if self.tries_early => halves >= EARLY_SUSPECT_HALVES,
            Feature::Request(_) | Feature::Part(_) => halves >= SUSPECT_HALVES,
        }
    }
}
