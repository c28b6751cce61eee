//! The declared configuration.

use std::time::Duration;

use lycheehaven_types::HashMap;
use lycheehaven_types::Name;

use crate::route::Route;
use crate::route::Service;

/// Bounds on what a client may send and on how long it may stay idle.
#[derive(Debug, Clone, Copy)]
pub struct ClientLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a request to arrive.
    pub header_timeout: Duration,
    /// Time that a connection may stay idle.
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

/// A customer with keys and an allotment.
#[derive(Debug, Clone)]
pub struct Workspace {
    /// Name, told to upstreams.
    pub name: Name,
    /// Keys of its callers.
    pub keys: Vec<Name>,
    /// Rank that replaces the route's, if set.
    pub priority: Option<u8>,
    /// Units a second, over all entries; 0 for no limit.
    pub rate: f64,
    /// Units beyond the rate that may be used at once.
    pub burst: f64,
    /// Whether the unit is a token instead of a request.
    pub counts_tokens: bool,
    /// Tokens that a request without a count stands for.
    pub default_tokens: f64,
}

/// Whether a request is let in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Access {
    /// No key is needed.
    Public,
    /// The key belongs to the workspace with this index.
    Workspace(usize),
    /// The key is missing or unknown.
    Denied,
}

/// One version of the declared configuration, indexed for requests.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    /// Version, growing from each configuration to the next.
    pub version: u64,
    /// Services by name.
    pub services: HashMap<Name, Service>,
    /// Workspaces.
    pub workspaces: Vec<Workspace>,
    /// Bounds on clients.
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

    /// The route with the longest prefix of `path` at `host`, which may carry
    /// a port and capitals.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&std::rc::Rc<Route>> {
        let bare = host.rsplit_once(':').map_or(host, |(name, port)| {
            if port.bytes().all(|byte| byte.is_ascii_digit()) {
                name
            } else {
                host
            }
        });
        let list = self.routes.get(bare.to_ascii_lowercase().as_str())?;
        list.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Whether `key` opens `route`.
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
