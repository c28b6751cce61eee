//! Replication of in-flight records to peers.
//!
//! Each record has at most one replica. Updates to the same peer are batched,
//! with one message in flight at a time: tokens that arrive meanwhile are part
//! of the next message. Readers receive only tokens that the replica has
//! confirmed, so an entry that adopts the record continues exactly the answer
//! that the caller has seen.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_net::sleep_ms;
use lycheehaven_net::spawn_detached;
use lycheehaven_streams::Phase;
use lycheehaven_streams::Stream;
use lycheehaven_streams::Tokens;
use lycheehaven_types::ErrorKind;
use lycheehaven_types::HashMap;
use lycheehaven_types::Name;
use lycheehaven_types::RequestId;
use lycheehaven_upstream::plain::PlainResponse;

use crate::node::Node;
use crate::peer_client;
use crate::record::Record;
use crate::record::Request;
use crate::record::Shape;
use crate::relay;
use crate::wire::RecordUpdate;
use crate::wire::UpdateAck;

/// Largest number of records in a message.
const MAX_BATCH_RECORDS: usize = 256;

/// Period of removing expired records and replicas.
const GC_PERIOD_MS: u64 = 1000;

/// Largest number of replicas held for peers.
const REPLICA_CAPACITY: usize = 16_384;

/// Replica of a peer's record.
pub(crate) struct Replica {
    request: Request,
    tokens: Tokens,
    attempt: u32,
    phase: Phase,
    answer: Option<PlainResponse>,
    software: Option<Name>,
    updated: Instant,
}

/// Queues of updates, one for each peer that holds replicas.
#[derive(Default)]
pub(crate) struct Replicator {
    outboxes: RefCell<HashMap<Name, Outbox>>,
}

#[derive(Default)]
struct Outbox {
    waiting: VecDeque<Rc<Record>>,
    running: bool,
}

impl Replicator {
    /// Queues an update of a record that has grown or ended.
    pub(crate) fn enqueue(&self, node: &Rc<Node>, record: &Rc<Record>) {
        let Some(peer) = record.replica.borrow().clone() else {
            return;
        };
        if record.queued.replace(true) {
            return;
        }
        let mut outboxes = self.outboxes.borrow_mut();
        let outbox = outboxes.entry(peer.clone()).or_default();
        outbox.waiting.push_back(record.clone());
        if !outbox.running {
            outbox.running = true;
            spawn_detached(flush(node.clone(), peer));
        }
    }

    fn take_batch(&self, peer: &Name) -> Vec<Rc<Record>> {
        let mut outboxes = self.outboxes.borrow_mut();
        let Some(outbox) = outboxes.get_mut(peer) else {
            return Vec::new();
        };
        let count = outbox.waiting.len().min(MAX_BATCH_RECORDS);
        if count == 0 {
            outboxes.remove(peer);
            return Vec::new();
        }
        let batch: Vec<Rc<Record>> = outbox.waiting.drain(..count).collect();
        batch.iter().for_each(|record| record.queued.set(false));
        batch
    }
}

async fn flush(node: Rc<Node>, peer: Name) {
    loop {
        let batch = node.replicator.take_batch(&peer);
        if batch.is_empty() {
            return;
        }
        let updates: Vec<RecordUpdate> = batch
            .iter()
            .map(|record| update_of(record, false))
            .collect();
        let addr = node.peers.borrow().address(&peer);
        let acks = match addr {
            Some(addr) => peer_client::replicate(&node, addr, &updates).await.ok(),
            None => None,
        };
        match acks.filter(|acks| acks.len() == batch.len()) {
            Some(acks) => apply_acks(&node, &batch, &acks),
            None => {
                node.peers.borrow_mut().mark_unreachable(&peer);
                batch
                    .iter()
                    .for_each(|record| replace_replica(&node, record, &peer));
            }
        }
    }
}

fn apply_acks(node: &Rc<Node>, batch: &[Rc<Record>], acks: &[UpdateAck]) {
    for (record, ack) in batch.iter().zip(acks) {
        match ack {
            UpdateAck::Held(length) => {
                record.request_replicated.set(true);
                record
                    .replicated_tokens
                    .set((*length).max(record.replicated_tokens.get()));
                record.changed.notify_waiters();
            }
            // The peer no longer has the replica, for example after a restart.
            UpdateAck::Missing => {
                record.request_replicated.set(false);
                node.replicator.enqueue(node, record);
            }
            // The peer considered this entry dead and has adopted the record
            // for a caller.
            UpdateAck::Taken => mark_handed_over(node, record),
        }
    }
}

/// Stops work on a record that a peer continues.
pub(crate) fn mark_handed_over(node: &Node, record: &Record) {
    record.handed_over.set(true);
    record.changed.notify_waiters();
    record.driver_notify.notify_waiters();
    let subject = record.request.id.as_str();
    node.decisions.record(
        node.wall_millis(),
        "hand_over",
        subject,
        "peer",
        "a peer continues the record",
    );
}

/// Chooses another peer for a record whose replica is unreachable. Without one,
/// the record continues unreplicated.
fn replace_replica(node: &Rc<Node>, record: &Rc<Record>, lost: &Name) {
    let next = node.choose_replica(record.request.id.as_str(), Some(lost));
    record.request_replicated.set(false);
    *record.replica.borrow_mut() = next;
    record.changed.notify_waiters();
    node.replicator.enqueue(node, record);
}

/// Returns the part of a record that its replica has not confirmed, or the
/// whole record if `adopt` asks the receiver to take it over.
fn update_of(record: &Record, adopt: bool) -> RecordUpdate {
    let full = adopt || !record.request_replicated.get();
    let offset = if full {
        0
    } else {
        record.replicated_tokens.get()
    };
    let stream = record.stream.borrow();
    RecordUpdate {
        id: record.request.id.clone(),
        request: full.then(|| record.request.clone()),
        offset,
        tokens: stream.tokens().suffix(offset),
        attempt: stream.attempt(),
        phase: stream.phase().clone(),
        answer: record.answer.borrow().clone(),
        adopt,
        software: stream.software().cloned(),
    }
}

/// Transfers records to a peer, which continues them. Returns whether it
/// accepted all.
pub(crate) async fn hand_over(node: &Node, peer: &Name, records: &[Rc<Record>]) -> bool {
    let Some(addr) = node.peers.borrow().address(peer) else {
        return false;
    };
    let updates: Vec<RecordUpdate> = records
        .iter()
        .map(|record| update_of(record, true))
        .collect();
    let acks = peer_client::replicate(node, addr, &updates).await;
    acks.is_ok_and(|acks| acks.len() == records.len() && !acks.contains(&UpdateAck::Missing))
}

/// Sends a record to its replica without queueing. Errors are ignored.
pub(crate) async fn replicate_now(node: &Node, record: &Rc<Record>) {
    let peer = record.replica.borrow().clone();
    let addr = peer.and_then(|peer| node.peers.borrow().address(&peer));
    if let Some(addr) = addr {
        let mut update = update_of(record, false);
        update.request = Some(record.request.clone());
        let _ = peer_client::replicate(node, addr, &[update]).await;
    }
}

/// Applies updates from a peer.
pub(crate) fn receive(node: &Rc<Node>, updates: Vec<RecordUpdate>) -> Vec<UpdateAck> {
    updates
        .into_iter()
        .map(|update| receive_one(node, update))
        .collect()
}

fn receive_one(node: &Rc<Node>, update: RecordUpdate) -> UpdateAck {
    if node.records.borrow().contains_key(&update.id) {
        return UpdateAck::Taken;
    }
    if !update.is_consistent() {
        log::warn!(target: "lycheehaven", request = update.id.as_str(), attempt = update.attempt; "a peer's update of a record is inconsistent and not applied");
        return UpdateAck::Missing;
    }
    let id = update.id.clone();
    let length = {
        let mut replicas = node.replicas.borrow_mut();
        if let Some(request) = update.request {
            let at_capacity = replicas.len() >= REPLICA_CAPACITY && !replicas.contains_key(&id);
            if at_capacity {
                return UpdateAck::Missing;
            }
            // A request that is sent again must not discard confirmed tokens,
            // because the owner may have sent them to the caller already.
            replicas.entry(id.clone()).or_insert_with(|| Replica {
                request,
                tokens: Tokens::default(),
                attempt: 0,
                phase: Phase::Waiting,
                answer: None,
                software: None,
                updated: node.now(),
            });
        }
        let Some(replica) = replicas.get_mut(&id) else {
            return UpdateAck::Missing;
        };
        if !replica.tokens.merge(update.offset, &update.tokens) {
            return UpdateAck::Missing;
        }
        replica.attempt = update.attempt;
        replica.phase = update.phase;
        replica.answer = update.answer;
        replica.software = update.software.or_else(|| replica.software.take());
        replica.updated = node.now();
        replica.tokens.len()
    };
    if update.adopt {
        adopt(node, &id);
    }
    UpdateAck::Held(length)
}

/// Continues a record from the replica held here. Returns `None` if there is
/// none.
pub(crate) fn adopt(node: &Rc<Node>, id: &RequestId) -> Option<Rc<Record>> {
    let replica = node.replicas.borrow_mut().remove(id)?;
    let stream = Stream::resume(
        replica.tokens,
        replica.attempt,
        replica.phase,
        replica.software,
    );
    let record = Rc::new(Record::new(replica.request, stream, node.clock.clone()));
    record.answer_ready.set(replica.answer.is_some());
    *record.answer.borrow_mut() = replica.answer;
    if record.request.shape == Shape::Plain && !record.answer_ready.replace(true) {
        // Only the lost entry knew whether the call was sent.
        record.fail(
            ErrorKind::UpstreamLost,
            "the entry that ran the call was lost before it replicated an answer",
        );
    }
    // The replicated tokens count as read until a reader reports its position.
    record.read_tokens.set(record.token_count());
    record.replicated_tokens.set(0);
    *record.replica.borrow_mut() = node.choose_replica(id.as_str(), Some(id.owner()));
    node.records.borrow_mut().insert(id.clone(), record.clone());
    if let Some(key) = record.request.key {
        node.by_key.borrow_mut().insert(key, id.clone());
    }
    node.decisions.record(
        node.wall_millis(),
        "adopt",
        id.as_str(),
        &node.settings.name,
        "replica",
    );
    node.replicator.enqueue(node, &record);
    if record.request.shape != Shape::Plain && !record.is_over() {
        relay::spawn(node, &record);
    }
    Some(record)
}

/// Returns the answer of a plain call with this idempotency key from a replica
/// held here.
pub(crate) fn replicated_answer(
    node: &Node,
    key: lycheehaven_types::Digest,
) -> Option<PlainResponse> {
    let replicas = node.replicas.borrow();
    let mut matching = replicas
        .values()
        .filter(|replica| replica.request.key == Some(key));
    matching.find_map(|replica| replica.answer.clone())
}

/// Periodically removes records that have ended or were handed over and had no
/// reader for the retention period. Also removes replicas that were not updated
/// for that period or, while their request is unfinished, for the request
/// deadline.
pub(crate) async fn collect_garbage(node: Rc<Node>) {
    let retention = Duration::from_millis(node.settings.streams.keep_ms);
    let deadline = Duration::from_millis(node.settings.streams.deadline_ms);
    while !node.stop.is_cancelled() {
        sleep_ms(GC_PERIOD_MS).await;
        let now = node.now();
        let expired = |record: &Record| {
            (record.is_over() || record.handed_over.get())
                && !record.has_readers()
                && now.duration_since(record.last_used.get()) >= retention
        };
        node.records.borrow_mut().retain(|_, record| {
            let remove = expired(record);
            if remove {
                node.metrics
                    .unread_tokens
                    .inc_by(record.unread_tokens() as u64);
            }
            !remove
        });
        let records = node.records.borrow();
        node.by_key
            .borrow_mut()
            .retain(|_, id| records.contains_key(id));
        drop(records);
        node.replicas.borrow_mut().retain(|_, replica| {
            let limit = match replica.phase {
                Phase::Finished(_) | Phase::Failed(..) => retention,
                Phase::Waiting | Phase::Running(_) => deadline,
            };
            now.duration_since(replica.updated) < limit
        });
    }
}
