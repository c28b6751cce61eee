//! What the entries have counted, kept in the store.
//!
//! Entries know each other's spending and usage from their exchange. When all
//! of them restart at once, only the store remembers it.

use std::rc::Rc;
use std::time::Duration;

use lycheehaven_catalog::Workspace;
use lycheehaven_duties::IncarnationCounts;
use lycheehaven_guard::IncarnationSpending;
use lycheehaven_guard::Quota;
use lycheehaven_net::sleep_ms;
use serde::Deserialize;
use serde::Serialize;

use crate::node::Node;
use crate::store::StoreError;
use crate::store::Written;

/// Kind and name of the record.
const COUNTS: (&str, &str) = ("lycheehaven-counts", "last");

/// Entries up to which the counts of each are kept, as the record grows with
/// them. Of more entries only the total spending is.
const MOST_ENTRIES: usize = 32;

/// Pause after a failed call, in milliseconds.
const RETRY_MS: u64 = 200;

#[derive(Debug, Serialize, Deserialize)]
struct Record {
    /// Milliseconds since the Unix epoch.
    at_ms: i64,
    /// Spending of each run of an entry, or of all as one if they are many.
    spending: Vec<IncarnationSpending>,
    /// Usage counts of each run of an entry.
    usage: Vec<IncarnationCounts>,
}

/// What a workspace may spend in one window, over all entries.
pub(crate) fn limit(node: &Node, workspace: &Workspace) -> Quota {
    let bounds = &node.settings.bounds;
    let units = workspace.rate * bounds.quota_window_s + workspace.burst;
    let slack = if workspace.counts_tokens {
        bounds.quota_slack
    } else {
        0.0
    };
    Quota::new(units, units * bounds.quota_over + slack)
}

/// Whether so much was spent since the last record that a new one is due.
pub(crate) fn is_due(node: &Node) -> bool {
    let Some(catalog) = node.belief.borrow().catalog().cloned() else {
        return false;
    };
    let now = node.now();
    let mut allotments = node.allotments.borrow_mut();
    catalog
        .workspaces
        .iter()
        .filter(|workspace| workspace.rate > 0.0)
        .any(|workspace| allotments.snapshot_due(&workspace.name, limit(node, workspace), now))
}

/// Writes the record.
pub(crate) async fn write(node: &Node) -> Result<(), StoreError> {
    let record = present(node);
    let (kind, name) = COUNTS;
    match node.store.replace(kind, name, None, &record).await? {
        Written::Done(_) => Ok(()),
        Written::Conflict => node.store.create(kind, name, &record).await.map(|_| ()),
    }
}

fn present(node: &Node) -> Record {
    let (me, run) = (&node.settings.name, node.incarnation);
    let mut allotments = node.allotments.borrow_mut();
    let mut record = Record {
        at_ms: node.wall_millis(),
        spending: Vec::new(),
        usage: Vec::new(),
    };
    if node.members.borrow().count() <= MOST_ENTRIES {
        record.spending = allotments.snapshot(me, run, node.now());
        record.usage = node.usage.borrow().snapshot(me, run);
    } else {
        record.spending = vec![allotments.snapshot_total(node.now())];
    }
    record
}

/// Reads the record once, before the entry takes callers.
pub(crate) async fn load(node: Rc<Node>) {
    loop {
        match node.store.read(COUNTS.0, COUNTS.1).await {
            Ok(object) => {
                if let Some(object) = object {
                    adopt(&node, Record::deserialize(&object.spec));
                }
                node.counts_known.set(true);
                return;
            }
            Err(cause) => {
                let cause = cause.to_string();
                log::info!(target: "lycheehaven", cause = cause.as_str(); "the record of counts can't be read; retrying");
                sleep_ms(RETRY_MS).await;
            }
        }
    }
}

fn adopt(node: &Node, record: Result<Record, serde_json::Error>) {
    let record = match record {
        Ok(record) => record,
        Err(cause) => {
            let cause = cause.to_string();
            log::error!(target: "lycheehaven", cause = cause.as_str(); "the record of counts can't be decoded");
            return;
        }
    };
    for run in record.usage {
        let mut usage = node.usage.borrow_mut();
        usage.merge_peer(&run.entry, run.incarnation, run.windows);
    }
    let age_ms = (node.wall_millis() - record.at_ms).max(0) as u64;
    log::info!(target: "lycheehaven", age_ms = age_ms, runs = record.spending.len(); "counting what was spent before the start");
    let now = node.now();
    let Some(at) = now.checked_sub(Duration::from_millis(age_ms)) else {
        return;
    };
    let me = &node.settings.name;
    node.recorded.set(Some(at));
    let mut allotments = node.allotments.borrow_mut();
    for run in record.spending {
        // The earlier run on this VM is no peer that could be heard again.
        let entry = if run.entry == *me {
            format!("{me}/{}", run.incarnation).into()
        } else {
            run.entry
        };
        allotments.update_peer(&entry, run.incarnation, &run.spent, at);
    }
}
