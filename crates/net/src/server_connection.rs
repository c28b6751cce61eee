//! One connection of a server, from its first byte to its close.
//!
//! When the server stops, a connection is closed at once only while no byte of a request
//! was read on it: then the close of a connection with bytes that nobody has read resets
//! it, and the client knows that its request did not run. A request of which a byte was
//! read is answered.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use compio::BufResult;
use compio::io::AsyncRead;
use compio::net::TcpStream;
use cyper_core::CompioTimer;
use cyper_core::HyperStream;
use futures_util::FutureExt;
use futures_util::future::FusedFuture;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Version;
use hyper::body::Body as _;
use hyper::body::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;
use hyper::header::CONNECTION;
use hyper::header::EXPECT;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper::service::service_fn;
use socket2::SockRef;
use tokio_util::sync::CancellationToken;

use crate::AnsweredBody;
use crate::Body;
use crate::BodyRest;
use crate::FairStream;
use crate::Handler;
use crate::Incoming;
use crate::OpenRequests;
use crate::Phase;
use crate::ServerLimits;
use crate::incoming::BodyState;
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
        let handler = Rc::new(handler);
        let (closing, version) = (token.clone(), ending.version.clone());
        let follower = activity.clone();
        let rest = Rc::new(RestReader::default());
        let reader = rest.clone();
        let service = service_fn(move |request: Request<hyper::body::Incoming>| {
            version.set(request.version());
            follower.begin_handling(request.headers(), request.body().size_hint().exact());
            let received = ReceivedRequest::new(&request);
            let (handler, activity) = (handler.clone(), follower.clone());
            let (closing, open) = (closing.clone(), open.clone());
            let reader = reader.clone();
            async move {
                let (parts, body) = request.into_parts();
                let (body, state) = Incoming::new(body);
                let mut response = handler.handle(Request::from_parts(parts, body)).await;
                // A request behind the answer that announces the close isn't answered.
                if (closing.is_cancelled() || open.is_closing()) && !activity.has_next() {
                    set_close(&mut response);
                }
                let answered = received.answered_body(&response, &state, activity.body_due());
                let decided = answered.rest();
                log_early_answer(&activity, response.status().as_u16(), &answered);
                activity.leave_body(decided == BodyRest::Close);
                match (decided, state.answer()) {
                    (BodyRest::Nothing, _) | (BodyRest::Read, None) => {}
                    (BodyRest::Read, Some(body)) => reader.begin(body, limits.header_timeout),
                    (BodyRest::Close, _) => set_close(&mut response),
                }
                activity.begin_response(response.status().as_u16() >= 400);
                Ok::<_, Infallible>(response.map(|body| FollowedBody { body, activity }))
            }
        });
        let stream = FairStream::for_server(HyperStream::new_plain(stream), activity.clone());
        if run(stream, service, limits, &token, &activity, &rest).await {
            discard(&ending.socket).await;
        }
        drop(ending);
        drop(guard);
    }
}

/// What the answer to a request depends on besides its body.
struct ReceivedRequest {
    declared: Option<u64>,
    is_expected: bool,
    is_last: bool,
}

impl ReceivedRequest {
    fn new(request: &Request<hyper::body::Incoming>) -> Self {
        let headers = request.headers();
        Self {
            declared: request.body().size_hint().exact(),
            is_expected: headers.contains_key(EXPECT),
            is_last: has_option(headers, "close")
                || request.version() < Version::HTTP_11 && !has_option(headers, "keep-alive"),
        }
    }

    fn answered_body(
        &self,
        response: &Response<Body>,
        state: &BodyState,
        due: Option<u64>,
    ) -> AnsweredBody {
        let is_late = response.status() == StatusCode::REQUEST_TIMEOUT;
        AnsweredBody {
            is_read: state.is_ended(),
            has_failed: state.has_failed() || is_late,
            declared: self.declared,
            due,
            is_expected: self.is_expected,
            is_last: self.is_last || has_option(response.headers(), "close"),
        }
    }
}

/// Returns whether the `Connection` headers contain `option`.
fn has_option(headers: &HeaderMap, option: &str) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case(option))
}

fn set_close(response: &mut Response<Body>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
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
    S: Service<
            Request<hyper::body::Incoming>,
            Response = Response<FollowedBody>,
            Error = Infallible,
        > + Unpin,
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
            Some(Ok(())) if rest.has_expired() => return false,
            Some(Ok(())) => return !is_blank(&parts.read_buf) || activity.is_body_unread(),
            // The stream is dropped without a shutdown, which would let bytes be read
            // until it is done.
            None if is_blank(&parts.read_buf) => return false,
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

/// Logs an answer that is given before the end of the request's body.
fn log_early_answer(activity: &Activity, status: u16, answered: &AnsweredBody) {
    let rest = answered.rest();
    if rest == BodyRest::Nothing || answered.due == Some(0) {
        return;
    }
    let open = activity.open_request();
    log::info!(
        target: "lycheehaven",
        request = open.as_ref().map_or("-", |open| open.id_text()),
        status = status,
        due_bytes = answered.due.map_or(-1, |due| due as i64),
        closes = rest == BodyRest::Close;
        "answered before the end of the request's body"
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

/// The body of a response, which tells when it was passed on whole.
struct FollowedBody {
    body: Body,
    activity: Rc<Activity>,
}

impl hyper::body::Body for FollowedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for FollowedBody {
    fn drop(&mut self) {
        self.activity.end_response();
    }
}
