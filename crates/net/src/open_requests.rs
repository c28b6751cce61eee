//! Requests that a server has begun to read and not yet answered whole.
//!
//! A request is open from its first byte until the last byte of its response is with
//! the kernel. [`OpenRequests`] counts them over all connections of a server; an
//! [`Activity`] follows one connection, on which at most one request is open at a time
//! besides those that its client has sent ahead.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use hyper::HeaderMap;
use hyper::header::HeaderValue;

use crate::request_bounds::RequestBounds;
use crate::tasks::CountGuard;

/// What an open request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The rest of its head.
    Head,
    /// The handler.
    Handler,
    /// The body of the response, or the client that reads it.
    Client,
}

impl Phase {
    /// Returns a short name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Head => "request head",
            Self::Handler => "handler",
            Self::Client => "caller",
        }
    }
}

/// An open request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenRequest {
    /// Its identifier, once its head was read.
    pub id: Option<HeaderValue>,
    /// What it waits for.
    pub phase: Phase,
}

impl OpenRequest {
    /// Returns the identifier for logs.
    pub fn id_text(&self) -> &str {
        let text = self.id.as_ref().and_then(|id| id.to_str().ok());
        text.unwrap_or("-")
    }
}

/// Returns the identifier of a request from its headers.
pub type RequestId = fn(&HeaderMap) -> Option<HeaderValue>;

/// The open requests of a server. Clones share them.
#[derive(Debug, Clone)]
pub struct OpenRequests(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    request_id: RequestId,
    next: Cell<u64>,
    count: Cell<usize>,
    is_closing: Cell<bool>,
    discarding: Rc<Cell<usize>>,
    connections: RefCell<BTreeMap<u64, Rc<Activity>>>,
}

impl Default for OpenRequests {
    fn default() -> Self {
        Self::new(|_| None)
    }
}

impl OpenRequests {
    /// Creates the open requests of a server, which are identified by `request_id`.
    pub fn new(request_id: RequestId) -> Self {
        Self(Rc::new(Shared {
            request_id,
            next: Cell::new(0),
            count: Cell::new(0),
            is_closing: Cell::new(false),
            discarding: Rc::default(),
            connections: RefCell::default(),
        }))
    }

    /// Returns the number of open requests.
    pub fn count(&self) -> usize {
        self.0.count.get()
    }

    /// Returns whether a request is open, or a client may still send what is discarded behind
    /// its last answer. The end of the process would reset its connection.
    pub fn has_clients(&self) -> bool {
        self.count() > 0 || self.0.discarding.get() > 0
    }

    /// Counts a connection on which bytes are discarded until the result is dropped.
    pub(crate) fn begin_discard(&self) -> CountGuard {
        CountGuard::new(self.0.discarding.clone())
    }

    /// Returns the open requests in the order of their connections.
    pub fn list(&self) -> Vec<OpenRequest> {
        let connections = self.0.connections.borrow();
        let open = connections.values();
        open.filter_map(|activity| activity.open_request())
            .collect()
    }

    /// Lets all further responses announce that their connection closes.
    pub fn announce_close(&self) {
        self.0.is_closing.set(true);
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.0.is_closing.get()
    }

    /// Follows a new connection until the result is dropped.
    pub(crate) fn connect(&self) -> ActivityGuard {
        let key = self.0.next.get();
        self.0.next.set(key + 1);
        let activity = Rc::new(Activity {
            shared: self.0.clone(),
            phase: Cell::new(None),
            id: RefCell::default(),
            bounds: RefCell::default(),
            has_read: Cell::new(false),
            is_written: Cell::new(true),
            is_refused: Cell::new(false),
            is_body_left: Cell::new(false),
        });
        let mut connections = self.0.connections.borrow_mut();
        connections.insert(key, activity.clone());
        ActivityGuard { key, activity }
    }
}

/// What happens on one connection.
#[derive(Debug)]
pub(crate) struct Activity {
    shared: Rc<Shared>,
    /// What the open request waits for, if one is open.
    phase: Cell<Option<Phase>>,
    id: RefCell<Option<HeaderValue>>,
    bounds: RefCell<RequestBounds>,
    has_read: Cell<bool>,
    /// Whether the whole response was passed to the connection's buffers.
    is_written: Cell<bool>,
    /// Whether the last response was a failure, before which a body may not be read.
    is_refused: Cell<bool>,
    /// Whether the last response was given before the end of a body that is not read.
    is_body_left: Cell<bool>,
}

impl Activity {
    fn set_phase(&self, phase: Option<Phase>) {
        let count = &self.shared.count;
        match (self.phase.replace(phase), phase) {
            (None, Some(_)) => count.set(count.get() + 1),
            (Some(_), None) => count.set(count.get() - 1),
            _ => {}
        }
    }

    /// Returns the open request, if there is one.
    pub(crate) fn open_request(&self) -> Option<OpenRequest> {
        let phase = self.phase.get()?;
        let id = self.id.borrow().clone();
        Some(OpenRequest { id, phase })
    }

    /// Returns whether no request is open.
    pub(crate) fn is_idle(&self) -> bool {
        self.phase.get().is_none()
    }

    /// Returns whether any byte was received.
    pub(crate) fn has_read(&self) -> bool {
        self.has_read.get()
    }

    /// Records bytes that were received.
    pub(crate) fn record_read(&self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        self.has_read.set(true);
        let mut bounds = self.bounds.borrow_mut();
        if self.is_idle() {
            bounds.end_unknown_body();
        }
        bounds.record(bytes);
        if self.is_idle() && bounds.has_next() {
            self.set_phase(Some(Phase::Head));
        }
    }

    /// Records that the head of a request was read whole. Its body has `body_bytes`, if
    /// that is known.
    pub(crate) fn begin_handling(&self, headers: &HeaderMap, body_bytes: Option<u64>) {
        *self.id.borrow_mut() = (self.shared.request_id)(headers);
        self.bounds.borrow_mut().begin_body(body_bytes);
        self.set_phase(Some(Phase::Handler));
    }

    /// Records that the response has begun, which may be a failure.
    pub(crate) fn begin_response(&self, is_refused: bool) {
        self.is_refused.set(is_refused);
        self.is_written.set(false);
        self.set_phase(Some(Phase::Client));
    }

    /// Records whether the rest of the last request's body is left unread.
    pub(crate) fn leave_body(&self, is_left: bool) {
        self.is_body_left.set(is_left);
    }

    /// Records that the whole response was passed to the connection's buffers.
    pub(crate) fn end_response(&self) {
        self.is_written.set(true);
    }

    /// Records that all bytes in the connection's buffers are with the kernel.
    pub(crate) fn record_flush(&self) {
        if self.phase.get() == Some(Phase::Client) && self.is_written.get() {
            self.id.borrow_mut().take();
            let has_next = self.has_next();
            self.set_phase(has_next.then_some(Phase::Head));
        }
    }

    /// Returns whether a byte of a further request was received.
    pub(crate) fn has_next(&self) -> bool {
        self.bounds.borrow().has_next()
    }

    /// Returns whether a part of the last request's body may not have been received.
    pub(crate) fn is_body_unread(&self) -> bool {
        let due = self.body_due();
        self.is_body_left.get() || due.map_or(self.is_refused.get(), |due| due > 0)
    }

    /// Returns the bytes of the last request's body that were not received, or `None` if
    /// its size is unknown.
    pub(crate) fn body_due(&self) -> Option<u64> {
        self.bounds.borrow().body_due()
    }
}

/// Follows a connection until it is dropped.
#[derive(Debug)]
pub(crate) struct ActivityGuard {
    key: u64,
    pub(crate) activity: Rc<Activity>,
}

impl Drop for ActivityGuard {
    fn drop(&mut self) {
        self.activity.set_phase(None);
        let mut connections = self.activity.shared.connections.borrow_mut();
        connections.remove(&self.key);
    }
}

/// Returns whether `bytes` are only line ends, which clients may send between requests.
pub(crate) fn is_blank(bytes: &[u8]) -> bool {
    bytes.iter().all(|byte| matches!(byte, b'\r' | b'\n'))
}
