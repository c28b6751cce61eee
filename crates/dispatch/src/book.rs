//! What is known of the upstreams' load.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::UpstreamKey;
use lycheehaven_types::HashMap;
use lycheehaven_types::Name;

/// Age at which a peer's report no longer counts.
const STALE: Duration = Duration::from_secs(2);

/// Age at which the load that an upstream told no longer counts.
const TOLD_STALE: Duration = Duration::from_millis(500);

/// First time for which an upstream is left out after a failed connection.
const PENALTY: Duration = Duration::from_millis(300);

/// Longest time for which an upstream is left out after failures.
const PENALTY_MAX: Duration = Duration::from_secs(3);

/// Weight of the newest outcome in the failure rate.
const OUTCOME_WEIGHT: f64 = 0.15;

/// Load that an upstream told with an answer.
#[derive(Debug, Clone, Copy)]
pub struct Told {
    /// Running and waiting requests.
    pub requests: u32,
    /// When the answer came.
    pub at: Instant,
}

/// One entry's requests at an upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadReport {
    /// Upstream.
    pub upstream: UpstreamKey,
    /// Requests that were sent and have not ended.
    pub requests: u32,
    /// Prompt tokens of those that have not answered yet.
    pub unread: u64,
}

#[derive(Debug, Default)]
struct Entry {
    requests: u32,
    unread: u64,
    peer_requests: u32,
    peer_unread: u64,
    told: Option<Told>,
    failures: u32,
    failure_rate: f64,
    delay: f64,
    closed_until: Option<Instant>,
}

/// Load of all upstreams.
#[derive(Debug, Default)]
pub struct LoadBook {
    entries: HashMap<UpstreamKey, Entry>,
    peers: HashMap<Name, (Instant, Vec<LoadReport>)>,
    parts: HashMap<(UpstreamKey, Name), Instant>,
}

impl LoadBook {
    /// Counts a request that is sent to `upstream`.
    pub fn begin(&mut self, upstream: &UpstreamKey, unread: u64) {
        let entry = self.entries.entry(upstream.clone()).or_default();
        entry.requests += 1;
        entry.unread += unread;
    }

    /// Notes that a request's prompt has been read.
    pub fn answered(&mut self, upstream: &UpstreamKey, unread: u64) {
        if let Some(entry) = self.entries.get_mut(upstream) {
            entry.unread = entry.unread.saturating_sub(unread);
        }
    }

    /// Counts a request that has ended.
    pub fn end(&mut self, upstream: &UpstreamKey) {
        if let Some(entry) = self.entries.get_mut(upstream) {
            entry.requests = entry.requests.saturating_sub(1);
        }
    }

    /// Notes the outcome of a request, and how long its answer took relative
    /// to what was expected.
    pub fn outcome(&mut self, upstream: &UpstreamKey, success: bool, delay: Option<Duration>) {
        let entry = self.entries.entry(upstream.clone()).or_default();
        let failed = if success { 0.0 } else { 1.0 };
        entry.failure_rate += OUTCOME_WEIGHT * (failed - entry.failure_rate);
        if success {
            entry.failures = 0;
            entry.closed_until = None;
        }
        if let Some(delay) = delay {
            entry.delay += OUTCOME_WEIGHT * (delay.as_secs_f64() * 1000.0 - entry.delay);
        }
    }

    /// Leaves an upstream out for a while, longer with each failure in a row.
    pub fn penalize(&mut self, upstream: &UpstreamKey, now: Instant) {
        let entry = self.entries.entry(upstream.clone()).or_default();
        let pause = PENALTY * 2_u32.pow(entry.failures.min(5));
        entry.failures += 1;
        entry.closed_until = Some(now + pause.min(PENALTY_MAX));
    }

    /// Notes the load that an upstream told.
    pub fn tell(&mut self, upstream: &UpstreamKey, told: Told) {
        let entry = self.entries.entry(upstream.clone()).or_default();
        entry.told = Some(told);
    }

    /// Notes that `upstream` has read a prompt part.
    pub fn cached(&mut self, upstream: &UpstreamKey, part: &Name, now: Instant) {
        self.parts.insert((upstream.clone(), part.clone()), now);
    }

    /// When this entry last had `upstream` read a prompt part.
    pub fn cached_at(&self, upstream: &UpstreamKey, part: &Name) -> Option<Instant> {
        self.parts.get(&(upstream.clone(), part.clone())).copied()
    }

    /// This entry's requests at all upstreams.
    pub fn report(&self) -> Vec<LoadReport> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.requests > 0)
            .map(|(upstream, entry)| LoadReport {
                upstream: upstream.clone(),
                requests: entry.requests,
                unread: entry.unread,
            })
            .collect()
    }

    /// Takes over a peer's report.
    pub fn hear(&mut self, peer: &Name, reports: Vec<LoadReport>, now: Instant) {
        self.peers.insert(peer.clone(), (now, reports));
        self.sum_peers(now);
    }

    /// Forgets what is outdated: reports of silent peers, and upstreams for
    /// which `keep` is false.
    pub fn sweep(&mut self, keep: impl Fn(&UpstreamKey) -> bool, cache_age: Duration, now: Instant) {
        self.sum_peers(now);
        self.entries
            .retain(|upstream, entry| entry.requests > 0 || keep(upstream));
        self.parts.retain(|(upstream, _), at| {
            keep(upstream) && now.saturating_duration_since(*at) < cache_age
        });
    }

    /// Requests at an upstream, of all entries that are heard.
    pub fn requests(&self, upstream: &UpstreamKey, now: Instant) -> u32 {
        let Some(entry) = self.entries.get(upstream) else {
            return 0;
        };
        let counted = entry.requests + entry.peer_requests;
        match entry.told {
            Some(told) if now.saturating_duration_since(told.at) < TOLD_STALE => {
                counted.max(told.requests)
            }
            _ => counted,
        }
    }

    /// Prompt tokens at an upstream that have not been read yet.
    pub fn unread(&self, upstream: &UpstreamKey) -> u64 {
        self.entries
            .get(upstream)
            .map_or(0, |entry| entry.unread + entry.peer_unread)
    }

    /// Part of the recent requests that failed.
    pub fn failure_rate(&self, upstream: &UpstreamKey) -> f64 {
        self.entries
            .get(upstream)
            .map_or(0.0, |entry| entry.failure_rate)
    }

    /// Milliseconds that recent answers took beyond what was expected.
    pub fn delay(&self, upstream: &UpstreamKey) -> f64 {
        self.entries.get(upstream).map_or(0.0, |entry| entry.delay)
    }

    /// Whether an upstream is left out after failures.
    pub fn is_closed(&self, upstream: &UpstreamKey, now: Instant) -> bool {
        self.entries
            .get(upstream)
            .and_then(|entry| entry.closed_until)
            .is_some_and(|until| now < until)
    }

    fn sum_peers(&mut self, now: Instant) {
        self.peers
            .retain(|_, (heard, _)| now.saturating_duration_since(*heard) < STALE);
        for entry in self.entries.values_mut() {
            entry.peer_requests = 0;
            entry.peer_unread = 0;
        }
        for (_, reports) in self.peers.values() {
            for report in reports {
                let entry = self.entries.entry(report.upstream.clone()).or_default();
                entry.peer_requests += report.requests;
                entry.peer_unread += report.unread;
            }
        }
    }
}
