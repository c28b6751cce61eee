//! Whether the end of a run's response is the end of the stream.

use lycheehaven_adapter::upstream::ResponseHead;
use lycheehaven_net::Discontinuity;
use lycheehaven_net::Framing;
use lycheehaven_net::SseContent;

use super::Relay;
use crate::serve::MAX_RESPONSE_BYTES;

/// What the body of a response is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyKind {
    /// Events. The end within one of them is not the end of the stream.
    Events,
    /// Not declared, and not known so far.
    Undeclared,
    /// Something else, which ends where its framing says.
    Text,
}

impl BodyKind {
    /// Returns what the head of a stream's first response says. Only a framing that marks
    /// the end proves that a text is whole.
    pub(super) fn of_first_run(head: &ResponseHead, framing: Framing) -> Self {
        match framing {
            Framing::Length | Framing::Chunked if head.undeclared => Self::Undeclared,
            Framing::Length | Framing::Chunked | Framing::UntilClose => Self::Events,
        }
    }

    /// Returns what the body is if its next part is `content`.
    pub(super) fn after(self, content: SseContent) -> Self {
        match (self, content) {
            (Self::Undeclared, SseContent::Unknown) => Self::Text,
            (Self::Undeclared, SseContent::Fields | SseContent::ResponseHead) => Self::Events,
            (kind, _) => kind,
        }
    }
}

impl Relay {
    /// Whether the buffered bytes belong to a text, which may be larger than an event.
    pub(super) fn holds_text(&mut self) -> bool {
        let Some(run) = &mut self.run else {
            return false;
        };
        if run.kind == BodyKind::Undeclared {
            run.kind = run.kind.after(self.splitter.rest_content());
        }
        run.kind == BodyKind::Text && self.splitter.pending() <= MAX_RESPONSE_BYTES
    }

    /// Whether a response that ended regularly is a whole text.
    fn is_whole_text(&self) -> bool {
        self.run.as_ref().is_some_and(|run| {
            let kind = run.kind.after(self.splitter.rest_content());
            kind != BodyKind::Events
        })
    }

    /// Returns why the regular end of an upstream's response is not the end of its
    /// stream, or `None` if the stream is complete. An upstream that fails may close
    /// its connection as it does after a response whose length it did not declare.
    pub(super) fn truncation(&self) -> Option<&'static str> {
        let run = self.run.as_ref()?;
        if self.is_whole_text() {
            return None;
        }
        if self.splitter.is_within_event() {
            return Some("the response of the upstream ended within an event");
        }
        match run.framing {
            Framing::Length | Framing::Chunked => None,
            Framing::UntilClose if run.events == 0 => {
                Some("the upstream closed the connection before the first event")
            }
            Framing::UntilClose if self.state.may_be_stopped() => {
                Some("the upstream closed the connection after an attempt to move the run")
            }
            Framing::UntilClose => None,
        }
    }

    /// Checks that the regular end of the run is that of the stream. It is if the stream
    /// has as many tokens as the caller asked for at most.
    pub(super) fn check_end(&self) -> Result<(), Discontinuity> {
        let declared = self.job.output_tokens();
        if declared > 0 && self.state.relayed_tokens.get() >= declared {
            return Ok(());
        }
        self.continuity.check_end()
    }

    /// Logs the regular end of an upstream's response if its framing does not prove
    /// that it is complete, or if it ends within an event.
    pub(super) fn log_end(&self) {
        let Some(run) = &self.run else {
            return;
        };
        let has_proof = run.framing != Framing::UntilClose;
        if has_proof && (self.splitter.is_empty() || self.is_whole_text()) {
            return;
        }
        log::info!(
            target: "lycheehaven",
            request = self.job.id(),
            route = &*self.job.route.name,
            upstream = &*run.key.id,
            framing = run.framing.name(),
            last_event = self.continuity.last().unwrap_or(0),
            incomplete_bytes = self.splitter.pending();
            "the response of the upstream ended without proof that it is complete"
        );
    }
}
