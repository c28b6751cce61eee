//! Graceful shutdown.

use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::select;
use lycheehaven_net::sleep_ms;
use tokio_util::sync::CancellationToken;

use crate::node::Node;
use crate::record::Record;
use crate::replicate;

/// Time before a reclaim that is reserved for the hand-over of records.
const RECLAIM_MARGIN: Duration = Duration::from_millis(1000);

/// The margin is at most one part in this many of the time left.
const MARGIN_DIVISOR: u32 = 3;

/// Period of checking for open requests.
const POLL_MS: u64 = 20;

/// Time for the last bytes to reach callers before the process ends.
const LINGER_MS: u64 = 200;

/// Hand-over attempts per record, each to another peer if possible.
const HANDOVER_ATTEMPTS: usize = 3;

/// Waits for a drain request, then stops in order: the entry reports not ready,
/// accepts no new connections once the load balancer has had time to notice,
/// and finishes or hands over the open requests.
pub(crate) async fn wait_and_drain(node: &Rc<Node>, accepting: &CancellationToken) {
    loop {
        let requested = node.drain_notify.notified();
        if node.draining.get() {
            break;
        }
        requested.await;
    }
    log::info!(target: "lycheehaven", "draining");
    node.peers.borrow_mut().set_leaving();
    let lag = node.settings.drain.lag_ms;
    let lag = time_left(node).map_or(lag, |remaining| lag.min(remaining.as_millis() as u64 / 3));
    select! {
        () = sleep_ms(lag).fuse() => (),
        () = second_request(node).fuse() => (),
    }
    accepting.cancel();
    wait_for_requests(node).await;
    hand_over(node).await;
    sleep_ms(LINGER_MS).await;
}

async fn second_request(node: &Node) {
    while !node.handing_over.get() {
        sleep_ms(POLL_MS).await;
    }
}

/// Returns the time until the hand-over must begin, if this entry's VM will be
/// reclaimed.
fn time_left(node: &Node) -> Option<Duration> {
    let at = node.reclaim_at.get()?;
    let remaining = at.saturating_duration_since(node.now());
    Some(remaining.saturating_sub(RECLAIM_MARGIN.min(remaining / MARGIN_DIVISOR)))
}

async fn wait_for_requests(node: &Rc<Node>) {
    let limit = Duration::from_millis(node.settings.drain.finish_ms);
    let limit = time_left(node).map_or(limit, |remaining| remaining.min(limit));
    let deadline = node.now() + limit;
    while node.now() < deadline && !node.handing_over.get() {
        if !node.records.borrow().values().any(|record| is_open(record)) {
            return;
        }
        sleep_ms(POLL_MS).await;
    }
}

fn is_open(record: &Record) -> bool {
    record.has_readers() || (!record.is_over() && !record.handed_over.get())
}

/// Hands over every record whose answer can still be fetched.
async fn hand_over(node: &Rc<Node>) {
    let records: Vec<Rc<Record>> = node.records.borrow().values().cloned().collect();
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
        log::error!(target: "lycheehaven", records = remaining.len(); "hand-over failed: no peer accepted the records; those without a replica are lost");
    }
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
            Some(peer) => replicate::hand_over(node, peer, &group).await,
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
