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
    /// Name of this process, the same as its VM's.
    pub name: Name,
    /// Failure domain of this VM.
    pub domain: Name,
    /// Region of the failure domain.
    pub region: Name,
    /// Address for callers, operators and metrics.
    pub listen: SocketAddr,
    /// Address for the other entries.
    pub peer_listen: SocketAddr,
    /// Secret shared by the entries.
    pub peer_key: String,
    /// Secret of the operators.
    pub operator_key: String,
    /// Addresses of entries to ask when the platform can't be reached.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Platform addresses.
    pub platform: PlatformSettings,
    /// Periods and timeouts.
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

/// Where the platform is.
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

/// Periods and timeouts.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TimingSettings {
    /// Period of the exchange with a peer of the same domain.
    pub exchange_ms: u64,
    /// Every how many exchanges one goes to another domain.
    pub outside_every: u32,
    /// Silence after which a peer counts as dead.
    pub peer_dead_ms: u64,
    /// Period of reading the VM list.
    pub vm_poll_ms: u64,
    /// Period of reading an upstream's load.
    pub load_poll_ms: u64,
    /// Longest wait of one watch call.
    pub watch_ms: u64,
    /// Longest time claims wait to be written together.
    pub claim_batch_ms: u64,
    /// How long claims are kept.
    pub claim_keep_ms: u64,
    /// Timeout of connecting to an upstream.
    pub connect_ms: u64,
    /// Longest silence of an upstream within an answer.
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

/// How an upstream is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoutingPolicy {
    /// Lowest expected cost among sampled candidates.
    #[default]
    Cost,
    /// Each candidate in turn.
    RoundRobin,
    /// Lowest reported load.
    LeastLoaded,
}

/// Choice of upstreams.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoutingSettings {
    /// Policy in force.
    pub policy: RoutingPolicy,
    /// Candidates whose scores are compared.
    pub sample: usize,
    /// Cost of leaving the failure domain, in milliseconds of queueing.
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

/// What happens to streams of a reclaimed upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EvacuationPolicy {
    /// Finish, move the KV cache or resume, whichever costs least.
    #[default]
    Cost,
    /// Resume every stream elsewhere, recomputing it.
    ResumeAll,
    /// Leave streams until the upstream is gone.
    Wait,
}

/// In-flight requests.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StreamSettings {
    /// Tokens that may be generated ahead of the caller's reading.
    pub unread_tokens: usize,
    /// How long a paused stream keeps its upstream.
    pub pause_ms: u64,
    /// How long a finished or abandoned record can be fetched.
    pub keep_ms: u64,
    /// Longest time until an accepted request is given up.
    pub deadline_ms: u64,
    /// Records held at once.
    pub records: usize,
    /// Largest request body.
    pub body_bytes: usize,
    /// Evacuation policy.
    pub evacuation: EvacuationPolicy,
    /// Whether records are copied to a peer as they grow.
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

/// Planned stops.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DrainSettings {
    /// Time the balancer needs to notice that the node is not ready.
    pub lag_ms: u64,
    /// Time for streams to finish before they are handed over.
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

/// How VM classes and zones are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementPolicy {
    /// Lowest cost that leaves the target reachable after a domain's loss.
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
    /// Policy in force.
    pub policy: PlacementPolicy,
    /// Lifetime of the domain's lease.
    pub lease_ms: u64,
    /// Period of reconciling.
    pub period_ms: u64,
    /// Weight of recomputed tokens against cost, from 0 to 1.
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
    /// Reads and checks a settings file.
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
            "another address than listen",
        );
        let separate = self.peer_key != self.operator_key;
        checks.require(
            separate,
            "operator_key",
            "(hidden)",
            "another secret than peer_key",
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
    /// How long claims are kept.
    pub fn claim_retention(&self) -> Duration {
        Duration::from_millis(self.claim_keep_ms)
    }
}
