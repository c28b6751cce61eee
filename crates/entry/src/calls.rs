//! Sending of calls to plain services.
//!
//! A repeatable call whose upstream sends nothing goes on at another one. The order is:
//! choose the other upstream, connect to it, obtain its permit, send the call there, and
//! close the first connection once the other upstream has answered, at the latest after
//! [`OVERLAP`]. If the other one refuses, the first answer is awaited further.

use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::net::TcpStream;
use futures_util::FutureExt;
use futures_util::select;
use lycheehaven_net::RequestError;
use lycheehaven_net::connect;
use lycheehaven_routing::Query;
use lycheehaven_streams::Silence;
use lycheehaven_streams::Verdict;
use lycheehaven_streams::silence_limit;
use lycheehaven_types::ErrorKind;
use lycheehaven_types::Failure;
use lycheehaven_types::Incarnation;
use lycheehaven_types::Name;
use lycheehaven_upstream::plain::PlainCall;
use lycheehaven_upstream::plain::PlainResponse;
use lycheehaven_upstream::plain::send_once;

use crate::complete;
use crate::node::Node;
use crate::notice;
use crate::permits;
use crate::shutdown;
use crate::shutdown::Work;

/// Upstreams attempted per call.
pub(crate) const UPSTREAM_ATTEMPTS: usize = 3;

/// Time for which two upstreams may work on one call. 400 ms are allowed, of which the
/// rest is left for the close of the connection to arrive.
const OVERLAP: Duration = Duration::from_millis(300);

/// Longest time between two looks for an upstream that takes over a call.
const MAX_RECHECK: Duration = Duration::from_secs(1);

/// Identifies repeatable calls in the log, which have no identifier.
const SUBJECT: &str = "call";

type Reply = Result<PlainResponse, RequestError>;

/// Upstream that a call is sent to.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    pub(crate) vm: Name,
    incarnation: Incarnation,
    addr: SocketAddr,
}

/// Chooses the upstream of a call.
pub(crate) fn choose(node: &Node, service: &Name, subject: &str) -> Option<Target> {
    choose_among(node, service, subject, &[], None)
}

fn choose_among(
    node: &Node,
    service: &Name,
    subject: &str,
    excluded: &[Name],
    takes_over: Option<Duration>,
) -> Option<Target> {
    let query = Query {
        software: None,
        service,
        domain: &node.settings.domain,
        tokens: 0,
        blocks: &[],
        excluded,
        without_suspects: false,
        takes_over,
    };
    let choice = node.choose(&query, subject)?;
    let upstreams = node.upstreams.borrow();
    let upstream = upstreams.get(&choice.vm)?;
    Some(Target {
        vm: choice.vm,
        incarnation: upstream.id.incarnation,
        addr: upstream.addr,
    })
}

/// Returns the failure of a call that was sent to no upstream, with the time to return if
/// they all want or take no requests now.
pub(crate) fn unavailable(node: &Node, service: &Name, work: Work) -> Failure {
    let message = "no upstream of the service accepted the call";
    complete::check_available(node, service, work)
        .err()
        .unwrap_or_else(|| Failure::new(ErrorKind::NoUpstream, message))
}

/// Returns the failure of a call that was not answered before its deadline.
pub(crate) fn deadline_failure(sent: bool) -> Failure {
    let kind = match sent {
        true => ErrorKind::DeadlineWithin,
        false => ErrorKind::DeadlineBefore,
    };
    Failure::new(kind, "the call was not answered before its deadline")
}

/// Sends a call once and waits for its answer as long as the connection lasts. `subject`
/// identifies the call in the log.
pub(crate) async fn send(
    node: &Rc<Node>,
    target: &Target,
    call: &PlainCall,
    subject: &str,
) -> Reply {
    let stream = open(node, target).await?;
    Run::begin(node, target, Work::Once)
        .answer(stream, call, subject)
        .await
}

/// Connects to an upstream and obtains the permit for one call, which must be sent at once.
async fn open(node: &Rc<Node>, target: &Target) -> Result<TcpStream, RequestError> {
    let wait = Duration::from_millis(node.settings.timing.connect_ms);
    let stream = match connect(target.addr, wait).await {
        Ok(stream) => stream,
        Err(cause) => {
            let now = node.now();
            node.upstreams.borrow_mut().record_failure(&target.vm, now);
            return Err(cause);
        }
    };
    let permit = permits::acquire(node, &target.vm, target.incarnation).await;
    permit.map_err(|_| {
        let cause = "the upstream limits its requests and there is no permit for this one";
        RequestError::NotSent(cause.into())
    })?;
    Ok(stream)
}

/// A call at an upstream, counted there until it is dropped.
struct Run {
    node: Rc<Node>,
    target: Target,
    work: Work,
    sent: Instant,
}

impl Run {
    fn begin(node: &Rc<Node>, target: &Target, work: Work) -> Self {
        let sent = node.now();
        let mut upstreams = node.upstreams.borrow_mut();
        upstreams.record_open(&target.vm, 0, &[], sent);
        drop(upstreams);
        Self {
            node: node.clone(),
            target: target.clone(),
            work,
            sent,
        }
    }

    /// Sends the call, and records the outcome and what the response says of the upstream.
    async fn answer(self, stream: TcpStream, call: &PlainCall, subject: &str) -> Reply {
        let (node, vm) = (&self.node, &self.target.vm);
        let reply = send_once(stream, self.target.addr, call).await;
        let now = node.now();
        let reply = match reply {
            Ok(reply) => reply,
            Err(cause) => {
                node.upstreams.borrow_mut().record_failure(vm, now);
                return Err(cause);
            }
        };
        let mut upstreams = node.upstreams.borrow_mut();
        upstreams.record_success(vm);
        upstreams.record_heard(vm, now);
        let service = upstreams.get(vm).map(|upstream| upstream.service.clone());
        drop(upstreams);
        if let Some(service) = service {
            node.shutdown.record_run(&service, self.work, self.sent);
        }
        let incarnation = self.target.incarnation;
        notice::apply(node, vm, incarnation, reply.notice, self.sent, subject);
        Ok(reply.response)
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let mut upstreams = self.node.upstreams.borrow_mut();
        upstreams.record_close(&self.target.vm);
    }
}

/// Sends a repeatable call until an upstream answers or the deadline passes. Responses are
/// not cached, so every call reaches an upstream.
pub(crate) async fn run_repeatable(
    node: &Rc<Node>,
    service: &Name,
    call: &PlainCall,
) -> Result<PlainResponse, Failure> {
    let attempts = Attempts {
        node,
        service,
        call,
        sent: Cell::new(0),
        has_left: Cell::new(false),
    };
    let left = node.time_left(node.now());
    let is_sent = || attempts.sent.get() > 0;
    select! {
        result = attempts.run().fuse() => result,
        () = compio::time::sleep(left).fuse() => Err(deadline_failure(is_sent())),
        () = node.shutdown.work_end().fuse() => Err(shutdown::not_ended(is_sent())),
    }
}

/// The attempts of a repeatable call.
struct Attempts<'a> {
    node: &'a Rc<Node>,
    service: &'a Name,
    call: &'a PlainCall,
    /// Number of attempts so far.
    sent: Cell<usize>,
    /// Whether an attempt was left that might still have been answered. A refusal by the
    /// next upstream is then not the answer, as long as there are attempts.
    has_left: Cell<bool>,
}

/// An attempt that is under way.
struct Running<'a> {
    target: Target,
    sent: Instant,
    answer: Pin<Box<dyn Future<Output = Reply> + 'a>>,
}

impl<'a> Attempts<'a> {
    async fn run(&self) -> Result<PlainResponse, Failure> {
        let mut lost = None;
        for _ in 0..UPSTREAM_ATTEMPTS {
            if !self.has_more() {
                break;
            }
            let Some(target) = choose(self.node, self.service, SUBJECT) else {
                break;
            };
            let result = match open(self.node, &target).await {
                Ok(stream) => self.follow(self.start(target, stream)).await,
                Err(cause) => Err(cause),
            };
            match result {
                Ok(answer) if self.has_left.get() && !is_accepted(&answer) => {
                    lost = Some(Ok(answer));
                }
                Ok(answer) => return Ok(answer),
                Err(RequestError::NotSent(_)) => {}
                Err(RequestError::Uncertain(cause)) => {
                    lost = Some(Err(Failure::new(ErrorKind::UpstreamLost, cause)));
                }
            }
        }
        lost.unwrap_or_else(|| Err(unavailable(self.node, self.service, Work::Repeatable)))
    }

    fn has_more(&self) -> bool {
        self.sent.get() < UPSTREAM_ATTEMPTS
            && complete::can_end(self.node, self.service, Work::Repeatable)
    }

    fn start(&self, target: Target, stream: TcpStream) -> Running<'a> {
        self.sent.set(self.sent.get() + 1);
        let run = Run::begin(self.node, &target, Work::Repeatable);
        let sent = run.sent;
        Running {
            target,
            sent,
            answer: Box::pin(run.answer(stream, self.call, SUBJECT)),
        }
    }

    /// Waits for the answer of an attempt, which others take over while it is overdue.
    async fn follow(&self, mut current: Running<'a>) -> Reply {
        loop {
            let mut next = select! {
                reply = current.answer.as_mut().fuse() => return reply,
                next = self.successor(&current.target, current.sent).fuse() => next,
            };
            select! {
                reply = current.answer.as_mut().fuse() => match reply {
                    Ok(_) => return reply,
                    Err(_) => current = next,
                },
                reply = next.answer.as_mut().fuse() => if accepts(&reply) {
                    self.log_left(&current, &next.target);
                    return reply;
                },
                () = compio::time::sleep(OVERLAP).fuse() => {
                    self.log_left(&current, &next.target);
                    self.has_left.set(true);
                    current = next;
                }
            }
        }
    }

    /// Waits until an attempt is overdue and another upstream takes the call, and sends it
    /// there.
    async fn successor(&self, from: &Target, sent: Instant) -> Running<'a> {
        let first = Duration::from_millis(self.node.settings.timing.silence_ms);
        let limit = silence_limit(first, self.sent.get().saturating_sub(1) as u32);
        loop {
            if let Verdict::Wait(wait) = self.judge(from, sent, limit) {
                compio::time::sleep(wait).await;
                continue;
            }
            let excluded = std::slice::from_ref(&from.vm);
            let (node, service) = (self.node, self.service);
            let target = self
                .has_more()
                .then(|| choose_among(node, service, SUBJECT, excluded, Some(limit)))
                .flatten();
            if let Some(target) = target
                && let Ok(stream) = open(self.node, &target).await
            {
                return self.start(target, stream);
            }
            compio::time::sleep(limit.min(MAX_RECHECK)).await;
        }
    }

    fn judge(&self, from: &Target, sent: Instant, limit: Duration) -> Verdict {
        let now = self.node.now();
        let run = now.saturating_duration_since(sent);
        let upstreams = self.node.upstreams.borrow();
        let upstream = upstreams.get(&from.vm);
        let upstream = upstream.map_or(run, |upstream| upstream.silence(now));
        Silence { run, upstream }.judge(limit)
    }

    fn log_left(&self, current: &Running<'_>, next: &Target) {
        let now = self.node.now();
        let silence_ms = now.saturating_duration_since(current.sent).as_millis() as u64;
        log::warn!(
            target: "lycheehaven",
            service = &**self.service, vm = &*current.target.vm, next = &*next.vm,
            silence_ms = silence_ms;
            "the upstream sends nothing; its call is given up"
        );
        let mut upstreams = self.node.upstreams.borrow_mut();
        upstreams.record_failure(&current.target.vm, now);
    }
}

/// Returns whether a reply is an answer, rather than a failure of its upstream or a refusal.
fn accepts(reply: &Reply) -> bool {
    reply.as_ref().is_ok_and(is_accepted)
}

fn is_accepted(reply: &PlainResponse) -> bool {
    reply.status < 500 && reply.status != 429
}
