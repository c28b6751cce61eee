//! What an entry knows and decides about the rates that upstreams state.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::UpstreamKey;
use lycheehaven_types::Name;
use lycheehaven_types::RequestRate;
use serde::Serialize;

use crate::issuer::Issuer;
use crate::issuer::issuer;
use crate::issuer::reachable_share;
use crate::message::Answer;
use crate::message::Ask;
use crate::message::PERMIT_LIFETIME;
use crate::returns::Returns;
use crate::statement::Statement;
use crate::statements::Report;
use crate::statements::Statements;
use crate::waits::Waits;

/// Time after which to ask again for a permit if the issuer does not answer, or is not
/// the one in its own view.
pub const ISSUER_WAIT: Duration = Duration::from_millis(250);

/// Longest time for which one answer excludes an upstream. Who issues its permits, and how
/// many, may change meanwhile.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// The entries as one of them sees them.
#[derive(Debug)]
pub struct View<'a> {
    /// Entry that sees them.
    pub own: &'a Name,
    /// Live entries in the failure domain of the upstream, `own` among them if it is there.
    pub in_domain: Vec<&'a Name>,
    /// All live entries, `own` among them.
    pub live: Vec<&'a Name>,
    /// Number of entries that are registered, whether they run or not.
    pub registered: usize,
}

impl View<'_> {
    fn issuer(&self, upstream: &UpstreamKey) -> Option<&Name> {
        issuer(upstream, &self.in_domain, &self.live)
    }
}

/// What an entry has to do before it writes a request to an upstream.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Write it at once.
    Send,
    /// Write nothing: there is no permit for this time.
    Wait(Duration),
    /// Send the report to this entry in an [`Ask`], and pass what it answers to
    /// [`Permits::finish`].
    Ask(Name, Report),
}

/// A request that is refused as all upstreams of its service limit their requests.
#[derive(Debug, Clone, Copy)]
pub struct Refused<'a> {
    /// Service of the request.
    pub service: &'a Name,
    /// Number of entries whose callers share what the upstreams take.
    pub entries: usize,
    /// Time before which no upstream takes a request.
    pub first: Duration,
    /// Random number from 0 to 1.
    pub draw: f64,
}

/// A limit as operators see it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LimitView {
    /// Id of the upstream.
    pub upstream: Name,
    /// Its incarnation.
    pub incarnation: u64,
    /// Requests a second that it takes from all entries together.
    pub per_second: Option<f64>,
    /// Milliseconds since it stated the rate last.
    pub stated_ms: u64,
    /// Milliseconds for which this entry has no permit for a request to it.
    pub wait_ms: u64,
}

/// Rates that upstreams state, and the permits for requests to them.
#[derive(Debug, Default)]
pub struct Permits {
    statements: Statements,
    issuer: Issuer,
    waits: Waits,
    returns: Returns,
}

impl Permits {
    /// Records what a response of `upstream` states. Returns whether another rate holds
    /// than before.
    pub fn record(&mut self, upstream: &UpstreamKey, statement: Statement) -> bool {
        let changed = self.statements.record(upstream, statement);
        if changed {
            self.waits.forget(upstream);
        }
        changed
    }

    /// Records what a peer reports. Returns whether another rate holds than before.
    pub fn merge(&mut self, report: &Report, now: Instant) -> bool {
        let changed = self.statements.merge(report, now);
        if changed {
            self.waits.forget(&report.upstream);
        }
        changed
    }

    /// Returns what is known, to be sent to peers in message number `turn`.
    pub fn news(&self, turn: u64, now: Instant) -> Vec<Report> {
        self.statements.news(turn, now)
    }

    /// Returns the requests a second that an upstream takes from all entries together.
    pub fn rate(&self, upstream: &UpstreamKey) -> Option<RequestRate> {
        self.statements.rate(upstream)
    }

    /// Returns the upstreams that limit their requests, with what they stated.
    pub fn limited(&self) -> impl Iterator<Item = (&UpstreamKey, &Statement)> {
        self.statements.limited()
    }

    /// Returns the limits that hold, for operators.
    pub fn views(&self, now: Instant) -> Vec<LimitView> {
        let mut views: Vec<LimitView> = self
            .limited()
            .map(|(upstream, statement)| LimitView {
                upstream: upstream.id.clone(),
                incarnation: upstream.incarnation,
                per_second: statement.rate.map(RequestRate::per_second),
                stated_ms: now.saturating_duration_since(statement.read).as_millis() as u64,
                wait_ms: self.waits.remaining(upstream, now).as_millis() as u64,
            })
            .collect();
        views.sort_by(|a, b| a.upstream.cmp(&b.upstream));
        views
    }

    /// Returns the upstreams that take no request for a while.
    pub fn waits(&self) -> &Waits {
        &self.waits
    }

    /// Decides about one request to `upstream`, which must be written at once if it may
    /// be sent. `draw` is a random number from 0 to 1.
    pub fn request(
        &mut self,
        upstream: &UpstreamKey,
        view: &View<'_>,
        draw: f64,
        now: Instant,
    ) -> Step {
        if self.rate(upstream).is_none() {
            return Step::Send;
        }
        let wait = self.waits.remaining(upstream, now);
        if !wait.is_zero() {
            return Step::Wait(wait);
        }
        let issuer = view.issuer(upstream).cloned();
        let report = self.statements.report(upstream, now);
        match (issuer, report) {
            (Some(issuer), _) if issuer == *view.own => {
                let wait = self.issue(upstream, view, draw, now);
                match self.finish(upstream, now, wait, now) {
                    Ok(()) => Step::Send,
                    Err(wait) => Step::Wait(wait),
                }
            }
            (Some(issuer), Some(report)) => Step::Ask(issuer, report),
            _ => Step::Wait(ISSUER_WAIT),
        }
    }

    /// Records the answer to an ask that was sent at `asked`: the time after which to ask
    /// again, or `None` for a permit.
    ///
    /// # Errors
    /// Returns the time for which nothing may be written to the upstream.
    pub fn finish(
        &mut self,
        upstream: &UpstreamKey,
        asked: Instant,
        wait: Option<Duration>,
        now: Instant,
    ) -> Result<(), Duration> {
        let is_late = now.saturating_duration_since(asked) > PERMIT_LIFETIME;
        let wait = if is_late { Some(Duration::ZERO) } else { wait };
        let Some(wait) = wait.map(|wait| wait.min(MAX_WAIT)) else {
            return Ok(());
        };
        self.waits.record(upstream, wait, now);
        Err(wait)
    }

    /// Answers a peer that asks for a permit. `view` is `None` if the upstream is unknown
    /// here.
    pub fn answer(
        &mut self,
        ask: &Ask,
        view: Option<&View<'_>>,
        draw: f64,
        now: Instant,
    ) -> Answer {
        let upstream = &ask.report.upstream;
        // A peer that knows other live entries or upstreams asks the wrong one.
        let own_view = view.filter(|view| view.issuer(upstream) == Some(view.own));
        let wait = match own_view {
            Some(view) => self.issue(upstream, view, draw, now),
            None => Some(ISSUER_WAIT),
        };
        Answer {
            number: ask.number,
            wait_ms: wait.map(|wait| wait.as_millis() as u64 + 1),
            report: self.statements.report(upstream, now),
        }
    }

    /// Issues a permit, or returns the time after which there may be one.
    fn issue(
        &mut self,
        upstream: &UpstreamKey,
        view: &View<'_>,
        draw: f64,
        now: Instant,
    ) -> Option<Duration> {
        let rate = self.rate(upstream)?;
        let share = reachable_share(view.live.len(), view.registered);
        let issued = self.issuer.issue(upstream, rate, share, draw, now);
        issued.err()
    }

    /// Returns the time after which a caller should return that is refused as all
    /// `upstreams` of its service limit their requests. Callers of all entries together
    /// return no faster than the limits allow.
    pub fn book_return<'a>(
        &mut self,
        refused: &Refused<'_>,
        upstreams: impl Iterator<Item = &'a UpstreamKey>,
        now: Instant,
    ) -> Duration {
        let rates = upstreams.filter_map(|upstream| self.statements.rate(upstream));
        let per_second: f64 = rates.map(RequestRate::per_second).sum();
        let part = per_second / refused.entries.max(1) as f64;
        let Refused {
            service,
            first,
            draw,
            ..
        } = *refused;
        self.returns.book(service, part, first, draw, now)
    }

    /// Discards what concerns upstreams that `is_registered` has not accepted for a while,
    /// and what is over.
    pub fn prune(&mut self, is_registered: impl Fn(&UpstreamKey) -> bool, now: Instant) {
        self.statements.prune(is_registered, now);
        let statements = &self.statements;
        self.issuer
            .prune(|upstream| statements.rate(upstream).is_some());
        self.waits.prune(now);
    }
}
