//! The closed list of error kinds and the response that each one maps to.

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

/// Whether a request can be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryAdvice {
    /// A retry of the same request can't succeed.
    Never,
    /// A retry may succeed after the given delay.
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
            /// All kinds, in the order of their declaration.
            pub const ALL: &'static [ErrorKind] = &[$(ErrorKind::$kind,)*];

            /// Returns the kind's name in error bodies, logs and metrics.
            pub fn name(self) -> &'static str {
                match self { $(Self::$kind => $name,)* }
            }

            /// Returns the HTTP status of the response.
            pub fn status(self) -> u16 {
                match self { $(Self::$kind => $status,)* }
            }

            /// Returns what is known about whether the request had an effect.
            pub fn outcome(self) -> Outcome {
                match self { $(Self::$kind => Outcome::$outcome,)* }
            }

            /// Returns whether and when to retry the request.
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
    /// The request's headers or body exceed their size limit.
    TooLarge "too_large" 413 NotRun NEVER;
    /// The request's body did not arrive before its timeout.
    SlowRequest "slow_request" 408 NotRun after(1);
    /// The bearer key is missing or belongs to no workspace.
    Unauthorized "unauthorized" 401 NotRun NEVER;
    /// The path or service does not exist.
    NotFound "not_found" 404 NotRun NEVER;
    /// The method is not allowed on this path.
    MethodNotAllowed "method_not_allowed" 405 NotRun NEVER;
    /// No entry that responded holds a record of this request.
    UnknownRequest "unknown_request" 404 Unknown NEVER;
    /// A call that is not repeatable has no idempotency key.
    KeyRequired "key_required" 400 NotRun NEVER;
    /// The idempotency key was already used for another request.
    KeyReused "key_reused" 422 NotRun NEVER;
    /// The idempotency key is older than the retention period of claims.
    KeyExpired "key_expired" 409 Unknown NEVER;
    /// The workspace has exhausted its request, token or concurrency quota.
    RateLimited "rate_limited" 429 NotRun after(1);
    /// The system has no capacity for the request.
    Overloaded "overloaded" 503 NotRun after(1);
    /// No upstream of the service can be reached.
    NoUpstream "no_upstream" 503 NotRun after(2);
    /// It is not known which upstreams can go on with the stream that the request takes up.
    OriginUnknown "origin_unknown" 503 NotRun after(1);
    /// Claims can't be made because the platform is unreachable.
    ClaimUnavailable "claim_unavailable" 503 NotRun after(2);
    /// Another entry holds the claim and can't be asked for the response.
    ClaimHeld "claim_held" 409 Unknown after(2);
    /// The request was sent to an upstream, which did not respond.
    UpstreamLost "upstream_lost" 502 Unknown NEVER;
    /// The request has crashed upstreams and is quarantined.
    Quarantined "quarantined" 422 Ran NEVER;
    /// The deadline passed before the request was sent.
    DeadlineBefore "deadline_before" 504 NotRun after(1);
    /// The deadline passed while the request was running.
    DeadlineWithin "deadline_within" 504 Unknown NEVER;
    /// The request is still running; its response must be fetched from another
    /// entry.
    Moved "moved" 503 Unknown after(1);
    /// The entry is stopping.
    Draining "draining" 503 NotRun after(1);
    /// The patch's base is not the current configuration number.
    ConfigConflict "config_conflict" 409 NotRun NEVER;
    /// The platform is unreachable, so the configuration can't be changed.
    PlatformUnavailable "platform_unavailable" 503 NotRun after(2);
    /// The platform did not confirm whether the change took effect.
    PlatformUncertain "platform_uncertain" 504 Unknown after(2);
    /// The configuration is unknown, or not known to be the newest.
    ConfigUnknown "config_unknown" 503 NotRun after(1);
    /// The request has crashed upstreams and is quarantined temporarily.
    Suspended "suspended" 503 NotRun after(30);
    /// A bug in this program.
    Internal "internal" 500 Unknown NEVER;
}

/// An error kind with the message for one occurrence of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// Error kind, which determines status, outcome and retry advice.
    pub kind: ErrorKind,
    /// Human-readable description.
    pub message: String,
    /// Retry delay that overrides the one of the kind.
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

    /// Overrides the retry delay of the kind.
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry = Some(delay);
        self
    }

    /// Returns the delay before a retry, or `None` if a retry can't succeed.
    pub fn retry_delay(&self) -> Option<Duration> {
        match (self.retry, self.kind.retry()) {
            (Some(delay), _) => Some(delay),
            (None, RetryAdvice::After(delay)) => Some(delay),
            (None, RetryAdvice::Never) => None,
        }
    }

    /// Returns the JSON body of the response.
    pub fn body(&self) -> ErrorBody {
        ErrorBody {
            error: ErrorDetail {
                kind: self.kind,
                message: self.message.clone(),
                outcome: self.kind.outcome(),
                retry_ms: self.retry_delay().map(|delay| delay.as_millis() as u64),
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

/// The body of every error response.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error itself.
    pub error: ErrorDetail,
}

/// The content of an error response.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Error kind.
    pub kind: ErrorKind,
    /// Human-readable description.
    pub message: String,
    /// What is known about whether the request had an effect.
    pub outcome: Outcome,
    /// Milliseconds until the same request may succeed; absent if it can't.
    pub retry_ms: Option<u64>,
}
