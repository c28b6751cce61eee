//! Accepted requests, each shared by its driver and its readers.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use lycheehaven_limits::Permit;
use lycheehaven_quarantine::Feature;
use lycheehaven_streams::Event;
use lycheehaven_streams::EventOutcome;
use lycheehaven_streams::Phase;
use lycheehaven_streams::Stream;
use lycheehaven_types::Clock;
use lycheehaven_types::Digest;
use lycheehaven_types::ErrorKind;
use lycheehaven_types::Failure;
use lycheehaven_types::Name;
use lycheehaven_types::RequestId;
use lycheehaven_upstream::plain::PlainResponse;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;
use tokio::sync::Notify;

use crate::suspects;

/// API format of a request and its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Shape {
    /// `/v1/completions`.
    Completions,
    /// `/v1/chat/completions`.
    Chat,
    /// A call of a plain service.
    Plain,
}

impl Shape {
    /// Returns the path of the request at an engine.
    pub(crate) fn path(self) -> &'static str {
        match self {
            Self::Completions => "/v1/completions",
            Self::Chat => "/v1/chat/completions",
            Self::Plain => "",
        }
    }
}

/// Immutable part of an accepted request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Request {
    pub(crate) id: RequestId,
    pub(crate) workspace: Name,
    pub(crate) service: Name,
    pub(crate) shape: Shape,
    pub(crate) body: Map<String, Value>,
    /// Digest of workspace, service and body, which is the same when the caller
    /// sends the request again.
    pub(crate) digest: Digest,
    /// Digest of workspace and idempotency key, if there is one.
    pub(crate) key: Option<Digest>,
    pub(crate) prompt_tokens: u64,
    pub(crate) max_tokens: usize,
    /// Time of acceptance, in seconds since the Unix epoch.
    pub(crate) created: u64,
}

/// Instruction to continue a record at another upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Redirect {
    /// Engine that already holds the KV cache; `None` for any upstream.
    pub(crate) target: Option<Name>,
}

/// An accepted request.
pub(crate) struct Record {
    clock: Rc<dyn Clock>,
    pub(crate) request: Request,
    /// What a request that crashes upstreams is recognized by.
    pub(crate) features: Rc<[Feature]>,
    /// When the last attempt began.
    pub(crate) attempted: Cell<Instant>,
    /// Whether the call of a plain service may have been sent, here or by the holder of an
    /// earlier claim.
    pub(crate) is_sent: Cell<bool>,
    /// Number of attempts that were given up because of silence.
    pub(crate) silent_attempts: Cell<u32>,
    pub(crate) stream: RefCell<Stream>,
    /// Notified of changes that readers wait for.
    pub(crate) changed: Notify,
    /// Notified when the driver must check the readers, a redirect or a
    /// hand-over.
    pub(crate) driver_notify: Notify,
    /// Tokens taken by the most advanced reader.
    pub(crate) read_tokens: Cell<usize>,
    /// Number of readers that stream the answer.
    pub(crate) readers: Cell<u32>,
    /// Number of readers that wait for the whole answer.
    pub(crate) waiters: Cell<u32>,
    /// Peer that holds the replica. Without one, tokens are visible
    /// immediately.
    pub(crate) replica: RefCell<Option<Name>>,
    /// Number of tokens that the replica has confirmed.
    pub(crate) replicated_tokens: Cell<usize>,
    /// Whether the replica has confirmed the request itself.
    pub(crate) request_replicated: Cell<bool>,
    /// Whether an update to the replica is queued.
    pub(crate) queued: Cell<bool>,
    /// Leaving upstream that the record is being moved off.
    pub(crate) moving_from: RefCell<Option<Name>>,
    pub(crate) redirect: RefCell<Option<Redirect>>,
    pub(crate) answer: RefCell<Option<PlainResponse>>,
    /// Whether the answer of a plain call may be returned: replication was
    /// attempted, or the call failed.
    pub(crate) answer_ready: Cell<bool>,
    pub(crate) permit: RefCell<Option<Permit>>,
    pub(crate) accepted: Instant,
    /// When the record last had a reader or ended.
    pub(crate) last_used: Cell<Instant>,
    /// Whether a peer was asked to take over the record, which it may have done.
    pub(crate) offered: Cell<bool>,
    /// Whether a peer has taken over the record.
    pub(crate) handed_over: Cell<bool>,
}

impl Record {
    /// Creates a record of `request` with the state of `stream`.
    pub(crate) fn new(request: Request, stream: Stream, clock: Rc<dyn Clock>) -> Self {
        let now = clock.now();
        Self {
            clock,
            features: suspects::features(request.digest, &request.service, &request.body),
            attempted: Cell::new(now),
            is_sent: Cell::new(false),
            silent_attempts: Cell::new(0),
            request,
            stream: RefCell::new(stream),
            changed: Notify::new(),
            driver_notify: Notify::new(),
            read_tokens: Cell::new(0),
            readers: Cell::new(0),
            waiters: Cell::new(0),
            replica: RefCell::new(None),
            replicated_tokens: Cell::new(0),
            request_replicated: Cell::new(false),
            queued: Cell::new(false),
            moving_from: RefCell::new(None),
            redirect: RefCell::new(None),
            answer: RefCell::new(None),
            answer_ready: Cell::new(false),
            permit: RefCell::new(None),
            accepted: now,
            last_used: Cell::new(now),
            offered: Cell::new(false),
            handed_over: Cell::new(false),
        }
    }

    /// Applies an event to the stream, and notifies readers if it changed.
    pub(crate) fn handle(&self, event: Event) -> EventOutcome {
        let outcome = self.stream.borrow_mut().handle(event);
        if outcome == EventOutcome::Applied {
            self.changed.notify_waiters();
        }
        outcome
    }

    /// Restarts the period for which an unused record is kept.
    pub(crate) fn touch(&self) {
        self.last_used.set(self.clock.now());
    }

    /// Marks the request as failed.
    pub(crate) fn fail(&self, kind: ErrorKind, message: impl Into<String>) {
        self.handle(Event::Fail(kind, message.into()));
    }

    /// Returns the number of tokens generated so far.
    pub(crate) fn token_count(&self) -> usize {
        self.stream.borrow().tokens().len()
    }

    /// Returns the number of tokens that may be sent to readers: those that
    /// survive the loss of this entry.
    pub(crate) fn visible_tokens(&self) -> usize {
        let length = self.token_count();
        if self.replica.borrow().is_some() {
            self.replicated_tokens.get().min(length)
        } else {
            length
        }
    }

    /// Returns the number of generated tokens that no reader has taken. It is 0
    /// while a reader waits for the whole answer.
    pub(crate) fn unread_tokens(&self) -> usize {
        if self.waiters.get() > 0 {
            0
        } else {
            self.token_count().saturating_sub(self.read_tokens.get())
        }
    }

    /// Returns whether the record has readers of either kind.
    pub(crate) fn has_readers(&self) -> bool {
        self.readers.get() + self.waiters.get() > 0
    }

    /// Returns whether the answer is complete or the request has failed.
    pub(crate) fn is_over(&self) -> bool {
        self.stream.borrow().is_over()
    }

    /// Returns the upstream of the running attempt.
    pub(crate) fn upstream(&self) -> Option<Name> {
        match self.stream.borrow().phase() {
            Phase::Running(vm) => Some(vm.clone()),
            _ => None,
        }
    }

    /// Returns why the request failed, if it did.
    pub(crate) fn failure(&self) -> Option<Failure> {
        match self.stream.borrow().phase() {
            Phase::Failed(kind, message) => Some(Failure::new(*kind, message.clone())),
            _ => None,
        }
    }

    /// Instructs the driver to continue at `target`, or at any other upstream
    /// if it is `None`.
    pub(crate) fn redirect(&self, target: Option<Name>) {
        *self.redirect.borrow_mut() = Some(Redirect { target });
        self.driver_notify.notify_waiters();
    }

    /// Records that a reader has taken the first `count` tokens.
    pub(crate) fn advance_read(&self, count: usize) {
        if count > self.read_tokens.get() {
            self.read_tokens.set(count);
            self.driver_notify.notify_waiters();
        }
    }

    /// Waits until `done` returns true, checking after every change.
    pub(crate) async fn wait_until(&self, done: impl Fn(&Self) -> bool) {
        loop {
            let changed = self.changed.notified();
            if done(self) {
                return;
            }
            changed.await;
        }
    }
}

/// Registers a reader with its record until dropped.
pub(crate) struct ReaderGuard {
    record: Rc<Record>,
    count: fn(&Record) -> &Cell<u32>,
}

impl ReaderGuard {
    /// Registers a reader that streams the answer.
    pub(crate) fn reader(record: &Rc<Record>) -> Self {
        Self::new(record, |record| &record.readers)
    }

    /// Registers a reader that waits for the whole answer.
    pub(crate) fn waiter(record: &Rc<Record>) -> Self {
        Self::new(record, |record| &record.waiters)
    }

    fn new(record: &Rc<Record>, count: fn(&Record) -> &Cell<u32>) -> Self {
        count(record).set(count(record).get() + 1);
        record.driver_notify.notify_waiters();
        let record = record.clone();
        Self { record, count }
    }

    /// Returns the record.
    pub(crate) fn record(&self) -> &Record {
        &self.record
    }
}

impl Drop for ReaderGuard {
    fn drop(&mut self) {
        let cell = (self.count)(&self.record);
        cell.set(cell.get() - 1);
        self.record.touch();
        self.record.driver_notify.notify_waiters();
    }
}
