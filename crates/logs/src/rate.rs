//! Rate limit of log lines.

use std::time::Duration;
use std::time::Instant;

/// Maximum number of lines of one severity per second.
pub const LINES_PER_SECOND: u32 = 200;

/// Rate limit of one severity, counted in windows of one second.
#[derive(Debug)]
pub struct LineBudget {
    window_start: Option<Instant>,
    lines: u32,
}

impl LineBudget {
    /// Creates an unused budget.
    pub const fn new() -> Self {
        Self {
            window_start: None,
            lines: 0,
        }
    }

    /// Takes one line from the budget. Returns whether any was left at `now`.
    pub fn take(&mut self, now: Instant) -> bool {
        let same_window = self
            .window_start
            .is_some_and(|start| now.saturating_duration_since(start) < Duration::from_secs(1));
        if !same_window {
            self.window_start = Some(now);
            self.lines = 0;
        }
        self.lines += 1;
        self.lines <= LINES_PER_SECOND
    }
}

impl Default for LineBudget {
    fn default() -> Self {
        Self::new()
    }
}
