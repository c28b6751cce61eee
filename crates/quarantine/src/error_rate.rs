//! How often runs are lost for other reasons.

use std::time::Duration;
use std::time::Instant;

/// Time after which an outcome counts half.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Number of successes assumed before any run.
const PRIOR_SUCCESSES: f64 = 30.0;

/// Accepted probability that chance alone produces the crashes of a quarantined part in
/// a row.
const ERROR_PROBABILITY: f64 = 1e-5;

/// Fewest and most halves of a crash of full weight that quarantine a part.
const HALVES_RANGE: (f64, f64) = (5.0, 10.0);

/// Share of the runs that a crash of their upstream ends before they are proven, for
/// reasons that are not known to lie in their requests.
#[derive(Debug, Default)]
pub(crate) struct ErrorRate {
    successes: f64,
    losses: f64,
    updated: Option<Instant>,
}

impl ErrorRate {
    pub(crate) fn record_success(&mut self, now: Instant) {
        self.decay(now);
        self.successes += 1.0;
    }

    pub(crate) fn record_loss(&mut self, now: Instant) {
        self.decay(now);
        self.losses += 1.0;
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = self
            .updated
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let factor = 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.successes *= factor;
        self.losses *= factor;
        self.updated = Some(now);
    }

    /// Returns the total weight, in halves of a crash, at which chance no longer
    /// explains the crashes of a part in a row. `own_crashes` are those crashes,
    /// which do not count as losses for other reasons.
    pub(crate) fn threshold_halves(&self, own_crashes: usize) -> u32 {
        let losses = (self.losses - own_crashes as f64).max(0.0);
        let rate = (losses + 1.0) / (losses + self.successes + PRIOR_SUCCESSES);
        let (fewest, most) = HALVES_RANGE;
        let halves = (2.0 * ERROR_PROBABILITY.ln() / rate.ln()).round();
        halves.clamp(fewest, most) as u32
    }
}
