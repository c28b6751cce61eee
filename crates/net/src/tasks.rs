//! Helpers for background tasks and listeners.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use compio::net::TcpListener;
use eyre::Result;
use eyre::WrapErr;

/// Spawns a task that runs until it returns or the event loop ends.
pub fn spawn_detached(task: impl Future<Output = ()> + 'static) {
    compio::runtime::spawn(task).detach();
}

/// Sleeps for `millis` milliseconds.
pub async fn sleep_ms(millis: u64) {
    compio::time::sleep(Duration::from_millis(millis)).await;
}

/// Binds a TCP listener to `addr`.
///
/// # Errors
/// If the address can't be bound; the error names the address and the cause.
pub async fn bind(addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr)
        .await
        .wrap_err_with(|| format!("can't listen on {addr}"))
}

/// Counts as one in a shared counter until it is dropped.
#[derive(Debug)]
pub struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    /// Increments `count`, which is decremented when the guard is dropped.
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

/// Lets other tasks and the caller of the current task run once.
pub async fn yield_now() {
    let mut yielded = false;
    std::future::poll_fn(|cx| {
        if std::mem::replace(&mut yielded, true) {
            return Poll::Ready(());
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}
