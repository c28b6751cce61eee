//! Coordination between entries of running suspect requests, which have lost
//! upstreams.

use std::rc::Rc;

use futures_util::future::join_all;
use lycheehaven_streams::Phase;
use lycheehaven_types::Digest;
use lycheehaven_types::Name;

use crate::node::Node;
use crate::peer_client;
use crate::record::Record;
use crate::wire::CrashReport;
use crate::wire::SuspectReply;

/// Announces to the live peers that a suspect is about to run at `target`,
/// which this entry has reserved for it. Returns whether it may run: the
/// request is not quarantined, and no entry runs it or another suspect at
/// `target`.
pub(crate) async fn may_run(node: &Rc<Node>, record: &Record, target: &Name) -> bool {
    let digest = record.request.digest;
    let replies = send_report(node, digest, Some(target.clone())).await;
    let quarantined = node
        .crash_tracker
        .borrow()
        .is_quarantined(digest, node.now());
    let suspects = node
        .upstreams
        .borrow()
        .get(target)
        .map_or(0, |upstream| upstream.suspects);
    let contended = suspects > 1;
    !quarantined && !contended && replies.iter().all(|reply| *reply == SuspectReply::Free)
}

/// Reports a request's losses, and whether it is quarantined, to the live
/// peers. Completes before the caller learns of the failure, so that a retry at
/// another entry finds them known there.
pub(crate) async fn report_losses(node: &Rc<Node>, digest: Digest) {
    if node.crash_tracker.borrow().is_suspect(digest) {
        send_report(node, digest, None).await;
    }
}

/// Merges a peer's report, and answers whether this entry objects to the
/// announced attempt.
pub(crate) fn handle_report(node: &Node, report: &CrashReport) -> SuspectReply {
    let mut crash_tracker = node.crash_tracker.borrow_mut();
    if report.quarantined {
        crash_tracker.quarantine(report.digest, &report.losses, node.now());
    } else {
        crash_tracker.merge(report.digest, &report.losses, node.now());
    }
    drop(crash_tracker);
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
    let records = node.records.borrow();
    let same = records
        .values()
        .filter(|record| record.request.digest == report.digest);
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

async fn send_report(node: &Rc<Node>, digest: Digest, target: Option<Name>) -> Vec<SuspectReply> {
    let report = {
        let crash_tracker = node.crash_tracker.borrow();
        CrashReport {
            digest,
            losses: crash_tracker.losses(digest).unwrap_or_default().to_vec(),
            quarantined: crash_tracker.is_quarantined(digest, node.now()),
            entry: node.settings.name.clone(),
            target,
        }
    };
    let addresses = peer_client::live_addresses(node);
    let sent = addresses
        .iter()
        .map(|(_, addr)| peer_client::send_crash_report(node, *addr, &report));
    // An unreachable peer is assumed to reach none of the same upstreams.
    join_all(sent).await.into_iter().flatten().collect()
}
