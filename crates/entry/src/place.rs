//! Placement while this entry holds its failure domain's lease.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use lycheehaven_net::sleep_ms;
use lycheehaven_net::spawn_detached;
use lycheehaven_placement::Backoff;
use lycheehaven_placement::Lease;
use lycheehaven_placement::LeaseAction;
use lycheehaven_placement::LeaseClient;
use lycheehaven_placement::LeaseEvent;
use lycheehaven_placement::ObservedVm;
use lycheehaven_placement::Order;
use lycheehaven_placement::VmMix;
use lycheehaven_placement::reconcile;
use lycheehaven_platform::Condition;
use lycheehaven_platform::CreateOutcome;
use lycheehaven_platform::PutOutcome;
use lycheehaven_platform::Version;
use lycheehaven_platform::Vm;
use lycheehaven_types::HashMap;
use lycheehaven_types::Name;
use lycheehaven_upstream::protocol::ModelOrder;

use crate::evacuate;
use crate::evacuate::Source;
use crate::metrics::kind;
use crate::node::ENTRY_SERVICE;
use crate::node::Node;
use crate::watch::news;

/// Engines whose model is read back in one period.
const READ_LIMIT: usize = 16;

/// Time for a retired VM's streams to finish or move.
const RETIRE_NOTICE: Duration = Duration::from_secs(20);

type Model = (String, String, Vec<String>);

/// What the holder has read back and found out.
#[derive(Default)]
struct Findings {
    models: HashMap<Name, Model>,
    next_read: usize,
    backoff: Backoff,
}

/// Keeps the lease or waits for it, and orders what is declared while it holds.
pub(crate) async fn run(node: Rc<Node>) {
    let length = Duration::from_millis(node.settings.placement.lease_ms);
    let keeper = RefCell::new(LeaseClient::new(node.holder(), length));
    let mut findings = Findings::default();
    let mut held = None;
    while !node.stop.is_cancelled() && !node.draining.get() {
        renew(&node, &keeper).await;
        let fence = keeper.borrow().fence(node.now());
        if fence != held {
            log::info!(target: "lease", fence = fence.unwrap_or(0); "lease {}", state_of(fence));
            held = fence;
        }
        if fence.is_some() {
            read_back(&node, &mut findings).await;
            order_all(&node, &keeper, &mut findings).await;
        }
        sleep_ms(node.settings.placement.period_ms).await;
    }
}

fn state_of(fence: Option<u64>) -> &'static str {
    if fence.is_some() { "held" } else { "not held" }
}

async fn renew(node: &Node, keeper: &RefCell<LeaseClient>) {
    let key = format!("lease/{}", node.settings.domain);
    let mut event = LeaseEvent::Tick;
    loop {
        let action = keeper.borrow_mut().handle(event, node.now());
        event = match action {
            None => return,
            Some(LeaseAction::Load) => load(node, &key).await,
            Some(LeaseAction::Write(version, lease)) => write(node, &key, version, &lease).await,
        };
    }
}

async fn load(node: &Node, key: &str) -> LeaseEvent {
    node.metrics
        .platform_calls
        .get_or_create(&kind("lease_read"))
        .inc();
    match node.objects.get(key).await {
        Ok(None) => LeaseEvent::Loaded(None),
        Ok(Some(object)) => match serde_json::from_slice(&object.body) {
            Ok(lease) => LeaseEvent::Loaded(Some((object.version.0, lease))),
            Err(_) => LeaseEvent::NoAnswer,
        },
        Err(_) => LeaseEvent::NoAnswer,
    }
}

async fn write(node: &Node, key: &str, version: Option<u64>, lease: &Lease) -> LeaseEvent {
    node.metrics
        .platform_calls
        .get_or_create(&kind("lease_write"))
        .inc();
    let condition = version.map_or(Condition::Absent, |version| Condition::At(Version(version)));
    let body = serde_json::to_vec(lease).expect("leases serialize");
    match node.objects.put(key, condition, body).await {
        PutOutcome::Written(version) => LeaseEvent::Written(version.0),
        PutOutcome::Conflict => LeaseEvent::Conflict,
        PutOutcome::Uncertain => LeaseEvent::NoAnswer,
    }
}

/// Reads which models a few engines hold, in turn.
async fn read_back(node: &Node, findings: &mut Findings) {
    let engines: Vec<Vm> = near_vms(node);
    let count = engines.len();
    for offset in 0..count.min(READ_LIMIT) {
        let vm = &engines[(findings.next_read + offset) % count];
        if let Ok(report) = node.engines.load(vm.addr).await {
            let model = (report.model, report.version, report.adapters);
            findings.models.insert(vm.name.clone(), model);
        }
    }
    findings.next_read = findings.next_read.wrapping_add(READ_LIMIT);
    findings
        .models
        .retain(|name, _| engines.iter().any(|vm| vm.name == *name));
}

/// Upstream VMs of this failure domain.
fn near_vms(node: &Node) -> Vec<Vm> {
    let vms = node.vms.borrow();
    let near = vms.iter().filter(|vm| vm.domain == node.settings.domain);
    near.filter(|vm| &*vm.service != ENTRY_SERVICE)
        .cloned()
        .collect()
}

async fn order_all(node: &Rc<Node>, keeper: &RefCell<LeaseClient>, findings: &mut Findings) {
    let observed: Vec<ObservedVm> = near_vms(node)
        .into_iter()
        .map(|vm| ObservedVm {
            leaving: node.leaving.borrow().contains(&vm.name, vm.incarnation),
            model: findings.models.get(&vm.name).cloned(),
            name: vm.name,
            service: vm.service,
        })
        .collect();
    let settings = &node.settings.placement;
    let mix = VmMix {
        policy: settings.policy,
        recompute_weight: settings.recompute_weight,
    };
    let declared = node.declared();
    let domain = &node.settings.domain;
    let orders = reconcile(
        domain,
        &declared.services,
        &observed,
        mix,
        &findings.backoff,
        node.now(),
    );
    for order in orders {
        // Each order is preceded by a look at the lease, because the process
        // may have been paused since the last one.
        let Some(fence) = keeper.borrow().fence(node.now()) else {
            return;
        };
        carry_out(node, order, fence, findings).await;
    }
}

async fn carry_out(node: &Rc<Node>, order: Order, fence: u64, findings: &mut Findings) {
    let time = node.wall_millis();
    match order {
        Order::Create(spec) => {
            let class = if spec.reclaimable {
                "reclaimable"
            } else {
                "on-demand"
            };
            node.decisions
                .note(time, "create", &spec.name, class, "fewer VMs than declared");
            match node.cloud.create(&spec).await {
                CreateOutcome::Created => findings.backoff.record_created(&spec.service),
                CreateOutcome::Refused => {
                    findings.backoff.record_refused(&spec.service, node.now())
                }
                // Asked again under the same name by the next comparison.
                CreateOutcome::Uncertain => {}
            }
        }
        Order::Retire(name) => {
            node.decisions
                .note(time, "retire", &name, "leave", "more VMs than declared");
            retire(node, &name);
        }
        Order::Load(name, model, version, adapters) => {
            let Some(addr) = node.table.borrow().get(&name).map(|upstream| upstream.addr) else {
                return;
            };
            let choice = format!("{model}@{version}");
            node.decisions
                .note(time, "load", &name, &choice, "another model than declared");
            let order = ModelOrder {
                fence,
                model,
                version,
                adapters,
            };
            let obeyed = node.engines.order(addr, &order).await;
            findings.models.remove(&name);
            if let Ok(false) = obeyed {
                log::warn!(target: "lease", vm = &*name; "order refused for an old fencing number");
            }
        }
    }
}

/// Makes a VM leave and deletes it once its streams had time to move.
fn retire(node: &Rc<Node>, name: &Name) {
    let incarnation = node
        .table
        .borrow()
        .get(name)
        .map(|upstream| upstream.id.incarnation);
    let Some(incarnation) = incarnation else {
        return;
    };
    evacuate::on_leaving(
        node,
        vec![news(name, incarnation, RETIRE_NOTICE)],
        Source::First,
    );
    let (node, name) = (node.clone(), name.clone());
    spawn_detached(async move {
        compio::time::sleep(RETIRE_NOTICE).await;
        let _ = node.cloud.delete(&name).await;
    });
}
