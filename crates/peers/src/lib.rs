//! Membership and the periodic exchange between entries.
//!
//! Each period an entry exchanges one [`Exchange`] of bounded size with a peer
//! chosen by [`Peers::next_partner`], and both sides merge what they receive.
//! The exchange is eventually consistent and no safety property depends on it:
//! whatever entries must agree on goes through the platform.

mod leaving_vms;
mod membership;
mod message;

pub use leaving_vms::LeavingVms;
pub use membership::ListedEntry;
pub use membership::Member;
pub use membership::MemberSample;
pub use membership::Partner;
pub use membership::Peers;
pub use membership::Timing;
pub use message::Exchange;
pub use message::Heartbeat;
pub use message::LoadDigest;
pub use message::MemberDigest;
pub use message::PROTOCOL_VERSION;
pub use message::WorkspaceDemand;
