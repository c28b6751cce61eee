//! Bodies of received requests, whose unread rest returns to the connection.

use std::cell::Cell;
use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use hyper::body::Body as _;
use hyper::body::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;

/// The body of a received request.
///
/// `hyper` closes a connection whose request body is dropped before its end, also when
/// the answer has not said so. So a body that is dropped before its request is answered
/// is kept for the connection, which decides what becomes of it.
#[derive(Debug)]
pub struct Incoming {
    /// `None` only while it is dropped.
    body: Option<hyper::body::Incoming>,
    state: Rc<BodyState>,
}

/// What a connection knows of a body that a handler has.
#[derive(Debug, Default)]
pub(crate) struct BodyState {
    is_ended: Cell<bool>,
    has_failed: Cell<bool>,
    is_answered: Cell<bool>,
    dropped: RefCell<Option<hyper::body::Incoming>>,
}

impl BodyState {
    /// Whether the body was read to its end.
    pub(crate) fn is_ended(&self) -> bool {
        self.is_ended.get()
    }

    /// Whether the body is malformed or its connection has ended.
    pub(crate) fn has_failed(&self) -> bool {
        self.has_failed.get()
    }

    /// Records that the request is answered, and returns the body if the handler has
    /// dropped it before its end.
    pub(crate) fn answer(&self) -> Option<hyper::body::Incoming> {
        self.is_answered.set(true);
        self.dropped.take()
    }
}

impl Incoming {
    pub(crate) fn new(body: hyper::body::Incoming) -> (Self, Rc<BodyState>) {
        let state = Rc::new(BodyState::default());
        state.is_ended.set(body.is_end_stream());
        let shared = state.clone();
        let body = Some(body);
        (Self { body, state }, shared)
    }
}

impl hyper::body::Body for Incoming {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let Some(body) = &mut self.body else {
            return Poll::Ready(None);
        };
        let polled = Pin::new(&mut *body).poll_frame(cx);
        let is_end_stream = body.is_end_stream();
        match &polled {
            Poll::Ready(Some(Err(_))) => self.state.has_failed.set(true),
            Poll::Ready(None) => self.state.is_ended.set(true),
            Poll::Ready(Some(Ok(_))) => self.state.is_ended.set(is_end_stream),
            Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_none_or(|body| body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        self.body
            .as_ref()
            .map_or_else(|| SizeHint::with_exact(0), |body| body.size_hint())
    }
}

impl Drop for Incoming {
    fn drop(&mut self) {
        if !self.state.is_answered.get() {
            *self.state.dropped.borrow_mut() = self.body.take();
        }
    }
}

/// Reads and discards the rest of the last request's body behind its answer.
#[derive(Default)]
pub(crate) struct RestReader {
    reading: RefCell<Option<Reading>>,
    has_expired: Cell<bool>,
}

struct Reading {
    body: hyper::body::Incoming,
    timeout: Pin<Box<dyn Future<Output = ()>>>,
}

impl RestReader {
    /// Begins to read `body`, which has to end within `wait`.
    pub(crate) fn begin(&self, body: hyper::body::Incoming, wait: Duration) {
        let timeout = Box::pin(compio::time::sleep(wait));
        *self.reading.borrow_mut() = Some(Reading { body, timeout });
    }

    /// Whether a rest is being read.
    pub(crate) fn is_reading(&self) -> bool {
        self.reading.borrow().is_some()
    }

    /// Whether a rest did not come in time.
    pub(crate) fn has_expired(&self) -> bool {
        self.has_expired.get()
    }

    /// Reads on. It is ready when a rest has ended, and pending while there is none.
    pub(crate) fn poll(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut slot = self.reading.borrow_mut();
        let Some(reading) = slot.as_mut() else {
            return Poll::Pending;
        };
        loop {
            match Pin::new(&mut reading.body).poll_frame(cx) {
                Poll::Ready(Some(Ok(_))) => {}
                Poll::Ready(Some(Err(_)) | None) => break,
                Poll::Pending if reading.timeout.as_mut().poll(cx).is_ready() => {
                    self.has_expired.set(true);
                    break;
                }
                Poll::Pending => return Poll::Pending,
            }
        }
        *slot = None;
        Poll::Ready(())
    }
}
