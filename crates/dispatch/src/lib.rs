//! Choice of an upstream.
//!
//! [`LoadTracker`] keeps what is known of each upstream's load: this entry's own
//! requests, those that the peers report, what the upstream tells with its
//! answers, and its recent failures. [`choose`] weighs load against the prompt
//! parts that an upstream has cached.

mod choose;
mod load;

pub use choose::Choice;
pub use choose::CostModel;
pub use choose::Query;
pub use choose::choose;
pub use load::Load;
pub use load::LoadReport;
pub use load::LoadTracker;
pub use load::ObservedLoad;
pub use load::PRIORITY_LEVELS;
