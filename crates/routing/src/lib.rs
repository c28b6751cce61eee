//! Selection of an upstream for a request, without I/O.
//!
//! A [`Table`] holds the state of each upstream: its VM, its last load report, the
//! work that this entry sent it since, the prompt prefixes that it probably caches,
//! and its recent failures. [`Table::choose`] compares a few sampled candidates, so
//! its cost does not grow with the number of upstreams.

mod choose;
mod table;

pub use choose::Candidate;
pub use choose::Choice;
pub use choose::Policy;
pub use choose::Query;
pub use choose::Reason;
pub use choose::Rules;
pub use table::Closed;
pub use table::Load;
pub use table::Table;
pub use table::Upstream;
pub use table::UpstreamId;
