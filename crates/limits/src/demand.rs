//! Division of workspace limits among the entries by demand.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::HashMap;
use lycheehaven_types::Name;

/// Fraction of a limit that is split evenly, so that an entry without demand can
/// admit its first requests.
const EVEN_FRACTION: f64 = 0.2;

/// Age at which a peer's reported demand is ignored.
const PEER_EXPIRY: Duration = Duration::from_secs(15);

/// Time constant of the moving average of demand, in seconds.
const SMOOTHING_SECONDS: f64 = 3.0;

/// Entries that share a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Topology {
    /// Entries that are in the VM list or known otherwise, including dead ones.
    pub known: usize,
    /// Entries with a recent heartbeat, including this one.
    pub alive: usize,
    /// Known entries in this entry's failure domain.
    pub domain_known: usize,
    /// Whether an entry in another failure domain has a recent heartbeat.
    pub connected: bool,
}

#[derive(Debug, Clone, Copy)]
struct PeerDemand {
    demand: f64,
    reported_at: Instant,
}

/// Tracks the demand of each workspace at this entry and at its peers.
///
/// Demand is an exponentially decaying average, in requests per second.
#[derive(Debug, Default)]
pub struct DemandTracker {
    local: HashMap<Name, (f64, Instant)>,
    peers: HashMap<Name, HashMap<Name, PeerDemand>>,
}

impl DemandTracker {
    /// Counts one request of `workspace` at this entry.
    pub fn record_request(&mut self, workspace: &Name, now: Instant) {
        let (demand, last) = self.local.get(workspace).copied().unwrap_or((0.0, now));
        let decayed = decay(demand, now.duration_since(last));
        self.local
            .insert(workspace.clone(), (decayed + 1.0 / SMOOTHING_SECONDS, now));
    }

    /// Replaces a peer's reported demand. Values that are negative or not finite are
    /// ignored.
    pub fn update_peer(&mut self, entry: &Name, workspace: &Name, demand: f64, now: Instant) {
        if demand.is_finite() && demand >= 0.0 {
            let reports = self.peers.entry(workspace.clone()).or_default();
            reports.insert(
                entry.clone(),
                PeerDemand {
                    demand,
                    reported_at: now,
                },
            );
        }
    }

    /// Returns the demand at this entry of the `limit` workspaces with the highest
    /// demand, in descending order.
    pub fn local_demand(&self, limit: usize, now: Instant) -> Vec<(Name, f64)> {
        let decayed = |(demand, last): &(f64, Instant)| decay(*demand, now.duration_since(*last));
        let mut local: Vec<(Name, f64)> = self
            .local
            .iter()
            .map(|(name, state)| (name.clone(), decayed(state)))
            .collect();
        local.sort_by(|a, b| b.1.total_cmp(&a.1));
        local.truncate(limit);
        local
    }

    /// Returns the fraction of the workspace's limits that this entry may use, above
    /// 0 and at most 1. While this entry's failure domain is cut off from the others,
    /// all its entries together use at most the domain's fixed part.
    pub fn limit_fraction(&self, workspace: &str, topology: Topology, now: Instant) -> f64 {
        let known = topology.known.max(1) as f64;
        let domain_fraction = topology.domain_known.max(1) as f64 / known;
        let (available, sharers) = if topology.connected || topology.domain_known == topology.known
        {
            (1.0, topology.alive.max(1) as f64)
        } else {
            (
                domain_fraction,
                topology.alive.clamp(1, topology.domain_known.max(1)) as f64,
            )
        };
        let local = self.local.get(workspace).map_or(0.0, |(demand, last)| {
            decay(*demand, now.duration_since(*last))
        });
        let others = self.peer_demand(workspace, topology, now);
        let total = local + others;
        let by_demand = if total > 0.0 {
            local / total
        } else {
            1.0 / sharers
        };
        available * (EVEN_FRACTION / sharers + (1.0 - EVEN_FRACTION) * by_demand)
    }

    /// Returns the demand at the other live entries. In a large fleet only some of
    /// them have a recent report; the others are assumed to have the same average
    /// demand.
    fn peer_demand(&self, workspace: &str, topology: Topology, now: Instant) -> f64 {
        let reports = self
            .peers
            .get(workspace)
            .into_iter()
            .flat_map(|peers| peers.values());
        let fresh = reports.filter(|report| now.duration_since(report.reported_at) < PEER_EXPIRY);
        let (reported, demand) = fresh.fold((0_usize, 0.0), |(reported, sum), report| {
            (reported + 1, sum + report.demand)
        });
        let others = topology.alive.saturating_sub(1);
        demand * (others as f64 / reported.max(1) as f64).max(1.0)
    }
}

fn decay(demand: f64, elapsed: Duration) -> f64 {
    demand * (-elapsed.as_secs_f64() / SMOOTHING_SECONDS).exp()
}
