//! One sending of a request to an upstream.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::body::Incoming;
use lycheehaven_adapter::caller::RequestHead;
use lycheehaven_adapter::upstream;
use lycheehaven_adapter::upstream::KvSource;
use lycheehaven_adapter::upstream::ResponseHead;
use lycheehaven_adapter::upstream::UpstreamCall;
use lycheehaven_catalog::Route;
use lycheehaven_catalog::Upstream;
use lycheehaven_catalog::UpstreamKey;
use lycheehaven_channels::Connection;
use lycheehaven_channels::SendError;
use lycheehaven_dispatch::Load;
use lycheehaven_dispatch::ObservedLoad;
use lycheehaven_dispatch::PRIORITY_LEVELS;
use lycheehaven_net::Body;
use lycheehaven_types::Digest;
use lycheehaven_types::Name;

use crate::node::Node;

/// Longest wait for a connection.
const CONNECT_WAIT: Duration = Duration::from_millis(400);

/// Time on the way to the upstream, taken off the deadline that it is told.
const HOP: Duration = Duration::from_millis(5);

/// Time for which an idle connection is kept if the upstream tells none.
const IDLE: Duration = Duration::from_secs(5);

/// Part of the time that the upstream tells for which an idle connection is
/// kept.
const IDLE_PART: f64 = 0.7;

/// Age up to which an idle connection carries requests that must not be lost.
/// A request on a connection that the upstream is just closing may have run.
const SAFE_IDLE: Duration = Duration::from_millis(1500);

/// A request on its way.
pub(crate) struct Job {
    pub(crate) method: Method,
    pub(crate) target: String,
    pub(crate) headers: HeaderMap,
    pub(crate) head: RequestHead,
    pub(crate) body: Bytes,
    pub(crate) route: Rc<Route>,
    pub(crate) service: Name,
    pub(crate) workspace: Option<Name>,
    pub(crate) priority: u8,
    pub(crate) received: Instant,
    pub(crate) until: Instant,
    pub(crate) digest: Digest,
}

impl Job {
    /// Name of the request in logs.
    pub(crate) fn id(&self) -> &str {
        self.head
            .id
            .as_ref()
            .and_then(|id| id.to_str().ok())
            .unwrap_or("-")
    }

    /// Time that is left at `now`.
    pub(crate) fn left(&self, now: Instant) -> Duration {
        self.until.saturating_duration_since(now)
    }

    /// Tokens of the prompt.
    pub(crate) fn prompt_tokens(&self) -> u64 {
        self.head.tokens.map_or(0, |tokens| tokens.prompt)
    }

    /// Most tokens of the answer.
    pub(crate) fn output_tokens(&self) -> u64 {
        self.head.tokens.map_or(0, |tokens| tokens.output)
    }

    /// Tokens of memory that a run needs in all.
    pub(crate) fn memory_tokens(&self) -> u64 {
        let hint = self.head.output_hint;
        self.head.tokens.map_or(0, |tokens| {
            tokens.prompt + hint.map_or(tokens.output, |hint| hint.min(tokens.output))
        })
    }
}

/// Where a stream goes on that has been sent in part.
#[derive(Debug, Default, Clone)]
pub(crate) struct Resume {
    pub(crate) last_event: Option<u64>,
    pub(crate) memory: Option<KvSource>,
}

/// Counts a request at an upstream for as long as it may run there.
pub(crate) struct Ticket {
    node: Rc<Node>,
    key: UpstreamKey,
    load: Cell<Load>,
}

impl Ticket {
    fn new(node: &Rc<Node>, key: &UpstreamKey, load: Load) -> Self {
        node.book.borrow_mut().add_load(key, &load);
        Self {
            node: node.clone(),
            key: key.clone(),
            load: Cell::new(load),
        }
    }

    /// Notes that the upstream has begun to answer: the prompt has been read.
    pub(crate) fn answered(&self) {
        let load = self.load.get();
        let read = Load {
            requests: 0,
            kv_tokens: 0,
            ..load
        };
        self.node.book.borrow_mut().remove_load(&self.key, &read);
        self.load.set(Load {
            prefill_tokens: [0; PRIORITY_LEVELS],
            ..load
        });
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let load = self.load.get();
        self.node.book.borrow_mut().remove_load(&self.key, &load);
    }
}

/// An upstream that was chosen for a request.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    pub(crate) upstream: Upstream,
    /// Prompt tokens that it probably has to read.
    pub(crate) unread: u64,
    /// Time until its answer is expected to begin.
    pub(crate) expected: Duration,
}

/// An answer that has begun. Dropping it tells the upstream to stop.
pub(crate) struct Answered {
    pub(crate) upstream: Upstream,
    pub(crate) response: Response<Incoming>,
    pub(crate) head: ResponseHead,
    pub(crate) connection: Connection,
    pub(crate) ticket: Ticket,
}

/// How a sending ended.
pub(crate) enum Outcome {
    /// The upstream answers, with success or a failure of its own.
    Answered(Box<Answered>),
    /// No byte was sent: the upstream can't be reached.
    Unreachable(String),
    /// The upstream states that it did not run the request.
    Refused(StatusCode),
    /// The request was sent and may have run, without a usable answer.
    Lost(String),
}

/// Sends `job` to `target` and waits until `until` for the head of the answer.
pub(crate) async fn send(
    node: &Rc<Node>,
    job: &Job,
    chosen: &Target,
    resume: &Resume,
    until: Instant,
) -> Outcome {
    let target = &chosen.upstream;
    let load = Load::of_request(chosen.unread, job.memory_tokens(), job.priority);
    let ticket = Ticket::new(node, &target.key, load);
    let sent = node.now();
    let mut fresh = false;
    loop {
        let mut connection = match connect(node, job, target, fresh).await {
            Ok(connection) => connection,
            Err(cause) => return Outcome::Unreachable(cause),
        };
        let request = build(node, job, target, resume);
        node.metrics.sends.inc();
        let wait = until.saturating_duration_since(node.now());
        match compio::time::timeout(wait, connection.send(request)).await {
            Ok(Ok(response)) => {
                let taken = node.now().saturating_duration_since(sent);
                let mut book = node.book.borrow_mut();
                book.record_latency(&target.service, &target.key, taken, chosen.expected);
                drop(book);
                return classify(node, job, target.clone(), response, connection, ticket);
            }
            Ok(Err(SendError::NotSent)) if !fresh => fresh = true,
            Ok(Err(SendError::NotSent)) => {
                return Outcome::Unreachable("the connection was closed".into());
            }
            Ok(Err(SendError::Uncertain(cause))) => {
                note_break(node, job, target);
                return Outcome::Lost(cause);
            }
            Err(_) => return Outcome::Lost("no answer in time".into()),
        }
    }
}

/// Notes that the connection broke on which `upstream` ran `job`, and looks
/// whether the upstream is down: other requests may avoid it from now on.
pub(crate) fn note_break(node: &Rc<Node>, job: &Job, upstream: &Upstream) {
    let now = node.now();
    node.suspects
        .borrow_mut()
        .record_disconnect(job.digest, &upstream.key, now);
    let node = node.clone();
    let (key, addr) = (upstream.key.clone(), upstream.addr);
    lycheehaven_net::spawn_detached(async move {
        if node.book.borrow().in_backoff(&key, node.now()) {
            node.upstream_down(&key, "it could not be reached");
        } else if let Ok(connection) = open(&node, &key, addr).await {
            let now = node.now();
            node.pool.borrow_mut().put(&key, connection, IDLE, now);
        }
    });
}

/// Takes an idle connection or makes a new one.
async fn connect(
    node: &Rc<Node>,
    job: &Job,
    target: &Upstream,
    fresh: bool,
) -> Result<Connection, String> {
    let now = node.now();
    if !fresh {
        let taken = node.pool.borrow_mut().take(&target.key, now);
        let safe = taken.filter(|(_, idle)| job.route.repeatable() || *idle < SAFE_IDLE);
        if let Some((connection, _)) = safe {
            return Ok(connection);
        }
    }
    open(node, &target.key, target.addr).await
}

/// Makes a connection; an upstream to which that fails is down.
async fn open(node: &Node, key: &UpstreamKey, addr: SocketAddr) -> Result<Connection, String> {
    let open = node.pool.borrow_mut().connection_count(key);
    let result = Connection::open(addr, CONNECT_WAIT, open).await;
    node.metrics.connections.inc();
    if let Err(cause) = &result {
        node.book.borrow_mut().start_backoff(key, node.now());
        node.upstream_down(key, cause);
    }
    result
}

fn build(node: &Node, job: &Job, target: &Upstream, resume: &Resume) -> Request<Body> {
    let call = UpstreamCall {
        deadline: job
            .head
            .deadline
            .map(|_| job.left(node.now()).saturating_sub(HOP)),
        upstream: Some(target.key.id.clone()),
        workspace: job.workspace.clone(),
        priority: Some(job.priority),
        last_event: resume.last_event,
        kv_source: resume.memory.clone(),
    };
    let mut request = Request::new(Body::full(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.target.parse().expect("the target was parsed before");
    *request.headers_mut() = upstream::call_headers(&job.headers, &call);
    request
}

fn classify(
    node: &Rc<Node>,
    job: &Job,
    target: Upstream,
    response: Response<Incoming>,
    connection: Connection,
    ticket: Ticket,
) -> Outcome {
    let status = response.status();
    let head = upstream::decode_response(status, response.headers());
    if let Some(load) = head.load {
        let told = ObservedLoad {
            requests: load.running + load.waiting,
            at: node.now(),
        };
        node.book.borrow_mut().observe_load(&target.key, told);
    }
    if head.id.is_some() && head.id != job.head.id {
        return Outcome::Lost("the answer belongs to another request".into());
    }
    if head.not_run {
        if status == StatusCode::MISDIRECTED_REQUEST {
            node.upstream_down(&target.key, "another upstream has its address");
            node.book
                .borrow_mut()
                .start_backoff(&target.key, node.now());
        }
        drop(ticket);
        recycle_refusal(node, target, head, connection, response);
        return Outcome::Refused(status);
    }
    if status.is_success() && (!head.signed || head.encoded || head.id.is_none()) {
        return Outcome::Lost("the success is not the upstream's own".into());
    }
    if claims_not_run(status) {
        return Outcome::Lost(format!(
            "status {status} without a statement of not running"
        ));
    }
    Outcome::Answered(Box::new(Answered {
        upstream: target,
        response,
        head,
        connection,
        ticket,
    }))
}

/// Statuses that promise callers that a request has not run.
fn claims_not_run(status: StatusCode) -> bool {
    [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ]
    .contains(&status)
}

/// Reads the body of a refusal aside, so that its connection can be used again.
fn recycle_refusal(
    node: &Rc<Node>,
    target: Upstream,
    head: ResponseHead,
    connection: Connection,
    response: Response<Incoming>,
) {
    const MAX_REFUSAL: usize = 16 * 1024;
    const REFUSAL_WAIT: Duration = Duration::from_millis(200);
    let node = node.clone();
    lycheehaven_net::spawn_detached(async move {
        let body = response.into_body();
        let read = lycheehaven_net::read_body(body, MAX_REFUSAL, REFUSAL_WAIT).await;
        if read.is_ok() {
            recycle(&node, &target.key, &head, connection);
        }
    });
}

/// Keeps a connection whose answer is complete.
pub(crate) fn recycle(node: &Node, key: &UpstreamKey, head: &ResponseHead, connection: Connection) {
    if head.closing {
        return;
    }
    let keep = head
        .idle_timeout
        .map_or(IDLE, |idle| idle.mul_f64(IDLE_PART));
    let now = node.now();
    node.pool.borrow_mut().put(key, connection, keep, now);
}
