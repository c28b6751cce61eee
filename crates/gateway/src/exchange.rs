//! Exchange of datagrams between entries.
//!
//! Each entry periodically sends a report with its complete counts, so a lost
//! datagram loses no information. What an entry does not learn from its peers, it
//! reads from the store.

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

use crate::confirm;
use crate::node::Node;

/// Version of the message format.
const FORMAT_VERSION: u8 = 2;

/// Interval between reports, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 200;

/// Largest number of peers that one report is sent to.
const FAN_OUT: usize = 12;

/// Largest datagram.
const MAX_DATAGRAM_BYTES: usize = 60 * 1024;

/// A message between entries.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Datagram {
    Report(Box<Report>),
    #[serde(rename = "Question")]
    ConfirmRequest(confirm::ConfirmRequest),
    #[serde(rename = "Answer")]
    ConfirmReply(confirm::ConfirmReply),
}

impl Datagram {
    /// Encodes the format version and the message as MessagePack.
    pub(crate) fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(&(FORMAT_VERSION, self)).expect("messages serialize to MessagePack")
    }

    /// Decodes a message. Returns `None` if it has another format version.
    fn decode(bytes: &[u8]) -> Result<Option<Self>, rmp_serde::decode::Error> {
        match rmp_serde::from_slice::<(u8, Self)>(bytes) {
            Ok((FORMAT_VERSION, datagram)) => Ok(Some(datagram)),
            Ok(_) => Ok(None),
            Err(cause) => Err(cause),
        }
    }
}

/// The periodic report of an entry to its peers. It also serves as heartbeat.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Report {
    from: Name,
    incarnation: u64,
    /// Milliseconds since the sender's process started.
    uptime_ms: u64,
    /// The sender's wall clock, in milliseconds since the Unix epoch.
    wall_ms: i64,
    /// Quota units spent at the sender in the last window, by workspace.
    spent: Vec<(Name, f64)>,
    /// Requests of the sender that upstreams started, by window and workspace.
    #[serde(rename = "begun")]
    usage: Vec<WindowCounts>,
    /// Load that the sender causes at each upstream.
    loads: Vec<LoadReport>,
    /// Engine time that the sender's callers recently requested, in milliseconds, by
    /// service.
    demand: Vec<(Name, f64)>,
    /// Upstreams recently found to be leaving.
    leaving: Vec<UpstreamKey>,
    /// Upstreams whose registrations are missing, with the store's revision.
    gone: Vec<(UpstreamKey, u64)>,
    /// Crash reports: requests, each with an upstream that went down while running
    /// it.
    crashes: Vec<(Digest, UpstreamKey)>,
    /// Milliseconds since a holder of the lease was last known, 0 if the sender
    /// holds it.
    holder_age: Option<u64>,
    /// Version of the configuration in force at the sender, 0 if none.
    version: u64,
    /// Milliseconds since the sender's last current response of the store about
    /// upstreams, if it follows the store.
    store_age: Option<u64>,
}

/// Sends reports to randomly chosen peers periodically.
pub(crate) async fn send_reports(node: Rc<Node>, socket: Rc<UdpSocket>) {
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
            let bytes = encode_report(&node);
            for peer in peers {
                send_to(&socket, &bytes, peer).await;
            }
        }
        sleep_ms(REPORT_INTERVAL_MS).await;
    }
}

/// Sends a datagram to a peer. It may be lost.
pub(crate) async fn send_to(socket: &UdpSocket, bytes: &[u8], peer: SocketAddr) {
    let sent = socket.send_to(bytes.to_vec(), peer).await;
    if let Err(cause) = sent.0 {
        log::debug!(target: "lycheehaven", peer = peer.to_string().as_str(), cause = cause.to_string().as_str(); "can't send a datagram to a peer; dropping it");
    }
}

/// Receives datagrams from peers and applies them.
pub(crate) async fn receive_datagrams(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buffer = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    loop {
        buffer.clear();
        let result = socket.recv_from(buffer).await;
        buffer = result.1;
        match result.0 {
            Ok((_, peer)) => match Datagram::decode(&buffer) {
                Ok(Some(Datagram::Report(report))) => apply_report(&node, *report),
                Ok(Some(Datagram::ConfirmRequest(request))) => {
                    confirm::reply(&node, &socket, request, peer).await;
                }
                Ok(Some(Datagram::ConfirmReply(reply))) => confirm::apply_reply(&node, &reply),
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

fn encode_report(node: &Node) -> Vec<u8> {
    let now = node.now();
    let wall_ms = node
        .clock
        .wall()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as i64);
    let directory = node.directory.borrow();
    let report = Report {
        from: node.settings.name.clone(),
        incarnation: node.incarnation,
        uptime_ms: node.uptime().as_millis() as u64,
        wall_ms,
        spent: node.quotas.borrow_mut().local_spending(now),
        usage: node.usage.borrow().report(),
        loads: node.loads.borrow().load_reports(),
        demand: node.demand.borrow_mut().report(now),
        leaving: directory.recently_leaving(now).cloned().collect(),
        gone: directory.recently_removed(now),
        crashes: node.crash_tracker.borrow().crash_reports(),
        holder_age: node.holder_age(now).map(|age| age.as_millis() as u64),
        version: node.config.borrow().version().unwrap_or(0),
        store_age: node
            .upstreams_read
            .get()
            .map(|read| now.saturating_duration_since(read).as_millis() as u64),
    };
    Datagram::Report(Box::new(report)).encode()
}

/// Records a peer's spending. If the peer was already running when the counts
/// snapshot was taken, the snapshot includes its spending, so the peer's first
/// report is deducted from the total in it.
fn apply_spending(node: &Node, report: &Report, now: Instant) {
    let (from, incarnation) = (&report.from, report.incarnation);
    let started = now.checked_sub(Duration::from_millis(report.uptime_ms));
    let mut quotas = node.quotas.borrow_mut();
    if node
        .snapshot_time
        .get()
        .is_some_and(|at| started < Some(at))
    {
        quotas.deduct_recorded(from, incarnation, &report.spent);
    }
    quotas.update_peer(from, incarnation, &report.spent, now);
}

fn apply_report(node: &Rc<Node>, report: Report) {
    let now = node.now();
    let from = &report.from;
    if *from == node.settings.name {
        return;
    }
    node.members.borrow_mut().record_heartbeat(from, now);
    node.median_clock
        .borrow_mut()
        .update_peer(from, report.wall_ms, node.clock.wall(), now);
    apply_spending(node, &report, now);
    node.usage
        .borrow_mut()
        .merge_peer(from, report.incarnation, report.usage);
    node.loads.borrow_mut().update_peer(from, report.loads, now);
    node.demand
        .borrow_mut()
        .update_peer(from, report.demand, now);
    for key in &report.leaving {
        node.mark_leaving(key, from);
    }
    for (key, revision) in &report.gone {
        node.mark_gone(key, *revision, from);
    }
    for (digest, upstream) in &report.crashes {
        node.crash_tracker
            .borrow_mut()
            .add_crash_report(*digest, upstream, now);
    }
    if let Some(age) = report.holder_age {
        node.record_holder(Duration::from_millis(age), now);
    }
    node.record_peer_version(report.version);
    if let Some(age) = report.store_age {
        let age = Duration::from_millis(age);
        node.follower_liveness.borrow_mut().record(age, now);
    }
}
