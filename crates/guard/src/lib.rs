//! What may be admitted and repeated.
//!
//! [`QuotaTracker`] holds workspaces to their limits over all entries together,
//! [`RetryBudget`] bounds how often requests are sent to a second upstream,
//! and [`CrashTracker`] finds requests that crash the upstreams which run them.
//! Each is pure; what the entries tell each other is passed in.

mod budget;
mod crash_tracker;
mod quota;

pub use budget::RetryBudget;
pub use budget::RetryBudgetConfig;
pub use crash_tracker::CrashTracker;
pub use quota::IncarnationSpending;
pub use quota::Quota;
pub use quota::QuotaExceeded;
pub use quota::QuotaTracker;
pub use quota::SNAPSHOT_CHECK_INTERVAL;
