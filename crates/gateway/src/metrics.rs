//! Metrics of a gateway in the OpenMetrics text format.

use std::time::Duration;

use lycheehaven_types::ErrorKind;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

use crate::endings::Cut;
use crate::endings::Planned;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StatusLabel {
    status: u16,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabel {
    kind: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct NameLabel {
    name: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CutLabel {
    cause: &'static str,
    beside: &'static str,
}

/// All metrics of an entry.
pub(crate) struct Metrics {
    registry: Registry,
    answers: Family<StatusLabel, Counter>,
    failures: Family<KindLabel, Counter>,
    cut_answers: Family<CutLabel, Counter>,
    latency: Histogram,
    pub(crate) sends: Counter,
    pub(crate) limited_sends: Counter,
    pub(crate) connections: Counter,
    silences: Family<OutcomeLabel, Counter>,
    take_ups: Family<OutcomeLabel, Counter>,
    pub(crate) unreadable_objects: Counter,
    pub(crate) rejected_configs: Counter,
    dropped_lines: Gauge,
    panics: Gauge,
    state: Family<NameLabel, Gauge>,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let metrics = Self {
            registry: Registry::with_prefix("lycheehaven"),
            answers: Family::default(),
            failures: Family::default(),
            cut_answers: Family::default(),
            latency: Histogram::new(exponential_buckets(0.005, 2.0, 12)),
            sends: Counter::default(),
            limited_sends: Counter::default(),
            connections: Counter::default(),
            silences: Family::default(),
            take_ups: Family::default(),
            unreadable_objects: Counter::default(),
            rejected_configs: Counter::default(),
            dropped_lines: Gauge::default(),
            panics: Gauge::default(),
            state: Family::default(),
        };
        metrics.registered()
    }

    fn registered(mut self) -> Self {
        let registry = &mut self.registry;
        registry.register(
            "answers",
            "Answers to callers by status",
            self.answers.clone(),
        );
        registry.register(
            "failures",
            "Failures of the system's own by kind",
            self.failures.clone(),
        );
        registry.register(
            "cut_answers",
            "Answers that a caller did not get whole, by cause and the planned work they were beside",
            self.cut_answers.clone(),
        );
        registry.register(
            "answer_seconds",
            "Time until an answer's head",
            self.latency.clone(),
        );
        registry.register("sends", "Requests sent to upstreams", self.sends.clone());
        registry.register(
            "limited_sends",
            "Requests sent to upstreams that state a request rate",
            self.limited_sends.clone(),
        );
        registry.register(
            "connections",
            "Connections opened to upstreams",
            self.connections.clone(),
        );
        registry.register(
            "silences",
            "Requests whose upstream was silent for long, by how the silence ended",
            self.silences.clone(),
        );
        registry.register(
            "take_ups",
            "Requests that take an earlier stream up, by what became of them",
            self.take_ups.clone(),
        );
        registry.register(
            "unreadable_objects",
            "Objects in responses of the store that could not be read",
            self.unreadable_objects.clone(),
        );
        registry.register(
            "rejected_configs",
            "Configurations that were read but could not be used",
            self.rejected_configs.clone(),
        );
        registry.register(
            "dropped_log_lines",
            "Log lines that were dropped since the start",
            self.dropped_lines.clone(),
        );
        registry.register(
            "panics",
            "Tasks that panicked since the start",
            self.panics.clone(),
        );
        registry.register("state", "Present state of this entry", self.state.clone());
        self
    }

    /// Counts a response to a caller and the time until its head was sent.
    pub(crate) fn record_response(&self, status: u16, after: Duration) {
        self.answers.get_or_create(&StatusLabel { status }).inc();
        self.latency.observe(after.as_secs_f64());
    }

    /// Counts a failure that the system itself reported to a caller.
    pub(crate) fn record_failure(&self, kind: ErrorKind) {
        let label = KindLabel { kind: kind.name() };
        self.failures.get_or_create(&label).inc();
    }

    /// Counts a long silence of an upstream by how it ended for a request.
    pub(crate) fn record_silence(&self, outcome: &'static str) {
        self.silences.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts a request that takes an earlier stream up.
    pub(crate) fn record_take_up(&self, outcome: &'static str) {
        self.take_ups.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts an answer that a caller did not get whole.
    pub(crate) fn record_cut(&self, cut: Cut, planned: Planned) {
        let label = CutLabel {
            cause: cut.name(),
            beside: planned.name(),
        };
        self.cut_answers.get_or_create(&label).inc();
    }

    /// Returns all metrics in the text format, with `gauges` as values of `state`.
    pub(crate) fn encode_text(&self, gauges: &[(&'static str, i64)]) -> String {
        let dropped = lycheehaven_logs::dropped_lines();
        self.dropped_lines.set(dropped as i64);
        self.panics.set(lycheehaven_logs::panics() as i64);
        for (name, value) in gauges {
            self.state.get_or_create(&NameLabel { name }).set(*value);
        }
        let mut text = String::new();
        if let Err(cause) = encode(&mut text, &self.registry) {
            log::error!(target: "lycheehaven", cause = cause.to_string().as_str(); "can't encode the metrics; the response is incomplete");
        }
        text
    }
}
