//! Calls to the other entries.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use lycheehaven_net::CallError;
use lycheehaven_net::HttpClient;
use lycheehaven_peers::Exchange;
use lycheehaven_types::Name;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::node::Node;
use crate::wire::BootState;
use crate::wire::ClaimAsk;
use crate::wire::ClaimQuery;
use crate::wire::ClaimStatus;
use crate::wire::LeavingNews;
use crate::wire::RecordUpdate;
use crate::wire::SuspectNews;
use crate::wire::SuspectReply;
use crate::wire::UpdateAck;

/// Timeout of short calls to a peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time for which a peer holds a question about a call that runs there.
pub(crate) const STATUS_WAIT: Duration = Duration::from_millis(500);

/// Added to the platform's timeout when a peer writes a claim.
const CLAIM_MARGIN: Duration = Duration::from_millis(300);

pub(crate) async fn exchange(
    node: &Node,
    addr: SocketAddr,
    message: &Exchange,
) -> Result<Exchange, CallError> {
    let body = rmp_serde::to_vec(message).expect("messages serialize to MessagePack");
    let sent = body.len();
    let reply = node
        .rare_caller
        .call(Method::POST, addr, "/peer/exchange", body, CALL_TIMEOUT)
        .await?;
    node.metrics
        .exchange_bytes
        .inc_by((sent + reply.body.len()) as u64);
    reply.msgpack()
}

pub(crate) async fn boot_state(node: &Node, addr: SocketAddr) -> Option<BootState> {
    post(&node.rare_caller, addr, "/peer/boot", &(), CALL_TIMEOUT)
        .await
        .ok()
}

pub(crate) async fn leaving(node: &Node, addr: SocketAddr, news: &[LeavingNews]) {
    let sent: Result<(), CallError> = post(
        &node.rare_caller,
        addr,
        "/peer/leaving",
        &news,
        CALL_TIMEOUT,
    )
    .await;
    if let Err(cause) = sent {
        log::debug!(target: "peers", peer = addr.to_string().as_str(); "leaving VM not told: {cause}");
    }
}

pub(crate) async fn replicate(
    node: &Node,
    addr: SocketAddr,
    updates: &[RecordUpdate],
) -> Result<Vec<UpdateAck>, CallError> {
    post(
        &node.caller,
        addr,
        "/peer/replicate",
        &updates,
        CALL_TIMEOUT,
    )
    .await
}

pub(crate) async fn claim(
    node: &Node,
    addr: SocketAddr,
    ask: &ClaimAsk,
) -> Result<lycheehaven_claims::ClaimReply, CallError> {
    // The owner may need several platform calls for a contended claim.
    let wait = Duration::from_millis(node.settings.platform.timeout_ms) * 2 + CLAIM_MARGIN;
    post(&node.caller, addr, "/peer/claim", ask, wait).await
}

pub(crate) async fn claim_status(
    node: &Node,
    addr: SocketAddr,
    query: &ClaimQuery,
) -> Result<ClaimStatus, CallError> {
    post(
        &node.rare_caller,
        addr,
        "/peer/claim_status",
        query,
        STATUS_WAIT + CALL_TIMEOUT,
    )
    .await
}

pub(crate) async fn suspect(
    node: &Node,
    addr: SocketAddr,
    news: &SuspectNews,
) -> Result<SuspectReply, CallError> {
    post(&node.rare_caller, addr, "/peer/suspect", news, CALL_TIMEOUT).await
}

/// Addresses of all live peers.
pub(crate) fn live_addresses(node: &Node) -> Vec<(Name, SocketAddr)> {
    let peers = node.peers.borrow();
    let alive = peers.alive(node.now()).into_iter();
    let names = alive.map(|member| member.digest.name.clone());
    names
        .filter_map(|name| peers.address(&name).map(|addr| (name, addr)))
        .collect()
}

async fn post<T: DeserializeOwned>(
    caller: &HttpClient,
    addr: SocketAddr,
    path: &str,
    message: &impl Serialize,
    wait: Duration,
) -> Result<T, CallError> {
    caller.post_msgpack(addr, path, message, wait).await
}
