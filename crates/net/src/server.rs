//! HTTP server with bounded connections and headers.

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
use hyper::Version;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use socket2::SockRef;
use tokio_util::sync::CancellationToken;

use crate::Body;
use crate::FairStream;
use crate::tasks::CountGuard;

/// Size of the kernel's send buffer for a connection.
const SEND_BUFFER_BYTES: usize = 32 * 1024;

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

/// Serves `listener` until `token` is cancelled, then returns and closes each
/// connection once its current request is finished.
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
            // accept fails if file descriptors run out: wait for connections to
            // close.
            compio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        if open.get() >= limits.connections {
            continue;
        }
        let _ = stream.set_nodelay(true);
        // Bytes in the kernel's buffer count as read by the client, so a large
        // buffer would weaken backpressure.
        let _ = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES);
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
    let version = Rc::new(Cell::new(Version::HTTP_11));
    let last_version = version.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        last_version.set(request.version());
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    let socket = stream.clone();
    let stream = FairStream::for_server(HyperStream::new_plain(stream));
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_bytes.max(8192))
        .serve_connection(stream, service);
    let mut connection = std::pin::pin!(connection);
    let ended = select! {
        result = connection.as_mut().fuse() => Some(result),
        () = token.cancelled().fuse() => None,
    };
    let result = match ended {
        Some(result) => result,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if result.is_err() && version.get() < Version::HTTP_11 {
        reset_on_close(&socket);
    }
}

/// Makes the close of `socket` a reset. A client that knows no chunks takes a regular
/// close for the end of a response.
fn reset_on_close(socket: &TcpStream) {
    if let Err(cause) = SockRef::from(socket).set_linger(Some(Duration::ZERO)) {
        log::warn!(
            target: "lycheehaven",
            cause = cause.to_string().as_str();
            "a broken response may look complete to its client"
        );
    }
}
