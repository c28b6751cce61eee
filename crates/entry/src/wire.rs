//! Messages between entries other than the exchange.

use lycheehaven_claims::Claim;
use lycheehaven_claims::ShardId;
use lycheehaven_config::DeclaredConfig;
use lycheehaven_platform::Vm;
use lycheehaven_quarantine::Feature;
use lycheehaven_quarantine::News;
use lycheehaven_streams::Phase;
use lycheehaven_streams::Tokens;
use lycheehaven_types::Incarnation;
use lycheehaven_types::Name;
use lycheehaven_types::RequestId;
use lycheehaven_upstream::plain::PlainResponse;
use serde::Deserialize;
use serde::Serialize;

use crate::record::Request;

/// State that a starting entry fetches from peers, for when the platform is
/// unreachable.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct BootState {
    pub(crate) config: DeclaredConfig,
    pub(crate) vms: Vec<Vm>,
    pub(crate) leaving: Vec<(Name, Incarnation)>,
}

/// Notice of a VM that will be reclaimed or retired, sent immediately by the
/// entry that receives the platform's notice or retires the VM.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct LeavingNotice {
    pub(crate) vm: Name,
    pub(crate) incarnation: Incarnation,
    /// Milliseconds until the reclaim.
    pub(crate) left_ms: u64,
}

/// Update of a record, for its replica.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct RecordUpdate {
    pub(crate) id: RequestId,
    /// The request itself; `None` once the replica has confirmed it.
    pub(crate) request: Option<Request>,
    /// Index of the first of `tokens` in the whole answer.
    pub(crate) offset: usize,
    pub(crate) tokens: Tokens,
    pub(crate) attempt: u32,
    pub(crate) phase: Phase,
    pub(crate) answer: Option<PlainResponse>,
    /// Whether the receiver must take over the record.
    pub(crate) adopt: bool,
    /// Software that generated the tokens, if it is known.
    #[serde(default)]
    pub(crate) software: Option<Name>,
}

/// Greatest numbers in a record, beyond all that entries send. What is added to them does
/// not overflow.
const MAX_ATTEMPT: u32 = 1 << 30;
const MAX_RECORD_TOKENS: u64 = 1 << 40;

impl RecordUpdate {
    /// Returns whether the update can be applied. To be checked for updates received.
    pub(crate) fn is_consistent(&self) -> bool {
        let request = self.request.as_ref();
        self.tokens.is_consistent()
            && self.attempt <= MAX_ATTEMPT
            && request.is_none_or(|request| {
                request.prompt_tokens <= MAX_RECORD_TOKENS
                    && request.max_tokens as u64 <= MAX_RECORD_TOKENS
            })
    }
}

/// Acknowledgement of a [`RecordUpdate`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum UpdateAck {
    /// The replica holds this many tokens.
    Held(usize),
    /// The receiver could not apply the update, for example because it lacks
    /// earlier tokens, and needs the record from its start.
    Missing,
    /// The receiver has taken the record over.
    Taken,
}

/// Request to the owner of a shard to commit a claim.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ClaimRequest {
    pub(crate) shard: ShardId,
    pub(crate) claim: Claim,
}

/// Query to a claim's holder, or to any other entry, for the status of the
/// claimed request.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ClaimQuery {
    pub(crate) claim: Claim,
    pub(crate) shard: ShardId,
}

/// What an entry knows of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ClaimStatus {
    /// It was not and will not be sent.
    NotRun,
    /// It is in progress; the query may be repeated.
    Running,
    /// It was answered.
    Answered(PlainResponse),
    /// It was sent but has no answer, or it is unknown to this entry.
    Unknown,
}

/// Report of the upstreams that were lost under a request, and of the attempt that
/// follows.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct CrashReport {
    pub(crate) features: Vec<Feature>,
    /// What the sender knows of these features.
    pub(crate) news: News,
    /// Entry that sends the report.
    pub(crate) entry: Name,
    /// VM at which the sender wants to run the request; `None` for a report
    /// without an attempt.
    pub(crate) target: Option<Name>,
}

/// Reply to a [`CrashReport`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum SuspectReply {
    /// This entry does not object to the attempt.
    Free,
    /// The same request runs here, or waits here and has precedence.
    Running,
    /// A suspect of this entry runs at the same target.
    Occupied,
}
