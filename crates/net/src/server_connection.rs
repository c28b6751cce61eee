//! One connection of a server, from its first byte to its close.
//!
//! When the server stops, a connection is closed at once only while no byte of a request
//! was read on it: then the close of a connection with bytes that nobody has read resets
//! it, and the client knows that its request did not run. A request of which a byte was
//! read is answered.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::poll_fn;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use compio::BufResult;
use compio::io::AsyncRead;
use compio::net::TcpStream;
use cyper_core::CompioTimer;
use cyper_core::HyperStream;
use futures_util::FutureExt;
use futures_util::future::FusedFuture;
use hyper::Request;
use hyper::Response;
use hyper::Version;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper::service::service_fn;
use socket2::SockRef;
use tokio_util::sync::CancellationToken;

use crate::FairStream;
use crate::Handler;
use crate::OpenRequests;
use crate::Phase;
use crate::ServerLimits;
use crate::answering::FollowedBody;
use crate::answering::Responder;
use crate::incoming::RestReader;
use crate::open_requests::Activity;
use crate::open_requests::is_blank;

/// Time for the first byte of a connection that was accepted when the server stopped.
const FIRST_BYTE_WAIT: Duration = Duration::from_millis(250);

/// Time for which bytes are discarded that a client still sends behind its last answer.
const LINGER_TIME: Duration = Duration::from_secs(3);

/// Bytes that are discarded at once.
const DISCARD_BYTES: usize = 16 * 1024;

type Stream = FairStream<HyperStream<TcpStream>>;

/// Serves a connection until it ends, or until `token` is cancelled and no request is
/// open on it.
pub(crate) fn serve(
    stream: TcpStream,
    limits: ServerLimits,
    token: CancellationToken,
    open: &OpenRequests,
    handler: impl Handler,
) -> impl Future<Output = ()> + 'static {
    let guard = open.connect();
    let open = open.clone();
    async move {
        let activity = guard.activity.clone();
        let ending = Ending {
            socket: stream.clone(),
            version: Rc::new(Cell::new(Version::HTTP_11)),
            activity: activity.clone(),
        };
        let rest = Rc::new(RestReader::default());
        let responder = Rc::new(Responder {
            handler,
            activity: activity.clone(),
            token: token.clone(),
            open: open.clone(),
            rest: rest.clone(),
            rest_wait: limits.header_timeout,
        });
        let version = ending.version.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            version.set(request.version());
            let responder = responder.clone();
            async move { Ok::<_, Infallible>(responder.respond(request).await) }
        });
        let stream = FairStream::for_server(HyperStream::new_plain(stream), activity.clone());
        if run(stream, service, limits, &token, &activity, &rest).await {
            let _discarding = open.begin_discard();
            discard(&ending.socket).await;
        }
        drop(ending);
        drop(guard);
    }
}

/// Runs a connection. Returns whether it has ended regularly and its client may still
/// send bytes.
async fn run<S>(
    stream: Stream,
    service: S,
    limits: ServerLimits,
    token: &CancellationToken,
    activity: &Activity,
    rest: &RestReader,
) -> bool
where
    S: Service<Request<Incoming>, Response = Response<FollowedBody>, Error = Infallible> + Unpin,
{
    let mut builder = http1::Builder::new();
    builder
        .timer(CompioTimer)
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_bytes.max(8192));
    let mut closing = std::pin::pin!(close_time(token, activity).fuse());
    let mut connection = builder.serve_connection(stream, service);
    loop {
        let ended = poll_fn(|cx| {
            // The connection comes first: bytes that were received belong to a request.
            if let Poll::Ready(result) = Pin::new(&mut connection).poll(cx) {
                return Poll::Ready(Some(result));
            }
            // The end of a body that nobody reads lets the connection go on, or end.
            while rest.poll(cx).is_ready() {
                if let Poll::Ready(result) = Pin::new(&mut connection).poll(cx) {
                    return Poll::Ready(Some(result));
                }
            }
            let is_closing = closing.is_terminated() || closing.as_mut().poll(cx).is_ready();
            if is_closing && activity.is_idle() && !rest.is_reading() {
                return Poll::Ready(None);
            }
            Poll::Pending
        })
        .await;
        let parts = connection.into_parts();
        match ended {
            Some(Err(cause)) => {
                log_break(activity, &cause);
                return false;
            }
            // The client has had time to read the answer, and a reset tells it that nothing
            // behind it was read.
            Some(Ok(())) if rest.has_expired() => {
                log::debug!(target: "lycheehaven", "the rest of an answered request did not come in time");
                return false;
            }
            Some(Ok(())) => return !is_blank(&parts.read_buf) || activity.is_body_unread(),
            // The stream is dropped without a shutdown, which would let bytes be read
            // until it is done.
            None if is_blank(&parts.read_buf) => return activity.is_body_unread(),
            None => {
                // A part of a request was read with one whose body has an unknown size.
                let stream = parts.io.with_prefix(parts.read_buf);
                connection = builder.serve_connection(stream, parts.service);
            }
        }
    }
}

/// Logs the end of a connection on which a request is open. Callers leave within a
/// response all the time.
fn log_break(activity: &Activity, cause: &hyper::Error) {
    let Some(open) = activity.open_request() else {
        return;
    };
    let level = match open.phase {
        Phase::Head => log::Level::Info,
        Phase::Handler | Phase::Client => log::Level::Debug,
    };
    log::log!(
        target: "lycheehaven",
        level,
        request = open.id_text(),
        waits_for = open.phase.name(),
        cause = cause.to_string().as_str();
        "the caller's connection ended while a request was open"
    );
}

/// Returns once the connection has to close as soon as no request is open on it.
async fn close_time(token: &CancellationToken, activity: &Activity) {
    token.cancelled().await;
    if !activity.has_read() {
        compio::time::sleep(FIRST_BYTE_WAIT).await;
    }
}

/// Reads and discards what a client still sends behind its last answer until it closes
/// the connection. The close of a connection with unread bytes is a reset, which
/// destroys the part of an answer that the client has not received.
async fn discard(mut socket: &TcpStream) {
    // The client may have left.
    let _ = SockRef::from(socket).shutdown(Shutdown::Write);
    let bytes = Cell::new(0);
    let read = async {
        let mut buffer = Vec::with_capacity(DISCARD_BYTES);
        loop {
            buffer.clear();
            let BufResult(length, returned) = socket.read(buffer).await;
            buffer = returned;
            match length {
                Ok(length) if length > 0 => bytes.set(bytes.get() + length),
                Ok(_) | Err(_) => return,
            }
        }
    };
    let is_closed = compio::time::timeout(LINGER_TIME, read).await.is_ok();
    if bytes.get() > 0 || !is_closed {
        log::info!(
            target: "lycheehaven",
            bytes = bytes.get(),
            closed_by_client = is_closed;
            "discarded what a client sent behind its last answer"
        );
    }
}

/// Makes the close of a connection a reset if an answer is open whose end only the close
/// tells: a client that knows no chunks takes a regular close for it.
struct Ending {
    socket: TcpStream,
    version: Rc<Cell<Version>>,
    activity: Rc<Activity>,
}

impl Drop for Ending {
    fn drop(&mut self) {
        if self.activity.is_idle() || self.version.get() >= Version::HTTP_11 {
            return;
        }
        if let Err(cause) = SockRef::from(&self.socket).set_linger(Some(Duration::ZERO)) {
            log::warn!(
                target: "lycheehaven",
                cause = cause.to_string().as_str();
                "a broken response may look complete to its client"
            );
        }
    }
}
