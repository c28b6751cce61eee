//! The entry towards callers that name a route by host and path.
//!
//! A request goes one way: [`front`] decodes it and checks its access,
//! [`serve`] sends it to upstreams until one answers or nothing may be sent
//! any more, [`attempt`] is one such sending, and [`relay`] passes the events
//! of a stream on. What decides is pure and lies in other crates; [`node`]
//! holds it together. Beside requests run the loops: [`watch`] follows the
//! platform's store, [`exchange`] tells peers what this entry counted, and
//! [`duty`] reports usage and orders engines while this entry holds the lease.

mod attempt;
mod call;
mod counts;
mod daemon;
mod duty;
mod evacuate;
mod exchange;
mod front;
mod lease;
mod members;
mod metrics;
mod node;
mod proof;
mod relay;
mod serve;
mod settings;
mod store;
mod watch;

pub use daemon::run;
pub use settings::Settings;
pub use settings::SettingsError;
