//! Sliding sums by name over the whole fleet.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::HashMap;
use lycheehaven_types::Name;
use lycheehaven_types::SlidingSum;

use crate::Source;
use crate::reported_sums::ReportedSums;

/// Amounts by name that were added within a window, at this entry and at its peers.
#[derive(Debug)]
pub struct FleetSums {
    window: Duration,
    local: HashMap<Name, SlidingSum>,
    peers: ReportedSums,
}

impl FleetSums {
    /// Creates empty sums over a sliding window.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            local: HashMap::default(),
            peers: ReportedSums::default(),
        }
    }

    /// Adds an amount at this entry.
    pub fn add(&mut self, name: &Name, amount: f64, now: Instant) {
        let window = self.window;
        let sum = self
            .local
            .entry(name.clone())
            .or_insert_with(|| SlidingSum::new(window));
        sum.add(amount, now);
    }

    /// Replaces the sums that `source` reports.
    pub fn update_source(&mut self, source: Source, report: Vec<(Name, f64)>, now: Instant) {
        self.peers.update(source, report, now);
    }

    /// Returns the sums of this entry.
    pub fn report(&mut self, now: Instant) -> Vec<(Name, f64)> {
        self.local
            .iter_mut()
            .map(|(name, sum)| (name.clone(), sum.sum(now)))
            .filter(|(_, sum)| *sum > 0.0)
            .collect()
    }

    /// Returns the sums of this entry and of those that report to it directly.
    pub fn domain_report(&mut self, now: Instant) -> Vec<(Name, f64)> {
        self.report_with(|source| matches!(source, Source::Entry(_)), now)
    }

    /// Returns the sums of all entries except `member`.
    pub fn report_for(&mut self, member: &Name, now: Instant) -> Vec<(Name, f64)> {
        let is_other = |source: &Source| match source {
            Source::Entry(name) => name != member,
            Source::Domain(_) => true,
            Source::Fleet => false,
        };
        self.report_with(is_other, now)
    }

    /// Returns the sum for `name` at all entries.
    pub fn total(&mut self, name: &Name, now: Instant) -> f64 {
        let local = self.local.get_mut(name).map_or(0.0, |sum| sum.sum(now));
        local + self.peers.total(name, now)
    }

    fn report_with(
        &mut self,
        is_included: impl Fn(&Source) -> bool,
        now: Instant,
    ) -> Vec<(Name, f64)> {
        let mut sums: HashMap<Name, f64> = self.report(now).into_iter().collect();
        self.peers.add_to(&mut sums, is_included, now);
        sums.into_iter().collect()
    }
}
