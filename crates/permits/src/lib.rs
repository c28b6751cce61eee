//! The request rate that an upstream takes from all entries together, without I/O.
//!
//! An upstream may state such a rate in its responses, for as long as it needs it.
//! [`Statements`] keeps which rate holds for which upstream: what this entry read in
//! responses, and what peers report.

mod statement;
mod statements;

pub use statement::Statement;
pub use statements::Report;
pub use statements::Statements;
