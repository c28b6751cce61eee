//! Limits of workspaces over all entries together.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::HashMap;
use lycheehaven_types::Name;
use lycheehaven_types::SlidingSum;
use serde::Deserialize;
use serde::Serialize;

/// Silence after which a peer is taken to spend its even share unseen.
const SILENT: Duration = Duration::from_millis(900);

/// What a workspace may spend in one window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Units in a window.
    pub units: f64,
    /// Further units that absorb what peers spent since they last reported.
    pub slack: f64,
}

/// Why a cost was not admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaExceeded {
    /// Units spent here in the last window.
    pub local: f64,
    /// Units spent at peers or set aside for silent ones.
    pub remote: f64,
    /// Time after which the cost may be admitted.
    pub retry_after: Duration,
}

/// What one run of an entry spent in a window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct IncarnationSpending {
    /// Entry.
    pub entry: Name,
    /// Run of its process.
    pub incarnation: u64,
    /// Units by workspace.
    pub spent: Vec<(Name, f64)>,
}

/// The last record.
#[derive(Debug)]
struct Recorded {
    at: Instant,
    totals: HashMap<Name, f64>,
}

#[derive(Debug)]
struct PeerSpend {
    incarnation: u64,
    heard: Instant,
    spent: HashMap<Name, f64>,
}

/// Part of what may be exceeded that is used. The rest covers spending that
/// peers have not reported yet, or that no record held when all restarted.
const USED_SLACK: f64 = 0.35;

/// Rise of a workspace's spending, as a part of its limit, after which a record
/// of all spending is due.
const RECORD_RISE: f64 = 0.04;

/// Interval at which it is looked whether a record is due.
pub const SNAPSHOT_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Spending that the last record can lack when all entries are killed: it is
/// due at the next look, and peers' spending is known 200 ms late.
const UNRECORDED: Duration = Duration::from_millis(450);

/// Stands in a record for spending that it probably lacks.
const EXPECTED: &str = "expected";

/// Stands for the spending of all entries in a record that has only totals.
const RECORDED: &str = "recorded";

impl Quota {
    /// A limit of `units` that may be exceeded by `excess` over all entries.
    pub fn new(units: f64, excess: f64) -> Self {
        Self {
            units,
            slack: excess * USED_SLACK,
        }
    }
}

/// Counts what each workspace spent here and at the peers.
///
/// The sum over all entries stays within a limit plus what is spent between
/// two reports: an entry adds the peers' last reports to its own spending, and
/// for a peer that it does not hear it sets aside the peer's even share. A peer
/// that hears nobody sets aside the shares of all others, and so keeps to its
/// own.
#[derive(Debug)]
pub struct QuotaTracker {
    window: Duration,
    own: HashMap<Name, SlidingSum>,
    peers: HashMap<Name, PeerSpend>,
    recorded: Option<Recorded>,
}

impl QuotaTracker {
    /// Counts over windows of this length.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            own: HashMap::default(),
            peers: HashMap::default(),
            recorded: None,
        }
    }

    /// Length of the window.
    pub fn window(&self) -> Duration {
        self.window
    }

    /// Takes over what a peer spent in the last window.
    pub fn update_peer(
        &mut self,
        peer: &Name,
        incarnation: u64,
        spent: &[(Name, f64)],
        now: Instant,
    ) {
        let reported: HashMap<Name, f64> = spent.iter().cloned().collect();
        let entry = PeerSpend {
            incarnation,
            heard: now,
            spent: reported,
        };
        match self.peers.get(peer) {
            Some(known) if known.heard > now => {
                // A record from before what is known; it matters only if it is
                // of an earlier run.
                if known.incarnation != incarnation {
                    let earlier = format!("{peer}/{incarnation}");
                    self.peers.insert(earlier.into(), entry);
                }
                return;
            }
            // A restarted peer starts at zero; what it spent before still
            // counts until the window has passed.
            Some(known) if known.incarnation != incarnation => {
                let earlier = format!("{peer}/{}", known.incarnation);
                let known = self.peers.insert(peer.clone(), entry);
                if let Some(known) = known {
                    self.peers.insert(earlier.into(), known);
                }
            }
            _ => {
                self.peers.insert(peer.clone(), entry);
            }
        }
        let window = self.window;
        self.peers
            .retain(|_, known| now.saturating_duration_since(known.heard) < window);
    }

    /// What each run of an entry spent in the last window, this one's under
    /// `me`, and what all of them will probably spend until the next record.
    pub fn snapshot(
        &mut self,
        me: &Name,
        incarnation: u64,
        now: Instant,
    ) -> Vec<IncarnationSpending> {
        let expected = IncarnationSpending {
            entry: EXPECTED.into(),
            incarnation,
            spent: self.expect_spending(now),
        };
        let own = IncarnationSpending {
            entry: me.clone(),
            incarnation,
            spent: self.local_spending(now),
        };
        let window = self.window;
        let peers = self
            .peers
            .iter()
            .filter(|(_, known)| now.saturating_duration_since(known.heard) < window)
            .map(|(entry, known)| IncarnationSpending {
                entry: entry.clone(),
                incarnation: known.incarnation,
                spent: known.spent.clone().into_iter().collect(),
            });
        peers.chain([own, expected]).collect()
    }

    /// What each workspace will probably have spent in the last window when the
    /// next record is kept, over all entries as if they were one.
    pub fn snapshot_total(&mut self, now: Instant) -> IncarnationSpending {
        let expected: HashMap<Name, f64> = self.expect_spending(now).into_iter().collect();
        let spent = self
            .workspaces()
            .into_iter()
            .map(|workspace| {
                let more = expected.get(&workspace).copied().unwrap_or(0.0);
                let total = self.total(&workspace, now) + more;
                (workspace, total)
            })
            .collect();
        IncarnationSpending {
            entry: RECORDED.into(),
            incarnation: 0,
            spent,
        }
    }

    /// Takes what a peer tells for the first time out of a recorded total, which
    /// holds it if the peer was running before the record.
    pub fn deduct_recorded(&mut self, peer: &Name, incarnation: u64, spent: &[(Name, f64)]) {
        let known = self.peers.get(peer);
        if known.is_some_and(|known| known.incarnation == incarnation) {
            return;
        }
        let Some(recorded) = self.peers.get_mut(RECORDED) else {
            return;
        };
        for (workspace, units) in spent {
            if let Some(total) = recorded.spent.get_mut(workspace) {
                *total = (*total - units).max(0.0);
            }
        }
    }

    /// Notes the totals as recorded and returns what will be spent until the
    /// next record if spending rises on as it did since the last one.
    fn expect_spending(&mut self, now: Instant) -> Vec<(Name, f64)> {
        let totals: HashMap<Name, f64> = self
            .workspaces()
            .into_iter()
            .map(|workspace| (workspace.clone(), self.total(&workspace, now)))
            .collect();
        let last = self.recorded.take();
        let expected = last.map_or_else(Vec::new, |last| expected_rise(&last, &totals, now));
        self.recorded = Some(Recorded { at: now, totals });
        expected
    }

    /// What each workspace spent here in the last window.
    pub fn local_spending(&mut self, now: Instant) -> Vec<(Name, f64)> {
        self.own
            .iter_mut()
            .map(|(workspace, sum)| (workspace.clone(), sum.sum(now)))
            .filter(|(_, sum)| *sum > 0.0)
            .collect()
    }

    /// What a workspace spent in the last window here and at the peers that
    /// were heard in it.
    pub fn total(&mut self, workspace: &Name, now: Instant) -> f64 {
        let own = self.own.get_mut(workspace).map_or(0.0, |sum| sum.sum(now));
        let window = self.window;
        let peers: f64 = self
            .peers
            .values()
            .filter(|known| now.saturating_duration_since(known.heard) < window)
            .filter_map(|known| known.spent.get(workspace))
            .sum();
        own + peers
    }

    /// Whether a workspace spent so much since the last record that a new one
    /// is due: what no record holds is forgotten when all entries restart.
    pub fn snapshot_due(&mut self, workspace: &Name, limit: Quota, now: Instant) -> bool {
        let total = self.total(workspace, now);
        let last = self.recorded.as_ref();
        let recorded = last.and_then(|last| last.totals.get(workspace).copied());
        total - recorded.unwrap_or(0.0) > limit.units * RECORD_RISE
    }

    /// Spends `cost` if the limit allows it. `members` are all entries that may
    /// be running, this one included.
    ///
    /// # Errors
    /// What stands against it, and the time after which it may be allowed.
    pub fn admit(
        &mut self,
        workspace: &Name,
        limit: Quota,
        cost: f64,
        members: &[Name],
        now: Instant,
    ) -> Result<(), QuotaExceeded> {
        let elsewhere = self.elsewhere(workspace, limit, members, now);
        let window = self.window;
        let own = self
            .own
            .entry(workspace.clone())
            .or_insert_with(|| SlidingSum::new(window));
        let total = own.sum(now) + elsewhere + cost;
        let over = total - (limit.units + limit.slack);
        if over > 0.0 {
            return Err(QuotaExceeded {
                local: own.sum(now),
                remote: elsewhere,
                retry_after: own.time_until_expired(over, now),
            });
        }
        own.add(cost, now);
        Ok(())
    }

    fn workspaces(&self) -> Vec<Name> {
        let peers = self.peers.values().flat_map(|known| known.spent.keys());
        let mut names: Vec<Name> = self.own.keys().chain(peers).cloned().collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    fn elsewhere(&self, workspace: &Name, limit: Quota, members: &[Name], now: Instant) -> f64 {
        let share = limit.units / members.len().max(1) as f64;
        let heard = |peer: &Name| {
            self.peers
                .get(peer)
                .is_some_and(|known| now.saturating_duration_since(known.heard) < SILENT)
        };
        let reported = |known: &PeerSpend| known.spent.get(workspace).copied().unwrap_or(0.0);
        let mut total = 0.0;
        for (peer, known) in &self.peers {
            if now.saturating_duration_since(known.heard) >= self.window {
                continue;
            }
            let silent_member = members.contains(peer) && !heard(peer);
            total += if silent_member {
                reported(known).max(share)
            } else {
                reported(known)
            };
        }
        // One member is this entry itself, which `peers` never holds.
        let known = members.iter().filter(|peer| {
            self.peers
                .get(*peer)
                .is_some_and(|known| now.saturating_duration_since(known.heard) < self.window)
        });
        let unknown = members.len().saturating_sub(1 + known.count());
        total + unknown as f64 * share
    }
}

/// Spending until the next record, by workspace. A rise may have begun just
/// before it was seen, so it is taken to have lasted no longer than a look.
fn expected_rise(last: &Recorded, totals: &HashMap<Name, f64>, now: Instant) -> Vec<(Name, f64)> {
    let gap = now
        .saturating_duration_since(last.at)
        .clamp(SNAPSHOT_CHECK_INTERVAL / 2, SNAPSHOT_CHECK_INTERVAL);
    let looks = UNRECORDED.as_secs_f64() / gap.as_secs_f64();
    totals
        .iter()
        .map(|(workspace, total)| {
            let before = last.totals.get(workspace).copied().unwrap_or(0.0);
            (workspace.clone(), (total - before) * looks)
        })
        .filter(|(_, units)| *units > 0.0)
        .collect()
}
