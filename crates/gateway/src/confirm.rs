//! Confirmation of the configuration's freshness by aggregators.
//!
//! An aggregator follows the store. The digest that it sends to an entry refers to
//! the entry's last report and states the version in force and the time since the
//! store confirmed it as the newest. The digest is sent after the report, so the
//! confirmation is no older than the time of the report minus that age, however long
//! the network delayed either datagram.

use std::time::Duration;

use lycheehaven_types::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::node::LastReport;
use crate::node::Node;

/// Fraction of the time within which a new configuration must be in force. When
/// the last confirmation is older, an entry asks the store itself instead of its
/// peers.
const CONFIG_FRACTION: f64 = 0.8;

/// The same limit as a fraction of the age at which the configuration counts as
/// stale.
const STALE_FRACTION: f64 = 0.63;

/// Confirmation of the configuration for one entry.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Confirmation {
    /// Incarnation of the entry that sent the report.
    incarnation: u64,
    /// Time of the report, in milliseconds since that process started.
    sent_ms: u64,
    /// Version of the configuration in force at the aggregator.
    version: u64,
    /// Time since that version was confirmed as the newest, in milliseconds.
    age_ms: u64,
}

/// Returns a confirmation for the sender of a report, if this entry has a confirmed
/// configuration.
pub(crate) fn confirm(node: &Node, report: &LastReport) -> Option<Confirmation> {
    let config = node.config.borrow();
    let (version, age) = config.version().zip(config.age(node.now()))?;
    Some(Confirmation {
        incarnation: report.incarnation,
        sent_ms: report.uptime_ms,
        version,
        age_ms: age.as_millis() as u64 + 1,
    })
}

/// Applies a confirmation. A process that has restarted since its report recognizes
/// that the confirmation is not for it.
pub(crate) fn apply(node: &Node, from: &Name, confirmation: &Confirmation) {
    node.record_peer_version(from, confirmation.version);
    if confirmation.incarnation != node.incarnation {
        return;
    }
    let sent = Duration::from_millis(confirmation.sent_ms);
    let Some(reported) = node.started.checked_add(sent) else {
        return;
    };
    let age = Duration::from_millis(confirmation.age_ms);
    let mut config = node.config.borrow_mut();
    config.confirm_by_peer(confirmation.version, reported, age, node.now());
}

/// Whether peers confirm the configuration often enough that this entry need not
/// ask the store.
pub(crate) fn is_covered_by_peers(node: &Node) -> bool {
    let bounds = &node.settings.bounds;
    let limit = Duration::from_millis(bounds.config_ms).mul_f64(CONFIG_FRACTION);
    let stale_after = bounds.stale_after();
    let bound = stale_after.map_or(limit, |stale| limit.min(stale.mul_f64(STALE_FRACTION)));
    !node.follows_store()
        && !node.is_config_behind()
        && node.config.borrow().is_fresh(node.now(), bound)
}
