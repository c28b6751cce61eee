//! Measures the figures on which `docs/CAPACITY.md` is based, and prints its
//! tables.
//!
//! `cargo run --release --example capacity [gossip|machines|processes|relay]`
//! prints one part, or all of them. Started with a settings file, the program runs
//! an entry; it starts the processes that it measures this way.

mod gossip;
mod machines;
mod processes;
mod relay;
#[path = "../support/mod.rs"]
mod support;

use std::path::Path;

use crate::support::run_entry;

fn main() {
    let part = std::env::args().nth(1).unwrap_or_default();
    if part.ends_with(".toml") {
        return run_entry(Path::new(&part));
    }
    let selected = |name: &str| part.is_empty() || part == name;
    if selected("gossip") {
        gossip::measure();
    }
    if selected("machines") {
        machines::measure();
    }
    if selected("processes") {
        processes::measure();
    }
    if selected("relay") {
        relay::measure();
    }
}

/// Fits a line to `points` by least squares and returns the intercept, the slope
/// and the largest residual.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = if variance > 0.0 {
        covariance / variance
    } else {
        0.0
    };
    let intercept = mean_y - slope * mean_x;
    let residual = points
        .iter()
        .map(|(x, y)| (y - intercept - slope * x).abs());
    (intercept, slope, residual.fold(0.0, f64::max))
}
