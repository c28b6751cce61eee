//! Settings of one `lycheehaven` process.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use lycheehaven_types::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::check::Checks;
use crate::check::SettingsError;

/// Settings of one process. Durations are in milliseconds, sizes in bytes.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this process and of its VM.
    pub name: Name,
    /// Failure domain of this VM.
    pub domain: Name,
    /// Region of the failure domain.
    pub region: Name,
    /// Listen address for callers, operators and metrics.
    pub listen: SocketAddr,
    /// Listen address for the other entries.
    pub peer_listen: SocketAddr,
    /// Secret shared by the entries.
    pub peer_key: String,
    /// Secret that authenticates operators.
    pub operator_key: String,
    /// Addresses of entries to query when the platform is unreachable.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Platform addresses.
    pub platform: PlatformSettings,
    /// Intervals and timeouts.
    #[serde(default)]
    pub timing: TimingSettings,
    /// Choice of upstreams.
    #[serde(default)]
    pub routing: RoutingSettings,
    /// In-flight requests.
    #[serde(default)]
    pub streams: StreamSettings,
    /// Planned stops.
    #[serde(default)]
    pub drain: DrainSettings,
    /// Placement of upstreams.
    #[serde(default)]
    pub placement: PlacementSettings,
}

/// Addresses of the platform and the timeout of its calls.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the object API.
    pub objects: SocketAddr,
    /// Address of the cloud API with the VM list and reclaim notices.
    pub cloud: SocketAddr,
    /// Timeout of one call.
    #[serde(default = "default_platform_timeout")]
    pub timeout_ms: u64,
}

fn default_platform_timeout() -> u64 {
    1000
}

/// Intervals and timeouts.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TimingSettings {
    /// Interval between exchanges with peers, most of which are in the same
    /// failure domain.
    pub exchange_ms: u64,
    /// Every this many exchanges, one goes to a peer in another failure domain.
    pub outside_every: u32,
    /// Time without a new heartbeat after which a peer of the same failure domain
    /// is considered dead. The time for other peers is longer.
    pub peer_dead_ms: u64,
    /// Interval between reads of the VM list.
    pub vm_poll_ms: u64,
    /// Interval between reads of an upstream's load report.
    pub load_poll_ms: u64,
    /// Longest duration of one watch call.
    pub watch_ms: u64,
    /// Longest delay of a claim until it is written, together with others.
    pub claim_batch_ms: u64,
    /// Retention period of claims.
    pub claim_keep_ms: u64,
    /// Timeout for connecting to an upstream.
    pub connect_ms: u64,
    /// Time without data from an upstream after which another one is looked for. The run is
    /// left only once one is in hand.
    pub silence_ms: u64,
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            exchange_ms: 1000,
            outside_every: 3,
            peer_dead_ms: 8000,
            vm_poll_ms: 2000,
            load_poll_ms: 1000,
            watch_ms: 25_000,
            claim_batch_ms: 50,
            claim_keep_ms: 900_000,
            connect_ms: 500,
            silence_ms: 10_000,
        }
    }
}

/// Policy by which an upstream is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoutingPolicy {
    /// The lowest expected cost among sampled candidates.
    #[default]
    Cost,
    /// Each candidate in turn.
    RoundRobin,
    /// The lowest reported load.
    LeastLoaded,
}

/// Choice of upstreams.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoutingSettings {
    /// Routing policy.
    pub policy: RoutingPolicy,
    /// Number of candidates whose scores are compared.
    pub sample: usize,
    /// Cost of leaving the failure domain, equivalent to this many milliseconds
    /// of queueing.
    pub hop_ms: u64,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            policy: RoutingPolicy::Cost,
            sample: 4,
            hop_ms: 20,
        }
    }
}

/// Policy for the streams of an upstream that is being reclaimed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EvacuationPolicy {
    /// Let the stream finish, move its KV cache or resume it elsewhere, whichever
    /// costs least.
    #[default]
    Cost,
    /// Resume every stream elsewhere, which recomputes its KV cache.
    ResumeAll,
    /// Leave streams where they are until the upstream is gone.
    Wait,
}

/// Limits and policies for in-flight requests.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StreamSettings {
    /// Number of tokens that may be generated ahead of what the caller has read.
    pub unread_tokens: usize,
    /// How long a paused stream stays on its upstream.
    pub pause_ms: u64,
    /// How long a finished or abandoned record can be fetched.
    pub keep_ms: u64,
    /// Time from the acceptance of a request to its deadline.
    pub deadline_ms: u64,
    /// Maximum number of records held.
    pub records: usize,
    /// Largest request body.
    pub body_bytes: usize,
    /// Evacuation policy.
    pub evacuation: EvacuationPolicy,
    /// Whether records are replicated to a peer as they grow.
    pub replicate: bool,
}

impl Default for StreamSettings {
    fn default() -> Self {
        Self {
            unread_tokens: 256,
            pause_ms: 2000,
            keep_ms: 60_000,
            deadline_ms: 600_000,
            records: 4096,
            body_bytes: 1 << 20,
            evacuation: EvacuationPolicy::Cost,
            replicate: true,
        }
    }
}

/// Draining before a planned stop.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DrainSettings {
    /// Time that the load balancer needs to notice that the node is not ready.
    pub lag_ms: u64,
    /// Time that streams have to finish before they are handed over.
    pub finish_ms: u64,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            lag_ms: 2000,
            finish_ms: 10_000,
        }
    }
}

/// Policy by which VM classes and zones are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementPolicy {
    /// The lowest cost at which the target can still be met after the loss of a
    /// failure domain.
    #[default]
    Mix,
    /// On-demand VMs only.
    OnDemand,
    /// The cheapest VMs, whatever their reclaim rate.
    Cheapest,
}

/// Placement of upstreams.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementSettings {
    /// Whether this node takes part in placement.
    pub enabled: bool,
    /// Placement policy.
    pub policy: PlacementPolicy,
    /// Duration of the failure domain's lease.
    pub lease_ms: u64,
    /// Interval between reconciliations.
    pub period_ms: u64,
    /// Weight of recomputed tokens relative to cost, from 0 to 1.
    pub recompute_weight: f64,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            enabled: false,
            policy: PlacementPolicy::Mix,
            lease_ms: 10_000,
            period_ms: 1000,
            recompute_weight: 0.5,
        }
    }
}

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// Reports all invalid values together.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|cause| SettingsError::Unreadable(path.into(), cause))?;
        let settings: Self = toml::from_str(&text)
            .map_err(|cause| SettingsError::Malformed(path.into(), Box::new(cause)))?;
        let checks = settings.check();
        if checks.problems.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsError::Invalid(path.into(), checks.problems))
        }
    }

    fn check(&self) -> Checks {
        let mut checks = Checks::default();
        checks.name("name", &self.name);
        checks.name("domain", &self.domain);
        checks.name("region", &self.region);
        checks.secret("peer_key", &self.peer_key);
        checks.secret("operator_key", &self.operator_key);
        let distinct = self.listen != self.peer_listen || self.listen.port() == 0;
        checks.require(
            distinct,
            "peer_listen",
            self.peer_listen,
            "an address other than listen",
        );
        let separate = self.peer_key != self.operator_key;
        checks.require(
            separate,
            "operator_key",
            "(hidden)",
            "a secret other than peer_key",
        );
        checks.range("platform.timeout_ms", self.platform.timeout_ms, 10..=30_000);
        self.check_timing(&mut checks);
        self.check_streams(&mut checks);
        checks.range("routing.sample", self.routing.sample, 1..=64);
        checks.range("routing.hop_ms", self.routing.hop_ms, 0..=10_000);
        checks.range("drain.lag_ms", self.drain.lag_ms, 0..=MINUTE_MS);
        checks.range("drain.finish_ms", self.drain.finish_ms, 0..=HOUR_MS);
        let placement = &self.placement;
        checks.range("placement.lease_ms", placement.lease_ms, 500..=MINUTE_MS);
        checks.range("placement.period_ms", placement.period_ms, 50..=MINUTE_MS);
        checks.range(
            "placement.recompute_weight",
            placement.recompute_weight,
            0.0..=1.0,
        );
        let renewable = placement.period_ms * 3 <= placement.lease_ms;
        let accepted = "at most a third of placement.lease_ms";
        checks.require(
            renewable,
            "placement.period_ms",
            placement.period_ms,
            accepted,
        );
        checks
    }

    fn check_timing(&self, checks: &mut Checks) {
        let timing = &self.timing;
        checks.range("timing.exchange_ms", timing.exchange_ms, 10..=MINUTE_MS);
        checks.range("timing.outside_every", timing.outside_every, 1..=100);
        checks.range("timing.peer_dead_ms", timing.peer_dead_ms, 50..=HOUR_MS);
        checks.range("timing.vm_poll_ms", timing.vm_poll_ms, 10..=MINUTE_MS);
        checks.range("timing.load_poll_ms", timing.load_poll_ms, 10..=MINUTE_MS);
        checks.range("timing.watch_ms", timing.watch_ms, 100..=MINUTE_MS);
        checks.range("timing.claim_batch_ms", timing.claim_batch_ms, 0..=1000);
        checks.range(
            "timing.claim_keep_ms",
            timing.claim_keep_ms,
            10_000..=24 * HOUR_MS,
        );
        checks.range("timing.connect_ms", timing.connect_ms, 10..=MINUTE_MS);
        checks.range("timing.silence_ms", timing.silence_ms, 50..=HOUR_MS);
        let detectable = timing.peer_dead_ms >= timing.exchange_ms * 3;
        let accepted = "at least three times timing.exchange_ms";
        checks.require(
            detectable,
            "timing.peer_dead_ms",
            timing.peer_dead_ms,
            accepted,
        );
    }

    fn check_streams(&self, checks: &mut Checks) {
        let streams = &self.streams;
        checks.range("streams.unread_tokens", streams.unread_tokens, 1..=1 << 20);
        checks.range("streams.pause_ms", streams.pause_ms, 0..=HOUR_MS);
        checks.range("streams.keep_ms", streams.keep_ms, 100..=HOUR_MS);
        checks.range(
            "streams.deadline_ms",
            streams.deadline_ms,
            1000..=24 * HOUR_MS,
        );
        checks.range("streams.records", streams.records, 1..=1 << 20);
        checks.range("streams.body_bytes", streams.body_bytes, 1024..=64 << 20);
    }
}

impl TimingSettings {
    /// Returns the retention period of claims.
    pub fn claim_retention(&self) -> Duration {
        Duration::from_millis(self.claim_keep_ms)
    }
}
