//! Moves streams away from engines that leave.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_adapter::engine;
use lycheehaven_adapter::upstream::KvSource;
use lycheehaven_catalog::EngineSpec;
use lycheehaven_catalog::Upstream;
use lycheehaven_catalog::UpstreamKey;
use lycheehaven_net::sleep_ms;
use lycheehaven_net::spawn_detached;
use lycheehaven_streams::EvacuationAction;
use lycheehaven_streams::EvacuationCandidate;
use lycheehaven_streams::EvacuationInput;
use lycheehaven_streams::LengthEstimator;
use lycheehaven_streams::plan_evacuation;
use lycheehaven_types::HashMap;
use lycheehaven_types::Name;
use tokio_util::sync::CancellationToken;

use crate::attempt::Job;
use crate::attempt::Target;
use crate::call::post_once;
use crate::node::Node;
use crate::serve;

/// Interval between looks at leaving engines, in milliseconds.
const LOOK_MS: u64 = 100;

/// Longest wait for a move.
const MOVE_WAIT: Duration = Duration::from_millis(1500);

/// Time per token before a stream's own pace is known.
const DEFAULT_STEP: Duration = Duration::from_millis(8);

/// Share of the answers longer than what has been read that are taken to end
/// by the expected length.
const QUANTILE: f64 = 0.7;

/// Transfers that an engine's link carries at once.
const LINKS: u32 = 1;

/// How a move ended.
#[derive(Debug, Clone)]
pub(crate) enum Moved {
    /// Another engine holds the memory.
    To(Rc<Target>, KvSource),
    /// The run has stopped, and its memory is still at its engine.
    Stopped(KvSource),
    /// Nothing was moved.
    Failed,
}

/// A stream that is being relayed.
pub(crate) struct StreamState {
    pub(crate) job: Rc<Job>,
    pub(crate) upstream: RefCell<Upstream>,
    /// Tokens that have been written.
    pub(crate) written: Cell<u64>,
    pub(crate) began: Instant,
    /// The end of the move that has been asked for.
    moved: RefCell<Option<Moved>>,
    asked: RefCell<Option<CancellationToken>>,
}

impl StreamState {
    pub(crate) fn new(job: &Rc<Job>, upstream: &Upstream, began: Instant) -> Rc<Self> {
        Rc::new(Self {
            job: job.clone(),
            upstream: RefCell::new(upstream.clone()),
            written: Cell::new(0),
            began,
            moved: RefCell::new(None),
            asked: RefCell::new(None),
        })
    }

    /// Waits for the move that has been asked for, if any, and takes its end.
    pub(crate) async fn take_move(&self) -> Option<Moved> {
        let done = self.asked.borrow().clone()?;
        if compio::time::timeout(MOVE_WAIT, done.cancelled())
            .await
            .is_err()
        {
            return Some(Moved::Failed);
        }
        self.asked.take();
        self.moved.take()
    }

    /// Notes how a move ended. One that failed may be tried again.
    fn end_move(&self, moved: Moved) {
        match moved {
            Moved::Failed => drop(self.asked.take()),
            moved => *self.moved.borrow_mut() = Some(moved),
        }
    }

    /// Time per token so far.
    fn step(&self, now: Instant) -> Duration {
        let written = self.written.get();
        if written == 0 {
            return DEFAULT_STEP;
        }
        now.saturating_duration_since(self.began)
            .div_f64(written as f64)
    }
}

/// All streams that this entry relays.
#[derive(Default)]
pub(crate) struct Streams {
    next: u64,
    open: HashMap<u64, Rc<StreamState>>,
    lengths: HashMap<Name, LengthEstimator>,
}

impl Streams {
    /// Adds a stream. Returns the number under which it is removed.
    pub(crate) fn add(&mut self, state: Rc<StreamState>) -> u64 {
        self.next += 1;
        self.open.insert(self.next, state);
        self.next
    }

    /// Removes a stream. `whole` tells whether its end was reached.
    pub(crate) fn remove(&mut self, number: u64, whole: bool) {
        let Some(state) = self.open.remove(&number) else {
            return;
        };
        if whole {
            let route = state.job.route.name.clone();
            let lengths = self.lengths.entry(route).or_default();
            lengths.observe(state.written.get() as usize);
        }
    }

    /// Tokens that a stream probably still needs.
    fn rest(&self, state: &StreamState) -> u64 {
        let written = state.written.get() as usize;
        let declared = state.job.output_tokens() as usize;
        let expected = match self.lengths.get(&state.job.route.name) {
            Some(lengths) => lengths.estimate(QUANTILE, written, declared),
            None => declared,
        };
        expected.saturating_sub(written) as u64
    }

    fn at(&self, key: &UpstreamKey) -> Vec<Rc<StreamState>> {
        self.open
            .values()
            .filter(|state| state.asked.borrow().is_none())
            .filter(|state| state.upstream.borrow().key == *key)
            .cloned()
            .collect()
    }

    fn upstreams(&self) -> Vec<Upstream> {
        let mut list: Vec<Upstream> = Vec::new();
        for state in self.open.values() {
            let upstream = state.upstream.borrow();
            if !list.iter().any(|known| known.key == upstream.key) {
                list.push(upstream.clone());
            }
        }
        list
    }
}

/// Looks for leaving engines at intervals and moves what will not end there.
pub(crate) async fn run(node: Rc<Node>) {
    loop {
        sleep_ms(LOOK_MS).await;
        let upstreams = node.streams.borrow().upstreams();
        for upstream in upstreams {
            look(&node, &upstream);
        }
    }
}

fn look(node: &Rc<Node>, upstream: &Upstream) {
    let now = node.now();
    let planned = Duration::from_millis(node.settings.bounds.drain_ms);
    let Some(left) = node
        .directory
        .borrow()
        .time_left(&upstream.key, planned, now)
    else {
        return;
    };
    let Some(spec) = engine_spec(node, &upstream.service) else {
        return;
    };
    if !spec.supports_moves {
        return;
    }
    for state in leaving_streams(node, upstream, &spec, left, now) {
        let done = CancellationToken::new();
        *state.asked.borrow_mut() = Some(done.clone());
        let node = node.clone();
        spawn_detached(async move {
            let moved = move_stream(&node, &state).await;
            state.end_move(moved);
            done.cancel();
        });
    }
}

/// The streams that must go, in the order of the plan.
fn leaving_streams(
    node: &Node,
    upstream: &Upstream,
    spec: &EngineSpec,
    left: Duration,
    now: Instant,
) -> Vec<Rc<StreamState>> {
    let streams = node.streams.borrow();
    let states = streams.at(&upstream.key);
    let Some(first) = states.first() else {
        return Vec::new();
    };
    let bits_per_token = spec.token_bytes.max(1) as f64 * 8.0;
    let input = EvacuationInput {
        time_left: left,
        step_time: first.step(now),
        link_rate: spec.link_mbps * 1000.0 / bits_per_token,
        parallel_transfers: LINKS,
    };
    let candidates = states
        .iter()
        .enumerate()
        .map(|(index, state)| EvacuationCandidate {
            index,
            context_tokens: state.job.prompt_tokens() + state.written.get(),
            remaining_tokens: streams.rest(state),
        });
    plan_evacuation(input, candidates)
        .into_iter()
        .filter(|(_, action)| *action != EvacuationAction::Finish)
        .map(|(index, _)| states[index].clone())
        .collect()
}

/// What the configuration declares of a service's engines.
pub(crate) fn engine_spec(node: &Node, service: &Name) -> Option<EngineSpec> {
    let belief = node.belief.borrow();
    belief.catalog()?.services.get(service)?.engine.clone()
}

/// Moves one stream's memory to another engine.
async fn move_stream(node: &Rc<Node>, state: &StreamState) -> Moved {
    let source = state.upstream.borrow().clone();
    let tried = [source.key.clone()];
    let target = match serve::pick(node, &state.job, &tried, node.now()) {
        Ok(target) => target,
        Err(failure) => {
            log_move(state, &source, "no target", &failure.message);
            return Moved::Failed;
        }
    };
    let body = engine::move_body(state.job.id(), target.upstream.addr, true);
    let result = post_once(source.addr, engine::MOVE_PATH, &[], body, MOVE_WAIT).await;
    let reply = match result {
        Ok(reply) => reply,
        Err(cause) => {
            log_move(state, &source, "no answer", &cause);
            return Moved::Failed;
        }
    };
    let memory = engine::decode_handle(&reply.body).map(|handle| KvSource {
        addr: source.addr,
        handle,
    });
    log_move(
        state,
        &source,
        &target.upstream.key.id,
        &reply.status.to_string(),
    );
    match memory {
        Some(memory) if reply.is_success() => Moved::To(Rc::new(target), memory),
        Some(memory) => Moved::Stopped(memory),
        None => Moved::Failed,
    }
}

fn log_move(state: &StreamState, source: &Upstream, target: &str, outcome: &str) {
    log::info!(
        target: "lycheehaven",
        request = state.job.id(),
        upstream = &*source.key.id,
        target = target,
        written = state.written.get(),
        outcome = outcome;
        "moving a stream from a leaving upstream"
    );
}
