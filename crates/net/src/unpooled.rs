//! Requests on connections of their own, outside the connection pool.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use compio::net::TcpStream;
use cyper_core::HyperStream;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use socket2::SockRef;
use socket2::TcpKeepalive;

use crate::Body;
use crate::FairStream;

/// Time without an acknowledgement after which the kernel ends a connection. It is longer
/// than a host of a sound server may stand still.
const ACK_TIMEOUT: Duration = Duration::from_secs(10);

/// Idle time before the first TCP keep-alive probe, and interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Unanswered probes after which the kernel ends a connection.
const PROBES: u32 = 5;

/// Why [`send_unpooled`] returned no response.
#[derive(Debug)]
pub enum RequestError {
    /// No byte of the request was sent.
    NotSent(String),
    /// The server may have received the request.
    Uncertain(String),
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "not sent: {cause}"),
            Self::Uncertain(cause) => write!(f, "sent, but no response: {cause}"),
        }
    }
}

impl std::error::Error for RequestError {}

/// Connects to `addr` within `connect_timeout`, sends `request`, and returns the
/// response once its headers are received, or an error if that takes longer
/// than `response_timeout`. Dropping the response closes the connection.
///
/// The connection is not pooled: if a pooled connection breaks while a request
/// is sent, it is unknown whether the server received the request.
pub async fn send_unpooled(
    addr: SocketAddr,
    request: Request<Body>,
    connect_timeout: Duration,
    response_timeout: Duration,
) -> Result<Response<Incoming>, RequestError> {
    let stream = connect(addr, connect_timeout).await?;
    send_over(stream, request, response_timeout).await
}

/// Connects to `addr` within `wait`. The kernel ends the connection when the other host
/// is gone, and closes it at once when it is dropped: nothing of a request that was given
/// up is delivered later.
///
/// # Errors
/// Returns [`RequestError::NotSent`].
pub async fn connect(addr: SocketAddr, wait: Duration) -> Result<TcpStream, RequestError> {
    let stream = match compio::time::timeout(wait, TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(cause)) => return Err(RequestError::NotSent(cause.to_string())),
        Err(_) => return Err(RequestError::NotSent("connection attempt timed out".into())),
    };
    set_socket_options(&stream)
        .map_err(|cause| RequestError::NotSent(format!("can't set socket options: {cause}")))?;
    Ok(stream)
}

fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_linger(Some(Duration::ZERO))?;
    socket.set_tcp_user_timeout(Some(ACK_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}

/// Sends `request` over `stream`, a new connection, and returns the response as
/// [`send_unpooled`] does.
pub async fn send_over(
    stream: TcpStream,
    request: Request<Body>,
    response_timeout: Duration,
) -> Result<Response<Incoming>, RequestError> {
    match compio::time::timeout(response_timeout, exchange(stream, request)).await {
        Ok(result) => result,
        Err(_) => Err(RequestError::Uncertain(
            "no response before the timeout".into(),
        )),
    }
}

/// Sends `request` over `stream`, a new connection, and waits for the head of the response
/// for as long as the connection lasts. Dropping the future, or the response, closes the
/// connection.
///
/// # Errors
/// Returns [`RequestError::NotSent`] only if no byte of the request was sent.
pub async fn exchange(
    stream: TcpStream,
    request: Request<Body>,
) -> Result<Response<Incoming>, RequestError> {
    let _ = stream.set_nodelay(true);
    let stream = FairStream::for_client(HyperStream::new_plain(stream));
    let (mut sender, connection) = http1::handshake(stream)
        .await
        .map_err(|cause| RequestError::NotSent(cause.to_string()))?;
    // The task ends once the sender and the response body are dropped.
    compio::runtime::spawn(async move {
        let _ = connection.await;
    })
    .detach();
    sender
        .send_request(request)
        .await
        .map_err(|cause| RequestError::Uncertain(cause.to_string()))
}
