//! Evacuation of leaving upstreams.

use std::rc::Rc;
use std::time::Duration;

use lycheehaven_config::EvacuationPolicy;
use lycheehaven_net::sleep_ms;
use lycheehaven_net::spawn_detached;
use lycheehaven_routing::Query;
use lycheehaven_streams::EvacuationAction;
use lycheehaven_streams::EvacuationCandidate;
use lycheehaven_streams::EvacuationInput;
use lycheehaven_streams::plan_evacuation;
use lycheehaven_types::Name;
use lycheehaven_types::StopPlan;
use lycheehaven_upstream::protocol::ImportRequest;
use lycheehaven_upstream::protocol::prefix_blocks;
use lycheehaven_upstream::protocol::prompt_text;

use crate::metrics::kind;
use crate::node::Node;
use crate::peer_client;
use crate::record::Record;
use crate::relay;
use crate::wire::LeavingNotice;

/// Quantile of the estimated answer length that evacuation plans with.
const REMAINING_QUANTILE: f64 = 0.7;

/// KV cache tokens that a link transfers per millisecond, for an engine without
/// a load report.
const DEFAULT_LINK_RATE: f64 = 20.0;

/// Longest time until a reclaim that is planned with.
const MAX_NOTICE: Duration = Duration::from_secs(24 * 3600);

/// Step time of an engine without a load report.
const DEFAULT_STEP_TIME: Duration = Duration::from_millis(30);

/// Period of checking for an upstream to which a stream can move.
const TARGET_POLL_MS: u64 = 50;

/// Number of plans per notice. Each is made when half of the time left at the
/// previous one has passed.
const PLAN_ROUNDS: u32 = 4;

/// Targets attempted per KV cache.
const EXPORT_ATTEMPTS: usize = 3;

/// Fraction of the time left within which imports must complete.
const IMPORT_TIME_FRACTION: f64 = 0.8;

/// How this entry learned that VMs are leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoticeOrigin {
    /// By a notice or its own decision, which other entries may not receive.
    Direct,
    /// By the VM list or a peer. Forwarding it would cost a message for each
    /// pair of entries.
    Shared,
}

/// Marks VMs as leaving and evacuates them, or drains this entry if one of them
/// is its own. Peers are notified if `origin` is [`NoticeOrigin::Direct`].
/// Repeated notices are ignored. All VMs are marked before the first is
/// evacuated, so that none of them is chosen as a target.
pub(crate) fn handle_leaving(node: &Rc<Node>, notices: Vec<LeavingNotice>, origin: NoticeOrigin) {
    let now = node.now();
    let new: Vec<LeavingNotice> = notices
        .into_iter()
        .filter(|notice| {
            node.leaving_vms
                .borrow_mut()
                .add(&notice.vm, notice.incarnation, now)
        })
        .collect();
    if new.is_empty() {
        return;
    }
    for notice in &new {
        log::info!(target: "leaving", vm = &*notice.vm, left_ms = notice.left_ms; "VM is leaving");
        node.upstreams
            .borrow_mut()
            .mark_leaving(&notice.vm, notice.incarnation);
    }
    if origin == NoticeOrigin::Direct {
        notify_peers(node, &new);
    }
    for notice in &new {
        let time_left = Duration::from_millis(notice.left_ms).min(MAX_NOTICE);
        if is_own_vm(node, notice) {
            node.begin_stop();
            let plan = StopPlan::before_reclaim(now, time_left);
            node.shutdown.end_work(plan);
        } else {
            spawn_detached(evacuate(node.clone(), notice.vm.clone(), time_left));
        }
    }
}

fn notify_peers(node: &Rc<Node>, notices: &[LeavingNotice]) {
    for (_, addr) in peer_client::live_addresses(node) {
        let (node, notices) = (node.clone(), notices.to_vec());
        spawn_detached(async move { peer_client::notify_leaving(&node, addr, &notices).await });
    }
}

fn is_own_vm(node: &Node, notice: &LeavingNotice) -> bool {
    let vms = node.vms.borrow();
    let listed = vms.iter().find(|vm| vm.name == notice.vm);
    notice.vm == node.settings.name && listed.is_some_and(|vm| vm.incarnation == notice.incarnation)
}

/// Evacuates a leaving upstream. Streams that stay are planned again as time
/// runs out, because an answer may turn out longer than estimated.
async fn evacuate(node: Rc<Node>, vm: Name, time_left: Duration) {
    let deadline = node.now() + time_left;
    let policy = node.settings.streams.evacuation;
    for round in 0..PLAN_ROUNDS {
        let time_left = deadline.saturating_duration_since(node.now());
        let records = records_at(&node, &vm);
        let plan = match policy {
            EvacuationPolicy::Cost => plan(&node, &vm, time_left, &records),
            EvacuationPolicy::ResumeAll => (0..records.len())
                .map(|i| (i, EvacuationAction::Resume))
                .collect(),
            EvacuationPolicy::Wait => return,
        };
        apply_plan(&node, &vm, time_left, &records, plan, round);
        compio::time::sleep(time_left / 2).await;
    }
}

/// Returns the records that run on the upstream and are not being moved off it.
fn records_at(node: &Node, vm: &Name) -> Vec<Rc<Record>> {
    let records = node.records.borrow();
    let staying = records.values().filter(|record| {
        record.upstream().as_ref() == Some(vm) && record.moving_from.borrow().as_ref() != Some(vm)
    });
    staying.cloned().collect()
}

fn apply_plan(
    node: &Rc<Node>,
    vm: &Name,
    time_left: Duration,
    records: &[Rc<Record>],
    plan: Vec<(usize, EvacuationAction)>,
    round: u32,
) {
    let mut exports = Vec::new();
    for (index, action) in plan {
        let record = &records[index];
        let (name, reason) = describe(action);
        if action != EvacuationAction::Finish || round == 0 {
            let subject = record.request.id.as_str();
            node.decisions
                .record(node.wall_millis(), "evacuate", subject, name, reason);
            node.metrics.moves.get_or_create(&kind(name)).inc();
        }
        match action {
            EvacuationAction::Finish => continue,
            EvacuationAction::Export => exports.push(record.clone()),
            EvacuationAction::Resume => {
                spawn_detached(resume(node.clone(), vm.clone(), record.clone()))
            }
        }
        *record.moving_from.borrow_mut() = Some(vm.clone());
    }
    if !exports.is_empty() {
        spawn_detached(export_all(node.clone(), vm.clone(), exports, time_left));
    }
}

fn describe(action: EvacuationAction) -> (&'static str, &'static str) {
    match action {
        EvacuationAction::Finish => (
            "finish",
            "the estimated rest of the answer fits the time left",
        ),
        EvacuationAction::Export => ("export", "the KV cache can be transferred in the time left"),
        EvacuationAction::Resume => (
            "resume",
            "the KV cache can't be transferred in the time left",
        ),
    }
}

fn plan(
    node: &Node,
    vm: &Name,
    time_left: Duration,
    records: &[Rc<Record>],
) -> Vec<(usize, EvacuationAction)> {
    let load = node
        .upstreams
        .borrow()
        .get(vm)
        .and_then(|upstream| upstream.load);
    let step_time = load.map_or(DEFAULT_STEP_TIME, |load| {
        Duration::from_micros(u64::from(load.step_us))
    });
    let link_rate = load.map_or(DEFAULT_LINK_RATE, |load| f64::from(load.link_rate));
    let entries = node
        .peers
        .borrow()
        .serving_in_domain(node.now())
        .len()
        .max(1);
    let input = EvacuationInput {
        time_left,
        step_time,
        // The other entries of the domain export their streams over the same
        // link.
        link_rate: link_rate / entries as f64,
        parallel_transfers: 1,
    };
    let estimators = node.length_estimators.borrow();
    let candidates = records.iter().enumerate().map(|(index, record)| {
        let request = &record.request;
        let token_count = record.token_count();
        let key = (request.workspace.clone(), request.service.clone());
        let expected = estimators
            .get(&key)
            .map_or(request.max_tokens, |estimator| {
                estimator.estimate(REMAINING_QUANTILE, token_count, request.max_tokens)
            });
        EvacuationCandidate {
            index,
            context_tokens: request.prompt_tokens + token_count as u64,
            remaining_tokens: expected.saturating_sub(token_count) as u64,
        }
    });
    plan_evacuation(input, candidates.collect::<Vec<_>>())
}

/// Redirects a stream to an upstream that recomputes it. The stream keeps
/// running on the leaving upstream until there is another.
async fn resume(node: Rc<Node>, vm: Name, record: Rc<Record>) {
    let is_at_source = |record: &Record| record.upstream().as_ref() == Some(&vm);
    let service = &record.request.service;
    let has_target = || {
        let stream = record.stream.borrow();
        let software = stream.software().map(|software| &**software);
        let upstreams = node.upstreams.borrow();
        upstreams.has_usable(service, software, node.now())
    };
    while is_at_source(&record) && !has_target() {
        sleep_ms(TARGET_POLL_MS).await;
    }
    if is_at_source(&record) {
        relay::count_recomputed(&node, &record, "reclaim");
        record.redirect(None);
    }
}

/// Exports the KV caches of records one after another, in the order of the
/// plan. Records whose export fails are resumed elsewhere.
async fn export_all(node: Rc<Node>, vm: Name, records: Vec<Rc<Record>>, time_left: Duration) {
    let deadline = node.now() + time_left.mul_f64(IMPORT_TIME_FRACTION);
    for record in records {
        if record.is_over() || record.upstream().as_ref() != Some(&vm) {
            continue;
        }
        let timeout = deadline.saturating_duration_since(node.now());
        match export(&node, &vm, &record, timeout).await {
            Some(target) => record.redirect(Some(target)),
            None => spawn_detached(resume(node.clone(), vm.clone(), record)),
        }
    }
}

/// Exports one KV cache and returns the engine that imported it. A target that
/// fails or begins to leave meanwhile is replaced by another. Without a target,
/// the stream continues at its source, which the export had paused.
async fn export(node: &Rc<Node>, vm: &Name, record: &Record, timeout: Duration) -> Option<Name> {
    let (source, software) = {
        let upstreams = node.upstreams.borrow();
        let upstream = upstreams.get(vm)?;
        (upstream.addr, upstream.software.clone())
    };
    let request = record.request.id.as_str().to_owned();
    let import = ImportRequest { source, request };
    let deadline = node.now() + timeout;
    for _ in 0..EXPORT_ATTEMPTS {
        let Some(target) = choose_target(node, record, &software) else {
            break;
        };
        let addr = node.upstreams.borrow().get(&target)?.addr;
        let time_left = deadline.saturating_duration_since(node.now());
        let imported = node.engines.import(addr, &import, time_left).await.is_ok();
        let leaving = node
            .upstreams
            .borrow()
            .get(&target)
            .is_none_or(|upstream| upstream.leaving);
        if imported && !leaving {
            return Some(target);
        }
    }
    let _ = node
        .engines
        .set_paused(source, &import.request, false)
        .await;
    None
}

/// Chooses the target for a KV cache that `software` has written, which no other reads.
fn choose_target(node: &Node, record: &Record, software: &str) -> Option<Name> {
    let request = &record.request;
    let blocks = prefix_blocks(&prompt_text(&request.body));
    let query = Query {
        service: &request.service,
        software: Some(software),
        domain: &node.settings.domain,
        tokens: 0,
        blocks: &blocks,
        excluded: &[],
        without_suspects: false,
        takes_over: None,
    };
    node.choose(&query, request.id.as_str())
        .map(|choice| choice.vm)
}
