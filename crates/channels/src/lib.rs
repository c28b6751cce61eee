//! Connections to upstreams.
//!
//! A [`Connection`] carries one request at a time and distinguishes failed requests
//! that may have reached the upstream from those of which no byte was sent.
//! [`Pool`] keeps idle connections by the incarnation of an upstream, so that a
//! request never reaches another upstream that took over an address.

mod connection;
mod pool;

pub use connection::Connection;
pub use connection::SendError;
pub use pool::Pool;
