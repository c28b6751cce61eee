//! One claim object and the claims pending to be written to it.

use lycheehaven_types::Digest;
use lycheehaven_types::HashMap;
use lycheehaven_types::Name;
use serde::Deserialize;
use serde::Serialize;

/// Consecutive retries after which pending claims are reported as unavailable.
const MAX_RETRIES: u32 = 8;

/// Whether a claimed request may have been sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// Its holder may have sent it or may still send it.
    Held,
    /// Its holder recorded that it was not sent and never will be.
    NotRun,
}

/// A claim on an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Digest of the workspace and the key.
    pub key: Digest,
    /// Digest of the request, which reveals that a key is reused for another
    /// request.
    pub request: Digest,
    /// Entry that holds the claim.
    pub holder: Name,
    /// Distinguishes this claim from all others, including those of its holder.
    pub nonce: u64,
    /// State of the claim.
    pub state: ClaimState,
}

/// Identifies a submitted claim in its [`ShardAction::Reply`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Ticket(pub u64);

/// Reply to a submitted claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The claim is committed under its nonce.
    Granted,
    /// Another claim holds the key.
    Held(Claim),
    /// The platform did not answer. The claim may still be committed later.
    Unavailable,
}

/// Input of a [`Shard`].
#[derive(Debug)]
pub enum ShardEvent {
    /// A claim is submitted. One in state [`ClaimState::NotRun`] records that the
    /// request under its nonce was not sent.
    Submit(Ticket, Claim),
    /// The pending batch is to be written now.
    Flush,
    /// The object was read: its version and body, or `None` if it is absent.
    Loaded(Option<(u64, Vec<u8>)>),
    /// The write succeeded and produced this version.
    Written(u64),
    /// The write was rejected because its condition did not hold.
    Conflict,
    /// The read or write got no answer. The write may have taken effect.
    NoAnswer,
}

/// Output of a [`Shard`].
#[derive(Debug, PartialEq, Eq)]
pub enum ShardAction {
    /// Read the object.
    Load,
    /// Write the object, provided that it is at this version, or absent if
    /// `None`.
    Write(Option<u64>, Vec<u8>),
    /// Reply to a submitted claim.
    Reply(Ticket, ClaimReply),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum IoState {
    Idle,
    Loading,
    Writing,
}

/// State machine of one claim object. At most one read or write is in flight at a
/// time.
#[derive(Debug)]
pub struct Shard {
    version: Option<u64>,
    is_loaded: bool,
    claims: HashMap<Digest, Claim>,
    pending: Vec<(Ticket, Claim)>,
    writing: HashMap<Digest, Claim>,
    io: IoState,
    retries: u32,
}

impl Shard {
    /// Creates a shard whose object has not been read.
    pub fn new() -> Self {
        Self {
            version: None,
            is_loaded: false,
            claims: HashMap::default(),
            pending: Vec::new(),
            writing: HashMap::default(),
            io: IoState::Idle,
            retries: 0,
        }
    }

    /// Returns the number of claims known to be committed.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no claim is known to be committed.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns whether no claim is pending and no read or write is in flight.
    pub fn is_idle(&self) -> bool {
        self.io == IoState::Idle && self.pending.is_empty()
    }

    /// Applies an event and returns the actions to perform.
    pub fn handle(&mut self, event: ShardEvent) -> Vec<ShardAction> {
        match event {
            ShardEvent::Submit(ticket, claim) => {
                self.pending.push((ticket, claim));
                Vec::new()
            }
            ShardEvent::Flush => self.advance(),
            ShardEvent::Loaded(object) => {
                self.io = IoState::Idle;
                if self.load(object) {
                    self.advance()
                } else {
                    self.fail_pending()
                }
            }
            ShardEvent::Written(version) => {
                self.io = IoState::Idle;
                self.retries = 0;
                self.version = Some(version);
                // Claims submitted after the write began are not part of it.
                self.claims = std::mem::take(&mut self.writing);
                let mut actions = self.reply_decided();
                actions.extend(self.advance());
                actions
            }
            ShardEvent::Conflict => {
                self.io = IoState::Idle;
                self.is_loaded = false;
                self.retry()
            }
            ShardEvent::NoAnswer => {
                // It is unknown whether the write took effect. The object is read
                // again, and the nonces identify the claims that were committed.
                let was_writing = self.io == IoState::Writing;
                self.io = IoState::Idle;
                self.is_loaded = false;
                if was_writing {
                    self.retry()
                } else {
                    self.fail_pending()
                }
            }
        }
    }

    fn advance(&mut self) -> Vec<ShardAction> {
        if self.io != IoState::Idle || self.pending.is_empty() {
            return Vec::new();
        }
        if !self.is_loaded {
            self.io = IoState::Loading;
            return vec![ShardAction::Load];
        }
        let mut actions = self.reply_decided();
        if !self.pending.is_empty() {
            self.io = IoState::Writing;
            self.writing = self.merged();
            actions.push(ShardAction::Write(self.version, encode(&self.writing)));
        }
        actions
    }

    /// Replies to the pending claims that the committed ones already decide.
    fn reply_decided(&mut self) -> Vec<ShardAction> {
        let claims = &self.claims;
        let mut actions = Vec::new();
        self.pending
            .retain(|(ticket, claim)| match decide(claims, claim) {
                Some(reply) => {
                    actions.push(ShardAction::Reply(*ticket, reply));
                    false
                }
                None => true,
            });
        actions
    }

    /// Returns the committed claims merged with the pending ones; the claim that
    /// was submitted first wins.
    fn merged(&self) -> HashMap<Digest, Claim> {
        let mut claims = self.claims.clone();
        for (_, claim) in &self.pending {
            if decide(&claims, claim).is_none() {
                claims.insert(claim.key, claim.clone());
            }
        }
        claims
    }

    /// Loads the object as read. Returns `false` if its body can't be decoded.
    fn load(&mut self, object: Option<(u64, Vec<u8>)>) -> bool {
        let (version, claims) = match object {
            Some((version, body)) => (Some(version), rmp_serde::from_slice(&body).ok()),
            None => (None, Some(Vec::<Claim>::new())),
        };
        let Some(claims) = claims else { return false };
        self.is_loaded = true;
        self.version = version;
        self.claims = claims.into_iter().map(|claim| (claim.key, claim)).collect();
        true
    }

    fn retry(&mut self) -> Vec<ShardAction> {
        self.retries += 1;
        if self.retries > MAX_RETRIES {
            self.fail_pending()
        } else {
            self.advance()
        }
    }

    fn fail_pending(&mut self) -> Vec<ShardAction> {
        self.retries = 0;
        let pending = std::mem::take(&mut self.pending);
        let reply = |(ticket, _)| ShardAction::Reply(ticket, ClaimReply::Unavailable);
        pending.into_iter().map(reply).collect()
    }
}

impl Default for Shard {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the reply to `submitted` given the committed `claims`, or `None` if it
/// must be written.
fn decide(claims: &HashMap<Digest, Claim>, submitted: &Claim) -> Option<ClaimReply> {
    let committed = claims.get(&submitted.key);
    let same_nonce = committed.is_some_and(|committed| committed.nonce == submitted.nonce);
    match (submitted.state, committed) {
        (ClaimState::Held, None) => None,
        (ClaimState::Held, Some(committed)) if same_nonce => match committed.state {
            ClaimState::Held => Some(ClaimReply::Granted),
            // The holder recorded this nonce as not sent, so it must not be granted.
            ClaimState::NotRun => Some(ClaimReply::Unavailable),
        },
        (ClaimState::Held, Some(committed)) => match committed.state {
            ClaimState::Held => Some(ClaimReply::Held(committed.clone())),
            ClaimState::NotRun => None,
        },
        (ClaimState::NotRun, Some(committed)) if same_nonce => {
            (committed.state == ClaimState::NotRun).then_some(ClaimReply::Granted)
        }
        // The nonce is not committed. A late write of it fails on the object's
        // version, so it needs to be recorded only while the key is free.
        (ClaimState::NotRun, None) => None,
        (ClaimState::NotRun, Some(_)) => Some(ClaimReply::Granted),
    }
}

fn encode(claims: &HashMap<Digest, Claim>) -> Vec<u8> {
    let mut sorted: Vec<&Claim> = claims.values().collect();
    sorted.sort_by_key(|claim| claim.key);
    rmp_serde::to_vec(&sorted).expect("claims serialize to MessagePack")
}
