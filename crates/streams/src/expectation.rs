//! Learned lengths of answers.

/// Power-of-two buckets of answer lengths; the last holds all longer ones.
const BUCKETS: usize = 20;

/// Observations after which old ones count half.
const HALF_LIFE: f64 = 256.0;

/// Distribution of answer lengths as they were truly read, with old
/// observations fading.
#[derive(Debug, Clone)]
pub struct Expectation {
    weights: [f64; BUCKETS],
    total: f64,
    scale: f64,
}

impl Expectation {
    /// Knows nothing yet.
    pub fn new() -> Self {
        Self {
            weights: [0.0; BUCKETS],
            total: 0.0,
            scale: 1.0,
        }
    }

    /// Learns that an answer of `length` tokens was read.
    pub fn observe(&mut self, length: usize) {
        // Growing the weight of new observations equals fading the old ones.
        self.scale *= 0.5_f64.powf(-1.0 / HALF_LIFE);
        self.weights[bucket(length)] += self.scale;
        self.total += self.scale;
        if self.scale > 1e12 {
            self.rescale();
        }
    }

    /// Length that a share `quantile` of the answers longer than `reached`
    /// stays below; `declared` bounds it and stands in before anything is known.
    pub fn length(&self, quantile: f64, reached: usize, declared: usize) -> usize {
        let first = bucket(reached + 1);
        let beyond: f64 = self.weights[first..].iter().sum();
        if beyond <= 0.0 {
            return declared.max(reached);
        }
        let mut left = beyond * quantile;
        for (index, weight) in self.weights.iter().enumerate().skip(first) {
            left -= weight;
            if left <= 0.0 {
                return (1_usize << index).clamp(reached.min(declared), declared);
            }
        }
        declared
    }

    /// Whether anything was observed.
    pub fn is_known(&self) -> bool {
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

impl Default for Expectation {
    fn default() -> Self {
        Self::new()
    }
}

/// Bucket `i` holds lengths above 2^(i-1) up to 2^i.
fn bucket(length: usize) -> usize {
    let bits = usize::BITS - length.saturating_sub(1).leading_zeros();
    (bits as usize).min(BUCKETS - 1)
}
