//! A sum over a sliding window.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Number of buckets per window. A bucket counts until all of it has left the
/// window, so the sum never understates the true value.
const BUCKET_COUNT: u32 = 32;

/// Sum of the amounts added during the last window.
#[derive(Debug)]
pub struct SlidingSum {
    window: Duration,
    buckets: VecDeque<(Instant, f64)>,
    sum: f64,
}

impl SlidingSum {
    /// Creates an empty sum over `window`.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            buckets: VecDeque::new(),
            sum: 0.0,
        }
    }

    /// Adds an amount at `now`.
    pub fn add(&mut self, amount: f64, now: Instant) {
        let width = self.window / BUCKET_COUNT;
        self.sum += amount;
        match self.buckets.back_mut() {
            Some((start, total)) if now.saturating_duration_since(*start) < width => {
                *total += amount;
            }
            _ => self.buckets.push_back((now, amount)),
        }
    }

    /// Returns the sum over the window that ends at `now`.
    pub fn sum(&mut self, now: Instant) -> f64 {
        let max_age = self.window + self.window / BUCKET_COUNT;
        while let Some((start, total)) = self.buckets.front() {
            if now.saturating_duration_since(*start) < max_age {
                break;
            }
            self.sum -= total;
            self.buckets.pop_front();
        }
        if self.buckets.is_empty() {
            self.sum = 0.0;
        }
        self.sum
    }

    /// Returns the time from `now` until `amount` has left the window, at most
    /// the length of the window.
    pub fn time_until_expired(&self, amount: f64, now: Instant) -> Duration {
        let mut remaining = amount;
        for (start, total) in &self.buckets {
            remaining -= total;
            if remaining <= 0.0 {
                return (*start + self.window).saturating_duration_since(now);
            }
        }
        self.window
    }
}
