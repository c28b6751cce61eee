//! Connections to upstreams.
//!
//! A [`Connection`] carries one request at a time and tells whether a failed
//! request may have reached the upstream. [`Pool`] keeps idle connections by the
//! incarnation of an upstream, so that a request never reaches another upstream
//! that took over an address.

mod connection;
mod pool;

pub use connection::Connection;
pub use connection::SendError;
pub use pool::Pool;
