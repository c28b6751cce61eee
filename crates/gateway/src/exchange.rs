//! Exchange of messages between entries.
//!
//! Each entry periodically sends its complete counts, so a lost datagram loses no
//! information. [`lycheehaven_fleet`] decides who sends what to whom. What an entry
//! does not learn from its peers, it reads from the store.

use std::net::SocketAddr;
use std::rc::Rc;

use compio::net::UdpSocket;
use lycheehaven_fleet::Role;
use lycheehaven_net::sleep_ms;
use lycheehaven_types::Name;

use crate::apply;
use crate::message::Datagram;
use crate::message::Message;
use crate::node::Node;
use crate::origins;
use crate::permits;
use crate::summary;

/// Interval between messages, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 200;

/// Every how many intervals entries that are suspected to be down are tried.
const PROBE_INTERVALS: u64 = 5;

/// Largest datagram.
const MAX_DATAGRAM_BYTES: usize = 60 * 1024;

/// Sends this entry's messages periodically.
pub(crate) async fn send_messages(node: Rc<Node>, socket: Rc<UdpSocket>) {
    for interval in 0_u64.. {
        let role = node.update_role();
        match role {
            Role::Mesh => {
                let peers = node.roster.borrow().addresses();
                send_report(&node, &socket, peers, interval).await;
            }
            Role::Member => report_to_aggregators(&node, &socket, interval).await,
            Role::Aggregator => {
                report_to_aggregators(&node, &socket, interval).await;
                send_domain_sum(&node, &socket, interval).await;
                if node.can_digest() {
                    send_digests(&node, &socket, interval).await;
                }
            }
        }
        sleep_ms(REPORT_INTERVAL_MS).await;
    }
}

async fn report_to_aggregators(node: &Node, socket: &UdpSocket, interval: u64) {
    let peers = aggregators(node, &node.settings.domain, interval);
    send_report(node, socket, peers, interval).await;
}

async fn send_report(node: &Node, socket: &UdpSocket, peers: Vec<SocketAddr>, interval: u64) {
    if !peers.is_empty() {
        send_to_all(socket, summary::report(node, interval), &peers).await;
    }
}

/// Sends the sum over this entry's failure domain to the aggregators of the other
/// domains.
async fn send_domain_sum(node: &Node, socket: &UdpSocket, interval: u64) {
    let domains = node.roster.borrow().other_domains();
    if domains.is_empty() {
        return;
    }
    let message = summary::domain_sum(node, interval);
    let peers: Vec<_> = domains
        .iter()
        .flat_map(|domain| aggregators(node, domain, interval))
        .collect();
    send_to_all(socket, message, &peers).await;
}

/// Sends each entry of this failure domain the sum over all other entries.
async fn send_digests(node: &Node, socket: &UdpSocket, interval: u64) {
    let members: Vec<_> = {
        let roster = node.roster.borrow();
        let members = roster.peers_in(&node.settings.domain);
        members.map(|(name, addr)| (name.clone(), addr)).collect()
    };
    for (name, addr) in members {
        let message = summary::digest(node, &name, interval);
        send_to_all(socket, message, &[addr]).await;
    }
}

pub(crate) fn aggregators(node: &Node, domain: &Name, interval: u64) -> Vec<SocketAddr> {
    let probes = interval.is_multiple_of(PROBE_INTERVALS);
    let mut roster = node.roster.borrow_mut();
    roster.aggregator_addresses(domain, probes, node.now())
}

async fn send_to_all(socket: &UdpSocket, message: Message, peers: &[SocketAddr]) {
    let mut bytes = Datagram::Message(Box::new(message)).encode();
    for peer in peers {
        bytes = send_to(socket, bytes, *peer).await;
    }
}

/// Sends a datagram and returns its bytes. One that can't be sent is dropped, as the
/// network may drop it as well.
pub(crate) async fn send_to(socket: &UdpSocket, bytes: Vec<u8>, peer: SocketAddr) -> Vec<u8> {
    let sent = socket.send_to(bytes, peer).await;
    if let Err(cause) = sent.0 {
        log::debug!(target: "lycheehaven", peer = peer.to_string().as_str(), cause = cause.to_string().as_str(); "can't send a datagram to a peer; dropping it");
    }
    sent.1
}

/// Receives messages from peers and applies them.
pub(crate) async fn receive_messages(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buffer = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    loop {
        buffer.clear();
        let result = socket.recv_from(buffer).await;
        buffer = result.1;
        match result.0 {
            Ok((_, sender)) => match Datagram::decode(&buffer) {
                Ok(Some(Datagram::Message(message))) => apply::message(&node, *message),
                Ok(Some(Datagram::Ask(ask))) => {
                    let answer = Datagram::Answer(permits::handle_ask(&node, &ask));
                    send_to(&socket, answer.encode(), sender).await;
                }
                Ok(Some(Datagram::Answer(answer))) => permits::handle_answer(&node, &answer),
                Ok(Some(Datagram::Began(from, groups))) => {
                    origins::apply_news(&node, &groups, &from);
                }
                Ok(Some(Datagram::FindOrigins(streams))) => {
                    origins::answer(&node, &socket, streams, sender);
                }
                Ok(Some(Datagram::Origins(groups))) => origins::merge(&node, &groups),
                Ok(None) => {}
                Err(cause) => {
                    let cause = cause.to_string();
                    log::warn!(target: "lycheehaven", cause = cause.as_str(); "can't decode a datagram from a peer; dropping it");
                }
            },
            Err(cause) => {
                let cause = cause.to_string();
                log::debug!(target: "lycheehaven", cause = cause.as_str(); "can't receive datagrams from peers; retrying");
                sleep_ms(20).await;
            }
        }
    }
}
