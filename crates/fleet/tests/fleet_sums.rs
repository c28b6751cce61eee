//! Sums over the whole fleet.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_fleet::FleetSums;
use lycheehaven_fleet::Source;
use lycheehaven_types::Name;

const WINDOW: Duration = Duration::from_secs(4);

fn report(amount: f64) -> Vec<(Name, f64)> {
    vec![("llm".into(), amount)]
}

fn amount(report: &[(Name, f64)]) -> f64 {
    report.iter().map(|(_, amount)| amount).sum()
}

/// Returns the sums of an aggregator: 1 of its own, 2 and 3 of two entries of its
/// domain, and 10 of another domain.
fn aggregator(now: Instant) -> FleetSums {
    let mut sums = FleetSums::new(WINDOW);
    sums.add(&"llm".into(), 1.0, now);
    sums.update_source(Source::Entry("a".into()), report(2.0), now);
    sums.update_source(Source::Entry("b".into()), report(3.0), now);
    sums.update_source(Source::Domain("keila".into()), report(10.0), now);
    sums
}

#[test]
fn every_message_covers_other_entries() {
    let now = Instant::now();
    let mut sums = aggregator(now);
    assert_eq!(amount(&sums.report(now)), 1.0);
    assert_eq!(amount(&sums.domain_report(now)), 6.0);
    assert_eq!(amount(&sums.report_for(&"a".into(), now)), 14.0);
    assert_eq!(sums.total(&"llm".into(), now), 16.0);
}

#[test]
fn digest_replaces_the_parts_while_it_is_current() {
    let now = Instant::now();
    let mut sums = aggregator(now);
    sums.update_source(Source::Fleet, report(20.0), now);
    assert_eq!(sums.total(&"llm".into(), now), 21.0);
    // What others send in this entry's digest is never passed on.
    assert_eq!(amount(&sums.report_for(&"a".into(), now)), 14.0);
    let later = now + Duration::from_millis(1000);
    assert_eq!(sums.total(&"llm".into(), later), 16.0);
}

#[test]
fn report_of_a_silent_source_expires() {
    let now = Instant::now();
    let mut sums = aggregator(now);
    assert_eq!(sums.total(&"llm".into(), now + Duration::from_secs(3)), 1.0);
}
