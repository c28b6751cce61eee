//! The load, latency and failures of the upstreams, as far as this entry knows them.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::UpstreamKey;
use lycheehaven_fleet::Source;
use lycheehaven_types::HashMap;
use lycheehaven_types::Name;

use crate::activity::Activity;
use crate::load::Load;
use crate::load::LoadPart;
use crate::load::LoadReport;
use crate::load::PRIORITY_LEVELS;
use crate::prefix_cache::PrefixCache;
use crate::silence::is_silent;

/// Age at which a peer's load report is discarded.
const PEER_EXPIRY: Duration = Duration::from_secs(3);

/// Age from which a report that covers the whole fleet gives way to the reports
/// that cover parts of it.
const FLEET_EXPIRY: Duration = Duration::from_millis(1500);

/// Longest regular interval between two parts of a source's reports.
const PART_INTERVAL: Duration = Duration::from_millis(400);

/// Weight of the newest report in the moving average of the prompt tokens that the
/// fleet's requests have waiting at an upstream. Such a report is older than most
/// prompts take to prefill, so the average says more about the present than the
/// report itself. About five reports arrive each second.
const FLEET_PREFILL_WEIGHT: f64 = 0.2;

/// Age at which the load reported by an upstream is ignored.
const OBSERVED_EXPIRY: Duration = Duration::from_millis(500);

/// Backoff after the first failed connection to an upstream.
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);

/// Longest backoff after consecutive failures.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// Weight of the newest outcome in the moving average of the failure rate.
const OUTCOME_WEIGHT: f64 = 0.15;

/// Weight of the newest response in the moving average of an upstream's slowdown.
const UPSTREAM_SLOWDOWN_WEIGHT: f64 = 0.2;

/// Weight of the newest response in the moving average of a service's slowdown.
const SERVICE_SLOWDOWN_WEIGHT: f64 = 0.1;

/// Bounds of a service's slowdown.
const SERVICE_SLOWDOWN_RANGE: (f64, f64) = (0.8, 4.0);

/// Bounds of an upstream's slowdown.
const UPSTREAM_SLOWDOWN_RANGE: (f64, f64) = (0.7, 8.0);

/// Time added to both the measured and the expected latency before their ratio is
/// taken, so that short latencies do not dominate the average.
const LATENCY_OFFSET: Duration = Duration::from_millis(60);

/// Load that an upstream reported with a response.
#[derive(Debug, Clone, Copy)]
pub struct ObservedLoad {
    /// Running and waiting requests.
    pub requests: u32,
    /// Time at which the response arrived.
    pub at: Instant,
}

/// Load that peers cause at an upstream, by the kind of source that reports it.
#[derive(Debug, Default)]
struct PeerLoad {
    entries: Load,
    domains: Load,
    fleet: Load,
    /// Moving average of the prompt tokens in `fleet`.
    fleet_prefill: [f64; PRIORITY_LEVELS],
}

impl PeerLoad {
    fn by(&mut self, source: &Source) -> &mut Load {
        match source {
            Source::Entry(_) => &mut self.entries,
            Source::Domain(_) => &mut self.domains,
            Source::Fleet => &mut self.fleet,
        }
    }

    fn average_prefill(&mut self) {
        let newest = self.fleet.prefill_tokens;
        for (average, tokens) in self.fleet_prefill.iter_mut().zip(newest) {
            *average += FLEET_PREFILL_WEIGHT * (tokens as f64 - *average);
        }
    }

    /// Returns the load that the parts of the fleet report.
    fn reported_parts(&self) -> Load {
        let mut load = self.entries;
        load.add(&self.domains);
        load
    }

    /// Returns the load that the fleet causes at present.
    fn expected_fleet(&self) -> Load {
        Load {
            prefill_tokens: self.fleet_prefill.map(|tokens| tokens as u64),
            ..self.fleet
        }
    }

    fn is_empty(&self) -> bool {
        [&self.entries, &self.domains, &self.fleet]
            .iter()
            .all(|load| load.requests == 0)
    }
}

#[derive(Debug)]
struct UpstreamStats {
    local: Load,
    peers: PeerLoad,
    observed: Option<ObservedLoad>,
    failures: u32,
    failure_rate: f64,
    slowdown: f64,
    activity: Rc<Activity>,
}

impl Default for UpstreamStats {
    fn default() -> Self {
        Self {
            local: Load::default(),
            peers: PeerLoad::default(),
            observed: None,
            failures: 0,
            failure_rate: 0.0,
            slowdown: 1.0,
            activity: Rc::default(),
        }
    }
}

/// The last part of a source's reports with its index.
#[derive(Debug)]
struct ReceivedPart {
    at: Instant,
    /// Number of parts that the source's reports are split into.
    parts: usize,
    reports: Vec<LoadReport>,
}

impl ReceivedPart {
    /// Returns whether the part is older than `expiry`, and than the other parts take to
    /// be sent in turn.
    fn is_expired(&self, expiry: Duration, now: Instant) -> bool {
        let others = self.parts.saturating_sub(1) as u32;
        now.saturating_duration_since(self.at) >= expiry + PART_INTERVAL * others
    }
}

/// Tracks the load, latency and failures of all upstreams.
#[derive(Debug, Default)]
pub struct LoadTracker {
    upstreams: HashMap<UpstreamKey, UpstreamStats>,
    reports: HashMap<(Source, usize), ReceivedPart>,
    cache: PrefixCache,
    /// When the backoffs of upstreams end.
    backoffs: HashMap<UpstreamKey, Instant>,
    /// Ratio of measured to expected latency, by service.
    slowdowns: HashMap<Name, f64>,
}

impl LoadTracker {
    /// Adds the load of a request that is sent to `upstream`.
    pub fn add_load(&mut self, upstream: &UpstreamKey, load: &Load) {
        let stats = self.upstreams.entry(upstream.clone()).or_default();
        stats.local.add(load);
    }

    /// Removes all or part of the load of a request.
    pub fn remove_load(&mut self, upstream: &UpstreamKey, load: &Load) {
        if let Some(stats) = self.upstreams.get_mut(upstream) {
            stats.local.subtract(load);
        }
    }

    /// Returns what is heard of an upstream.
    pub fn activity(&mut self, upstream: &UpstreamKey) -> Rc<Activity> {
        let stats = self.upstreams.entry(upstream.clone()).or_default();
        stats.activity.clone()
    }

    /// Returns the upstreams that have requests of this entry and are silent.
    pub fn silent(&self, now: Instant) -> impl Iterator<Item = &UpstreamKey> {
        let upstreams = self.upstreams.iter();
        let silent = upstreams.filter(move |(_, stats)| is_silent(&stats.activity, now));
        silent.map(|(upstream, _)| upstream)
    }

    /// Records the outcome of a request.
    pub fn record_outcome(&mut self, upstream: &UpstreamKey, success: bool) {
        let stats = self.upstreams.entry(upstream.clone()).or_default();
        let failed = if success { 0.0 } else { 1.0 };
        stats.failure_rate += OUTCOME_WEIGHT * (failed - stats.failure_rate);
        if success {
            stats.failures = 0;
            self.backoffs.remove(upstream);
        }
    }

    /// Records the time until a response began, and the time that was expected.
    pub fn record_latency(
        &mut self,
        service: &Name,
        upstream: &UpstreamKey,
        taken: Duration,
        expected: Duration,
    ) {
        let stats = self.upstreams.entry(upstream.clone()).or_default();
        let ratio =
            (taken + LATENCY_OFFSET).as_secs_f64() / (expected + LATENCY_OFFSET).as_secs_f64();
        let (low, high) = UPSTREAM_SLOWDOWN_RANGE;
        // The expected time already includes the current slowdown.
        let measured = (ratio * stats.slowdown).clamp(low, high);
        stats.slowdown += UPSTREAM_SLOWDOWN_WEIGHT * (measured - stats.slowdown);
        let slowdown = self.slowdowns.entry(service.clone()).or_insert(1.0);
        let (low, high) = SERVICE_SLOWDOWN_RANGE;
        let measured = (ratio * *slowdown).clamp(low, high);
        *slowdown += SERVICE_SLOWDOWN_WEIGHT * (measured - *slowdown);
    }

    /// Returns the ratio of measured to expected latency of a service; 1 if unknown.
    /// Requests that peers have sent since their last reports raise it for all
    /// upstreams of the service.
    pub fn service_slowdown(&self, service: &Name) -> f64 {
        self.slowdowns.get(service).copied().unwrap_or(1.0)
    }

    /// Excludes an upstream for a backoff that doubles with each consecutive failure.
    pub fn start_backoff(&mut self, upstream: &UpstreamKey, now: Instant) {
        let stats = self.upstreams.entry(upstream.clone()).or_default();
        let backoff = INITIAL_BACKOFF * 2_u32.pow(stats.failures.min(5));
        stats.failures += 1;
        let until = now + backoff.min(MAX_BACKOFF);
        self.backoffs.insert(upstream.clone(), until);
    }

    /// Records the load that an upstream reported.
    pub fn observe_load(&mut self, upstream: &UpstreamKey, observed: ObservedLoad) {
        let stats = self.upstreams.entry(upstream.clone()).or_default();
        stats.observed = Some(observed);
    }

    /// Records that `upstream` has prefilled a prompt part.
    pub fn record_cached(&mut self, upstream: &UpstreamKey, part: &Name, now: Instant) {
        self.cache.record(upstream, part, now);
    }

    /// Returns the prompt parts that upstreams have cached.
    pub(crate) fn cache(&self) -> &PrefixCache {
        &self.cache
    }

    /// Returns the load that this entry causes at each upstream.
    pub fn load_reports(&self) -> Vec<LoadReport> {
        self.sums(None, |_| Load::default())
    }

    /// Returns the load that this entry and the entries that report to it directly
    /// cause at each upstream.
    pub fn domain_reports(&self) -> Vec<LoadReport> {
        self.sums(None, |peers| peers.entries)
    }

    /// Returns the load that all entries except `member` cause at each upstream.
    pub fn reports_for(&self, member: &Name) -> Vec<LoadReport> {
        self.sums(Some(member), PeerLoad::reported_parts)
    }

    /// Replaces the load that `source` reports for a part of the upstreams.
    pub fn update_source(&mut self, source: Source, part: LoadPart, now: Instant) {
        let LoadPart {
            index,
            parts,
            reports,
        } = part;
        let key = (source.clone(), index);
        self.remove_part(&key);
        self.remove_parts(|other, received| *other == source && received.parts != parts);
        for report in &reports {
            let stats = self.upstreams.entry(report.upstream.clone()).or_default();
            stats.peers.by(&source).add(&report.load);
        }
        if source == Source::Fleet {
            for stats in self.upstreams.values_mut() {
                stats.peers.average_prefill();
            }
        }
        let at = now;
        self.reports
            .insert(key, ReceivedPart { at, parts, reports });
    }

    fn remove_part(&mut self, key: &(Source, usize)) {
        let Some(received) = self.reports.remove(key) else {
            return;
        };
        for report in &received.reports {
            if let Some(stats) = self.upstreams.get_mut(&report.upstream) {
                stats.peers.by(&key.0).subtract(&report.load);
            }
        }
    }

    /// Discards outdated state: expired reports of peers, upstreams for which `keep`
    /// returns false, and cached prompt parts older than `cache_age`.
    pub fn prune(
        &mut self,
        keep: impl Fn(&UpstreamKey) -> bool,
        cache_age: Duration,
        now: Instant,
    ) {
        self.expire_reports(now);
        // The sums of reports must last as long as the reports that they are made of.
        self.upstreams.retain(|upstream, stats| {
            stats.local.requests > 0 || !stats.peers.is_empty() || keep(upstream)
        });
        self.cache.prune(&keep, cache_age, now);
        self.backoffs.retain(|_, until| now < *until);
    }

    /// Returns the load at an upstream, caused by this entry and by all peers with a
    /// recent report.
    pub fn load(&self, upstream: &UpstreamKey, now: Instant) -> Load {
        let Some(stats) = self.upstreams.get(upstream) else {
            return Load::default();
        };
        let mut load = stats.local;
        if self.has_fleet_report(now) {
            load.add(&stats.peers.expected_fleet());
        } else {
            load.add(&stats.peers.reported_parts());
        }
        let observed = stats
            .observed
            .filter(|observed| now.saturating_duration_since(observed.at) < OBSERVED_EXPIRY);
        if let Some(observed) = observed {
            load.requests = load.requests.max(observed.requests);
        }
        load
    }

    /// Returns the fraction of recent requests to an upstream that failed.
    pub fn failure_rate(&self, upstream: &UpstreamKey) -> f64 {
        self.upstreams
            .get(upstream)
            .map_or(0.0, |stats| stats.failure_rate)
    }

    /// Returns the ratio of measured to expected latency of an upstream; 1 if
    /// unknown.
    pub fn upstream_slowdown(&self, upstream: &UpstreamKey) -> f64 {
        self.upstreams
            .get(upstream)
            .map_or(1.0, |stats| stats.slowdown)
    }

    /// Returns whether an upstream is excluded after failures.
    pub fn in_backoff(&self, upstream: &UpstreamKey, now: Instant) -> bool {
        self.backoffs
            .get(upstream)
            .is_some_and(|until| now < *until)
    }

    fn has_fleet_report(&self, now: Instant) -> bool {
        self.reports
            .get(&(Source::Fleet, 0))
            .is_some_and(|received| !received.is_expired(FLEET_EXPIRY, now))
    }

    fn expire_reports(&mut self, now: Instant) {
        self.remove_parts(|_, received| received.is_expired(PEER_EXPIRY, now));
    }

    fn remove_parts(&mut self, is_removed: impl Fn(&Source, &ReceivedPart) -> bool) {
        let removed: Vec<(Source, usize)> = self
            .reports
            .iter()
            .filter(|((source, _), received)| is_removed(source, received))
            .map(|(key, _)| key.clone())
            .collect();
        for key in removed {
            self.remove_part(&key);
        }
    }

    /// Returns the load of this entry plus that of its peers as `peer_load` returns it,
    /// without the load that `except` reports.
    fn sums(
        &self,
        except: Option<&Name>,
        peer_load: impl Fn(&PeerLoad) -> Load,
    ) -> Vec<LoadReport> {
        let excepted: HashMap<&UpstreamKey, &Load> = self
            .reports
            .iter()
            .filter(
                |((source, _), _)| matches!(source, Source::Entry(name) if Some(name) == except),
            )
            .flat_map(|(_, received)| &received.reports)
            .map(|report| (&report.upstream, &report.load))
            .collect();
        self.upstreams
            .iter()
            .map(|(upstream, stats)| {
                let mut load = stats.local;
                load.add(&peer_load(&stats.peers));
                if let Some(excepted) = excepted.get(upstream) {
                    load.subtract(excepted);
                }
                LoadReport {
                    upstream: upstream.clone(),
                    load,
                }
            })
            .filter(|report| report.load.requests > 0)
            .collect()
    }
}
