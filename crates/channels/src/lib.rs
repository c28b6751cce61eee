//! Connections to upstreams.
//!
//! A [`Channel`] carries one request at a time and knows whether a request
//! that failed can have reached the upstream. [`Pool`] keeps idle channels by
//! the run of an upstream, so that a request never meets another upstream that
//! took over an address.

mod channel;
mod pool;

pub use channel::Channel;
pub use channel::SendError;
pub use pool::Pool;
