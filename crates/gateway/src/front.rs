//! Handles requests from callers: decodes them and checks access and quotas.

use std::cell::Cell;
use std::cell::OnceCell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_util::FutureExt;
use futures_util::select_biased;
use hyper::Request;
use hyper::Response;
use hyper::body::Body as _;
use hyper::body::Bytes;
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
use lycheehaven_guard::Charge;
use lycheehaven_net::Body;
use lycheehaven_net::Incoming;
use lycheehaven_net::Panicked;
use lycheehaven_net::catch_panic;
use lycheehaven_net::json_response;
use lycheehaven_net::read_body;
use lycheehaven_types::Digest;
use lycheehaven_types::ErrorKind;
use lycheehaven_types::Failure;
use lycheehaven_types::Name;
use lycheehaven_types::Outcome;

use crate::attempt::Job;
use crate::counts;
use crate::endings;
use crate::endings::Cut;
use crate::endings::Planned;
use crate::endings::ResponseGuard;
use crate::node::Node;
use crate::node::REQUESTED_WINDOW;
use crate::origins;
use crate::quarantine;
use crate::schedule;
use crate::schedule::Schedule;
use crate::sends::Sends;
use crate::serve;

/// Time limit for reading a request body, independent of the configured limits.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Handles one request.
pub(crate) async fn handle(node: Rc<Node>, request: Request<Incoming>) -> Response<Body> {
    let received = node.now();
    let head = caller::decode_request(request.headers());
    let id = head.id.clone();
    let guard = ResponseGuard::new(&node, id.clone(), received);
    // A `Content-Length` header beside the transfer coding may have been dropped,
    // so the framing of later data on the connection can't be trusted.
    let chunked = request.headers().contains_key(TRANSFER_ENCODING);
    let written = Rc::new(Cell::new(false));
    let task = respond(&node, request, head, received, &written);
    let mut response = catch_panic(task).await.unwrap_or_else(|Panicked| {
        let failure = panic_failure(written.get());
        log_failure(&node, id.as_ref(), None, &failure, received);
        error_response(&failure)
    });
    guard.answered();
    node.metrics.record_response(
        response.status().as_u16(),
        node.now().saturating_duration_since(received),
    );
    if response.headers().get(RETRY_AFTER).is_some() || response.status().as_u16() >= 400 {
        caller::set_request_id(response.headers_mut(), id.as_ref());
    }
    if chunked {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

async fn respond(
    node: &Rc<Node>,
    request: Request<Incoming>,
    head: RequestHead,
    received: Instant,
    written: &Rc<Cell<bool>>,
) -> Response<Body> {
    let id = head.id.clone();
    let task = async {
        match admit(node, request, head, received, written).await {
            Ok(job) => Ok(serve_job(node, job).await),
            Err(failure) => Err(failure),
        }
    };
    let result = select_biased! {
        result = pin!(task.fuse()) => result,
        () = pin!(schedule::work_over(node).fuse()) => {
            Err(schedule::cut_failure(written.get()))
        }
    };
    result.unwrap_or_else(|failure| {
        log_failure(node, id.as_ref(), None, &failure, received);
        error_response(&failure)
    })
}

/// Returns the failure of a request whose task panicked. `written` tells whether the
/// request was written to an upstream.
fn panic_failure(written: bool) -> Failure {
    let message = "handling the request failed unexpectedly";
    match written {
        true => Failure::new(ErrorKind::UpstreamLost, message),
        false => Failure::new(ErrorKind::Overloaded, message),
    }
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
            error_response(&failure)
        }
    }
}

/// Decides whether a request is admitted, and reads its body.
async fn admit(
    node: &Rc<Node>,
    request: Request<Incoming>,
    head: RequestHead,
    received: Instant,
    written: &Rc<Cell<bool>>,
) -> Result<Job, Failure> {
    let catalog = node.config.borrow().catalog().cloned();
    let is_current = node.is_current(received);
    let catalog = catalog
        .ok_or_else(|| Failure::new(ErrorKind::ConfigUnknown, "no configuration received yet"))?;
    if head.ambiguous {
        return Err(Failure::new(
            ErrorKind::BadRequest,
            "the request has ambiguous framing or an ambiguous host",
        ));
    }
    let route = find_route(&catalog, &head, request.uri().path(), is_current)?;
    let is_current = is_current && node.has_quota_state();
    let workspace = authorize(&catalog, &route, &head, is_current)?;
    let schedule = Schedule::new(node, &route, &head, received);
    let (parts, body) = read_in_time(node, &schedule, &catalog, request).await?;
    let target = caller::target(&parts.uri);
    let uri = target
        .parse()
        .map_err(|_| Failure::new(ErrorKind::BadRequest, "the request target is invalid"))?;
    let caller_key = head.api_key.as_deref().unwrap_or_default();
    let digest = Digest::of(&[target.as_bytes(), caller_key.as_bytes(), &body]);
    let workspace_name = workspace.map(|workspace| &*workspace.name);
    let origin = origins::find(node, &head, &route, workspace_name).await?;
    let service = match &origin {
        Some(origin) => origin.service.clone(),
        None => route.pick_service(rand::random()).clone(),
    };
    let features = quarantine::features(digest, &service, &head.prompt);
    quarantine::check(node, &features)?;
    if let Some(workspace) = workspace {
        charge(node, workspace, &head)?;
    }
    node.retry_budget
        .borrow_mut()
        .record_request(&service, node.now());
    let priority = workspace
        .and_then(|workspace| workspace.priority)
        .unwrap_or(route.priority);
    Ok(Job {
        method: parts.method,
        uri,
        headers: parts.headers,
        head,
        body,
        service,
        software: origin.map_or_else(OnceCell::new, |origin| origin.software.into()),
        workspace: workspace.map(|workspace| workspace.name.clone()),
        priority: priority.min(9),
        received,
        schedule,
        features,
        written: written.clone(),
        sends: Sends::default(),
        route,
    })
}

fn find_route(
    catalog: &Catalog,
    head: &RequestHead,
    path: &str,
    is_current: bool,
) -> Result<Rc<Route>, Failure> {
    let host = head.host.as_deref().unwrap_or_default();
    match catalog.find_route(host, path) {
        Some(route) => Ok(route.clone()),
        None if is_current => Err(Failure::new(
            ErrorKind::NotFound,
            "no route matches the host and path",
        )),
        None => Err(stale_config()),
    }
}

/// Returns the workspace that the request's key belongs to, or `None` for a public
/// route.
fn authorize<'a>(
    catalog: &'a Catalog,
    route: &Route,
    head: &RequestHead,
    is_current: bool,
) -> Result<Option<&'a Workspace>, Failure> {
    match catalog.access(route, head.api_key.as_deref()) {
        Access::Public => Ok(None),
        _ if !is_current => Err(stale_config()),
        Access::Workspace(index) => Ok(Some(&catalog.workspaces[index])),
        Access::Denied => Err(Failure::new(
            ErrorKind::Unauthorized,
            "the API key is missing or unknown",
        )),
    }
}

fn stale_config() -> Failure {
    Failure::new(
        ErrorKind::ConfigUnknown,
        "the configuration or the quota state is not confirmed as current",
    )
}

/// Reads a request's body while the request can still end before this process stops.
async fn read_in_time(
    node: &Node,
    schedule: &Schedule,
    catalog: &Catalog,
    request: Request<Incoming>,
) -> Result<(hyper::http::request::Parts, Bytes), Failure> {
    schedule.check(node.now())?;
    let read = select_biased! {
        read = pin!(read_request_body(catalog, request).fuse()) => Some(read?),
        () = pin!(schedule.latest_start(node).fuse()) => None,
    };
    schedule.check(node.now())?;
    read.ok_or_else(|| schedule::cut_failure(false))
}

async fn read_request_body(
    catalog: &Catalog,
    request: Request<Incoming>,
) -> Result<(hyper::http::request::Parts, Bytes), Failure> {
    let limit = catalog.limits.body_bytes;
    // A declared length over the limit is refused without reading the body.
    if request.body().size_hint().lower() > limit as u64 {
        let message = format!("the request body is larger than {limit} bytes");
        return Err(Failure::new(ErrorKind::TooLarge, message));
    }
    let (parts, body) = request.into_parts();
    let bytes = read_body(body, limit, BODY_TIMEOUT).await?;
    Ok((parts, bytes))
}

/// Charges a request's cost to its workspace's quota.
fn charge(node: &Node, workspace: &Workspace, head: &RequestHead) -> Result<(), Failure> {
    if workspace.rate <= 0.0 {
        return Ok(());
    }
    let now = node.now();
    let cost = request_cost(workspace, head);
    let quota = counts::quota(node, workspace);
    let requested_rate = {
        let mut requested = node.requested_units.borrow_mut();
        requested.add(&workspace.name, cost, now);
        requested.total(&workspace.name, now) / REQUESTED_WINDOW.as_secs_f64()
    };
    let charge = Charge {
        workspace: &workspace.name,
        quota,
        cost,
        requested_rate,
        draw: rand::random(),
    };
    let parts = node.roster.borrow().parts().clone();
    node.quotas
        .borrow_mut()
        .admit(&charge, &parts, now)
        .map_err(|exceeded| {
            let message = format!(
                "the quota of workspace {} is exhausted: {:.0} units used here and {:.0} at other entries, of {:.0}",
                workspace.name, exceeded.local, exceeded.remote, quota.units
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

/// Returns the response for a failure that the system itself reports.
fn error_response(failure: &Failure) -> Response<Body> {
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
    let age = node.config.borrow().age(now);
    node.metrics.record_failure(failure.kind);
    let planned = match failure.kind.outcome() {
        Outcome::NotRun => None,
        _ => Some(endings::record_cut(node, Cut::Failure(failure.kind))),
    };
    log::info!(
        target: "lycheehaven",
        request = id.and_then(|id| id.to_str().ok()).unwrap_or("-"),
        route = route.map_or("-", |name| &**name),
        kind = failure.kind.name(),
        cause = failure.message.as_str(),
        beside = planned.unwrap_or(Planned::None).name(),
        after_ms = now.saturating_duration_since(received).as_millis() as u64,
        config_age_ms = age.map_or(-1, |age| age.as_millis() as i64);
        "request failed"
    );
}
