//! Duties that the lease holder performs for all entries, without I/O.
//!
//! [`Usage`] counts the requests that started in each time window, at this
//! entry and its peers. [`Demand`] sums the engine time that callers request,
//! from which [`Scaler`] derives the number of reclaimable and on-demand engines
//! to order in each failure domain. [`MedianClock`] corrects the wall clock of
//! this entry by those of its peers.

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
