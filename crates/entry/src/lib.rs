//! The daemon that runs on every entry VM.
//!
//! [`run`] binds the listeners and starts the loops that feed the decisions of
//! the other crates. All of them share one [`node::Node`] on one thread:
//!
//! - `front` answers callers, `admin` operators, `peer_api` the other entries;
//! - `relay` runs the attempts of each accepted request, `plain` the calls of
//!   plain services, `claimant` their claims;
//! - `watch` follows the platform, `exchange` the peers, `load` the engines;
//! - `evacuate` empties upstreams that leave, `replicate` copies records to a
//!   peer, `handover` gives them away when this entry leaves;
//! - `place` keeps the declared upstreams while this entry holds the lease.

mod admin;
mod boot;
mod claimant;
mod complete;
mod config_store;
mod daemon;
mod decisions;
mod evacuate;
mod exchange;
mod fetch;
mod front;
mod handover;
mod load;
mod metrics;
mod node;
mod peer_api;
mod peer_client;
mod place;
mod plain;
mod record;
mod relay;
mod replicate;
mod respond;
mod suspects;
mod watch;
mod wire;

pub use daemon::run;
