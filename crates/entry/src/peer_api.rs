//! HTTP routes of the peer listener.

use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use lycheehaven_net::Body;
use lycheehaven_net::Incoming;
use lycheehaven_net::bytes_response;
use lycheehaven_net::failure_response;
use lycheehaven_net::read_body;
use lycheehaven_net::spawn_detached;
use lycheehaven_peers::Exchange;
use lycheehaven_peers::PROTOCOL_VERSION;
use lycheehaven_permits::Ask;
use lycheehaven_types::ErrorKind;
use lycheehaven_types::Failure;
use lycheehaven_types::Name;
use lycheehaven_types::RequestId;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::claim_shards;
use crate::claim_status;
use crate::evacuate;
use crate::evacuate::NoticeOrigin;
use crate::exchange;
use crate::fetch;
use crate::node::Node;
use crate::node::PEER_KEY_HEADER;
use crate::permits;
use crate::replicate;
use crate::suspects;
use crate::wire::BootState;
use crate::wire::ClaimQuery;
use crate::wire::ClaimRequest;
use crate::wire::CrashReport;
use crate::wire::LeavingNotice;
use crate::wire::RecordUpdate;

/// Largest message from a peer, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Timeout of reading a message.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Content type of responses.
const MESSAGE_TYPE: &str = "application/msgpack";

/// Path prefix for fetching an answer on behalf of a caller.
const REQUESTS_PREFIX: &str = "/peer/requests/";

/// Handles a request of a peer. Fails if it does not carry the peer key.
pub(crate) async fn handle(node: Rc<Node>, request: Request<Incoming>) -> Response<Body> {
    let key = request
        .headers()
        .get(PEER_KEY_HEADER)
        .and_then(|value| value.to_str().ok());
    if key != Some(node.settings.peer_key.as_str()) {
        return failure_response(&Failure::new(
            ErrorKind::Unauthorized,
            "missing or unknown peer key",
        ));
    }
    match route(&node, request).await {
        Ok(response) => response,
        Err(failure) => failure_response(&failure),
    }
}

async fn route(node: &Rc<Node>, request: Request<Incoming>) -> Result<Response<Body>, Failure> {
    let path = request.uri().path().to_owned();
    if let Some(id) = path.strip_prefix(REQUESTS_PREFIX) {
        return fetch_for_peer(node, id, &request).await;
    }
    let body = read_body(request.into_body(), MAX_MESSAGE_BYTES, MESSAGE_TIMEOUT).await?;
    match path.as_str() {
        "/peer/exchange" => handle_exchange(node, &body),
        "/peer/boot" => Ok(encode(&boot_state(node))),
        "/peer/leaving" => {
            evacuate::handle_leaving(
                node,
                decode::<Vec<LeavingNotice>>(&body)?,
                NoticeOrigin::Shared,
            );
            Ok(encode(&()))
        }
        "/peer/replicate" => {
            node.metrics.replica_bytes.inc_by(body.len() as u64);
            Ok(encode(&replicate::receive(
                node,
                decode::<Vec<RecordUpdate>>(&body)?,
            )))
        }
        "/peer/claim" => {
            let request: ClaimRequest = decode(&body)?;
            // Runs in its own task, so that the claim is completed even if the
            // requesting entry disconnects.
            let (sender, receiver) = futures_channel::oneshot::channel();
            let owner = node.clone();
            spawn_detached(async move {
                let reply = claim_shards::claim_locally(&owner, request.shard, request.claim).await;
                let _ = sender.send(reply);
            });
            let reply = receiver.await;
            Ok(encode(
                &reply.unwrap_or(lycheehaven_claims::ClaimReply::Unavailable),
            ))
        }
        "/peer/claim_status" => Ok(encode(
            &claim_status::claim_status(node, decode::<ClaimQuery>(&body)?).await,
        )),
        "/peer/permit" => Ok(encode(&permits::handle_ask(node, &decode::<Ask>(&body)?))),
        "/peer/suspect" => Ok(encode(&suspects::handle_report(
            node,
            &decode::<CrashReport>(&body)?,
        ))),
        _ => Err(Failure::new(
            ErrorKind::NotFound,
            "no such path on the peer listener",
        )),
    }
}

fn handle_exchange(node: &Rc<Node>, body: &Bytes) -> Result<Response<Body>, Failure> {
    let message: Exchange = decode(body)?;
    if message.version != PROTOCOL_VERSION {
        let text = format!("unsupported protocol version: this entry requires {PROTOCOL_VERSION}");
        return Err(Failure::new(ErrorKind::BadRequest, text));
    }
    exchange::merge_message(node, &message);
    let same_domain = message.from.domain == node.settings.domain;
    let reply = rmp_serde::to_vec(&exchange::build_message(node, same_domain));
    let reply = reply.expect("messages serialize to MessagePack");
    node.metrics
        .exchange_bytes
        .inc_by((body.len() + reply.len()) as u64);
    if message.config > node.declared().number
        && let Some(addr) = node.peers.borrow().address(&message.from.name)
    {
        let node = node.clone();
        spawn_detached(async move { exchange::fetch_config(&node, addr).await });
    }
    Ok(bytes_response(200, MESSAGE_TYPE, reply))
}

fn boot_state(node: &Node) -> BootState {
    BootState {
        config: (*node.declared()).clone(),
        vms: node.vms.borrow().clone(),
        leaving: node.leaving_vms.borrow().latest(usize::MAX),
    }
}

async fn fetch_for_peer(
    node: &Rc<Node>,
    id: &str,
    request: &Request<Incoming>,
) -> Result<Response<Body>, Failure> {
    let header = |name: &str| {
        request
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    let workspace: Name = header(fetch::WORKSPACE_HEADER).unwrap_or_default().into();
    let options = fetch::FetchOptions::parse(request)?;
    let id = RequestId::parse(id)
        .ok_or_else(|| Failure::new(ErrorKind::UnknownRequest, "malformed request identifier"))?;
    fetch::serve_local_or_adopt(node, &workspace, &id, options).await
}

fn decode<T: DeserializeOwned>(body: &Bytes) -> Result<T, Failure> {
    rmp_serde::from_slice(body)
        .map_err(|cause| Failure::new(ErrorKind::BadRequest, format!("invalid message: {cause}")))
}

fn encode(value: &impl Serialize) -> Response<Body> {
    let bytes = rmp_serde::to_vec(value).expect("messages serialize to MessagePack");
    bytes_response(200, MESSAGE_TYPE, bytes)
}
