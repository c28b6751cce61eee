//! Clients for what runs on upstream VMs: model engines and plain services.
//!
//! [`protocol`] defines the messages of the engines' API. [`EngineClient`] opens
//! token streams, reads load and cache events, moves KV caches and issues model
//! orders. [`plain`] forwards a call to a plain service once. Responses of both may
//! carry an [`UpstreamNotice`].

mod engine;
mod notice;
pub mod plain;
pub mod protocol;

pub use engine::EngineClient;
pub use engine::EngineEvent;
pub use engine::EngineStream;
pub use engine::Refusal;
pub use engine::StreamError;
pub use notice::LEAVING_HEADER;
pub use notice::RATE_HEADER;
pub use notice::UpstreamNotice;
