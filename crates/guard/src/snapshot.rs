//! Snapshots of the spending of all entries, for a restart of all of them.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::HashMap;
use lycheehaven_types::Name;
use lycheehaven_types::wire;
use serde::Deserialize;
use serde::Serialize;

/// Increase of a workspace's spending since the last snapshot, as a fraction of
/// its quota, at which the next snapshot is due.
pub(crate) const SNAPSHOT_RISE_FRACTION: f64 = 0.04;

/// Interval between checks of whether a snapshot is due.
pub const SNAPSHOT_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Entry name under which a snapshot holds the spending projected until the next
/// snapshot.
pub(crate) const PROJECTED_NAME: &str = "expected";

/// Entry name under which a snapshot holds the total spending of all entries.
pub(crate) const TOTAL_NAME: &str = "recorded";

/// Units that one incarnation of an entry spent in a window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct IncarnationSpending {
    /// Name of the entry.
    pub entry: Name,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Units spent, by workspace.
    #[serde(deserialize_with = "wire::named_amounts")]
    pub spent: Vec<(Name, f64)>,
}

/// Totals at the time of the last snapshot.
#[derive(Debug)]
pub(crate) struct SnapshotTotals {
    pub(crate) at: Instant,
    pub(crate) totals: HashMap<Name, f64>,
}

/// Whether an entry name stands for spending of the whole fleet in a snapshot.
pub(crate) fn is_fleet_wide(entry: &Name) -> bool {
    **entry == *TOTAL_NAME || **entry == *PROJECTED_NAME
}

/// Returns the spending projected until the next snapshot, by workspace. An
/// increase may have begun just before this check, so it is assumed to have lasted
/// for at most one check interval.
pub(crate) fn projected_rise(
    last: &SnapshotTotals,
    totals: &HashMap<Name, f64>,
    lag: Duration,
    now: Instant,
) -> Vec<(Name, f64)> {
    let elapsed = now
        .saturating_duration_since(last.at)
        .clamp(SNAPSHOT_CHECK_INTERVAL / 2, SNAPSHOT_CHECK_INTERVAL);
    // The age that the spending in a snapshot reaches before the next one is taken.
    let max_age = SNAPSHOT_CHECK_INTERVAL + lag;
    let intervals = max_age.as_secs_f64() / elapsed.as_secs_f64();
    totals
        .iter()
        .map(|(workspace, total)| {
            let before = last.totals.get(workspace).copied().unwrap_or(0.0);
            (workspace.clone(), (total - before) * intervals)
        })
        .filter(|(_, units)| *units > 0.0)
        .collect()
}
