//! Relays the events of a stream to the caller and continues the stream at
//! another upstream when the current one leaves or fails.

mod ending;
mod moves;
mod resume;
mod silence;

use std::collections::VecDeque;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_util::FutureExt;
use futures_util::select_biased;
use futures_util::stream::unfold;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use lycheehaven_adapter::upstream::ResponseHead;
use lycheehaven_catalog::Upstream;
use lycheehaven_catalog::UpstreamKey;
use lycheehaven_channels::Connection;
use lycheehaven_dispatch::STREAM_SILENCE;
use lycheehaven_dispatch::Silence;
use lycheehaven_net::Body;
use lycheehaven_net::Continuity;
use lycheehaven_net::Discontinuity;
use lycheehaven_net::Framing;
use lycheehaven_net::SseSplitter;
use lycheehaven_net::catch_panic;
use lycheehaven_net::yield_now;
use lycheehaven_quarantine::Progress;

use crate::attempt;
use crate::attempt::Job;
use crate::attempt::Outcome;
use crate::attempt::UpstreamResponse;
use crate::connect;
use crate::continuation;
use crate::elsewhere::Ending;
use crate::elsewhere::Tries;
use crate::endings;
use crate::endings::Cut;
use crate::evacuate;
use crate::evacuate::MoveOutcome;
use crate::evacuate::StreamState;
use crate::load_guard::LoadGuard;
use crate::node::Node;
use crate::origins;
use crate::quarantine;
use crate::quarantine::RunInfo;
use crate::quarantine::TrialGuard;
use crate::relay::ending::BodyKind;
use crate::relay::resume::Patience;
use crate::schedule;
use crate::schedule::CUT_CAUSE;
use crate::serve;

/// Time after the beginning of a response, and number of its events, from which on its
/// beginning did not crash the upstream.
const PROVEN_TIME: Duration = Duration::from_millis(500);
const PROVEN_EVENTS: usize = 2;

/// The run at an upstream that the events currently come from.
struct Run {
    key: UpstreamKey,
    body: Incoming,
    head: ResponseHead,
    framing: Framing,
    kind: BodyKind,
    /// Complete events that this run has produced.
    events: usize,
    info: RunInfo,
    /// When its response began.
    began: Instant,
    /// Whether it has gone on for so long that its beginning was safe.
    proven: bool,
    /// Held while it is a trial.
    _trial: Option<Rc<TrialGuard>>,
    connection: Connection,
    load_guard: LoadGuard,
}

impl Run {
    /// Splits a response into its head and the run that produces its events.
    fn begin(upstream_response: UpstreamResponse, now: Instant) -> (Parts, Self) {
        let (parts, body) = upstream_response.response.into_parts();
        let run = Self {
            key: upstream_response.upstream.key,
            body,
            head: upstream_response.head,
            framing: Framing::of(&parts.headers),
            kind: BodyKind::Events,
            events: 0,
            info: upstream_response.run,
            began: now,
            proven: false,
            _trial: upstream_response.trial,
            connection: upstream_response.connection,
            load_guard: upstream_response.load_guard,
        };
        (parts, run)
    }

    fn progress(&self) -> Progress {
        match self.proven {
            true => Progress::Proven,
            false if self.events > 1 => Progress::Going,
            false => Progress::Begun,
        }
    }
}

/// A stream that is being relayed to a caller.
struct Relay {
    node: Rc<Node>,
    job: Rc<Job>,
    /// `None` once the run has ended or was lost.
    run: Option<Run>,
    splitter: SseSplitter,
    /// Complete events that have not been written to the caller.
    pending: VecDeque<Bytes>,
    continuity: Continuity,
    /// Why the run does not continue the stream, once it has shown that.
    discontinuity: Option<Discontinuity>,
    tries: Tries,
    /// Whether there was an event of this answer.
    has_begun: bool,
    /// The time without bytes of the run.
    silence: Silence,
    /// Tokens per event.
    event_tokens: u64,
    state: Rc<StreamState>,
    stream_id: u64,
}

/// The result of a read from the upstream.
enum Input {
    Bytes(Bytes),
    End,
    Broken(String),
}

/// Waits for the first event of a stream, then returns the response that relays
/// it.
///
/// # Errors
/// Returns why no event arrived. The request has run.
pub(crate) async fn start(
    node: &Rc<Node>,
    job: &Rc<Job>,
    upstream_response: UpstreamResponse,
) -> Result<Response<Body>, String> {
    if job.head.last_event.is_some() {
        log_take_up(job, &upstream_response.upstream);
        node.metrics.record_take_up("went_on");
    }
    let state = StreamState::new(job, &upstream_response.upstream, node.now());
    let stream_id = node.streams.borrow_mut().add(state.clone());
    let (parts, mut run) = Run::begin(upstream_response, node.now());
    if job.head.last_event.is_none() {
        run.kind = BodyKind::of_first_run(&run.head, run.framing);
    }
    let mut relay = Relay {
        node: node.clone(),
        job: job.clone(),
        tries: Tries {
            tried: vec![run.key.clone()],
            ..Tries::default()
        },
        has_begun: false,
        silence: Silence::new(STREAM_SILENCE, node.now()),
        run: Some(run),
        splitter: SseSplitter::default(),
        pending: VecDeque::new(),
        continuity: Continuity::new(job.head.last_event),
        discontinuity: None,
        event_tokens: event_tokens(node, job),
        state,
        stream_id,
    };
    relay.fill().await?;
    if relay.has_begun && job.route.may_be_taken_up() {
        origins::await_record(node, &job.service).await;
    }
    let stream = unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.next_or_panic().await {
            Ok(Some(bytes)) => Some((Ok(bytes), Some(relay))),
            Ok(None) => None,
            Err(cause) => {
                relay.record_cut(&cause);
                // The connection is closed at once on an error: first the events before
                // it are written.
                yield_now().await;
                Some((Err(io::Error::other(cause)), None))
            }
        }
    });
    let body = Body::Chunks(Box::pin(stream));
    Ok(serve::caller_response(parts.status, &parts.headers, body))
}

/// Logs that a request takes a stream up at `upstream`.
fn log_take_up(job: &Job, upstream: &Upstream) {
    let resumes = job.head.resumes.as_ref();
    log::info!(
        target: "lycheehaven",
        request = job.id(), route = &*job.route.name,
        resumes = resumes.and_then(|id| id.to_str().ok()).unwrap_or("-"),
        last_event = job.head.last_event.unwrap_or(0),
        upstream = &*upstream.key.id, software = &*upstream.software;
        "the request takes an earlier stream up"
    );
}

/// Returns the number of tokens per event in the service's streams.
fn event_tokens(node: &Node, job: &Job) -> u64 {
    evacuate::engine_spec(node, &job.service).map_or(1, |engine| u64::from(engine.event_tokens))
}

impl Relay {
    /// Returns the next bytes for the caller, or `None` at the end of the stream.
    async fn next(&mut self) -> Result<Option<Bytes>, String> {
        if self.pending.is_empty() && self.run.is_some() {
            let node = self.node.clone();
            select_biased! {
                () = pin!(schedule::streams_over(&node).fuse()) => return Err(CUT_CAUSE.into()),
                filled = pin!(self.fill().fuse()) => filled?,
            }
        }
        Ok(self.join_pending())
    }

    /// Like [`Relay::next`], with a panic as an error. The caller's connection is then
    /// reset, so that the stream does not look complete.
    async fn next_or_panic(&mut self) -> Result<Option<Bytes>, String> {
        catch_panic(self.next())
            .await
            .unwrap_or_else(|panicked| Err(panicked.to_string()))
    }

    /// Records that the caller's stream ends before its last event.
    fn record_cut(&self, cause: &str) {
        let planned = endings::record_cut(&self.node, Cut::Stream);
        log::info!(
            target: "lycheehaven",
            request = self.job.id(),
            route = &*self.job.route.name,
            last_event = self.continuity.last().unwrap_or(0),
            cause = cause,
            beside = planned.name();
            "the stream to the caller is cut"
        );
    }

    /// Joins all pending events, so that they are written at once.
    fn join_pending(&mut self) -> Option<Bytes> {
        if self.pending.len() <= 1 {
            return self.pending.pop_front();
        }
        let joined: Vec<u8> = self.pending.drain(..).flatten().collect();
        Some(joined.into())
    }

    /// Reads until an event is complete or the stream ends.
    async fn fill(&mut self) -> Result<(), String> {
        while self.pending.is_empty() && self.run.is_some() {
            if let Some(cause) = self.discontinuity.take() {
                self.replace_run(cause).await?;
                continue;
            }
            match self.read().await {
                Input::Bytes(bytes) => self.queue_events(&bytes),
                Input::End => self.handle_end().await?,
                Input::Broken(cause) => self.recover(cause).await?,
            }
            if self.splitter.is_oversized() && !self.holds_text() {
                self.recover("the upstream sent an event that is too large".into())
                    .await?;
            }
        }
        Ok(())
    }

    fn queue_events(&mut self, bytes: &[u8]) {
        let queued = self.pending.len();
        for event in self.splitter.push(bytes) {
            if let Err(cause) = self.continuity.accept(&event) {
                self.discontinuity = Some(cause);
                break;
            }
            if let Some(run) = &mut self.run {
                run.kind = run.kind.after(event.content);
            }
            self.pending.push_back(event.bytes);
        }
        if self.pending.len() > queued && !self.has_begun {
            self.has_begun = true;
            let upstream = self.state.upstream.borrow();
            let software = || upstream.software.clone();
            self.job.software.get_or_init(software);
            origins::record(&self.node, &self.job, &upstream);
        }
        self.state.set_resumable(self.continuity.is_resumable());
        let events = self.pending.len() - queued;
        self.count_tokens(events);
        self.record_events(events);
    }

    /// Counts the events of the run, and records once that its beginning was safe.
    fn record_events(&mut self, events: usize) {
        let Some(run) = &mut self.run else {
            return;
        };
        run.events += events;
        let age = self.node.now().saturating_duration_since(run.began);
        if !run.proven && run.events >= PROVEN_EVENTS && age >= PROVEN_TIME {
            run.proven = true;
            quarantine::record_proven(&self.node, &self.job.features, run.began);
        }
    }

    fn count_tokens(&self, events: usize) {
        let tokens = events as u64 * self.event_tokens;
        self.state
            .relayed_tokens
            .set(self.state.relayed_tokens.get() + tokens);
        let work = self.node.cost_model.decode_ms(tokens);
        let now = self.node.now();
        let service = &self.job.service;
        self.node.demand.borrow_mut().add_work(service, work, now);
    }

    /// Handles the end of the upstream's response. The response of a run that was
    /// moved ends early, and the stream then continues with another run.
    async fn handle_end(&mut self) -> Result<(), String> {
        match self.state.take_move_outcome().await {
            None | Some(MoveOutcome::Failed) => {
                self.log_end();
                if let Some(cause) = self.truncation() {
                    return self.recover(cause.into()).await;
                }
                if let Err(cause) = self.check_end() {
                    return self.replace_run(cause).await;
                }
                self.finish();
                Ok(())
            }
            Some(move_outcome) => {
                self.run = None;
                self.state.end_run();
                self.splitter.take_rest();
                if self.follow_move(move_outcome).await {
                    return Ok(());
                }
                let cause = "the stream could not continue after its run was moved";
                self.resume(cause, Patience::UntilDeadline).await
            }
        }
    }

    fn finish(&mut self) {
        if !self.splitter.is_empty() {
            self.pending.push_back(self.splitter.take_rest());
        }
        self.node.streams.borrow_mut().remove(self.stream_id, true);
        let mut work_times = self.node.work_times.borrow_mut();
        work_times.record(&self.job.route.name, self.done(), self.node.now());
        drop(work_times);
        if let Some(run) = self.run.take() {
            self.record_end(&run);
            drop(run.load_guard);
            connect::recycle(&self.node, &run.key, &run.head, run.connection);
        }
    }

    /// Records that a run has ended regularly. If only the close of the connection says
    /// so, and soon after the beginning, the upstream may have crashed instead.
    fn record_end(&self, run: &Run) {
        let features = &self.job.features;
        if run.proven || run.framing != Framing::UntilClose {
            quarantine::record_answered(&self.node, features, run.began);
            return;
        }
        let upstream = self.state.upstream.borrow().clone();
        attempt::confirm_end(&self.node, &self.job, upstream, run.info, run.began);
    }

    /// Logs that the stream goes on with a run at `upstream`.
    fn log_further_run(&self, upstream: &Upstream) {
        let before = self.state.upstream.borrow();
        log::info!(
            target: "lycheehaven",
            request = self.job.id(), route = &*self.job.route.name,
            last_event = self.continuity.last().unwrap_or(0),
            left = &*before.key.id, left_software = &*before.software,
            upstream = &*upstream.key.id, software = &*upstream.software;
            "the stream goes on with a further run"
        );
    }

    fn may_resume(&self) -> bool {
        self.job.route.resumable
            && self.job.sends.count() < self.job.route.max_attempts
            && self.continuity.is_resumable()
    }

    /// Continues a stream after its connection broke or stalled, where its run was
    /// moved or else at another upstream.
    async fn recover(&mut self, cause: String) -> Result<(), String> {
        self.end_silence(Ending::Broke, None);
        let broken = self.run.take();
        self.state.end_run();
        self.splitter.take_rest();
        let mut patience = match broken {
            Some(_) if !self.state.may_be_stopped() => Patience::None,
            _ => Patience::UntilDeadline,
        };
        if let Some(move_outcome) = self.state.take_move_outcome().await {
            if self.follow_move(move_outcome).await {
                return Ok(());
            }
            patience = Patience::UntilDeadline;
        } else if let Some(run) = broken {
            let upstream = self.state.upstream.borrow().clone();
            let progress = run.progress();
            attempt::record_disconnect(&self.node, &self.job, &upstream, run.info, progress);
        }
        let result = self.resume(&cause, patience).await;
        log::info!(
            target: "lycheehaven",
            request = self.job.id(),
            route = &*self.job.route.name,
            last_event = self.continuity.last().unwrap_or(0),
            cause = cause.as_str(),
            resumed = result.is_ok();
            "the stream from the upstream broke off"
        );
        result
    }

    /// Gives up a run whose events do not continue the stream, and continues the stream
    /// at another upstream.
    async fn replace_run(&mut self, cause: Discontinuity) -> Result<(), String> {
        if let Some(run) = self.run.take() {
            continuation::log_rejected(&self.job, &run.key, &cause.to_string());
            let mut loads = self.node.loads.borrow_mut();
            loads.record_outcome(&run.key, false);
        }
        self.state.end_run();
        self.splitter.take_rest();
        // A copy of its KV cache is not used either.
        self.state.take_move_outcome().await;
        self.resume(&cause.to_string(), Patience::None).await
    }

    /// Continues the stream with the run of a new attempt at `upstream`. Returns whether
    /// the attempt succeeded.
    fn adopt_run(&mut self, upstream: &UpstreamKey, outcome: Outcome) -> bool {
        let accepted = continuation::accept(&self.node, &self.job, upstream, outcome);
        let Some(upstream_response) = accepted else {
            return false;
        };
        upstream_response.load_guard.response_started();
        self.log_further_run(&upstream_response.upstream);
        self.state.begin_run(upstream_response.upstream.clone());
        let now = self.node.now();
        let (_, run) = Run::begin(*upstream_response, now);
        self.tries.tried.push(run.key.clone());
        self.splitter.take_rest();
        self.silence = Silence::new(STREAM_SILENCE, now);
        self.run = Some(run);
        self.continuity.begin_run();
        true
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.end_silence(Ending::Abandoned, None);
        self.node.streams.borrow_mut().remove(self.stream_id, false);
    }
}
