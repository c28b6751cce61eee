//! Engine time that callers request.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::HashMap;
use lycheehaven_types::Name;
use lycheehaven_types::SlidingSum;

/// Window over which requested engine time is averaged.
const AVERAGING_WINDOW: Duration = Duration::from_secs(4);

/// Age at which a peer's report is ignored.
const REPORT_EXPIRY: Duration = Duration::from_secs(3);

/// Engine time that callers requested by service, at this entry and its peers.
#[derive(Debug, Default)]
pub struct Demand {
    local: HashMap<Name, SlidingSum>,
    peers: HashMap<Name, (Instant, Vec<(Name, f64)>)>,
}

impl Demand {
    /// Adds `work_ms` milliseconds of engine time.
    pub fn add(&mut self, service: &Name, work_ms: f64, now: Instant) {
        let sum = self
            .local
            .entry(service.clone())
            .or_insert_with(|| SlidingSum::new(AVERAGING_WINDOW));
        sum.add(work_ms, now);
    }

    /// Returns the engine time of the last window by service, in milliseconds.
    pub fn report(&mut self, now: Instant) -> Vec<(Name, f64)> {
        self.local
            .iter_mut()
            .map(|(service, sum)| (service.clone(), sum.sum(now)))
            .collect()
    }

    /// Replaces the report of `peer` and drops expired ones.
    pub fn update_peer(&mut self, peer: &Name, report: Vec<(Name, f64)>, now: Instant) {
        self.peers.insert(peer.clone(), (now, report));
        self.peers.retain(|_, (received_at, _)| {
            now.saturating_duration_since(*received_at) < REPORT_EXPIRY
        });
    }

    /// Returns the number of engines that the requests of `service` keep fully
    /// busy, at this entry and its peers.
    pub fn busy_engines(&mut self, service: &Name, now: Instant) -> f64 {
        let local = self.local.get_mut(service).map_or(0.0, |sum| sum.sum(now));
        let peers: f64 = self
            .peers
            .values()
            .filter(|(received_at, _)| now.saturating_duration_since(*received_at) < REPORT_EXPIRY)
            .flat_map(|(_, report)| report)
            .filter(|(name, _)| name == service)
            .map(|(_, work_ms)| work_ms)
            .sum();
        (local + peers) / (AVERAGING_WINDOW.as_secs_f64() * 1000.0)
    }
}
