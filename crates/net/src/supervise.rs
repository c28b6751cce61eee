//! Tasks whose panic is seen by an owner.
//!
//! The event loop drops a task that panics and goes on with the others. Without an owner,
//! whoever waits for the task's result waits in vain, and a loop is missing until the
//! process ends. [`catch_panic`] turns the panic of a request's task into a value.
//! [`spawn_loop`] begins a loop again: other requests go on, which the end of the process
//! would cut, and a loop that panics on a stored value would panic in a new process too.

use std::fmt;
use std::panic::AssertUnwindSafe;
use std::time::Duration;
use std::time::Instant;

use futures_util::FutureExt;

use crate::spawn_detached;

/// Delay before a loop that panicked begins again, doubled with each further panic.
const FIRST_DELAY: Duration = Duration::from_millis(100);

/// Longest such delay.
const LONGEST_DELAY: Duration = Duration::from_secs(5);

/// Time without a panic after which the delay is the first one again.
const STABLE_TIME: Duration = Duration::from_secs(30);

/// A task panicked. The panic has a log line of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Panicked;

impl fmt::Display for Panicked {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the task panicked")
    }
}

impl std::error::Error for Panicked {}

/// Runs `task` to its end.
///
/// State that the task shares with others is borrowed for single steps only and is
/// released as the panic unwinds, so the others find it usable.
///
/// # Errors
/// If the task panics.
pub async fn catch_panic<T>(task: impl Future<Output = T>) -> Result<T, Panicked> {
    AssertUnwindSafe(task)
        .catch_unwind()
        .await
        .map_err(|_| Panicked)
}

/// Spawns the task that `start` returns. If it panics, it begins again after a delay; if it
/// returns, it has ended.
pub fn spawn_loop<F>(name: &'static str, start: impl Fn() -> F + 'static)
where
    F: Future<Output = ()> + 'static,
{
    spawn_detached(async move {
        let mut delay = FIRST_DELAY;
        loop {
            let began = Instant::now();
            if catch_panic(async { start().await }).await.is_ok() {
                return;
            }
            if began.elapsed() >= STABLE_TIME {
                delay = FIRST_DELAY;
            }
            log::error!(
                target: "lycheehaven",
                name = name,
                delay_ms = delay.as_millis() as u64;
                "a loop panicked; it begins again"
            );
            compio::time::sleep(delay).await;
            delay = (delay * 2).min(LONGEST_DELAY);
        }
    });
}

/// Spawns a task that can't begin again, as it owns what it works on. If it panics, `stop`
/// is called, which stops the process as if asked to, so that a new one is started.
pub fn spawn_vital(task: impl Future<Output = ()> + 'static, stop: impl FnOnce() + 'static) {
    spawn_detached(async move {
        if catch_panic(task).await.is_err() {
            log::error!(target: "lycheehaven", "a task that can't begin again panicked; the process stops");
            stop();
        }
    });
}
