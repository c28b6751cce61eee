//! HTTP routes of the listener for callers and operators.

use std::rc::Rc;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::header::AUTHORIZATION;
use lycheehaven_net::Body;
use lycheehaven_net::Incoming;
use lycheehaven_net::Panicked;
use lycheehaven_net::bytes_response;
use lycheehaven_net::catch_panic;
use lycheehaven_net::failure_response;
use lycheehaven_types::ErrorKind;
use lycheehaven_types::Failure;
use lycheehaven_types::Name;

use crate::admin;
use crate::complete;
use crate::fetch;
use crate::metrics::kind;
use crate::node::Node;
use crate::plain;
use crate::record::Shape;
use crate::relay;

const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Path prefix of calls to plain services.
pub(crate) const SERVICES_PREFIX: &str = "/v1/services/";

/// Path prefix for fetching a request's answer.
const REQUESTS_PREFIX: &str = "/v1/requests/";

/// Handles a request of a caller or an operator.
pub(crate) async fn handle(node: Rc<Node>, request: Request<Incoming>) -> Response<Body> {
    // A call that is repeatable is sent by this task, so it may have run before a panic.
    let result = catch_panic(route(&node, request)).await;
    let result = result.unwrap_or_else(|Panicked| Err(relay::panic_failure(true)));
    match result {
        Ok(response) => response,
        Err(failure) => {
            node.metrics
                .failures
                .get_or_create(&kind(failure.kind.name()))
                .inc();
            failure_response(&failure)
        }
    }
}

async fn route(node: &Rc<Node>, request: Request<Incoming>) -> Result<Response<Body>, Failure> {
    let path = request.uri().path().to_owned();
    if path.starts_with("/admin/") {
        return admin::handle(node, request).await;
    }
    if path.starts_with(SERVICES_PREFIX) {
        let workspace = authorize(node, &request)?;
        return plain::handle(node, workspace, request).await;
    }
    if let Some(id) = path.strip_prefix(REQUESTS_PREFIX) {
        expect_method(&request, Method::GET)?;
        let workspace = authorize(node, &request)?;
        return fetch::handle(node, workspace, id, &request).await;
    }
    match path.as_str() {
        "/healthz" => Ok(bytes_response(200, "text/plain", "healthy\n")),
        "/readyz" => Ok(readiness(node)),
        "/metrics" => Ok(bytes_response(200, OPENMETRICS, node.metrics.render())),
        "/v1/completions" => completion(node, request, Shape::Completions).await,
        "/v1/chat/completions" => completion(node, request, Shape::Chat).await,
        "/v1/models" => {
            expect_method(&request, Method::GET)?;
            authorize(node, &request)?;
            Ok(complete::list_models(node))
        }
        _ => Err(Failure::new(
            ErrorKind::NotFound,
            format!("no such path: {path}"),
        )),
    }
}

async fn completion(
    node: &Rc<Node>,
    request: Request<Incoming>,
    shape: Shape,
) -> Result<Response<Body>, Failure> {
    expect_method(&request, Method::POST)?;
    let workspace = authorize(node, &request)?;
    complete::handle(node, workspace, shape, request).await
}

fn readiness(node: &Node) -> Response<Body> {
    if node.ready.get() && !node.shutdown.is_begun() {
        bytes_response(200, "text/plain", "ready\n")
    } else {
        bytes_response(503, "text/plain", "not ready\n")
    }
}

/// Fails with [`ErrorKind::MethodNotAllowed`] unless the request has the method
/// `method`.
pub(crate) fn expect_method<B>(request: &Request<B>, method: Method) -> Result<(), Failure> {
    if *request.method() == method {
        return Ok(());
    }
    Err(Failure::new(
        ErrorKind::MethodNotAllowed,
        format!("this path accepts only {method}"),
    ))
}

/// Returns the bearer key of a request.
pub(crate) fn bearer<B>(request: &Request<B>) -> Option<&str> {
    let value = request.headers().get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// Returns the workspace whose key the request carries.
fn authorize<B>(node: &Node, request: &Request<B>) -> Result<Name, Failure> {
    if !node.ready.get() {
        return Err(Failure::new(
            ErrorKind::Draining,
            "this entry is still starting",
        ));
    }
    let unauthorized = || Failure::new(ErrorKind::Unauthorized, "missing or unknown bearer key");
    let key = bearer(request).ok_or_else(unauthorized)?;
    let declared = node.declared();
    let (name, _) = declared.workspace_by_key(key).ok_or_else(unauthorized)?;
    Ok(name.clone())
}
