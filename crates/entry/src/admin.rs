//! API for operators.

use std::rc::Rc;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use lycheehaven_config::Patch;
use lycheehaven_net::Body;
use lycheehaven_net::Incoming;
use lycheehaven_net::json_response;
use lycheehaven_net::read_body;
use lycheehaven_quarantine::LiftCall;
use lycheehaven_types::ErrorKind;
use lycheehaven_types::Failure;
use serde_json::Value;
use serde_json::json;

use crate::complete::BODY_TIMEOUT;
use crate::config_store;
use crate::front::bearer;
use crate::node::Node;
use crate::permits;
use crate::suspects;

/// Largest body of a configuration patch, in bytes.
const MAX_PATCH_BYTES: usize = 512 * 1024;

/// Path prefix for the recorded decisions about a request.
const EXPLAIN_PREFIX: &str = "/admin/explain/";

/// Handles a request of an operator. Fails with [`ErrorKind::Unauthorized`] if
/// it does not carry the operator key.
pub(crate) async fn handle(
    node: &Rc<Node>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Failure> {
    if bearer(&request) != Some(node.settings.operator_key.as_str()) {
        return Err(Failure::new(
            ErrorKind::Unauthorized,
            "missing or unknown operator key",
        ));
    }
    let path = request.uri().path().to_owned();
    if let Some(id) = path.strip_prefix(EXPLAIN_PREFIX) {
        return Ok(json_response(200, &node.decisions.for_subject(id)));
    }
    match (request.method(), path.as_str()) {
        (&Method::GET, "/admin/config") => Ok(json_response(200, &*node.declared())),
        (&Method::POST, "/admin/config") => patch(node, request).await,
        (&Method::GET, "/admin/status") => Ok(json_response(200, &status(node))),
        (&Method::GET, "/admin/vms") => Ok(json_response(200, &vms(node))),
        (&Method::POST, "/admin/drain") => {
            node.begin_stop();
            Ok(json_response(202, &json!({"draining": true})))
        }
        (&Method::GET, "/admin/limits") => Ok(json_response(200, &permits::views(node))),
        (&Method::GET, "/admin/quarantine") => Ok(json_response(200, &suspects::views(node))),
        (&Method::POST, "/admin/quarantine/lift") => lift(node, request).await,
        (
            _,
            "/admin/config"
            | "/admin/status"
            | "/admin/vms"
            | "/admin/drain"
            | "/admin/limits"
            | "/admin/quarantine"
            | "/admin/quarantine/lift",
        ) => Err(Failure::new(
            ErrorKind::MethodNotAllowed,
            "method not allowed",
        )),
        _ => Err(Failure::new(
            ErrorKind::NotFound,
            format!("no such path: {path}"),
        )),
    }
}

async fn patch(node: &Rc<Node>, request: Request<Incoming>) -> Result<Response<Body>, Failure> {
    let body = read_body(request.into_body(), MAX_PATCH_BYTES, BODY_TIMEOUT).await?;
    let patch: Patch = serde_json::from_slice(&body)
        .map_err(|cause| Failure::new(ErrorKind::BadRequest, format!("invalid patch: {cause}")))?;
    if patch.writer.is_empty() || patch.writer.len() > 128 {
        let message = "writer: must have 1 to 128 characters and be unique to this patch";
        return Err(Failure::new(ErrorKind::BadRequest, message));
    }
    let declared = config_store::patch(node, &patch).await?;
    let number = declared
        .history
        .iter()
        .find(|accepted| accepted.writer == patch.writer);
    let number = number.map_or(declared.number, |accepted| accepted.number);
    Ok(json_response(200, &json!({"number": number})))
}

async fn lift(node: &Rc<Node>, request: Request<Incoming>) -> Result<Response<Body>, Failure> {
    let body = read_body(request.into_body(), MAX_PATCH_BYTES, BODY_TIMEOUT).await?;
    let call = LiftCall::decode(&body)?;
    let was_quarantined = suspects::lift(node, &call.feature);
    Ok(json_response(200, &call.response(was_quarantined)?))
}

fn status(node: &Node) -> Value {
    let now = node.now();
    let peers = node.peers.borrow();
    let alive = peers.alive(now);
    let members: Vec<Value> = alive
        .iter()
        .map(|member| {
            json!({
                "name": member.digest.name,
                "domain": member.digest.domain,
                "leaving": member.digest.leaving,
                "heard_ms": now.duration_since(member.last_heartbeat).as_millis() as u64,
            })
        })
        .collect();
    json!({
        "name": node.settings.name,
        "domain": node.settings.domain,
        "region": node.settings.region,
        "version": env!("CARGO_PKG_VERSION"),
        "ready": node.ready.get() && !node.shutdown.is_begun(),
        "draining": node.shutdown.is_begun(),
        "config": node.declared().number,
        "requests": node.records.borrow().len(),
        "open": node.limiter.borrow().in_flight(),
        "replicas": node.replicas.borrow().len(),
        "peers": members,
    })
}

fn vms(node: &Node) -> Vec<Value> {
    let upstreams = node.upstreams.borrow();
    let leaving = node.leaving_vms.borrow();
    let vms = node.vms.borrow();
    let rows = vms.iter().map(|vm| {
        let upstream = upstreams.get(&vm.name);
        json!({
            "name": vm.name,
            "incarnation": vm.incarnation,
            "domain": vm.domain,
            "class": vm.class,
            "service": vm.service,
            "addr": vm.addr,
            "leaving": leaving.contains(&vm.name, vm.incarnation),
            "open": upstream.map(|upstream| upstream.open_streams),
            "running": upstream.and_then(|u| u.load).map(|load| load.running),
            "waiting": upstream.and_then(|u| u.load).map(|load| load.waiting),
        })
    });
    rows.collect()
}
