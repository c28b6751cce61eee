//! The accept loop.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpListener;
use compio::net::TcpStream;
use cyper_core::CompioTimer;
use cyper_core::HyperStream;
use futures_util::FutureExt;
use futures_util::select;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use socket2::SockRef;
use tokio_util::sync::CancellationToken;

use crate::Body;
use crate::tasks::CountGuard;

/// Bytes that the kernel may buffer towards a client.
const SEND_BUFFER: usize = 32 * 1024;

/// Bounds on what a client can make the server hold.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Open connections; further ones are closed at once.
    pub connections: usize,
    /// Time for a request's headers to arrive.
    pub header_timeout: Duration,
    /// Bytes of a request's headers.
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

/// Answers the requests of a server.
pub trait Handler: Clone + 'static {
    /// Answers one request. Dropped when the client disconnects.
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

/// Serves `listener` until `token` is cancelled, then lets open requests
/// finish on their connections without accepting further ones.
pub async fn serve(
    listener: TcpListener,
    limits: ServerLimits,
    token: CancellationToken,
    handler: impl Handler,
) {
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let accepted = select! {
            accepted = listener.accept().fuse() => accepted,
            () = token.cancelled().fuse() => return,
        };
        let Ok((stream, _)) = accepted else {
            // Out of descriptors: wait for connections to close.
            compio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        if open.get() >= limits.connections {
            continue;
        }
        let _ = stream.set_nodelay(true);
        // What the kernel buffers counts as read, so little of it is wanted.
        let _ = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER);
        let guard = CountGuard::new(open.clone());
        let connection = serve_stream(stream, limits, token.clone(), handler.clone());
        compio::runtime::spawn(async move {
            connection.await;
            drop(guard);
        })
        .detach();
    }
}

async fn serve_stream(
    stream: TcpStream,
    limits: ServerLimits,
    token: CancellationToken,
    handler: impl Handler,
) {
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_bytes.max(8192))
        .serve_connection(HyperStream::new_plain(stream), service);
    let mut connection = std::pin::pin!(connection);
    let finished = select! {
        _ = connection.as_mut().fuse() => true,
        () = token.cancelled().fuse() => false,
    };
    if !finished {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}
