//! Logs and counts answers that callers do not get whole, with the planned work beside
//! which that happens.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hyper::header::HeaderValue;
use lycheehaven_types::ErrorKind;

use crate::node::Node;

/// Time after planned work for which answers that are cut count as beside it: until all
/// entries have applied it, and the requests that it delayed have ended.
const PLANNED_EFFECT: Duration = Duration::from_secs(3);

/// Why a caller does not get a whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Cut {
    /// The system reports a failure of a request that may have run.
    Failure(ErrorKind),
    /// A stream ends before its last event.
    Stream,
    /// The task that handles the request panicked.
    Panic,
    /// The caller's connection closed before the response began.
    Disconnect,
}

impl Cut {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Failure(kind) => kind.name(),
            Self::Stream => "stream",
            Self::Panic => "panic",
            Self::Disconnect => "disconnect",
        }
    }
}

/// Planned work of the operator at this entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Planned {
    None,
    Stop,
    Hangup,
    Configuration,
}

impl Planned {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Stop => "stop",
            Self::Hangup => "hangup",
            Self::Configuration => "configuration",
        }
    }
}

/// When planned work was last done at this entry.
#[derive(Debug, Default)]
pub(crate) struct PlannedWork {
    hangup: Cell<Option<Instant>>,
    configuration: Cell<Option<Instant>>,
}

impl PlannedWork {
    pub(crate) fn record_hangup(&self, now: Instant) {
        self.hangup.set(Some(now));
    }

    pub(crate) fn record_configuration(&self, now: Instant) {
        self.configuration.set(Some(now));
    }

    /// Returns the planned work whose effect lasts at `now`.
    fn present(&self, stopping: bool, now: Instant) -> Planned {
        let lasts = |at: &Cell<Option<Instant>>| {
            at.get()
                .is_some_and(|at| now.saturating_duration_since(at) < PLANNED_EFFECT)
        };
        match (stopping, lasts(&self.hangup), lasts(&self.configuration)) {
            (true, _, _) => Planned::Stop,
            (_, true, _) => Planned::Hangup,
            (_, _, true) => Planned::Configuration,
            _ => Planned::None,
        }
    }
}

/// Counts an answer that is cut, and returns the planned work it is beside.
pub(crate) fn record_cut(node: &Node, cut: Cut) -> Planned {
    let planned = node.planned.present(node.stopping.get(), node.now());
    node.metrics.record_cut(cut, planned);
    planned
}

/// Watches over a request until its response begins. If it is dropped before, the caller
/// gets no response.
pub(crate) struct ResponseGuard {
    node: Rc<Node>,
    id: Option<HeaderValue>,
    received: Instant,
    is_answered: bool,
}

impl ResponseGuard {
    pub(crate) fn new(node: &Rc<Node>, id: Option<HeaderValue>, received: Instant) -> Self {
        Self {
            node: node.clone(),
            id,
            received,
            is_answered: false,
        }
    }

    /// Records that the response begins.
    pub(crate) fn answered(mut self) {
        self.is_answered = true;
    }
}

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        let cut = match std::thread::panicking() {
            true => Cut::Panic,
            false => Cut::Disconnect,
        };
        let planned = record_cut(&self.node, cut);
        let age = self.node.now().saturating_duration_since(self.received);
        log::info!(
            target: "lycheehaven",
            request = self.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-"),
            cause = cut.name(),
            beside = planned.name(),
            after_ms = age.as_millis() as u64;
            "request ended without a response"
        );
    }
}
