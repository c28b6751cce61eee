//! Applies the request rates that upstreams state.
//!
//! [`lycheehaven_permits`] decides. This module tells it what responses and peers state,
//! obtains and issues permits, and logs each change.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_channel::oneshot;
use lycheehaven_catalog::Upstream;
use lycheehaven_catalog::UpstreamKey;
use lycheehaven_permits::Answer;
use lycheehaven_permits::Ask;
use lycheehaven_permits::ISSUER_WAIT;
use lycheehaven_permits::Report;
use lycheehaven_permits::Statement;
use lycheehaven_permits::Step;
use lycheehaven_permits::View;
use lycheehaven_types::Name;
use lycheehaven_types::RequestRate;
use lycheehaven_types::StatedRate;

use crate::exchange;
use crate::message::Datagram;
use crate::node::Node;

/// Longest wait for the answer of the entry that issues permits.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);

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
    let changed = node.permits.borrow_mut().record(upstream, statement);
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
    apply_change(node, upstream, "response", request);
}

/// Applies what a peer reports.
pub(crate) fn apply_reports(node: &Node, reports: &[Report], peer: &str) {
    let now = node.now();
    for report in reports {
        if node.directory.borrow().get(&report.upstream).is_none() {
            continue;
        }
        let changed = node.permits.borrow_mut().merge(report, now);
        if changed {
            apply_change(node, &report.upstream, peer, "-");
        }
    }
}

/// Counts and logs a request that is written to an upstream that states a rate.
pub(crate) fn log_send(node: &Node, upstream: &UpstreamKey, request: &str) {
    if let Some(rate) = node.permits.borrow().rate(upstream) {
        node.metrics.limited_sends.inc();
        log::debug!(
            target: "lycheehaven",
            upstream = &*upstream.id, request = request, per_second = rate.per_second();
            "sending a request to an upstream that limits its requests"
        );
    }
}

/// Obtains a permit for one request to `upstream` if it limits its requests. The request
/// must be written at once.
///
/// # Errors
/// Returns the time after which there may be a permit.
pub(crate) async fn acquire(node: &Rc<Node>, upstream: &Upstream) -> Result<(), Duration> {
    let key = &upstream.key;
    if node.permits.borrow().rate(key).is_none() {
        return Ok(());
    }
    let asked = node.now();
    let step = with_view(node, &upstream.domain, asked, |view| {
        let mut permits = node.permits.borrow_mut();
        permits.request(key, view, rand::random(), asked)
    });
    let (issuer, report) = match step {
        Step::Send => return Ok(()),
        Step::Wait(wait) => return Err(wait),
        Step::Ask(issuer, report) => (issuer, report),
    };
    let wait = ask(node, &issuer, report).await;
    let now = node.now();
    let mut permits = node.permits.borrow_mut();
    permits.finish(key, asked, wait, now)
}

/// Calls `decide` with the entries as this one sees them, for an upstream in `domain`.
fn with_view<T>(
    node: &Node,
    domain: &Name,
    now: Instant,
    decide: impl FnOnce(&View<'_>) -> T,
) -> T {
    let roster = node.roster.borrow();
    decide(&View {
        own: &node.settings.name,
        in_domain: roster.live(Some(domain), now),
        live: roster.live(None, now),
        registered: roster.count(),
    })
}

/// Removes an ask that is no longer waited for.
struct OpenAsk<'a> {
    node: &'a Node,
    number: u64,
}

impl Drop for OpenAsk<'_> {
    fn drop(&mut self) {
        self.node.open_asks.borrow_mut().remove(&self.number);
    }
}

/// Asks `issuer` for a permit. Returns the time after which there may be one if it issues
/// none, or does not answer.
async fn ask(node: &Rc<Node>, issuer: &Name, report: Report) -> Option<Duration> {
    let addr = node.roster.borrow().address(issuer);
    let (Some(addr), Some(socket)) = (addr, node.peer_socket()) else {
        return Some(ISSUER_WAIT);
    };
    let number = rand::random();
    let (sender, receiver) = oneshot::channel();
    node.open_asks.borrow_mut().insert(number, sender);
    let _open = OpenAsk { node, number };
    let ask = Ask {
        number,
        from: node.settings.name.clone(),
        report,
    };
    exchange::send_to(socket, Datagram::Ask(ask).encode(), addr).await;
    match compio::time::timeout(ASK_TIMEOUT, receiver).await {
        Ok(Ok(wait)) => wait,
        Ok(Err(_)) | Err(_) => Some(ISSUER_WAIT),
    }
}

/// Answers a peer that asks for a permit.
pub(crate) fn handle_ask(node: &Node, ask: &Ask) -> Answer {
    apply_reports(node, std::slice::from_ref(&ask.report), &ask.from);
    let now = node.now();
    let directory = node.directory.borrow();
    let mut permits = node.permits.borrow_mut();
    let Some(upstream) = directory.get(&ask.report.upstream) else {
        return permits.answer(ask, None, rand::random(), now);
    };
    with_view(node, &upstream.domain, now, |view| {
        permits.answer(ask, Some(view), rand::random(), now)
    })
}

/// Passes on the answer of a peer that was asked for a permit.
pub(crate) fn handle_answer(node: &Node, answer: &Answer) {
    if let Some(report) = &answer.report {
        apply_reports(node, std::slice::from_ref(report), "issuer");
    }
    let asked = node.open_asks.borrow_mut().remove(&answer.number);
    if let Some(sender) = asked {
        // The request may have been dropped.
        let _ = sender.send(answer.wait_ms.map(Duration::from_millis));
    }
}

fn apply_change(node: &Node, upstream: &UpstreamKey, source: &str, request: &str) {
    let rate = node.permits.borrow().rate(upstream);
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
