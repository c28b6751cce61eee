//! Crashes that may have been caused by a feature.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::UpstreamKey;

use crate::feature::Feature;

/// Time after a crash from which on another one is taken for a separate event.
const EVENT_WINDOW: Duration = Duration::from_millis(300);

/// Most crashes that are kept for a feature.
const MAX_CRASHES: usize = 16;

/// How far a run had got when its connection broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// No response had arrived. The upstream may not have begun the run.
    Sent,
    /// The response had just begun: at most one event of a stream had arrived.
    Begun,
    /// The response had gone on, but not for long.
    Going,
    /// The response had gone on for so long that its beginning did not crash the
    /// upstream.
    Proven,
}

/// A crash of an upstream that was running a request with some feature.
#[derive(Debug, Clone)]
pub(crate) struct Crash {
    pub(crate) upstream: UpstreamKey,
    pub(crate) at: Instant,
    /// When the request was sent.
    pub(crate) sent: Instant,
    pub(crate) weight: Weight,
    /// Place of the feature among those of the request, if this entry lost the run.
    pub(crate) place: Option<usize>,
    /// Whether a later success shows that the feature was not the cause.
    pub(crate) cleared: bool,
    /// Whether this entry lost a run in it.
    pub(crate) own: bool,
    /// Whether peers may know of it.
    pub(crate) shared: bool,
    /// Whether the peers were told of it as it is now.
    pub(crate) told: bool,
}

/// How strongly a crash speaks against a feature.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Weight {
    /// The upstream may not have begun the run, or had already gone on with it.
    Half,
    /// The upstream had just begun the run.
    Full,
    /// As [`Weight::Half`], but the run was a trial, chosen before the crash and alone at
    /// its upstream.
    WeakTrial,
    /// As [`Weight::Full`], and the run was such a trial.
    Trial,
}

impl Weight {
    /// Returns the weight of a crash for a feature of a run, or `None` if the crash
    /// says nothing about it.
    pub(crate) fn of(feature: &Feature, progress: Progress, is_trial: bool) -> Option<Self> {
        match (feature, progress) {
            (Feature::Part(_), Progress::Proven) => None,
            (Feature::Request(_), Progress::Proven) => Some(Self::Full),
            (Feature::Part(_), Progress::Sent | Progress::Going) if is_trial => {
                Some(Self::WeakTrial)
            }
            (Feature::Part(_), Progress::Sent | Progress::Going) => Some(Self::Half),
            (Feature::Request(_) | Feature::Part(_), _) if is_trial => Some(Self::Trial),
            (Feature::Request(_) | Feature::Part(_), _) => Some(Self::Full),
        }
    }

    /// Returns the weight in halves of [`Weight::Full`].
    pub(crate) const fn halves(self) -> u32 {
        match self {
            Self::Half => 1,
            Self::Full | Self::WeakTrial => 2,
            Self::Trial => 3,
        }
    }

    /// Encodes the weight for a report.
    pub(crate) fn code(self) -> u8 {
        self as u8
    }

    /// Decodes what [`Weight::code`] returned. An unknown code has the least weight.
    pub(crate) fn from_code(code: u8) -> Self {
        let weights = [Self::Half, Self::Full, Self::WeakTrial, Self::Trial];
        let known = weights.into_iter().find(|weight| weight.code() == code);
        known.unwrap_or(Self::Half)
    }
}

/// The crashes of one feature, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    list: Vec<Crash>,
    /// Weight in halves that was needed for a decision at the last crash.
    needed: u32,
}

impl Crashes {
    /// Adds a crash, or merges it with what is known of the same crash.
    pub(crate) fn add(&mut self, crash: Crash) {
        if let Some(known) = self.list.iter_mut().find(|c| c.upstream == crash.upstream) {
            let gains = crash.weight > known.weight || (crash.cleared && !known.cleared);
            known.weight = known.weight.max(crash.weight);
            known.place = known.place.max(crash.place);
            known.cleared |= crash.cleared;
            known.own |= crash.own;
            known.shared |= crash.shared;
            known.told &= crash.told || !gains;
            return;
        }
        if self.list.len() >= MAX_CRASHES {
            self.list.remove(0);
        }
        let index = self.list.partition_point(|known| known.at <= crash.at);
        self.list.insert(index, crash);
    }

    /// Sets the weight in halves that is needed for a decision until the next crash.
    pub(crate) fn set_needed(&mut self, halves: u32) {
        self.needed = halves;
    }

    pub(crate) fn needed(&self) -> u32 {
        self.needed
    }

    /// Clears the crashes up to `until`.
    pub(crate) fn clear_until(&mut self, until: Instant) {
        self.clear_if(|crash| crash.at <= until);
    }

    /// Clears the crashes of the upstreams for which `is_cleared` returns true.
    pub(crate) fn clear_where(&mut self, is_cleared: impl Fn(&UpstreamKey) -> bool) {
        self.clear_if(|crash| is_cleared(&crash.upstream));
    }

    fn clear_if(&mut self, is_cleared: impl Fn(&Crash) -> bool) {
        for crash in &mut self.list {
            if !crash.cleared && is_cleared(crash) {
                crash.cleared = true;
                crash.told = false;
            }
        }
    }

    /// Removes crashes older than `retention`.
    pub(crate) fn prune(&mut self, retention: Duration, now: Instant) {
        self.list
            .retain(|crash| now.saturating_duration_since(crash.at) < retention);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns what is known of the crash of an upstream.
    pub(crate) fn find(&self, upstream: &UpstreamKey) -> Option<&Crash> {
        self.list.iter().find(|crash| crash.upstream == *upstream)
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Crash> {
        self.list.iter_mut()
    }

    /// Returns the crashes that no success has cleared.
    pub(crate) fn live(&self) -> impl Iterator<Item = &Crash> {
        self.list.iter().filter(|crash| !crash.cleared)
    }

    /// Whether these include all crashes of `other` that no success has cleared.
    pub(crate) fn include(&self, other: &Self) -> bool {
        other.live().all(|crash| self.has_live(&crash.upstream))
    }

    /// Whether an upstream crashed, and no success has cleared this.
    pub(crate) fn has_live(&self, upstream: &UpstreamKey) -> bool {
        self.find(upstream).is_some_and(|crash| !crash.cleared)
    }

    /// Whether the feature came after that of `other` in the last request that had both and
    /// whose run this entry lost, or `None` if it lost none.
    pub(crate) fn come_after(&self, other: &Self) -> Option<bool> {
        self.list.iter().rev().find_map(|crash| {
            let same = other.find(&crash.upstream)?;
            let (place, other_place) = (crash.place?, same.place?);
            let is_same_run = crash.sent == same.sent && place != other_place;
            is_same_run.then_some(place > other_place)
        })
    }

    /// Whether upstreams crashed in `needed` trials. One in which no response had just
    /// begun counts half.
    pub(crate) fn have_trials(&self, needed: u32) -> bool {
        let count = |weight| self.live().filter(|crash| crash.weight == weight).count();
        2 * count(Weight::Trial) + count(Weight::WeakTrial) >= 2 * needed as usize
    }

    /// Returns the sum of the weights of separate events, in halves.
    pub(crate) fn halves(&self) -> u32 {
        self.halves_of(|_| true)
    }

    /// Returns the sum of the weights of the separate events for which `counts` returns
    /// true, in halves. Crashes at about the same time are one event, unless the request
    /// of a later one was sent after the earlier one.
    pub(crate) fn halves_of(&self, counts: impl Fn(&Crash) -> bool) -> u32 {
        let mut total = 0;
        let mut event: Option<(Instant, u32)> = None;
        for crash in self.live().filter(|crash| counts(crash)) {
            let halves = crash.weight.halves();
            let same = event.filter(|(start, _)| {
                crash.sent < *start && crash.at.duration_since(*start) < EVENT_WINDOW
            });
            match same {
                Some((start, most)) => event = Some((start, most.max(halves))),
                None => {
                    total += event.map_or(0, |(_, most)| most);
                    event = Some((crash.at, halves));
                }
            }
        }
        total + event.map_or(0, |(_, most)| most)
    }
}
