//! No upstream that leaves or pauses is ever chosen, checked against a model that keeps
//! the whole history.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::Directory;
use lycheehaven_catalog::Upstream;
use lycheehaven_catalog::UpstreamKey;
use lycheehaven_catalog::UpstreamState;
use lycheehaven_dispatch::CostModel;
use lycheehaven_dispatch::Ineligible;
use lycheehaven_dispatch::LoadTracker;
use lycheehaven_dispatch::Pauses;
use lycheehaven_dispatch::Query;
use lycheehaven_dispatch::choose;
use lycheehaven_dispatch::eligible;
use lycheehaven_permits::Waits;
use proptest::prelude::*;

const SERVICE: &str = "llm";

/// Something that happens to one of a few upstreams.
#[derive(Debug, Clone)]
enum Step {
    /// A registration that says ready, current or stale, is read.
    Ready { upstream: u8, incarnation: u64 },
    /// A registration that says draining is read.
    Draining { upstream: u8, incarnation: u64 },
    /// A response or a peer says that it is leaving.
    Leaving { upstream: u8, incarnation: u64 },
    /// A response asks for a pause.
    Pause {
        upstream: u8,
        incarnation: u64,
        millis: u64,
    },
    /// Time passes.
    Wait { millis: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let upstream = 0..4_u8;
    let incarnation = 1..3_u64;
    let pair = (upstream, incarnation);
    prop_oneof![
        4 => pair.clone().prop_map(|(upstream, incarnation)| Step::Ready { upstream, incarnation }),
        1 => pair.clone().prop_map(|(upstream, incarnation)| Step::Draining { upstream, incarnation }),
        1 => pair.clone().prop_map(|(upstream, incarnation)| Step::Leaving { upstream, incarnation }),
        3 => (pair, 0..3000_u64).prop_map(|((upstream, incarnation), millis)| Step::Pause {
            upstream,
            incarnation,
            millis,
        }),
        3 => (1..1500_u64).prop_map(|millis| Step::Wait { millis }),
    ]
}

fn key(upstream: u8, incarnation: u64) -> UpstreamKey {
    UpstreamKey {
        id: format!("i-{upstream}").into(),
        incarnation,
    }
}

fn registration(key: &UpstreamKey, state: UpstreamState, revision: u64) -> Upstream {
    Upstream {
        key: key.clone(),
        service: SERVICE.into(),
        software: "v1".into(),
        addr: "127.0.0.1:80".parse().expect("the address is valid"),
        domain: "keila".into(),
        slots: 8,
        state,
        reclaimable: false,
        revision,
    }
}

/// Everything that was ever said of the upstreams.
#[derive(Default)]
struct History {
    left: Vec<UpstreamKey>,
    pauses: Vec<(UpstreamKey, Instant)>,
    registered: Vec<(UpstreamKey, UpstreamState)>,
}

impl History {
    fn may_be_chosen(&self, key: &UpstreamKey, now: Instant) -> bool {
        let paused = |(paused, ends): &(UpstreamKey, Instant)| paused == key && now < *ends;
        !self.left.contains(key) && !self.pauses.iter().any(paused)
    }

    /// Returns the latest registration of each upstream, if it is ready.
    fn ready(&self) -> Vec<&UpstreamKey> {
        let latest = |index: u8| {
            let id = key(index, 1).id;
            let mut all = self.registered.iter().rev();
            all.find(|(key, _)| key.id == id)
        };
        (0..4)
            .filter_map(latest)
            .filter(|(key, state)| *state == UpstreamState::Ready && !self.left.contains(key))
            .map(|(key, _)| key)
            .collect()
    }
}

fn query() -> Query<'static> {
    Query {
        prompt: &[],
        tokens: 100,
        kv_tokens: 100,
        priority: 1,
        target_latency: Duration::from_millis(500),
        domain: "keila",
        engine: None,
        draw: 7,
        trial: None,
        sample: None,
    }
}

proptest! {
    #[test]
    fn no_upstream_that_leaves_or_pauses_is_chosen(steps in prop::collection::vec(step(), 1..60)) {
        let mut now = Instant::now();
        let mut directory = Directory::default();
        let mut pauses = Pauses::default();
        let mut history = History::default();
        for (revision, step) in steps.into_iter().enumerate() {
            let revision = revision as u64 + 1;
            match step {
                Step::Ready { upstream, incarnation } => {
                    let key = key(upstream, incarnation);
                    directory.update(registration(&key, UpstreamState::Ready, revision), now);
                    history.registered.push((key, UpstreamState::Ready));
                }
                Step::Draining { upstream, incarnation } => {
                    let key = key(upstream, incarnation);
                    let state = UpstreamState::Draining(None);
                    directory.update(registration(&key, state, revision), now);
                    history.registered.push((key.clone(), state));
                    history.left.push(key);
                }
                Step::Leaving { upstream, incarnation } => {
                    let key = key(upstream, incarnation);
                    directory.mark_leaving(&key, now);
                    history.left.push(key);
                }
                Step::Pause { upstream, incarnation, millis } => {
                    let (key, length) = (key(upstream, incarnation), Duration::from_millis(millis));
                    pauses.record(&key, length, now);
                    history.pauses.push((key, now + length));
                }
                Step::Wait { millis } => {
                    now += Duration::from_millis(millis);
                    pauses.prune(now);
                }
            }
            let free: Vec<&UpstreamKey> = history
                .ready()
                .into_iter()
                .filter(|key| history.may_be_chosen(key, now))
                .collect();
            match eligible(&directory, &pauses, &Waits::default(), SERVICE, |_| true, now) {
                Ok(candidates) => {
                    let tracker = LoadTracker::default();
                    let model = CostModel::default();
                    let choice = choose(candidates.into_iter(), &query(), &tracker, &model, now);
                    let chosen = &choice.expect("there is a candidate").upstream.key;
                    prop_assert!(history.may_be_chosen(chosen, now), "{chosen:?}");
                    prop_assert!(free.contains(&chosen));
                }
                Err(Ineligible::AllLimited(wait)) => prop_assert!(false, "no limit: {wait:?}"),
                Err(Ineligible::NoneReady) => prop_assert!(history.ready().is_empty()),
                Err(Ineligible::AllPaused(pause)) => {
                    prop_assert!(free.is_empty());
                    prop_assert!(!history.ready().is_empty());
                    let ends = now + pause.remaining(now);
                    let first = history.ready().into_iter().any(|key| history.may_be_chosen(key, ends));
                    prop_assert!(first, "no upstream is free when the pause ends");
                }
            }
        }
    }
}
