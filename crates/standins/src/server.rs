//! A server with its own thread and event loop.

use std::net::SocketAddr;
use std::net::TcpListener as StdListener;
use std::thread::JoinHandle;

use compio::net::TcpListener;
use futures_util::FutureExt;
use futures_util::select;
use lycheehaven_net::Handler;
use lycheehaven_net::ServerLimits;
use lycheehaven_net::serve;
use tokio_util::sync::CancellationToken;

/// Capacity of the queue through which other threads wake a server's tasks.
const WAKE_QUEUE_SIZE: usize = 1 << 16;

/// A server thread that runs an event loop until it is killed or dropped.
#[derive(Debug)]
pub struct ServerThread {
    addr: SocketAddr,
    token: CancellationToken,
    thread: Option<JoinHandle<()>>,
}

impl ServerThread {
    /// Listens on `addr` and runs the future that `build` returns for the
    /// listener, until it completes or `token` is cancelled.
    ///
    /// # Panics
    /// If the address can't be bound.
    pub fn start<F, R>(addr: SocketAddr, token: CancellationToken, build: F) -> Self
    where
        F: FnOnce(TcpListener) -> R + Send + 'static,
        R: Future<Output = ()>,
    {
        let listener = StdListener::bind(addr).expect("stand-in address can be bound");
        let addr = listener.local_addr().expect("listener has an address");
        let stop = token.clone();
        let thread = std::thread::spawn(move || {
            // Tests wake tasks from their own thread while they hold the state's
            // mutex. If the queue were full, a test would spin until this thread
            // drains it, while this thread waits for the mutex: a deadlock.
            let runtime = compio::runtime::RuntimeBuilder::new()
                .sync_queue_size(WAKE_QUEUE_SIZE)
                .build()
                .expect("runtime can be created");
            runtime.block_on(async move {
                let listener = TcpListener::from_std(listener).expect("listener is usable");
                // Returning from block_on drops all tasks and their sockets.
                select! {
                    () = build(listener).fuse() => (),
                    () = stop.cancelled().fuse() => (),
                }
            });
        });
        Self {
            addr,
            token,
            thread: Some(thread),
        }
    }

    /// Returns the address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns whether the server is running.
    pub fn is_running(&self) -> bool {
        !self.token.is_cancelled()
    }

    /// Stops the server and aborts its connections.
    pub fn kill(&mut self) {
        self.token.cancel();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for ServerThread {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Serves `handler` until the thread is killed.
pub(crate) async fn serve_forever(listener: TcpListener, handler: impl Handler) {
    let limits = ServerLimits {
        connections: 20_000,
        ..ServerLimits::default()
    };
    serve(listener, limits, CancellationToken::new(), handler).await;
}
