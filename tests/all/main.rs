//! Integration tests with real entry processes.

mod backpressure;
mod claims;
mod configuration;
mod partition;
mod path;
mod placement;
mod poison;
mod reclaim;
mod seeded;
mod stop;
mod support;
