//! Admission and retry policies.
//!
//! [`QuotaTracker`] enforces workspace quotas over all entries together, and
//! [`RetryBudget`] limits how often requests are sent to another upstream. Both work
//! without I/O; the caller passes in what peers report.

mod budget;
mod quota;
mod snapshot;
mod spending;
mod throttle;

pub use budget::RetryBudget;
pub use budget::RetryBudgetConfig;
pub use quota::Charge;
pub use quota::Quota;
pub use quota::QuotaExceeded;
pub use quota::QuotaTracker;
pub use snapshot::IncarnationSpending;
pub use snapshot::SNAPSHOT_CHECK_INTERVAL;
pub use spending::SpendingSum;
