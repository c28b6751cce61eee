//! What operators declare for the whole system.

use std::collections::BTreeMap;

use lycheehaven_types::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::check::is_name;

/// The declared configuration at one number.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeclaredConfig {
    /// Grows by one with each accepted patch; zero before the first.
    #[serde(default)]
    pub number: u64,
    /// Identifies the patch that made this number, so that a writer whose
    /// answer was lost recognizes its own write.
    #[serde(default)]
    pub writer: String,
    /// Services by name.
    #[serde(default)]
    pub services: BTreeMap<Name, Service>,
    /// Workspaces by name.
    #[serde(default)]
    pub workspaces: BTreeMap<Name, Workspace>,
    /// The last accepted patches, oldest first.
    #[serde(default)]
    pub history: Vec<AcceptedPatch>,
}

/// One accepted patch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AcceptedPatch {
    /// Number that the patch made.
    pub number: u64,
    /// Identifier of the patch.
    pub writer: String,
    /// Seconds since the Unix epoch.
    pub time: u64,
    /// The patch itself.
    pub patch: serde_json::Value,
}

/// Whether a service generates tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Served by model engines.
    Model,
    /// Served by plain HTTP services.
    Plain,
}

/// A declared service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// What serves it.
    pub kind: ServiceKind,
    /// Model that its engines run.
    #[serde(default)]
    pub model: String,
    /// Version of the model.
    #[serde(default)]
    pub version: String,
    /// Adapters loaded beside the model.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Upstreams wanted in each failure domain.
    #[serde(default)]
    pub replicas: BTreeMap<Name, u32>,
    /// Rules for calls of a plain service; the first that matches applies.
    #[serde(default)]
    pub calls: Vec<CallRule>,
    /// Whether its upstreams refuse orders with an old fencing number.
    #[serde(default)]
    pub fenced: bool,
}

/// Says whether calls of a plain service may be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallRule {
    /// HTTP method, or `*` for any.
    pub method: String,
    /// Prefix of the path.
    pub path: String,
    /// Whether running the call twice does no harm.
    pub repeatable: bool,
}

/// A declared workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Bearer keys of its callers.
    pub keys: Vec<String>,
    /// Requests per second.
    #[serde(default = "unlimited")]
    pub rate: f64,
    /// Generated tokens per second.
    #[serde(default = "unlimited")]
    pub tokens: f64,
    /// Requests in flight.
    #[serde(default = "unlimited")]
    pub concurrent: f64,
    /// Weight against other workspaces under overload.
    #[serde(default = "default_share")]
    pub share: f64,
}

fn unlimited() -> f64 {
    1e9
}

fn default_share() -> f64 {
    1.0
}

impl DeclaredConfig {
    /// Finds a reason why this configuration can't be put in force.
    pub fn find_problem(&self) -> Option<String> {
        let services = self.services.iter().find_map(|(name, service)| {
            service
                .find_problem()
                .map(|problem| format!("services.{name}.{problem}"))
        });
        let workspaces = self.workspaces.iter().find_map(|(name, workspace)| {
            workspace
                .find_problem()
                .map(|problem| format!("workspaces.{name}.{problem}"))
        });
        let names = self.services.keys().chain(self.workspaces.keys());
        let unnamed = names
            .filter(|name| !is_name(name))
            .map(|name| format!("{name:?}: a name is 1 to 63 of a-z, 0-9 and -"))
            .next();
        unnamed
            .or(services)
            .or(workspaces)
            .or_else(|| self.shared_key())
    }

    /// The workspace that `key` belongs to.
    pub fn workspace_by_key(&self, key: &str) -> Option<(&Name, &Workspace)> {
        self.workspaces
            .iter()
            .find(|(_, workspace)| workspace.keys.iter().any(|k| k == key))
    }

    fn shared_key(&self) -> Option<String> {
        let mut keys: Vec<&String> = self
            .workspaces
            .values()
            .flat_map(|workspace| &workspace.keys)
            .collect();
        keys.sort();
        let repeated = keys.windows(2).any(|pair| pair[0] == pair[1]);
        repeated.then(|| "workspaces: two of them have the same key".into())
    }
}

impl Service {
    /// Whether running this call twice does no harm. Undeclared calls count as
    /// not repeatable.
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        let rule = self.calls.iter().find(|rule| rule.matches(method, path));
        rule.is_some_and(|rule| rule.repeatable)
    }

    fn find_problem(&self) -> Option<String> {
        let too_many = self.replicas.values().any(|count| *count > 10_000);
        if too_many {
            return Some("replicas: accepted is 0 to 10000".into());
        }
        if self.kind == ServiceKind::Model && !self.calls.is_empty() {
            return Some("calls: only plain services have call rules".into());
        }
        let bad_rule = self.calls.iter().find(|rule| !rule.path.starts_with('/'));
        bad_rule.map(|rule| format!("calls.path = {:?}: accepted is a path from /", rule.path))
    }
}

impl CallRule {
    fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = self.method == "*" || self.method.eq_ignore_ascii_case(method);
        method_matches && self.covers(path)
    }

    /// A prefix ends at a path segment: `/price` covers `/price/7` and not
    /// `/prices`, which could be another call.
    fn covers(&self, path: &str) -> bool {
        let prefix = self.path.trim_end_matches('/');
        path.strip_prefix(prefix)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }
}

impl Workspace {
    fn find_problem(&self) -> Option<String> {
        let limits = [
            ("rate", self.rate),
            ("tokens", self.tokens),
            ("concurrent", self.concurrent),
            ("share", self.share),
        ];
        let bad = limits
            .iter()
            .find(|(_, value)| !value.is_finite() || *value <= 0.0);
        if let Some((key, value)) = bad {
            return Some(format!("{key} = {value}: accepted is a number above 0"));
        }
        let weak = self.keys.iter().any(|key| key.len() < 8 || key.len() > 256);
        if weak || self.keys.is_empty() {
            return Some("keys: accepted is at least one key of 8 to 256 characters".into());
        }
        None
    }
}
