//! HTTP server with bounded connections and headers.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpListener;
use compio::net::TcpStream;
use futures_util::FutureExt;
use futures_util::select_biased;
use hyper::Request;
use hyper::Response;
use socket2::SockRef;
use tokio_util::sync::CancellationToken;

use crate::Body;
use crate::Incoming;
use crate::OpenRequests;
use crate::server_connection;
use crate::tasks::CountGuard;

/// Size of the kernel's send buffer for a connection.
const SEND_BUFFER_BYTES: usize = 32 * 1024;

/// Time after which no further connection is expected in the accept queue, and most that
/// are taken from it when a server stops: the backlog of a listener.
const ACCEPT_WAIT: Duration = Duration::from_millis(10);
const MAX_QUEUED: usize = 1024;

/// Limits on the resources that clients can occupy.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Maximum number of open connections; further ones are closed immediately.
    pub connections: usize,
    /// Longest time until a request's headers are received.
    pub header_timeout: Duration,
    /// Maximum size of a request's headers in bytes. Values below 8192 have the
    /// effect of 8192.
    pub header_bytes: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            connections: 4096,
            header_timeout: Duration::from_secs(10),
            header_bytes: 16 * 1024,
        }
    }
}

/// Handles the requests of a server.
pub trait Handler: Clone + 'static {
    /// Handles one request. The future is dropped when the client disconnects.
    fn handle(&self, request: Request<Incoming>) -> impl Future<Output = Response<Body>>;
}

impl<F, R> Handler for F
where
    F: Fn(Request<Incoming>) -> R + Clone + 'static,
    R: Future<Output = Response<Body>>,
{
    fn handle(&self, request: Request<Incoming>) -> impl Future<Output = Response<Body>> {
        self(request)
    }
}

/// Serves `listener` as [`serve_counted`] does.
pub async fn serve(
    listener: TcpListener,
    limits: ServerLimits,
    token: CancellationToken,
    handler: impl Handler,
) {
    serve_counted(listener, limits, token, OpenRequests::default(), handler).await;
}

/// Serves `listener` until `token` is cancelled, then also the connections that the
/// kernel has accepted meanwhile, and returns. Each connection is closed once no request
/// is open on it. The requests are counted in `open`.
pub async fn serve_counted(
    listener: TcpListener,
    limits: ServerLimits,
    token: CancellationToken,
    open: OpenRequests,
    handler: impl Handler,
) {
    let server = Server {
        limits,
        token,
        open,
        handler,
        connections: Rc::default(),
        was_full: Cell::new(false),
    };
    loop {
        let accepted = select_biased! {
            accepted = listener.accept().fuse() => accepted,
            () = server.token.cancelled().fuse() => break,
        };
        let Ok((stream, _)) = accepted else {
            // accept fails if file descriptors run out: wait for connections to
            // close.
            compio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        server.spawn(stream);
    }
    let last = server.accept_queued(&listener).await;
    log::info!(
        target: "lycheehaven",
        listen = listener.local_addr().map_or_else(|cause| cause.to_string(), |addr| addr.to_string()).as_str(),
        connections = server.connections.get(),
        accepted_last = last,
        open = server.open.count();
        "the listener is closed"
    );
}

struct Server<H> {
    limits: ServerLimits,
    token: CancellationToken,
    open: OpenRequests,
    handler: H,
    connections: Rc<Cell<usize>>,
    /// Whether the last connection was one too many.
    was_full: Cell<bool>,
}

impl<H: Handler> Server<H> {
    /// Serves a new connection in a task of its own.
    fn spawn(&self, stream: TcpStream) {
        let is_full = self.connections.get() >= self.limits.connections;
        if is_full && !self.was_full.replace(is_full) {
            log::warn!(
                target: "lycheehaven",
                connections = self.limits.connections;
                "new connections are closed, as too many are open"
            );
        }
        if is_full {
            return;
        }
        self.was_full.set(false);
        let _ = stream.set_nodelay(true);
        // Bytes in the kernel's buffer count as read by the client, so a large
        // buffer would weaken backpressure.
        let _ = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES);
        let guard = CountGuard::new(self.connections.clone());
        let connection = server_connection::serve(
            stream,
            self.limits,
            self.token.clone(),
            &self.open,
            self.handler.clone(),
        );
        compio::runtime::spawn(async move {
            connection.await;
            drop(guard);
        })
        .detach();
    }

    /// Serves the connections that wait to be accepted, and returns their number. The
    /// kernel would reset them.
    async fn accept_queued(&self, listener: &TcpListener) -> usize {
        let mut count = 0;
        while count < MAX_QUEUED {
            match compio::time::timeout(ACCEPT_WAIT, listener.accept()).await {
                Ok(Ok((stream, _))) => self.spawn(stream),
                Ok(Err(_)) | Err(_) => break,
            }
            count += 1;
        }
        count
    }
}
