//! Fault-injecting TCP proxy.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use compio::io::AsyncRead;
use compio::io::AsyncWriteExt;
use compio::net::TcpListener;
use compio::net::TcpStream;
use futures_util::FutureExt;
use futures_util::select;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::server::ServerThread;

/// Fault that the proxy injects into its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Forwards everything.
    Pass,
    /// Aborts open connections and closes new ones immediately.
    Cut,
    /// Holds traffic in both directions until the fault changes.
    Freeze,
    /// Forwards requests and holds responses.
    HoldResponses,
    /// Forwards responses and holds requests.
    HoldRequests,
    /// Forwards this many bytes of each connection to the server, then aborts it.
    CutRequestAfter(usize),
    /// Forwards requests and aborts the connection when a response begins.
    LoseResponse,
    /// Forwards this many bytes of each connection to the client, then aborts it.
    CutResponseAfter(usize),
    /// Forwards each chunk read after a delay.
    Delay(Duration),
}

#[derive(Debug)]
struct FaultState {
    fault: Mutex<Fault>,
    changed: Notify,
}

impl FaultState {
    fn fault(&self) -> Fault {
        *self.fault.lock().expect("the lock is not poisoned")
    }
}

/// A running proxy.
#[derive(Debug)]
pub struct Proxy {
    state: Arc<FaultState>,
    server: ServerThread,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Request,
    Response,
}

impl Proxy {
    /// Starts a proxy that forwards connections to `target`.
    pub fn start(target: SocketAddr) -> Self {
        let state = Arc::new(FaultState {
            fault: Mutex::new(Fault::Pass),
            changed: Notify::new(),
        });
        let shared = state.clone();
        let addr = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = ServerThread::start(addr, CancellationToken::new(), move |listener| {
            accept_loop(listener, target, shared)
        });
        Self { state, server }
    }

    /// Returns the address of the proxy.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Sets the fault, which also applies to open connections.
    pub fn set(&self, fault: Fault) {
        *self.state.fault.lock().expect("the lock is not poisoned") = fault;
        self.state.changed.notify_waiters();
    }
}

async fn accept_loop(listener: TcpListener, target: SocketAddr, state: Arc<FaultState>) {
    while let Ok((stream, _)) = listener.accept().await {
        let state = state.clone();
        compio::runtime::spawn(async move {
            if state.fault() != Fault::Cut {
                let _ = forward(stream, target, state).await;
            }
        })
        .detach();
    }
}

async fn forward(
    client: TcpStream,
    target: SocketAddr,
    state: Arc<FaultState>,
) -> std::io::Result<()> {
    let server = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    // The end of either direction drops both, which closes both connections.
    select! {
        () = copy(client_read, server_write, Direction::Request, &state).fuse() => (),
        () = copy(server_read, client_write, Direction::Response, &state).fuse() => (),
    }
    Ok(())
}

async fn copy(mut from: TcpStream, mut to: TcpStream, direction: Direction, state: &FaultState) {
    let mut buffer = Vec::with_capacity(16 * 1024);
    let mut forwarded = 0_usize;
    loop {
        buffer.clear();
        let read = select! {
            result = from.read(buffer).fuse() => result,
            () = wait_for_cut(state).fuse() => return,
        };
        let compio::BufResult(Ok(count), bytes) = read else {
            return;
        };
        if count == 0 {
            return;
        }
        let Some(allowed) = wait_to_forward(state, direction, forwarded, count).await else {
            return;
        };
        let mut bytes = bytes;
        bytes.truncate(allowed);
        let compio::BufResult(written, bytes) = to.write_all(bytes).await;
        if written.is_err() || allowed < count {
            return;
        }
        forwarded += count;
        buffer = bytes;
    }
}

/// Waits until bytes may be forwarded and returns how many of the next `count`,
/// where `forwarded` bytes preceded them. `None` aborts the connection.
async fn wait_to_forward(
    state: &FaultState,
    direction: Direction,
    forwarded: usize,
    count: usize,
) -> Option<usize> {
    loop {
        let changed = state.changed.notified();
        match (state.fault(), direction) {
            (Fault::Cut, _) | (Fault::LoseResponse, Direction::Response) => return None,
            (Fault::Freeze, _)
            | (Fault::HoldResponses, Direction::Response)
            | (Fault::HoldRequests, Direction::Request) => changed.await,
            (Fault::CutRequestAfter(limit), Direction::Request)
            | (Fault::CutResponseAfter(limit), Direction::Response) => {
                return Some(count.min(limit.saturating_sub(forwarded)));
            }
            (Fault::Delay(delay), _) => {
                compio::time::sleep(delay).await;
                return Some(count);
            }
            _ => return Some(count),
        }
    }
}

async fn wait_for_cut(state: &FaultState) {
    loop {
        let changed = state.changed.notified();
        if state.fault() == Fault::Cut {
            return;
        }
        changed.await;
    }
}
