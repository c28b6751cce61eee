//! The clock interface, so that decisions can be tested at any time of day.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Source of the current time.
pub trait Clock {
    /// Time that never goes back, for timeouts and leases. It goes on while the
    /// VM is suspended.
    fn now(&self) -> Instant;

    /// Wall-clock time, for values that other processes read.
    fn wall(&self) -> SystemTime;
}

/// The operating system's clocks.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock {
    anchor: Instant,
    anchor_boot: Duration,
}

impl SystemClock {
    /// Creates a clock that counts suspensions from now on.
    pub fn new() -> Self {
        Self {
            anchor: Instant::now(),
            anchor_boot: since_boot(),
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
        // `Instant` stands still during a suspension and the boot-time clock
        // does not; leases and freshness of belief need the latter.
        self.anchor + since_boot().saturating_sub(self.anchor_boot)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
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
