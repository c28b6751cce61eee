//! Which of several statements of an upstream holds.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::UpstreamKey;
use lycheehaven_permits::Statement;
use lycheehaven_permits::Statements;
use lycheehaven_types::RequestRate;

/// Longer than a report may have been on its way.
const LONG: u64 = 2000;

fn key() -> UpstreamKey {
    UpstreamKey {
        id: "i-1".into(),
        incarnation: 1,
    }
}

struct Times(Instant);

impl Times {
    fn at(&self, millis: u64) -> Instant {
        self.0 + Duration::from_millis(millis)
    }

    fn statement(&self, rate: Option<f64>, sent: u64, read: u64) -> Statement {
        Statement {
            rate: rate.map(RequestRate::new),
            sent: self.at(sent),
            read: self.at(read),
        }
    }
}

fn rate(statements: &Statements) -> Option<f64> {
    statements.rate(&key()).map(RequestRate::per_second)
}

#[test]
fn response_without_a_rate_that_overtook_one_with_it_does_not_end_the_limit() {
    let times = Times(Instant::now());
    let mut statements = Statements::default();
    assert!(statements.record(&key(), times.statement(Some(2.0), 10, 50)));
    assert!(!statements.record(&key(), times.statement(None, 30, 60)));
    assert!(!statements.record(&key(), times.statement(None, 50, 70)));
    assert_eq!(rate(&statements), Some(2.0));
    assert!(statements.record(&key(), times.statement(None, 51, 80)));
    assert_eq!(rate(&statements), None);
}

#[test]
fn of_responses_that_overlap_the_smaller_rate_holds() {
    let times = Times(Instant::now());
    let mut statements = Statements::default();
    statements.record(&key(), times.statement(Some(2.0), 10, 50));
    statements.record(&key(), times.statement(Some(9.0), 20, 60));
    assert_eq!(rate(&statements), Some(2.0));
    statements.record(&key(), times.statement(Some(1.0), 30, 55));
    assert_eq!(rate(&statements), Some(1.0));
    statements.record(&key(), times.statement(Some(9.0), 56, 70));
    assert_eq!(rate(&statements), Some(9.0));
}

#[test]
fn late_response_with_an_old_rate_does_not_begin_a_limit_again() {
    let times = Times(Instant::now());
    let mut statements = Statements::default();
    statements.record(&key(), times.statement(Some(2.0), 10, 50));
    statements.record(&key(), times.statement(None, 60, 70));
    assert!(!statements.record(&key(), times.statement(Some(2.0), 5, 55)));
    assert_eq!(rate(&statements), None);
}

#[test]
fn restarted_upstream_states_no_rate() {
    let times = Times(Instant::now());
    let mut statements = Statements::default();
    statements.record(&key(), times.statement(Some(2.0), 10, 50));
    let restarted = UpstreamKey {
        incarnation: 2,
        ..key()
    };
    assert_eq!(statements.rate(&restarted), None);
}

#[test]
fn peer_that_may_send_nothing_hears_the_begin_and_the_end_from_another() {
    let times = Times(Instant::now());
    let mut first = Statements::default();
    let mut second = Statements::default();
    first.record(&key(), times.statement(Some(0.0), 10, 50));
    let pass_on = |from: &Statements, to: &mut Statements, at: u64| {
        for report in from.news(0, times.at(at)) {
            to.merge(&report, times.at(at + 5));
        }
    };
    pass_on(&first, &mut second, 100);
    assert_eq!(rate(&second), Some(0.0));
    first.record(&key(), times.statement(None, LONG, LONG + 10));
    pass_on(&first, &mut second, LONG + 20);
    assert_eq!(rate(&second), None);
}

#[test]
fn report_of_an_old_limit_does_not_begin_it_again() {
    let times = Times(Instant::now());
    let mut cut_off = Statements::default();
    let mut other = Statements::default();
    cut_off.record(&key(), times.statement(Some(1.0), 10, 50));
    other.record(&key(), times.statement(Some(1.0), 10, 50));
    other.record(&key(), times.statement(None, LONG, LONG + 10));
    for report in cut_off.news(0, times.at(2 * LONG)) {
        assert!(!other.merge(&report, times.at(2 * LONG)));
    }
    assert_eq!(rate(&other), None);
}

#[test]
fn ends_of_limits_are_discarded_after_peers_have_heard_of_them() {
    let times = Times(Instant::now());
    let mut statements = Statements::default();
    statements.record(&key(), times.statement(Some(1.0), 10, 50));
    statements.prune(|_| true, times.at(60_000));
    assert_eq!(rate(&statements), Some(1.0), "a limit holds until its end");
    statements.record(&key(), times.statement(None, 60_000, 60_010));
    assert_eq!(statements.news(0, times.at(61_000)).len(), 1);
    statements.prune(|_| true, times.at(120_000));
    assert!(statements.news(0, times.at(120_000)).is_empty());
}

#[test]
fn rate_of_an_upstream_whose_entry_lapses_and_returns_holds_at_once() {
    let times = Times(Instant::now());
    let mut statements = Statements::default();
    statements.record(&key(), times.statement(Some(1.0), 10, 50));
    statements.prune(|_| false, times.at(1_000));
    assert_eq!(rate(&statements), Some(1.0));
    assert_eq!(
        statements.limited().count(),
        0,
        "it is not listed meanwhile"
    );
    assert!(statements.news(0, times.at(1_000)).is_empty());
    statements.prune(|_| true, times.at(2_000));
    assert_eq!(rate(&statements), Some(1.0));
    assert_eq!(statements.limited().count(), 1);
    for seconds in [700, 1299] {
        statements.prune(|_| false, times.at(seconds * 1000));
        assert_eq!(rate(&statements), Some(1.0), "{seconds}");
    }
    statements.prune(|_| false, times.at(1_300_000));
    assert_eq!(rate(&statements), None, "it is forgotten after a while");
}
