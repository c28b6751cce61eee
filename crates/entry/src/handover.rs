//! Graceful shutdown.

use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::select;
use lycheehaven_net::sleep_ms;
use tokio_util::sync::CancellationToken;

use crate::node::Node;
use crate::plain;
use crate::record::Record;
use crate::relay;
use crate::replicate;
use crate::shutdown;

/// Connections are accepted for at least one part in this many of the time left.
const LAG_DIVISOR: u32 = 3;

/// Period of checking for open requests.
const POLL_MS: u64 = 20;

/// Time without an open request after which no further one is expected.
const QUIET_PERIOD: Duration = Duration::from_millis(100);

/// Time for which the process goes on after the hand-over, for the readers of other
/// entries, and the most that callers of this one have for what is still to be written.
const LINGER: Duration = Duration::from_millis(200);
const MAX_LINGER: Duration = Duration::from_secs(1);

/// Hand-over attempts per record, each to another peer if possible.
const HANDOVER_ATTEMPTS: usize = 3;

/// Waits for a drain request, then stops in order: the entry reports not ready,
/// accepts no new connections once the load balancer has had time to notice,
/// and finishes or hands over the open requests.
pub(crate) async fn wait_and_drain(node: &Rc<Node>, accepting: &CancellationToken) {
    node.shutdown.begun().await;
    log::info!(target: "lycheehaven", "draining");
    node.peers.borrow_mut().set_leaving();
    node.open_requests.announce_close();
    select! {
        () = compio::time::sleep(lag(node)).fuse() => (),
        () = node.shutdown.work_end().fuse() => (),
    }
    accepting.cancel();
    wait_for_requests(node).await;
    // A request that is accepted from here on could not be handed over: it is refused.
    node.shutdown.end_work_now();
    let records: Vec<Rc<Record>> = node.records.borrow().values().cloned().collect();
    records
        .iter()
        .for_each(|record| plain::end_open_call(record));
    hand_over(node, records).await;
    linger(node).await;
    log_open_requests(node);
}

/// Returns the time for which connections are still accepted. Before a reclaim it is a part
/// of the time left, unless the rest is more than it takes to finish.
fn lag(node: &Node) -> Duration {
    let drain = &node.settings.drain;
    let left = node.shutdown.time_left().unwrap_or_default();
    let spare = left.saturating_sub(Duration::from_millis(drain.finish_ms));
    Duration::from_millis(drain.lag_ms).min(spare.max(left / LAG_DIVISOR))
}

/// Waits until no request is open, or the work must have ended.
async fn wait_for_requests(node: &Rc<Node>) {
    let mut quiet_since = None;
    while node.shutdown.can_end(Duration::ZERO) {
        let now = node.now();
        if has_open_requests(node) {
            quiet_since = None;
        } else if now.duration_since(*quiet_since.get_or_insert(now)) >= QUIET_PERIOD {
            return;
        }
        sleep_ms(POLL_MS).await;
    }
}

/// Returns whether a caller has not got its answer whole, or a record is not over.
fn has_open_requests(node: &Node) -> bool {
    let records = node.records.borrow();
    node.open_requests.has_clients() || records.values().any(|record| is_open(record))
}

fn is_open(record: &Record) -> bool {
    record.has_readers() || (!record.is_over() && !record.handed_over.get())
}

/// Lets the last bytes reach callers.
async fn linger(node: &Node) {
    let began = node.now();
    let passed = || node.now().saturating_duration_since(began);
    while passed() < LINGER || (node.open_requests.has_clients() && passed() < MAX_LINGER) {
        sleep_ms(POLL_MS).await;
    }
}

/// Logs each request that ends with the process.
fn log_open_requests(node: &Node) {
    for open in node.open_requests.list() {
        log::warn!(
            target: "lycheehaven",
            request = open.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-"),
            waits_for = open.phase.name();
            "the request is still open at the end of the stop"
        );
    }
}

/// Hands over every record whose answer can still be fetched. The callers of those that no
/// peer was asked to continue are told that they end here.
async fn hand_over(node: &Rc<Node>, records: Vec<Rc<Record>>) {
    let mut avoid = None;
    let mut remaining = records;
    for _ in 0..HANDOVER_ATTEMPTS {
        if remaining.is_empty() {
            return;
        }
        remaining = hand_over_to_replicas(node, remaining, avoid.as_deref()).await;
        avoid = remaining
            .first()
            .and_then(|record| record.replica.borrow().clone());
    }
    if !remaining.is_empty() {
        log::error!(target: "lycheehaven", records = remaining.len(); "hand-over failed: no peer confirmed the records; those without a replica are lost");
        for record in remaining {
            match record.offered.get() {
                true => replicate::mark_handed_over(node, &record),
                false => end_record(&record),
            }
        }
    }
}

/// Fails a record that is not over and that no peer continues.
fn end_record(record: &Record) {
    if record.is_over() {
        return;
    }
    let is_sent = relay::may_have_run(record) || record.is_sent.get();
    log::warn!(
        target: "lycheehaven",
        request = record.request.id.as_str(), tokens = record.token_count(), is_sent = is_sent;
        "the request ends with this entry"
    );
    let failure = shutdown::not_ended(is_sent);
    record.fail(failure.kind, failure.message);
    record.driver_notify.notify_waiters();
}

/// Hands records over to the peers that hold their replicas, or to others in
/// place of `avoid` and missing replicas. Returns the records that were not
/// accepted.
async fn hand_over_to_replicas(
    node: &Rc<Node>,
    records: Vec<Rc<Record>>,
    avoid: Option<&str>,
) -> Vec<Rc<Record>> {
    let mut groups: lycheehaven_types::HashMap<_, Vec<Rc<Record>>> = Default::default();
    for record in records {
        let replica = record.replica.borrow().clone();
        let usable = replica.filter(|name| Some(&**name) != avoid);
        let peer = usable.or_else(|| node.choose_replica(record.request.id.as_str(), avoid));
        groups.entry(peer).or_default().push(record);
    }
    let mut remaining = Vec::new();
    for (peer, group) in groups {
        let accepted = match &peer {
            Some(peer) => {
                group.iter().for_each(|record| record.offered.set(true));
                replicate::hand_over(node, peer, &group).await
            }
            None => false,
        };
        if accepted {
            group
                .iter()
                .for_each(|record| replicate::mark_handed_over(node, record));
        } else {
            remaining.extend(group);
        }
    }
    remaining
}
