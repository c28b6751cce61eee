//! One accepted request, shared by its driver and its readers.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use lycheehaven_limits::Permit;
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

/// Shape in which the caller expects the answer.
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
    /// Path of the request at an engine.
    pub(crate) fn path(self) -> &'static str {
        match self {
            Self::Completions => "/v1/completions",
            Self::Chat => "/v1/chat/completions",
            Self::Plain => "",
        }
    }
}

/// What stays the same over a request's life.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Request {
    pub(crate) id: RequestId,
    pub(crate) workspace: Name,
    pub(crate) service: Name,
    pub(crate) shape: Shape,
    pub(crate) body: Map<String, Value>,
    /// Digest of workspace, service and body, the same for each resend.
    pub(crate) digest: Digest,
    /// Digest of workspace and idempotency key, if there is one.
    pub(crate) key: Option<Digest>,
    pub(crate) prompt_tokens: u64,
    pub(crate) max_tokens: usize,
    /// Seconds since the Unix epoch at which the request was accepted.
    pub(crate) created: u64,
}

/// Where a record's tokens go next, when it is told to move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Redirect {
    /// Engine that already holds the KV cache.
    pub(crate) target: Option<Name>,
}

/// An accepted request.
pub(crate) struct Record {
    clock: Rc<dyn Clock>,
    pub(crate) request: Request,
    pub(crate) stream: RefCell<Stream>,
    /// Woken by every change of the fields below or of the stream.
    pub(crate) changed: Notify,
    /// Woken when the driver should look at reading or at a redirect.
    pub(crate) steer: Notify,
    /// Tokens that the furthest reader has taken.
    pub(crate) read: Cell<usize>,
    /// Readers that take the answer token by token.
    pub(crate) readers: Cell<u32>,
    /// Readers that wait for the whole answer.
    pub(crate) waiters: Cell<u32>,
    /// Peer that holds the replica; without one, tokens are shown at once.
    pub(crate) replica: RefCell<Option<Name>>,
    /// Tokens that the replica holds.
    pub(crate) replicated: Cell<usize>,
    /// Whether the replica was sent the request itself.
    pub(crate) introduced: Cell<bool>,
    /// Whether the record waits to be sent to its replica.
    pub(crate) queued: Cell<bool>,
    /// Leaving upstream that the record is being moved off.
    pub(crate) moving: RefCell<Option<Name>>,
    pub(crate) redirect: RefCell<Option<Redirect>>,
    pub(crate) answer: RefCell<Option<PlainResponse>>,
    /// Whether a plain call's answer may be shown: it was copied, or can't be.
    pub(crate) settled: Cell<bool>,
    pub(crate) ticket: RefCell<Option<Permit>>,
    pub(crate) accepted: Instant,
    /// When the record last had a reader or an event.
    pub(crate) touched: Cell<Instant>,
    /// Whether this entry gave the record to a peer.
    pub(crate) given: Cell<bool>,
}

impl Record {
    /// A record of `request` with the state of `stream`.
    pub(crate) fn new(request: Request, stream: Stream, clock: Rc<dyn Clock>) -> Self {
        let now = clock.now();
        Self {
            clock,
            request,
            stream: RefCell::new(stream),
            changed: Notify::new(),
            steer: Notify::new(),
            read: Cell::new(0),
            readers: Cell::new(0),
            waiters: Cell::new(0),
            replica: RefCell::new(None),
            replicated: Cell::new(0),
            introduced: Cell::new(false),
            queued: Cell::new(false),
            moving: RefCell::new(None),
            redirect: RefCell::new(None),
            answer: RefCell::new(None),
            settled: Cell::new(false),
            ticket: RefCell::new(None),
            accepted: now,
            touched: Cell::new(now),
            given: Cell::new(false),
        }
    }

    /// Applies an event and wakes whoever waits.
    pub(crate) fn handle(&self, event: Event) -> EventOutcome {
        let verdict = self.stream.borrow_mut().handle(event);
        if verdict == EventOutcome::Applied {
            self.changed.notify_waiters();
        }
        verdict
    }

    /// Notes that someone took an interest in the record just now.
    pub(crate) fn touch(&self) {
        self.touched.set(self.clock.now());
    }

    /// Gives the request up.
    pub(crate) fn abandon(&self, kind: ErrorKind, message: impl Into<String>) {
        self.handle(Event::Fail(kind, message.into()));
    }

    /// Tokens generated so far.
    pub(crate) fn length(&self) -> usize {
        self.stream.borrow().tokens().len()
    }

    /// Tokens that may be shown to readers: those that survive the loss of
    /// this entry.
    pub(crate) fn visible(&self) -> usize {
        let length = self.length();
        if self.replica.borrow().is_some() {
            self.replicated.get().min(length)
        } else {
            length
        }
    }

    /// Tokens generated that no reader has taken. Whoever waits for the whole
    /// answer counts as having read.
    pub(crate) fn unread(&self) -> usize {
        if self.waiters.get() > 0 {
            0
        } else {
            self.length().saturating_sub(self.read.get())
        }
    }

    /// Whether anyone waits for the answer.
    pub(crate) fn is_attended(&self) -> bool {
        self.readers.get() + self.waiters.get() > 0
    }

    /// Whether the answer is complete or given up.
    pub(crate) fn is_over(&self) -> bool {
        self.stream.borrow().is_over()
    }

    /// The upstream of the running attempt.
    pub(crate) fn upstream(&self) -> Option<Name> {
        match self.stream.borrow().phase() {
            Phase::Running(vm) => Some(vm.clone()),
            _ => None,
        }
    }

    /// Why the request was given up, if it was.
    pub(crate) fn failure(&self) -> Option<Failure> {
        match self.stream.borrow().phase() {
            Phase::Failed(kind, message) => Some(Failure::new(*kind, message.clone())),
            _ => None,
        }
    }

    /// Tells the driver to continue elsewhere.
    pub(crate) fn redirect(&self, target: Option<Name>) {
        *self.redirect.borrow_mut() = Some(Redirect { target });
        self.steer.notify_waiters();
    }

    /// Records that a reader has taken the first `count` tokens.
    pub(crate) fn advance_read(&self, count: usize) {
        if count > self.read.get() {
            self.read.set(count);
            self.steer.notify_waiters();
        }
    }

    /// Waits until `done` holds, checking after every change.
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

/// Counts a reader for as long as it lives.
pub(crate) struct Attendance<'a> {
    record: &'a Record,
    count: fn(&Record) -> &Cell<u32>,
}

impl<'a> Attendance<'a> {
    /// A reader that takes tokens as they come.
    pub(crate) fn reader(record: &'a Record) -> Self {
        Self::enter(record, |record| &record.readers)
    }

    /// A reader that waits for the whole answer.
    pub(crate) fn waiter(record: &'a Record) -> Self {
        Self::enter(record, |record| &record.waiters)
    }

    fn enter(record: &'a Record, count: fn(&Record) -> &Cell<u32>) -> Self {
        count(record).set(count(record).get() + 1);
        record.steer.notify_waiters();
        Self { record, count }
    }
}

impl Drop for Attendance<'_> {
    fn drop(&mut self) {
        let cell = (self.count)(self.record);
        cell.set(cell.get() - 1);
        self.record.touch();
        self.record.steer.notify_waiters();
    }
}
