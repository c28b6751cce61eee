//! Requests on connections of their own, outside the connection pool.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use compio::net::TcpStream;
use cyper_core::HyperStream;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;

use crate::Body;
use crate::FairStream;

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
    let stream = match compio::time::timeout(connect_timeout, TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(cause)) => return Err(RequestError::NotSent(cause.to_string())),
        Err(_) => return Err(RequestError::NotSent("connection attempt timed out".into())),
    };
    send_over(stream, request, response_timeout).await
}

/// Sends `request` over `stream`, a new connection, and returns the response as
/// [`send_unpooled`] does.
pub async fn send_over(
    stream: TcpStream,
    request: Request<Body>,
    response_timeout: Duration,
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
    match compio::time::timeout(response_timeout, sender.send_request(request)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(cause)) => Err(RequestError::Uncertain(cause.to_string())),
        Err(_) => Err(RequestError::Uncertain(
            "no response before the timeout".into(),
        )),
    }
}
