//! Confirmation of the configuration's freshness by peers.
//!
//! An entry that follows the store replies to a peer's request with the version in
//! force and the time since the store confirmed it as the newest. The reply is sent
//! after the request, so the confirmation is no older than the time of the request
//! minus that age, however long the network delayed either datagram.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::net::UdpSocket;
use lycheehaven_net::sleep_ms;
use serde::Deserialize;
use serde::Serialize;

use crate::exchange::Datagram;
use crate::exchange::send_to;
use crate::node::Node;

/// Interval between requests, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 700;

/// Fraction of the time within which a new configuration must be in force. When
/// the last confirmation is older, an entry asks the store itself instead of its
/// peers.
const CONFIG_FRACTION: f64 = 0.8;

/// The same limit as a fraction of the age at which the configuration counts as
/// stale.
const STALE_FRACTION: f64 = 0.63;

/// Time after a peer's last request for which peers count as depending on this
/// entry's confirmations.
const DEPENDENT_TTL: Duration = Duration::from_secs(3);

/// A request to confirm the configuration.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ConfirmRequest {
    /// Incarnation of the requesting process.
    incarnation: u64,
    /// Time of the request, in milliseconds since the requesting process started.
    sent_ms: u64,
}

/// A peer's reply to a [`ConfirmRequest`].
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ConfirmReply {
    /// The request, so that a process that has restarted since then can recognize
    /// it as not its own.
    #[serde(rename = "question")]
    request: ConfirmRequest,
    /// Version of the configuration in force at the peer.
    version: u64,
    /// Time since that version was confirmed as the newest, in milliseconds.
    age_ms: u64,
}

/// Requests confirmations periodically from peers that follow the store, unless this
/// entry follows it itself.
pub(crate) async fn request_confirmations(node: Rc<Node>, socket: Rc<UdpSocket>) {
    loop {
        if !node.follows_store() {
            let sent_ms = node.uptime().as_millis() as u64;
            let incarnation = node.incarnation;
            let request = ConfirmRequest {
                incarnation,
                sent_ms,
            };
            let bytes = Datagram::ConfirmRequest(request).encode();
            let (own_name, domain) = (&node.settings.name, &node.settings.domain);
            let followers = node.members.borrow().store_followers(own_name, domain);
            for peer in followers {
                send_to(&socket, &bytes, peer).await;
            }
        }
        sleep_ms(REQUEST_INTERVAL_MS).await;
    }
}

/// Replies to a peer's request, if this entry has a confirmed configuration.
pub(crate) async fn reply(
    node: &Node,
    socket: &UdpSocket,
    request: ConfirmRequest,
    peer: SocketAddr,
) {
    node.confirm_requested.set(Some(node.now()));
    let known = {
        let config = node.config.borrow();
        config.version().zip(config.age(node.now()))
    };
    if let Some((version, age)) = known {
        let reply = ConfirmReply {
            request,
            version,
            age_ms: age.as_millis() as u64 + 1,
        };
        send_to(socket, &Datagram::ConfirmReply(reply).encode(), peer).await;
    }
}

/// Applies a peer's reply.
pub(crate) fn apply_reply(node: &Node, reply: &ConfirmReply) {
    node.record_peer_version(reply.version);
    if reply.request.incarnation != node.incarnation {
        return;
    }
    let sent = Duration::from_millis(reply.request.sent_ms);
    let Some(requested) = node.started.checked_add(sent) else {
        return;
    };
    let age = Duration::from_millis(reply.age_ms);
    let mut config = node.config.borrow_mut();
    config.confirm_by_peer(reply.version, requested, age, node.now());
}

/// Whether peers have recently requested confirmations from this entry.
pub(crate) fn has_dependents(node: &Node) -> bool {
    let now = node.now();
    let requested = node.confirm_requested.get();
    requested.is_some_and(|requested| now.saturating_duration_since(requested) < DEPENDENT_TTL)
}

/// Whether peers confirm the configuration often enough that this entry need not
/// ask the store.
pub(crate) fn is_covered_by_peers(node: &Node) -> bool {
    let bounds = &node.settings.bounds;
    let limit = Duration::from_millis(bounds.config_ms).mul_f64(CONFIG_FRACTION);
    let stale_after = bounds.stale_after();
    let bound = stale_after.map_or(limit, |stale| limit.min(stale.mul_f64(STALE_FRACTION)));
    !node.follows_store()
        && !node.is_config_behind()
        && node.config.borrow().is_fresh(node.now(), bound)
}
