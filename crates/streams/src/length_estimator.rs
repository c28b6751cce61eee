//! Estimation of answer lengths.

/// Power-of-two buckets of answer lengths; the last holds all longer ones.
const BUCKET_COUNT: usize = 20;

/// Number of observations after which an earlier one counts half.
const HALF_LIFE_OBSERVATIONS: f64 = 256.0;

/// Distribution of the lengths of answers, with exponential decay of old
/// observations.
#[derive(Debug, Clone)]
pub struct LengthEstimator {
    weights: [f64; BUCKET_COUNT],
    total: f64,
    scale: f64,
}

impl LengthEstimator {
    /// Creates an estimator without observations.
    pub fn new() -> Self {
        Self {
            weights: [0.0; BUCKET_COUNT],
            total: 0.0,
            scale: 1.0,
        }
    }

    /// Records an answer that ended after `length` tokens.
    pub fn observe(&mut self, length: usize) {
        // Increasing the weight of each new observation has the same effect as
        // decaying all old ones, and touches a single bucket.
        self.scale *= 0.5_f64.powf(-1.0 / HALF_LIFE_OBSERVATIONS);
        self.weights[bucket(length)] += self.scale;
        self.total += self.scale;
        if self.scale > 1e12 {
            self.rescale();
        }
    }

    /// Returns the `quantile` of the lengths of answers that are longer than
    /// `reached` tokens, rounded up to a power of two, at least `reached` and at
    /// most `declared`. Without such observations, returns `declared`, or
    /// `reached` if that is more.
    pub fn estimate(&self, quantile: f64, reached: usize, declared: usize) -> usize {
        let first = bucket(reached + 1);
        let beyond: f64 = self.weights[first..].iter().sum();
        if beyond <= 0.0 {
            return declared.max(reached);
        }
        let mut remaining = beyond * quantile;
        for (index, weight) in self.weights.iter().enumerate().skip(first) {
            remaining -= weight;
            if remaining <= 0.0 {
                return (1_usize << index).clamp(reached.min(declared), declared);
            }
        }
        declared
    }

    /// Returns whether anything was observed.
    pub fn has_observations(&self) -> bool {
        self.total > 0.0
    }

    fn rescale(&mut self) {
        for weight in &mut self.weights {
            *weight /= self.scale;
        }
        self.total /= self.scale;
        self.scale = 1.0;
    }
}

impl Default for LengthEstimator {
    fn default() -> Self {
        Self::new()
    }
}

/// Bucket `i` holds lengths above 2^(i-1) up to 2^i.
fn bucket(length: usize) -> usize {
    let bits = usize::BITS - length.saturating_sub(1).leading_zeros();
    (bits as usize).min(BUCKET_COUNT - 1)
}
