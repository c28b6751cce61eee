//! Per-workspace limits, split over the entries without I/O.
//!
//! Each entry enforces its share of a workspace's declared limits. The share
//! follows demand as the entries tell each other, and falls back to a fixed
//! part while other failure domains can't be heard.

mod demand;
mod limiter;

pub use demand::DemandTracker;
pub use demand::Topology;
pub use limiter::Limiter;
pub use limiter::Permit;
pub use limiter::Rejection;
