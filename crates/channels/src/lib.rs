//! Connections to upstreams.
//!
//! A [`Connection`] carries one request at a time and knows whether a request
//! that failed can have reached the upstream. [`Pool`] keeps idle connections by
//! the run of an upstream, so that a request never meets another upstream that
//! took over an address.

mod connection;
mod pool;

pub use connection::Connection;
pub use connection::SendError;
pub use pool::Pool;
