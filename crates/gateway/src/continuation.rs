//! What a response must show before its events follow those of an earlier run.

use hyper::StatusCode;
use lycheehaven_catalog::UpstreamKey;

use crate::attempt::Job;
use crate::attempt::Outcome;
use crate::attempt::UpstreamResponse;
use crate::node::Node;

/// Returns the response of a further attempt at `upstream` if it may continue a stream: it
/// is the upstream's own success and not declared as something else than events. Its
/// events are checked one by one, see [`lycheehaven_net::Continuity`].
pub(crate) fn accept(
    node: &Node,
    job: &Job,
    upstream: &UpstreamKey,
    outcome: Outcome,
) -> Option<Box<UpstreamResponse>> {
    let cause = match outcome {
        Outcome::Responded(response) => {
            return may_continue(node, job, &response).then_some(response);
        }
        Outcome::Refused(status) => format!("the upstream refused the request with {status}"),
        Outcome::NoPermit(_) => "there is no permit for a request to this upstream".into(),
        Outcome::Unreachable(cause) | Outcome::Lost(cause) => cause,
    };
    log_rejected(job, upstream, &cause);
    None
}

/// Whether a response may continue a stream.
pub(crate) fn may_continue(node: &Node, job: &Job, response: &UpstreamResponse) -> bool {
    let Some(cause) = objection(job, response) else {
        return true;
    };
    let key = &response.upstream.key;
    node.loads.borrow_mut().record_outcome(key, false);
    log_rejected(job, key, &cause);
    false
}

/// Returns why a response does not continue a stream.
fn objection(job: &Job, response: &UpstreamResponse) -> Option<String> {
    let software = &response.upstream.software;
    if job.software.get().is_some_and(|began| began != software) {
        return Some(format!("the upstream runs another software: {software}"));
    }
    let status = response.response.status();
    if status != StatusCode::OK {
        return Some(format!("the upstream returned status {status}"));
    }
    if response.head.plain {
        return Some("the response is declared as something else than events".into());
    }
    None
}

/// Logs that a further attempt does not continue a stream.
pub(crate) fn log_rejected(job: &Job, upstream: &UpstreamKey, cause: &str) {
    log::info!(
        target: "lycheehaven",
        request = job.id(),
        route = &*job.route.name,
        upstream = &*upstream.id,
        cause = cause;
        "the attempt at this upstream does not continue the stream"
    );
}
