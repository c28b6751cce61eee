//! The state of one entry.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::UpstreamKey;
use lycheehaven_types::HashMap;
use lycheehaven_types::HashSet;

use crate::crash::Crash;
use crate::crash::Crashes;
use crate::crash::Progress;
use crate::crash::Weight;
use crate::decision::Decision;
use crate::error_rate::ErrorRate;
use crate::feature::Feature;
use crate::news::News;
use crate::successes::Successes;
use crate::suspect::Suspect;
use crate::trial::Trials;

/// Longest time between a broken connection and the detection that its upstream is
/// down for which the crash is attributed to the request.
const ATTRIBUTION_WINDOW: Duration = Duration::from_secs(5);

/// A run that began this long before a crash, and succeeded, still shows that its
/// features were not the cause.
const SUCCESS_SLACK: Duration = Duration::from_secs(2);

/// Time for which a crash is kept.
const CRASH_RETENTION: Duration = Duration::from_secs(30 * 60);

/// Most features with crashes that are kept.
const MAX_FEATURES: usize = 4096;

/// A run whose connection broke.
#[derive(Debug, Clone)]
pub struct BrokenRun<'a> {
    /// Features of the request.
    pub features: &'a [Feature],
    /// Upstream that ran it.
    pub upstream: &'a UpstreamKey,
    /// When it was sent.
    pub sent: Instant,
    /// How far it had got.
    pub progress: Progress,
    /// Whether it was a trial.
    pub is_trial: bool,
}

#[derive(Debug)]
struct PendingRun {
    features: Vec<Feature>,
    upstream: UpstreamKey,
    sent: Instant,
    progress: Progress,
    is_trial: bool,
    broken: Instant,
}

/// Evidence on the features of requests, and what follows from it.
#[derive(Debug, Default)]
pub struct Quarantine {
    pending: VecDeque<PendingRun>,
    pub(crate) crashes: HashMap<Feature, Crashes>,
    successes: Successes,
    pub(crate) error_rate: ErrorRate,
    pub(crate) trials: Trials,
    pub(crate) decisions: HashMap<Feature, Decision>,
    pub(crate) tries_early: bool,
    /// Most crashes, trials and decisions in a message.
    pub(crate) max_reports: usize,
    /// Whether other entries learn from this one what its peers tell it.
    pub(crate) relays: bool,
    /// When the last message of a peer arrived.
    pub(crate) heard: Option<Instant>,
    /// Parts that were suspect when a crash was last recorded.
    pub(crate) suspects: HashSet<Feature>,
    pub(crate) next_review: Option<Instant>,
    /// When the decision on a part is due, unless a success clears it.
    pub(crate) due_decisions: HashMap<Feature, Instant>,
    /// Number of changes of the decisions.
    pub(crate) changes: u64,
    /// The last news, and the interval for which it was collected.
    pub(crate) news: Option<(u64, News)>,
}

impl Quarantine {
    /// Creates a state whose messages hold at most `max_reports` crashes, and as many
    /// trials and decisions.
    pub fn new(max_reports: usize) -> Self {
        Self {
            max_reports,
            ..Self::default()
        }
    }

    /// Makes a request suspect from its first crash on. This suits an entry that repeats
    /// lost requests itself, where all of them can be trials.
    pub fn trying_early(mut self) -> Self {
        self.tries_early = true;
        self
    }

    /// Sets whether other entries learn from this one what its peers tell it.
    pub fn set_relay(&mut self, relays: bool) {
        self.relays = relays;
    }

    /// Records that the connection of a run broke. It counts as a crash only if its
    /// upstream turns out to be down.
    pub fn record_broken(&mut self, run: &BrokenRun<'_>, now: Instant) {
        self.pending.push_back(PendingRun {
            features: run.features.to_vec(),
            upstream: run.upstream.clone(),
            sent: run.sent,
            progress: run.progress,
            is_trial: run.is_trial,
            broken: now,
        });
        while let Some(first) = self.pending.front() {
            if now.saturating_duration_since(first.broken) < ATTRIBUTION_WINDOW {
                break;
            }
            self.pending.pop_front();
        }
    }

    /// Records that `upstream` is down, and attributes the crash to the runs whose
    /// connections to it broke within the attribution window. Returns what is now known
    /// against the features of these runs.
    pub fn record_down(
        &mut self,
        upstream: &UpstreamKey,
        wall_ms: i64,
        now: Instant,
    ) -> Vec<Suspect> {
        let lost = self.take_lost(upstream, now);
        let mut features = lost.iter().flat_map(|run| &run.features);
        let has_suspect = features.any(|feature| self.is_suspect(feature));
        let mut changed = Vec::new();
        for run in &lost {
            if run.progress != Progress::Proven && !has_suspect {
                self.error_rate.record_loss(now);
            }
            self.add_lost_run(run, &mut changed, now);
        }
        for feature in &changed {
            self.decide(feature, wall_ms, now);
        }
        changed
            .iter()
            .map(|feature| self.suspect(feature, now))
            .collect()
    }

    /// Removes and returns the runs whose connections to `upstream` broke lately.
    fn take_lost(&mut self, upstream: &UpstreamKey, now: Instant) -> Vec<PendingRun> {
        let pending = std::mem::take(&mut self.pending);
        let recent = pending
            .into_iter()
            .filter(|run| now.saturating_duration_since(run.broken) < ATTRIBUTION_WINDOW);
        let (lost, others) = recent.partition(|run| run.upstream == *upstream);
        self.pending = others;
        Vec::from(lost)
    }

    /// Adds a crash to each feature of a lost run that it speaks against, and these
    /// features to `changed`.
    fn add_lost_run(&mut self, run: &PendingRun, changed: &mut Vec<Feature>, now: Instant) {
        for (place, feature) in run.features.iter().enumerate() {
            let is_clear = run.is_trial && !self.trials.has_other(&run.upstream, feature, now);
            let Some(weight) = Weight::of(feature, run.progress, is_clear) else {
                continue;
            };
            let crash = Crash {
                upstream: run.upstream.clone(),
                at: now,
                sent: run.sent,
                weight,
                place: Some(place),
                cleared: false,
                own: true,
                shared: false,
                told: false,
            };
            self.add_crash(*feature, crash, now);
            if !changed.contains(feature) {
                changed.push(*feature);
            }
        }
    }

    pub(crate) fn add_crash(&mut self, feature: Feature, mut crash: Crash, now: Instant) {
        let succeeded = self.successes.last(&feature);
        let is_cleared = succeeded.is_some_and(|began| crash.at <= began + SUCCESS_SLACK);
        if !crash.cleared && (is_cleared || self.is_explained(&feature, &crash.upstream)) {
            crash.cleared = true;
            crash.told = false;
        }
        if !self.crashes.contains_key(&feature) && self.crashes.len() >= MAX_FEATURES {
            self.make_room(now);
        }
        self.trials.settle(&feature, now);
        let crashes = self.crashes.entry(feature).or_default();
        crashes.add(crash);
        let live = crashes.live().count();
        crashes.set_needed(self.error_rate.threshold_halves(live));
        if self.is_quarantined_feature(&feature) {
            self.clear_explained_by(&feature);
        } else if self.is_suspect(&feature) {
            self.suspects.insert(feature);
        }
    }

    /// Removes half of the features, those with the least evidence.
    fn make_room(&mut self, now: Instant) {
        self.prune_crashes(now);
        let mut weights: Vec<u32> = self.crashes.values().map(Crashes::halves).collect();
        if weights.len() < MAX_FEATURES {
            return;
        }
        weights.sort_unstable();
        let limit = weights[weights.len() / 2];
        self.crashes.retain(|_, crashes| crashes.halves() > limit);
    }

    /// Records that a request was answered in full by a run that began at `began`.
    /// Returns the features whose quarantine this lifts.
    pub fn record_answered(
        &mut self,
        features: &[Feature],
        began: Instant,
        wall_ms: i64,
        now: Instant,
    ) -> Vec<Feature> {
        self.error_rate.record_success(now);
        self.record_success(features, began, wall_ms, now)
    }

    /// Records that the answer of a run that began at `began` goes on. This shows that
    /// no part of the prompt crashes upstreams. Returns the features whose quarantine this
    /// lifts.
    pub fn record_proven(
        &mut self,
        features: &[Feature],
        began: Instant,
        wall_ms: i64,
        now: Instant,
    ) -> Vec<Feature> {
        let parts: Vec<Feature> = features
            .iter()
            .filter(|feature| matches!(feature, Feature::Part(_)))
            .copied()
            .collect();
        self.record_success(&parts, began, wall_ms, now)
    }

    fn record_success(
        &mut self,
        features: &[Feature],
        began: Instant,
        wall_ms: i64,
        now: Instant,
    ) -> Vec<Feature> {
        let mut lifted = Vec::new();
        for feature in features {
            self.successes.record(*feature, began, now);
            if let Some(crashes) = self.crashes.get_mut(feature) {
                crashes.clear_until(began + SUCCESS_SLACK);
                self.trials.settle(feature, now);
            }
            if self.lift_if_cleared(feature, wall_ms) {
                lifted.push(*feature);
            }
        }
        lifted
    }

    /// Lifts the quarantine of a feature after a success if no crash speaks against it any
    /// more. Returns whether it was quarantined.
    fn lift_if_cleared(&mut self, feature: &Feature, wall_ms: i64) -> bool {
        let crashes = self.crashes.get(feature);
        let is_cleared = crashes.is_none_or(|crashes| crashes.live().next().is_none());
        let decision = self.decisions.get(feature).copied();
        let Some(decision) = decision.filter(|decision| decision.quarantined && is_cleared) else {
            return false;
        };
        self.set_decision(decision.lift(wall_ms));
        true
    }

    pub(crate) fn clear_all(&mut self, feature: &Feature) {
        if let Some(crashes) = self.crashes.get_mut(feature) {
            crashes.clear_where(|_| true);
        }
    }

    /// Lifts the quarantine of a feature, as an operator demands. Returns whether it was
    /// quarantined.
    pub fn lift(&mut self, feature: &Feature, wall_ms: i64) -> bool {
        let decision = self.decisions.get(feature).copied();
        let Some(decision) = decision.filter(|decision| decision.quarantined) else {
            return false;
        };
        self.clear_all(feature);
        self.set_decision(decision.lift(wall_ms));
        true
    }

    pub(crate) fn set_decision(&mut self, decision: Decision) {
        self.decisions.insert(decision.feature, decision);
        self.changes += 1;
    }

    /// Returns the decisions to store, in a fixed order.
    pub fn decisions(&self) -> Vec<Decision> {
        let mut decisions: Vec<Decision> = self.decisions.values().copied().collect();
        decisions.sort_unstable_by_key(|decision| decision.feature);
        decisions
    }

    /// Returns the number of quarantined features.
    pub fn quarantined_count(&self) -> usize {
        let decisions = self.decisions.values();
        decisions.filter(|decision| decision.quarantined).count()
    }

    /// Returns a number that changes with the decisions.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    fn prune_crashes(&mut self, now: Instant) {
        self.crashes.retain(|_, crashes| {
            crashes.prune(CRASH_RETENTION, now);
            !crashes.is_empty()
        });
    }

    /// Forgets what is outdated.
    pub fn prune(&mut self, wall_ms: i64, now: Instant) {
        self.trials.prune(now);
        self.prune_crashes(now);
        let before = self.decisions.len();
        self.decisions
            .retain(|_, decision| !decision.is_outdated(wall_ms));
        if self.decisions.len() != before {
            self.changes += 1;
        }
    }
}
