//! Runs of suspect requests.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::UpstreamKey;
use lycheehaven_types::HashMap;

use crate::feature::Feature;

/// Longest time for which a trial keeps other requests with the feature waiting.
pub(crate) const TRIAL_TIME: Duration = Duration::from_secs(3);

/// Time that is left for the outcome of a trial to become known after its run ended.
const OUTCOME_TIME: Duration = Duration::from_millis(500);

/// A request with a suspect feature that an entry has sent.
#[derive(Debug, Clone)]
pub(crate) struct Trial {
    pub(crate) features: Vec<Feature>,
    pub(crate) upstream: UpstreamKey,
    pub(crate) began: Instant,
    ends: Instant,
}

/// Trials here and at peers. Each has a random number, so that a trial that several
/// peers report is kept once.
#[derive(Debug, Default)]
pub(crate) struct Trials {
    trials: HashMap<u64, Trial>,
}

impl Trials {
    /// Adds a trial that began at `began`, unless it is known.
    pub(crate) fn add(
        &mut self,
        number: u64,
        features: Vec<Feature>,
        upstream: UpstreamKey,
        began: Instant,
    ) {
        self.trials.entry(number).or_insert(Trial {
            features,
            upstream,
            began,
            ends: began + TRIAL_TIME,
        });
    }

    /// Records that the run of a trial ended.
    pub(crate) fn end(&mut self, number: u64, now: Instant) {
        if let Some(trial) = self.trials.get_mut(&number) {
            trial.ends = trial.ends.min(now + OUTCOME_TIME);
        }
    }

    /// Forgets a trial.
    pub(crate) fn remove(&mut self, number: u64) {
        self.trials.remove(&number);
    }

    /// Ends the trials of a feature whose outcome is known.
    pub(crate) fn settle(&mut self, feature: &Feature, now: Instant) {
        for trial in self.trials.values_mut() {
            if trial.features.contains(feature) {
                trial.ends = trial.ends.min(now);
            }
        }
    }

    /// Returns the time until no trial of the feature is running, or `None` if there is
    /// none.
    pub(crate) fn remaining(&self, feature: &Feature, now: Instant) -> Option<Duration> {
        let trials = self.trials.values();
        let own = trials.filter(|trial| trial.features.contains(feature));
        let ends = own.map(|trial| trial.ends).max()?;
        (ends > now).then(|| ends - now)
    }

    /// Returns the trials that are running.
    pub(crate) fn running(&self, now: Instant) -> impl Iterator<Item = (u64, &Trial)> {
        let trials = self.trials.iter().map(|(number, trial)| (*number, trial));
        trials.filter(move |(_, trial)| trial.ends > now)
    }

    /// Whether an upstream runs a trial of other features than `feature`.
    pub(crate) fn has_other(
        &self,
        upstream: &UpstreamKey,
        feature: &Feature,
        now: Instant,
    ) -> bool {
        self.running(now)
            .any(|(_, trial)| trial.upstream == *upstream && !trial.features.contains(feature))
    }

    /// Removes trials that a peer no longer reports.
    pub(crate) fn prune(&mut self, now: Instant) {
        self.trials
            .retain(|_, trial| now.saturating_duration_since(trial.began) < 2 * TRIAL_TIME);
    }
}
