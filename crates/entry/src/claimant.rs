//! Input and output of the claim shards.

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
use crate::wire::ClaimAsk;

/// Time for which claims are refused at once after the platform gave no answer.
const OUTAGE_MEMORY: Duration = Duration::from_millis(1000);

/// Shards held at once; idle ones beyond it are dropped and read again if
/// needed.
const SHARD_LIMIT: usize = 256;

/// The claim shards that this entry works on.
#[derive(Default)]
pub(crate) struct Claimant {
    shards: RefCell<HashMap<ShardId, Rc<Worker>>>,
    next_ticket: Cell<u64>,
    down_since: Cell<Option<Instant>>,
    /// Nonces of own claims that were sent, with the time until which they are
    /// remembered.
    sent: RefCell<HashMap<u64, Instant>>,
    /// Records of own claims that are under way, by nonce.
    active: RefCell<HashMap<u64, Rc<Record>>>,
}

struct Worker {
    shard: RefCell<Shard>,
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<ClaimReply>>>,
    running: Cell<bool>,
}

impl Claimant {
    /// Remembers that the request of an own claim is about to be sent.
    pub(crate) fn mark_sent(&self, nonce: u64, until: Instant) {
        self.sent.borrow_mut().insert(nonce, until);
    }

    /// Whether the request of an own claim was or may have been sent.
    pub(crate) fn was_sent(&self, nonce: u64) -> bool {
        self.sent.borrow().contains_key(&nonce)
    }

    /// Takes back [`Claimant::mark_sent`], once it is sure that nothing was sent.
    pub(crate) fn unmark_sent(&self, nonce: u64) {
        self.sent.borrow_mut().remove(&nonce);
    }

    /// Notes that a claim is under way for a record.
    pub(crate) fn begin(&self, nonce: u64, record: &Rc<Record>) {
        self.active.borrow_mut().insert(nonce, record.clone());
    }

    /// Notes that a claim is no longer under way.
    pub(crate) fn end(&self, nonce: u64) {
        self.active.borrow_mut().remove(&nonce);
    }

    /// The record whose claim is under way.
    pub(crate) fn active(&self, nonce: u64) -> Option<Rc<Record>> {
        self.active.borrow().get(&nonce).cloned()
    }

    /// Forgets nonces whose keys are no longer accepted.
    pub(crate) fn forget_sent(&self, now: Instant) {
        self.sent.borrow_mut().retain(|_, until| *until > now);
    }

    fn is_down(&self, now: Instant) -> bool {
        self.down_since
            .get()
            .is_some_and(|since| now.duration_since(since) < OUTAGE_MEMORY)
    }
}

/// Commits a claim, through the shard's owner if it can be reached. The owner
/// merely batches; the platform's conditional update decides.
pub(crate) async fn claim(node: &Rc<Node>, shard: ShardId, claim: Claim) -> ClaimReply {
    if let Some((owner, addr)) = remote_owner(node, shard) {
        let ask = ClaimAsk {
            shard,
            claim: claim.clone(),
        };
        match peer_client::claim(node, addr, &ask).await {
            Ok(ClaimReply::Unavailable) => {}
            Ok(reply) => return count(node, reply),
            Err(_) => node.peers.borrow_mut().mark_unreachable(&owner),
        }
    }
    let reply = claim_here(node, shard, claim).await;
    count(node, reply)
}

fn count(node: &Node, reply: ClaimReply) -> ClaimReply {
    let name = match reply {
        ClaimReply::Granted => "granted",
        ClaimReply::Held(_) => "held",
        ClaimReply::Unavailable => "unavailable",
    };
    node.metrics.claims.get_or_create(&kind(name)).inc();
    reply
}

/// Commits a claim from this entry.
pub(crate) async fn claim_here(node: &Rc<Node>, shard: ShardId, claim: Claim) -> ClaimReply {
    if node.claimant.is_down(node.now()) {
        return ClaimReply::Unavailable;
    }
    let worker = worker(node, shard);
    let ticket = Ticket(node.claimant.next_ticket.get());
    node.claimant.next_ticket.set(ticket.0 + 1);
    let (sender, receiver) = oneshot::channel();
    worker.waiting.borrow_mut().insert(ticket, sender);
    worker
        .shard
        .borrow_mut()
        .handle(ShardEvent::Submit(ticket, claim));
    if !worker.running.replace(true) {
        spawn_detached(work(node.clone(), shard, worker));
    }
    receiver.await.unwrap_or(ClaimReply::Unavailable)
}

/// Forgets what is known of a shard, so that its object is read again.
pub(crate) fn forget_shard(node: &Node, shard: ShardId) {
    let mut shards = node.claimant.shards.borrow_mut();
    if shards
        .get(&shard)
        .is_some_and(|worker| !worker.running.get())
    {
        shards.remove(&shard);
    }
}

/// Numbers of the shards that this entry looks after.
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

fn worker(node: &Node, shard: ShardId) -> Rc<Worker> {
    let mut shards = node.claimant.shards.borrow_mut();
    if shards.len() >= SHARD_LIMIT {
        shards.retain(|_, worker| worker.running.get());
    }
    let worker = shards.entry(shard).or_insert_with(|| {
        Rc::new(Worker {
            shard: RefCell::default(),
            waiting: RefCell::default(),
            running: Cell::new(false),
        })
    });
    worker.clone()
}

/// Works until nothing waits. The first wait collects a batch.
async fn work(node: Rc<Node>, id: ShardId, worker: Rc<Worker>) {
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
            node.claimant.down_since.set(None);
            ShardEvent::Loaded(object.map(|object| (object.version.0, object.body.to_vec())))
        }
        Err(_) => no_answer(node),
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

fn no_answer(node: &Node) -> ShardEvent {
    node.claimant.down_since.set(Some(node.now()));
    ShardEvent::NoAnswer
}
