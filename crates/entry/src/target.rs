//! Choice of the upstream of an attempt.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lycheehaven_net::sleep_ms;
use lycheehaven_quarantine::Admission;
use lycheehaven_routing::Closed;
use lycheehaven_routing::Query;
use lycheehaven_types::ErrorKind;
use lycheehaven_types::Incarnation;
use lycheehaven_types::Name;

use crate::complete;
use crate::node::Node;
use crate::permits;
use crate::record::Record;
use crate::shutdown;
use crate::shutdown::Work;
use crate::suspects;

/// Pause before the next attempt to choose an upstream when none is usable.
const RETRY_MS: u64 = 50;

/// Time after which a request fails if no upstream has accepted any attempt.
const START_TIMEOUT: Duration = Duration::from_secs(3);

/// Upstream of an attempt.
pub(crate) struct Target {
    pub(crate) vm: Name,
    pub(crate) incarnation: Incarnation,
    pub(crate) addr: SocketAddr,
    /// Version of the upstream's software.
    pub(crate) software: Name,
    /// Whether the request is a suspect, which must not share the upstream with
    /// another suspect.
    pub(crate) suspect: bool,
    /// Whether the stream was moved there with its KV cache.
    pub(crate) moved: bool,
}

/// Properties of the prompt that every attempt needs.
pub(crate) struct Prompt {
    /// Hashes of the prompt's prefix blocks.
    pub(crate) blocks: Vec<u64>,
    pub(crate) tokens: u64,
}

/// Chooses the upstream of the next attempt. Returns `None` if the caller must
/// check the record's state again.
pub(crate) async fn choose_target(
    node: &Rc<Node>,
    record: &Rc<Record>,
    prompt: &Prompt,
) -> Option<Target> {
    if node.shutdown.is_work_over() {
        // A peer may have taken over the record and not answered yet.
        sleep_ms(RETRY_MS).await;
        return None;
    }
    if fail_if_unservable(node, record) {
        return None;
    }
    let redirect = record.redirect.borrow_mut().take();
    let target = redirect.and_then(|redirect| redirect.target);
    let target = target.and_then(|vm| target_of(node, &vm, false));
    if let Some(target) = target.filter(|target| fits(record, target)) {
        return Some(Target {
            moved: true,
            ..target
        });
    }
    let suspect = match suspects::admission(node, record) {
        Admission::Pass => false,
        Admission::Trial | Admission::Quarantined(_) => true,
        Admission::Busy(_) => {
            sleep_ms(RETRY_MS).await;
            return None;
        }
    };
    let limits = Limits {
        without_suspects: suspect,
        ..Limits::default()
    };
    let Some(vm) = choose_upstream(node, record, prompt, &limits) else {
        fail_if_limited(node, record);
        sleep_ms(RETRY_MS).await;
        return None;
    };
    let target = target_of(node, &vm, suspect)?;
    if suspect && !reserve(node, record, &vm).await {
        sleep_ms(RETRY_MS + node.random() % RETRY_MS).await;
        return None;
    }
    Some(target)
}

/// Reserves an upstream for a suspect. The reservation is made before the peers
/// are asked, so that of two entries that choose the same upstream at least one
/// sees the reservation of the other.
async fn reserve(node: &Rc<Node>, record: &Record, vm: &Name) -> bool {
    node.upstreams.borrow_mut().add_suspect(vm);
    let free = suspects::may_run(node, record, vm).await;
    if !free {
        node.upstreams.borrow_mut().remove_suspect(vm);
    }
    free
}

/// Fails a request that is quarantined, past its deadline, or without an
/// upstream for too long. Returns whether it did.
fn fail_if_unservable(node: &Node, record: &Record) -> bool {
    let age = node.now().duration_since(record.accepted);
    let sent = record.stream.borrow().attempt() > 0;
    if let Some(failure) = suspects::refusal(node, &record.features, sent) {
        record.fail(failure.kind, failure.message);
        return true;
    }
    if age >= Duration::from_millis(node.settings.streams.deadline_ms) {
        let kind = if sent {
            ErrorKind::DeadlineWithin
        } else {
            ErrorKind::DeadlineBefore
        };
        record.fail(kind, "the request was not completed before its deadline");
        return true;
    }
    let service = &record.request.service;
    let began = record.stream.borrow().software().cloned();
    if let Some(software) = began
        && node.upstreams.borrow().lacks_software(service, &software)
    {
        let message =
            format!("no upstream runs the software that generated the beginning: {software}");
        record.fail(ErrorKind::UpstreamLost, message);
        return true;
    }
    if has_never_started(record) && !complete::can_end(node, service, Work::Completion) {
        let failure = shutdown::not_run();
        record.fail(failure.kind, failure.message);
        return true;
    }
    if has_never_started(record) && age >= START_TIMEOUT {
        record.fail(
            ErrorKind::NoUpstream,
            "no upstream of the service accepted the request in time",
        );
        return true;
    }
    false
}

/// Fails a request that no upstream has begun, if all limit their requests and there is no
/// permit before it would fail anyway.
fn fail_if_limited(node: &Node, record: &Record) {
    let closed = node
        .upstreams
        .borrow()
        .closed(&record.request.service, node.now());
    let Some(Closed::Limited(wait)) = closed else {
        return;
    };
    let age = node.now().duration_since(record.accepted);
    if has_never_started(record) && age + wait >= START_TIMEOUT {
        let failure = permits::limited(node, &record.request.service, wait);
        record.fail(failure.kind, failure.message);
    }
}

/// Returns whether the target runs the software that generated the beginning of the answer.
fn fits(record: &Record, target: &Target) -> bool {
    let stream = record.stream.borrow();
    let began = stream.software();
    began.is_none_or(|software| *software == target.software)
}

fn has_never_started(record: &Record) -> bool {
    let stream = record.stream.borrow();
    stream.attempt() == stream.failed_starts()
}

/// Chooses the upstream that takes over a silent run at `from`, and obtains what an attempt
/// there needs, so that the run need not be left before. Returns `None` if there is none.
pub(crate) async fn choose_successor(
    node: &Rc<Node>,
    record: &Rc<Record>,
    prompt: &Prompt,
    from: &Target,
) -> Option<Target> {
    let suspect = match suspects::admission(node, record) {
        Admission::Pass => false,
        Admission::Trial => true,
        Admission::Quarantined(_) | Admission::Busy(_) => return None,
    };
    let silence = Duration::from_millis(node.settings.timing.silence_ms);
    let limits = Limits {
        excluded: std::slice::from_ref(&from.vm),
        without_suspects: suspect,
        takes_over: Some(silence),
    };
    let vm = choose_upstream(node, record, prompt, &limits)?;
    let target = target_of(node, &vm, suspect)?;
    // A permit must be used at once, so that it is asked for last.
    if !node.engines.is_reachable(target.addr).await {
        node.upstreams.borrow_mut().record_failure(&vm, node.now());
        return None;
    }
    if suspect && !reserve(node, record, &vm).await {
        return None;
    }
    is_permitted(node, &target).await.then_some(target)
}

/// Gives back a target that was chosen and is not used.
pub(crate) fn release(node: &Node, target: &Target) {
    if target.suspect {
        node.upstreams.borrow_mut().remove_suspect(&target.vm);
    }
}

/// Restricts the choice of an upstream.
#[derive(Debug, Default)]
struct Limits<'a> {
    excluded: &'a [Name],
    without_suspects: bool,
    takes_over: Option<Duration>,
}

fn choose_upstream(
    node: &Node,
    record: &Record,
    prompt: &Prompt,
    limits: &Limits<'_>,
) -> Option<Name> {
    let request = &record.request;
    let stream = record.stream.borrow();
    let query = Query {
        service: &request.service,
        software: stream.software().map(|software| &**software),
        domain: &node.settings.domain,
        tokens: prompt.tokens + record.token_count() as u64,
        blocks: &prompt.blocks,
        excluded: limits.excluded,
        without_suspects: limits.without_suspects,
        takes_over: limits.takes_over,
    };
    node.choose(&query, request.id.as_str())
        .map(|choice| choice.vm)
}

fn target_of(node: &Node, vm: &Name, suspect: bool) -> Option<Target> {
    let upstreams = node.upstreams.borrow();
    let upstream = upstreams.get(vm).filter(|upstream| !upstream.leaving)?;
    Some(Target {
        vm: vm.clone(),
        incarnation: upstream.id.incarnation,
        addr: upstream.addr,
        software: upstream.software.clone(),
        suspect,
        moved: false,
    })
}

/// Obtains a permit for an attempt if its upstream limits its requests. Returns whether
/// the attempt may begin.
pub(crate) async fn is_permitted(node: &Rc<Node>, target: &Target) -> bool {
    let (vm, incarnation) = (&target.vm, target.incarnation);
    let permitted = match target.moved {
        true => permits::acquire_for_move(node, vm, incarnation).await,
        false => permits::acquire(node, vm, incarnation).await.is_ok(),
    };
    if !permitted && target.suspect {
        node.upstreams.borrow_mut().remove_suspect(vm);
    }
    permitted
}
