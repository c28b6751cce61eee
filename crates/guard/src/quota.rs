//! Workspace quotas, enforced over all entries together.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::HashMap;
use lycheehaven_types::Name;
use lycheehaven_types::SlidingSum;
use serde::Deserialize;
use serde::Serialize;

/// Time without a report after which a peer is assumed to spend at least its even
/// share of the quota.
const PEER_TIMEOUT: Duration = Duration::from_millis(900);

/// Units that a workspace may spend in one window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Units per window.
    pub units: f64,
    /// Additional units that absorb what peers spent since their last reports.
    pub slack: f64,
}

/// Reason why a cost was not admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaExceeded {
    /// Units spent at this entry in the last window.
    pub local: f64,
    /// Units spent at peers, or reserved for peers that do not report.
    pub remote: f64,
    /// Time after which the cost may be admitted.
    pub retry_after: Duration,
}

/// Units that one incarnation of an entry spent in a window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct IncarnationSpending {
    /// Name of the entry.
    pub entry: Name,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Units spent, by workspace.
    pub spent: Vec<(Name, f64)>,
}

/// Totals at the time of the last snapshot.
#[derive(Debug)]
struct SnapshotTotals {
    at: Instant,
    totals: HashMap<Name, f64>,
}

#[derive(Debug)]
struct PeerSpending {
    incarnation: u64,
    reported_at: Instant,
    spent: HashMap<Name, f64>,
}

/// Fraction of the permitted excess that is spent deliberately. The rest covers
/// spending that peers have not reported yet, and spending that is in no snapshot
/// when all entries restart at once.
const USABLE_EXCESS_FRACTION: f64 = 0.35;

/// Increase of a workspace's spending since the last snapshot, as a fraction of
/// its quota, at which the next snapshot is due.
const SNAPSHOT_RISE_FRACTION: f64 = 0.04;

/// Interval between checks of whether a snapshot is due.
pub const SNAPSHOT_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Age that the spending in the last snapshot can reach before all entries are
/// killed: the next snapshot is taken up to 250 ms later, and peers' spending is
/// known 200 ms late.
const MAX_SNAPSHOT_LAG: Duration = Duration::from_millis(450);

/// Entry name under which a snapshot holds the spending projected until the next
/// snapshot.
const PROJECTED_NAME: &str = "expected";

/// Entry name under which a snapshot holds the total spending of all entries.
const TOTAL_NAME: &str = "recorded";

impl Quota {
    /// Creates a quota of `units` per window that all entries together may exceed
    /// by at most `excess` units.
    pub fn new(units: f64, excess: f64) -> Self {
        Self {
            units,
            slack: excess * USABLE_EXCESS_FRACTION,
        }
    }
}

/// Tracks what each workspace spent at this entry and at its peers.
///
/// The spending of all entries together stays within a quota, plus what is spent
/// between two reports: an entry adds the peers' last reports to its own
/// spending, and reserves the even share of every peer that does not report. An
/// entry that is cut off reserves the shares of all its peers, and so stays
/// within its own share.
#[derive(Debug)]
pub struct QuotaTracker {
    window: Duration,
    local: HashMap<Name, SlidingSum>,
    peers: HashMap<Name, PeerSpending>,
    last_snapshot: Option<SnapshotTotals>,
}

impl QuotaTracker {
    /// Creates an empty tracker that counts over windows of length `window`.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            local: HashMap::default(),
            peers: HashMap::default(),
            last_snapshot: None,
        }
    }

    /// Returns the length of the window.
    pub fn window(&self) -> Duration {
        self.window
    }

    /// Replaces a peer's reported spending in the last window. `now` is the time of
    /// the report.
    pub fn update_peer(
        &mut self,
        peer: &Name,
        incarnation: u64,
        spent: &[(Name, f64)],
        now: Instant,
    ) {
        let reported: HashMap<Name, f64> = spent.iter().cloned().collect();
        let report = PeerSpending {
            incarnation,
            reported_at: now,
            spent: reported,
        };
        match self.peers.get(peer) {
            Some(known) if known.reported_at > now => {
                // The report is older than the known one. It counts only if it
                // belongs to another incarnation.
                if known.incarnation != incarnation {
                    let earlier = format!("{peer}/{incarnation}");
                    self.peers.insert(earlier.into(), report);
                }
                return;
            }
            // A restarted peer starts at zero. The spending of its previous
            // incarnation counts until the window has passed.
            Some(known) if known.incarnation != incarnation => {
                let earlier = format!("{peer}/{}", known.incarnation);
                let known = self.peers.insert(peer.clone(), report);
                if let Some(known) = known {
                    self.peers.insert(earlier.into(), known);
                }
            }
            _ => {
                self.peers.insert(peer.clone(), report);
            }
        }
        let window = self.window;
        self.peers
            .retain(|_, known| now.saturating_duration_since(known.reported_at) < window);
    }

    /// Takes a snapshot: the spending of each incarnation of an entry in the last
    /// window, that of this entry under `own_name`, and the spending of all entries that
    /// is projected until the next snapshot.
    pub fn snapshot(
        &mut self,
        own_name: &Name,
        incarnation: u64,
        now: Instant,
    ) -> Vec<IncarnationSpending> {
        let projected = IncarnationSpending {
            entry: PROJECTED_NAME.into(),
            incarnation,
            spent: self.project_spending(now),
        };
        let local = IncarnationSpending {
            entry: own_name.clone(),
            incarnation,
            spent: self.local_spending(now),
        };
        let window = self.window;
        let peers = self
            .peers
            .iter()
            .filter(|(_, known)| now.saturating_duration_since(known.reported_at) < window)
            .map(|(entry, known)| IncarnationSpending {
                entry: entry.clone(),
                incarnation: known.incarnation,
                spent: known.spent.clone().into_iter().collect(),
            });
        peers.chain([local, projected]).collect()
    }

    /// Takes a snapshot that holds only totals over all entries: for each
    /// workspace, its spending in the last window plus the spending projected until
    /// the next snapshot.
    pub fn snapshot_total(&mut self, now: Instant) -> IncarnationSpending {
        let projected: HashMap<Name, f64> = self.project_spending(now).into_iter().collect();
        let spent = self
            .workspaces()
            .into_iter()
            .map(|workspace| {
                let rise = projected.get(&workspace).copied().unwrap_or(0.0);
                let total = self.total(&workspace, now) + rise;
                (workspace, total)
            })
            .collect();
        IncarnationSpending {
            entry: TOTAL_NAME.into(),
            incarnation: 0,
            spent,
        }
    }

    /// Deducts a peer's first report from the total read from a snapshot. To be
    /// called for peers that were already running when the snapshot was taken: its
    /// total includes what they report.
    pub fn deduct_recorded(&mut self, peer: &Name, incarnation: u64, spent: &[(Name, f64)]) {
        let known = self.peers.get(peer);
        if known.is_some_and(|known| known.incarnation == incarnation) {
            return;
        }
        let Some(recorded) = self.peers.get_mut(TOTAL_NAME) else {
            return;
        };
        for (workspace, units) in spent {
            if let Some(total) = recorded.spent.get_mut(workspace) {
                *total = (*total - units).max(0.0);
            }
        }
    }

    /// Stores the current totals as those of the last snapshot. Returns the
    /// spending until the next snapshot, projected from the increase since the
    /// previous one.
    fn project_spending(&mut self, now: Instant) -> Vec<(Name, f64)> {
        let totals: HashMap<Name, f64> = self
            .workspaces()
            .into_iter()
            .map(|workspace| (workspace.clone(), self.total(&workspace, now)))
            .collect();
        let last = self.last_snapshot.take();
        let projected = last.map_or_else(Vec::new, |last| projected_rise(&last, &totals, now));
        self.last_snapshot = Some(SnapshotTotals { at: now, totals });
        projected
    }

    /// Returns what each workspace spent at this entry in the last window.
    pub fn local_spending(&mut self, now: Instant) -> Vec<(Name, f64)> {
        self.local
            .iter_mut()
            .map(|(workspace, sum)| (workspace.clone(), sum.sum(now)))
            .filter(|(_, sum)| *sum > 0.0)
            .collect()
    }

    /// Returns what a workspace spent in the last window at this entry and at the
    /// peers that reported within it.
    pub fn total(&mut self, workspace: &Name, now: Instant) -> f64 {
        let local = self
            .local
            .get_mut(workspace)
            .map_or(0.0, |sum| sum.sum(now));
        let window = self.window;
        let peers: f64 = self
            .peers
            .values()
            .filter(|known| now.saturating_duration_since(known.reported_at) < window)
            .filter_map(|known| known.spent.get(workspace))
            .sum();
        local + peers
    }

    /// Returns whether a workspace's spending since the last snapshot calls for a new
    /// one. Spending that is in no snapshot is lost when all entries restart at
    /// once.
    pub fn snapshot_due(&mut self, workspace: &Name, quota: Quota, now: Instant) -> bool {
        let total = self.total(workspace, now);
        let last = self.last_snapshot.as_ref();
        let recorded = last.and_then(|last| last.totals.get(workspace).copied());
        total - recorded.unwrap_or(0.0) > quota.units * SNAPSHOT_RISE_FRACTION
    }

    /// Spends `cost` units if the quota allows it. `members` are all entries that
    /// may be running, including this one.
    ///
    /// # Errors
    /// Returns the spending that exhausts the quota, and the time after which the
    /// cost may be admitted.
    pub fn admit(
        &mut self,
        workspace: &Name,
        quota: Quota,
        cost: f64,
        members: &[Name],
        now: Instant,
    ) -> Result<(), QuotaExceeded> {
        let remote = self.remote_spending(workspace, quota, members, now);
        let window = self.window;
        let local = self
            .local
            .entry(workspace.clone())
            .or_insert_with(|| SlidingSum::new(window));
        let total = local.sum(now) + remote + cost;
        let over = total - (quota.units + quota.slack);
        if over > 0.0 {
            return Err(QuotaExceeded {
                local: local.sum(now),
                remote,
                retry_after: local.time_until_expired(over, now),
            });
        }
        local.add(cost, now);
        Ok(())
    }

    fn workspaces(&self) -> Vec<Name> {
        let peers = self.peers.values().flat_map(|known| known.spent.keys());
        let mut names: Vec<Name> = self.local.keys().chain(peers).cloned().collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    fn remote_spending(
        &self,
        workspace: &Name,
        quota: Quota,
        members: &[Name],
        now: Instant,
    ) -> f64 {
        let share = quota.units / members.len().max(1) as f64;
        let is_reporting = |peer: &Name| {
            self.peers.get(peer).is_some_and(|known| {
                now.saturating_duration_since(known.reported_at) < PEER_TIMEOUT
            })
        };
        let reported = |known: &PeerSpending| known.spent.get(workspace).copied().unwrap_or(0.0);
        let mut total = 0.0;
        for (peer, known) in &self.peers {
            if now.saturating_duration_since(known.reported_at) >= self.window {
                continue;
            }
            let is_silent = members.contains(peer) && !is_reporting(peer);
            total += if is_silent {
                reported(known).max(share)
            } else {
                reported(known)
            };
        }
        // `members` includes this entry, which is never in `peers`.
        let known = members.iter().filter(|peer| {
            self.peers
                .get(*peer)
                .is_some_and(|known| now.saturating_duration_since(known.reported_at) < self.window)
        });
        let unknown = members.len().saturating_sub(1 + known.count());
        total + unknown as f64 * share
    }
}

/// Returns the spending projected until the next snapshot, by workspace. An
/// increase may have begun just before this check, so it is assumed to have lasted
/// for at most one check interval.
fn projected_rise(
    last: &SnapshotTotals,
    totals: &HashMap<Name, f64>,
    now: Instant,
) -> Vec<(Name, f64)> {
    let elapsed = now
        .saturating_duration_since(last.at)
        .clamp(SNAPSHOT_CHECK_INTERVAL / 2, SNAPSHOT_CHECK_INTERVAL);
    let intervals = MAX_SNAPSHOT_LAG.as_secs_f64() / elapsed.as_secs_f64();
    totals
        .iter()
        .map(|(workspace, total)| {
            let before = last.totals.get(workspace).copied().unwrap_or(0.0);
            (workspace.clone(), (total - before) * intervals)
        })
        .filter(|(_, units)| *units > 0.0)
        .collect()
}
