//! One in-flight answer.

use lycheehaven_types::ErrorKind;
use lycheehaven_types::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::Tokens;

/// Where a stream stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Needs an upstream.
    Waiting,
    /// An attempt is open at this upstream.
    Running(Name),
    /// The answer is complete, with the engine's reason.
    Finished(String),
    /// The answer won't be completed.
    Failed(ErrorKind, String),
}

/// What happened to a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// An attempt begins at this upstream.
    Begin(Name),
    /// An attempt's token arrived.
    Token {
        /// Number of the attempt.
        attempt: u32,
        /// Position within the whole answer.
        offset: usize,
        /// Text.
        text: String,
    },
    /// An attempt came to its end.
    Finish {
        /// Number of the attempt.
        attempt: u32,
        /// The engine's reason.
        reason: String,
    },
    /// An attempt broke.
    Break {
        /// Number of the attempt.
        attempt: u32,
        /// Why.
        cause: Broken,
    },
    /// The request is given up.
    Abandon(ErrorKind, String),
}

/// Why an attempt broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Broken {
    /// The upstream refused it or could not be connected to.
    Unopened,
    /// The connection broke within the answer.
    Cut,
    /// The attempt was closed to move the stream elsewhere.
    Moved,
    /// The attempt was closed because the caller does not read.
    Unread,
}

/// What an event meant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It changed the stream.
    Applied,
    /// It belongs to an old attempt or repeats a token, and was dropped.
    Stale,
    /// It skips tokens, so the attempt can't be trusted and must be closed.
    Gap,
}

/// One in-flight answer.
#[derive(Debug, Clone)]
pub struct Stream {
    tokens: Tokens,
    attempt: u32,
    phase: Phase,
    unopened: u32,
}

impl Stream {
    /// A stream that needs its first upstream.
    pub fn new() -> Self {
        Self::resume(Tokens::default(), 0, Phase::Waiting)
    }

    /// A stream as another entry left it.
    pub fn resume(tokens: Tokens, attempt: u32, phase: Phase) -> Self {
        let phase = match phase {
            Phase::Running(_) => Phase::Waiting,
            other => other,
        };
        Self {
            tokens,
            attempt,
            phase,
            unopened: 0,
        }
    }

    /// The tokens so far.
    pub fn tokens(&self) -> &Tokens {
        &self.tokens
    }

    /// Number of the last attempt.
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Where the stream stands.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Attempts in a row that found no working upstream.
    pub fn unopened(&self) -> u32 {
        self.unopened
    }

    /// Whether nothing further will happen.
    pub fn is_over(&self) -> bool {
        matches!(self.phase, Phase::Finished(_) | Phase::Failed(..))
    }

    /// Applies an event. Once the stream is over, every event is stale.
    pub fn handle(&mut self, event: Event) -> Verdict {
        if self.is_over() {
            return Verdict::Stale;
        }
        match event {
            Event::Begin(upstream) => {
                self.attempt += 1;
                self.phase = Phase::Running(upstream);
                Verdict::Applied
            }
            Event::Token {
                attempt,
                offset,
                text,
            } => self.token(attempt, offset, &text),
            Event::Finish { attempt, reason } => {
                self.current(attempt, |stream| stream.phase = Phase::Finished(reason))
            }
            Event::Break { attempt, cause } => self.current(attempt, |stream| {
                stream.phase = Phase::Waiting;
                stream.unopened += u32::from(cause == Broken::Unopened);
            }),
            Event::Abandon(kind, message) => {
                self.phase = Phase::Failed(kind, message);
                Verdict::Applied
            }
        }
    }

    fn token(&mut self, attempt: u32, offset: usize, text: &str) -> Verdict {
        if attempt != self.attempt || offset < self.tokens.len() {
            return Verdict::Stale;
        }
        if offset > self.tokens.len() {
            return Verdict::Gap;
        }
        self.tokens.push(text);
        self.unopened = 0;
        Verdict::Applied
    }

    fn current(&mut self, attempt: u32, change: impl FnOnce(&mut Self)) -> Verdict {
        if attempt != self.attempt || !matches!(self.phase, Phase::Running(_)) {
            return Verdict::Stale;
        }
        change(self);
        Verdict::Applied
    }
}

impl Default for Stream {
    fn default() -> Self {
        Self::new()
    }
}
