//! Admission while callers request more than is left of a quota.

use std::time::Duration;

/// Time until what is left may be spent, as a multiple of the time until a report
/// reaches all entries. Above 1, the entries learn of one another's spending before
/// all of it is spent.
const SPREAD_FACTOR: f64 = 2.0;

/// Fraction of the units that leave the window which may be spent again without
/// waiting for reports.
const REFILL_FRACTION: f64 = 0.5;

/// Time after which a request that was not drawn may come back.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(1000);

/// Returns the fraction of requests to admit, at least 1 if all can be. Every entry
/// admits the same fraction, so that all of them together spend at most `left` units
/// in twice the `lag` of reports. `refill` is the rate at which units leave the
/// window and `requested` the rate at which callers request them, in units per
/// second.
pub(crate) fn accepted_fraction(left: f64, refill: f64, requested: f64, lag: Duration) -> f64 {
    let spread = lag.as_secs_f64() * SPREAD_FACTOR;
    let affordable = left / spread + refill * REFILL_FRACTION;
    if requested <= affordable {
        return 1.0;
    }
    affordable / requested
}
