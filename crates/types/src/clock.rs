//! The clock interface, so that decisions can be tested at any time of day.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

/// Source of the current time.
pub trait Clock {
    /// Monotonic time, for timeouts and leases.
    fn now(&self) -> Instant;

    /// Wall-clock time, for values that other processes read.
    fn wall(&self) -> SystemTime;
}

/// The operating system's clocks.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that moves only when told to.
#[derive(Debug)]
pub struct ManualClock {
    base: Instant,
    wall: SystemTime,
    elapsed: Mutex<Duration>,
}

impl ManualClock {
    /// Creates a clock that stands at `wall`.
    pub fn new(wall: SystemTime) -> Self {
        Self {
            base: Instant::now(),
            wall,
            elapsed: Mutex::new(Duration::ZERO),
        }
    }

    /// Moves both clocks forward by `step`.
    pub fn advance(&self, step: Duration) {
        *self.elapsed.lock().expect("clock lock is never poisoned") += step;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().expect("clock lock is never poisoned")
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.base + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        self.wall + self.elapsed()
    }
}
