//! The report of a load run.

use std::time::Duration;

use hdrhistogram::Histogram;
use lycheehaven_history::Ending;
use lycheehaven_history::Event;
use serde_json::Value;
use serde_json::json;

use crate::load::request::Sample;
use crate::load::scenario::Arrival;
use crate::load::scenario::Scenario;
use crate::output;

/// Counts and latencies in milliseconds of one kind of request.
struct Row {
    name: String,
    sent: usize,
    whole: usize,
    refused: usize,
    first: Histogram<u64>,
    gap: Histogram<u64>,
    events: usize,
}

/// Results of a load run.
pub(crate) struct Report {
    seed: u64,
    elapsed: Duration,
    rows: Vec<Row>,
}

impl Report {
    pub(crate) fn new(
        scenario: &Scenario,
        seed: u64,
        arrivals: &[Arrival],
        samples: &[Sample],
        elapsed: Duration,
    ) -> Self {
        let new = || Histogram::new(3).expect("three significant digits are valid");
        let mut rows: Vec<Row> = scenario
            .mix
            .iter()
            .map(|mix| Row {
                name: mix.name.clone(),
                sent: 0,
                whole: 0,
                refused: 0,
                first: new(),
                gap: new(),
                events: 0,
            })
            .collect();
        debug_assert_eq!(arrivals.len(), samples.len());
        for sample in samples {
            rows[sample.mix].add(sample);
        }
        Self {
            seed,
            elapsed,
            rows,
        }
    }

    pub(crate) fn print(&self, as_json: bool) {
        if as_json {
            let rows: Vec<Value> = self.rows.iter().map(Row::json).collect();
            let seconds = self.elapsed.as_secs_f64();
            output::json(&json!({"seed": self.seed, "seconds": seconds, "kinds": rows}));
            return;
        }
        let header = [
            "KIND",
            "SENT",
            "WHOLE",
            "REFUSED",
            "OTHER",
            "FIRST P50",
            "P95",
            "P99",
            "GAP P95",
            "MAX",
            "EVENTS",
        ];
        let rows: Vec<Vec<String>> = self.rows.iter().map(Row::cells).collect();
        output::table(&header, &rows);
        output::line(format!(
            "seed {}, {:.1} s, times in ms",
            self.seed,
            self.elapsed.as_secs_f64()
        ));
    }
}

impl Row {
    fn add(&mut self, sample: &Sample) {
        self.sent += 1;
        self.refused += usize::from(sample.refused);
        self.whole += usize::from(matches!(sample.ending, Ending::Whole(_)));
        self.events += sample.events;
        if let Some(first) = sample.first.filter(|_| !sample.refused) {
            self.first.saturating_record(first);
        }
        sample
            .gaps
            .iter()
            .for_each(|gap| self.gap.saturating_record(*gap));
    }

    fn other(&self) -> usize {
        self.sent - self.whole - self.refused
    }

    fn cells(&self) -> Vec<String> {
        let first = |quantile| self.first.value_at_quantile(quantile).to_string();
        vec![
            self.name.clone(),
            self.sent.to_string(),
            self.whole.to_string(),
            self.refused.to_string(),
            self.other().to_string(),
            first(0.5),
            first(0.95),
            first(0.99),
            self.gap.value_at_quantile(0.95).to_string(),
            self.gap.max().to_string(),
            self.events.to_string(),
        ]
    }

    fn json(&self) -> Value {
        json!({
            "kind": self.name,
            "sent": self.sent,
            "whole": self.whole,
            "refused": self.refused,
            "other": self.other(),
            "first_ms": {
                "p50": self.first.value_at_quantile(0.5),
                "p95": self.first.value_at_quantile(0.95),
                "p99": self.first.value_at_quantile(0.99),
            },
            "gap_ms": {"p95": self.gap.value_at_quantile(0.95), "max": self.gap.max()},
            "events": self.events,
        })
    }
}

/// Returns the callers' events of a history, as JSON lines.
pub(crate) fn history(samples: &[Sample]) -> String {
    let mut lines = String::new();
    for sample in samples {
        let send = Event::Send {
            time: sample.span.0,
            send: sample.send.clone(),
            key: sample.key.clone(),
            expected: None,
        };
        let end = Event::End {
            time: sample.span.1,
            send: sample.send.clone(),
            ending: sample.ending.clone(),
        };
        for event in [send, end] {
            lines.push_str(&serde_json::to_string(&event).expect("events serialize"));
            lines.push('\n');
        }
    }
    lines
}
