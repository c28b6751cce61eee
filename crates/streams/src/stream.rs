//! State machine of one in-flight answer.

use lycheehaven_types::ErrorKind;
use lycheehaven_types::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::Tokens;

/// State of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The stream needs an upstream.
    Waiting,
    /// An attempt runs at this upstream.
    Running(Name),
    /// The answer is complete, with the engine's finish reason.
    Finished(String),
    /// The answer will not be completed.
    Failed(ErrorKind, String),
}

/// Input of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// An attempt begins.
    Begin {
        /// Upstream of the attempt.
        upstream: Name,
        /// Version of the upstream's software.
        software: Name,
    },
    /// An attempt produced a token.
    Token {
        /// Number of the attempt.
        attempt: u32,
        /// Position of the token within the whole answer.
        offset: usize,
        /// Text of the token.
        text: String,
    },
    /// An attempt completed the answer.
    Finish {
        /// Number of the attempt.
        attempt: u32,
        /// Number of tokens of the whole answer.
        offset: usize,
        /// The engine's finish reason.
        reason: String,
    },
    /// An attempt ended before the answer was complete.
    Interrupt {
        /// Number of the attempt.
        attempt: u32,
        /// Why it ended.
        cause: InterruptCause,
    },
    /// The request fails and is not attempted again.
    Fail(ErrorKind, String),
}

/// Why an attempt ended before the answer was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InterruptCause {
    /// The upstream refused the attempt or could not be connected to.
    NotStarted,
    /// The connection was lost within the answer.
    ConnectionLost,
    /// The attempt was closed to move the stream to another upstream.
    Moved,
    /// The attempt was closed because the caller does not read.
    Unread,
}

/// Effect of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventOutcome {
    /// The event changed the stream.
    Applied,
    /// The event belongs to an earlier attempt or repeats a token, and was
    /// dropped.
    Stale,
    /// The token is not the next one, or the answer ends before it. The attempt has lost
    /// tokens and must be closed.
    Gap,
}

/// One in-flight answer.
#[derive(Debug, Clone)]
pub struct Stream {
    tokens: Tokens,
    attempt: u32,
    phase: Phase,
    failed_starts: u32,
    /// Software of the attempt that generated the first token, or before it of the last
    /// attempt.
    software: Option<Name>,
}

impl Stream {
    /// Creates a stream without tokens that needs its first upstream.
    pub fn new() -> Self {
        Self::resume(Tokens::default(), 0, Phase::Waiting, None)
    }

    /// Creates a stream from the state that another entry replicated. A running
    /// attempt is not taken over; the stream needs an upstream again, with the same
    /// `software` if there are tokens.
    pub fn resume(tokens: Tokens, attempt: u32, phase: Phase, software: Option<Name>) -> Self {
        let phase = match phase {
            Phase::Running(_) => Phase::Waiting,
            other => other,
        };
        Self {
            tokens,
            attempt,
            phase,
            failed_starts: 0,
            software,
        }
    }

    /// Returns the tokens received so far.
    pub fn tokens(&self) -> &Tokens {
        &self.tokens
    }

    /// Returns the number of the last attempt; 0 before the first.
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Returns the software that generated the tokens so far and must generate the rest.
    /// `None` without tokens, and if it is not known.
    pub fn software(&self) -> Option<&Name> {
        self.software.as_ref().filter(|_| !self.tokens.is_empty())
    }

    /// Returns the state of the stream.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Returns the number of attempts since the last token that ended with
    /// [`InterruptCause::NotStarted`].
    pub fn failed_starts(&self) -> u32 {
        self.failed_starts
    }

    /// Returns whether the stream has finished or failed.
    pub fn is_over(&self) -> bool {
        matches!(self.phase, Phase::Finished(_) | Phase::Failed(..))
    }

    /// Applies an event. Once the stream is over, every event is stale.
    pub fn handle(&mut self, event: Event) -> EventOutcome {
        if self.is_over() {
            return EventOutcome::Stale;
        }
        match event {
            Event::Begin { upstream, software } => {
                if self.tokens.is_empty() {
                    self.software = Some(software);
                }
                self.attempt += 1;
                self.phase = Phase::Running(upstream);
                EventOutcome::Applied
            }
            Event::Token {
                attempt,
                offset,
                text,
            } => self.apply_token(attempt, offset, &text),
            Event::Finish {
                attempt,
                offset,
                reason,
            } => self.apply_finish(attempt, offset, reason),
            Event::Interrupt { attempt, cause } => self.apply_if_current(attempt, |stream| {
                stream.phase = Phase::Waiting;
                stream.failed_starts += u32::from(cause == InterruptCause::NotStarted);
            }),
            Event::Fail(kind, message) => {
                self.phase = Phase::Failed(kind, message);
                EventOutcome::Applied
            }
        }
    }

    fn apply_token(&mut self, attempt: u32, offset: usize, text: &str) -> EventOutcome {
        if attempt != self.attempt || offset < self.tokens.len() {
            return EventOutcome::Stale;
        }
        if offset > self.tokens.len() {
            return EventOutcome::Gap;
        }
        self.tokens.push(text);
        self.failed_starts = 0;
        EventOutcome::Applied
    }

    fn apply_finish(&mut self, attempt: u32, offset: usize, reason: String) -> EventOutcome {
        if attempt == self.attempt && offset > self.tokens.len() {
            return EventOutcome::Gap;
        }
        self.apply_if_current(attempt, |stream| stream.phase = Phase::Finished(reason))
    }

    fn apply_if_current(&mut self, attempt: u32, change: impl FnOnce(&mut Self)) -> EventOutcome {
        if attempt != self.attempt || !matches!(self.phase, Phase::Running(_)) {
            return EventOutcome::Stale;
        }
        change(self);
        EventOutcome::Applied
    }
}

impl Default for Stream {
    fn default() -> Self {
        Self::new()
    }
}
