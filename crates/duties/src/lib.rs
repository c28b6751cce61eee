//! What the holder of the lease does for all entries.
//!
//! [`Usage`] counts the requests that began in each window of time, here and at
//! the peers. [`Scaler`] decides how many engines of which kind to order in
//! each failure domain. [`WallAgreement`] corrects this entry's time of day by
//! that of its peers. All are pure; the loops that feed them are elsewhere.

mod scaler;
mod usage;
mod wall;

pub use scaler::Fleet;
pub use scaler::Order;
pub use scaler::Pool;
pub use scaler::Scaler;
pub use usage::Counts;
pub use usage::Usage;
pub use wall::WallAgreement;
