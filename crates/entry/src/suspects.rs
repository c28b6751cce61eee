//! Requests and prompt parts that crash upstreams, and the coordination between
//! entries of running suspect requests.

use std::rc::Rc;

use futures_util::future::join_all;
use lycheehaven_catalog::UpstreamKey;
use lycheehaven_net::sleep_ms;
use lycheehaven_quarantine::Admission;
use lycheehaven_quarantine::BrokenRun;
use lycheehaven_quarantine::Feature;
use lycheehaven_quarantine::News;
use lycheehaven_quarantine::Progress;
use lycheehaven_quarantine::Quarantine;
use lycheehaven_quarantine::Suspect;
use lycheehaven_quarantine::SuspectView;
use lycheehaven_streams::Phase;
use lycheehaven_types::Digest;
use lycheehaven_types::ErrorKind;
use lycheehaven_types::Failure;
use lycheehaven_types::Incarnation;
use lycheehaven_types::Name;
use lycheehaven_upstream::protocol::shared_parts;
use serde_json::Map;
use serde_json::Value;

use crate::node::Node;
use crate::peer_client;
use crate::record::Record;
use crate::wire::CrashReport;
use crate::wire::SuspectReply;

/// Largest number of crashes, and of decisions, in a message of the exchange.
const MAX_REPORTS: usize = 4;

/// Interval between checks for decisions that are due, in milliseconds.
const DECISION_INTERVAL_MS: u64 = 200;

/// Returns the initial state. An entry learns of most entries' crashes from others.
pub(crate) fn new_quarantine() -> Quarantine {
    let mut quarantine = Quarantine::new(MAX_REPORTS).trying_early();
    quarantine.set_relay(true);
    quarantine
}

/// Returns the features by which a request is recognized.
pub(crate) fn features(request: Digest, service: &str, body: &Map<String, Value>) -> Rc<[Feature]> {
    let parts = shared_parts(body);
    let parts = parts.iter().map(|part| Feature::part(service, part));
    std::iter::once(Feature::Request(request))
        .chain(parts)
        .collect()
}

fn wall_ms(node: &Node) -> i64 {
    node.wall_millis() as i64
}

/// Returns why a request must not be sent now, if it has a quarantined feature. `sent`
/// states whether it was sent before.
pub(crate) fn refusal(node: &Node, features: &[Feature], sent: bool) -> Option<Failure> {
    let quarantine = node.quarantine.borrow();
    let wall_ms = wall_ms(node);
    let Admission::Quarantined(wait) = quarantine.admission(features, wall_ms, node.now()) else {
        return None;
    };
    // The request as a whole comes first among its features. It has run if it is
    // quarantined itself.
    if sent || quarantine.is_quarantined(&features[..1], wall_ms) {
        let message =
            "the request, or a part of its prompt, is quarantined because it crashed upstreams";
        return Some(Failure::new(ErrorKind::Quarantined, message));
    }
    let message = "a part of the prompt is quarantined because it crashed upstreams";
    Some(Failure::new(ErrorKind::Suspended, message).retry_after(wait))
}

/// Returns whether a request has a suspect feature, and therefore must not share an
/// upstream with other suspects, or must wait for a decision.
pub(crate) fn admission(node: &Node, record: &Record) -> Admission {
    let quarantine = node.quarantine.borrow();
    quarantine.admission(&record.features, wall_ms(node), node.now())
}

/// Records that an upstream was lost while it ran a request, and tells the live peers
/// before the caller learns of the failure, so that a retry at another entry finds it
/// known there.
pub(crate) async fn record_loss(
    node: &Rc<Node>,
    record: &Record,
    upstream: (&Name, Incarnation),
    progress: Progress,
    is_trial: bool,
) {
    let key = UpstreamKey {
        id: upstream.0.clone(),
        incarnation: upstream.1.0,
    };
    let run = BrokenRun {
        features: &record.features,
        upstream: &key,
        sent: record.attempted.get(),
        progress,
        is_trial,
    };
    let (now, wall_ms) = (node.now(), wall_ms(node));
    let suspects = {
        let mut quarantine = node.quarantine.borrow_mut();
        quarantine.record_broken(&run, now);
        quarantine.record_down(&key, wall_ms, now)
    };
    let evidence = Suspect::summarize(&suspects);
    log::warn!(
        target: "lycheehaven",
        request = record.request.id.as_str(), vm = &**upstream.0,
        progress = format!("{progress:?}").as_str(), trial = is_trial,
        evidence = evidence.as_str();
        "the upstream was lost while it ran the request; the loss counts against its features"
    );
    send_report(node, &record.features, None).await;
}

/// Records that a request was answered in full.
pub(crate) fn record_answered(node: &Node, record: &Record) {
    let lifted = node.quarantine.borrow_mut().record_answered(
        &record.features,
        record.attempted.get(),
        wall_ms(node),
        node.now(),
    );
    log_lifted(&lifted);
}

/// Records that the answer to a request goes on, some time after it began.
pub(crate) fn record_proven(node: &Node, record: &Record) {
    let lifted = node.quarantine.borrow_mut().record_proven(
        &record.features,
        record.attempted.get(),
        wall_ms(node),
        node.now(),
    );
    log_lifted(&lifted);
}

/// Merges what a peer knows.
pub(crate) fn merge(node: &Node, news: &News, from: &Name) {
    if news.is_empty() {
        return;
    }
    let mut quarantine = node.quarantine.borrow_mut();
    let decided = quarantine.merge(news, wall_ms(node), node.now());
    drop(quarantine);
    log_decisions(&decided, from);
}

/// Makes the decisions that are due and forgets what is outdated, until the entry stops.
pub(crate) async fn decide_due(node: Rc<Node>) {
    while !node.stop.is_cancelled() {
        let (now, wall_ms) = (node.now(), wall_ms(&node));
        let decided = {
            let mut quarantine = node.quarantine.borrow_mut();
            quarantine.prune(wall_ms, now);
            quarantine.decide_due(wall_ms, now)
        };
        log_decisions(&decided, &node.settings.name);
        sleep_ms(DECISION_INTERVAL_MS).await;
    }
}

/// Returns the suspect and quarantined features, for operators.
pub(crate) fn views(node: &Node) -> Vec<SuspectView> {
    let suspects = node.quarantine.borrow().suspects(node.now());
    suspects.iter().map(|s| s.view(wall_ms(node))).collect()
}

/// Lifts the quarantine of a feature, as an operator demands. Returns whether it was
/// quarantined.
pub(crate) fn lift(node: &Node, feature: &Feature) -> bool {
    let lifted = node.quarantine.borrow_mut().lift(feature, wall_ms(node));
    log::warn!(target: "lycheehaven", feature = feature.to_string().as_str(), lifted = lifted; "an operator lifted the quarantine of a feature");
    lifted
}

fn log_lifted(features: &[Feature]) {
    for feature in features {
        log::warn!(target: "lycheehaven", feature = feature.to_string().as_str(); "a request with a quarantined feature was answered; lifted its quarantine");
    }
}

fn log_decisions(decided: &[Suspect], source: &str) {
    for suspect in decided {
        let quarantined = suspect
            .decision
            .is_some_and(|decision| decision.quarantined);
        let crashed: Vec<&str> = suspect.crashes.iter().map(|(key, _)| &*key.id).collect();
        log::warn!(
            target: "lycheehaven",
            feature = suspect.feature.to_string().as_str(), source = source,
            quarantined = quarantined, weight = suspect.weight, threshold = suspect.threshold,
            vms = crashed.join(", ").as_str();
            "the decision on a feature of requests changed"
        );
    }
}

/// Announces to the live peers that a suspect is about to run at `target`,
/// which this entry has reserved for it. Returns whether it may run: it is not
/// quarantined, no other suspect occupies `target`, and no peer objects.
pub(crate) async fn may_run(node: &Rc<Node>, record: &Record, target: &Name) -> bool {
    let replies = send_report(node, &record.features, Some(target.clone())).await;
    let suspects = node
        .upstreams
        .borrow()
        .get(target)
        .map_or(0, |upstream| upstream.suspects);
    let contended = suspects > 1;
    refusal(node, &record.features, true).is_none()
        && !contended
        && replies.iter().all(|reply| *reply == SuspectReply::Free)
}

/// Merges a peer's report, and returns whether this entry objects to the
/// announced attempt. If requests with the same suspect feature wait for an upstream
/// at both entries, the one whose name sorts first has precedence.
pub(crate) fn handle_report(node: &Node, report: &CrashReport) -> SuspectReply {
    merge(node, &report.news, &report.entry);
    let Some(target) = &report.target else {
        return SuspectReply::Free;
    };
    if node
        .upstreams
        .borrow()
        .get(target)
        .is_some_and(|upstream| upstream.suspects > 0)
    {
        return SuspectReply::Occupied;
    }
    let quarantine = node.quarantine.borrow();
    let suspects = quarantine.suspects_among(&report.features);
    let records = node.records.borrow();
    let same = records.values().filter(|record| {
        let mut features = record.features.iter();
        features.any(|feature| suspects.contains(feature))
    });
    let mut conflicting = same.filter(|record| match record.stream.borrow().phase() {
        Phase::Running(_) => true,
        Phase::Waiting => node.settings.name < report.entry && record.has_readers(),
        Phase::Finished(_) | Phase::Failed(..) => false,
    });
    if conflicting.next().is_some() {
        SuspectReply::Running
    } else {
        SuspectReply::Free
    }
}

async fn send_report(
    node: &Rc<Node>,
    features: &[Feature],
    target: Option<Name>,
) -> Vec<SuspectReply> {
    let report = CrashReport {
        features: features.to_vec(),
        news: node.quarantine.borrow().news_about(features, node.now()),
        entry: node.settings.name.clone(),
        target,
    };
    let addresses = peer_client::live_addresses(node);
    let sent = addresses
        .iter()
        .map(|(_, addr)| peer_client::send_crash_report(node, *addr, &report));
    // An unreachable peer is assumed to reach none of the same upstreams.
    join_all(sent).await.into_iter().flatten().collect()
}
