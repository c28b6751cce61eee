//! An entry's view of the declared configuration ([`Catalog`]) and of the
//! upstreams that serve it ([`Directory`]), without I/O.
//!
//! The adapter decodes both from the platform's store. [`ActiveConfig`] tracks the
//! age of the configuration, because a request with a key may only be served
//! while the configuration is known to be current. [`FollowerLiveness`]
//! determines whether an entry may rely on its peers for reports of leaving upstreams.

mod active_config;
mod catalog;
mod directory;
mod follower_liveness;
mod news;
mod peer_versions;
mod request;
mod route;

pub use active_config::ActiveConfig;
pub use catalog::Access;
pub use catalog::Catalog;
pub use catalog::ClientLimits;
pub use catalog::Workspace;
pub use directory::Directory;
pub use directory::Upstream;
pub use directory::UpstreamKey;
pub use directory::UpstreamState;
pub use follower_liveness::FollowerLiveness;
pub use news::select as select_news;
pub use peer_versions::PeerVersions;
pub use request::PromptPart;
pub use request::TokenCount;
pub use route::EngineSpec;
pub use route::Route;
pub use route::RouteKind;
pub use route::Scaling;
pub use route::Service;
pub use route::Split;
