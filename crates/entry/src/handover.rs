//! Planned stops.

use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::select;
use lycheehaven_net::sleep_ms;
use tokio_util::sync::CancellationToken;

use crate::node::Node;
use crate::record::Record;
use crate::replicate;

/// Time before a reclaim at which records are handed over at the latest.
const RECLAIM_MARGIN: Duration = Duration::from_millis(1000);

/// Longest share of a short notice that the margin may take.
const MARGIN_SHARE: u32 = 3;

/// Period of looking whether requests are still open.
const POLL_MS: u64 = 20;

/// Time for callers' connections to take the last bytes.
const LINGER_MS: u64 = 200;

/// Peers tried for a hand-over.
const GIVE_ATTEMPTS: usize = 3;

/// Waits to be told to stop, then stops in order: not ready, no new
/// connections once the balancer knows, open requests finished or handed over.
pub(crate) async fn wait_and_drain(node: &Rc<Node>, accepting: &CancellationToken) {
    loop {
        let told = node.drain.notified();
        if node.draining.get() {
            break;
        }
        told.await;
    }
    log::info!(target: "lycheehaven", "draining");
    node.peers.borrow_mut().set_leaving();
    let lag = node.settings.drain.lag_ms;
    let lag = time_left(node).map_or(lag, |left| lag.min(left.as_millis() as u64 / 3));
    select! {
        () = sleep_ms(lag).fuse() => (),
        () = told_again(node).fuse() => (),
    }
    accepting.cancel();
    wait_for_requests(node).await;
    hand_over(node).await;
    sleep_ms(LINGER_MS).await;
}

async fn told_again(node: &Node) {
    while !node.handing_over.get() {
        sleep_ms(POLL_MS).await;
    }
}

fn time_left(node: &Node) -> Option<Duration> {
    let at = node.reclaim_at.get()?;
    let left = at.saturating_duration_since(node.now());
    Some(left.saturating_sub(RECLAIM_MARGIN.min(left / MARGIN_SHARE)))
}

async fn wait_for_requests(node: &Rc<Node>) {
    let limit = Duration::from_millis(node.settings.drain.finish_ms);
    let limit = time_left(node).map_or(limit, |left| left.min(limit));
    let deadline = node.now() + limit;
    while node.now() < deadline && !node.handing_over.get() {
        if !node.records.borrow().values().any(|record| is_open(record)) {
            return;
        }
        sleep_ms(POLL_MS).await;
    }
}

fn is_open(record: &Record) -> bool {
    record.is_attended() || (!record.is_over() && !record.given.get())
}

/// Gives every record that can still be asked for to a peer.
async fn hand_over(node: &Rc<Node>) {
    let records: Vec<Rc<Record>> = node.records.borrow().values().cloned().collect();
    let mut avoid = None;
    let mut left = records;
    for _ in 0..GIVE_ATTEMPTS {
        if left.is_empty() {
            return;
        }
        left = give_all(node, left, avoid.as_deref()).await;
        avoid = left
            .first()
            .and_then(|record| record.replica.borrow().clone());
    }
    if !left.is_empty() {
        log::error!(target: "lycheehaven", records = left.len(); "no peer took the records");
    }
}

/// Gives records to the peers that hold their replicas; returns those not taken.
async fn give_all(
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
    let mut left = Vec::new();
    for (peer, group) in groups {
        let taken = match &peer {
            Some(peer) => replicate::give(node, peer, &group).await,
            None => false,
        };
        if taken {
            group
                .iter()
                .for_each(|record| replicate::give_way(node, record));
        } else {
            left.extend(group);
        }
    }
    left
}
