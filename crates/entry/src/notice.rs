//! Applies what upstreams say of themselves in their responses: that they are leaving,
//! or want no requests for some time.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::Incarnation;
use lycheehaven_types::Name;
use lycheehaven_upstream::UpstreamNotice;

use crate::evacuate;
use crate::evacuate::NoticeOrigin;
use crate::node::Node;
use crate::permits;
use crate::watch::leaving_notice;

/// Time until an upstream ends that says it is leaving, but not when.
const ASSUMED_TIME_LEFT: Duration = Duration::from_secs(2);

/// Applies the notice in a response of the upstream on `vm` to `request`, which was sent
/// at `sent`.
pub(crate) fn apply(
    node: &Rc<Node>,
    vm: &Name,
    incarnation: Incarnation,
    notice: UpstreamNotice,
    sent: Instant,
    request: &str,
) {
    permits::record_stated(node, vm, incarnation, notice.rate, sent, request);
    if notice.leaving && !node.leaving_vms.borrow().contains(vm, incarnation) {
        log::info!(target: "leaving", vm = &**vm, request = request; "an upstream states in a response that it is leaving");
        let notice = leaving_notice(vm, incarnation, ASSUMED_TIME_LEFT);
        evacuate::handle_leaving(node, vec![notice], NoticeOrigin::Direct);
    }
    let Some(retry_after) = notice.pause else {
        return;
    };
    let pause = retry_after.pause();
    if retry_after.is_adjusted() {
        log::warn!(
            target: "routing",
            vm = &**vm, request = request,
            asked = format!("{retry_after:?}").as_str(), used_ms = pause.as_millis() as u64;
            "the pause that an upstream asks for is unusable; another one is used"
        );
    }
    let ends = node.now() + pause;
    if node.upstreams.borrow_mut().pause(vm, incarnation, ends) {
        log::info!(
            target: "routing",
            vm = &**vm, request = request, pause_ms = pause.as_millis() as u64;
            "upstream wants no requests from this entry for a while"
        );
    }
}
