//! Reads and writes the claim shards on the platform.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_channel::oneshot;
use lycheehaven_claims::Claim;
use lycheehaven_claims::ClaimReply;
use lycheehaven_claims::SHARD_COUNT;
use lycheehaven_claims::Shard;
use lycheehaven_claims::ShardAction;
use lycheehaven_claims::ShardEvent;
use lycheehaven_claims::ShardId;
use lycheehaven_claims::Ticket;
use lycheehaven_net::sleep_ms;
use lycheehaven_net::spawn_detached;
use lycheehaven_platform::Condition;
use lycheehaven_platform::PutOutcome;
use lycheehaven_platform::Version;
use lycheehaven_types::HashMap;
use lycheehaven_types::Name;
use lycheehaven_types::rendezvous_order;

use crate::metrics::kind;
use crate::node::Node;
use crate::peer_client;
use crate::record::Record;
use crate::wire::ClaimRequest;

/// Time after an unanswered read of the platform during which claims are
/// refused without a call.
const OUTAGE_BACKOFF: Duration = Duration::from_millis(1000);

/// Number of shards from which idle ones are evicted. Evicted shards are read
/// again when needed.
const SHARD_CAPACITY: usize = 256;

/// The claim shards that this entry has read, and its own claims.
#[derive(Default)]
pub(crate) struct ClaimShards {
    shards: RefCell<HashMap<ShardId, Rc<ShardWorker>>>,
    next_ticket: Cell<u64>,
    unavailable_since: Cell<Option<Instant>>,
    /// Nonces of this entry's claims whose request may have been sent, with the
    /// time until which they are kept.
    sent: RefCell<HashMap<u64, Instant>>,
    /// Records of this entry's claims in progress, by nonce.
    active: RefCell<HashMap<u64, Rc<Record>>>,
}

struct ShardWorker {
    shard: RefCell<Shard>,
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<ClaimReply>>>,
    running: Cell<bool>,
}

impl ClaimShards {
    /// Records that the request of a claim of this entry is about to be sent.
    /// The nonce is kept until `until`.
    pub(crate) fn mark_sent(&self, nonce: u64, until: Instant) {
        self.sent.borrow_mut().insert(nonce, until);
    }

    /// Returns whether the request of a claim of this entry was or may have
    /// been sent.
    pub(crate) fn was_sent(&self, nonce: u64) -> bool {
        self.sent.borrow().contains_key(&nonce)
    }

    /// Reverts [`ClaimShards::mark_sent`] once it is certain that nothing was
    /// sent.
    pub(crate) fn unmark_sent(&self, nonce: u64) {
        self.sent.borrow_mut().remove(&nonce);
    }

    /// Records that a claim for `record` is in progress.
    pub(crate) fn begin(&self, nonce: u64, record: &Rc<Record>) {
        self.active.borrow_mut().insert(nonce, record.clone());
    }

    /// Records that a claim has ended.
    pub(crate) fn end(&self, nonce: u64) {
        self.active.borrow_mut().remove(&nonce);
    }

    /// Returns the record of a claim in progress.
    pub(crate) fn active(&self, nonce: u64) -> Option<Rc<Record>> {
        self.active.borrow().get(&nonce).cloned()
    }

    /// Removes the nonces of claims whose idempotency keys have expired.
    pub(crate) fn expire_sent(&self, now: Instant) {
        self.sent.borrow_mut().retain(|_, until| *until > now);
    }

    fn is_unavailable(&self, now: Instant) -> bool {
        self.unavailable_since
            .get()
            .is_some_and(|since| now.duration_since(since) < OUTAGE_BACKOFF)
    }
}

/// Commits a claim, through the shard's owner if that is reachable. The owner
/// only batches claims to save platform calls; whether a claim is granted is
/// decided by the platform's conditional write.
pub(crate) async fn claim(node: &Rc<Node>, shard: ShardId, claim: Claim) -> ClaimReply {
    if let Some((owner, addr)) = remote_owner(node, shard) {
        let request = ClaimRequest {
            shard,
            claim: claim.clone(),
        };
        match peer_client::claim(node, addr, &request).await {
            Ok(ClaimReply::Unavailable) => {}
            Ok(reply) => return count_reply(node, reply),
            Err(_) => node.peers.borrow_mut().mark_unreachable(&owner),
        }
    }
    let reply = claim_locally(node, shard, claim).await;
    count_reply(node, reply)
}

fn count_reply(node: &Node, reply: ClaimReply) -> ClaimReply {
    let name = match reply {
        ClaimReply::Granted => "granted",
        ClaimReply::Held(_) => "held",
        ClaimReply::Unavailable => "unavailable",
    };
    node.metrics.claims.get_or_create(&kind(name)).inc();
    reply
}

/// Commits a claim from this entry, without its shard's owner.
pub(crate) async fn claim_locally(node: &Rc<Node>, shard: ShardId, claim: Claim) -> ClaimReply {
    if node.claim_shards.is_unavailable(node.now()) {
        return ClaimReply::Unavailable;
    }
    let worker = worker(node, shard);
    let ticket = Ticket(node.claim_shards.next_ticket.get());
    node.claim_shards.next_ticket.set(ticket.0 + 1);
    let (sender, receiver) = oneshot::channel();
    worker.waiting.borrow_mut().insert(ticket, sender);
    worker
        .shard
        .borrow_mut()
        .handle(ShardEvent::Submit(ticket, claim));
    if !worker.running.replace(true) {
        spawn_detached(run_worker(node.clone(), shard, worker));
    }
    receiver.await.unwrap_or(ClaimReply::Unavailable)
}

/// Evicts an idle shard, so that its object is read again.
pub(crate) fn evict_shard(node: &Node, shard: ShardId) {
    let mut shards = node.claim_shards.shards.borrow_mut();
    if shards
        .get(&shard)
        .is_some_and(|worker| !worker.running.get())
    {
        shards.remove(&shard);
    }
}

/// Returns the numbers of the shards that this entry owns.
pub(crate) fn owned_shards(node: &Node) -> Vec<u64> {
    let shards = (0..SHARD_COUNT).map(|shard| ShardId { bucket: 0, shard });
    shards
        .filter(|id| remote_owner(node, *id).is_none())
        .map(|id| id.shard)
        .collect()
}

fn remote_owner(node: &Node, shard: ShardId) -> Option<(Name, std::net::SocketAddr)> {
    let peers = node.peers.borrow();
    let serving = peers.serving(node.now());
    let key = format!("claims/{}", shard.shard);
    let order = rendezvous_order(&key, serving.iter());
    let owner = order
        .first()
        .filter(|owner| ***owner != node.settings.name)?;
    peers.address(owner).map(|addr| ((*owner).clone(), addr))
}

fn worker(node: &Node, shard: ShardId) -> Rc<ShardWorker> {
    let mut shards = node.claim_shards.shards.borrow_mut();
    if shards.len() >= SHARD_CAPACITY {
        shards.retain(|_, worker| worker.running.get());
    }
    let worker = shards.entry(shard).or_insert_with(|| {
        Rc::new(ShardWorker {
            shard: RefCell::default(),
            waiting: RefCell::default(),
            running: Cell::new(false),
        })
    });
    worker.clone()
}

/// Commits claims until none are pending. Claims that arrive during the initial
/// pause form the first batch.
async fn run_worker(node: Rc<Node>, id: ShardId, worker: Rc<ShardWorker>) {
    sleep_ms(node.settings.timing.claim_batch_ms).await;
    let mut event = ShardEvent::Flush;
    loop {
        let actions = worker.shard.borrow_mut().handle(event);
        let mut next = None;
        for action in actions {
            match action {
                ShardAction::Reply(ticket, reply) => {
                    if let Some(sender) = worker.waiting.borrow_mut().remove(&ticket) {
                        let _ = sender.send(reply);
                    }
                }
                ShardAction::Load => next = Some(load(&node, id).await),
                ShardAction::Write(version, body) => {
                    next = Some(write(&node, id, version, body).await);
                }
            }
        }
        match next {
            Some(result) => event = result,
            None if worker.shard.borrow().is_idle() => break,
            None => event = ShardEvent::Flush,
        }
    }
    worker.running.set(false);
}

async fn load(node: &Node, id: ShardId) -> ShardEvent {
    node.metrics
        .platform_calls
        .get_or_create(&kind("claim_read"))
        .inc();
    match node.objects.get(&id.object_key()).await {
        Ok(object) => {
            node.claim_shards.unavailable_since.set(None);
            ShardEvent::Loaded(object.map(|object| (object.version.0, object.body.to_vec())))
        }
        Err(_) => note_outage(node),
    }
}

async fn write(node: &Node, id: ShardId, version: Option<u64>, body: Vec<u8>) -> ShardEvent {
    node.metrics
        .platform_calls
        .get_or_create(&kind("claim_write"))
        .inc();
    let condition = version.map_or(Condition::Absent, |version| Condition::At(Version(version)));
    match node.objects.put(&id.object_key(), condition, body).await {
        PutOutcome::Written(version) => ShardEvent::Written(version.0),
        PutOutcome::Conflict => ShardEvent::Conflict,
        PutOutcome::Uncertain => ShardEvent::NoAnswer,
    }
}

fn note_outage(node: &Node) -> ShardEvent {
    node.claim_shards.unavailable_since.set(Some(node.now()));
    ShardEvent::NoAnswer
}
