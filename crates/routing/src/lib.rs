//! Choice of an upstream for a request, without I/O.
//!
//! A [`Table`] holds what is known about each upstream: its VM, its last load
//! report, what this entry sent it since, which prompt prefixes it probably
//! caches, and how it failed lately. [`Table::choose`] compares a few sampled
//! candidates, so its cost does not grow with the number of upstreams.

mod choose;
mod table;

pub use choose::Candidate;
pub use choose::Choice;
pub use choose::Policy;
pub use choose::Query;
pub use choose::Reason;
pub use choose::Rules;
pub use table::Load;
pub use table::Table;
pub use table::Upstream;
pub use table::UpstreamId;
