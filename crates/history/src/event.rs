//! Recorded events.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Result of a request as its caller observed it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// The caller received the complete answer, which is this text.
    Whole(String),
    /// The caller received a response stating that this send did not run.
    NotRun,
    /// The caller received a response stating that this send ran, but not the
    /// complete answer.
    Ran,
    /// The caller cannot tell whether it ran.
    Unknown,
}

/// A recorded event. Times are in milliseconds of one clock shared by all events.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case", deny_unknown_fields)]
pub enum Event {
    /// A caller sends a request.
    Send {
        /// Time of the event.
        time: u64,
        /// Identifier of this send.
        send: String,
        /// Idempotency key of a request that may run at most once.
        key: Option<String>,
        /// Expected complete answer, if the caller knows it.
        expected: Option<String>,
    },
    /// A caller learns the result of its request.
    End {
        /// Time of the event.
        time: u64,
        /// Identifier of the send.
        send: String,
        /// Result.
        ending: Ending,
    },
    /// An upstream runs a request that may run at most once.
    Run {
        /// Time of the event.
        time: u64,
        /// Idempotency key.
        key: String,
    },
    /// An upstream starts new work.
    Work {
        /// Time of the event.
        time: u64,
        /// Name and incarnation of the VM.
        vm: String,
    },
    /// The platform announces that a VM is leaving.
    Leaving {
        /// Time of the event.
        time: u64,
        /// Name and incarnation of the VM.
        vm: String,
    },
    /// An operator receives the response that a patch was accepted.
    Accepted {
        /// Time of the event.
        time: u64,
        /// Number of the configuration that the patch produced.
        number: u64,
        /// Identifier of the patch.
        writer: String,
    },
    /// The final configuration in the platform contains this patch.
    Recorded {
        /// Number of the configuration that the patch produced.
        number: u64,
        /// Identifier of the patch.
        writer: String,
    },
    /// An entry puts a configuration in force.
    InForce {
        /// Time of the event.
        time: u64,
        /// Name of the entry.
        entry: String,
        /// Incarnation of the entry.
        run: u64,
        /// Number of the configuration.
        number: u64,
    },
}

/// Error for a line that is not an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseError {
    /// Line number, starting at 1.
    pub line: usize,
    /// Cause of the error.
    pub cause: String,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.cause)
    }
}

impl std::error::Error for ParseError {}

/// Parses a history in JSON lines. Empty lines are skipped.
///
/// # Errors
/// If a line is not an event.
pub fn parse(text: &str) -> Result<Vec<Event>, ParseError> {
    let lines = text
        .lines()
        .enumerate()
        .filter(|(_, line)| !line.trim().is_empty());
    lines
        .map(|(index, line)| {
            serde_json::from_str(line).map_err(|cause| ParseError {
                line: index + 1,
                cause: cause.to_string(),
            })
        })
        .collect()
}
