//! Checks recorded histories against the guarantees of the system.
//!
//! Callers, upstreams, the platform and the entries record [`Event`]s, one JSON
//! object per line. [`check()`] returns the [`Rule`]s that a history violates. It
//! depends only on the guarantees, not on how the system implements them.

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
