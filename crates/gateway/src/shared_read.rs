//! Reads of the store that several requests wait for at once.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;

/// Time from the beginning of one read to that of the next.
const MIN_INTERVAL: Duration = Duration::from_millis(60);

/// A read that at most one request makes at a time, for all that wait for its result.
#[derive(Debug, Default)]
pub(crate) struct SharedRead {
    is_running: Cell<bool>,
    /// Beginning of the last read.
    began: Cell<Option<Instant>>,
    /// Beginning of the last read that succeeded.
    succeeded: Cell<Option<Instant>>,
    ended: Notify,
}

/// Ends a read also if the request that makes it is dropped.
struct Running<'a>(&'a SharedRead);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.is_running.set(false);
        self.0.ended.notify_waiters();
    }
}

impl SharedRead {
    /// Waits for a successful read that began at `since` or later, and makes it with `read`
    /// unless another request does. Returns `false` if a read of this request failed.
    pub(crate) async fn since<F>(
        &self,
        since: Instant,
        now: impl Fn() -> Instant,
        read: impl Fn() -> F,
    ) -> bool
    where
        F: Future<Output = bool>,
    {
        loop {
            if self.succeeded.get().is_some_and(|began| began >= since) {
                return true;
            }
            if self.is_running.get() {
                let ended = self.ended.notified();
                if self.is_running.get() {
                    ended.await;
                }
                continue;
            }
            self.is_running.set(true);
            let running = Running(self);
            if let Some(began) = self.began.get() {
                let elapsed = now().saturating_duration_since(began);
                compio::time::sleep(MIN_INTERVAL.saturating_sub(elapsed)).await;
            }
            let began = now();
            self.began.set(Some(began));
            let succeeded = read().await;
            if succeeded {
                self.succeeded.set(Some(began));
            }
            drop(running);
            if !succeeded {
                return false;
            }
        }
    }
}
