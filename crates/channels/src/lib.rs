//! Connections to upstreams.
//!
//! A [`Connection`] carries one request at a time and distinguishes failed requests
//! that may have reached the upstream from those of which no byte was sent.
//! [`Pool`] keeps idle connections by the incarnation of an upstream, so that a
//! request never reaches another upstream that took over an address. [`Refusals`] tell a
//! response to the request that waits from a copy of an earlier one.

mod connection;
mod pool;
mod refusals;

pub use connection::Connection;
pub use connection::SendError;
pub use pool::Pool;
pub use refusals::Refusals;
