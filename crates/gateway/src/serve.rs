//! Sends a request to upstreams until one answers.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hyper::Response;
use hyper::StatusCode;
use lycheehaven_adapter::caller;
use lycheehaven_catalog::RouteKind;
use lycheehaven_catalog::Upstream;
use lycheehaven_catalog::UpstreamKey;
use lycheehaven_dispatch::Query;
use lycheehaven_dispatch::choose;
use lycheehaven_net::Body;
use lycheehaven_net::read_body;
use lycheehaven_types::ErrorKind;
use lycheehaven_types::Failure;

use crate::attempt;
use crate::attempt::Answered;
use crate::attempt::Job;
use crate::attempt::Outcome;
use crate::attempt::Resume;
use crate::attempt::Target;
use crate::node::Node;
use crate::relay;

/// Largest answer that is read whole before it goes on to the caller.
const MAX_ANSWER: usize = 4 * 1024 * 1024;

/// Upstreams that are tried for one request while none has received it.
const MAX_UNREACHABLE: usize = 4;

/// Time after which a request that may be repeated is given up at one upstream,
/// as a multiple of the route's target.
const PATIENCE: u32 = 4;

/// Least time after which callers are asked to come back.
const LEAST_RETRY: Duration = Duration::from_millis(200);

/// Longest time after which callers are asked to come back when all upstreams
/// are full.
const MOST_RETRY: Duration = Duration::from_millis(1500);

/// Time after which callers are asked to come back when no upstream can be
/// reached.
const ABSENT_RETRY: Duration = Duration::from_millis(700);

/// Upstreams that were tried, and what is left to do.
#[derive(Debug, Default)]
struct Tries {
    tried: Vec<UpstreamKey>,
    arrivals: u32,
    unreachable: usize,
    lost: Option<String>,
}

/// Answers `job`.
pub(crate) async fn serve(node: &Rc<Node>, job: Rc<Job>) -> Result<Response<Body>, Failure> {
    let mut tries = Tries::default();
    loop {
        let target = next_upstream(node, &job, &tries)?;
        tries.tried.push(target.upstream.key.clone());
        let until = patience(node, &job, &tries);
        let outcome = attempt::send(node, &job, &target, &Resume::default(), until).await;
        log_attempt(&job, &target, &tries, &outcome);
        match outcome {
            Outcome::Answered(answered) => {
                tries.arrivals += 1;
                match take_answer(node, &job, *answered, &tries).await {
                    Ok(response) => return Ok(response),
                    Err(cause) => tries.lost = Some(cause),
                }
            }
            Outcome::Unreachable(_) => tries.unreachable += 1,
            Outcome::Refused(_) => tries.arrivals += 1,
            Outcome::Lost(cause) => {
                tries.arrivals += 1;
                let mut book = node.book.borrow_mut();
                book.record_outcome(&target.upstream.key, false);
                tries.lost = Some(cause);
            }
        }
    }
}

/// The upstream for the next sending, or why there is none.
fn next_upstream(node: &Node, job: &Job, tries: &Tries) -> Result<Target, Failure> {
    next_target(node, job, tries).map_err(|failure| match &tries.lost {
        // The request has run or may have; no promise can be made.
        Some(cause) => Failure::new(ErrorKind::UpstreamLost, cause.clone()),
        None => failure,
    })
}

fn next_target(node: &Node, job: &Job, tries: &Tries) -> Result<Target, Failure> {
    let now = node.now();
    if now >= job.until {
        return Err(full("the time is up", LEAST_RETRY));
    }
    let may_repeat = tries.lost.is_none() || job.route.repeatable();
    if !may_repeat || tries.arrivals >= job.route.max_attempts {
        return Err(full("no further upstream may be tried", LEAST_RETRY));
    }
    if tries.unreachable >= MAX_UNREACHABLE {
        return Err(absent("no upstream can be reached"));
    }
    let target = pick(node, job, &tries.tried, now)?;
    if tries.arrivals > 0 {
        let members = node.members.borrow().count();
        if !node
            .budget
            .borrow_mut()
            .try_take(&job.service, members, now)
        {
            return Err(full("the retry budget is used up", LEAST_RETRY));
        }
    }
    Ok(target)
}

/// A refusal because all upstreams are full for about `wait`. The time to come
/// back is spread, so that callers do not return together.
fn full(message: &str, wait: Duration) -> Failure {
    let spread: f64 = rand::random_range(0.75..1.25);
    let wait = wait.clamp(LEAST_RETRY, MOST_RETRY).mul_f64(spread);
    Failure::new(ErrorKind::Overloaded, message).retry_after(wait)
}

fn absent(message: &str) -> Failure {
    let spread: f64 = rand::random_range(0.75..1.25);
    Failure::new(ErrorKind::NoUpstream, message).retry_after(ABSENT_RETRY.mul_f64(spread))
}

/// Chooses an upstream that was not tried.
pub(crate) fn pick(
    node: &Node,
    job: &Job,
    tried: &[UpstreamKey],
    now: Instant,
) -> Result<Target, Failure> {
    let directory = node.directory.borrow();
    let candidates: Vec<&Upstream> = directory
        .ready(&job.service)
        .filter(|upstream| !tried.contains(&upstream.key))
        .collect();
    if candidates.is_empty() {
        return Err(absent("no upstream of the service is ready"));
    }
    let catalog = node.belief.borrow().catalog().cloned();
    let service = catalog
        .as_ref()
        .and_then(|catalog| catalog.services.get(&job.service));
    let members = node.members.borrow().count();
    let connections = service.map_or(usize::MAX, |service| service.max_connections);
    let share = (connections / members).max(1);
    let ask = Query {
        prompt: &job.head.prompt,
        tokens: job.prompt_tokens(),
        kv_tokens: job.memory_tokens(),
        priority: job.priority,
        target_latency: job.route.target_latency,
        domain: &node.settings.domain,
        engine: service.and_then(|service| service.engine.as_ref()),
        draw: rand::random(),
    };
    let mut pool = node.pool.borrow_mut();
    let open = candidates
        .into_iter()
        .filter(|upstream| pool.connection_count(&upstream.key).get() < share);
    let book = node.book.borrow();
    let choice = choose(open, &ask, &book, &node.policy, now)
        .ok_or_else(|| absent("all upstreams of the service failed lately"))?;
    if tried.is_empty() {
        let work = node.policy.prefill_ms(choice.uncached_tokens);
        node.demand.borrow_mut().add(&job.service, work, now);
    }
    // An answer that comes late delays others as well.
    if let Some(excess) = choice.excess_wait(job.route.target_latency) {
        return Err(full("all upstreams of the service are full", excess));
    }
    Ok(Target {
        upstream: choice.upstream.clone(),
        unread: choice.uncached_tokens,
        expected: choice.expected_delay,
    })
}

/// When to give a sending up: early only if another upstream may be tried.
fn patience(node: &Node, job: &Job, tries: &Tries) -> Instant {
    let may_repeat = job.route.repeatable() && tries.arrivals + 1 < job.route.max_attempts;
    if !may_repeat {
        return job.until;
    }
    let patience = job.route.target_latency * PATIENCE;
    (node.now() + patience).min(job.until)
}

/// Turns an upstream's answer into the caller's.
///
/// # Errors
/// Why the answer can't be used; the request has run.
async fn take_answer(
    node: &Rc<Node>,
    job: &Rc<Job>,
    answered: Answered,
    tries: &Tries,
) -> Result<Response<Body>, String> {
    let status = answered.response.status();
    note_outcome(node, job, &answered, !status.is_server_error());
    count_begun(node, job);
    if status.is_server_error() && may_try_again(node, job, tries) {
        return Err(format!("the upstream answered {status}"));
    }
    if job.route.kind == RouteKind::Streaming && status.is_success() {
        return relay::start(node, job, answered, tries.arrivals).await;
    }
    collect(node, job, answered).await
}

fn may_try_again(node: &Node, job: &Job, tries: &Tries) -> bool {
    let now = node.now();
    job.route.repeatable()
        && tries.arrivals < job.route.max_attempts
        && job.left(now) > job.route.target_latency / 2
        && pick(node, job, &tries.tried, now).is_ok()
        && node
            .budget
            .borrow_mut()
            .has_remaining(&job.service, node.members.borrow().count(), now)
}

/// Reads the whole answer before any of it goes on, so that a broken one can
/// be asked for again.
async fn collect(node: &Rc<Node>, job: &Job, answered: Answered) -> Result<Response<Body>, String> {
    let Answered {
        upstream,
        response,
        head,
        connection,
        ticket,
    } = answered;
    let (parts, body) = response.into_parts();
    let wait = job.left(node.now());
    let bytes = read_body(body, MAX_ANSWER, wait).await.map_err(|cause| {
        attempt::note_break(node, job, &upstream);
        cause.message
    })?;
    drop(ticket);
    attempt::recycle(node, &upstream.key, &head, connection);
    Ok(answer(parts.status, &parts.headers, Body::full(bytes)))
}

/// An answer with the upstream's status and headers.
pub(crate) fn answer(status: StatusCode, headers: &hyper::HeaderMap, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = caller::response_headers(headers);
    response
}

fn note_outcome(node: &Node, job: &Job, answered: &Answered, healthy: bool) {
    answered.ticket.answered();
    let now = node.now();
    let mut book = node.book.borrow_mut();
    book.record_outcome(&answered.upstream.key, healthy);
    for part in &job.head.prompt {
        book.record_cached(&answered.upstream.key, &part.id, now);
    }
}

/// Counts a request that an upstream has begun to run.
fn count_begun(node: &Node, job: &Job) {
    if let Some(workspace) = &job.workspace {
        let millis = node.wall_millis();
        node.usage.borrow_mut().record_request(workspace, millis);
    }
}

fn log_attempt(job: &Job, target: &Target, tries: &Tries, outcome: &Outcome) {
    let (result, cause) = match outcome {
        Outcome::Answered(answered) => {
            let status = answered.response.status();
            log::debug!(
                target: "lycheehaven",
                request = job.id(), upstream = &*target.upstream.key.id, status = status.as_u16();
                "the upstream answered"
            );
            return;
        }
        Outcome::Unreachable(cause) => ("unreachable", cause.clone()),
        Outcome::Refused(status) => ("refused", status.to_string()),
        Outcome::Lost(cause) => ("lost", cause.clone()),
    };
    log::info!(
        target: "lycheehaven",
        request = job.id(),
        route = &*job.route.name,
        upstream = &*target.upstream.key.id,
        attempt = tries.tried.len(),
        outcome = result,
        cause = cause.as_str();
        "the upstream gave no answer"
    );
}
