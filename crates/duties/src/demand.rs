//! Engine time that callers request.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_fleet::FleetSums;
use lycheehaven_fleet::Source;
use lycheehaven_types::HashMap;
use lycheehaven_types::Name;
use lycheehaven_types::SlidingSum;

/// Window over which requested engine time is averaged.
const AVERAGING_WINDOW: Duration = Duration::from_secs(4);

/// Engine time that callers requested by service, at this entry and its peers.
#[derive(Debug)]
pub struct Demand {
    work_ms: FleetSums,
    /// Requests at this entry, by service.
    requests: HashMap<Name, SlidingSum>,
}

impl Default for Demand {
    fn default() -> Self {
        Self {
            work_ms: FleetSums::new(AVERAGING_WINDOW),
            requests: HashMap::default(),
        }
    }
}

impl Demand {
    /// Adds a request that begins with `work_ms` milliseconds of engine time.
    pub fn add_request(&mut self, service: &Name, work_ms: f64, now: Instant) {
        self.requests(service).add(1.0, now);
        self.add_work(service, work_ms, now);
    }

    /// Adds `work_ms` milliseconds of engine time for a request that was added before.
    pub fn add_work(&mut self, service: &Name, work_ms: f64, now: Instant) {
        self.work_ms.add(service, work_ms, now);
    }

    /// Returns the engine time that this entry's callers requested by service, in
    /// milliseconds.
    pub fn report(&mut self, now: Instant) -> Vec<(Name, f64)> {
        self.work_ms.report(now)
    }

    /// Returns the engine time requested at this entry and at those that report to
    /// it directly, by service, in milliseconds.
    pub fn domain_report(&mut self, now: Instant) -> Vec<(Name, f64)> {
        self.work_ms.domain_report(now)
    }

    /// Returns the engine time requested at all entries except `member`, by service,
    /// in milliseconds.
    pub fn report_for(&mut self, member: &Name, now: Instant) -> Vec<(Name, f64)> {
        self.work_ms.report_for(member, now)
    }

    /// Replaces the engine time that `source` reports.
    pub fn update_source(&mut self, source: Source, report: Vec<(Name, f64)>, now: Instant) {
        self.work_ms.update_source(source, report, now);
    }

    /// Returns the part of an engine of `service` that can be kept busy with `per_second`
    /// requests of the kind that callers of this entry send, at most 1.
    pub fn usable_part(&mut self, service: &Name, per_second: f64, now: Instant) -> f64 {
        let requests = self.requests(service).sum(now);
        let report = self.work_ms.report(now);
        let work = report.iter().find(|(name, _)| name == service);
        let Some((_, work_ms)) = work.filter(|_| requests > 0.0) else {
            return 1.0;
        };
        (per_second * work_ms / requests / 1000.0).min(1.0)
    }

    fn requests(&mut self, service: &Name) -> &mut SlidingSum {
        let requests = self.requests.entry(service.clone());
        requests.or_insert_with(|| SlidingSum::new(AVERAGING_WINDOW))
    }

    /// Returns the number of engines that the requests of `service` keep fully
    /// busy, at this entry and its peers.
    pub fn busy_engines(&mut self, service: &Name, now: Instant) -> f64 {
        self.work_ms.total(service, now) / (AVERAGING_WINDOW.as_secs_f64() * 1000.0)
    }
}
