//! Applies what upstreams say of themselves in their responses: that they are leaving,
//! or want no requests for some time.

use lycheehaven_adapter::upstream::Notice;
use lycheehaven_catalog::UpstreamKey;
use lycheehaven_types::RetryAfter;

use crate::node::Node;

/// Applies what the response to `request` says of the upstream that sent it.
pub(crate) fn apply(node: &Node, upstream: &UpstreamKey, notice: &Notice, request: &str) {
    if notice.leaving {
        node.mark_leaving(upstream, "response", request);
    }
    if let Some(retry_after) = notice.pause {
        pause(node, upstream, retry_after, request);
    }
}

fn pause(node: &Node, upstream: &UpstreamKey, retry_after: RetryAfter, request: &str) {
    let now = node.now();
    let length = retry_after.pause();
    if retry_after.is_adjusted() {
        log::warn!(
            target: "lycheehaven",
            upstream = &*upstream.id, request = request,
            asked = format!("{retry_after:?}").as_str(), used_ms = length.as_millis() as u64;
            "the pause that an upstream asks for is unusable; another one is used"
        );
    }
    let recorded = node.pauses.borrow_mut().record(upstream, length, now);
    if let Some(pause) = recorded {
        log::info!(
            target: "lycheehaven",
            upstream = &*upstream.id, born = upstream.incarnation, request = request,
            pause_ms = pause.remaining(now).as_millis() as u64;
            "upstream wants no requests from this entry for a while"
        );
    }
}
