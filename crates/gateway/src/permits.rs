//! Applies the request rates that upstreams state.
//!
//! [`lycheehaven_permits`] decides. This module tells it what responses and peers state,
//! and logs each change.

use std::time::Instant;

use lycheehaven_catalog::UpstreamKey;
use lycheehaven_permits::Report;
use lycheehaven_permits::Statement;
use lycheehaven_types::RequestRate;
use lycheehaven_types::StatedRate;

use crate::node::Node;

/// Records what a response to `request`, sent at `sent`, states about the rate of
/// requests to its sender. A response without a rate counts only if it `proves_end`: it
/// is the upstream's own response to this request.
pub(crate) fn record_stated(
    node: &Node,
    upstream: &UpstreamKey,
    stated: Option<StatedRate>,
    proves_end: bool,
    sent: Instant,
    request: &str,
) {
    if stated.is_none() && !proves_end {
        return;
    }
    let statement = Statement {
        rate: stated.map(|stated| stated.rate),
        sent,
        read: node.now(),
    };
    let changed = node.statements.borrow_mut().record(upstream, statement);
    if !changed {
        return;
    }
    if stated.is_some_and(|stated| stated.adjusted) {
        log::warn!(
            target: "lycheehaven",
            upstream = &*upstream.id, request = request;
            "the request rate that an upstream states is unusable; another one is used"
        );
    }
    log_change(node, upstream, "response", request);
}

/// Applies what a peer reports.
pub(crate) fn apply_reports(node: &Node, reports: &[Report], peer: &str) {
    let now = node.now();
    for report in reports {
        if !node.directory.borrow().is_registered(&report.upstream) {
            continue;
        }
        let changed = node.statements.borrow_mut().merge(report, now);
        if changed {
            log_change(node, &report.upstream, peer, "-");
        }
    }
}

/// Counts and logs a request that is written to an upstream that states a rate.
pub(crate) fn log_send(node: &Node, upstream: &UpstreamKey, request: &str) {
    if let Some(rate) = node.statements.borrow().rate(upstream) {
        node.metrics.limited_sends.inc();
        log::debug!(
            target: "lycheehaven",
            upstream = &*upstream.id, request = request, per_second = rate.per_second();
            "sending a request to an upstream that limits its requests"
        );
    }
}

fn log_change(node: &Node, upstream: &UpstreamKey, source: &str, request: &str) {
    let rate = node.statements.borrow().rate(upstream);
    let (id, born) = (&*upstream.id, upstream.incarnation);
    match rate.map(RequestRate::per_second) {
        Some(rate) => log::info!(
            target: "lycheehaven",
            upstream = id, born = born, source = source, request = request, per_second = rate;
            "upstream limits its requests; all entries together keep to the rate"
        ),
        None => log::info!(
            target: "lycheehaven",
            upstream = id, born = born, source = source, request = request;
            "upstream no longer limits its requests"
        ),
    }
}
