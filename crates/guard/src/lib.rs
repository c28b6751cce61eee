//! What may be admitted and repeated.
//!
//! [`Allotments`] holds workspaces to their limits over all entries together,
//! [`RetryBudget`] bounds how often requests are sent to a second upstream,
//! and [`Suspects`] finds requests that crash the upstreams which run them.
//! Each is pure; what the entries tell each other is passed in.

mod allotment;
mod budget;
mod suspects;

pub use allotment::Allotments;
pub use allotment::Exceeded;
pub use allotment::Limit;
pub use allotment::RECORD_CHECK;
pub use allotment::RunSpending;
pub use budget::BudgetTerms;
pub use budget::RetryBudget;
pub use suspects::Suspects;
