//! Outages of the store, by the kind of objects that a loop follows.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_adapter::store;

use crate::members::MEMBERS;
use crate::node::Node;
use crate::store::StoreError;

/// Time after the store's recovery within which upstreams renew registrations
/// that lapsed during the outage.
const RECOVERY_HOLD: Duration = Duration::from_millis(2300);

/// Time for which missing registrations are kept after a failed call. Every
/// further failed call extends it.
const OUTAGE_HOLD: Duration = Duration::from_secs(10);

/// Whether the store went back to an older copy so recently that others may not have
/// repeated yet what they had written since.
pub(crate) fn is_recovering(node: &Node) -> bool {
    let went_back = node.store.era().lost_before();
    went_back.is_some_and(|at| node.now().saturating_duration_since(at) < RECOVERY_HOLD)
}

/// Whether a current read proves that the configuration in force is the newest. After the
/// store went back, it may not hold the newest one again yet: others then repeat what they
/// had written, and peers tell which version they know.
pub(crate) fn may_confirm(node: &Node) -> bool {
    !is_recovering(node) && !node.is_version_outrun()
}

/// The kind of objects that a loop follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Topic {
    Config,
    Servers,
    Members,
}

impl Topic {
    pub(crate) fn kind(self) -> &'static str {
        match self {
            Self::Config => store::CONFIG.0,
            Self::Servers => store::SERVERS,
            Self::Members => MEMBERS,
        }
    }
}

/// Keeps missing registrations until upstreams have had the time to renew them.
pub(crate) fn hold_missing(node: &Node) {
    let until = node.now() + RECOVERY_HOLD;
    node.directory.borrow_mut().defer_removals(until);
}

/// Tracks whether the calls for one kind of objects are failing.
#[derive(Debug, Default)]
pub(crate) struct Outage {
    since: Option<Instant>,
    /// Calls that failed since the last one that succeeded.
    pub(crate) failures: u32,
}

impl Outage {
    /// Records a failed call.
    pub(crate) fn record_failure(&mut self, node: &Node, topic: Topic, cause: &StoreError) {
        self.failures += 1;
        if topic == Topic::Servers {
            let until = node.now() + OUTAGE_HOLD;
            node.directory.borrow_mut().defer_removals(until);
        }
        if self.since.is_none() {
            self.since = Some(node.now());
            let cause = cause.to_string();
            log::warn!(
                target: "lycheehaven",
                kind = topic.kind(), cause = cause.as_str();
                "calls to the store fail; using the last known state and retrying"
            );
        }
    }

    /// Records a successful call.
    pub(crate) fn record_success(&mut self, node: &Node, topic: Topic) {
        self.failures = 0;
        let Some(since) = self.since.take() else {
            return;
        };
        if topic == Topic::Servers {
            hold_missing(node);
        }
        let downtime = node.now().saturating_duration_since(since);
        log::info!(
            target: "lycheehaven",
            kind = topic.kind(), away_ms = downtime.as_millis() as u64;
            "calls to the store succeed again"
        );
    }
}
