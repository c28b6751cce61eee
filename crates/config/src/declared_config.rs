//! The configuration that operators declare for the whole system.

use std::collections::BTreeMap;

use lycheehaven_types::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::check::is_name;

/// Largest configuration number. A greater one could not be followed by another.
const MAX_NUMBER: u64 = 1 << 53;

/// The declared configuration with one configuration number.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeclaredConfig {
    /// Configuration number: incremented by each accepted patch, zero before
    /// the first.
    #[serde(default)]
    pub number: u64,
    /// Identifier of the patch that created this number. A writer that lost the
    /// response recognizes its own write by it.
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
    /// Configuration number that the patch created.
    pub number: u64,
    /// Identifier of the patch, chosen by its writer.
    pub writer: String,
    /// Time of acceptance in seconds since the Unix epoch.
    pub time: u64,
    /// The merge patch.
    pub patch: serde_json::Value,
}

/// Kind of the upstreams that serve a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines, which generate tokens.
    Model,
    /// Plain HTTP services.
    Plain,
}

/// A declared service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Kind of its upstreams.
    pub kind: ServiceKind,
    /// Model that its engines run.
    #[serde(default)]
    pub model: String,
    /// Version of the model.
    #[serde(default)]
    pub version: String,
    /// Adapters loaded in addition to the model.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Desired number of upstreams in each failure domain.
    #[serde(default)]
    pub replicas: BTreeMap<Name, u32>,
    /// Rules for calls of a plain service; the first match applies.
    #[serde(default)]
    pub calls: Vec<CallRule>,
    /// Whether its upstreams refuse orders with an outdated fencing token.
    #[serde(default)]
    pub fenced: bool,
}

/// Declares whether matching calls of a plain service are repeatable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallRule {
    /// HTTP method, or `*` for any.
    pub method: String,
    /// Prefix of the path, matched by whole path segments.
    pub path: String,
    /// Whether the call can safely run more than once.
    pub repeatable: bool,
}

/// A declared workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Bearer keys of its callers.
    pub keys: Vec<String>,
    /// Quota of requests per second.
    #[serde(default = "unlimited")]
    pub rate: f64,
    /// Quota of generated tokens per second.
    #[serde(default = "unlimited")]
    pub tokens: f64,
    /// Quota of requests in flight.
    #[serde(default = "unlimited")]
    pub concurrent: f64,
    /// Weight relative to other workspaces under overload.
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
    /// Returns the first problem that makes this configuration invalid, if any.
    pub fn find_problem(&self) -> Option<String> {
        if self.number > MAX_NUMBER {
            return Some(format!("number: accepted is 0 to {MAX_NUMBER}"));
        }
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
        let invalid_name = names
            .filter(|name| !is_name(name))
            .map(|name| format!("{name:?}: a name is 1 to 63 of a-z, 0-9 and -"))
            .next();
        invalid_name
            .or(services)
            .or(workspaces)
            .or_else(|| self.find_shared_key())
    }

    /// Returns the workspace that the bearer key `key` belongs to.
    pub fn workspace_by_key(&self, key: &str) -> Option<(&Name, &Workspace)> {
        self.workspaces
            .iter()
            .find(|(_, workspace)| workspace.keys.iter().any(|other| other == key))
    }

    fn find_shared_key(&self) -> Option<String> {
        let mut keys: Vec<&String> = self
            .workspaces
            .values()
            .flat_map(|workspace| &workspace.keys)
            .collect();
        keys.sort();
        let shared = keys.windows(2).any(|pair| pair[0] == pair[1]);
        shared.then(|| "workspaces: two workspaces have the same key".into())
    }
}

impl Service {
    /// Returns whether the call can safely run more than once. A call that
    /// matches no rule is not repeatable.
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
        let relative = self.calls.iter().find(|rule| !rule.path.starts_with('/'));
        relative.map(|rule| format!("calls.path = {:?}: accepted is an absolute path", rule.path))
    }
}

impl CallRule {
    fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = self.method == "*" || self.method.eq_ignore_ascii_case(method);
        method_matches && self.matches_path(path)
    }

    /// Matches the prefix by whole path segments: `/price` matches `/price/7` but
    /// not `/prices`, which may be another call.
    fn matches_path(&self, path: &str) -> bool {
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
        let invalid = limits
            .iter()
            .find(|(_, value)| !value.is_finite() || *value <= 0.0);
        if let Some((key, value)) = invalid {
            return Some(format!("{key} = {value}: accepted is a number above 0"));
        }
        let bad_length = self.keys.iter().any(|key| key.len() < 8 || key.len() > 256);
        if bad_length || self.keys.is_empty() {
            return Some("keys: accepted is at least one key of 8 to 256 characters".into());
        }
        None
    }
}
