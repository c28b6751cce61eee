//! Settings of a gateway, in TOML.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use lycheehaven_types::Name;
use serde::Deserialize;

/// Settings of one process.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Settings {
    /// Name of this entry, unique among all entries.
    pub name: Name,
    /// Failure domain of this entry.
    pub domain: Name,
    /// All failure domains.
    pub domains: Vec<Name>,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address that tells whether this entry takes callers.
    pub ready_listen: SocketAddr,
    /// UDP address for peers.
    pub peer_listen: SocketAddr,
    /// Address that serves metrics.
    pub metrics_listen: SocketAddr,
    /// The platform's object store.
    pub store: StoreSettings,
    /// The cloud.
    pub cloud: Option<CloudSettings>,
    /// What the deployment promises.
    #[serde(default)]
    pub bounds: Bounds,
    /// Whether the whole system starts for the first time.
    #[serde(default)]
    pub first_start: bool,
    /// Descriptors that the process may open.
    #[serde(default = "default_descriptors")]
    pub descriptors: usize,
    /// Least severity of log lines: error, warn, info, debug.
    #[serde(default = "default_level")]
    pub log_level: String,
}

/// The platform's object store.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct StoreSettings {
    /// Address.
    pub address: SocketAddr,
}

/// The cloud.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct CloudSettings {
    /// Address.
    pub address: SocketAddr,
    /// Duties that the lease's holder has there.
    #[serde(default)]
    pub duties: Vec<Duty>,
}

/// A duty of the lease's holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub enum Duty {
    /// Reporting usage.
    #[serde(rename = "usage")]
    Usage,
    /// Ordering engines.
    #[serde(rename = "scaling")]
    Scaling,
    /// A duty of another kind of deployment.
    #[serde(other)]
    Other,
}

/// Bounds of the deployment, in milliseconds where nothing else is said.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Whether a key that was taken away must stop working in time on entries
    /// that the store does not reach.
    pub strict_revoke: bool,
    /// Time after which a key that was taken away must not work.
    pub revoke_ms: u64,
    /// Time within which a new configuration must be in force.
    pub config_ms: u64,
    /// Repeats allowed for each request.
    pub budget_ratio: f64,
    /// Seconds over which repeats are counted.
    pub budget_window_s: f64,
    /// Repeats allowed beyond the ratio.
    pub budget_slack: f64,
    /// Seconds over which allotments are counted.
    pub quota_window_s: f64,
    /// Part by which an allotment may be exceeded.
    pub quota_over: f64,
    /// Units by which an allotment may be exceeded besides.
    pub quota_slack: f64,
    /// Length of a lease.
    pub lease_ms: u64,
    /// Seconds of a usage window.
    pub window_s: f64,
    /// Seconds after its window within which usage is due.
    pub usage_late_s: f64,
    /// Time for which a leaving upstream still serves.
    pub drain_ms: u64,
    /// Seconds that a process has to stop.
    pub grace_s: f64,
    /// Seconds after its last use for which a prompt part is worth finding.
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
    /// Least age of the configuration at which keys are no longer accepted,
    /// or `None` if they always are. A watch can miss changes for a second
    /// while the store drops its history, so a proof may be that much older
    /// than it looks.
    pub(crate) fn stale_after(&self) -> Option<Duration> {
        let margin = 1200.min(self.revoke_ms / 2);
        self.strict_revoke
            .then(|| Duration::from_millis(self.revoke_ms - margin))
    }
}

fn default_descriptors() -> usize {
    4096
}

fn default_level() -> String {
    "info".into()
}

/// Why settings can't be used.
#[derive(Debug)]
pub enum SettingsError {
    /// The file can't be read.
    Unreadable(String, std::io::Error),
    /// The file holds no valid settings.
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
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// What is wrong with the file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|cause| SettingsError::Unreadable(shown.clone(), cause))?;
        Self::parse(&text).map_err(|cause| SettingsError::Invalid(shown, cause))
    }

    /// Decodes and checks settings.
    ///
    /// # Errors
    /// What is wrong with the text.
    pub fn parse(text: &str) -> Result<Self, String> {
        let settings: Self = toml::from_str(text).map_err(|cause| cause.to_string())?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), String> {
        let bounds = &self.bounds;
        let positive = [
            ("budget_window_s", bounds.budget_window_s),
            ("quota_window_s", bounds.quota_window_s),
            ("window_s", bounds.window_s),
            ("grace_s", bounds.grace_s),
        ];
        for (name, value) in positive {
            if !value.is_finite() || value <= 0.0 {
                return Err(format!("bounds.{name} must be above 0, not {value}"));
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
            return Err(format!("log_level {:?} is not known", self.log_level));
        }
        Ok(())
    }
}
