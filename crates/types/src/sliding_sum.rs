//! A sum over a sliding window.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Buckets that a window is divided into. A bucket counts until all of it has
/// left the window, so the sum is never too small.
const BUCKETS: u32 = 32;

/// Sum of the amounts that were added during the last window.
#[derive(Debug)]
pub struct SlidingSum {
    window: Duration,
    buckets: VecDeque<(Instant, f64)>,
    sum: f64,
}

impl SlidingSum {
    /// An empty sum over `window`.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            buckets: VecDeque::new(),
            sum: 0.0,
        }
    }

    /// Adds an amount at `now`.
    pub fn add(&mut self, amount: f64, now: Instant) {
        let width = self.window / BUCKETS;
        self.sum += amount;
        match self.buckets.back_mut() {
            Some((start, held)) if now.saturating_duration_since(*start) < width => {
                *held += amount;
            }
            _ => self.buckets.push_back((now, amount)),
        }
    }

    /// The sum over the window that ends at `now`.
    pub fn sum(&mut self, now: Instant) -> f64 {
        let keep = self.window + self.window / BUCKETS;
        while let Some((start, held)) = self.buckets.front() {
            if now.saturating_duration_since(*start) < keep {
                break;
            }
            self.sum -= held;
            self.buckets.pop_front();
        }
        if self.buckets.is_empty() {
            self.sum = 0.0;
        }
        self.sum
    }

    /// Time from `now` until `amount` has left the window.
    pub fn time_until_expired(&self, amount: f64, now: Instant) -> Duration {
        let mut left = amount;
        for (start, held) in &self.buckets {
            left -= held;
            if left <= 0.0 {
                return (*start + self.window).saturating_duration_since(now);
            }
        }
        self.window
    }
}
