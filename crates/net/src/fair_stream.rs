//! A connection that cannot keep the event loop busy on its own.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use hyper::body::Buf;
use hyper::body::Bytes;
use hyper::rt::Read;
use hyper::rt::ReadBuf;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;

use crate::open_requests::Activity;

/// Bytes that are read at once.
const READ_BYTES: usize = 8192;

/// Bytes after which a connection lets other tasks run.
const YIELD_BYTES: usize = 64 * 1024;

/// Most bytes that a client reads after a write: the largest response with its head and
/// framing.
const MAX_RESPONSE_BYTES: u64 = 16 * 1024 * 1024;

/// A byte stream for `hyper` that yields to the event loop while bytes keep arriving.
///
/// `hyper` reads on as long as bytes are available and it needs more, for example
/// within a chunk size of endless zeros. Without a pause no timer would fire, and
/// neither this request nor any other would end.
#[derive(Debug)]
pub struct FairStream<S> {
    inner: S,
    /// Bytes read since the stream was last pending.
    unyielded: usize,
    /// Bytes that may still be read until the next write.
    left: u64,
    limit: u64,
    /// Bytes that were received earlier and are read first.
    prefix: Bytes,
    /// What is told of the bytes of a server's connection.
    activity: Option<Rc<Activity>>,
    /// Whether bytes were written that may not be with the kernel yet.
    is_writing: Rc<Cell<bool>>,
    /// Why a client can't write any more.
    write_error: Option<io::ErrorKind>,
}

impl<S> FairStream<S> {
    /// Wraps a client's connection. Reading fails after a response that is too large.
    pub fn for_client(inner: S) -> Self {
        Self::new(inner, MAX_RESPONSE_BYTES)
    }

    /// Wraps a server's connection, and tells `activity` what happens on it.
    pub(crate) fn for_server(inner: S, activity: Rc<Activity>) -> Self {
        Self {
            activity: Some(activity),
            ..Self::new(inner, u64::MAX)
        }
    }

    /// Lets `prefix`, which was received earlier, be read again first.
    pub(crate) fn with_prefix(mut self, prefix: Bytes) -> Self {
        self.prefix = prefix;
        self
    }

    fn new(inner: S, limit: u64) -> Self {
        Self {
            inner,
            unyielded: 0,
            left: limit,
            limit,
            prefix: Bytes::new(),
            activity: None,
            is_writing: Rc::default(),
            write_error: None,
        }
    }

    /// Returns what tells whether bytes were written that may not be with the kernel yet.
    pub fn is_writing(&self) -> Rc<Cell<bool>> {
        self.is_writing.clone()
    }

    fn record_read(&self, bytes: &[u8]) {
        if let Some(activity) = &self.activity {
            activity.record_read(bytes);
        }
    }

    /// Reads from the prefix.
    fn read_prefix(&mut self, buf: &mut ReadBufCursor<'_>) {
        let size = self.prefix.len().min(buf.remaining());
        let bytes = self.prefix.split_to(size);
        self.record_read(&bytes);
        buf.put_slice(&bytes);
    }
}

impl<S: Write + Unpin> FairStream<S> {
    /// Returns what the end of the stream is while bytes are being written. A write that
    /// has failed has consumed the socket's error, so that a reset looks like a close.
    fn end_within_a_write(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.write_error.is_none() {
            let flushed = Pin::new(&mut self.inner).poll_flush(cx);
            let _ = self.keep_reading(flushed, ());
        }
        Poll::Ready(match self.write_error {
            Some(kind) => Err(io::Error::from(kind)),
            None => Ok(()),
        })
    }

    /// Lets a client read on after a failed write: a server may answer before it has read
    /// the whole request, and close the connection.
    fn keep_reading<T>(&mut self, polled: Poll<io::Result<T>>, done: T) -> Poll<io::Result<T>> {
        match polled {
            Poll::Ready(Err(cause)) if self.activity.is_none() => {
                self.write_error = Some(cause.kind());
                Poll::Ready(Ok(done))
            }
            polled => polled,
        }
    }
}

impl<S: Read + Write + Unpin> Read for FairStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.unyielded >= YIELD_BYTES {
            self.unyielded = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        if self.left == 0 {
            let message = format!("more than {} bytes after a request", self.limit);
            return Poll::Ready(Err(io::Error::other(message)));
        }
        if self.prefix.has_remaining() {
            self.read_prefix(&mut buf);
            return Poll::Ready(Ok(()));
        }
        let mut bytes = [0; READ_BYTES];
        let size = READ_BYTES.min(buf.remaining());
        let mut read = ReadBuf::new(&mut bytes[..size]);
        let polled = Pin::new(&mut self.inner).poll_read(cx, read.unfilled());
        let filled = read.filled();
        match polled {
            Poll::Pending => self.unyielded = 0,
            Poll::Ready(_) => {
                self.unyielded += filled.len();
                self.left = self.left.saturating_sub(filled.len() as u64);
            }
        }
        self.record_read(filled);
        buf.put_slice(filled);
        let is_end = matches!(polled, Poll::Ready(Ok(()))) && filled.is_empty();
        if is_end && self.is_writing.get() {
            return self.end_within_a_write(cx);
        }
        polled
    }
}

impl<S: Write + Unpin> Write for FairStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.left = self.limit;
        self.is_writing.set(true);
        if self.write_error.is_some() {
            return Poll::Ready(Ok(bytes.len()));
        }
        let written = Pin::new(&mut self.inner).poll_write(cx, bytes);
        self.keep_reading(written, bytes.len())
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.write_error.is_some() {
            return Poll::Ready(Ok(()));
        }
        let flushed = Pin::new(&mut self.inner).poll_flush(cx);
        let is_done = matches!(flushed, Poll::Ready(Ok(())));
        self.is_writing.set(self.is_writing.get() && !is_done);
        let flushed = self.keep_reading(flushed, ());
        if let (Poll::Ready(Ok(())), Some(activity)) = (&flushed, &self.activity) {
            activity.record_flush();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
