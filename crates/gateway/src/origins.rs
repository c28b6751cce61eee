//! What began the streams that callers take up again.
//!
//! [`lycheehaven_origins`] holds and decides; this module records this entry's streams,
//! exchanges records with peers, and finds out what began a stream that a request takes up.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::net::UdpSocket;
use lycheehaven_adapter::caller::RequestHead;
use lycheehaven_catalog::Route;
use lycheehaven_catalog::RouteKind;
use lycheehaven_catalog::Upstream;
use lycheehaven_fleet::Role;
use lycheehaven_net::spawn_detached;
use lycheehaven_origins::Found;
use lycheehaven_origins::Group;
use lycheehaven_origins::Origin;
use lycheehaven_origins::StreamKey;
use lycheehaven_types::ErrorKind;
use lycheehaven_types::Failure;
use lycheehaven_types::Name;

use crate::attempt::Job;
use crate::exchange;
use crate::message::Datagram;
use crate::node::Node;
use crate::origin_store;
use crate::schedule::DEFAULT_DEADLINE;
use crate::served;

/// Time beyond its deadline for which a stream's record is kept, as its caller may have
/// sent the request earlier than it arrived.
const RECORD_MARGIN: Duration = Duration::from_secs(2);

/// Time for which a request waits for the record of its stream: a peer reports it within
/// 200 ms.
const RECORD_WAIT: Duration = Duration::from_millis(300);

/// Interval at which it is looked for.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Range of the time after which a request may return whose stream's record is missing.
const RETRY_AFTER_MS: std::ops::Range<u64> = 400..800;

/// Longest part of a stream's identifier in a log line.
const MAX_LOGGED_BYTES: usize = 64;

/// Most streams that one datagram asks for.
const MAX_ASKED: usize = 64;

/// Longest time for which the first event of a stream waits until its record is in the store.
/// Aggregators write those of their domain within it.
const WRITE_WAIT: Duration = Duration::from_millis(80);

/// Records what began the stream of `job`, whose first event the caller is about to get.
pub(crate) fn record(node: &Rc<Node>, job: &Job, upstream: &Upstream) {
    let Some(id) = job.head.id.as_ref().filter(|_| job.route.may_be_taken_up()) else {
        return;
    };
    let key = StreamKey::new(job.workspace.as_deref(), id.as_bytes());
    let now = node.now();
    let deadline = job.head.deadline.unwrap_or(DEFAULT_DEADLINE) + RECORD_MARGIN;
    let passed = now.saturating_duration_since(job.received);
    let origin = served::origin_of(upstream);
    let lifetime = deadline.saturating_sub(passed);
    node.origins.borrow_mut().begin(key, &origin, lifetime, now);
    node.record_due.notify_one();
    if node.role.get() == Role::Member && is_record_needed(node, &origin.service) {
        let groups = node.origins.borrow().groups(&[key]);
        let message = Datagram::Began(node.settings.name.clone(), groups);
        spawn_detached(send_to_aggregators(node.clone(), message));
    }
}

/// Whether only a record tells what began a stream of `service`.
fn is_record_needed(node: &Node, service: &Name) -> bool {
    let served = node.served.borrow();
    let situation = served::situation(node);
    served
        .last()
        .is_some_and(|list| list.recorded_services(&situation).contains(&service))
}

/// Waits until the record of a stream that has just begun is in the store, if it is needed.
/// A caller that has seen an event may come back for the rest after all entries were killed.
pub(crate) async fn await_record(node: &Node, service: &Name) {
    if !is_record_needed(node, service) {
        return;
    }
    let now = node.now();
    let written = async {
        match node.role.get() {
            // The aggregators do not tell when they have written it.
            Role::Member => std::future::pending().await,
            Role::Mesh | Role::Aggregator => node.records_written.reach(now).await,
        }
    };
    if compio::time::timeout(WRITE_WAIT, written).await.is_err() {
        log::debug!(target: "lycheehaven", "passing on a stream whose record may not be in the store");
    }
}

/// Applies the records in a message. An aggregator writes those of its own failure domain.
pub(crate) fn apply_news(node: &Node, groups: &[Group], from: &Name) {
    if groups.is_empty() {
        return;
    }
    let is_own_domain = {
        let roster = node.roster.borrow();
        roster.domain_of(from) == Some(&node.settings.domain)
    };
    let writes = node.role.get() == Role::Aggregator && is_own_domain;
    let expires = node.now() + served::longest(node);
    node.origins.borrow_mut().merge(groups, writes, expires);
    if writes {
        node.record_due.notify_one();
    }
}

/// Applies records of the store, or those that this entry has asked an aggregator for.
pub(crate) fn merge(node: &Node, groups: &[Group]) {
    let expires = node.now() + served::longest(node);
    node.origins.borrow_mut().merge(groups, false, expires);
}

/// Answers an entry that asks what began streams.
pub(crate) fn answer(
    node: &Rc<Node>,
    socket: &Rc<UdpSocket>,
    mut streams: Vec<StreamKey>,
    sender: SocketAddr,
) {
    streams.truncate(MAX_ASKED);
    let (node, socket) = (node.clone(), socket.clone());
    let asked = node.now();
    spawn_detached(async move {
        let is_known = |key: &StreamKey| {
            let origins = node.origins.borrow();
            origins.find(*key, node.now()) != Found::Nothing
        };
        if !streams.iter().all(is_known) {
            read_since(&node, asked).await;
        }
        let groups = node.origins.borrow().groups(&streams);
        if !groups.is_empty() {
            let bytes = Datagram::Origins(groups).encode();
            exchange::send_to(&socket, bytes, sender).await;
        }
    });
}

/// Returns what began the stream that a request takes up, or `None` if it takes none up.
///
/// # Errors
/// Returns the failure of a request whose stream's origin can't be told, or can't go on.
pub(crate) async fn find(
    node: &Rc<Node>,
    head: &RequestHead,
    route: &Route,
    workspace: Option<&str>,
) -> Result<Option<Origin>, Failure> {
    if head.last_event.is_none() || route.kind != RouteKind::Streaming {
        return Ok(None);
    }
    let id = head.resumes.as_ref();
    let key = id.map(|id| StreamKey::new(workspace, id.as_bytes()));
    match look(node, key, route).await {
        Ok(origin) if route.has_service(&origin.service) => Ok(Some(origin)),
        Ok(_) => {
            node.metrics.record_take_up("service_left");
            Err(refusal(
                "the route does not lead to the service that began the stream",
            ))
        }
        Err(reason) => {
            let id = id.and_then(|id| id.to_str().ok()).unwrap_or("-");
            log::info!(
                target: "lycheehaven",
                resumes = short(id), records = node.origins.borrow().count(), reason = reason;
                "it is not known what began the stream that a request takes up"
            );
            node.metrics.record_take_up("unknown");
            Err(refusal(reason))
        }
    }
}

async fn look(
    node: &Rc<Node>,
    key: Option<StreamKey>,
    route: &Route,
) -> Result<Origin, &'static str> {
    let asked = node.now();
    let mut reason = "the store does not tell which software may have begun the stream";
    let mut read_from = asked;
    loop {
        if let Some(origin) = recorded(node, key)? {
            return Ok(origin);
        }
        let elapsed = node.now().saturating_duration_since(asked);
        let is_last = elapsed >= RECORD_WAIT;
        if is_last || read_from == asked {
            if is_last {
                read_from = node.now();
            }
            ask_aggregators(node, key, elapsed).await;
            if read_since(node, read_from).await {
                if let Some(origin) = only_origin(node, route) {
                    return Ok(origin);
                }
                reason = "there is no record of what began the stream";
            }
            read_from = node.now();
            if let Some(origin) = recorded(node, key)? {
                return Ok(origin);
            }
        }
        if is_last || key.is_none() {
            return Err(reason);
        }
        compio::time::sleep(LOOK_INTERVAL).await;
    }
}

/// Returns what is recorded of a stream.
fn recorded(node: &Node, key: Option<StreamKey>) -> Result<Option<Origin>, &'static str> {
    let Some(key) = key else {
        return Ok(None);
    };
    match node.origins.borrow().find(key, node.now()) {
        Found::Nothing => Ok(None),
        Found::Origin(origin) => Ok(Some((*origin).clone())),
        Found::Ambiguous => Err("several streams began under the identifier"),
    }
}

/// Returns what must have begun a stream without a record.
fn only_origin(node: &Node, route: &Route) -> Option<Origin> {
    let served = node.served.borrow();
    let services = route.splits.iter().map(|split| &split.service);
    served
        .last()?
        .only_origin(services, &served::situation(node))
}

/// Reads from the store what it says at `since` or later. Returns whether it answered.
async fn read_since(node: &Rc<Node>, since: Instant) -> bool {
    let reads = &node.origin_reads;
    reads
        .since(since, || node.now(), || origin_store::read_all(node))
        .await
}

/// Asks the aggregators of this entry's failure domain for a record, which a member of it
/// does not read from the store.
async fn ask_aggregators(node: &Rc<Node>, key: Option<StreamKey>, elapsed: Duration) {
    let Some(key) = key.filter(|_| node.role.get() == Role::Member) else {
        return;
    };
    log::debug!(target: "lycheehaven", after_ms = elapsed.as_millis() as u64; "asking the aggregators what began a stream");
    send_to_aggregators(node.clone(), Datagram::FindOrigins(vec![key])).await;
}

async fn send_to_aggregators(node: Rc<Node>, message: Datagram) {
    let Some(socket) = node.peer_socket() else {
        return;
    };
    let mut bytes = message.encode();
    for peer in exchange::aggregators(&node, &node.settings.domain, 1) {
        bytes = exchange::send_to(socket, bytes, peer).await;
    }
}

/// Returns the beginning of an identifier, which a caller has chosen.
fn short(id: &str) -> &str {
    &id[..id.len().min(MAX_LOGGED_BYTES)]
}

fn refusal(reason: &str) -> Failure {
    let wait = Duration::from_millis(rand::random_range(RETRY_AFTER_MS));
    Failure::new(ErrorKind::OriginUnknown, reason).retry_after(wait)
}
