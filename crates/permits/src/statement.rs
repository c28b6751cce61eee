//! What one response states about the rate of requests to its sender.

use std::time::Instant;

use lycheehaven_types::RequestRate;

/// What an upstream stated at some time between `sent` and `read`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Statement {
    /// Stated rate, or `None` if the response states no limit.
    pub rate: Option<RequestRate>,
    /// When the request was sent.
    pub sent: Instant,
    /// When the head of its response was read.
    pub read: Instant,
}

impl Statement {
    /// Returns the statement that holds after both. The later one does; if neither is
    /// known to be later, as responses on parallel connections overtake each other, the
    /// one with the smaller rate.
    pub(crate) fn join(self, other: Self) -> Self {
        if self.sent > other.read {
            return self;
        }
        if other.sent > self.read {
            return other;
        }
        match self.limit().cmp(&other.limit()) {
            std::cmp::Ordering::Less => self,
            std::cmp::Ordering::Greater => other,
            std::cmp::Ordering::Equal => Self {
                rate: self.rate,
                sent: self.sent.max(other.sent),
                read: self.read.max(other.read),
            },
        }
    }

    /// Returns the rate in an order in which no limit comes last.
    fn limit(&self) -> (bool, Option<RequestRate>) {
        (self.rate.is_none(), self.rate)
    }
}
