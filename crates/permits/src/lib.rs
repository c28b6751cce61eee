//! The request rate that an upstream takes from all entries together, without I/O.
//!
//! An upstream may state such a rate in its responses, for as long as it needs it. A rate
//! can be far smaller than a request a second and entry, so it is not divided into
//! shares. Each request to such an upstream needs a permit:
//!
//! 1. [`Statements`] keeps which rate holds for which upstream: what this entry read in
//!    responses, and what peers report.
//! 2. [`issuer()`] chooses the entry that issues the permits of an upstream. All entries
//!    that know the same live entries choose the same one.
//! 3. An entry asks for a permit right before it writes a request, and writes none
//!    without it. [`Issuer`] hands out permits at the stated rate and saves up almost
//!    none. An issuer that reaches a part of the fleet only hands out
//!    [`reachable_share`] of the rate.
//! 4. [`Waits`] keeps at the asking entry which upstreams have no permit for a while, so
//!    that other upstreams are chosen.
//! 5. [`Returns`] spaces the times at which callers return if all upstreams wait.
//!
//! Bounds of whole units that are held for some time, as connections to an upstream, are
//! divided by [`units_of`].
//!
//! [`Permits`] holds all of this at an entry, for both of its interfaces: they pass it what
//! happens and do what [`Step`] says. [`Ask`] and [`Answer`] are the messages. A permit that
//! is lost on its way is spent, as is one whose request breaks off: it may reach the
//! upstream yet.

mod issuer;
mod message;
mod permits;
mod returns;
mod statement;
mod statements;
mod units;
mod waits;

pub use issuer::Issuer;
pub use issuer::issuer;
pub use issuer::reachable_share;
pub use message::Answer;
pub use message::Ask;
pub use message::PERMIT_LIFETIME;
pub use permits::ISSUER_WAIT;
pub use permits::LimitView;
pub use permits::Permits;
pub use permits::Refused;
pub use permits::Step;
pub use permits::View;
pub use returns::Returns;
pub use statement::Statement;
pub use statements::Report;
pub use statements::Statements;
pub use units::units_of;
pub use waits::Waits;
