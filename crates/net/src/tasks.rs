//! What the loops of a process share.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpListener;
use eyre::Result;
use eyre::WrapErr;

/// Starts a task that ends by itself or with the process.
pub fn spawn_detached(task: impl Future<Output = ()> + 'static) {
    compio::runtime::spawn(task).detach();
}

/// Waits for a number of milliseconds.
pub async fn sleep_ms(millis: u64) {
    compio::time::sleep(Duration::from_millis(millis)).await;
}

/// Listens on `addr`.
///
/// # Errors
/// That and why it can't.
pub async fn bind(addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr)
        .await
        .wrap_err_with(|| format!("can't listen on {addr}"))
}

/// Counts as one of `count` until it is dropped.
#[derive(Debug)]
pub struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    /// Adds one to `count`.
    pub fn new(count: Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
