//! The budget for sending requests to a second upstream.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::HashMap;
use lycheehaven_types::Name;
use lycheehaven_types::SlidingSum;

/// Part of the declared budget that is used; the rest covers requests that
/// count in another window than their repeats, and restarted entries.
const USED_PART: f64 = 0.8;

/// The declared budget, for all entries together.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudgetConfig {
    /// Window that repeats are counted in.
    pub window: Duration,
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond the ratio.
    pub slack: f64,
}

#[derive(Debug)]
struct Counts {
    requests: SlidingSum,
    repeats: SlidingSum,
}

/// This entry's part of the retry budget, by service. It grows with the
/// entry's own requests, and the slack is divided evenly, so that the parts
/// never add up to more than the whole.
#[derive(Debug)]
pub struct RetryBudget {
    terms: RetryBudgetConfig,
    counts: HashMap<Name, Counts>,
}

impl RetryBudget {
    /// An unused budget.
    pub fn new(terms: RetryBudgetConfig) -> Self {
        Self {
            terms,
            counts: HashMap::default(),
        }
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, service: &Name, now: Instant) {
        self.counts(service).requests.add(1.0, now);
    }

    /// Takes one repeat out of the budget, if any is left. `members` is the
    /// number of entries that share it.
    pub fn try_take(&mut self, service: &Name, members: usize, now: Instant) -> bool {
        let left = self.has_remaining(service, members, now);
        if left {
            self.counts(service).repeats.add(1.0, now);
        }
        left
    }

    /// Whether a repeat is left.
    pub fn has_remaining(&mut self, service: &Name, members: usize, now: Instant) -> bool {
        let terms = self.terms;
        let counts = self.counts(service);
        let slack = terms.slack / members.max(1) as f64;
        let allowed = (terms.ratio * counts.requests.sum(now) + slack) * USED_PART;
        counts.repeats.sum(now) + 1.0 <= allowed
    }

    fn counts(&mut self, service: &Name) -> &mut Counts {
        let window = self.terms.window;
        self.counts
            .entry(service.clone())
            .or_insert_with(|| Counts {
                requests: SlidingSum::new(window),
                repeats: SlidingSum::new(window),
            })
    }
}
