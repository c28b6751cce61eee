//! Choice of an upstream.
//!
//! [`LoadBook`] keeps what is known of each upstream's load: this entry's own
//! requests, those that the peers report, what the upstream tells with its
//! answers, and its recent failures. [`choose`] weighs load against the prompt
//! parts that an upstream has cached.

mod book;
mod choose;

pub use book::Load;
pub use book::LoadBook;
pub use book::LoadReport;
pub use book::RANKS;
pub use book::Told;
pub use choose::Ask;
pub use choose::Choice;
pub use choose::Policy;
pub use choose::choose;
