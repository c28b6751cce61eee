//! What is known of the upstreams' load.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::UpstreamKey;
use lycheehaven_types::HashMap;
use lycheehaven_types::Name;
use serde::Deserialize;
use serde::Serialize;

/// Ranks that are told apart; the last one stands for all less urgent ones.
pub const PRIORITY_LEVELS: usize = 4;

/// Age at which a peer's report no longer counts. Among 88 entries a peer is
/// heard every 1.5 s on average.
const STALE: Duration = Duration::from_secs(3);

/// Age at which the load that an upstream told no longer counts.
const TOLD_STALE: Duration = Duration::from_millis(500);

/// First time for which an upstream is left out after a failed connection.
const PENALTY: Duration = Duration::from_millis(300);

/// Longest time for which an upstream is left out after failures.
const PENALTY_MAX: Duration = Duration::from_secs(3);

/// Weight of the newest outcome in the failure rate.
const OUTCOME_WEIGHT: f64 = 0.15;

/// Weight of the newest answer in the slowness.
const SLOWNESS_WEIGHT: f64 = 0.2;

/// Weight of the newest answer in the lateness of a service.
const LATENESS_WEIGHT: f64 = 0.1;

/// Bounds of the lateness.
const LATENESS_RANGE: (f64, f64) = (0.8, 4.0);

/// Bounds of the slowness.
const SLOWNESS_RANGE: (f64, f64) = (0.7, 8.0);

/// Time that is added to both sides when an answer is compared with what was
/// expected, so that short answers do not decide.
const SLOWNESS_FLOOR: Duration = Duration::from_millis(60);

/// Requests at an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that were sent and have not ended.
    pub requests: u32,
    /// Tokens of memory that these will need.
    #[serde(rename = "memory")]
    pub kv_tokens: u64,
    /// Prompt tokens that are still to be read, by rank.
    #[serde(rename = "unread")]
    pub prefill_tokens: [u64; PRIORITY_LEVELS],
}

impl Load {
    /// The load of one request.
    pub fn of_request(prefill_tokens: u64, kv_tokens: u64, priority: u8) -> Self {
        let mut load = Self {
            requests: 1,
            kv_tokens,
            prefill_tokens: [0; PRIORITY_LEVELS],
        };
        load.prefill_tokens[rank(priority)] = prefill_tokens;
        load
    }

    /// Prompt tokens that are read before those of a request of `priority`.
    pub fn prefill_ahead(&self, priority: u8) -> u64 {
        self.prefill_tokens[..=rank(priority)].iter().sum()
    }

    fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.kv_tokens += other.kv_tokens;
        for (sum, more) in self.prefill_tokens.iter_mut().zip(other.prefill_tokens) {
            *sum += more;
        }
    }

    fn subtract(&mut self, other: &Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.kv_tokens = self.kv_tokens.saturating_sub(other.kv_tokens);
        for (sum, less) in self.prefill_tokens.iter_mut().zip(other.prefill_tokens) {
            *sum = sum.saturating_sub(less);
        }
    }
}

fn rank(priority: u8) -> usize {
    usize::from(priority).min(PRIORITY_LEVELS - 1)
}

/// Load that an upstream told with an answer.
#[derive(Debug, Clone, Copy)]
pub struct ObservedLoad {
    /// Running and waiting requests.
    pub requests: u32,
    /// When the answer came.
    pub at: Instant,
}

/// One entry's load at an upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Upstream.
    pub upstream: UpstreamKey,
    /// Load.
    pub load: Load,
}

#[derive(Debug)]
struct Entry {
    own: Load,
    peers: Load,
    told: Option<ObservedLoad>,
    failures: u32,
    failure_rate: f64,
    slowness: f64,
    closed_until: Option<Instant>,
}

impl Default for Entry {
    fn default() -> Self {
        Self {
            own: Load::default(),
            peers: Load::default(),
            told: None,
            failures: 0,
            failure_rate: 0.0,
            slowness: 1.0,
            closed_until: None,
        }
    }
}

/// Load of all upstreams.
#[derive(Debug, Default)]
pub struct LoadTracker {
    entries: HashMap<UpstreamKey, Entry>,
    peers: HashMap<Name, (Instant, Vec<LoadReport>)>,
    parts: HashMap<(UpstreamKey, Name), Instant>,
    /// By service, how much later answers begin than their load lets expect.
    lateness: HashMap<Name, f64>,
}

impl LoadTracker {
    /// Counts a request that is sent to `upstream`.
    pub fn add_load(&mut self, upstream: &UpstreamKey, load: &Load) {
        let entry = self.entries.entry(upstream.clone()).or_default();
        entry.own.add(load);
    }

    /// Takes back part of the load of a request.
    pub fn remove_load(&mut self, upstream: &UpstreamKey, load: &Load) {
        if let Some(entry) = self.entries.get_mut(upstream) {
            entry.own.subtract(load);
        }
    }

    /// Notes the outcome of a request.
    pub fn record_outcome(&mut self, upstream: &UpstreamKey, success: bool) {
        let entry = self.entries.entry(upstream.clone()).or_default();
        let failed = if success { 0.0 } else { 1.0 };
        entry.failure_rate += OUTCOME_WEIGHT * (failed - entry.failure_rate);
        if success {
            entry.failures = 0;
            entry.closed_until = None;
        }
    }

    /// Notes how long an answer took, and how long was expected.
    pub fn record_latency(
        &mut self,
        service: &Name,
        upstream: &UpstreamKey,
        taken: Duration,
        expected: Duration,
    ) {
        let entry = self.entries.entry(upstream.clone()).or_default();
        let ratio =
            (taken + SLOWNESS_FLOOR).as_secs_f64() / (expected + SLOWNESS_FLOOR).as_secs_f64();
        let (low, high) = SLOWNESS_RANGE;
        // What was expected already holds the present slowness.
        let measured = (ratio * entry.slowness).clamp(low, high);
        entry.slowness += SLOWNESS_WEIGHT * (measured - entry.slowness);
        let lateness = self.lateness.entry(service.clone()).or_insert(1.0);
        let (low, high) = LATENESS_RANGE;
        let measured = (ratio * *lateness).clamp(low, high);
        *lateness += LATENESS_WEIGHT * (measured - *lateness);
    }

    /// How much later answers of a service begin than expected: what peers have
    /// sent since they were heard makes all of them late.
    pub fn service_slowdown(&self, service: &Name) -> f64 {
        self.lateness.get(service).copied().unwrap_or(1.0)
    }

    /// Leaves an upstream out for a while, longer with each failure in a row.
    pub fn start_backoff(&mut self, upstream: &UpstreamKey, now: Instant) {
        let entry = self.entries.entry(upstream.clone()).or_default();
        let pause = PENALTY * 2_u32.pow(entry.failures.min(5));
        entry.failures += 1;
        entry.closed_until = Some(now + pause.min(PENALTY_MAX));
    }

    /// Notes the load that an upstream told.
    pub fn observe_load(&mut self, upstream: &UpstreamKey, told: ObservedLoad) {
        let entry = self.entries.entry(upstream.clone()).or_default();
        entry.told = Some(told);
    }

    /// Notes that `upstream` has read a prompt part.
    pub fn record_cached(&mut self, upstream: &UpstreamKey, part: &Name, now: Instant) {
        self.parts.insert((upstream.clone(), part.clone()), now);
    }

    /// When this entry last had `upstream` read a prompt part.
    pub fn cached_at(&self, upstream: &UpstreamKey, part: &Name) -> Option<Instant> {
        self.parts.get(&(upstream.clone(), part.clone())).copied()
    }

    /// This entry's load at all upstreams.
    pub fn load_reports(&self) -> Vec<LoadReport> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.own.requests > 0)
            .map(|(upstream, entry)| LoadReport {
                upstream: upstream.clone(),
                load: entry.own,
            })
            .collect()
    }

    /// Takes over a peer's report.
    pub fn update_peer(&mut self, peer: &Name, reports: Vec<LoadReport>, now: Instant) {
        self.peers.insert(peer.clone(), (now, reports));
        self.sum_peers(now);
    }

    /// Forgets what is outdated: reports of silent peers, and upstreams for
    /// which `keep` is false.
    pub fn prune(
        &mut self,
        keep: impl Fn(&UpstreamKey) -> bool,
        cache_age: Duration,
        now: Instant,
    ) {
        self.sum_peers(now);
        self.entries
            .retain(|upstream, entry| entry.own.requests > 0 || keep(upstream));
        self.parts.retain(|(upstream, _), at| {
            keep(upstream) && now.saturating_duration_since(*at) < cache_age
        });
    }

    /// Load at an upstream, of all entries that are heard.
    pub fn load(&self, upstream: &UpstreamKey, now: Instant) -> Load {
        let Some(entry) = self.entries.get(upstream) else {
            return Load::default();
        };
        let mut load = entry.own;
        load.add(&entry.peers);
        let told = entry
            .told
            .filter(|told| now.saturating_duration_since(told.at) < TOLD_STALE);
        if let Some(told) = told {
            load.requests = load.requests.max(told.requests);
        }
        load
    }

    /// Part of the recent requests that failed.
    pub fn failure_rate(&self, upstream: &UpstreamKey) -> f64 {
        self.entries
            .get(upstream)
            .map_or(0.0, |entry| entry.failure_rate)
    }

    /// How much slower an upstream is than expected; 1 if as expected.
    pub fn upstream_slowdown(&self, upstream: &UpstreamKey) -> f64 {
        self.entries
            .get(upstream)
            .map_or(1.0, |entry| entry.slowness)
    }

    /// Whether an upstream is left out after failures.
    pub fn in_backoff(&self, upstream: &UpstreamKey, now: Instant) -> bool {
        self.entries
            .get(upstream)
            .and_then(|entry| entry.closed_until)
            .is_some_and(|until| now < until)
    }

    fn sum_peers(&mut self, now: Instant) {
        self.peers
            .retain(|_, (heard, _)| now.saturating_duration_since(*heard) < STALE);
        for entry in self.entries.values_mut() {
            entry.peers = Load::default();
        }
        for (_, reports) in self.peers.values() {
            for report in reports {
                let entry = self.entries.entry(report.upstream.clone()).or_default();
                entry.peers.add(&report.load);
            }
        }
    }
}
