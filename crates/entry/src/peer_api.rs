//! Routes of the peer listener.

use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Incoming;
use lycheehaven_net::Body;
use lycheehaven_net::bytes_response;
use lycheehaven_net::failure_response;
use lycheehaven_net::read_body;
use lycheehaven_net::spawn_detached;
use lycheehaven_peers::Exchange;
use lycheehaven_peers::PROTOCOL_VERSION;
use lycheehaven_types::ErrorKind;
use lycheehaven_types::Failure;
use lycheehaven_types::Name;
use lycheehaven_types::RequestId;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::claimant;
use crate::evacuate;
use crate::evacuate::Source;
use crate::exchange;
use crate::fetch;
use crate::node::Node;
use crate::node::PEER_KEY_HEADER;
use crate::plain;
use crate::replicate;
use crate::suspects;
use crate::wire::BootState;
use crate::wire::ClaimAsk;
use crate::wire::ClaimQuery;
use crate::wire::LeavingNews;
use crate::wire::RecordUpdate;
use crate::wire::SuspectNews;

/// Largest message from a peer.
const MESSAGE_LIMIT: usize = 64 << 20;

/// Time for a message to arrive.
const MESSAGE_WAIT: Duration = Duration::from_secs(10);

/// Content type of messages.
const MESSAGE_TYPE: &str = "application/msgpack";

/// Prefix of fetching an answer on behalf of a caller.
const REQUESTS_PREFIX: &str = "/peer/requests/";

/// Answers one request of a peer.
pub(crate) async fn handle(node: Rc<Node>, request: Request<Incoming>) -> Response<Body> {
    let key = request
        .headers()
        .get(PEER_KEY_HEADER)
        .and_then(|value| value.to_str().ok());
    if key != Some(node.settings.peer_key.as_str()) {
        return failure_response(&Failure::new(ErrorKind::Unauthorized, "unknown peer key"));
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
    let body = read_body(request.into_body(), MESSAGE_LIMIT, MESSAGE_WAIT).await?;
    match path.as_str() {
        "/peer/exchange" => exchange_with(node, &body),
        "/peer/boot" => Ok(encode(&boot_state(node))),
        "/peer/leaving" => {
            evacuate::on_leaving(node, decode::<Vec<LeavingNews>>(&body)?, Source::Common);
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
            let ask: ClaimAsk = decode(&body)?;
            // A task of its own, so that a requester that gives up does not
            // leave a claim half-way.
            let (sender, receiver) = futures_channel::oneshot::channel();
            let owner = node.clone();
            spawn_detached(async move {
                let reply = claimant::claim_here(&owner, ask.shard, ask.claim).await;
                let _ = sender.send(reply);
            });
            let reply = receiver.await;
            Ok(encode(
                &reply.unwrap_or(lycheehaven_claims::ClaimReply::Unavailable),
            ))
        }
        "/peer/claim_status" => Ok(encode(
            &plain::claim_status(node, decode::<ClaimQuery>(&body)?).await,
        )),
        "/peer/suspect" => Ok(encode(&suspects::hear(
            node,
            &decode::<SuspectNews>(&body)?,
        ))),
        _ => Err(Failure::new(ErrorKind::NotFound, "no such path")),
    }
}

fn exchange_with(node: &Rc<Node>, body: &Bytes) -> Result<Response<Body>, Failure> {
    let message: Exchange = decode(body)?;
    if message.version != PROTOCOL_VERSION {
        let text = format!("this entry speaks version {PROTOCOL_VERSION}");
        return Err(Failure::new(ErrorKind::BadRequest, text));
    }
    exchange::merge(node, &message);
    let near = message.from.domain == node.settings.domain;
    let reply = rmp_serde::to_vec(&exchange::build(node, near));
    let reply = reply.expect("messages serialize to MessagePack");
    node.metrics
        .exchange_bytes
        .inc_by((body.len() + reply.len()) as u64);
    if message.config > node.declared().number
        && let Some(addr) = node.peers.borrow().address(&message.from.name)
    {
        let node = node.clone();
        spawn_detached(async move { exchange::pull_config(&node, addr).await });
    }
    Ok(bytes_response(200, MESSAGE_TYPE, reply))
}

fn boot_state(node: &Node) -> BootState {
    BootState {
        config: (*node.declared()).clone(),
        vms: node.vms.borrow().clone(),
        leaving: node.leaving.borrow().latest(usize::MAX),
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
    let want = fetch::Want::of(request)?;
    let id = RequestId::parse(id)
        .ok_or_else(|| Failure::new(ErrorKind::UnknownRequest, "malformed identifier"))?;
    fetch::local_or_adopt(node, &workspace, &id, want).await
}

fn decode<T: DeserializeOwned>(body: &Bytes) -> Result<T, Failure> {
    rmp_serde::from_slice(body)
        .map_err(|cause| Failure::new(ErrorKind::BadRequest, format!("bad message: {cause}")))
}

fn encode(value: &impl Serialize) -> Response<Body> {
    let bytes = rmp_serde::to_vec(value).expect("messages serialize to MessagePack");
    bytes_response(200, MESSAGE_TYPE, bytes)
}
