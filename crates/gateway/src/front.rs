//! Takes requests from callers: decodes them, checks access and limits.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hyper::Request;
use hyper::Response;
use hyper::body::Body as _;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use hyper::header::TRANSFER_ENCODING;
use lycheehaven_adapter::caller;
use lycheehaven_adapter::caller::RequestHead;
use lycheehaven_catalog::Access;
use lycheehaven_catalog::Catalog;
use lycheehaven_catalog::Route;
use lycheehaven_catalog::Workspace;
use lycheehaven_net::Body;
use lycheehaven_net::CountGuard;
use lycheehaven_net::json_response;
use lycheehaven_net::read_body;
use lycheehaven_types::Digest;
use lycheehaven_types::ErrorKind;
use lycheehaven_types::Failure;
use lycheehaven_types::Name;

use crate::attempt::Job;
use crate::counts;
use crate::node::Node;
use crate::serve;

/// Longest wait for a body, whatever the limits say.
const BODY_WAIT: Duration = Duration::from_secs(10);

/// Deadline of a request that names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// Answers one request.
pub(crate) async fn handle(node: Rc<Node>, request: Request<Incoming>) -> Response<Body> {
    let _open = CountGuard::new(node.open.clone());
    let received = node.now();
    let head = caller::decode_request(request.headers());
    let id = head.id.clone();
    // A length beside the coding may have been dropped, so that what follows
    // on the connection can't be trusted.
    let chunked = request.headers().contains_key(TRANSFER_ENCODING);
    let result = admit(&node, request, head, received).await;
    let mut response = match result {
        Ok(job) => serve_job(&node, job).await,
        Err(failure) => {
            log_failure(&node, id.as_ref(), None, &failure, received);
            refuse(&failure)
        }
    };
    node.metrics.answer(
        response.status().as_u16(),
        node.now().saturating_duration_since(received),
    );
    if response.headers().get(RETRY_AFTER).is_some() || response.status().as_u16() >= 400 {
        caller::set_request_id(response.headers_mut(), id.as_ref());
    }
    if chunked || node.stopping.get() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

async fn serve_job(node: &Rc<Node>, job: Job) -> Response<Body> {
    let job = Rc::new(job);
    match serve::serve(node, job.clone()).await {
        Ok(response) => response,
        Err(failure) => {
            log_failure(
                node,
                job.head.id.as_ref(),
                Some(&job.route.name),
                &failure,
                job.received,
            );
            refuse(&failure)
        }
    }
}

/// Decides whether a request is let in, and reads its body.
async fn admit(
    node: &Rc<Node>,
    request: Request<Incoming>,
    head: RequestHead,
    received: Instant,
) -> Result<Job, Failure> {
    let catalog = node.belief.borrow().catalog().cloned();
    let current = node.is_current(received);
    let catalog = catalog
        .ok_or_else(|| Failure::new(ErrorKind::ConfigUnknown, "no configuration is known yet"))?;
    if head.ambiguous {
        return Err(Failure::new(
            ErrorKind::BadRequest,
            "the request's framing or host is ambiguous",
        ));
    }
    let route = find_route(&catalog, &head, request.uri().path(), current)?;
    let current = current && node.knows_peers();
    let workspace = find_workspace(&catalog, &route, &head, current)?;
    let (parts, body) = take_body(&catalog, request).await?;
    let target = parts
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str())
        .to_owned();
    let caller_key = head.api_key.as_deref().unwrap_or_default();
    let digest = Digest::of(&[target.as_bytes(), caller_key.as_bytes(), &body]);
    if node.suspects.borrow().is_quarantined(&digest) {
        return Err(Failure::new(
            ErrorKind::Suspended,
            "the request has crashed the upstreams that ran it",
        ));
    }
    if let Some(workspace) = workspace {
        spend(node, workspace, &head)?;
    }
    let service = route.pick_service(rand::random()).clone();
    node.budget
        .borrow_mut()
        .record_request(&service, node.now());
    let deadline = head.deadline.unwrap_or(DEFAULT_DEADLINE);
    let timeout = if route.timeout.is_zero() {
        deadline
    } else {
        route.timeout
    };
    let priority = workspace
        .and_then(|workspace| workspace.priority)
        .unwrap_or(route.priority);
    Ok(Job {
        method: parts.method,
        target,
        headers: parts.headers,
        head,
        body,
        service,
        workspace: workspace.map(|workspace| workspace.name.clone()),
        priority: priority.min(9),
        received,
        until: received + deadline.min(timeout),
        digest,
        route,
    })
}

fn find_route(
    catalog: &Catalog,
    head: &RequestHead,
    path: &str,
    current: bool,
) -> Result<Rc<Route>, Failure> {
    let host = head.host.as_deref().unwrap_or_default();
    match catalog.find_route(host, path) {
        Some(route) => Ok(route.clone()),
        None if current => Err(Failure::new(ErrorKind::NotFound, "no route matches")),
        None => Err(outdated()),
    }
}

/// The workspace that a request belongs to, if its route needs one.
fn find_workspace<'a>(
    catalog: &'a Catalog,
    route: &Route,
    head: &RequestHead,
    current: bool,
) -> Result<Option<&'a Workspace>, Failure> {
    match catalog.access(route, head.api_key.as_deref()) {
        Access::Public => Ok(None),
        _ if !current => Err(outdated()),
        Access::Workspace(index) => Ok(Some(&catalog.workspaces[index])),
        Access::Denied => Err(Failure::new(
            ErrorKind::Unauthorized,
            "the key is missing or unknown",
        )),
    }
}

fn outdated() -> Failure {
    Failure::new(
        ErrorKind::ConfigUnknown,
        "the configuration could not be confirmed in time",
    )
}

async fn take_body(
    catalog: &Catalog,
    request: Request<Incoming>,
) -> Result<(hyper::http::request::Parts, Bytes), Failure> {
    let limit = catalog.limits.body_bytes;
    // A declared length is refused before any of the body is waited for.
    if request.body().size_hint().lower() > limit as u64 {
        let message = format!("the body is larger than {limit} bytes");
        return Err(Failure::new(ErrorKind::TooLarge, message));
    }
    let (parts, body) = request.into_parts();
    let bytes = read_body(body, limit, BODY_WAIT).await?;
    Ok((parts, bytes))
}

/// Takes a request's cost out of its workspace's allotment.
fn spend(node: &Node, workspace: &Workspace, head: &RequestHead) -> Result<(), Failure> {
    if workspace.rate <= 0.0 {
        return Ok(());
    }
    let now = node.now();
    let cost = request_cost(workspace, head);
    let limit = counts::limit(node, workspace);
    let members = node.member_names();
    node.allotments
        .borrow_mut()
        .admit(&workspace.name, limit, cost, &members, now)
        .map_err(|exceeded| {
            let message = format!(
                "the allotment of workspace {} is used up: {:.0} units here and {:.0} elsewhere of {:.0}",
                workspace.name, exceeded.local, exceeded.remote, limit.units
            );
            Failure::new(ErrorKind::RateLimited, message).retry_after(exceeded.retry_after)
        })
}

fn request_cost(workspace: &Workspace, head: &RequestHead) -> f64 {
    if !workspace.counts_tokens {
        return 1.0;
    }
    head.tokens.map_or(workspace.default_tokens, |tokens| {
        (tokens.prompt + tokens.output) as f64
    })
}

/// The answer for a failure of the system's own.
fn refuse(failure: &Failure) -> Response<Body> {
    let mut response = json_response(failure.kind.status(), &failure.body());
    if let Some(wait) = failure.retry_delay() {
        response
            .headers_mut()
            .insert(RETRY_AFTER, caller::retry_after(wait));
    }
    response
}

fn log_failure(
    node: &Node,
    id: Option<&HeaderValue>,
    route: Option<&Name>,
    failure: &Failure,
    received: Instant,
) {
    let now = node.now();
    let age = node.belief.borrow().age(now);
    node.metrics.failure(failure.kind);
    log::info!(
        target: "lycheehaven",
        request = id.and_then(|id| id.to_str().ok()).unwrap_or("-"),
        route = route.map_or("-", |name| &**name),
        kind = failure.kind.name(),
        cause = failure.message.as_str(),
        after_ms = now.saturating_duration_since(received).as_millis() as u64,
        config_age_ms = age.map_or(-1, |age| age.as_millis() as i64);
        "request failed"
    );
}
