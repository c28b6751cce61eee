//! Asks another upstream while a run is silent, and keeps the run until the other one has
//! accepted the request.
//!
//! [`lycheehaven_dispatch::Silence`] decides when to ask, and which run goes on.

use std::pin::Pin;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::select_biased;
use lycheehaven_catalog::UpstreamKey;
use lycheehaven_dispatch::Activity;
use lycheehaven_dispatch::Candidate;
use lycheehaven_dispatch::MAX_OVERLAP;
use lycheehaven_dispatch::Silence;
use lycheehaven_dispatch::Verdict;
use lycheehaven_types::Name;
use tokio_util::sync::CancellationToken;

use crate::attempt;
use crate::attempt::Job;
use crate::attempt::Outcome;
use crate::attempt::ResumePoint;
use crate::attempt::Target;
use crate::attempt::UpstreamResponse;
use crate::continuation;
use crate::node::Node;
use crate::pick;
use crate::quarantine;
use crate::quarantine::Permission;
use crate::schedule::TOO_LATE;
use crate::serve;

/// What the attempts of a request leave for the next one.
#[derive(Debug, Default)]
pub(crate) struct Tries {
    /// Upstreams that are not tried again.
    pub(crate) tried: Vec<UpstreamKey>,
    /// Whether the retry budget has paid for a further attempt that was not sent yet.
    pub(crate) is_paid: bool,
    /// Whether one of the attempts noted here may have run.
    pub(crate) may_have_run: bool,
}

impl Tries {
    /// Takes a retry out of the budget, unless one is paid for already. Returns whether
    /// the next attempt is paid for.
    pub(crate) fn pay(&mut self, node: &Node, service: &Name) -> bool {
        self.is_paid = self.is_paid || serve::take_retry(node, service, node.now());
        self.is_paid
    }

    /// Notes an attempt that may have run.
    pub(crate) fn add(&mut self, key: &UpstreamKey) {
        self.tried.push(key.clone());
        self.is_paid = false;
        self.may_have_run = true;
    }

    /// Notes an attempt. One that the upstream did not run may be made again, but was paid
    /// for.
    pub(crate) fn record(&mut self, key: &UpstreamKey, outcome: &Outcome) {
        match outcome {
            Outcome::Responded(_) | Outcome::Lost(_) => self.add(key),
            Outcome::Refused(_) => self.is_paid = false,
            Outcome::Unreachable(_) | Outcome::NoPermit(_) => {}
        }
    }
}

/// How the silence of a run ended, for metrics.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Ending {
    /// The run went on.
    WentOn,
    /// Another upstream accepted the request.
    Moved,
    /// The run was given up for an upstream that had not answered yet.
    GivenUp,
    /// The connection broke.
    Broke,
    /// The request's deadline passed.
    Expired,
    /// The caller left.
    Abandoned,
}

impl Ending {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::WentOn => "went_on",
            Self::Moved => "moved",
            Self::GivenUp => "given_up",
            Self::Broke => "broke",
            Self::Expired => "expired",
            Self::Abandoned => "abandoned",
        }
    }
}

/// A request that is being sent to another upstream while its run is silent.
pub(crate) struct Ask {
    pub(crate) target: Target,
    /// Cancelled when the request is written.
    written: CancellationToken,
    sending: Pin<Box<dyn Future<Output = Outcome>>>,
}

impl Ask {
    /// Begins to send `job` to `target`. Dropping the ask cancels the request there. The
    /// caller counts the send.
    pub(crate) fn send(
        node: &Rc<Node>,
        job: &Rc<Job>,
        target: Target,
        resume: ResumePoint,
    ) -> Self {
        let written = CancellationToken::new();
        let (node, job) = (node.clone(), job.clone());
        let (chosen, signal) = (target.clone(), written.clone());
        let sending = async move {
            let deadline = job.schedule.deadline;
            attempt::send_uncounted(&node, &job, &chosen, &resume, deadline, &signal).await
        };
        Self {
            target,
            written,
            sending: Box::pin(sending),
        }
    }

    /// Returns the future of its outcome.
    pub(crate) fn outcome(&mut self) -> Pin<&mut dyn Future<Output = Outcome>> {
        self.sending.as_mut()
    }

    /// Waits until the request is written, or returns the outcome if it comes first.
    pub(crate) async fn written(&mut self) -> Option<Outcome> {
        let written = self.written.clone();
        select_biased! {
            outcome = self.outcome().fuse() => Some(outcome),
            () = pin!(written.cancelled().fuse()) => None,
        }
    }

    /// Counts the attempt as it is cancelled. One that was not written has not run.
    pub(crate) fn cancel(self, job: &Job, tries: &mut Tries) {
        if self.written.is_cancelled() {
            let key = &self.target.upstream.key;
            job.sends.add(key);
            tries.add(key);
        }
    }
}

/// A silent run and the request that it belongs to.
pub(crate) struct SilentRun<'a> {
    pub(crate) node: &'a Rc<Node>,
    pub(crate) job: &'a Rc<Job>,
    pub(crate) key: &'a UpstreamKey,
    pub(crate) activity: &'a Activity,
    pub(crate) stage: Stage,
}

/// How far a silent run has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Its response has no head yet, and its send is not counted.
    Head,
    /// It produces the events of a stream.
    Events,
}

impl SilentRun<'_> {
    /// Chooses another upstream and begins to send the request there.
    ///
    /// # Errors
    /// Returns why none is asked now.
    fn ask(
        &self,
        silence: &Silence,
        tries: &mut Tries,
        resume: ResumePoint,
    ) -> Result<Ask, &'static str> {
        let Self { node, job, .. } = self;
        let uncounted = u32::from(self.stage == Stage::Head);
        let delivered = job.sends.count() + uncounted;
        if delivered >= job.route.max_attempts {
            return Err("the route allows no further attempt");
        }
        match quarantine::check(node, &job.features) {
            Ok(Permission::Plain) => {}
            Ok(Permission::Trial) | Err(_) => {
                return Err("the request has a suspect or quarantined feature");
            }
        }
        let now = node.now();
        if !job.schedule.may_go_on(resume.done, now) {
            return Err(TOO_LATE);
        }
        let mut excluded = tries.tried.clone();
        excluded.push(self.key.clone());
        excluded.extend(node.loads.borrow().silent(now).cloned());
        let target = pick::pick_target(node, job, &excluded, Permission::Plain, now)
            .map_err(pick::Unpicked::message)?;
        let activity = node.loads.borrow_mut().activity(&target.upstream.key);
        let candidate = Candidate {
            expected_delay: target.expected_delay,
            activity: &activity,
            is_last: delivered + 1 >= job.route.max_attempts,
        };
        if !silence.is_worth_asking(&candidate, self.activity, now) {
            return Err("no other upstream is expected to answer soon enough");
        }
        if !tries.pay(node, &job.service) {
            return Err("the retry budget of the service is exhausted");
        }
        Ok(Ask::send(node, job, target, resume))
    }

    /// Asks another upstream, while `input` waits for what the silent run receives.
    pub(crate) async fn race<T>(
        &self,
        silence: &mut Silence,
        tries: &mut Tries,
        resume: ResumePoint,
        input: impl Future<Output = T>,
        is_lost: impl Fn(&T) -> bool,
    ) -> Raced<T> {
        self.note(silence);
        let mut ask = match self.ask(silence, tries, resume) {
            Ok(ask) => ask,
            Err(reason) => return self.stay(silence, "-", reason),
        };
        let upstream = ask.target.upstream.key.id.clone();
        let written = ask.written.clone();
        let overlap = async {
            written.cancelled().await;
            compio::time::sleep(MAX_OVERLAP).await;
        };
        let first = select_biased! {
            input = pin!(input.fuse()) => First::Input(input),
            outcome = ask.outcome().fuse() => First::Outcome(outcome),
            () = pin!(overlap.fuse()) => First::Neither,
        };
        match first {
            First::Input(input) if is_lost(&input) => Raced::Lost(input, ask),
            First::Input(input) => {
                ask.cancel(self.job, tries);
                Raced::Heard(input)
            }
            First::Outcome(Outcome::Responded(response)) if self.is_usable(&response) => {
                Raced::Accepted(response)
            }
            First::Outcome(outcome) => {
                let reason = refusal(&outcome);
                let key = &ask.target.upstream.key;
                self.job.sends.record_run(key, &outcome);
                tries.record(key, &outcome);
                self.stay(silence, &upstream, reason)
            }
            First::Neither => self.decide(silence, tries, ask),
        }
    }

    /// Whether the run is left for this response.
    fn is_usable(&self, response: &UpstreamResponse) -> bool {
        match self.stage {
            Stage::Head => response.response.status().is_success(),
            Stage::Events => continuation::may_continue(self.node, self.job, response),
        }
    }

    /// Decides by what is known of both upstreams, as neither was heard.
    fn decide<T>(&self, silence: &mut Silence, tries: &mut Tries, ask: Ask) -> Raced<T> {
        let now = self.node.now();
        let key = &ask.target.upstream.key;
        let other = self.node.loads.borrow_mut().activity(key);
        let reason = match silence.verdict(self.activity, &other, now) {
            Verdict::Leave => return Raced::GivenUp(ask),
            Verdict::StayHeard => "the silent upstream is heard on other connections",
            Verdict::StayShort => "the other upstream did not answer soon enough",
            Verdict::StayBothSilent => "both upstreams are silent",
        };
        let upstream = key.id.clone();
        silence.note_vain_ask();
        ask.cancel(self.job, tries);
        self.stay(silence, &upstream, reason)
    }

    /// Logs once for each silence that it matters.
    fn note(&self, silence: &mut Silence) {
        if silence.note() {
            let silent = silence.length(self.node.now());
            log::info!(
                target: "lycheehaven",
                request = self.job.id(), route = &*self.job.route.name,
                upstream = &*self.key.id, silent_ms = silent.as_millis() as u64;
                "the upstream says nothing; the request is kept there and another upstream is asked"
            );
        }
    }

    fn stay<T>(&self, silence: &mut Silence, other: &str, reason: &'static str) -> Raced<T> {
        let now = self.node.now();
        log::debug!(
            target: "lycheehaven",
            request = self.job.id(), upstream = &*self.key.id, other = other,
            silent_ms = silence.length(now).as_millis() as u64, reason = reason;
            "the request stays at the silent upstream"
        );
        silence.postpone(now);
        Raced::Stayed
    }

    /// Records how a silence that mattered ended, for which another upstream may have been
    /// chosen.
    pub(crate) fn end(&self, silent: Duration, ending: Ending, other: Option<&str>) {
        let ending = match ending {
            Ending::Broke if self.job.schedule.until_deadline(self.node.now()).is_zero() => {
                Ending::Expired
            }
            ending => ending,
        };
        self.node.metrics.record_silence(ending.name());
        log::info!(
            target: "lycheehaven",
            request = self.job.id(), route = &*self.job.route.name,
            upstream = &*self.key.id, silent_ms = silent.as_millis() as u64,
            outcome = ending.name(), other = other.unwrap_or("-");
            "the silence of an upstream ended for a request"
        );
    }
}

/// What happened first.
enum First<T> {
    Input(T),
    Outcome(Outcome),
    Neither,
}

/// The result of an ask.
pub(crate) enum Raced<T> {
    /// The silent run received something; the ask was cancelled.
    Heard(T),
    /// The silent run is lost; the ask goes on.
    Lost(T, Ask),
    /// Another upstream accepted the request.
    Accepted(Box<UpstreamResponse>),
    /// The silent run is to be given up for the ask.
    GivenUp(Ask),
    /// The silent run is kept, and is still silent.
    Stayed,
}

/// Returns why an outcome is no reason to leave a silent run.
fn refusal(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Responded(_) => "the response of the other upstream is not usable",
        Outcome::Unreachable(_) => "the other upstream could not be reached",
        Outcome::NoPermit(_) => "there is no permit for the other upstream",
        Outcome::Refused(_) => "the other upstream refused the request",
        Outcome::Lost(_) => "the other upstream gave no usable response",
    }
}
