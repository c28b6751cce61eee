//! What an entry believes about its surroundings: the declared configuration
//! ([`Catalog`]) and the upstreams that serve it ([`Directory`]).
//!
//! Both are pure data. The adapter decodes them from the platform's store, and
//! [`Belief`] keeps their age, because a request with a key may only be served
//! while the configuration is known to be current.

mod belief;
mod catalog;
mod directory;
mod informed;
mod request;
mod route;

pub use belief::Belief;
pub use catalog::Access;
pub use catalog::Catalog;
pub use catalog::ClientLimits;
pub use catalog::Workspace;
pub use directory::Directory;
pub use directory::Upstream;
pub use directory::UpstreamKey;
pub use directory::UpstreamState;
pub use informed::Informed;
pub use informed::follows_store;
pub use request::PromptPart;
pub use request::TokenCount;
pub use route::EngineSpec;
pub use route::Route;
pub use route::RouteKind;
pub use route::Scaling;
pub use route::Service;
pub use route::Split;
