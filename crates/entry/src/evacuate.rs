//! Emptying of upstreams that leave.

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
use lycheehaven_upstream::protocol::ImportRequest;
use lycheehaven_upstream::protocol::prefix_blocks;
use lycheehaven_upstream::protocol::prompt_text;

use crate::metrics::kind;
use crate::node::Node;
use crate::peer_client;
use crate::record::Record;
use crate::relay;
use crate::wire::LeavingNews;

/// Quantile of the learned lengths that a rest is planned by.
const REST_QUANTILE: f64 = 0.7;

/// KV cache tokens that a link moves in a millisecond where no engine says.
const DEFAULT_LINK_RATE: f64 = 20.0;

/// Step time where no report says otherwise.
const DEFAULT_STEP: Duration = Duration::from_millis(30);

/// Period of looking for an upstream that a stream can move to.
const TARGET_POLL_MS: u64 = 50;

/// Plans made for one notice, each when half of the rest has passed.
const PLAN_ROUNDS: u32 = 4;

/// Targets tried for one KV cache.
const EXPORT_TRIES: usize = 3;

/// Share of the notice that one import may take.
const IMPORT_SHARE: f64 = 0.8;

/// From where an entry learns of leaving VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// A notice or an own decision, which other entries may not hear of.
    First,
    /// The VM list or a peer. Telling it on would cost a message for each pair
    /// of entries.
    Common,
}

/// Makes it known that VMs are leaving, to this entry and its peers, and
/// empties them. Repeated news is ignored. All VMs of a wave are marked before
/// the first is emptied, so that none of them is chosen as a target.
pub(crate) fn on_leaving(node: &Rc<Node>, wave: Vec<LeavingNews>, source: Source) {
    let now = node.now();
    let fresh: Vec<LeavingNews> = wave
        .into_iter()
        .filter(|news| {
            node.leaving
                .borrow_mut()
                .add(&news.vm, news.incarnation, now)
        })
        .collect();
    if fresh.is_empty() {
        return;
    }
    for news in &fresh {
        log::info!(target: "leaving", vm = &*news.vm, left_ms = news.left_ms; "VM is leaving");
        node.table
            .borrow_mut()
            .mark_leaving(&news.vm, news.incarnation);
    }
    if source == Source::First {
        tell_peers(node, &fresh);
    }
    for news in &fresh {
        let left = Duration::from_millis(news.left_ms);
        if is_own_vm(node, news) {
            node.reclaim_at.set(Some(now + left));
            node.draining.set(true);
            node.drain.notify_waiters();
        } else {
            spawn_detached(evacuate(node.clone(), news.vm.clone(), left));
        }
    }
}

fn tell_peers(node: &Rc<Node>, news: &[LeavingNews]) {
    for (_, addr) in peer_client::live_addresses(node) {
        let (node, news) = (node.clone(), news.to_vec());
        spawn_detached(async move { peer_client::leaving(&node, addr, &news).await });
    }
}

fn is_own_vm(node: &Node, news: &LeavingNews) -> bool {
    let vms = node.vms.borrow();
    let listed = vms.iter().find(|vm| vm.name == news.vm);
    news.vm == node.settings.name && listed.is_some_and(|vm| vm.incarnation == news.incarnation)
}

/// Empties a leaving upstream. What fits the notice is planned again as it runs
/// out, because a stream that was expected to finish may turn out longer.
async fn evacuate(node: Rc<Node>, vm: Name, left: Duration) {
    let deadline = node.now() + left;
    let policy = node.settings.streams.evacuation;
    for round in 0..PLAN_ROUNDS {
        let left = deadline.saturating_duration_since(node.now());
        let records = staying(&node, &vm);
        let plan = match policy {
            EvacuationPolicy::Cost => plan(&node, &vm, left, &records),
            EvacuationPolicy::ResumeAll => (0..records.len())
                .map(|i| (i, EvacuationAction::Resume))
                .collect(),
            EvacuationPolicy::Wait => return,
        };
        carry_out(&node, &vm, left, &records, plan, round);
        compio::time::sleep(left / 2).await;
    }
}

/// Records that run on the upstream and are not being moved.
fn staying(node: &Node, vm: &Name) -> Vec<Rc<Record>> {
    let records = node.records.borrow();
    let staying = records.values().filter(|record| {
        record.upstream().as_ref() == Some(vm) && record.moving.borrow().as_ref() != Some(vm)
    });
    staying.cloned().collect()
}

fn carry_out(
    node: &Rc<Node>,
    vm: &Name,
    left: Duration,
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
                .note(node.wall_millis(), "evacuate", subject, name, reason);
            node.metrics.moved.get_or_create(&kind(name)).inc();
        }
        match action {
            EvacuationAction::Finish => continue,
            EvacuationAction::Export => exports.push(record.clone()),
            EvacuationAction::Resume => {
                spawn_detached(resume(node.clone(), vm.clone(), record.clone()))
            }
        }
        *record.moving.borrow_mut() = Some(vm.clone());
    }
    if !exports.is_empty() {
        spawn_detached(export_all(node.clone(), vm.clone(), exports, left));
    }
}

fn describe(action: EvacuationAction) -> (&'static str, &'static str) {
    match action {
        EvacuationAction::Finish => ("finish", "the rest of the answer fits the notice"),
        EvacuationAction::Export => ("export", "the KV cache can be moved within the notice"),
        EvacuationAction::Resume => ("resume", "the KV cache can't be moved within the notice"),
    }
}

fn plan(
    node: &Node,
    vm: &Name,
    left: Duration,
    records: &[Rc<Record>],
) -> Vec<(usize, EvacuationAction)> {
    let load = node
        .table
        .borrow()
        .get(vm)
        .and_then(|upstream| upstream.load);
    let step = load.map_or(DEFAULT_STEP, |load| {
        Duration::from_micros(u64::from(load.step_us))
    });
    let link_rate = load.map_or(DEFAULT_LINK_RATE, |load| f64::from(load.link_rate));
    let sharers = node
        .peers
        .borrow()
        .serving_in_domain(node.now())
        .len()
        .max(1);
    let input = EvacuationInput {
        time_left: left,
        step_time: step,
        // The other entries of the domain move their streams at the same time.
        link_rate: link_rate / sharers as f64,
        parallel_transfers: 1,
    };
    let expectations = node.expectations.borrow();
    let candidates = records.iter().enumerate().map(|(index, record)| {
        let request = &record.request;
        let length = record.length();
        let key = (request.workspace.clone(), request.service.clone());
        let expected = expectations
            .get(&key)
            .map_or(request.max_tokens, |expectation| {
                expectation.estimate(REST_QUANTILE, length, request.max_tokens)
            });
        EvacuationCandidate {
            index,
            context_tokens: request.prompt_tokens + length as u64,
            remaining_tokens: expected.saturating_sub(length) as u64,
        }
    });
    plan_evacuation(input, candidates.collect::<Vec<_>>())
}

/// Closes a stream, so that it is computed again elsewhere. It keeps running on
/// the leaving upstream for as long as there is no other.
async fn resume(node: Rc<Node>, vm: Name, record: Rc<Record>) {
    let stays = |record: &Record| record.upstream().as_ref() == Some(&vm);
    let service = &record.request.service;
    let has_target = || node.table.borrow().has_usable(service, node.now());
    while stays(&record) && !has_target() {
        sleep_ms(TARGET_POLL_MS).await;
    }
    if stays(&record) {
        relay::count_recomputed(&node, &record, "reclaim");
        record.redirect(None);
    }
}

/// Moves KV caches one after another, in the order of the plan.
async fn export_all(node: Rc<Node>, vm: Name, records: Vec<Rc<Record>>, left: Duration) {
    let deadline = node.now() + left.mul_f64(IMPORT_SHARE);
    for record in records {
        if record.is_over() || record.upstream().as_ref() != Some(&vm) {
            continue;
        }
        let wait = deadline.saturating_duration_since(node.now());
        match export(&node, &vm, &record, wait).await {
            Some(target) => record.redirect(Some(target)),
            None => spawn_detached(resume(node.clone(), vm.clone(), record)),
        }
    }
}

/// Moves one KV cache and names the engine that holds it now. Targets that
/// fail or begin to leave meanwhile are replaced. If there is none, the stream
/// goes on at its source, which the export had paused.
async fn export(node: &Rc<Node>, vm: &Name, record: &Record, wait: Duration) -> Option<Name> {
    let source = node.table.borrow().get(vm)?.addr;
    let request = record.request.id.as_str().to_owned();
    let order = ImportRequest { source, request };
    let deadline = node.now() + wait;
    for _ in 0..EXPORT_TRIES {
        let Some(target) = choose_target(node, record) else {
            break;
        };
        let addr = node.table.borrow().get(&target)?.addr;
        let left = deadline.saturating_duration_since(node.now());
        let imported = node.engines.import(addr, &order, left).await.is_ok();
        let leaving = node
            .table
            .borrow()
            .get(&target)
            .is_none_or(|upstream| upstream.leaving);
        if imported && !leaving {
            return Some(target);
        }
    }
    let _ = node.engines.set_paused(source, &order.request, false).await;
    None
}

fn choose_target(node: &Node, record: &Record) -> Option<Name> {
    let request = &record.request;
    let blocks = prefix_blocks(&prompt_text(&request.body));
    let query = Query {
        service: &request.service,
        domain: &node.settings.domain,
        tokens: 0,
        blocks: &blocks,
        avoid: &[],
        alone: false,
    };
    node.choose(&query, request.id.as_str())
        .map(|choice| choice.vm)
}
