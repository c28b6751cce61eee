//! Tells apart the parts that come together in requests.

use lycheehaven_catalog::UpstreamKey;

use crate::crash::Crashes;
use crate::crash::Weight;
use crate::decide::needed_trials;
use crate::decision::Decision;
use crate::feature::Feature;
use crate::quarantine::Quarantine;

/// What another feature says about the crashes of a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Explanation {
    /// No other feature is in all of them.
    None,
    /// Another part is, but is the less likely cause.
    Weaker,
    /// Another feature is, and is at least as likely the cause.
    Better,
}

impl Quarantine {
    /// Returns the best explanation of the crashes of a feature by another one.
    pub(crate) fn explanation(&self, feature: &Feature, crashes: &Crashes) -> Explanation {
        if matches!(feature, Feature::Request(_)) {
            return Explanation::None;
        }
        let others = self.crashes.iter().filter(|(other, _)| *other != feature);
        let explanations = others.map(|(other, others)| match other {
            Feature::Request(_) => self.explanation_by_repeats(feature, crashes, others),
            Feature::Part(_) => self.explanation_by_part((feature, crashes), (other, others)),
        });
        explanations.max().unwrap_or(Explanation::None)
    }

    /// Returns whether repeats of one request explain the crashes of a part.
    fn explanation_by_repeats(
        &self,
        feature: &Feature,
        crashes: &Crashes,
        repeats: &Crashes,
    ) -> Explanation {
        let is_repeated = repeats.include(crashes)
            && repeats.halves() >= self.separate_halves(feature, crashes, None);
        if is_repeated {
            Explanation::Better
        } else {
            Explanation::None
        }
    }

    /// Returns whether another part explains the crashes of a part.
    fn explanation_by_part(
        &self,
        part: (&Feature, &Crashes),
        other: (&Feature, &Crashes),
    ) -> Explanation {
        let (feature, crashes) = part;
        let overlap = crashes
            .live()
            .any(|crash| other.1.has_live(&crash.upstream));
        if !overlap || self.is_separate(feature, crashes, other.1) {
            return Explanation::None;
        }
        if self.is_separate(other.0, other.1, crashes) {
            return Explanation::Better;
        }
        // A part of the prompt comes with those before it, and they also come without it.
        // Who lost a run knows which is later, and decides.
        let is_later = crashes.come_after(other.1).unwrap_or_else(|| {
            let halves = self.shared_halves(feature, crashes, other.1);
            halves > self.shared_halves(other.0, other.1, crashes)
        });
        if is_later {
            Explanation::Weaker
        } else {
            Explanation::Better
        }
    }

    /// Whether crashes under one part, but not under another, show that the other one is
    /// not the cause: as many as are needed in trials.
    fn is_separate(&self, feature: &Feature, crashes: &Crashes, other: &Crashes) -> bool {
        let trials = needed_trials(self.threshold_halves(feature, crashes));
        self.separate_halves(feature, crashes, Some(other)) >= trials * Weight::Trial.halves()
    }

    /// Returns the weight of the crashes that happened neither under `other` nor in the
    /// trial of another part, in halves.
    fn separate_halves(
        &self,
        feature: &Feature,
        crashes: &Crashes,
        other: Option<&Crashes>,
    ) -> u32 {
        crashes.halves_of(|crash| {
            let is_shared = other.is_some_and(|other| other.has_live(&crash.upstream));
            !is_shared && !self.is_beside_trial(feature, crash)
        })
    }

    /// Returns the weight of the crashes that happened under `other` too, and not in the
    /// trial of another part, in halves.
    fn shared_halves(&self, feature: &Feature, crashes: &Crashes, other: &Crashes) -> u32 {
        crashes.halves_of(|crash| {
            other.has_live(&crash.upstream) && !self.is_beside_trial(feature, crash)
        })
    }

    /// Returns the suspect parts that are in all crashes of a quarantined part: one of them
    /// may be the cause in its place.
    pub(crate) fn rivals(&self, feature: &Feature) -> impl Iterator<Item = &Feature> {
        let crashes = self.crashes.get(feature);
        let crashes = crashes.filter(|crashes| crashes.live().next().is_some());
        self.suspects.iter().filter(move |other| {
            let others = self.crashes.get(*other);
            let includes = others
                .zip(crashes)
                .is_some_and(|(others, crashes)| others.include(crashes));
            includes && *other != feature && matches!(other, Feature::Part(_))
        })
    }

    /// Whether `other` is in all crashes of the part `feature`, that of `upstream` aside.
    pub(crate) fn is_rival_apart_from(
        &self,
        feature: &Feature,
        other: &Feature,
        upstream: &UpstreamKey,
    ) -> bool {
        let (Some(crashes), Some(others)) = (self.crashes.get(feature), self.crashes.get(other))
        else {
            return false;
        };
        let mut earlier = crashes.live().filter(|crash| crash.upstream != *upstream);
        self.suspects.contains(other) && earlier.all(|crash| others.has_live(&crash.upstream))
    }

    /// Whether a quarantined part is not known to be the cause, because a rival is that does
    /// not come with these features.
    pub(crate) fn may_be_sound(&self, feature: &Feature, features: &[Feature]) -> bool {
        matches!(feature, Feature::Part(_))
            && self.rivals(feature).any(|rival| !features.contains(rival))
    }

    /// Lifts the quarantine of parts all of whose crashes a part explains that has just been
    /// quarantined. Returns these parts.
    pub(crate) fn lift_explained_by(&mut self, feature: &Feature, wall_ms: i64) -> Vec<Feature> {
        let crashes = self.crashes.get(feature);
        let Some(crashes) = crashes.filter(|_| matches!(feature, Feature::Part(_))) else {
            return Vec::new();
        };
        let quarantined = self.decisions.values().filter(|d| d.quarantined);
        let explained = quarantined.filter(|decision| {
            let others = self.crashes.get(&decision.feature);
            let is_included = others
                .is_some_and(|others| others.live().next().is_some() && crashes.include(others));
            is_included && decision.feature != *feature
        });
        let lifted: Vec<Decision> = explained.map(|decision| decision.lift(wall_ms)).collect();
        for decision in &lifted {
            self.clear_all(&decision.feature);
            self.set_decision(*decision);
        }
        lifted.iter().map(|decision| decision.feature).collect()
    }
}
