//! Evacuates streams from engines that are leaving.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hyper::StatusCode;
use lycheehaven_adapter::engine;
use lycheehaven_adapter::upstream;
use lycheehaven_adapter::upstream::KvSource;
use lycheehaven_catalog::EngineSpec;
use lycheehaven_catalog::Upstream;
use lycheehaven_catalog::UpstreamKey;
use lycheehaven_net::catch_panic;
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
use crate::notice;
use crate::pick;
use crate::pick::Unpicked;
use crate::quarantine::Permission;

/// Interval between checks for leaving engines, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 100;

/// Time limit for moving one stream.
const MOVE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time per token that is assumed before a stream has produced any.
pub(crate) const DEFAULT_TOKEN_INTERVAL: Duration = Duration::from_millis(8);

/// Quantile that is taken as a stream's expected length, among the observed
/// lengths greater than the tokens it has already produced.
const LENGTH_QUANTILE: f64 = 0.7;

/// Concurrent KV cache transfers over one engine's link.
const PARALLEL_TRANSFERS: u32 = 1;

/// The result of moving a stream.
#[derive(Debug, Clone)]
pub(crate) enum MoveOutcome {
    /// The KV cache was copied to the target engine.
    Transferred(Rc<Target>, KvSource),
    /// The run stopped, but its KV cache is still only at the source engine.
    Suspended(KvSource),
    /// The move did not start, or its result is unknown.
    Failed,
}

/// A stream that is being relayed.
pub(crate) struct StreamState {
    pub(crate) job: Rc<Job>,
    pub(crate) upstream: RefCell<Upstream>,
    /// Tokens received from upstreams for the caller.
    pub(crate) relayed_tokens: Cell<u64>,
    pub(crate) started: Instant,
    /// Outcome of a completed move that the relay has not followed yet.
    move_outcome: RefCell<Option<MoveOutcome>>,
    /// Set while a move is in progress or its outcome is not taken; cancelled when
    /// the move completes.
    pending_move: RefCell<Option<CancellationToken>>,
    /// Whether a move may have stopped the run at `upstream`.
    stopped: Cell<bool>,
    /// Whether there is a run that can be moved.
    running: Cell<bool>,
    /// Whether another run could be told where to go on.
    resumable: Cell<bool>,
}

impl StreamState {
    pub(crate) fn new(job: &Rc<Job>, upstream: &Upstream, started: Instant) -> Rc<Self> {
        Rc::new(Self {
            job: job.clone(),
            upstream: RefCell::new(upstream.clone()),
            relayed_tokens: Cell::new(0),
            started,
            move_outcome: RefCell::new(None),
            pending_move: RefCell::new(None),
            stopped: Cell::new(false),
            running: Cell::new(true),
            resumable: Cell::new(true),
        })
    }

    /// Records that the stream continues with a run at `upstream`.
    pub(crate) fn begin_run(&self, upstream: Upstream) {
        *self.upstream.borrow_mut() = upstream;
        self.stopped.set(false);
        self.running.set(true);
    }

    /// Records that the run has ended, so that it is not moved.
    pub(crate) fn end_run(&self) {
        self.running.set(false);
    }

    /// Records whether another run could be told where to go on.
    pub(crate) fn set_resumable(&self, resumable: bool) {
        self.resumable.set(resumable);
    }

    /// Whether a move may have stopped the run, which ends its stream early.
    pub(crate) fn may_be_stopped(&self) -> bool {
        self.stopped.get()
    }

    /// Whether a move is in progress, or its outcome is not taken.
    pub(crate) fn is_moving(&self) -> bool {
        self.pending_move.borrow().is_some()
    }

    /// Whether a move has stopped the run, and its outcome is not taken.
    pub(crate) fn has_moved(&self) -> bool {
        self.move_outcome.borrow().is_some()
    }

    /// Waits for the pending move, if any, and takes its outcome.
    pub(crate) async fn take_move_outcome(&self) -> Option<MoveOutcome> {
        let completed = self.pending_move.borrow().clone()?;
        if compio::time::timeout(MOVE_TIMEOUT, completed.cancelled())
            .await
            .is_err()
        {
            return Some(MoveOutcome::Failed);
        }
        self.pending_move.take();
        self.move_outcome.take()
    }

    /// Stores the outcome of a move. A failed move is cleared, so that it can be
    /// retried.
    fn finish_move(&self, move_outcome: MoveOutcome) {
        match move_outcome {
            MoveOutcome::Failed => drop(self.pending_move.take()),
            move_outcome => *self.move_outcome.borrow_mut() = Some(move_outcome),
        }
    }

    /// Returns the average time per token so far.
    fn token_interval(&self, now: Instant) -> Duration {
        let relayed = self.relayed_tokens.get();
        if relayed == 0 {
            return DEFAULT_TOKEN_INTERVAL;
        }
        now.saturating_duration_since(self.started)
            .div_f64(relayed as f64)
    }
}

/// All streams that this entry relays.
#[derive(Default)]
pub(crate) struct Streams {
    last_id: u64,
    active: HashMap<u64, Rc<StreamState>>,
    /// Distribution of stream lengths by route.
    lengths: HashMap<Name, LengthEstimator>,
}

impl Streams {
    /// Adds a stream and returns its identifier.
    pub(crate) fn add(&mut self, state: Rc<StreamState>) -> u64 {
        self.last_id += 1;
        self.active.insert(self.last_id, state);
        self.last_id
    }

    /// Removes a stream. If it is `complete`, its length is recorded.
    pub(crate) fn remove(&mut self, id: u64, complete: bool) {
        let Some(state) = self.active.remove(&id) else {
            return;
        };
        if complete {
            let route = state.job.route.name.clone();
            let lengths = self.lengths.entry(route).or_default();
            lengths.observe(state.relayed_tokens.get() as usize);
        }
    }

    /// Returns the number of tokens that a stream is still expected to produce.
    fn expected_remaining(&self, state: &StreamState) -> u64 {
        let relayed = state.relayed_tokens.get() as usize;
        let declared = state.job.output_tokens() as usize;
        let expected = match self.lengths.get(&state.job.route.name) {
            Some(lengths) => lengths.estimate(LENGTH_QUANTILE, relayed, declared),
            None => declared,
        };
        expected.saturating_sub(relayed) as u64
    }

    /// Returns the streams that run at an upstream, have no pending move and could go on
    /// elsewhere.
    fn movable_at(&self, key: &UpstreamKey) -> Vec<Rc<StreamState>> {
        let is_movable = |state: &StreamState| {
            let has_no_move = state.pending_move.borrow().is_none();
            state.running.get() && state.resumable.get() && has_no_move
        };
        self.active
            .values()
            .filter(|state| is_movable(state))
            .filter(|state| state.upstream.borrow().key == *key)
            .cloned()
            .collect()
    }

    /// Returns the upstreams that streams are relayed from, each once.
    fn upstreams(&self) -> Vec<Upstream> {
        let mut list: Vec<Upstream> = Vec::new();
        for state in self.active.values() {
            let upstream = state.upstream.borrow();
            if !list.iter().any(|known| known.key == upstream.key) {
                list.push(upstream.clone());
            }
        }
        list
    }
}

/// Checks periodically for leaving engines and moves the streams that will not
/// end in time.
pub(crate) async fn run(node: Rc<Node>) {
    loop {
        sleep_ms(CHECK_INTERVAL_MS).await;
        let upstreams = node.streams.borrow().upstreams();
        for upstream in upstreams {
            evacuate_upstream(&node, &upstream);
        }
    }
}

fn evacuate_upstream(node: &Rc<Node>, upstream: &Upstream) {
    let now = node.now();
    let drain = Duration::from_millis(node.settings.bounds.drain_ms);
    let Some(remaining) = node.directory.borrow().time_left(&upstream.key, drain, now) else {
        return;
    };
    let Some(spec) = engine_spec(node, &upstream.service) else {
        return;
    };
    if !spec.supports_moves || node.is_paused(&upstream.key) {
        return;
    }
    for state in streams_to_move(node, upstream, &spec, remaining, now) {
        let completed = CancellationToken::new();
        *state.pending_move.borrow_mut() = Some(completed.clone());
        let node = node.clone();
        spawn_detached(async move {
            let moved = catch_panic(move_stream(&node, &state)).await;
            state.finish_move(moved.unwrap_or(MoveOutcome::Failed));
            completed.cancel();
        });
    }
}

/// Returns the streams to move, in the order of the evacuation plan.
fn streams_to_move(
    node: &Node,
    upstream: &Upstream,
    spec: &EngineSpec,
    remaining: Duration,
    now: Instant,
) -> Vec<Rc<StreamState>> {
    let streams = node.streams.borrow();
    let mut states = streams.movable_at(&upstream.key);
    states.retain(|state| {
        let done = now.saturating_duration_since(state.started);
        state.job.schedule.may_go_on(done, now)
    });
    let Some(first) = states.first() else {
        return Vec::new();
    };
    let bits_per_token = spec.token_bytes.max(1) as f64 * 8.0;
    let input = EvacuationInput {
        time_left: remaining,
        step_time: first.token_interval(now),
        link_rate: spec.link_mbps * 1000.0 / bits_per_token,
        parallel_transfers: PARALLEL_TRANSFERS,
    };
    let candidates = states
        .iter()
        .enumerate()
        .map(|(index, state)| EvacuationCandidate {
            index,
            context_tokens: state.job.prompt_tokens() + state.relayed_tokens.get(),
            remaining_tokens: streams.expected_remaining(state),
        });
    plan_evacuation(input, candidates)
        .into_iter()
        .filter(|(_, action)| *action != EvacuationAction::Finish)
        .map(|(index, _)| states[index].clone())
        .collect()
}

/// Returns the declared properties of a service's engines.
pub(crate) fn engine_spec(node: &Node, service: &Name) -> Option<EngineSpec> {
    let config = node.config.borrow();
    config.catalog()?.services.get(service)?.engine.clone()
}

/// Stops a stream's run and copies its KV cache to another engine.
async fn move_stream(node: &Rc<Node>, state: &StreamState) -> MoveOutcome {
    let source = state.upstream.borrow().clone();
    let tried = [source.key.clone()];
    // The KV cache is of no use to another software, also before the first event.
    let picked = pick::pick_with_software(
        node,
        &state.job,
        Some(&source.software),
        &tried,
        Permission::Plain,
        node.now(),
    );
    let target = match picked {
        Ok(target) => target,
        // It would be logged at each check.
        Err(Unpicked::SoftwareGone) => return MoveOutcome::Failed,
        Err(unpicked) => {
            log_move(state, &source, "no target", unpicked.message());
            return MoveOutcome::Failed;
        }
    };
    let body = engine::move_body(state.job.id(), target.upstream.addr, true);
    state.stopped.set(true);
    let result = post_once(source.addr, engine::MOVE_PATH, &[], body, MOVE_TIMEOUT).await;
    let reply = match result {
        Ok(reply) => reply,
        Err(cause) => {
            log_move(state, &source, "no response", &cause);
            return MoveOutcome::Failed;
        }
    };
    if reply.status == StatusCode::NOT_FOUND {
        // The run had ended by itself.
        state.stopped.set(false);
    }
    if let Some(notice) = upstream::decode_notice(reply.status, &reply.headers) {
        notice::apply(node, &source.key, &notice, state.job.id());
    }
    let cache = engine::decode_handle(&reply.body).map(|handle| KvSource {
        addr: source.addr,
        handle,
    });
    log_move(
        state,
        &source,
        &target.upstream.key.id,
        reply.status.as_str(),
    );
    match cache {
        Some(cache) if reply.is_success() => MoveOutcome::Transferred(Rc::new(target), cache),
        Some(cache) => MoveOutcome::Suspended(cache),
        None => MoveOutcome::Failed,
    }
}

fn log_move(state: &StreamState, source: &Upstream, target: &str, outcome: &str) {
    log::info!(
        target: "lycheehaven",
        request = state.job.id(),
        upstream = &*source.key.id,
        target = target,
        written = state.relayed_tokens.get(),
        outcome = outcome;
        "attempt to move a stream from a leaving upstream ended"
    );
}
