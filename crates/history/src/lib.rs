//! Checks recorded histories for the promises.
//!
//! Callers, upstreams, the platform and the entries record [`Event`]s, one JSON
//! object a line. [`check`] says which [`Rule`]s the history breaks. It knows
//! nothing of how the system works, only what must hold.

mod check;
mod event;

pub use check::Bounds;
pub use check::Rule;
pub use check::Violation;
pub use check::check;
pub use event::Ending;
pub use event::Event;
pub use event::ParseError;
pub use event::parse;
