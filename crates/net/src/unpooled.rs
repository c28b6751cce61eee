//! One request on a connection of its own.

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

/// Why [`send_unpooled`] gave no answer.
#[derive(Debug)]
pub enum RequestError {
    /// No byte of the request was sent.
    NotSent(String),
    /// The request may have been received.
    Uncertain(String),
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "not sent: {cause}"),
            Self::Uncertain(cause) => write!(f, "sent without an answer: {cause}"),
        }
    }
}

impl std::error::Error for RequestError {}

/// Connects to `addr` within `connect_wait`, sends `request`, and returns once
/// the answer's headers are in or `answer_wait` has passed. Dropping the
/// response closes the connection. The pool is avoided on purpose: a pooled
/// connection can break at a moment when nobody can tell whether the request
/// was received.
pub async fn send_unpooled(
    addr: SocketAddr,
    request: Request<Body>,
    connect_wait: Duration,
    answer_wait: Duration,
) -> Result<Response<Incoming>, RequestError> {
    let stream = match compio::time::timeout(connect_wait, TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(cause)) => return Err(RequestError::NotSent(cause.to_string())),
        Err(_) => return Err(RequestError::NotSent("connecting timed out".into())),
    };
    let _ = stream.set_nodelay(true);
    let (mut sender, connection) = http1::handshake(HyperStream::new_plain(stream))
        .await
        .map_err(|cause| RequestError::NotSent(cause.to_string()))?;
    // The connection ends by itself once the sender and the response body are
    // dropped, so it needs no owner.
    compio::runtime::spawn(async move {
        let _ = connection.await;
    })
    .detach();
    match compio::time::timeout(answer_wait, sender.send_request(request)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(cause)) => Err(RequestError::Uncertain(cause.to_string())),
        Err(_) => Err(RequestError::Uncertain("no answer in time".into())),
    }
}
