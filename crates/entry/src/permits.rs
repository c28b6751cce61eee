//! Applies the request rates that upstreams state.
//!
//! [`lycheehaven_permits`] decides. This module tells it what responses and peers state,
//! obtains and issues permits, and logs each change.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::UpstreamKey;
use lycheehaven_net::sleep_ms;
use lycheehaven_permits::Answer;
use lycheehaven_permits::Ask;
use lycheehaven_permits::ISSUER_WAIT;
use lycheehaven_permits::LimitView;
use lycheehaven_permits::Refused;
use lycheehaven_permits::Report;
use lycheehaven_permits::Statement;
use lycheehaven_permits::Step;
use lycheehaven_permits::View;
use lycheehaven_types::ErrorKind;
use lycheehaven_types::Failure;
use lycheehaven_types::Incarnation;
use lycheehaven_types::Name;
use lycheehaven_types::RequestRate;
use lycheehaven_types::StatedRate;

use crate::node::Node;
use crate::peer_client;

/// Longest wait for a permit for the rest of a moved stream.
const MAX_MOVE_WAIT: Duration = Duration::from_millis(1500);

/// Returns the key of the upstream on a VM.
fn key_of(vm: &Name, incarnation: Incarnation) -> UpstreamKey {
    UpstreamKey {
        id: vm.clone(),
        incarnation: incarnation.0,
    }
}

/// Records what a response of the upstream on `vm` to `request`, sent at `sent`, states
/// about the rate of requests.
pub(crate) fn record_stated(
    node: &Node,
    vm: &Name,
    incarnation: Incarnation,
    stated: Option<StatedRate>,
    sent: Instant,
    request: &str,
) {
    let statement = Statement {
        rate: stated.map(|stated| stated.rate),
        sent,
        read: node.now(),
    };
    let key = key_of(vm, incarnation);
    if !node.permits.borrow_mut().record(&key, statement) {
        return;
    }
    if stated.is_some_and(|stated| stated.adjusted) {
        log::warn!(
            target: "routing",
            vm = &**vm, request = request;
            "the request rate that an upstream states is unusable; another one is used"
        );
    }
    apply_change(node, &key, "response", request);
}

/// Applies what a peer reports.
pub(crate) fn apply_reports(node: &Node, reports: &[Report], peer: &str) {
    let now = node.now();
    for report in reports {
        let is_known = domain_of(node, &report.upstream).is_some();
        if is_known && node.permits.borrow_mut().merge(report, now) {
            apply_change(node, &report.upstream, peer, "-");
        }
    }
}

fn apply_change(node: &Node, key: &UpstreamKey, source: &str, request: &str) {
    let incarnation = Incarnation(key.incarnation);
    let mut upstreams = node.upstreams.borrow_mut();
    upstreams.set_permit_wait(&key.id, incarnation, None);
    match node.permits.borrow().rate(key).map(RequestRate::per_second) {
        Some(rate) => log::info!(
            target: "routing",
            vm = &*key.id, source = source, request = request, per_second = rate;
            "upstream limits its requests; all entries together keep to the rate"
        ),
        None => log::info!(
            target: "routing",
            vm = &*key.id, source = source, request = request;
            "upstream no longer limits its requests"
        ),
    }
}

/// Returns the failure domain of an upstream.
fn domain_of(node: &Node, key: &UpstreamKey) -> Option<Name> {
    let upstreams = node.upstreams.borrow();
    let upstream = upstreams.get(&key.id);
    let upstream = upstream.filter(|upstream| upstream.id.incarnation.0 == key.incarnation);
    upstream.map(|upstream| upstream.domain.clone())
}

/// Calls `decide` with the entries as this one sees them, for an upstream in `domain`.
fn with_view<T>(
    node: &Node,
    domain: &Name,
    now: Instant,
    decide: impl FnOnce(&View<'_>) -> T,
) -> T {
    let peers = node.peers.borrow();
    let alive = peers.alive(now);
    let own = &peers.local().name;
    let in_domain = alive
        .iter()
        .filter(|member| member.digest.domain == *domain)
        .map(|member| &member.digest.name);
    let own_in_domain = (*domain == node.settings.domain).then_some(own);
    decide(&View {
        own,
        in_domain: in_domain.chain(own_in_domain).collect(),
        live: alive
            .iter()
            .map(|member| &member.digest.name)
            .chain([own])
            .collect(),
        registered: node.topology().known,
    })
}

/// Obtains a permit for one request to the upstream on `vm` if it limits its requests.
/// The request must be written at once.
///
/// # Errors
/// Returns the time after which there may be a permit.
pub(crate) async fn acquire(
    node: &Rc<Node>,
    vm: &Name,
    incarnation: Incarnation,
) -> Result<(), Duration> {
    let key = key_of(vm, incarnation);
    if node.permits.borrow().rate(&key).is_none() {
        return Ok(());
    }
    let asked = node.now();
    let Some(domain) = domain_of(node, &key) else {
        return Ok(());
    };
    let step = with_view(node, &domain, asked, |view| {
        let mut permits = node.permits.borrow_mut();
        permits.request(&key, view, rand::random(), asked)
    });
    let result = match step {
        Step::Send => Ok(()),
        Step::Wait(wait) => Err(wait),
        Step::Ask(issuer, report) => {
            let wait = ask(node, &issuer, report).await;
            let now = node.now();
            node.permits.borrow_mut().finish(&key, asked, wait, now)
        }
    };
    if let Err(wait) = result {
        let until = node.now() + wait;
        let mut upstreams = node.upstreams.borrow_mut();
        upstreams.set_permit_wait(vm, incarnation, Some(until));
    }
    result
}

/// Obtains a permit for the rest of a moved stream, whose KV cache is at one upstream
/// alone. Returns whether there was one soon enough.
pub(crate) async fn acquire_for_move(node: &Rc<Node>, vm: &Name, incarnation: Incarnation) -> bool {
    let began = node.now();
    loop {
        let Err(wait) = acquire(node, vm, incarnation).await else {
            return true;
        };
        let waited = node.now().saturating_duration_since(began) + wait;
        if waited > MAX_MOVE_WAIT {
            return false;
        }
        sleep_ms(wait.as_millis() as u64 + 1).await;
    }
}

/// Asks `issuer` for a permit. Returns the time after which there may be one if it issues
/// none, or does not answer.
async fn ask(node: &Node, issuer: &Name, report: Report) -> Option<Duration> {
    let Some(addr) = node.peers.borrow().address(issuer) else {
        return Some(ISSUER_WAIT);
    };
    let ask = Ask {
        number: node.random(),
        from: node.settings.name.clone(),
        report,
    };
    match peer_client::ask_permit(node, addr, &ask).await {
        Ok(answer) => {
            if let Some(report) = &answer.report {
                apply_reports(node, std::slice::from_ref(report), issuer);
            }
            answer.wait_ms.map(Duration::from_millis)
        }
        Err(cause) => {
            let cause = format!("{cause:?}");
            log::debug!(target: "routing", peer = &**issuer, cause = cause.as_str(); "the entry that issues permits did not answer");
            Some(ISSUER_WAIT)
        }
    }
}

/// Answers a peer that asks for a permit.
pub(crate) fn handle_ask(node: &Node, ask: &Ask) -> Answer {
    apply_reports(node, std::slice::from_ref(&ask.report), &ask.from);
    let now = node.now();
    let domain = domain_of(node, &ask.report.upstream);
    let mut permits = node.permits.borrow_mut();
    match domain {
        Some(domain) => with_view(node, &domain, now, |view| {
            permits.answer(ask, Some(view), rand::random(), now)
        }),
        None => permits.answer(ask, None, rand::random(), now),
    }
}

/// Returns the failure of a request to a service all upstreams of which limit their
/// requests, and take none before `first` has passed.
pub(crate) fn limited(node: &Node, service: &str, first: Duration) -> Failure {
    let upstreams = node.upstreams.borrow();
    let keys: Vec<UpstreamKey> = upstreams
        .iter()
        .filter(|upstream| &*upstream.service == service && !upstream.leaving)
        .map(|upstream| key_of(&upstream.id.vm, upstream.id.incarnation))
        .collect();
    let refused = Refused {
        service: &service.into(),
        entries: node.topology().known,
        first,
        draw: rand::random(),
    };
    let mut permits = node.permits.borrow_mut();
    let wait = permits.book_return(&refused, keys.iter(), node.now());
    let message =
        format!("all upstreams of service {service} limit their requests and take no more now");
    Failure::new(ErrorKind::Overloaded, message).retry_after(wait)
}

/// Returns the limits that hold, for operators.
pub(crate) fn views(node: &Node) -> Vec<LimitView> {
    node.permits.borrow().views(node.now())
}
