//! Decides which features are quarantined.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::UpstreamKey;

use crate::crash::Crash;
use crate::crash::Crashes;
use crate::crash::Weight;
use crate::decision::Decision;
use crate::feature::Feature;
use crate::quarantine::Quarantine;
use crate::rivals::Explanation;
use crate::suspect::Suspect;

/// Time from the crash that suffices against a prompt part to the decision, in which an
/// entry that knows of a success can tell the others.
const DECISION_DELAY: Duration = Duration::from_secs(1);

/// Interval between reviews of the suspect parts.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);

/// Threshold in halves from which on runs are lost so often that one crash in a trial may
/// be chance.
const LOSSY_HALVES: u32 = 7;

/// Weight in halves that quarantines a request: that of three crashes, or of two if one
/// happened in a trial.
const REQUEST_HALVES: u32 = 5;

/// Weight in halves that quarantines a part although no trial crashed an upstream, or
/// no message of a peer arrives that could tell of a success.
const UNTRIED_HALVES: u32 = 10;

/// Time without a message of any peer after which this entry relies on the crashes that
/// it saw itself.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Additional weight in halves that quarantines a part in spite of another one that is
/// in the same crashes.
const TIE_HALVES: u32 = 2;

/// Whether so many upstreams crashed at the beginning of a response that no trial is
/// needed.
fn is_often_begun(crashes: &Crashes) -> bool {
    crashes.halves_of(|crash| crash.weight >= Weight::Full) >= UNTRIED_HALVES
}

/// Returns in how many trials a part has to crash upstreams if these many halves are
/// needed against it.
pub(crate) fn needed_trials(needed: u32) -> u32 {
    if needed >= LOSSY_HALVES { 2 } else { 1 }
}

impl Quarantine {
    /// Quarantines a request if chance no longer explains its crashes. Plans the decision
    /// on a part.
    pub(crate) fn decide(&mut self, feature: &Feature, wall_ms: i64, now: Instant) {
        if !self.must_quarantine(feature, wall_ms, now) {
            return;
        }
        match feature {
            Feature::Request(_) => {
                self.quarantine_feature(feature, wall_ms, now);
            }
            Feature::Part(_) => {
                let due = now + DECISION_DELAY;
                self.due_decisions.entry(*feature).or_insert(due);
            }
        }
    }

    /// Makes the decisions that are due. Returns the features that are now quarantined, or
    /// whose quarantine is lifted.
    pub fn decide_due(&mut self, wall_ms: i64, now: Instant) -> Vec<Suspect> {
        if self.next_review.is_none_or(|at| now >= at) {
            self.next_review = Some(now + REVIEW_INTERVAL);
            self.review_suspects(wall_ms, now);
        }
        let due: Vec<Feature> = self
            .due_decisions
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(feature, _)| *feature)
            .collect();
        let mut quarantined = Vec::new();
        for feature in &due {
            self.due_decisions.remove(feature);
            if self.must_quarantine(feature, wall_ms, now) {
                let lifted = self.quarantine_feature(feature, wall_ms, now);
                quarantined.push(self.suspect(feature, now));
                quarantined.extend(lifted.iter().map(|feature| self.suspect(feature, now)));
            }
        }
        quarantined
    }

    /// Whether a part is suspect or a decision is due.
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty() || !self.due_decisions.is_empty()
    }

    /// Decides again about suspect parts: what explains their crashes may have changed
    /// since the last one.
    fn review_suspects(&mut self, wall_ms: i64, now: Instant) {
        let mut suspects = std::mem::take(&mut self.suspects);
        suspects.retain(|feature| self.is_suspect(feature));
        for feature in &suspects {
            self.decide(feature, wall_ms, now);
        }
        self.suspects = suspects;
    }

    /// Whether chance and other features do not explain the crashes of a feature.
    fn must_quarantine(&self, feature: &Feature, wall_ms: i64, now: Instant) -> bool {
        let decision = self.decisions.get(feature);
        let Some(crashes) = self.crashes.get(feature) else {
            return false;
        };
        // Crashes before a decision do not count again.
        if decision.is_some_and(|last| last.remaining_ms(wall_ms) > 0) {
            return false;
        }
        let is_cut_off = self.is_cut_off(now);
        let needed = match feature {
            _ if self.is_quarantined_feature(feature) => Weight::Trial.halves(),
            Feature::Part(_) if is_cut_off => UNTRIED_HALVES,
            _ => self.threshold_halves(feature, crashes),
        };
        // What was chance when the last crash happened does not become evidence later.
        let needed = match feature {
            Feature::Part(_) if !self.is_quarantined_feature(feature) => {
                needed.max(crashes.needed())
            }
            _ => needed,
        };
        if crashes.halves() < needed {
            return false;
        }
        let halves = crashes.halves_of(|crash| {
            let is_known = crash.own || !is_cut_off;
            is_known && !self.is_beside_trial(feature, crash)
        });
        let trials = needed_trials(needed);
        let is_tried = match feature {
            Feature::Request(_) => true,
            Feature::Part(_) => crashes.have_trials(trials) || is_often_begun(crashes),
        };
        if halves < needed || !is_tried {
            return false;
        }
        // Of two parts that are in the same crashes, another crash or a success tells
        // which is the cause.
        match self.explanation(feature, crashes) {
            Explanation::None => true,
            Explanation::Weaker => halves >= needed + TIE_HALVES,
            Explanation::Better => false,
        }
    }

    /// Quarantines a feature. Returns those whose quarantine this lifts.
    fn quarantine_feature(
        &mut self,
        feature: &Feature,
        wall_ms: i64,
        now: Instant,
    ) -> Vec<Feature> {
        let last = self.decisions.get(feature);
        self.set_decision(Decision::quarantine(*feature, last, wall_ms));
        self.trials.settle(feature, now);
        let lifted = self.lift_explained_by(feature, wall_ms);
        self.clear_explained_by(feature);
        lifted
    }

    /// Returns the weight in halves at which chance no longer explains these crashes.
    pub(crate) fn threshold_halves(&self, feature: &Feature, crashes: &Crashes) -> u32 {
        match feature {
            Feature::Request(_) => REQUEST_HALVES,
            Feature::Part(_) => self.error_rate.threshold_halves(crashes.live().count()),
        }
    }

    /// Whether no messages arrive, so that peers may know of successes that this entry
    /// does not know of.
    fn is_cut_off(&self, now: Instant) -> bool {
        let silence = self.heard.map(|at| now.saturating_duration_since(at));
        silence.is_some_and(|silence| silence >= CONTACT_TIMEOUT)
    }

    /// Whether a crash happened in the trial of another part.
    pub(crate) fn is_beside_trial(&self, feature: &Feature, crash: &Crash) -> bool {
        crash.weight < Weight::Trial
            && self.crashes.iter().any(|(other, others)| {
                let same = others.find(&crash.upstream);
                let is_trial =
                    same.is_some_and(|same| same.weight == Weight::Trial && !same.cleared);
                is_trial && other != feature && matches!(other, Feature::Part(_))
            })
    }

    /// Clears other features of the crashes that a quarantined part explains, but for its
    /// rivals. A request explains nothing, as its own parts may be the cause.
    pub(crate) fn clear_explained_by(&mut self, feature: &Feature) {
        if matches!(feature, Feature::Request(_)) {
            return;
        }
        let Some(crashes) = self.crashes.get(feature) else {
            return;
        };
        let crashed: Vec<UpstreamKey> = crashes.live().map(|c| c.upstream.clone()).collect();
        let rivals: Vec<Feature> = self.rivals(feature).copied().collect();
        for (other, crashes) in &mut self.crashes {
            if other != feature && !rivals.contains(other) {
                crashes.clear_where(|upstream| crashed.contains(upstream));
            }
        }
    }

    /// Whether a quarantined feature other than `feature`, and not its rival, explains the
    /// crash of `upstream`.
    pub(crate) fn is_explained(&self, feature: &Feature, upstream: &UpstreamKey) -> bool {
        let quarantined = self
            .decisions
            .values()
            .filter(|decision| decision.quarantined);
        quarantined
            .filter(|decision| decision.feature != *feature)
            .filter(|decision| matches!(decision.feature, Feature::Part(_)))
            .filter(|decision| {
                let crashes = self.crashes.get(&decision.feature);
                crashes.is_some_and(|crashes| crashes.has_live(upstream))
            })
            .any(|decision| !self.is_rival_apart_from(&decision.feature, feature, upstream))
    }

    pub(crate) fn is_quarantined_feature(&self, feature: &Feature) -> bool {
        let decision = self.decisions.get(feature);
        decision.is_some_and(|decision| decision.quarantined)
    }
}
