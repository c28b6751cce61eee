//! Message bodies, and reading of bodies under a size limit and a timeout.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use futures_channel::mpsc;
use futures_util::Stream;
use http_body_util::BodyExt;
use hyper::body::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;
use lycheehaven_types::ErrorKind;
use lycheehaven_types::Failure;

/// Sends chunks to a streamed [`Body`]. Sending an error aborts the connection,
/// so that the receiver can tell a truncated message from a complete one.
pub type BodySender = mpsc::Sender<io::Result<Bytes>>;

/// A stream of chunks. An error ends it and aborts the connection.
pub type ChunkStream = Pin<Box<dyn Stream<Item = io::Result<Bytes>>>>;

/// Body of a request or a response.
pub enum Body {
    /// All bytes are in memory; `None` if there are none or they are sent.
    Full(Option<Bytes>),
    /// Chunks arrive from a [`BodySender`].
    Stream(mpsc::Receiver<io::Result<Bytes>>),
    /// Chunks are produced on demand; dropping the body drops the producer.
    Chunks(ChunkStream),
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Full(_) => "Body::Full",
            Self::Stream(_) => "Body::Stream",
            Self::Chunks(_) => "Body::Chunks",
        })
    }
}

impl Body {
    /// Creates a body from bytes in memory.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()).filter(|bytes| !bytes.is_empty()))
    }

    /// Creates a streamed body that buffers up to `capacity` chunks.
    pub fn channel(capacity: usize) -> (BodySender, Self) {
        let (sender, receiver) = mpsc::channel(capacity);
        (sender, Self::Stream(receiver))
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(receiver) => Pin::new(receiver)
                .poll_next(cx)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
            Self::Chunks(stream) => stream
                .as_mut()
                .poll_next(cx)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream(_) | Self::Chunks(_) => SizeHint::default(),
        }
    }
}

/// Reads a body of at most `limit` bytes to its end within `timeout`.
///
/// # Errors
/// `TooLarge` if the body exceeds `limit`, `SlowRequest` if `timeout` passes,
/// or `BadRequest` if the connection breaks.
pub async fn read_body<B>(body: B, limit: usize, timeout: Duration) -> Result<Bytes, Failure>
where
    B: hyper::body::Body<Data = Bytes>,
{
    match compio::time::timeout(timeout, collect_body(body, limit)).await {
        Ok(result) => result,
        Err(_) => Err(Failure::new(
            ErrorKind::SlowRequest,
            format!("the body did not arrive within {} s", timeout.as_secs()),
        )),
    }
}

/// Reads a body of at most `limit` bytes to its end, however long that takes.
///
/// # Errors
/// `TooLarge` if the body exceeds `limit`, or `BadRequest` if the connection breaks.
pub async fn collect_body<B>(body: B, limit: usize) -> Result<Bytes, Failure>
where
    B: hyper::body::Body<Data = Bytes>,
{
    let mut body = std::pin::pin!(body);
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame =
            frame.map_err(|_| Failure::new(ErrorKind::BadRequest, "the body is truncated"))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > limit {
            let message = format!("the body is larger than {limit} bytes");
            return Err(Failure::new(ErrorKind::TooLarge, message));
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.into())
}
