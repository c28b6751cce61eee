//! Client for calls to the other entries.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use lycheehaven_net::CallError;
use lycheehaven_net::HttpClient;
use lycheehaven_peers::Exchange;
use lycheehaven_permits::Answer;
use lycheehaven_permits::Ask;
use lycheehaven_types::Name;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::node::Node;
use crate::wire::BootState;
use crate::wire::ClaimQuery;
use crate::wire::ClaimRequest;
use crate::wire::ClaimStatus;
use crate::wire::CrashReport;
use crate::wire::LeavingNotice;
use crate::wire::RecordUpdate;
use crate::wire::SuspectReply;
use crate::wire::UpdateAck;

/// Timeout of calls that a peer answers immediately.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of an ask for a permit.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);

/// Longest time for which a peer delays its answer about a claim whose call
/// still runs there.
pub(crate) const STATUS_POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Added to the platform's timeout while a peer commits a claim.
const CLAIM_MARGIN: Duration = Duration::from_millis(300);

pub(crate) async fn exchange(
    node: &Node,
    addr: SocketAddr,
    message: &Exchange,
) -> Result<Exchange, CallError> {
    let body = rmp_serde::to_vec(message).expect("messages serialize to MessagePack");
    let sent = body.len();
    let reply = node
        .unpooled_client
        .call(Method::POST, addr, "/peer/exchange", body, CALL_TIMEOUT)
        .await?;
    node.metrics
        .exchange_bytes
        .inc_by((sent + reply.body.len()) as u64);
    reply.msgpack()
}

pub(crate) async fn boot_state(node: &Node, addr: SocketAddr) -> Option<BootState> {
    post(&node.unpooled_client, addr, "/peer/boot", &(), CALL_TIMEOUT)
        .await
        .ok()
}

pub(crate) async fn notify_leaving(node: &Node, addr: SocketAddr, notices: &[LeavingNotice]) {
    let sent: Result<(), CallError> = post(
        &node.unpooled_client,
        addr,
        "/peer/leaving",
        &notices,
        CALL_TIMEOUT,
    )
    .await;
    if let Err(cause) = sent {
        log::debug!(target: "peers", peer = addr.to_string().as_str(); "peer was not notified of leaving VMs: {cause}");
    }
}

pub(crate) async fn replicate(
    node: &Node,
    addr: SocketAddr,
    updates: &[RecordUpdate],
) -> Result<Vec<UpdateAck>, CallError> {
    post(
        &node.pooled_client,
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
    request: &ClaimRequest,
) -> Result<lycheehaven_claims::ClaimReply, CallError> {
    // Once one of the owner's calls must have timed out, this entry asks the platform
    // itself. Whoever writes first, the claim is recognized by its nonce.
    let timeout = Duration::from_millis(node.settings.platform.timeout_ms) + CLAIM_MARGIN;
    post(&node.pooled_client, addr, "/peer/claim", request, timeout).await
}

pub(crate) async fn claim_status(
    node: &Node,
    addr: SocketAddr,
    query: &ClaimQuery,
) -> Result<ClaimStatus, CallError> {
    post(
        &node.unpooled_client,
        addr,
        "/peer/claim_status",
        query,
        STATUS_POLL_TIMEOUT + CALL_TIMEOUT,
    )
    .await
}

pub(crate) async fn send_crash_report(
    node: &Node,
    addr: SocketAddr,
    report: &CrashReport,
) -> Result<SuspectReply, CallError> {
    post(
        &node.unpooled_client,
        addr,
        "/peer/suspect",
        report,
        CALL_TIMEOUT,
    )
    .await
}

/// Asks a peer for a permit. The connection is kept, as there is an ask for each request
/// to an upstream that limits its requests.
pub(crate) async fn ask_permit(
    node: &Node,
    addr: SocketAddr,
    ask: &Ask,
) -> Result<Answer, CallError> {
    post(&node.pooled_client, addr, "/peer/permit", ask, ASK_TIMEOUT).await
}

/// Returns the names and addresses of all live peers.
pub(crate) fn live_addresses(node: &Node) -> Vec<(Name, SocketAddr)> {
    let peers = node.peers.borrow();
    let alive = peers.alive(node.now()).into_iter();
    let names = alive.map(|member| member.digest.name.clone());
    names
        .filter_map(|name| peers.address(&name).map(|addr| (name, addr)))
        .collect()
}

async fn post<T: DeserializeOwned>(
    client: &HttpClient,
    addr: SocketAddr,
    path: &str,
    message: &impl Serialize,
    timeout: Duration,
) -> Result<T, CallError> {
    client.post_msgpack(addr, path, message, timeout).await
}
