//! Per-workspace limits, split among the entries without I/O.
//!
//! Each entry enforces a fraction of a workspace's declared limits. The fraction
//! follows the demand that the entries report to each other, and falls back to the
//! fixed part of a failure domain while the other domains are unreachable.

mod demand;
mod limiter;

pub use demand::DemandTracker;
pub use demand::Topology;
pub use limiter::Limiter;
pub use limiter::Permit;
pub use limiter::Rejection;
