//! How much work callers ask of the engines.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::HashMap;
use lycheehaven_types::Name;
use lycheehaven_types::SlidingSum;

/// Time over which work is averaged.
const WINDOW: Duration = Duration::from_secs(4);

/// Age at which a peer's report no longer counts.
const STALE: Duration = Duration::from_secs(3);

/// Engine time that callers asked for, by service, here and at the peers.
#[derive(Debug, Default)]
pub struct Demand {
    own: HashMap<Name, SlidingSum>,
    peers: HashMap<Name, (Instant, Vec<(Name, f64)>)>,
}

impl Demand {
    /// Counts `work` milliseconds of an engine's time.
    pub fn add(&mut self, service: &Name, work: f64, now: Instant) {
        let sum = self
            .own
            .entry(service.clone())
            .or_insert_with(|| SlidingSum::new(WINDOW));
        sum.add(work, now);
    }

    /// Milliseconds in the last window, by service.
    pub fn report(&mut self, now: Instant) -> Vec<(Name, f64)> {
        self.own
            .iter_mut()
            .map(|(service, sum)| (service.clone(), sum.sum(now)))
            .collect()
    }

    /// Takes over a peer's report.
    pub fn hear(&mut self, peer: &Name, report: Vec<(Name, f64)>, now: Instant) {
        self.peers.insert(peer.clone(), (now, report));
        self.peers
            .retain(|_, (heard, _)| now.saturating_duration_since(*heard) < STALE);
    }

    /// Engines that would be busy all the time with what is asked of `service`.
    pub fn engines(&mut self, service: &Name, now: Instant) -> f64 {
        let own = self.own.get_mut(service).map_or(0.0, |sum| sum.sum(now));
        let peers: f64 = self
            .peers
            .values()
            .filter(|(heard, _)| now.saturating_duration_since(*heard) < STALE)
            .flat_map(|(_, report)| report)
            .filter(|(name, _)| name == service)
            .map(|(_, work)| work)
            .sum();
        (own + peers) / (WINDOW.as_secs_f64() * 1000.0)
    }
}
