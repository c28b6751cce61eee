//! Which entries run, and how their counts reach one another.
//!
//! Up to [`MESH_LIMIT`] entries send their reports to one another directly. In a
//! larger fleet, two entries of each failure domain are aggregators:
//!
//! 1. every entry sends its report to the aggregators of its own domain;
//! 2. an aggregator sends the sum over its domain to those of the other domains;
//! 3. an aggregator sends each entry of its domain a digest: the sum over the
//!    whole fleet without that entry.
//!
//! All three are sent periodically and in full, so a lost message is made up for
//! by the next one. An entry's report reaches every other entry after three
//! messages. Messages between domains grow with the number of domains, not of
//! entries.
//!
//! Both aggregators of a domain sum up the same reports. The receiver counts a
//! domain once, whichever of them it hears, so that the death of one costs
//! nothing. If both are silent, the next entries in the order of [`Capacity`]
//! take over after [`AGGREGATOR_TIMEOUT`].
//!
//! [`Roster`] holds the entries and decides who aggregates. [`Source`] keeps what the
//! three kinds of messages report apart, and [`FleetSums`] sums it up.

mod fleet_sums;
mod member;
mod parts;
mod reported_sums;
mod roster;
mod source;

pub use fleet_sums::FleetSums;
pub use member::Capacity;
pub use member::Member;
pub use parts::Parts;
pub use roster::AGGREGATOR_TIMEOUT;
pub use roster::MESH_LIMIT;
pub use roster::Role;
pub use roster::Roster;
pub use source::Source;
