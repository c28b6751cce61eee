//! Routes and the services behind them.

use std::time::Duration;

use lycheehaven_types::HashMap;
use lycheehaven_types::Name;

/// What may be repeated on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run any number of times.
    Idempotent,
    /// A request may run at most once.
    NonIdempotent,
    /// The answer is a series of events; at most once unless resumable.
    Streaming,
}

/// A service's part of a route's traffic.
#[derive(Debug, Clone)]
pub struct Split {
    /// Service that receives the part.
    pub service: Name,
    /// Part, relative to the other splits of the route.
    pub weight: f64,
}

/// A declared route.
#[derive(Debug, Clone)]
pub struct Route {
    /// Name in logs and metrics.
    pub name: Name,
    /// Host that callers name, in lower case and without a port.
    pub host: Name,
    /// Path prefix that begins and ends with a slash.
    pub prefix: Name,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request may be kept waiting.
    pub timeout: Duration,
    /// Time within which an answer earns its full value.
    pub target_latency: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services, at least one.
    pub splits: Vec<Split>,
    /// Upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether a stream may go on at another upstream.
    pub resumable: bool,
}

impl Route {
    /// Whether a request may run more than once.
    pub fn repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// The service for a request, by `draw` from 0 to 1.
    pub fn pick_service(&self, draw: f64) -> &Name {
        let total: f64 = self.splits.iter().map(|split| split.weight).sum();
        let mut rest = draw * total;
        for split in &self.splits {
            rest -= split.weight;
            if rest < 0.0 {
                return &split.service;
            }
        }
        &self.splits[self.splits.len() - 1].service
    }
}

/// What the engines of a service can do.
#[derive(Debug, Clone)]
pub struct EngineSpec {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Memory for the tokens of prompts and answers.
    pub kv_tokens: u64,
    /// Bytes of memory per token, when moved.
    pub token_bytes: u64,
    /// Megabits a second that an engine's link moves.
    pub link_mbps: f64,
    /// Whether a running request can be moved to another engine.
    pub supports_moves: bool,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
}

/// Bounds and prices for the number of a service's engines.
#[derive(Debug, Clone)]
pub struct Scaling {
    /// Fewest engines in a failure domain.
    pub min: u32,
    /// Most engines in a failure domain.
    pub max: u32,
    /// Time from an order until the engine serves.
    pub boot_time: Duration,
    /// Price of a reclaimable engine relative to an on-demand one.
    pub reclaimable_price: Option<f64>,
    /// Price of an on-demand engine by failure domain.
    pub prices: HashMap<Name, f64>,
}

/// A declared service.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name.
    pub name: Name,
    /// Connections that one upstream accepts from all callers.
    pub max_connections: usize,
    /// Set for model engines.
    pub engine: Option<EngineSpec>,
    /// Set where the number of engines is ours to order.
    pub scaling: Option<Scaling>,
}
