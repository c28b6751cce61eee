//! A connection to an upstream.

use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpStream;
use compio::runtime::JoinHandle;
use cyper_core::HyperStream;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use lycheehaven_net::Body;
use lycheehaven_net::CountGuard;
use lycheehaven_net::FairStream;
use socket2::SockRef;
use socket2::TcpKeepalive;

use crate::refusals::Refusals;

/// Time without an acknowledgement after which the kernel closes a connection.
const ACK_TIMEOUT: Duration = Duration::from_millis(2500);

/// Idle time before the first TCP keep-alive probe, and interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Why a request got no response.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was sent.
    NotSent,
    /// The request may have been received.
    Uncertain(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent => f.write_str("the connection closed before the request was sent"),
            Self::Uncertain(cause) => write!(f, "no response to the sent request: {cause}"),
        }
    }
}

impl std::error::Error for SendError {}

/// A connection to an upstream that carries one request at a time. Dropping it
/// resets the TCP connection immediately. This makes the upstream cancel the
/// request, and prevents data of the request that is still buffered from being
/// delivered later.
pub struct Connection {
    sender: SendRequest<Body>,
    refusals: Refusals,
    /// Whether a part of the last request was not passed to the kernel yet.
    is_writing: Rc<Cell<bool>>,
    _driver: JoinHandle<()>,
    _count: CountGuard,
}

impl Connection {
    /// Connects to `addr` within `wait`. The connection is counted in `open` until it
    /// is dropped.
    ///
    /// # Errors
    /// Returns why the connection could not be established.
    pub async fn open(
        addr: SocketAddr,
        wait: Duration,
        open: Rc<Cell<usize>>,
    ) -> Result<Self, String> {
        let count = CountGuard::new(open);
        let stream = match compio::time::timeout(wait, TcpStream::connect(addr)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(cause)) => return Err(cause.to_string()),
            Err(_) => return Err("connecting timed out".into()),
        };
        set_socket_options(&stream)
            .map_err(|cause| format!("can't set socket options: {cause}"))?;
        let stream = FairStream::for_client(HyperStream::new_plain(stream));
        let is_writing = stream.is_writing();
        let (sender, connection) = http1::handshake(stream)
            .await
            .map_err(|cause| cause.to_string())?;
        Ok(Self {
            sender,
            refusals: Refusals::default(),
            is_writing,
            _driver: spawn_driver(connection),
            _count: count,
        })
    }

    /// Whether the upstream has closed the connection.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Whether the connection can take another request. It can if it is open, its last
    /// response is complete, and so is the request before it: an upstream may answer before
    /// it has read a long body.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed() && !self.is_writing.get()
    }

    /// Returns the refusals that came on the connection.
    pub fn refusals(&self) -> &Refusals {
        &self.refusals
    }

    /// Returns the refusals that came on the connection, to record another one.
    pub fn refusals_mut(&mut self) -> &mut Refusals {
        &mut self.refusals
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    /// Returns [`SendError::NotSent`] only if no byte of the request was sent, and
    /// [`SendError::Uncertain`] if the upstream may have received it.
    pub async fn send(&mut self, request: Request<Body>) -> Result<Response<Incoming>, SendError> {
        self.sender
            .try_send_request(request)
            .await
            .map_err(|mut error| match error.take_message() {
                Some(_) => SendError::NotSent,
                None => SendError::Uncertain(error.into_error().to_string()),
            })
    }
}

/// Runs the connection in a task until the result is dropped.
fn spawn_driver(
    connection: http1::Connection<FairStream<HyperStream<TcpStream>>, Body>,
) -> JoinHandle<()> {
    compio::runtime::spawn(async move {
        // The sender or the response body reports the error as well.
        let _ = connection.await;
    })
}

/// Sets the socket options. The kernel detects an unresponsive upstream by the
/// acknowledgement timeout and keep-alive probes, and resets the connection on
/// close.
fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_linger(Some(Duration::ZERO))?;
    socket.set_tcp_user_timeout(Some(ACK_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)
}
