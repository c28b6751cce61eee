//! One version of the declared configuration.

use std::time::Duration;

use lycheehaven_types::HashMap;
use lycheehaven_types::Name;

use crate::route::Route;
use crate::route::Service;

/// Limits on what clients send and on how long they stay idle.
#[derive(Debug, Clone, Copy)]
pub struct ClientLimits {
    /// Maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request.
    pub header_timeout: Duration,
    /// Timeout of an idle connection.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A workspace with its keys and its quota.
#[derive(Debug, Clone)]
pub struct Workspace {
    /// Name, sent to upstreams.
    pub name: Name,
    /// API keys of its callers.
    pub keys: Vec<Name>,
    /// Priority that overrides the route's, if set; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Quota over all entries, in units per second; 0 for no limit.
    pub rate: f64,
    /// Units beyond the rate that may be spent at once.
    pub burst: f64,
    /// Whether the quota counts tokens instead of requests.
    pub counts_tokens: bool,
    /// Tokens charged for a request that states no token count.
    pub default_tokens: f64,
}

/// Result of an access check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Access {
    /// The route requires no key.
    Public,
    /// The key belongs to the workspace with this index in
    /// [`Catalog::workspaces`].
    Workspace(usize),
    /// The key is missing or unknown.
    Denied,
}

/// One version of the declared configuration, indexed for requests.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    /// Version, which increases with each configuration.
    pub version: u64,
    /// Services by name.
    pub services: HashMap<Name, Service>,
    /// All workspaces.
    pub workspaces: Vec<Workspace>,
    /// Limits on clients.
    pub limits: ClientLimits,
    routes: HashMap<Name, Vec<std::rc::Rc<Route>>>,
    keys: HashMap<Name, usize>,
}

impl Catalog {
    /// Indexes a configuration.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        workspaces: Vec<Workspace>,
        limits: ClientLimits,
    ) -> Self {
        let mut by_host: HashMap<Name, Vec<std::rc::Rc<Route>>> = HashMap::default();
        for route in routes {
            let list = by_host.entry(route.host.clone()).or_default();
            list.push(std::rc::Rc::new(route));
        }
        for list in by_host.values_mut() {
            list.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let keys = workspaces
            .iter()
            .enumerate()
            .flat_map(|(index, workspace)| {
                workspace.keys.iter().map(move |key| (key.clone(), index))
            })
            .collect();
        let services = services
            .into_iter()
            .map(|service| (service.name.clone(), service))
            .collect();
        Self {
            version,
            services,
            workspaces,
            limits,
            routes: by_host,
            keys,
        }
    }

    /// Returns the route of `host` with the longest prefix of `path`. A port in
    /// `host` and its case are ignored.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&std::rc::Rc<Route>> {
        let host_name = host.rsplit_once(':').map_or(host, |(name, port)| {
            if port.bytes().all(|byte| byte.is_ascii_digit()) {
                name
            } else {
                host
            }
        });
        let list = self.routes.get(host_name.to_ascii_lowercase().as_str())?;
        list.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the services, each once, of routes whose streams callers may take up again.
    pub fn resumable_services(&self) -> Vec<Name> {
        let routes = self.routes.values().flatten();
        let resumable = routes.filter(|route| route.may_be_taken_up());
        let mut services: Vec<Name> = resumable
            .flat_map(|route| route.splits.iter().map(|split| split.service.clone()))
            .collect();
        services.sort_unstable();
        services.dedup();
        services
    }

    /// Checks whether `key` grants access to `route`.
    pub fn access(&self, route: &Route, key: Option<&str>) -> Access {
        if route.public || self.workspaces.is_empty() {
            return Access::Public;
        }
        match key.and_then(|key| self.keys.get(key)) {
            Some(index) => Access::Workspace(*index),
            None => Access::Denied,
        }
    }
}
