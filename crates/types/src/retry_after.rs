//! The time after which a server wants to be asked again.

use std::time::Duration;

/// Longest pause that is observed. A server that names a longer one would be excluded
/// for good by a single faulty response.
pub const MAX_PAUSE: Duration = Duration::from_secs(600);

/// Pause that is observed if its length can't be read.
const UNREADABLE_PAUSE: Duration = Duration::from_secs(1);

/// Value of a `Retry-After` header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryAfter {
    /// A time from the response on.
    After(Duration),
    /// A time that can't be read.
    Unreadable,
}

impl RetryAfter {
    /// Parses a number of seconds, which may have decimals.
    pub fn parse(value: &str) -> Self {
        let seconds = value.trim().parse().unwrap_or(f64::NAN);
        if seconds.is_nan() || seconds < 0.0 {
            return Self::Unreadable;
        }
        Self::After(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }

    /// Returns the pause to observe, at most [`MAX_PAUSE`].
    pub fn pause(self) -> Duration {
        match self {
            Self::After(length) => length.min(MAX_PAUSE),
            Self::Unreadable => UNREADABLE_PAUSE,
        }
    }

    /// Returns whether the pause to observe is not the one that was asked for.
    pub fn is_adjusted(self) -> bool {
        match self {
            Self::After(length) => length > MAX_PAUSE,
            Self::Unreadable => true,
        }
    }
}
