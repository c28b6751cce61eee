//! Settings of a gateway, in TOML.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use lycheehaven_fleet::Capacity;
use lycheehaven_fleet::MESH_LIMIT;
use lycheehaven_types::Name;
use lycheehaven_types::WireDuration;
use serde::Deserialize;

/// Settings of one process.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Settings {
    /// Name of this entry, unique among all entries of the deployment.
    pub name: Name,
    /// Failure domain of this entry.
    pub domain: Name,
    /// All failure domains.
    pub domains: Vec<Name>,
    /// Address that serves callers.
    pub listen: SocketAddr,
    /// Address that serves the readiness probe.
    pub ready_listen: SocketAddr,
    /// UDP address for messages from peers.
    pub peer_listen: SocketAddr,
    /// Address that serves metrics.
    pub metrics_listen: SocketAddr,
    /// The platform's object store.
    pub store: StoreSettings,
    /// The cloud that runs the engines. Without it, this entry performs no duties.
    pub cloud: Option<CloudSettings>,
    /// Bounds that the deployment guarantees.
    #[serde(default)]
    pub bounds: Bounds,
    /// Whether the whole system starts for the first time.
    #[serde(default)]
    pub first_start: bool,
    /// Resources of this entry's VM. In a large fleet, the largest entries of each
    /// failure domain sum up the counts of the others.
    #[serde(default)]
    pub capacity: CapacitySettings,
    /// Largest fleet whose entries send their counts to one another directly. In a
    /// larger one, some entries of each failure domain sum them up.
    #[serde(default = "default_mesh_limit")]
    pub mesh_limit: usize,
    /// File descriptors that the process may open.
    #[serde(default = "default_descriptors")]
    pub descriptors: usize,
    /// Minimum severity of log lines: error, warn, info or debug.
    #[serde(default = "default_level")]
    pub log_level: String,
}

/// Resources of a VM.
#[derive(Debug, Clone, PartialEq, Default, Deserialize)]
#[serde(default)]
pub struct CapacitySettings {
    /// Share of the processor, in cores.
    pub cpu_share: f64,
    /// Bandwidth of the network link, in Mbit/s.
    pub link_mbps: f64,
    /// Memory, in MB.
    pub memory_mb: f64,
}

impl CapacitySettings {
    pub(crate) fn capacity(&self) -> Capacity {
        Capacity {
            cpu_millis: (self.cpu_share * 1000.0) as u32,
            link_mbps: self.link_mbps as u32,
            memory_mb: self.memory_mb as u32,
        }
    }
}

/// Settings for the platform's object store.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct StoreSettings {
    /// Address of the store's HTTP API.
    pub address: SocketAddr,
}

/// Settings for the cloud.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct CloudSettings {
    /// Address of the cloud's HTTP API.
    pub address: SocketAddr,
    /// Duties that the holder of the lease performs.
    #[serde(default)]
    pub duties: Vec<Duty>,
}

/// A duty of the entry that holds the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub enum Duty {
    /// Reporting usage.
    #[serde(rename = "usage")]
    Usage,
    /// Scaling the number of engines.
    #[serde(rename = "scaling")]
    Scaling,
    /// A duty that this version does not know; ignored.
    #[serde(other)]
    Other,
}

/// Bounds that the deployment guarantees, in milliseconds unless noted otherwise.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Whether a revoked key must stop working in time even on entries that can't
    /// reach the store.
    pub strict_revoke: bool,
    /// Time after which a revoked key must not work.
    pub revoke_ms: u64,
    /// Time within which a new configuration must be in force.
    pub config_ms: u64,
    /// Retries allowed per request.
    pub budget_ratio: f64,
    /// Window over which retries are counted, in seconds.
    pub budget_window_s: f64,
    /// Retries allowed in a window beyond the ratio.
    pub budget_slack: f64,
    /// Window over which quotas are counted, in seconds.
    pub quota_window_s: f64,
    /// Fraction by which a quota may be exceeded.
    pub quota_over: f64,
    /// Units by which a quota of tokens may be exceeded in addition.
    pub quota_slack: f64,
    /// Time within which two holders of a lease must not alternate.
    pub lease_ms: u64,
    /// Length of a usage window, in seconds.
    pub window_s: f64,
    /// Time after the end of its window within which usage must be reported, in
    /// seconds.
    pub usage_late_s: f64,
    /// Time for which a leaving upstream still serves requests.
    pub drain_ms: u64,
    /// Time that a process has to stop, in seconds.
    pub grace_s: f64,
    /// Time after its last use within which a cached prompt part is likely to be
    /// used again, in seconds.
    pub again_s: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            strict_revoke: true,
            revoke_ms: 5000,
            config_ms: 2000,
            budget_ratio: 0.2,
            budget_window_s: 10.0,
            budget_slack: 50.0,
            quota_window_s: 8.0,
            quota_over: 0.1,
            quota_slack: 0.0,
            lease_ms: 3000,
            window_s: 5.0,
            usage_late_s: 10.0,
            drain_ms: 2000,
            grace_s: 8.0,
            again_s: 10.0,
        }
    }
}

impl Bounds {
    /// Returns the age of the configuration from which keys are refused, or `None`
    /// if they never are. A watch can miss changes for a second while the store
    /// discards its history, so the configuration may be that much older than its
    /// last confirmation indicates. The margin covers this.
    pub(crate) fn stale_after(&self) -> Option<Duration> {
        let margin = 1200.min(self.revoke_ms / 2);
        self.strict_revoke
            .then(|| Duration::from_millis(self.revoke_ms - margin))
    }

    /// Shortens durations that are too long to compute with.
    fn limit(&mut self) {
        for seconds in [
            &mut self.budget_window_s,
            &mut self.quota_window_s,
            &mut self.window_s,
            &mut self.usage_late_s,
            &mut self.grace_s,
            &mut self.again_s,
        ] {
            *seconds = seconds.min(WireDuration::MAX.get().as_secs_f64());
        }
        for millis in [
            &mut self.revoke_ms,
            &mut self.config_ms,
            &mut self.lease_ms,
            &mut self.drain_ms,
        ] {
            let longest = WireDuration::MAX.get().as_millis() as u64;
            *millis = (*millis).min(longest);
        }
    }
}

fn default_mesh_limit() -> usize {
    MESH_LIMIT
}

fn default_descriptors() -> usize {
    4096
}

fn default_level() -> String {
    "info".into()
}

/// Why a settings file can't be used.
#[derive(Debug)]
pub enum SettingsError {
    /// The file can't be read: its path and the cause.
    Unreadable(String, std::io::Error),
    /// The file contains invalid settings: its path and the cause.
    Invalid(String, String),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(path, cause) => write!(f, "{path}: can't be read: {cause}"),
            Self::Invalid(path, cause) => write!(f, "{path}: {cause}"),
        }
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// Returns an error if the file can't be read or contains invalid settings.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let path_text = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|cause| SettingsError::Unreadable(path_text.clone(), cause))?;
        Self::parse(&text).map_err(|cause| SettingsError::Invalid(path_text, cause))
    }

    /// Decodes and validates settings.
    ///
    /// # Errors
    /// Returns a description of the first invalid setting.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut settings: Self = toml::from_str(text).map_err(|cause| cause.to_string())?;
        settings.validate()?;
        settings.bounds.limit();
        Ok(settings)
    }

    fn validate(&self) -> Result<(), String> {
        let bounds = &self.bounds;
        let positive = [
            ("budget_window_s", bounds.budget_window_s),
            ("quota_window_s", bounds.quota_window_s),
            ("window_s", bounds.window_s),
            ("grace_s", bounds.grace_s),
        ];
        for (name, value) in positive {
            if !value.is_finite() || value <= 0.0 {
                return Err(format!("bounds.{name} must be greater than 0, not {value}"));
            }
        }
        let not_negative = [
            ("budget_ratio", bounds.budget_ratio),
            ("budget_slack", bounds.budget_slack),
            ("quota_over", bounds.quota_over),
            ("quota_slack", bounds.quota_slack),
            ("usage_late_s", bounds.usage_late_s),
            ("again_s", bounds.again_s),
        ];
        for (name, value) in not_negative {
            if !value.is_finite() || value < 0.0 {
                return Err(format!("bounds.{name} must be at least 0, not {value}"));
            }
        }
        if bounds.lease_ms < 500 {
            return Err(format!(
                "bounds.lease_ms must be at least 500, not {}",
                bounds.lease_ms
            ));
        }
        if self.name.is_empty() || self.domain.is_empty() {
            return Err("name and domain must not be empty".into());
        }
        if self.log_level.parse::<log::LevelFilter>().is_err() {
            return Err(format!("unknown log_level {:?}", self.log_level));
        }
        Ok(())
    }
}
