//! Applies what is known of requests and prompt parts that crash upstreams.
//!
//! [`lycheehaven_quarantine`] decides. This module tells it what happens to the runs,
//! keeps requests from being sent, and logs each decision.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::PromptPart;
use lycheehaven_catalog::Upstream;
use lycheehaven_catalog::UpstreamKey;
use lycheehaven_quarantine::Admission;
use lycheehaven_quarantine::BrokenRun;
use lycheehaven_quarantine::Decision;
use lycheehaven_quarantine::Feature;
use lycheehaven_quarantine::News;
use lycheehaven_quarantine::Progress;
use lycheehaven_quarantine::Suspect;
use lycheehaven_types::Digest;
use lycheehaven_types::ErrorKind;
use lycheehaven_types::Failure;

use crate::attempt::Job;
use crate::node::Node;

/// Smallest value of the `Retry-After` header while another request with a suspect
/// feature is being tried, before jitter.
const MIN_BUSY_WAIT: Duration = Duration::from_millis(500);

/// Most crashes, trials and decisions in a message.
pub(crate) const MAX_REPORTS: usize = 32;

/// Most crashes that a log line lists.
const MAX_LOGGED_CRASHES: usize = 8;

/// Returns the features by which a request is recognized. The last part of a prompt
/// belongs to the request alone.
pub(crate) fn features(request: Digest, service: &str, prompt: &[PromptPart]) -> Rc<[Feature]> {
    let shared = &prompt[..prompt.len().saturating_sub(1)];
    let parts = shared.iter().map(|part| Feature::part(service, &part.id));
    std::iter::once(Feature::Request(request))
        .chain(parts)
        .collect()
}

/// A trial that this entry runs. It ends when this is dropped.
pub(crate) struct TrialGuard {
    node: Rc<Node>,
    number: u64,
    cancelled: Cell<bool>,
}

impl TrialGuard {
    /// Notes that the request did not run, so that the trial has no outcome.
    pub(crate) fn cancel(&self) {
        self.cancelled.set(true);
    }
}

impl fmt::Debug for TrialGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "TrialGuard({})", self.number)
    }
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        let mut quarantine = self.node.quarantine.borrow_mut();
        if self.cancelled.get() {
            quarantine.cancel_trial(self.number);
        } else {
            quarantine.end_trial(self.number, self.node.now());
        }
    }
}

/// Whether a request may be sent, and how.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Permission {
    /// As any other.
    Plain,
    /// As a trial.
    Trial,
}

/// Returns whether a request may be sent now.
///
/// # Errors
/// Fails if a feature of the request is quarantined, or is being tried elsewhere.
pub(crate) fn check(node: &Node, features: &[Feature]) -> Result<Permission, Failure> {
    let now = node.now();
    let quarantine = node.quarantine.borrow();
    if !quarantine.knows_any(features) {
        return Ok(Permission::Plain);
    }
    match quarantine.admission(features, node.wall_millis(), now) {
        Admission::Pass => Ok(Permission::Plain),
        Admission::Trial => Ok(Permission::Trial),
        Admission::Busy(left) => {
            let jitter: f64 = rand::random_range(0.75..1.25);
            let message = "the request has something in common with requests that crashed \
                           upstreams, and another one of these is being tried";
            let wait = left.max(MIN_BUSY_WAIT).mul_f64(jitter);
            Err(Failure::new(ErrorKind::Suspended, message).retry_after(wait))
        }
        Admission::Quarantined(left) => {
            let message = "the request, or a part of its prompt, is quarantined because it \
                           crashed several upstreams";
            Err(Failure::new(ErrorKind::Suspended, message).retry_after(left))
        }
    }
}

/// Whether a feature of the request is quarantined.
pub(crate) fn is_quarantined(node: &Node, features: &[Feature]) -> bool {
    let quarantine = node.quarantine.borrow();
    quarantine.knows_any(features) && quarantine.is_quarantined(features, node.wall_millis())
}

/// Begins a trial of a request at `upstream`.
pub(crate) fn begin_trial(node: &Rc<Node>, job: &Job, upstream: &UpstreamKey) -> TrialGuard {
    let number = rand::random();
    node.quarantine
        .borrow_mut()
        .begin_trial(number, &job.features, upstream, node.now());
    log::info!(
        target: "lycheehaven",
        request = job.id(), route = &*job.route.name, upstream = &*upstream.id,
        trial = number;
        "the request has a suspect feature; sending it as a trial"
    );
    TrialGuard {
        node: node.clone(),
        number,
        cancelled: Cell::new(false),
    }
}

/// Waits until a feature of the request is quarantined.
pub(crate) async fn quarantined(node: &Node, features: &[Feature]) {
    loop {
        let changed = node.decisions_changed.notified();
        if is_quarantined(node, features) {
            return;
        }
        changed.await;
    }
}

/// A run of a request at an upstream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunInfo {
    /// When the request was sent.
    pub(crate) sent: Instant,
    /// Whether it is a trial.
    pub(crate) is_trial: bool,
}

/// Records that the connection of a run broke.
pub(crate) fn record_broken(
    node: &Node,
    job: &Job,
    upstream: &Upstream,
    run: RunInfo,
    progress: Progress,
) {
    let parts: Vec<&str> = job.head.prompt.iter().map(|part| &*part.id).collect();
    log::info!(
        target: "lycheehaven",
        request = job.id(),
        route = &*job.route.name,
        upstream = &*upstream.key.id,
        digest = job.features[0].to_string().as_str(),
        prompt_parts = parts.join(",").as_str(),
        progress = format!("{progress:?}").as_str(),
        trial = run.is_trial;
        "the connection broke while the upstream ran the request"
    );
    let broken = BrokenRun {
        features: &job.features,
        upstream: &upstream.key,
        sent: run.sent,
        progress,
        is_trial: run.is_trial,
    };
    node.quarantine
        .borrow_mut()
        .record_broken(&broken, node.now());
}

/// Records that an upstream is down, and what the crash says about the requests that
/// it was running.
pub(crate) fn record_down(node: &Node, upstream: &UpstreamKey, cause: &str) {
    let (now, wall_ms) = (node.now(), node.wall_millis());
    let suspects = watch_decisions(node, || {
        node.quarantine
            .borrow_mut()
            .record_down(upstream, wall_ms, now)
    });
    if suspects.is_empty() {
        return;
    }
    let evidence = Suspect::summarize(&suspects);
    log::warn!(
        target: "lycheehaven",
        upstream = &*upstream.id, cause = cause, features = suspects.len(),
        evidence = evidence.as_str();
        "upstream went down while running requests; the crash counts against their features"
    );
    let decided_now =
        |suspect: &&Suspect| suspect.decision.is_some_and(|v| v.decided_ms == wall_ms);
    for suspect in suspects.iter().filter(decided_now) {
        log_decision(suspect, &node.settings.name);
    }
}

/// Makes the decisions that are due.
pub(crate) fn decide_due(node: &Node) {
    if !node.quarantine.borrow().has_suspects() {
        return;
    }
    let (now, wall_ms) = (node.now(), node.wall_millis());
    let decided = watch_decisions(node, || {
        node.quarantine.borrow_mut().decide_due(wall_ms, now)
    });
    for suspect in &decided {
        log_decision(suspect, &node.settings.name);
    }
}

/// Records that an upstream answered a request in full.
pub(crate) fn record_answered(node: &Node, features: &[Feature], began: Instant) {
    let (now, wall_ms) = (node.now(), decision_time(node, features));
    let lifted = watch_decisions(node, || {
        let mut quarantine = node.quarantine.borrow_mut();
        quarantine.record_answered(features, began, wall_ms, now)
    });
    log_lifted(node, &lifted);
}

/// Records that the answer to a request goes on, some time after it began.
pub(crate) fn record_proven(node: &Node, features: &[Feature], began: Instant) {
    let (now, wall_ms) = (node.now(), decision_time(node, features));
    let lifted = watch_decisions(node, || {
        let mut quarantine = node.quarantine.borrow_mut();
        quarantine.record_proven(features, began, wall_ms, now)
    });
    log_lifted(node, &lifted);
}

/// Returns the wall-clock time that a new decision on one of the features would state.
/// The time that the entries agree on is costly to compute, and rarely needed.
fn decision_time(node: &Node, features: &[Feature]) -> i64 {
    if node.quarantine.borrow().knows_any(features) {
        node.wall_millis()
    } else {
        0
    }
}

/// Applies what the peer `from` knows.
pub(crate) fn apply_news(node: &Node, news: &News, from: &str) {
    if news.is_empty() {
        return;
    }
    let (now, wall_ms) = (node.now(), node.wall_millis());
    let decided = watch_decisions(node, || {
        node.quarantine.borrow_mut().merge(news, wall_ms, now)
    });
    for suspect in &decided {
        log_decision(suspect, from);
    }
}

/// Adopts decisions from before this entry's start.
pub(crate) fn adopt(node: &Node, decisions: &[Decision]) {
    let adopted = watch_decisions(node, || node.quarantine.borrow_mut().adopt(decisions));
    log::info!(target: "lycheehaven", adopted = adopted.len(); "loaded the decisions on features of requests");
}

/// Lifts the quarantine of a feature, as an operator demands. Returns whether it was
/// quarantined.
pub(crate) fn lift(node: &Node, feature: &Feature) -> bool {
    let wall_ms = node.wall_millis();
    let lifted = watch_decisions(node, || node.quarantine.borrow_mut().lift(feature, wall_ms));
    log::warn!(target: "lycheehaven", feature = feature.to_string().as_str(), lifted = lifted; "an operator lifted the quarantine of a feature");
    lifted
}

/// Wakes the requests that wait for a change of the decisions if `change` makes one.
fn watch_decisions<T>(node: &Node, change: impl FnOnce() -> T) -> T {
    let before = node.quarantine.borrow().changes();
    let result = change();
    if node.quarantine.borrow().changes() != before {
        node.decisions_changed.notify_waiters();
    }
    result
}

fn log_decision(suspect: &Suspect, source: &str) {
    let Some(decision) = suspect.decision else {
        return;
    };
    let crashes = suspect.crashes.iter().take(MAX_LOGGED_CRASHES);
    let crashes: Vec<String> = crashes
        .map(|(upstream, age)| format!("{} {} ms ago", upstream.id, age.as_millis()))
        .collect();
    let feature = suspect.feature.to_string();
    if decision.quarantined {
        log::warn!(
            target: "lycheehaven",
            feature = feature.as_str(), source = source, weight = suspect.weight,
            threshold = suspect.threshold, crashes = crashes.join(", ").as_str(),
            answers_since = 0, times = decision.times;
            "quarantined a feature: upstreams crashed one after the other, and no request with it was answered since"
        );
    } else {
        log_lift(&suspect.feature, source);
    }
}

fn log_lifted(node: &Node, features: &[Feature]) {
    for feature in features {
        log_lift(feature, &node.settings.name);
    }
}

fn log_lift(feature: &Feature, source: &str) {
    log::warn!(target: "lycheehaven", feature = feature.to_string().as_str(), source = source; "the quarantine of a feature was lifted");
}
