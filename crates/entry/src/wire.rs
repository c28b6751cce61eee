//! Messages between entries beside the exchange.

use lycheehaven_claims::Claim;
use lycheehaven_claims::ShardId;
use lycheehaven_config::DeclaredConfig;
use lycheehaven_platform::Vm;
use lycheehaven_streams::Phase;
use lycheehaven_streams::Tokens;
use lycheehaven_streams::UpstreamLoss;
use lycheehaven_types::Digest;
use lycheehaven_types::Incarnation;
use lycheehaven_types::Name;
use lycheehaven_types::RequestId;
use lycheehaven_upstream::plain::PlainResponse;
use serde::Deserialize;
use serde::Serialize;

use crate::record::Request;

/// What a starting entry needs while the platform can't be reached.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct BootState {
    pub(crate) config: DeclaredConfig,
    pub(crate) vms: Vec<Vm>,
    pub(crate) leaving: Vec<(Name, Incarnation)>,
}

/// A VM that will be reclaimed, told at once by the first that hears of it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct LeavingNews {
    pub(crate) vm: Name,
    pub(crate) incarnation: Incarnation,
    /// Milliseconds until the reclaim.
    pub(crate) left_ms: u64,
}

/// Growth of a record, for its replica.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct RecordUpdate {
    pub(crate) id: RequestId,
    /// The request itself, in the first update to a replica.
    pub(crate) request: Option<Request>,
    /// Position of the first of `tokens`.
    pub(crate) offset: usize,
    pub(crate) tokens: Tokens,
    pub(crate) attempt: u32,
    pub(crate) phase: Phase,
    pub(crate) answer: Option<PlainResponse>,
    /// Whether the receiver shall take the record over.
    pub(crate) adopt: bool,
}

/// Answer to a [`RecordUpdate`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum UpdateAck {
    /// The replica holds this many tokens.
    Held(usize),
    /// The replica needs the record from its start.
    Missing,
    /// The receiver has taken the record over.
    Taken,
}

/// Asks the shard's owner to commit a claim.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ClaimAsk {
    pub(crate) shard: ShardId,
    pub(crate) claim: Claim,
}

/// Asks a claim's holder, or any entry, what became of the request.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ClaimQuery {
    pub(crate) claim: Claim,
    pub(crate) shard: ShardId,
}

/// What an entry knows of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ClaimStatus {
    /// It was not sent and never will be.
    NotRun,
    /// It is under way; ask again.
    Running,
    /// It was answered.
    Answered(PlainResponse),
    /// It was sent without an answer, or is not known here.
    Unknown,
}

/// Tells that a request lost upstreams and is about to be tried again.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct SuspectNews {
    pub(crate) digest: Digest,
    pub(crate) losses: Vec<UpstreamLoss>,
    /// Whether the request is refused from now on.
    pub(crate) refused: bool,
    /// Entry that wants to try it.
    pub(crate) entry: Name,
    /// Where it wants to try it; `None` if it only tells.
    pub(crate) target: Option<Name>,
}

/// Answer to [`SuspectNews`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum SuspectReply {
    /// Nothing stands against the attempt.
    Free,
    /// The same request runs here, or waits here with precedence.
    Running,
    /// Another suspect runs at the same target.
    Occupied,
}
