//! The clock interface, which lets tests control time.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Source of the current time.
pub trait Clock {
    /// Returns the monotonic time, for timeouts and leases. It advances while
    /// the VM is suspended.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time, for values that other processes read.
    fn wall(&self) -> SystemTime;
}

/// The operating system's clocks.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock {
    base: Instant,
    base_boot: Duration,
}

impl SystemClock {
    /// Creates a clock whose monotonic time includes suspensions from now on.
    pub fn new() -> Self {
        Self {
            base: Instant::now(),
            base_boot: since_boot(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        // `Instant` stops during a suspension and the boot-time clock does not.
        // Leases and the age of cached state must include the suspension.
        self.base + since_boot().saturating_sub(self.base_boot)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// A clock that advances only through [`ManualClock::advance`].
#[derive(Debug)]
pub struct ManualClock {
    base: Instant,
    wall: SystemTime,
    elapsed: Mutex<Duration>,
}

impl ManualClock {
    /// Creates a clock whose wall-clock time is `wall`.
    pub fn new(wall: SystemTime) -> Self {
        Self {
            base: Instant::now(),
            wall,
            elapsed: Mutex::new(Duration::ZERO),
        }
    }

    /// Advances the monotonic and the wall-clock time by `step`.
    pub fn advance(&self, step: Duration) {
        *self.elapsed.lock().expect("the lock is not poisoned") += step;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().expect("the lock is not poisoned")
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
