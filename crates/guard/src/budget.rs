//! Retry budget: limits how often requests are sent to another upstream.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::HashMap;
use lycheehaven_types::Name;
use lycheehaven_types::SlidingSum;

/// Fraction of the configured budget that is used. The rest covers requests that
/// fall into another window than their retries, and restarted entries.
const USABLE_FRACTION: f64 = 0.8;

/// Configured retry budget of all entries together.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudgetConfig {
    /// Window over which requests and retries are counted.
    pub window: Duration,
    /// Permitted retries per request.
    pub ratio: f64,
    /// Permitted retries per window in addition to the ratio.
    pub slack: f64,
}

#[derive(Debug)]
struct Counts {
    requests: SlidingSum,
    retries: SlidingSum,
}

/// This entry's part of the retry budget of each service.
///
/// The part grows with the requests that the entry itself receives, and the slack
/// is divided evenly among the entries, so the parts never add up to more than the
/// configured budget.
#[derive(Debug)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    counts: HashMap<Name, Counts>,
}

impl RetryBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(config: RetryBudgetConfig) -> Self {
        Self {
            config,
            counts: HashMap::default(),
        }
    }

    /// Counts a caller's request, which adds to the budget.
    pub fn record_request(&mut self, service: &Name, now: Instant) {
        self.counts(service).requests.add(1.0, now);
    }

    /// Takes one retry out of the budget and returns whether one was left.
    /// `members` is the number of entries that share the budget.
    pub fn try_take(&mut self, service: &Name, members: usize, now: Instant) -> bool {
        let taken = self.has_remaining(service, members, now);
        if taken {
            self.counts(service).retries.add(1.0, now);
        }
        taken
    }

    /// Returns whether a retry is left in the budget.
    pub fn has_remaining(&mut self, service: &Name, members: usize, now: Instant) -> bool {
        let config = self.config;
        let counts = self.counts(service);
        let slack = config.slack / members.max(1) as f64;
        let allowed = (config.ratio * counts.requests.sum(now) + slack) * USABLE_FRACTION;
        counts.retries.sum(now) + 1.0 <= allowed
    }

    fn counts(&mut self, service: &Name) -> &mut Counts {
        let window = self.config.window;
        self.counts
            .entry(service.clone())
            .or_insert_with(|| Counts {
                requests: SlidingSum::new(window),
                retries: SlidingSum::new(window),
            })
    }
}
