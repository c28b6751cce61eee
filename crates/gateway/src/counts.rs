//! The snapshot of all entries' spending and usage in the store.
//!
//! Entries learn each other's spending and usage from the reports that they
//! exchange. When all of them restart at once, only the snapshot remains.

use std::rc::Rc;
use std::time::Duration;

use lycheehaven_catalog::Workspace;
use lycheehaven_duties::IncarnationCounts;
use lycheehaven_fleet::Role;
use lycheehaven_guard::IncarnationSpending;
use lycheehaven_guard::Quota;
use lycheehaven_net::sleep_ms;
use lycheehaven_quarantine::Decision;
use lycheehaven_types::wire;
use serde::Deserialize;
use serde::Serialize;

use crate::node::Node;
use crate::quarantine;
use crate::store::StoreError;
use crate::store::WriteOutcome;

/// Kind and name of the snapshot in the store.
const COUNTS: (&str, &str) = ("lycheehaven-counts", "last");

/// Time after the start within which an entry that is not an aggregator waits for a
/// digest, which makes up for the snapshot.
const DIGEST_WAIT: Duration = Duration::from_millis(4000);

/// Interval between checks for a digest, in milliseconds.
const DIGEST_CHECK_MS: u64 = 50;

/// Pause after a failed call, in milliseconds.
const RETRY_DELAY_MS: u64 = 200;

#[derive(Debug, Serialize, Deserialize)]
struct CountsSnapshot {
    /// Time of the snapshot, in milliseconds since the Unix epoch.
    #[serde(deserialize_with = "wire::unix_millis")]
    at_ms: i64,
    /// Spending by entry and incarnation, or a single total if aggregators sum up
    /// the entries' counts.
    spending: Vec<IncarnationSpending>,
    /// Usage counts, likewise.
    usage: Vec<IncarnationCounts>,
    /// Decisions on features of requests that crash upstreams.
    #[serde(default)]
    decisions: Vec<Decision>,
}

/// Returns what a workspace may spend in one quota window, over all entries.
pub(crate) fn quota(node: &Node, workspace: &Workspace) -> Quota {
    let bounds = &node.settings.bounds;
    let units = workspace.rate * bounds.quota_window_s + workspace.burst;
    let slack = if workspace.counts_tokens {
        bounds.quota_slack
    } else {
        0.0
    };
    Quota::new(units, units * bounds.quota_over + slack)
}

/// Whether enough was spent since the last snapshot for a new one to be due.
pub(crate) fn is_due(node: &Node) -> bool {
    let Some(catalog) = node.config.borrow().catalog().cloned() else {
        return false;
    };
    let now = node.now();
    let mut quotas = node.quotas.borrow_mut();
    catalog
        .workspaces
        .iter()
        .filter(|workspace| workspace.rate > 0.0)
        .any(|workspace| quotas.snapshot_due(&workspace.name, quota(node, workspace), now))
}

/// Writes a snapshot to the store.
pub(crate) async fn write(node: &Node) -> Result<(), StoreError> {
    let snapshot = snapshot(node);
    let (kind, name) = COUNTS;
    match node.store.replace(kind, name, None, &snapshot).await? {
        WriteOutcome::Applied(_) => Ok(()),
        WriteOutcome::Conflict => node.store.create(kind, name, &snapshot).await.map(|_| ()),
    }
}

fn snapshot(node: &Node) -> CountsSnapshot {
    let (own_name, incarnation) = (&node.settings.name, node.incarnation);
    let mut quotas = node.quotas.borrow_mut();
    let mut snapshot = CountsSnapshot {
        at_ms: node.wall_millis(),
        spending: Vec::new(),
        usage: Vec::new(),
        decisions: node.quarantine.borrow().decisions(),
    };
    let usage = node.usage.borrow();
    let lag = node.roster.borrow().parts().lag;
    if node.role.get() == Role::Mesh {
        snapshot.spending = quotas.snapshot(own_name, incarnation, lag, node.now());
        snapshot.usage = usage.snapshot(own_name, incarnation);
    } else {
        snapshot.spending = vec![quotas.snapshot_total(lag, node.now())];
        snapshot.usage = vec![usage.snapshot_total()];
    }
    snapshot
}

/// Reads the snapshot once after the start, unless a digest of an aggregator makes
/// up for it. The entry is not ready before, so this retries until the store
/// responds.
pub(crate) async fn load(node: Rc<Node>) {
    while node.uptime() < DIGEST_WAIT && !must_read_snapshot(&node) {
        if node.quotas.borrow().has_digest(node.now()) {
            node.counts_loaded.set(true);
            return;
        }
        sleep_ms(DIGEST_CHECK_MS).await;
    }
    loop {
        match node.store.read(COUNTS.0, COUNTS.1).await {
            Ok(object) => {
                if let Some(object) = object {
                    apply(&node, CountsSnapshot::deserialize(&object.spec));
                }
                node.snapshot_read.set(true);
                node.counts_loaded.set(true);
                return;
            }
            Err(cause) => {
                let cause = cause.to_string();
                log::info!(target: "lycheehaven", cause = cause.as_str(); "can't read the counts snapshot from the store; retrying");
                sleep_ms(RETRY_DELAY_MS).await;
            }
        }
    }
}

/// Whether this entry is known to be an aggregator, or part of a fleet without any, and
/// so can't wait for a digest.
fn must_read_snapshot(node: &Node) -> bool {
    node.is_role_known() && node.role.get() != Role::Member
}

fn apply(node: &Node, snapshot: Result<CountsSnapshot, serde_json::Error>) {
    let snapshot = match snapshot {
        Ok(snapshot) => snapshot,
        Err(cause) => {
            let cause = cause.to_string();
            log::error!(target: "lycheehaven", cause = cause.as_str(); "can't decode the counts snapshot; starting without earlier spending and usage");
            return;
        }
    };
    quarantine::adopt(node, &snapshot.decisions);
    for counts in snapshot.usage {
        let mut usage = node.usage.borrow_mut();
        usage.merge_peer(&counts.entry, counts.incarnation, counts.windows);
    }
    let age_ms = (node.wall_millis() - snapshot.at_ms).max(0) as u64;
    log::info!(target: "lycheehaven", age_ms = age_ms, runs = snapshot.spending.len(); "loaded the counts snapshot from before this start");
    let now = node.now();
    let Some(at) = now.checked_sub(Duration::from_millis(age_ms)) else {
        return;
    };
    let own_name = &node.settings.name;
    node.snapshot_time.set(Some(at));
    let mut quotas = node.quotas.borrow_mut();
    for spending in snapshot.spending {
        // An earlier incarnation of this entry gets a name of its own, because no
        // further report will come from it.
        let entry = if spending.entry == *own_name {
            format!("{own_name}/{}", spending.incarnation).into()
        } else {
            spending.entry
        };
        quotas.update_peer(&entry, spending.incarnation, &spending.spent, at);
    }
}
