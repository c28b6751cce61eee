//! The closed list of error kinds and the answer that each one maps to.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// What is known about whether a failed request had an effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No upstream received the request.
    NotRun,
    /// An upstream ran the request.
    Ran,
    /// An upstream may have run the request.
    Unknown,
}

/// Whether the same request is worth sending again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryAdvice {
    /// Sending the same request again can't succeed.
    Never,
    /// The same request may succeed after the given time.
    After(Duration),
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident $name:literal $status:literal $outcome:ident $retry:expr;)*) => {
        /// Every way in which a request can fail.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// All kinds, in the order of the table.
            pub const ALL: &'static [ErrorKind] = &[$(ErrorKind::$kind,)*];

            /// The kind's name in error bodies, logs and metrics.
            pub fn name(self) -> &'static str {
                match self { $(Self::$kind => $name,)* }
            }

            /// The HTTP status of the answer.
            pub fn status(self) -> u16 {
                match self { $(Self::$kind => $status,)* }
            }

            /// Whether the request had an effect.
            pub fn outcome(self) -> Outcome {
                match self { $(Self::$kind => Outcome::$outcome,)* }
            }

            /// Whether and when to send the request again.
            pub fn retry(self) -> RetryAdvice {
                match self { $(Self::$kind => $retry,)* }
            }
        }
    };
}

const NEVER: RetryAdvice = RetryAdvice::Never;

const fn after(seconds: u64) -> RetryAdvice {
    RetryAdvice::After(Duration::from_secs(seconds))
}

error_kinds! {
    /// The request is malformed.
    BadRequest "bad_request" 400 NotRun NEVER;
    /// The request's headers or body exceed their bound.
    TooLarge "too_large" 413 NotRun NEVER;
    /// The request's body did not arrive in time.
    SlowRequest "slow_request" 408 NotRun after(1);
    /// The bearer key is missing or names no workspace.
    Unauthorized "unauthorized" 401 NotRun NEVER;
    /// No such path or service.
    NotFound "not_found" 404 NotRun NEVER;
    /// The method is not allowed on this path.
    MethodNotAllowed "method_not_allowed" 405 NotRun NEVER;
    /// No record of this request is held by any entry that answered.
    UnknownRequest "unknown_request" 404 Unknown NEVER;
    /// A call that may not be repeated came without an idempotency key.
    KeyRequired "key_required" 400 NotRun NEVER;
    /// The idempotency key was already used for another request.
    KeyReused "key_reused" 422 NotRun NEVER;
    /// The idempotency key is older than claims are kept.
    KeyExpired "key_expired" 409 Unknown NEVER;
    /// The workspace has used up its rate, tokens or concurrency.
    RateLimited "rate_limited" 429 NotRun after(1);
    /// The system has no room for the request.
    Overloaded "overloaded" 503 NotRun after(1);
    /// No upstream of the service can be reached.
    NoUpstream "no_upstream" 503 NotRun after(2);
    /// Claims can't be made while the platform is out of reach.
    ClaimUnavailable "claim_unavailable" 503 NotRun after(2);
    /// Another entry holds the claim and can't be asked for the answer.
    ClaimHeld "claim_held" 409 Unknown after(2);
    /// The upstream was sent the request and did not answer.
    UpstreamLost "upstream_lost" 502 Unknown NEVER;
    /// The request has crashed upstreams and is not sent to further ones.
    Quarantined "quarantined" 422 Ran NEVER;
    /// The deadline passed before the request was sent.
    DeadlineBefore "deadline_before" 504 NotRun after(1);
    /// The deadline passed while the request ran.
    DeadlineWithin "deadline_within" 504 Unknown NEVER;
    /// The request runs on; its answer is to be fetched from another entry.
    Moved "moved" 503 Unknown after(1);
    /// The entry is stopping.
    Draining "draining" 503 NotRun after(1);
    /// The patch's base is not the current configuration number.
    ConfigConflict "config_conflict" 409 NotRun NEVER;
    /// The platform can't be reached, so the configuration can't be changed.
    PlatformUnavailable "platform_unavailable" 503 NotRun after(2);
    /// The platform did not say whether the change took effect.
    PlatformUncertain "platform_uncertain" 504 Unknown after(2);
    /// The configuration is not known, or not known to be the newest.
    ConfigUnknown "config_unknown" 503 NotRun after(1);
    /// The request has crashed upstreams and is not sent to further ones for a
    /// time.
    Suspended "suspended" 503 NotRun after(30);
    /// A fault in this program.
    Internal "internal" 500 Unknown NEVER;
}

/// An error kind with the message for one occurrence of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// Which row of the table applies.
    pub kind: ErrorKind,
    /// What was wrong, for a person.
    pub message: String,
    /// When to come back, if sooner or later than the table says.
    pub retry: Option<Duration>,
}

impl Failure {
    /// Creates a failure of `kind`.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry: None,
        }
    }

    /// Replaces the table's time to come back.
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry = Some(wait);
        self
    }

    /// When to send the request again, if ever.
    pub fn retry_delay(&self) -> Option<Duration> {
        match (self.retry, self.kind.retry()) {
            (Some(wait), _) => Some(wait),
            (None, RetryAdvice::After(wait)) => Some(wait),
            (None, RetryAdvice::Never) => None,
        }
    }

    /// The JSON body of the answer.
    pub fn body(&self) -> ErrorBody {
        ErrorBody {
            error: ErrorDetail {
                kind: self.kind,
                message: self.message.clone(),
                outcome: self.kind.outcome(),
                retry_ms: self.retry_delay().map(|wait| wait.as_millis() as u64),
            },
        }
    }
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.kind.name(), self.message)
    }
}

impl std::error::Error for Failure {}

/// The body of every error answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error itself.
    pub error: ErrorDetail,
}

/// The content of an error answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Row of the error table.
    pub kind: ErrorKind,
    /// What was wrong, for a person.
    pub message: String,
    /// Whether the request had an effect.
    pub outcome: Outcome,
    /// Milliseconds until the same request may succeed; absent if it can't.
    pub retry_ms: Option<u64>,
}
