//! Bound on the number of lines.

use std::time::Duration;
use std::time::Instant;

/// Lines of one severity that are written in a second.
pub const LINES_PER_SECOND: u32 = 200;

/// Counts the lines of one severity in the present second.
#[derive(Debug)]
pub struct LineBudget {
    second: Option<Instant>,
    lines: u32,
}

impl LineBudget {
    /// A budget that is unused.
    pub const fn new() -> Self {
        Self {
            second: None,
            lines: 0,
        }
    }

    /// Takes one line, if any is left at `now`.
    pub fn take(&mut self, now: Instant) -> bool {
        let same = self
            .second
            .is_some_and(|start| now.saturating_duration_since(start) < Duration::from_secs(1));
        if !same {
            self.second = Some(now);
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
