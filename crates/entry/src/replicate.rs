//! Copies of in-flight records at a peer.
//!
//! Each record has at most one replica. Updates to the same peer are sent
//! together, one message at a time: what grows while a message is under way is
//! part of the next. Readers see only tokens that the replica has confirmed, so
//! whoever continues the answer continues what the caller saw.

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

/// Records in one message.
const BATCH_LIMIT: usize = 256;

/// Period of dropping records that nobody fetches.
const GARBAGE_PERIOD_MS: u64 = 1000;

/// Replicas held for peers at once.
const REPLICA_LIMIT: usize = 16_384;

/// A copy of a peer's record.
pub(crate) struct Replica {
    request: Request,
    tokens: Tokens,
    attempt: u32,
    phase: Phase,
    answer: Option<PlainResponse>,
    updated: Instant,
}

/// Records that wait to be sent, by the peer that holds their replica.
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
    /// Notes that a record has grown or ended.
    pub(crate) fn grown(&self, node: &Rc<Node>, record: &Rc<Record>) {
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
        let count = outbox.waiting.len().min(BATCH_LIMIT);
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
            Some(acks) => confirm(&node, &batch, &acks),
            None => {
                node.peers.borrow_mut().mark_unreachable(&peer);
                batch
                    .iter()
                    .for_each(|record| replace_replica(&node, record, &peer));
            }
        }
    }
}

fn confirm(node: &Rc<Node>, batch: &[Rc<Record>], acks: &[UpdateAck]) {
    for (record, ack) in batch.iter().zip(acks) {
        match ack {
            UpdateAck::Held(length) => {
                record.introduced.set(true);
                record
                    .replicated
                    .set((*length).max(record.replicated.get()));
                record.changed.notify_waiters();
            }
            // The replica lost the record, for example by a restart.
            UpdateAck::Missing => {
                record.introduced.set(false);
                node.replicator.grown(node, record);
            }
            // The peer took this entry for dead, and a caller follows it now.
            UpdateAck::Taken => give_way(node, record),
        }
    }
}

/// Stops working on a record that a peer continues.
pub(crate) fn give_way(node: &Node, record: &Record) {
    record.given.set(true);
    record.changed.notify_waiters();
    record.steer.notify_waiters();
    let subject = record.request.id.as_str();
    node.decisions.note(
        node.wall_millis(),
        "hand_over",
        subject,
        "peer",
        "a peer continues it",
    );
}

/// Finds another peer for a record whose replica can't be reached. Without one,
/// the record goes on alone.
fn replace_replica(node: &Rc<Node>, record: &Rc<Record>, lost: &Name) {
    let next = node.choose_replica(record.request.id.as_str(), Some(lost));
    record.introduced.set(false);
    *record.replica.borrow_mut() = next;
    record.changed.notify_waiters();
    node.replicator.grown(node, record);
}

/// The part of a record that its replica has not confirmed.
fn update_of(record: &Record, adopt: bool) -> RecordUpdate {
    let whole = adopt || !record.introduced.get();
    let offset = if whole { 0 } else { record.replicated.get() };
    let stream = record.stream.borrow();
    RecordUpdate {
        id: record.request.id.clone(),
        request: whole.then(|| record.request.clone()),
        offset,
        tokens: stream.tokens().suffix(offset),
        attempt: stream.attempt(),
        phase: stream.phase().clone(),
        answer: record.answer.borrow().clone(),
        adopt,
    }
}

/// Gives records to a peer, which continues them. Returns whether it took them.
pub(crate) async fn give(node: &Node, peer: &Name, records: &[Rc<Record>]) -> bool {
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

/// Copies a record to its replica now, as far as that can be reached.
pub(crate) async fn push(node: &Node, record: &Rc<Record>) {
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
    if !update.tokens.is_consistent() {
        return UpdateAck::Missing;
    }
    let id = update.id.clone();
    let length = {
        let mut replicas = node.replicas.borrow_mut();
        if let Some(request) = update.request {
            let full = replicas.len() >= REPLICA_LIMIT && !replicas.contains_key(&id);
            if full {
                return UpdateAck::Missing;
            }
            // A repeated introduction must not shorten what was confirmed: the
            // owner may have shown it already.
            replicas.entry(id.clone()).or_insert_with(|| Replica {
                request,
                tokens: Tokens::default(),
                attempt: 0,
                phase: Phase::Waiting,
                answer: None,
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
        replica.updated = node.now();
        replica.tokens.len()
    };
    if update.adopt {
        adopt(node, &id);
    }
    UpdateAck::Held(length)
}

/// Continues a record from its replica here.
pub(crate) fn adopt(node: &Rc<Node>, id: &RequestId) -> Option<Rc<Record>> {
    let replica = node.replicas.borrow_mut().remove(id)?;
    let stream = Stream::resume(replica.tokens, replica.attempt, replica.phase);
    let record = Rc::new(Record::new(replica.request, stream, node.clock.clone()));
    record.settled.set(replica.answer.is_some());
    *record.answer.borrow_mut() = replica.answer;
    if record.request.shape == Shape::Plain && !record.settled.replace(true) {
        // Only the lost entry knew whether the call was sent.
        record.abandon(
            ErrorKind::UpstreamLost,
            "the entry that ran the call was lost",
        );
    }
    // Tokens that the lost entry confirmed count as read until a reader says
    // where it is.
    record.read.set(record.length());
    record.replicated.set(0);
    *record.replica.borrow_mut() = node.choose_replica(id.as_str(), Some(id.owner()));
    node.records.borrow_mut().insert(id.clone(), record.clone());
    if let Some(key) = record.request.key {
        node.by_key.borrow_mut().insert(key, id.clone());
    }
    node.decisions.note(
        node.wall_millis(),
        "adopt",
        id.as_str(),
        &node.settings.name,
        "replica",
    );
    node.replicator.grown(node, &record);
    if record.request.shape != Shape::Plain && !record.is_over() {
        spawn_detached(relay::drive(node.clone(), record.clone()));
    }
    Some(record)
}

/// Answer of a plain call that a replica holds under an idempotency key.
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

/// Drops records and replicas that were over or abandoned long enough.
pub(crate) async fn collect_garbage(node: Rc<Node>) {
    let keep = Duration::from_millis(node.settings.streams.keep_ms);
    let deadline = Duration::from_millis(node.settings.streams.deadline_ms);
    while !node.stop.is_cancelled() {
        sleep_ms(GARBAGE_PERIOD_MS).await;
        let now = node.now();
        let expired = |record: &Record| {
            (record.is_over() || record.given.get())
                && !record.is_attended()
                && now.duration_since(record.touched.get()) >= keep
        };
        node.records.borrow_mut().retain(|_, record| {
            let drop = expired(record);
            if drop {
                node.metrics.unread.inc_by(record.unread() as u64);
            }
            !drop
        });
        let records = node.records.borrow();
        node.by_key
            .borrow_mut()
            .retain(|_, id| records.contains_key(id));
        drop(records);
        node.replicas.borrow_mut().retain(|_, replica| {
            let limit = match replica.phase {
                Phase::Finished(_) | Phase::Failed(..) => keep,
                Phase::Waiting | Phase::Running(_) => deadline,
            };
            now.duration_since(replica.updated) < limit
        });
    }
}
