//! Handles the calls of operators, on the address of the metrics. Only the internal
//! network reaches it.

use std::rc::Rc;
use std::time::Duration;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use lycheehaven_net::Body;
use lycheehaven_net::Incoming;
use lycheehaven_net::bytes_response;
use lycheehaven_net::failure_response;
use lycheehaven_net::json_response;
use lycheehaven_net::read_body;
use lycheehaven_quarantine::LiftCall;
use lycheehaven_types::Failure;

use crate::node::Node;
use crate::quarantine;

/// Largest body of a call.
const MAX_BODY_BYTES: usize = 4096;

/// Time limit for reading a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// Handles one call. Any path that is not an operator's returns the metrics.
pub(crate) async fn handle(node: Rc<Node>, request: Request<Incoming>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/admin/limits") => {
            let views = node.permits.borrow().views(node.now());
            json_response(200, &views)
        }
        (&Method::GET, "/admin/quarantine") => suspects(&node),
        (&Method::POST, "/admin/quarantine/lift") => match lift(&node, request).await {
            Ok(response) => response,
            Err(failure) => failure_response(&failure),
        },
        _ => {
            let text = node.metrics.encode_text(&node.gauges());
            bytes_response(200, "text/plain; version=1.0.0", text)
        }
    }
}

fn suspects(node: &Node) -> Response<Body> {
    let wall_ms = node.wall_millis();
    let suspects = node.quarantine.borrow().suspects(node.now());
    let views: Vec<_> = suspects.iter().map(|s| s.view(wall_ms)).collect();
    json_response(200, &views)
}

async fn lift(node: &Node, request: Request<Incoming>) -> Result<Response<Body>, Failure> {
    let body = read_body(request.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await?;
    let call = LiftCall::decode(&body)?;
    let was_quarantined = quarantine::lift(node, &call.feature);
    Ok(json_response(200, &call.response(was_quarantined)?))
}
