//! The daemon that runs on every entry VM.
//!
//! [`run`] binds the listeners and starts the loops that supply input to the
//! decisions of the other crates. All of them share one `node::Node` on one
//! thread:
//!
//! - `front` serves callers, `admin` operators, and `peer_api` the other
//!   entries;
//! - `relay` runs the attempts of accepted requests, `plain` the calls of plain
//!   services, and `claim_shards` commits their claims;
//! - `watch` follows the platform, `exchange` communicates with peers, and
//!   `load` polls the engines;
//! - `evacuate` moves streams off leaving upstreams, `replicate` copies records
//!   to a peer, and `handover` transfers them to peers when this entry stops;
//! - `suspects` stops requests that crash upstreams, and `permits` keeps to the request
//!   rates that upstreams state;
//! - `place` creates and configures the declared upstreams while this entry
//!   holds the lease of its failure domain.

mod admin;
mod boot;
mod calls;
mod claim_shards;
mod claim_status;
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
mod notice;
mod peer_api;
mod peer_client;
mod permits;
mod place;
mod plain;
mod record;
mod relay;
mod replicate;
mod respond;
mod shutdown;
mod silence;
mod suspects;
mod target;
mod watch;
mod wire;

pub use daemon::run;
