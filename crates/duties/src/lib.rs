//! What the holder of the lease does for all entries.
//!
//! [`Usage`] counts the requests that began in each window of time, here and at
//! the peers. [`Demand`] sums the work that callers ask of engines, from which
//! [`Scaler`] decides how many of which kind to order in each failure domain. [`MedianClock`] corrects this entry's time of day by
//! that of its peers. All are pure; the loops that feed them are elsewhere.

mod demand;
mod median_clock;
mod scaler;
mod usage;

pub use demand::Demand;
pub use median_clock::MedianClock;
pub use scaler::Fleet;
pub use scaler::Order;
pub use scaler::ScalePolicy;
pub use scaler::ScaledService;
pub use scaler::Scaler;
pub use usage::IncarnationCounts;
pub use usage::Usage;
pub use usage::WindowCounts;
