//! Routes and the services behind them.

use std::time::Duration;

use lycheehaven_types::HashMap;
use lycheehaven_types::Name;

/// Repetition semantics of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run any number of times.
    Idempotent,
    /// A request may run at most once.
    NonIdempotent,
    /// The answer is a stream of events. A request may run at most once unless
    /// the route is resumable.
    Streaming,
}

/// Share of a route's traffic that a service receives.
#[derive(Debug, Clone)]
pub struct Split {
    /// Service that receives the share.
    pub service: Name,
    /// Weight of the share relative to the route's other splits.
    pub weight: f64,
}

/// A declared route.
#[derive(Debug, Clone)]
pub struct Route {
    /// Name in logs and metrics.
    pub name: Name,
    /// Host that callers request, in lower case and without a port.
    pub host: Name,
    /// Path prefix that begins and ends with a slash.
    pub prefix: Name,
    /// Repetition semantics.
    pub kind: RouteKind,
    /// Timeout of a request; zero for the caller's deadline alone.
    pub timeout: Duration,
    /// Latency within which an answer has its full value.
    pub target_latency: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services behind the route, at least one.
    pub splits: Vec<Split>,
    /// Maximum number of upstreams that receive one request.
    pub max_attempts: u32,
    /// Whether requests require no key.
    pub public: bool,
    /// Whether an interrupted stream may continue at another upstream.
    pub resumable: bool,
}

impl Route {
    /// Returns whether a request may run more than once.
    pub fn repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// Returns whether callers may take a broken stream up again.
    pub fn may_be_taken_up(&self) -> bool {
        self.kind == RouteKind::Streaming && self.resumable
    }

    /// Returns whether the route leads to `service`.
    pub fn has_service(&self, service: &str) -> bool {
        self.splits.iter().any(|split| &*split.service == service)
    }

    /// Picks the service for a request by a random `draw` from 0 to 1.
    pub fn pick_service(&self, draw: f64) -> &Name {
        let total: f64 = self.splits.iter().map(|split| split.weight).sum();
        let mut remaining = draw * total;
        for split in &self.splits {
            remaining -= split.weight;
            if remaining < 0.0 {
                return &split.service;
            }
        }
        &self.splits[self.splits.len() - 1].service
    }
}

/// Capabilities of a service's engines.
#[derive(Debug, Clone)]
pub struct EngineSpec {
    /// Requests that an engine runs concurrently.
    pub slots: u32,
    /// Capacity of the KV cache, in tokens of prompts and answers.
    pub kv_tokens: u64,
    /// Bytes to transfer per token of the KV cache.
    pub token_bytes: u64,
    /// Bandwidth of an engine's link, in megabits per second.
    pub link_mbps: f64,
    /// Whether a running request can move to another engine.
    pub supports_moves: bool,
    /// Tokens per event of a stream.
    pub event_tokens: u32,
}

/// Bounds on the number of a service's engines, and their prices.
#[derive(Debug, Clone)]
pub struct Scaling {
    /// Minimum number of engines per failure domain.
    pub min: u32,
    /// Maximum number of engines per failure domain.
    pub max: u32,
    /// Time from an order until the engine accepts requests.
    pub boot_time: Duration,
    /// Price of a reclaimable engine relative to an on-demand one; `None` if
    /// there are no reclaimable engines.
    pub reclaimable_price: Option<f64>,
    /// Price of an on-demand engine by failure domain.
    pub prices: HashMap<Name, f64>,
}

/// A declared service.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name.
    pub name: Name,
    /// Maximum number of connections to one upstream, over all entries.
    pub max_connections: usize,
    /// Capabilities of its engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
    /// Scaling bounds; `None` if the number of engines is managed elsewhere.
    pub scaling: Option<Scaling>,
}
