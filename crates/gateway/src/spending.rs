//! What workspaces near their limit have spent, kept in the store.
//!
//! Entries know each other's spending from their exchange. When all of them
//! restart at once, only the store remembers it.

use std::rc::Rc;

use lycheehaven_catalog::Workspace;
use lycheehaven_guard::Limit;
use lycheehaven_types::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::node::Node;
use crate::node::pause;
use crate::store::StoreError;
use crate::store::Written;

/// Kind and name of the record.
const SPENDING: (&str, &str) = ("lycheehaven-spending", "last");

/// Part of its limit above which a workspace's spending is kept.
const NEAR: f64 = 0.6;

/// Name under which spending before the start counts as a peer's.
const BEFORE: &str = "before start";

/// Pause after a failed call, in milliseconds.
const RETRY_MS: u64 = 200;

#[derive(Debug, Serialize, Deserialize)]
struct Record {
    /// Milliseconds since the Unix epoch.
    at_ms: i64,
    /// Units in the window before, by workspace.
    spent: Vec<(Name, f64)>,
}

/// What a workspace may spend in one window, over all entries.
pub(crate) fn limit(node: &Node, workspace: &Workspace) -> Limit {
    let bounds = &node.settings.bounds;
    let units = workspace.rate * bounds.quota_window_s + workspace.burst;
    let slack = if workspace.tokens {
        bounds.quota_slack
    } else {
        0.0
    };
    Limit {
        units,
        // The rest of what may be exceeded covers spending that peers have
        // not reported yet.
        slack: (units * bounds.quota_over + slack) / 3.0,
    }
}

/// Spending of the workspaces that are near their limit.
pub(crate) fn near_limit(node: &Node) -> Vec<(Name, f64)> {
    let Some(catalog) = node.belief.borrow().catalog().cloned() else {
        return Vec::new();
    };
    let now = node.now();
    let mut allotments = node.allotments.borrow_mut();
    catalog
        .workspaces
        .iter()
        .filter(|workspace| workspace.rate > 0.0)
        .map(|workspace| (workspace, allotments.total(&workspace.name, now)))
        .filter(|(workspace, spent)| *spent > limit(node, workspace).units * NEAR)
        .map(|(workspace, spent)| (workspace.name.clone(), spent))
        .collect()
}

/// Writes the record.
pub(crate) async fn write(node: &Node, spent: Vec<(Name, f64)>) -> Result<(), StoreError> {
    let record = Record {
        at_ms: node.wall_millis(),
        spent,
    };
    let (kind, name) = SPENDING;
    match node.store.replace(kind, name, None, &record).await? {
        Written::Done(_) => Ok(()),
        Written::Conflict => node.store.create(kind, name, &record).await.map(|_| ()),
    }
}

/// Reads the record once, before the entry takes callers.
pub(crate) async fn load(node: Rc<Node>) {
    loop {
        match node.store.read(SPENDING.0, SPENDING.1).await {
            Ok(object) => {
                if let Some(object) = object {
                    adopt(&node, Record::deserialize(&object.spec));
                }
                node.spending_known.set(true);
                return;
            }
            Err(_) => pause(RETRY_MS).await,
        }
    }
}

fn adopt(node: &Node, record: Result<Record, serde_json::Error>) {
    let record = match record {
        Ok(record) => record,
        Err(cause) => {
            let cause = cause.to_string();
            log::error!(target: "lycheehaven", cause = cause.as_str(); "the record of spending can't be decoded");
            return;
        }
    };
    let age_ms = node.wall_millis() - record.at_ms;
    let window_ms = (node.settings.bounds.quota_window_s * 1000.0) as i64;
    if age_ms > window_ms {
        return;
    }
    log::info!(target: "lycheehaven", age_ms = age_ms, workspaces = record.spent.len(); "counting the spending before the start");
    let now = node.now();
    let before = Name::from(BEFORE);
    node.allotments
        .borrow_mut()
        .hear(&before, 0, &record.spent, now);
}
