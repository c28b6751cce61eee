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

/// What the proxy does to traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Forwards everything.
    Pass,
    /// Breaks open connections and closes new ones at once.
    Cut,
    /// Holds everything in both directions until the fault changes.
    Freeze,
    /// Forwards requests and holds answers.
    HoldAnswers,
    /// Forwards answers and holds requests.
    HoldRequests,
    /// Forwards this many bytes of each request, then breaks the connection.
    CutRequestAfter(usize),
    /// Forwards requests and breaks the connection when the answer begins.
    LoseAnswer,
    /// Forwards this many bytes of each answer, then breaks the connection.
    CutAnswerAfter(usize),
    /// Forwards each read after a delay.
    Delay(Duration),
}

#[derive(Debug)]
struct Rules {
    fault: Mutex<Fault>,
    changed: Notify,
}

impl Rules {
    fn fault(&self) -> Fault {
        *self.fault.lock().expect("proxy rules are never poisoned")
    }
}

/// A running proxy.
#[derive(Debug)]
pub struct Proxy {
    rules: Arc<Rules>,
    server: ServerThread,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Request,
    Answer,
}

impl Proxy {
    /// Starts a proxy before `target`.
    pub fn start(target: SocketAddr) -> Self {
        let rules = Arc::new(Rules {
            fault: Mutex::new(Fault::Pass),
            changed: Notify::new(),
        });
        let shared = rules.clone();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = ServerThread::start(any, CancellationToken::new(), move |listener| {
            accept_loop(listener, target, shared)
        });
        Self { rules, server }
    }

    /// Address of the proxy.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Changes the fault, also for open connections.
    pub fn set(&self, fault: Fault) {
        *self
            .rules
            .fault
            .lock()
            .expect("proxy rules are never poisoned") = fault;
        self.rules.changed.notify_waiters();
    }
}

async fn accept_loop(listener: TcpListener, target: SocketAddr, rules: Arc<Rules>) {
    while let Ok((stream, _)) = listener.accept().await {
        let rules = rules.clone();
        compio::runtime::spawn(async move {
            if rules.fault() != Fault::Cut {
                let _ = forward(stream, target, rules).await;
            }
        })
        .detach();
    }
}

async fn forward(client: TcpStream, target: SocketAddr, rules: Arc<Rules>) -> std::io::Result<()> {
    let server = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    // Ending either direction drops both, which breaks both connections.
    select! {
        () = copy(client_read, server_write, Direction::Request, &rules).fuse() => (),
        () = copy(server_read, client_write, Direction::Answer, &rules).fuse() => (),
    }
    Ok(())
}

async fn copy(mut from: TcpStream, mut to: TcpStream, direction: Direction, rules: &Rules) {
    let mut buffer = Vec::with_capacity(16 * 1024);
    let mut forwarded = 0_usize;
    loop {
        buffer.clear();
        let read = select! {
            result = from.read(buffer).fuse() => result,
            () = cut(rules).fuse() => return,
        };
        let compio::BufResult(Ok(count), bytes) = read else {
            return;
        };
        if count == 0 {
            return;
        }
        let Some(allowed) = pass(rules, direction, forwarded, count).await else {
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

/// Waits until `count` bytes may pass and says how many of them; `None` breaks
/// the connection.
async fn pass(rules: &Rules, direction: Direction, done: usize, count: usize) -> Option<usize> {
    loop {
        let waiting = rules.changed.notified();
        match (rules.fault(), direction) {
            (Fault::Cut, _) | (Fault::LoseAnswer, Direction::Answer) => return None,
            (Fault::Freeze, _)
            | (Fault::HoldAnswers, Direction::Answer)
            | (Fault::HoldRequests, Direction::Request) => waiting.await,
            (Fault::CutRequestAfter(limit), Direction::Request)
            | (Fault::CutAnswerAfter(limit), Direction::Answer) => {
                return Some(count.min(limit.saturating_sub(done)));
            }
            (Fault::Delay(delay), _) => {
                compio::time::sleep(delay).await;
                return Some(count);
            }
            _ => return Some(count),
        }
    }
}

async fn cut(rules: &Rules) {
    loop {
        let waiting = rules.changed.notified();
        if rules.fault() == Fault::Cut {
            return;
        }
        waiting.await;
    }
}
