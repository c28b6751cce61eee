//! Workspace quotas, enforced over all entries together.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_fleet::Parts;
use lycheehaven_types::HashMap;
use lycheehaven_types::Name;
use lycheehaven_types::SlidingSum;

use crate::snapshot::IncarnationSpending;
use crate::snapshot::PROJECTED_NAME;
use crate::snapshot::SNAPSHOT_RISE_FRACTION;
use crate::snapshot::SnapshotTotals;
use crate::snapshot::TOTAL_NAME;
use crate::snapshot::is_fleet_wide;
use crate::snapshot::projected_rise;
use crate::spending::RemoteSpending;
use crate::spending::SpendingSum;
use crate::spending::add_all;
use crate::throttle;

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

/// A request to spend units of a workspace's quota.
#[derive(Debug, Clone, Copy)]
pub struct Charge<'a> {
    /// Workspace that pays.
    pub workspace: &'a Name,
    /// Its quota.
    pub quota: Quota,
    /// Units to spend.
    pub cost: f64,
    /// Units per second that the workspace's callers request at all entries together.
    pub requested_rate: f64,
    /// Random number from 0 to 1 that decides if only a part of the requests can be
    /// admitted.
    pub draw: f64,
}

/// Fraction of the permitted excess that is spent deliberately. The rest covers
/// spending that peers have not reported yet, and spending that is in no snapshot
/// when all entries restart at once.
const USABLE_EXCESS_FRACTION: f64 = 0.35;

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
/// until a report has reached all entries: an entry adds the peers' last reports to
/// its own spending, and reserves the even share of every peer that does not
/// report. An entry that is cut off reserves the shares of all its peers, and so
/// stays within its own share. Where callers request more than is left, only a
/// random part of their requests is admitted, so that the entries together do not
/// spend what is left several times before they learn of one another.
#[derive(Debug)]
pub struct QuotaTracker {
    window: Duration,
    local: HashMap<Name, SlidingSum>,
    remote: RemoteSpending,
    last_snapshot: Option<SnapshotTotals>,
}

impl QuotaTracker {
    /// Creates an empty tracker that counts over windows of length `window`.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            local: HashMap::default(),
            remote: RemoteSpending::new(window),
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
        self.remote.update_entry(peer, incarnation, spent, now);
    }

    /// Replaces the spending of another failure domain that one of its aggregators
    /// reports.
    pub fn update_domain(&mut self, domain: &Name, sender: &Name, sum: &SpendingSum, now: Instant) {
        self.remote.update_domain(domain, sender, sum, now);
    }

    /// Replaces the spending of all other entries that an aggregator reports.
    pub fn update_digest(&mut self, sender: &Name, sum: &SpendingSum, now: Instant) {
        self.remote.update_digest(sender, sum, now);
    }

    /// Whether an aggregator currently reports the spending of all other entries.
    pub fn has_digest(&self, now: Instant) -> bool {
        self.remote.has_digest(now)
    }

    /// Returns the spending of this entry and of those that report to it directly.
    pub fn domain_sum(&mut self, parts: &Parts, now: Instant) -> SpendingSum {
        // What a snapshot holds for the whole fleet belongs to no domain.
        let mut sum = self.remote.sum_entries(|entry| !is_fleet_wide(entry), now);
        add_all(&mut sum, &self.local_spending(now).into_iter().collect());
        SpendingSum {
            spent: sum.into_iter().collect(),
            silent: self.remote.silent_entries(None, parts, now),
        }
    }

    /// Returns the spending of all entries except `member`, for a digest.
    pub fn digest_for(&mut self, member: &Name, parts: &Parts, now: Instant) -> SpendingSum {
        let mut sum = self.remote.sum_entries(|entry| entry != member, now);
        add_all(&mut sum, &self.local_spending(now).into_iter().collect());
        self.remote.add_domains(&mut sum, now);
        let silent = self.remote.silent_entries(Some(member), parts, now)
            + self.remote.silent_in_domains(parts, now);
        SpendingSum {
            spent: sum.into_iter().collect(),
            silent,
        }
    }

    /// Takes a snapshot: the spending of each incarnation of an entry in the last
    /// window, that of this entry under `own_name`, and the spending of all entries that
    /// is projected until the next snapshot. `lag` is the time until a report has
    /// reached all entries.
    pub fn snapshot(
        &mut self,
        own_name: &Name,
        incarnation: u64,
        lag: Duration,
        now: Instant,
    ) -> Vec<IncarnationSpending> {
        let projected = IncarnationSpending {
            entry: PROJECTED_NAME.into(),
            incarnation,
            spent: self.project_spending(lag, now),
        };
        let local = IncarnationSpending {
            entry: own_name.clone(),
            incarnation,
            spent: self.local_spending(now),
        };
        let peers = self
            .remote
            .recent_entries(now)
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
    pub fn snapshot_total(&mut self, lag: Duration, now: Instant) -> IncarnationSpending {
        let projected: HashMap<Name, f64> = self.project_spending(lag, now).into_iter().collect();
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
        let known = self.remote.entries.get(peer);
        if known.is_none_or(|known| known.incarnation != incarnation) {
            self.deduct(spent);
        }
    }

    /// Deducts the first sum of another failure domain from the total read from a
    /// snapshot. To be called if the domain's aggregator was already running when
    /// the snapshot was taken.
    pub fn deduct_recorded_domain(&mut self, domain: &Name, sum: &SpendingSum, now: Instant) {
        if !self.remote.knows_domain(domain, now) {
            self.deduct(&sum.spent);
        }
    }

    fn deduct(&mut self, spent: &[(Name, f64)]) {
        let total_name: Name = TOTAL_NAME.into();
        let Some(recorded) = self.remote.entries.get_mut(&total_name) else {
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
    fn project_spending(&mut self, lag: Duration, now: Instant) -> Vec<(Name, f64)> {
        let totals: HashMap<Name, f64> = self
            .workspaces()
            .into_iter()
            .map(|workspace| (workspace.clone(), self.total(&workspace, now)))
            .collect();
        let last = self.last_snapshot.take();
        let projected = last.map_or_else(Vec::new, |last| projected_rise(&last, &totals, lag, now));
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
        local + self.remote.known(workspace, now)
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

    /// Spends units if the quota allows it. `parts` are the parts of the fleet that
    /// report to this entry.
    ///
    /// # Errors
    /// Returns the spending that exhausts the quota, and the time after which the
    /// cost may be admitted.
    pub fn admit(
        &mut self,
        charge: &Charge<'_>,
        parts: &Parts,
        now: Instant,
    ) -> Result<(), QuotaExceeded> {
        let Charge {
            workspace,
            quota,
            cost,
            ..
        } = *charge;
        let share = quota.units / parts.entry_count() as f64;
        let remote = self.remote.reserved(workspace, share, parts, now);
        let window = self.window;
        let local = self
            .local
            .entry(workspace.clone())
            .or_insert_with(|| SlidingSum::new(window));
        let spent = local.sum(now);
        let left = quota.units + quota.slack - spent - remote;
        if cost > left {
            return Err(QuotaExceeded {
                local: spent,
                remote,
                retry_after: local.time_until_expired(cost - left, now),
            });
        }
        let refill = quota.units / window.as_secs_f64();
        let accepted = throttle::accepted_fraction(left, refill, charge.requested_rate, parts.lag);
        if charge.draw >= accepted {
            return Err(QuotaExceeded {
                local: spent,
                remote,
                retry_after: throttle::RETRY_AFTER,
            });
        }
        local.add(cost, now);
        Ok(())
    }

    fn workspaces(&self) -> Vec<Name> {
        let mut names: Vec<Name> = self
            .local
            .keys()
            .chain(self.remote.workspaces())
            .cloned()
            .collect();
        names.sort_unstable();
        names.dedup();
        names
    }
}
