//! Applies what upstreams say of themselves in their responses: that they are leaving,
//! or want no requests for some time.

use std::time::Duration;

use lycheehaven_adapter::upstream::Notice;
use lycheehaven_adapter::upstream::PauseRequest;
use lycheehaven_catalog::UpstreamKey;
use lycheehaven_dispatch::MAX_PAUSE;
use lycheehaven_dispatch::UNREADABLE_PAUSE;

use crate::node::Node;

/// Applies what the response to `request` says of the upstream that sent it.
pub(crate) fn apply(node: &Node, upstream: &UpstreamKey, notice: Notice, request: &str) {
    if notice.leaving {
        node.mark_leaving(upstream, "response", request);
    }
    match notice.pause {
        None => (),
        Some(PauseRequest::For(length)) => {
            if length > MAX_PAUSE {
                log_unusual(upstream, request, "it is too long", MAX_PAUSE);
            }
            pause(node, upstream, length, request);
        }
        Some(PauseRequest::Unreadable) => {
            log_unusual(upstream, request, "it can't be read", UNREADABLE_PAUSE);
            pause(node, upstream, UNREADABLE_PAUSE, request);
        }
    }
}

fn pause(node: &Node, upstream: &UpstreamKey, length: Duration, request: &str) {
    let now = node.now();
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

fn log_unusual(upstream: &UpstreamKey, request: &str, cause: &str, used: Duration) {
    log::warn!(
        target: "lycheehaven",
        upstream = &*upstream.id, request = request, cause = cause,
        used_ms = used.as_millis() as u64;
        "the pause that an upstream asks for is unusable; another one is used"
    );
}
