//! Sends a request to upstreams until one of them returns a usable response.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hyper::Response;
use hyper::StatusCode;
use lycheehaven_adapter::caller;
use lycheehaven_catalog::RouteKind;
use lycheehaven_net::Body;
use lycheehaven_net::Framing;
use lycheehaven_net::read_body;
use lycheehaven_quarantine::Progress;
use lycheehaven_types::ErrorKind;
use lycheehaven_types::Failure;
use lycheehaven_types::Name;

use crate::attempt;
use crate::attempt::Job;
use crate::attempt::Outcome;
use crate::attempt::Target;
use crate::attempt::UpstreamResponse;
use crate::connect;
use crate::elsewhere::Tries;
use crate::head;
use crate::node::Node;
use crate::pick::MIN_RETRY_AFTER;
use crate::pick::limited;
use crate::pick::no_upstream;
use crate::pick::overloaded;
use crate::pick::pick_target;
use crate::quarantine;
use crate::quarantine::Permission;
use crate::relay;

/// Largest response that is buffered before it is passed to the caller.
pub(crate) const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Number of unreachable upstreams after which a request fails.
pub(crate) const MAX_UNREACHABLE_UPSTREAMS: usize = 4;

/// Number of permits that are asked for in vain after which a request is refused.
const MAX_VAIN_ASKS: usize = 4;

/// The attempts made for one request so far.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    pub(crate) tries: Tries,
    unreachable: usize,
    /// Asks for a permit that were refused.
    vain_asks: usize,
    /// Why the last attempt that may have run the request failed.
    lost: Option<String>,
}

/// Sends `job` to upstreams and returns the response for the caller.
pub(crate) async fn serve(node: &Rc<Node>, job: Rc<Job>) -> Result<Response<Body>, Failure> {
    let mut attempts = Attempts::default();
    loop {
        let target = next_upstream(node, &job, &mut attempts)?;
        attempts.tries.tried.push(target.upstream.key.clone());
        let (target, outcome) = head::attempt(node, &job, target, &mut attempts).await;
        attempts.record(node, &job, &target, &outcome);
        if let Outcome::Responded(upstream_response) = outcome {
            match forward_response(node, &job, *upstream_response, &attempts).await {
                Ok(response) => return Ok(response),
                Err(cause) => {
                    // A stream may have been resumed at further upstreams.
                    attempts.tries.tried.extend(job.sends.upstreams());
                    attempts.lost = Some(cause);
                }
            }
        }
    }
}

impl Attempts {
    /// Logs the outcome of an attempt, and keeps what the next one depends on.
    pub(crate) fn record(&mut self, node: &Node, job: &Job, target: &Target, outcome: &Outcome) {
        log_attempt(job, target, self, outcome);
        self.tries.is_paid &= matches!(outcome, Outcome::NoPermit(_));
        match outcome {
            Outcome::Responded(_) | Outcome::Refused(_) => {}
            Outcome::Unreachable(_) => self.unreachable += 1,
            Outcome::NoPermit(_) => self.vain_asks += 1,
            Outcome::Lost(cause) => {
                // An upstream that asks for a pause is not faulty.
                if !node.is_paused(&target.upstream.key) {
                    let mut loads = node.loads.borrow_mut();
                    loads.record_outcome(&target.upstream.key, false);
                }
                self.lost = Some(cause.clone());
            }
        }
    }
}

/// Returns the upstream for the next attempt, or the failure that ends the
/// request.
fn next_upstream(node: &Rc<Node>, job: &Job, attempts: &mut Attempts) -> Result<Target, Failure> {
    let target = next_target(node, job, attempts);
    target.map_err(|failure| match &attempts.lost {
        // The request may have run, so the failure must not say that it did not.
        Some(cause) => Failure::new(ErrorKind::UpstreamLost, cause.clone()),
        None if attempts.tries.may_have_run => {
            let cause = "an upstream that was asked during a silence may have run the request";
            Failure::new(ErrorKind::UpstreamLost, cause)
        }
        None => failure,
    })
}

fn next_target(node: &Rc<Node>, job: &Job, attempts: &mut Attempts) -> Result<Target, Failure> {
    let now = node.now();
    if now >= job.schedule.deadline {
        return Err(overloaded(
            "the deadline passed before an upstream accepted the request",
            MIN_RETRY_AFTER,
        ));
    }
    job.schedule.check(now)?;
    let may_repeat = attempts.lost.is_none() || job.route.repeatable();
    if !may_repeat || job.sends.count() >= job.route.max_attempts {
        return Err(overloaded(
            "the route allows no further attempts",
            MIN_RETRY_AFTER,
        ));
    }
    let permission = quarantine::check(node, &job.features)?;
    if attempts.unreachable >= MAX_UNREACHABLE_UPSTREAMS {
        return Err(no_upstream(
            "too many of the attempted upstreams were unreachable",
        ));
    }
    if attempts.vain_asks >= MAX_VAIN_ASKS {
        return Err(limited(node, &job.service, Duration::ZERO, now));
    }
    let picked = pick_target(node, job, &attempts.tries.tried, permission, now);
    let mut target = picked.map_err(|unpicked| match attempts.vain_asks {
        0 => unpicked.failure(node, &job.service, now),
        _ => limited(node, &job.service, Duration::ZERO, now),
    })?;
    if job.sends.count() > 0 && !attempts.tries.pay(node, &job.service) {
        return Err(overloaded(
            "the retry budget of the service is exhausted",
            MIN_RETRY_AFTER,
        ));
    }
    if permission == Permission::Trial {
        begin_trial(node, job, &mut target);
    }
    Ok(target)
}

/// Takes one retry out of the budget of a service and returns whether one was left.
pub(crate) fn take_retry(node: &Node, service: &Name, now: Instant) -> bool {
    let members = node.roster.borrow().count();
    let mut budget = node.retry_budget.borrow_mut();
    budget.try_take(service, members, now)
}

/// Makes the attempt at `target` a trial.
pub(crate) fn begin_trial(node: &Rc<Node>, job: &Job, target: &mut Target) {
    let trial = quarantine::begin_trial(node, job, &target.upstream.key);
    target.trial = Some(Rc::new(trial));
}

/// Builds the caller's response from that of an upstream.
///
/// # Errors
/// Returns why the upstream's response can't be used. The request has run.
async fn forward_response(
    node: &Rc<Node>,
    job: &Rc<Job>,
    upstream_response: UpstreamResponse,
    attempts: &Attempts,
) -> Result<Response<Body>, String> {
    let status = upstream_response.response.status();
    record_outcome(node, job, &upstream_response, !status.is_server_error());
    count_started(node, job);
    if status.is_server_error() && may_retry(node, job, attempts) {
        return Err(format!("the upstream returned status {status}"));
    }
    let streams = job.route.kind == RouteKind::Streaming && !upstream_response.head.plain;
    if streams && status.is_success() {
        return relay::start(node, job, upstream_response).await;
    }
    collect(node, job, upstream_response).await
}

fn may_retry(node: &Node, job: &Job, attempts: &Attempts) -> bool {
    let now = node.now();
    job.route.repeatable()
        && job.sends.count() < job.route.max_attempts
        && job.remaining(now) > job.route.target_latency / 2
        && job.schedule.may_begin(now)
        && quarantine::check(node, &job.features).is_ok_and(|permission| {
            pick_target(node, job, &attempts.tries.tried, permission, now).is_ok()
        })
        && node.retry_budget.borrow_mut().has_remaining(
            &job.service,
            node.roster.borrow().count(),
            now,
        )
}

/// Buffers the whole response before passing any of it on, so that the request
/// can be retried if the response breaks off.
async fn collect(
    node: &Rc<Node>,
    job: &Job,
    upstream_response: UpstreamResponse,
) -> Result<Response<Body>, String> {
    let UpstreamResponse {
        upstream,
        response,
        head,
        connection,
        load_guard,
        run,
        trial,
    } = upstream_response;
    let began = node.now();
    let (parts, body) = response.into_parts();
    let wait = job.schedule.until_deadline(began);
    let bytes = read_body(body, MAX_RESPONSE_BYTES, wait)
        .await
        .map_err(|cause| {
            attempt::record_disconnect(node, job, &upstream, run, Progress::Begun);
            cause.message
        })?;
    drop(load_guard);
    drop(trial);
    // The close of a connection may be a crash.
    if parts.status.is_success() && Framing::of(&parts.headers) != Framing::UntilClose {
        quarantine::record_answered(node, &job.features, began);
    }
    if parts.status.is_success() {
        let now = node.now();
        let taken = now.saturating_duration_since(run.sent);
        let mut work_times = node.work_times.borrow_mut();
        work_times.record(&job.route.name, taken, now);
    }
    connect::recycle(node, &upstream.key, &head, connection);
    Ok(caller_response(
        parts.status,
        &parts.headers,
        Body::full(bytes),
    ))
}

/// Returns a response with the upstream's status and headers.
pub(crate) fn caller_response(
    status: StatusCode,
    headers: &hyper::HeaderMap,
    body: Body,
) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = caller::response_headers(headers);
    response
}

fn record_outcome(node: &Node, job: &Job, upstream_response: &UpstreamResponse, healthy: bool) {
    upstream_response.load_guard.response_started();
    let now = node.now();
    let mut loads = node.loads.borrow_mut();
    loads.record_outcome(&upstream_response.upstream.key, healthy);
    for part in &job.head.prompt {
        loads.record_cached(&upstream_response.upstream.key, &part.id, now);
    }
}

/// Counts a request that an upstream has started as usage of its workspace.
fn count_started(node: &Node, job: &Job) {
    if let Some(workspace) = &job.workspace {
        let millis = node.wall_millis();
        node.usage.borrow_mut().record_request(workspace, millis);
    }
}

fn log_attempt(job: &Job, target: &Target, attempts: &Attempts, outcome: &Outcome) {
    let (result, cause) = match outcome {
        Outcome::Responded(upstream_response) => {
            let status = upstream_response.response.status();
            log::debug!(
                target: "lycheehaven",
                request = job.id(), upstream = &*target.upstream.key.id, status = status.as_u16();
                "received the response head from the upstream"
            );
            return;
        }
        Outcome::Unreachable(cause) => ("unreachable", cause.clone()),
        Outcome::NoPermit(wait) => {
            log::debug!(
                target: "lycheehaven",
                request = job.id(), upstream = &*target.upstream.key.id,
                wait_ms = wait.as_millis() as u64;
                "there is no permit for a request to this upstream"
            );
            return;
        }
        Outcome::Refused(status) => ("refused", status.to_string()),
        Outcome::Lost(cause) => ("lost", cause.clone()),
    };
    log::info!(
        target: "lycheehaven",
        request = job.id(),
        route = &*job.route.name,
        upstream = &*target.upstream.key.id,
        attempt = attempts.tries.tried.len(),
        outcome = result,
        cause = cause.as_str();
        "the attempt at this upstream failed"
    );
}
