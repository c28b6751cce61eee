//! What is recorded.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// How a call ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// The whole answer, as its caller received it.
    Whole(String),
    /// The caller was told that this send did not run.
    NotRun,
    /// The caller was told that it ran, without the whole answer.
    Ran,
    /// The caller can't tell.
    Unknown,
}

/// One recorded event. Times are milliseconds on one clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case", deny_unknown_fields)]
pub enum Event {
    /// A caller sends a request.
    Send {
        /// When.
        time: u64,
        /// Identifies this send.
        send: String,
        /// Idempotency key of a request that may run at most once.
        key: Option<String>,
        /// The whole answer, where the caller can know it.
        expected: Option<String>,
    },
    /// A caller learns how its request ended.
    End {
        /// When.
        time: u64,
        /// The send.
        send: String,
        /// How.
        ending: Ending,
    },
    /// An upstream runs a request that may run at most once.
    Run {
        /// When.
        time: u64,
        /// Idempotency key.
        key: String,
    },
    /// An upstream takes on new work.
    Work {
        /// When.
        time: u64,
        /// VM and incarnation.
        vm: String,
    },
    /// It is announced that a VM leaves.
    Leaving {
        /// When.
        time: u64,
        /// VM and incarnation.
        vm: String,
    },
    /// An operator is told that a patch was accepted.
    Accepted {
        /// When.
        time: u64,
        /// Number that the patch made.
        number: u64,
        /// Identifier of the patch.
        writer: String,
    },
    /// The configuration in the platform at the end names this patch.
    Recorded {
        /// Number that the patch made.
        number: u64,
        /// Identifier of the patch.
        writer: String,
    },
    /// An entry puts a configuration in force.
    InForce {
        /// When.
        time: u64,
        /// Entry.
        entry: String,
        /// Which run of the entry.
        run: u64,
        /// Number of the configuration.
        number: u64,
    },
}

/// A line that is not an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseError {
    /// Number of the line, from 1.
    pub line: usize,
    /// What is wrong with it.
    pub cause: String,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.cause)
    }
}

impl std::error::Error for ParseError {}

/// Parses a history of JSON lines. Empty lines are skipped.
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
