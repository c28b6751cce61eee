//! Which rate holds for which upstream.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::UpstreamKey;
use lycheehaven_catalog::select_news;
use lycheehaven_types::HashMap;
use lycheehaven_types::RequestRate;
use serde::Deserialize;
use serde::Serialize;

use crate::statement::Statement;

/// Time for which the end of a limit is reported to peers.
const END_REPORT_TIME: Duration = Duration::from_secs(30);

/// Time for which the statement of an upstream is kept that is not registered, as its entry
/// may return. Its process may have ended as well.
const LAPSE_TIME: Duration = Duration::from_secs(10 * 60);

/// Time for which a report may have been on its way. It makes the end of a limit seem
/// later than it was, and is therefore taken off.
const TRANSIT_ALLOWANCE: Duration = Duration::from_millis(500);

/// A statement as reported to a peer. Ages are compared, as clocks of VMs differ.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Upstream that made the statement.
    pub upstream: UpstreamKey,
    /// Stated requests a second, or `None` if it stated no limit.
    pub rate: Option<f64>,
    /// Milliseconds since the request was sent.
    pub sent_ms: u64,
    /// Milliseconds since the head of its response was read.
    pub read_ms: u64,
}

impl Report {
    fn new(upstream: &UpstreamKey, statement: &Statement, now: Instant) -> Self {
        let age = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        Self {
            upstream: upstream.clone(),
            rate: statement.rate.map(RequestRate::per_second),
            sent_ms: age(statement.sent),
            read_ms: age(statement.read),
        }
    }

    /// Returns the statement at the receiver's clock, `None` if it is older than that.
    fn statement(&self, now: Instant) -> Option<Statement> {
        let sent_age = Duration::from_millis(self.sent_ms).saturating_add(TRANSIT_ALLOWANCE);
        Some(Statement {
            rate: self.rate.map(RequestRate::new),
            sent: now.checked_sub(sent_age)?,
            read: now.checked_sub(Duration::from_millis(self.read_ms))?,
        })
    }
}

/// The latest statements of upstreams that state a limit, or did lately.
#[derive(Debug, Default)]
pub struct Statements {
    known: HashMap<UpstreamKey, Statement>,
    /// Statements of upstreams that are not registered, and when this was seen. They hold if
    /// the entry returns.
    lapsed: HashMap<UpstreamKey, (Statement, Instant)>,
}

impl Statements {
    /// Records what a response of `upstream` states. Returns whether another rate holds
    /// than before.
    pub fn record(&mut self, upstream: &UpstreamKey, statement: Statement) -> bool {
        let before = self.find(upstream).copied();
        let Some(known) = before else {
            if statement.rate.is_some() {
                self.known.insert(upstream.clone(), statement);
            }
            return statement.rate.is_some();
        };
        let joined = known.join(statement);
        self.lapsed.remove(upstream);
        self.known.insert(upstream.clone(), joined);
        joined.rate != known.rate
    }

    /// Records what a peer reports. Returns whether another rate holds than before.
    pub fn merge(&mut self, report: &Report, now: Instant) -> bool {
        let statement = report.statement(now);
        statement.is_some_and(|statement| self.record(&report.upstream, statement))
    }

    /// Returns the requests a second that an upstream takes from all entries together,
    /// or `None` if it states no limit.
    pub fn rate(&self, upstream: &UpstreamKey) -> Option<RequestRate> {
        self.find(upstream)?.rate
    }

    fn find(&self, upstream: &UpstreamKey) -> Option<&Statement> {
        let known = self.known.get(upstream);
        known.or_else(|| self.lapsed.get(upstream).map(|(statement, _)| statement))
    }

    /// Returns what is known of an upstream, to be sent to a peer.
    pub fn report(&self, upstream: &UpstreamKey, now: Instant) -> Option<Report> {
        let statement = self.find(upstream)?;
        Some(Report::new(upstream, statement, now))
    }

    /// Returns what is known of all upstreams, to be sent to peers in message number
    /// `turn`. If it does not fit, each message holds the newest and a part of the rest.
    pub fn news(&self, turn: u64, now: Instant) -> Vec<Report> {
        let keys = self.known.iter();
        let keys = keys.map(|(upstream, statement)| (statement.sent, upstream.clone()));
        select_news(keys.collect(), turn)
            .iter()
            .filter_map(|upstream| self.report(upstream, now))
            .collect()
    }

    /// Returns the upstreams that state a limit, with their statements.
    pub fn limited(&self) -> impl Iterator<Item = (&UpstreamKey, &Statement)> {
        let known = self.known.iter();
        known.filter(|(_, statement)| statement.rate.is_some())
    }

    /// Sets the statements of upstreams aside that `is_registered` does not accept, and
    /// discards them after a while. Discards ends of limits that peers have heard of.
    pub fn prune(&mut self, is_registered: impl Fn(&UpstreamKey) -> bool, now: Instant) {
        let known = std::mem::take(&mut self.known).into_iter();
        let known = known.map(|(upstream, statement)| (upstream, (statement, now)));
        for (upstream, (statement, lapsed)) in known.chain(std::mem::take(&mut self.lapsed)) {
            let age = now.saturating_duration_since(statement.sent);
            let is_limit = statement.rate.is_some();
            if is_registered(&upstream) {
                if is_limit || age < END_REPORT_TIME {
                    self.known.insert(upstream, statement);
                }
            } else if is_limit && now.saturating_duration_since(lapsed) < LAPSE_TIME {
                self.lapsed.insert(upstream, (statement, lapsed));
            }
        }
    }
}
