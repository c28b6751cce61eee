//! Clients of what runs on upstream VMs: model engines and plain services.
//!
//! [`protocol`] holds the shapes that engines speak. [`EngineClient`] opens
//! token streams, reads load and cache events, moves KV caches and gives
//! orders. [`plain`] forwards a call to a plain service once.

mod engine;
pub mod plain;
pub mod protocol;

pub use engine::EngineClient;
pub use engine::EngineEvent;
pub use engine::EngineStream;
pub use engine::StreamError;
