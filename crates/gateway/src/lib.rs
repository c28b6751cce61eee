//! The gateway: an entry that serves callers who name a route by host and path.
//!
//! [`front`] decodes a request and checks its access. [`serve`] sends it to
//! upstreams, which [`pick`] chooses, until one responds or no further attempt is allowed, [`attempt`] is
//! one such attempt on a connection of [`connect`], [`head`] waits for its response, [`elsewhere`] asks
//! another upstream while one is silent, and [`relay`] passes on the events of a stream. The decisions
//! are pure functions and types in other crates; [`node`] holds their state. Loops
//! run beside the requests: [`watch`] follows the platform's store, [`exchange`]
//! sends this entry's counts to its peers ([`summary`] builds the messages and [`apply`]
//! applies those of the peers), [`evacuate`] moves streams away from
//! leaving engines, [`quarantine`] stops requests that crash upstreams, [`permits`]
//! applies the request rates that upstreams state, and [`duty`] reports usage and scales
//! engines while this entry holds the lease. [`endings`] logs and counts answers that callers
//! do not get whole, [`origins`] finds out what began a stream that a caller takes up, from
//! records ([`origin_store`]) and the list of software ([`served`]), and [`schedule`] tells when a request must have ended.

mod admin;
mod apply;
mod attempt;
mod call;
mod cloud_calls;
mod confirm;
mod connect;
mod continuation;
mod counts;
mod daemon;
mod duty;
mod elsewhere;
mod endings;
mod era;
mod evacuate;
mod exchange;
mod front;
mod head;
mod lease;
mod load_guard;
mod members;
mod message;
mod metrics;
mod node;
mod notice;
mod origin_store;
mod origins;
mod outage;
mod permits;
mod pick;
mod quarantine;
mod relay;
mod schedule;
mod sends;
mod serve;
mod served;
mod settings;
mod shared_read;
mod store;
mod summary;
mod usage_report;
mod watch;

pub use daemon::run;
pub use settings::Settings;
pub use settings::SettingsError;
