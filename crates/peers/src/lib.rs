//! What the entry VMs tell each other, and what each makes of it.
//!
//! Every period an entry exchanges one bounded [`Exchange`] with a peer chosen
//! by [`Peers::next_partner`]; both sides merge what they hear. Nothing here is
//! needed for safety: what must be agreed goes through the platform.

mod leaving;
mod membership;
mod message;

pub use leaving::Leaving;
pub use membership::Listed;
pub use membership::Member;
pub use membership::Partner;
pub use membership::Peers;
pub use membership::Sample;
pub use membership::Timing;
pub use message::Beat;
pub use message::Exchange;
pub use message::LoadDigest;
pub use message::MemberDigest;
pub use message::PROTOCOL_VERSION;
pub use message::Refused;
pub use message::Usage;
