//! Counts of what reached a stand-in.

use std::time::Duration;
use std::time::Instant;

/// Returns the most of `times` that lie in one window of `length`, wherever it begins.
pub fn most_in_window(times: &[Instant], length: Duration) -> usize {
    let in_window = |first: &Instant| {
        let window = times.iter().filter(|at| *at >= first);
        window.filter(|at| **at < *first + length).count()
    };
    times.iter().map(in_window).max().unwrap_or(0)
}
