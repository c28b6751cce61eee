//! A single attempt to send a request to an upstream.

use std::cell::Cell;
use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_util::FutureExt;
use futures_util::select;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Uri;
use hyper::body::Bytes;
use hyper::body::Incoming;
use lycheehaven_adapter::caller::RequestHead;
use lycheehaven_adapter::upstream;
use lycheehaven_adapter::upstream::KvSource;
use lycheehaven_adapter::upstream::ResponseHead;
use lycheehaven_adapter::upstream::UpstreamCall;
use lycheehaven_catalog::Route;
use lycheehaven_catalog::Upstream;
use lycheehaven_channels::Connection;
use lycheehaven_channels::SendError;
use lycheehaven_dispatch::Load;
use lycheehaven_dispatch::ObservedLoad;
use lycheehaven_net::Body;
use lycheehaven_quarantine::Feature;
use lycheehaven_quarantine::Progress;
use lycheehaven_types::Name;
use tokio_util::sync::CancellationToken;

use crate::connect;
use crate::load_guard::LoadGuard;
use crate::node::Node;
use crate::notice;
use crate::permits;
use crate::quarantine;
use crate::quarantine::RunInfo;
use crate::quarantine::TrialGuard;
use crate::schedule::Schedule;
use crate::sends::Sends;

/// Network delay to the upstream, subtracted from the deadline sent to it.
const HOP_ALLOWANCE: Duration = Duration::from_millis(5);

/// An admitted request.
pub(crate) struct Job {
    pub(crate) method: Method,
    /// Path and query of the request.
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) head: RequestHead,
    pub(crate) body: Bytes,
    pub(crate) route: Rc<Route>,
    pub(crate) service: Name,
    /// Software that made the first event of the stream, once the caller gets one. All of
    /// its runs are at upstreams with this software.
    pub(crate) software: OnceCell<Name>,
    pub(crate) workspace: Option<Name>,
    pub(crate) priority: u8,
    pub(crate) received: Instant,
    pub(crate) schedule: Schedule,
    /// What requests that crash upstreams are recognized by.
    pub(crate) features: Rc<[Feature]>,
    /// Whether the request was written to an upstream, so that it may have run.
    pub(crate) written: Rc<Cell<bool>>,
    pub(crate) sends: Sends,
}

impl Job {
    /// Returns the request identifier for logs, or `-` if there is none.
    pub(crate) fn id(&self) -> &str {
        self.head
            .id
            .as_ref()
            .and_then(|id| id.to_str().ok())
            .unwrap_or("-")
    }

    /// Returns the time from `now` until the request must have ended, zero once it must.
    pub(crate) fn remaining(&self, now: Instant) -> Duration {
        self.schedule.remaining(now)
    }

    /// Returns the number of prompt tokens, 0 if unknown.
    pub(crate) fn prompt_tokens(&self) -> u64 {
        self.head.tokens.map_or(0, |tokens| tokens.prompt)
    }

    /// Returns the limit of output tokens, 0 if unknown.
    pub(crate) fn output_tokens(&self) -> u64 {
        self.head.tokens.map_or(0, |tokens| tokens.output)
    }

    /// Returns the KV cache tokens that the whole run is expected to occupy.
    pub(crate) fn kv_tokens(&self) -> u64 {
        let hint = self.head.output_hint;
        self.head.tokens.map_or(0, |tokens| {
            tokens.prompt + hint.map_or(tokens.output, |hint| hint.min(tokens.output))
        })
    }
}

/// The point from which an upstream continues a partly delivered stream.
#[derive(Debug, Default, Clone)]
pub(crate) struct ResumePoint {
    /// Identifier of the last event that the caller received.
    pub(crate) last_event: Option<u64>,
    /// Engine that holds the stream's KV cache.
    pub(crate) kv_source: Option<KvSource>,
    /// Time that the stream has taken so far.
    pub(crate) done: Duration,
}

/// The upstream chosen for an attempt.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    pub(crate) upstream: Upstream,
    /// Prompt tokens that are expected not to be in its prefix cache.
    pub(crate) uncached_tokens: u64,
    /// Expected time until its response starts.
    pub(crate) expected_delay: Duration,
    /// Held while the request is sent as a trial.
    pub(crate) trial: Option<Rc<TrialGuard>>,
}

/// A response whose head has arrived. Dropping it resets the connection, which
/// cancels the request at the upstream.
pub(crate) struct UpstreamResponse {
    pub(crate) upstream: Upstream,
    pub(crate) response: Response<Incoming>,
    pub(crate) head: ResponseHead,
    pub(crate) connection: Connection,
    pub(crate) load_guard: LoadGuard,
    pub(crate) run: RunInfo,
    pub(crate) trial: Option<Rc<TrialGuard>>,
}

/// The result of an attempt.
pub(crate) enum Outcome {
    /// The upstream ran the request and returned a success or an error.
    Responded(Box<UpstreamResponse>),
    /// The upstream could not be reached, or wants no requests; no byte was sent.
    Unreachable(String),
    /// The upstream limits its requests, and there is no permit for this one for this
    /// time; no byte was sent.
    NoPermit(Duration),
    /// The upstream stated that it did not run the request.
    Refused(StatusCode),
    /// The request was sent and may have run, but there is no usable response.
    Lost(String),
}

/// Sends `job` to `target` and waits until `deadline` for the response head.
/// Retries once on a new connection if a pooled one turns out to be closed.
pub(crate) async fn send(
    node: &Rc<Node>,
    job: &Job,
    target: &Target,
    resume: &ResumePoint,
    deadline: Instant,
) -> Outcome {
    let written = CancellationToken::new();
    let outcome = send_uncounted(node, job, target, resume, deadline, &written).await;
    job.sends.record(&target.upstream.key, resume, &outcome);
    outcome
}

/// Like [`send`], but the caller counts the send. Cancels `written` right before the request
/// is written.
pub(crate) async fn send_uncounted(
    node: &Rc<Node>,
    job: &Job,
    target: &Target,
    resume: &ResumePoint,
    deadline: Instant,
    written: &CancellationToken,
) -> Outcome {
    let outcome = send_once(node, job, target, resume, deadline, written).await;
    let has_not_run = matches!(
        outcome,
        Outcome::Unreachable(_) | Outcome::NoPermit(_) | Outcome::Refused(_)
    );
    if let Some(trial) = target.trial.as_ref().filter(|_| has_not_run) {
        trial.cancel();
    }
    outcome
}

async fn send_once(
    node: &Rc<Node>,
    job: &Job,
    target: &Target,
    resume: &ResumePoint,
    deadline: Instant,
    written: &CancellationToken,
) -> Outcome {
    let upstream = &target.upstream;
    let load = Load::of_request(target.uncached_tokens, job.kv_tokens(), job.priority);
    let load_guard = LoadGuard::new(node, job, &upstream.key, load);
    let started = node.now();
    let mut force_new = false;
    loop {
        let mut connection = match connect::acquire(node, job, upstream, force_new).await {
            Ok(connection) => connection,
            Err(cause) => return Outcome::Unreachable(cause),
        };
        let permit = permits::acquire(node, upstream).await;
        let may_send = may_still_send(node, job, upstream, resume);
        if permit.is_err() || !may_send {
            connect::put_back(node, &upstream.key, connection);
            let withdrawn = "the request must not be sent to it any more";
            return permit.map_or_else(Outcome::NoPermit, |()| {
                Outcome::Unreachable(withdrawn.into())
            });
        }
        let request = build_request(node, job, upstream, resume);
        node.metrics.sends.inc();
        job.written.set(true);
        permits::log_send(node, &upstream.key, job.id());
        written.cancel();
        let run = RunInfo {
            sent: node.now(),
            is_trial: target.trial.is_some(),
        };
        let wait = deadline.saturating_duration_since(run.sent);
        let sent = compio::time::timeout(wait, connection.send(request));
        let result = select! {
            result = sent.fuse() => result,
            () = quarantine::quarantined(node, &job.features).fuse() => {
                return Outcome::Lost("a feature of the request was quarantined".into());
            }
        };
        match result {
            Ok(Ok(response)) => {
                let now = node.now();
                load_guard.activity().record(now);
                let elapsed = now.saturating_duration_since(started);
                let mut loads = node.loads.borrow_mut();
                loads.record_latency(
                    &upstream.service,
                    &upstream.key,
                    elapsed,
                    target.expected_delay,
                );
                drop(loads);
                let upstream_response = UpstreamResponse {
                    upstream: upstream.clone(),
                    head: upstream::decode_response(response.status(), response.headers()),
                    response,
                    connection,
                    load_guard,
                    run,
                    trial: target.trial.clone(),
                };
                return classify_response(node, job, upstream_response);
            }
            Ok(Err(SendError::NotSent)) if !force_new => force_new = true,
            Ok(Err(SendError::NotSent)) => {
                return Outcome::Unreachable(
                    "a new connection closed before the request was sent".into(),
                );
            }
            Ok(Err(SendError::Uncertain(cause))) => {
                record_disconnect(node, job, upstream, run, Progress::Sent);
                return Outcome::Lost(cause);
            }
            Err(_) => return Outcome::Lost("timed out waiting for the response head".into()),
        }
    }
}

/// Whether the upstream that was chosen may still get the request, after the time that
/// it took to connect. A run that goes on from its KV cache may go on at a leaving
/// upstream.
fn may_still_send(node: &Node, job: &Job, upstream: &Upstream, resume: &ResumePoint) -> bool {
    let key = &upstream.key;
    let may_begin = job.schedule.may_go_on(resume.done, node.now());
    if !may_begin || quarantine::is_quarantined(node, &job.features) {
        return false;
    }
    // It may have registered another software since.
    let directory = node.directory.borrow();
    let registered = directory.get(key);
    if registered.is_some_and(|registered| registered.software != upstream.software) {
        return false;
    }
    drop(directory);
    match resume.kv_source {
        Some(_) => !node.is_paused(key),
        None => node.may_send_to(key),
    }
}

/// Records that the connection on which `upstream` ran `job` broke, and probes
/// in the background whether the upstream is down, so that other requests avoid
/// it.
pub(crate) fn record_disconnect(
    node: &Rc<Node>,
    job: &Job,
    upstream: &Upstream,
    run: RunInfo,
    progress: Progress,
) {
    quarantine::record_broken(node, job, upstream, run, progress);
    let node = node.clone();
    let (key, addr) = (upstream.key.clone(), upstream.addr);
    lycheehaven_net::spawn_detached(async move {
        if node.loads.borrow().in_backoff(&key, node.now()) {
            node.mark_down(&key, "recent connections to it failed");
        } else if let Ok(connection) = connect::open(&node, &key, addr).await {
            connect::put_back(&node, &key, connection);
        }
    });
}

/// Finds out whether the upstream runs on whose response ended with its connection,
/// and records the outcome of the run.
pub(crate) fn confirm_end(
    node: &Rc<Node>,
    job: &Rc<Job>,
    upstream: Upstream,
    run: RunInfo,
    began: Instant,
) {
    let (node, job) = (node.clone(), job.clone());
    lycheehaven_net::spawn_detached(async move {
        let key = &upstream.key;
        match connect::open(&node, key, upstream.addr).await {
            Ok(connection) => {
                connect::put_back(&node, key, connection);
                quarantine::record_answered(&node, &job.features, began);
            }
            Err(cause) => {
                quarantine::record_broken(&node, &job, &upstream, run, Progress::Begun);
                node.mark_down(key, &cause);
            }
        }
    });
}

fn build_request(
    node: &Node,
    job: &Job,
    upstream: &Upstream,
    resume: &ResumePoint,
) -> Request<Body> {
    let call = UpstreamCall {
        deadline: job
            .head
            .deadline
            .map(|_| job.remaining(node.now()).saturating_sub(HOP_ALLOWANCE)),
        upstream: Some(upstream.key.id.clone()),
        workspace: job.workspace.clone(),
        priority: Some(job.priority),
        last_event: resume.last_event,
        kv_source: resume.kv_source.clone(),
    };
    let mut request = Request::new(Body::full(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    *request.headers_mut() = upstream::call_headers(&job.headers, &call);
    request
}

fn classify_response(node: &Rc<Node>, job: &Job, upstream_response: UpstreamResponse) -> Outcome {
    let status = upstream_response.response.status();
    let head = &upstream_response.head;
    let key = &upstream_response.upstream.key;
    let refusals = upstream_response.connection.refusals();
    if !refusals.allow(job.head.id.as_ref(), head.id.as_ref()) {
        return Outcome::Lost("the response belongs to another request, or is a copy".into());
    }
    if let Some(notice) = &head.notice {
        notice::apply(node, key, notice, job.id());
        let proves_end = head.id.is_some() && (head.signed || head.not_run);
        let sent = upstream_response.run.sent;
        permits::record_stated(node, key, notice.rate, proves_end, sent, job.id());
    }
    if let Some(load) = head.load {
        let observed = ObservedLoad {
            requests: load.running + load.waiting,
            at: node.now(),
        };
        node.loads.borrow_mut().observe_load(key, observed);
    }
    if head.not_run {
        if status == StatusCode::MISDIRECTED_REQUEST {
            node.mark_down(key, "another upstream uses its address");
            node.loads.borrow_mut().start_backoff(key, node.now());
        } else {
            recycle_refusal(node, upstream_response);
        }
        return Outcome::Refused(status);
    }
    if status.is_success() && (!head.signed || head.encoded || head.id.is_none()) {
        return Outcome::Lost(
            "the successful response is unsigned, encoded or without an identifier".into(),
        );
    }
    if status.is_informational() {
        return Outcome::Lost(format!("status {status} is no answer to a request"));
    }
    if implies_not_run(status) {
        return Outcome::Lost(format!(
            "status {status} without the header that confirms that the request did not run"
        ));
    }
    Outcome::Responded(Box::new(upstream_response))
}

/// Whether `status` indicates to callers that the request did not run. Such a
/// status is not passed on unless the upstream confirms it.
fn implies_not_run(status: StatusCode) -> bool {
    [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ]
    .contains(&status)
}

/// Reads the rest of a refusal in the background, so that its connection can be
/// reused.
fn recycle_refusal(node: &Rc<Node>, refusal: UpstreamResponse) {
    const MAX_REFUSAL_BYTES: usize = 16 * 1024;
    const REFUSAL_TIMEOUT: Duration = Duration::from_millis(200);
    let node = node.clone();
    let UpstreamResponse {
        upstream,
        response,
        head,
        mut connection,
        load_guard,
        ..
    } = refusal;
    drop(load_guard);
    connection.refusals_mut().record(head.id.as_ref());
    lycheehaven_net::spawn_detached(async move {
        let body = response.into_body();
        let read = lycheehaven_net::read_body(body, MAX_REFUSAL_BYTES, REFUSAL_TIMEOUT).await;
        if read.is_ok() {
            connect::recycle(&node, &upstream.key, &head, connection);
        }
    });
}
