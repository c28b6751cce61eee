//! What the entries tell each other, as datagrams.
//!
//! Each entry sends its own counts in full at short intervals, so a lost datagram
//! loses nothing. What an entry does not hear from peers, it reads in the store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::net::UdpSocket;
use lycheehaven_catalog::UpstreamKey;
use lycheehaven_dispatch::LoadReport;
use lycheehaven_duties::WindowCounts;
use lycheehaven_net::sleep_ms;
use lycheehaven_types::Digest;
use lycheehaven_types::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::node::Node;
use crate::proof;

/// Version of the message format.
const FORMAT: u8 = 2;

/// Interval between messages, in milliseconds.
const INTERVAL_MS: u64 = 200;

/// Most peers that one round is sent to.
const FAN_OUT: usize = 12;

/// Largest datagram.
const MAX_DATAGRAM: usize = 60 * 1024;

/// What entries send each other.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Datagram {
    Report(Box<Message>),
    Question(proof::Question),
    Answer(proof::Answer),
}

impl Datagram {
    /// The datagram's bytes: the format and the content.
    pub(crate) fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(&(FORMAT, self)).expect("messages serialize to MessagePack")
    }

    /// `None` if it has another format.
    fn decode(bytes: &[u8]) -> Result<Option<Self>, rmp_serde::decode::Error> {
        match rmp_serde::from_slice::<(u8, Self)>(bytes) {
            Ok((FORMAT, datagram)) => Ok(Some(datagram)),
            Ok(_) => Ok(None),
            Err(cause) => Err(cause),
        }
    }
}

/// All that an entry tells at intervals.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Message {
    from: Name,
    incarnation: u64,
    /// Milliseconds since the sender's process started.
    uptime_ms: u64,
    wall_ms: i64,
    spent: Vec<(Name, f64)>,
    begun: Vec<WindowCounts>,
    loads: Vec<LoadReport>,
    demand: Vec<(Name, f64)>,
    leaving: Vec<UpstreamKey>,
    /// Upstreams whose entries are missing, and at which revision.
    gone: Vec<(UpstreamKey, u64)>,
    crashes: Vec<(Digest, UpstreamKey)>,
    /// Age in milliseconds of the last news of the lease's holder, 0 from itself.
    holder_age: Option<u64>,
    /// Version of the configuration in force there, 0 if none.
    version: u64,
    /// Age in milliseconds of the sender's last current answer about upstreams,
    /// if it follows the store.
    store_age: Option<u64>,
}

/// Sends this entry's counts to peers at intervals.
pub(crate) async fn send(node: Rc<Node>, socket: Rc<UdpSocket>) {
    loop {
        let mut peers = node.members.borrow().addresses(&node.settings.name);
        if peers.len() > FAN_OUT {
            for index in 0..FAN_OUT {
                let other = rand::random_range(index..peers.len());
                peers.swap(index, other);
            }
            peers.truncate(FAN_OUT);
        }
        if !peers.is_empty() {
            let bytes = encode(&node);
            for peer in peers {
                send_to(&socket, &bytes, peer).await;
            }
        }
        sleep_ms(INTERVAL_MS).await;
    }
}

/// Sends a datagram; it may be lost.
pub(crate) async fn send_to(socket: &UdpSocket, bytes: &[u8], peer: SocketAddr) {
    let sent = socket.send_to(bytes.to_vec(), peer).await;
    if let Err(cause) = sent.0 {
        log::debug!(target: "lycheehaven", peer = peer.to_string().as_str(), cause = cause.to_string().as_str(); "a peer can't be told");
    }
}

/// Takes over what peers send.
pub(crate) async fn receive(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buffer = Vec::with_capacity(MAX_DATAGRAM);
    loop {
        buffer.clear();
        let result = socket.recv_from(buffer).await;
        buffer = result.1;
        match result.0 {
            Ok((_, peer)) => match Datagram::decode(&buffer) {
                Ok(Some(Datagram::Report(message))) => adopt(&node, *message),
                Ok(Some(Datagram::Question(question))) => {
                    proof::answer(&node, &socket, question, peer).await;
                }
                Ok(Some(Datagram::Answer(answer))) => proof::adopt(&node, &answer),
                Ok(None) => {}
                Err(cause) => {
                    let cause = cause.to_string();
                    log::warn!(target: "lycheehaven", cause = cause.as_str(); "a peer's message can't be decoded");
                }
            },
            Err(cause) => {
                let cause = cause.to_string();
                log::debug!(target: "lycheehaven", cause = cause.as_str(); "receiving from peers failed");
                sleep_ms(20).await;
            }
        }
    }
}

fn encode(node: &Node) -> Vec<u8> {
    let now = node.now();
    let wall_ms = node
        .clock
        .wall()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as i64);
    let directory = node.directory.borrow();
    let message = Message {
        from: node.settings.name.clone(),
        incarnation: node.incarnation,
        uptime_ms: node.uptime().as_millis() as u64,
        wall_ms,
        spent: node.allotments.borrow_mut().local_spending(now),
        begun: node.usage.borrow().report(),
        loads: node.book.borrow().load_reports(),
        demand: node.demand.borrow_mut().report(now),
        leaving: directory.recently_leaving(now).cloned().collect(),
        gone: directory.recently_removed(now),
        crashes: node.suspects.borrow().crash_reports(),
        holder_age: node.holder_age(now).map(|age| age.as_millis() as u64),
        version: node.belief.borrow().version().unwrap_or(0),
        store_age: node
            .servers_read
            .get()
            .map(|read| now.saturating_duration_since(read).as_millis() as u64),
    };
    Datagram::Report(Box::new(message)).encode()
}

fn hear_spending(node: &Node, message: &Message, now: Instant) {
    let (from, run) = (&message.from, message.incarnation);
    let started = now.checked_sub(Duration::from_millis(message.uptime_ms));
    let mut allotments = node.allotments.borrow_mut();
    if node.recorded.get().is_some_and(|at| started < Some(at)) {
        allotments.deduct_recorded(from, run, &message.spent);
    }
    allotments.update_peer(from, run, &message.spent, now);
}

fn adopt(node: &Rc<Node>, message: Message) {
    let now = node.now();
    let from = &message.from;
    if *from == node.settings.name {
        return;
    }
    node.members.borrow_mut().hear(from, now);
    node.wall
        .borrow_mut()
        .update_peer(from, message.wall_ms, node.clock.wall(), now);
    hear_spending(node, &message, now);
    node.usage
        .borrow_mut()
        .merge_peer(from, message.incarnation, message.begun);
    node.book.borrow_mut().update_peer(from, message.loads, now);
    node.demand
        .borrow_mut()
        .update_peer(from, message.demand, now);
    for key in &message.leaving {
        node.upstream_leaves(key, from);
    }
    for (key, revision) in &message.gone {
        node.upstream_gone(key, *revision, from);
    }
    for (digest, upstream) in &message.crashes {
        node.suspects
            .borrow_mut()
            .add_crash_report(*digest, upstream, now);
    }
    if let Some(age) = message.holder_age {
        node.hear_holder(Duration::from_millis(age), now);
    }
    node.hear_version(message.version);
    if let Some(age) = message.store_age {
        let age = Duration::from_millis(age);
        node.informed.borrow_mut().record(age, now);
    }
}
