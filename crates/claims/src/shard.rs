//! One claim object and the claims that wait to be written to it.

use lycheehaven_types::Digest;
use lycheehaven_types::HashMap;
use lycheehaven_types::Name;
use serde::Deserialize;
use serde::Serialize;

/// Reloads in a row without progress after which claims are given up.
const RETRY_LIMIT: u32 = 8;

/// Whether a claimed request may have been sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// Its holder may have sent it, or may yet.
    Held,
    /// Its holder recorded that it was not sent and never will be.
    NotRun,
}

/// A claim on an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Digest of workspace and key.
    pub key: Digest,
    /// Digest of the request, to recognize a key used for another one.
    pub request: Digest,
    /// Entry that holds the claim.
    pub holder: Name,
    /// Distinguishes this claim from every other, also of the same holder.
    pub nonce: u64,
    /// State.
    pub state: ClaimState,
}

/// Identifies who waits for a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Ticket(pub u64);

/// Answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The claim is committed under the asked nonce.
    Granted,
    /// Another claim holds the key.
    Held(Claim),
    /// The platform did not answer. The claim may still become committed.
    Unavailable,
}

/// What happened to a shard.
#[derive(Debug)]
pub enum ShardEvent {
    /// A claim is asked for. A claim in state `NotRun` records that its nonce
    /// was given up.
    Submit(Ticket, Claim),
    /// The batch that waits should be written now.
    Flush,
    /// The object was read: its version and body, or that there is none.
    Loaded(Option<(u64, Vec<u8>)>),
    /// The write took effect and made this version.
    Written(u64),
    /// The write's condition did not hold.
    Conflict,
    /// The read or write gave no answer.
    NoAnswer,
}

/// What to do for a shard.
#[derive(Debug, PartialEq, Eq)]
pub enum ShardAction {
    /// Read the object.
    Load,
    /// Write the object if it is at this version, or absent.
    Write(Option<u64>, Vec<u8>),
    /// Answer a claim.
    Reply(Ticket, ClaimReply),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Busy {
    Idle,
    Loading,
    Writing,
}

/// One claim object. At most one read or write is under way at a time.
#[derive(Debug)]
pub struct Shard {
    version: Option<u64>,
    known: bool,
    claims: HashMap<Digest, Claim>,
    asked: Vec<(Ticket, Claim)>,
    in_flight: HashMap<Digest, Claim>,
    busy: Busy,
    retries: u32,
}

impl Shard {
    /// A shard whose object was not read yet.
    pub fn new() -> Self {
        Self {
            version: None,
            known: false,
            claims: HashMap::default(),
            asked: Vec::new(),
            in_flight: HashMap::default(),
            busy: Busy::Idle,
            retries: 0,
        }
    }

    /// Claims known to be committed.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is known.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Whether nothing waits and nothing is under way.
    pub fn is_idle(&self) -> bool {
        self.busy == Busy::Idle && self.asked.is_empty()
    }

    /// Applies an event.
    pub fn handle(&mut self, event: ShardEvent) -> Vec<ShardAction> {
        match event {
            ShardEvent::Submit(ticket, claim) => {
                self.asked.push((ticket, claim));
                Vec::new()
            }
            ShardEvent::Flush => self.proceed(),
            ShardEvent::Loaded(object) => {
                self.busy = Busy::Idle;
                if self.adopt(object) {
                    self.proceed()
                } else {
                    self.give_up()
                }
            }
            ShardEvent::Written(version) => {
                self.busy = Busy::Idle;
                self.retries = 0;
                self.version = Some(version);
                // Claims asked for since the write began are not part of it.
                self.claims = std::mem::take(&mut self.in_flight);
                let mut actions = self.settle();
                actions.extend(self.proceed());
                actions
            }
            ShardEvent::Conflict => {
                self.busy = Busy::Idle;
                self.known = false;
                self.retry()
            }
            ShardEvent::NoAnswer => {
                // A lost answer hides whether the write took effect: read again
                // and recognize the own nonces.
                let was_writing = self.busy == Busy::Writing;
                self.busy = Busy::Idle;
                self.known = false;
                if was_writing {
                    self.retry()
                } else {
                    self.give_up()
                }
            }
        }
    }

    fn proceed(&mut self) -> Vec<ShardAction> {
        if self.busy != Busy::Idle || self.asked.is_empty() {
            return Vec::new();
        }
        if !self.known {
            self.busy = Busy::Loading;
            return vec![ShardAction::Load];
        }
        let mut actions = self.settle();
        if !self.asked.is_empty() {
            self.busy = Busy::Writing;
            self.in_flight = self.merged();
            actions.push(ShardAction::Write(self.version, encode(&self.in_flight)));
        }
        actions
    }

    /// Answers the claims that the committed object already decides.
    fn settle(&mut self) -> Vec<ShardAction> {
        let claims = &self.claims;
        let mut actions = Vec::new();
        self.asked
            .retain(|(ticket, claim)| match decide(claims, claim) {
                Some(reply) => {
                    actions.push(ShardAction::Reply(*ticket, reply));
                    false
                }
                None => true,
            });
        actions
    }

    /// The committed claims with those that wait, the first asked winning.
    fn merged(&self) -> HashMap<Digest, Claim> {
        let mut claims = self.claims.clone();
        for (_, claim) in &self.asked {
            if decide(&claims, claim).is_none() {
                claims.insert(claim.key, claim.clone());
            }
        }
        claims
    }

    /// Takes over the object as read; `false` if its body can't be decoded.
    fn adopt(&mut self, object: Option<(u64, Vec<u8>)>) -> bool {
        let (version, claims) = match object {
            Some((version, body)) => (Some(version), rmp_serde::from_slice(&body).ok()),
            None => (None, Some(Vec::<Claim>::new())),
        };
        let Some(claims) = claims else { return false };
        self.known = true;
        self.version = version;
        self.claims = claims.into_iter().map(|claim| (claim.key, claim)).collect();
        true
    }

    fn retry(&mut self) -> Vec<ShardAction> {
        self.retries += 1;
        if self.retries > RETRY_LIMIT {
            self.give_up()
        } else {
            self.proceed()
        }
    }

    fn give_up(&mut self) -> Vec<ShardAction> {
        self.retries = 0;
        let asked = std::mem::take(&mut self.asked);
        let reply = |(ticket, _)| ShardAction::Reply(ticket, ClaimReply::Unavailable);
        asked.into_iter().map(reply).collect()
    }
}

impl Default for Shard {
    fn default() -> Self {
        Self::new()
    }
}

/// What the committed `claims` mean for `asked`; `None` if it must be written.
fn decide(claims: &HashMap<Digest, Claim>, asked: &Claim) -> Option<ClaimReply> {
    let current = claims.get(&asked.key);
    let same = current.is_some_and(|current| current.nonce == asked.nonce);
    match (asked.state, current) {
        (ClaimState::Held, None) => None,
        (ClaimState::Held, Some(current)) if same => match current.state {
            ClaimState::Held => Some(ClaimReply::Granted),
            // The holder gave this nonce up, so it must not be granted again.
            ClaimState::NotRun => Some(ClaimReply::Unavailable),
        },
        (ClaimState::Held, Some(current)) => match current.state {
            ClaimState::Held => Some(ClaimReply::Held(current.clone())),
            ClaimState::NotRun => None,
        },
        (ClaimState::NotRun, Some(current)) if same => {
            (current.state == ClaimState::NotRun).then_some(ClaimReply::Granted)
        }
        // The nonce was never committed; a late write of it is stopped by the
        // version, so there is nothing to record unless the key is free.
        (ClaimState::NotRun, None) => None,
        (ClaimState::NotRun, Some(_)) => Some(ClaimReply::Granted),
    }
}

fn encode(claims: &HashMap<Digest, Claim>) -> Vec<u8> {
    let mut sorted: Vec<&Claim> = claims.values().collect();
    sorted.sort_by_key(|claim| claim.key);
    rmp_serde::to_vec(&sorted).expect("claims serialize to MessagePack")
}
