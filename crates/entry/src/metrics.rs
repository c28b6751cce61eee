//! Metrics for `/metrics` in the OpenMetrics text format.

use std::cell::RefCell;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the latency histogram, in seconds.
const LATENCY_BOUNDS: [f64; 10] = [0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.3, 2.5, 5.0, 10.0];

/// Label set with the single label `kind`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct Kind {
    pub(crate) kind: String,
}

/// All metrics of an entry.
pub(crate) struct Metrics {
    registry: RefCell<Registry>,
    pub(crate) requests: Family<Kind, Counter>,
    pub(crate) failures: Family<Kind, Counter>,
    pub(crate) attempts: Counter,
    pub(crate) tokens: Counter,
    pub(crate) unread_tokens: Counter,
    pub(crate) recomputed_tokens: Family<Kind, Counter>,
    pub(crate) moves: Family<Kind, Counter>,
    pub(crate) claims: Family<Kind, Counter>,
    pub(crate) platform_calls: Family<Kind, Counter>,
    pub(crate) exchange_bytes: Counter,
    pub(crate) replica_bytes: Counter,
    pub(crate) config_number: Gauge,
    pub(crate) unusable_configs: Counter,
    pub(crate) first_token: Histogram,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let metrics = Self {
            registry: RefCell::default(),
            requests: Family::default(),
            failures: Family::default(),
            attempts: Counter::default(),
            tokens: Counter::default(),
            unread_tokens: Counter::default(),
            recomputed_tokens: Family::default(),
            moves: Family::default(),
            claims: Family::default(),
            platform_calls: Family::default(),
            exchange_bytes: Counter::default(),
            replica_bytes: Counter::default(),
            config_number: Gauge::default(),
            unusable_configs: Counter::default(),
            first_token: Histogram::new(LATENCY_BOUNDS),
        };
        metrics.register();
        metrics
    }

    /// Renders all metrics as OpenMetrics text.
    pub(crate) fn render(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry.borrow()).expect("metrics encode to a string");
        text
    }

    fn register(&self) {
        let mut registry = self.registry.borrow_mut();
        let prefixed = registry.sub_registry_with_prefix("lycheehaven");
        prefixed.register(
            "requests",
            "Accepted requests by shape",
            self.requests.clone(),
        );
        prefixed.register(
            "failures",
            "Failed requests by error kind",
            self.failures.clone(),
        );
        prefixed.register(
            "attempts",
            "Attempts at model engines",
            self.attempts.clone(),
        );
        prefixed.register(
            "tokens",
            "Tokens received from engines",
            self.tokens.clone(),
        );
        prefixed.register(
            "unread_tokens",
            "Tokens never read",
            self.unread_tokens.clone(),
        );
        let help = "Tokens to be computed again, by cause";
        prefixed.register("recomputed_tokens", help, self.recomputed_tokens.clone());
        prefixed.register(
            "moves",
            "Streams moved off leaving upstreams",
            self.moves.clone(),
        );
        prefixed.register("claims", "Claims by reply", self.claims.clone());
        let help = "Calls of the platform by kind";
        prefixed.register("platform_calls", help, self.platform_calls.clone());
        let help = "Bytes of exchange messages sent and received";
        prefixed.register("exchange_bytes", help, self.exchange_bytes.clone());
        let help = "Bytes of record updates sent";
        prefixed.register("replica_bytes", help, self.replica_bytes.clone());
        let help = "Number of the configuration in force";
        prefixed.register("config_number", help, self.config_number.clone());
        let help = "Configuration objects that could not be used";
        prefixed.register("unusable_configs", help, self.unusable_configs.clone());
        let help = "Time to the first token in seconds";
        prefixed.register("first_token_seconds", help, self.first_token.clone());
    }
}

/// Returns the label set for a kind.
pub(crate) fn kind(name: &str) -> Kind {
    Kind {
        kind: name.to_owned(),
    }
}
