//! An entry's part of a workspace's limit.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::HashMap;
use lycheehaven_types::Name;

/// Part of a limit that is split evenly, so that an entry with no demand yet
/// can admit its first requests.
const EVEN_PART: f64 = 0.2;

/// Age at which a peer's demand counter no longer counts.
const STALE: Duration = Duration::from_secs(15);

/// Time over which demand is smoothed.
const SMOOTHING: f64 = 3.0;

/// Which entries share a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Topology {
    /// Entries in the VM list or known otherwise, dead ones included.
    pub known: usize,
    /// Entries heard of lately, this one included.
    pub alive: usize,
    /// Known entries of this entry's failure domain.
    pub domain_known: usize,
    /// Whether an entry of another failure domain was heard of lately.
    pub connected: bool,
}

#[derive(Debug, Clone, Copy)]
struct Counter {
    demand: f64,
    heard: Instant,
}

/// Demand per workspace, here and at the peers.
#[derive(Debug, Default)]
pub struct DemandTracker {
    own: HashMap<Name, (f64, Instant)>,
    peers: HashMap<Name, HashMap<Name, Counter>>,
}

impl DemandTracker {
    /// Counts one request of `workspace` at this entry.
    pub fn record_request(&mut self, workspace: &Name, now: Instant) {
        let (demand, last) = self.own.get(workspace).copied().unwrap_or((0.0, now));
        let faded = fade(demand, now.duration_since(last));
        self.own
            .insert(workspace.clone(), (faded + 1.0 / SMOOTHING, now));
    }

    /// Takes over a peer's counter.
    pub fn update_peer(&mut self, entry: &Name, workspace: &Name, demand: f64, now: Instant) {
        if demand.is_finite() && demand >= 0.0 {
            let counters = self.peers.entry(workspace.clone()).or_default();
            counters.insert(entry.clone(), Counter { demand, heard: now });
        }
    }

    /// This entry's demand, the largest first, at most `limit` workspaces.
    pub fn local_demand(&self, limit: usize, now: Instant) -> Vec<(Name, f64)> {
        let faded = |(demand, last): &(f64, Instant)| fade(*demand, now.duration_since(*last));
        let mut own: Vec<(Name, f64)> = self
            .own
            .iter()
            .map(|(name, state)| (name.clone(), faded(state)))
            .collect();
        own.sort_by(|a, b| b.1.total_cmp(&a.1));
        own.truncate(limit);
        own
    }

    /// Part of the workspace's limits that this entry may use, above 0 and at
    /// most 1. Cut off from other domains, all entries of this one together
    /// use no more than the domain's fixed part.
    pub fn limit_fraction(&self, workspace: &str, topology: Topology, now: Instant) -> f64 {
        let known = topology.known.max(1) as f64;
        let domain_part = topology.domain_known.max(1) as f64 / known;
        let (whole, sharers) = if topology.connected || topology.domain_known == topology.known {
            (1.0, topology.alive.max(1) as f64)
        } else {
            (
                domain_part,
                topology.alive.clamp(1, topology.domain_known.max(1)) as f64,
            )
        };
        let own = self.own.get(workspace).map_or(0.0, |(demand, last)| {
            fade(*demand, now.duration_since(*last))
        });
        let others = self.peer_demand(workspace, topology, now);
        let total = own + others;
        let by_demand = if total > 0.0 {
            own / total
        } else {
            1.0 / sharers
        };
        whole * (EVEN_PART / sharers + (1.0 - EVEN_PART) * by_demand)
    }

    /// Demand at the other live entries. In a large fleet only some of them are
    /// heard of in time; the others are taken to be like those.
    fn peer_demand(&self, workspace: &str, topology: Topology, now: Instant) -> f64 {
        let counters = self
            .peers
            .get(workspace)
            .into_iter()
            .flat_map(|peers| peers.values());
        let fresh = counters.filter(|counter| now.duration_since(counter.heard) < STALE);
        let (heard, demand) = fresh.fold((0_usize, 0.0), |(heard, sum), counter| {
            (heard + 1, sum + counter.demand)
        });
        let others = topology.alive.saturating_sub(1);
        demand * (others as f64 / heard.max(1) as f64).max(1.0)
    }
}

fn fade(demand: f64, elapsed: Duration) -> f64 {
    demand * (-elapsed.as_secs_f64() / SMOOTHING).exp()
}
