//! Amounts by name that peers report.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::HashMap;
use lycheehaven_types::Name;

use crate::Source;

/// Age at which a report is ignored.
const REPORT_EXPIRY: Duration = Duration::from_secs(3);

/// Age from which a report that covers the whole fleet gives way to the reports
/// that cover parts of it.
const FLEET_EXPIRY: Duration = Duration::from_millis(900);

/// Amounts by name, as reported by the sources that together cover the fleet.
#[derive(Debug, Default)]
pub(crate) struct ReportedSums {
    reports: HashMap<Source, (Instant, Vec<(Name, f64)>)>,
}

impl ReportedSums {
    /// Replaces the report of `source` and drops expired ones.
    pub(crate) fn update(&mut self, source: Source, report: Vec<(Name, f64)>, now: Instant) {
        self.reports.insert(source, (now, report));
        self.reports
            .retain(|_, (received, _)| now.saturating_duration_since(*received) < REPORT_EXPIRY);
    }

    /// Returns the amount that all other entries report for `name`.
    pub(crate) fn total(&self, name: &Name, now: Instant) -> f64 {
        let digest = self
            .reports
            .get(&Source::Fleet)
            .filter(|(received, _)| now.saturating_duration_since(*received) < FLEET_EXPIRY);
        if let Some((_, report)) = digest {
            return amount(report, name);
        }
        self.recent(now)
            .filter(|(source, _)| **source != Source::Fleet)
            .map(|(_, report)| amount(report, name))
            .sum()
    }

    /// Adds the reports of the sources that `is_included` accepts to `sums`.
    pub(crate) fn add_to(
        &self,
        sums: &mut HashMap<Name, f64>,
        is_included: impl Fn(&Source) -> bool,
        now: Instant,
    ) {
        for (source, report) in self.recent(now) {
            if !is_included(source) {
                continue;
            }
            for (name, more) in report {
                *sums.entry(name.clone()).or_insert(0.0) += more;
            }
        }
    }

    fn recent(&self, now: Instant) -> impl Iterator<Item = (&Source, &[(Name, f64)])> {
        self.reports
            .iter()
            .filter(move |(_, (received, _))| {
                now.saturating_duration_since(*received) < REPORT_EXPIRY
            })
            .map(|(source, (_, report))| (source, report.as_slice()))
    }
}

fn amount(report: &[(Name, f64)], name: &Name) -> f64 {
    report
        .iter()
        .filter(|(reported, _)| reported == name)
        .map(|(_, amount)| amount)
        .sum()
}
