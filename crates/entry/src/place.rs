//! Placement of upstreams while this entry holds the lease of its failure
//! domain.

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
use crate::evacuate::NoticeOrigin;
use crate::metrics::kind;
use crate::node::ENTRY_SERVICE;
use crate::node::Node;
use crate::watch::leaving_notice;

/// Engines whose model is read per period.
const MODEL_READS_PER_PERIOD: usize = 16;

/// Time for the streams of a retired VM to finish or move before it is deleted.
const RETIRE_NOTICE: Duration = Duration::from_secs(20);

type Model = (String, String, Vec<String>);

/// What the lease holder knows of the upstreams.
#[derive(Default)]
struct HolderState {
    models: HashMap<Name, Model>,
    next_read: usize,
    backoff: Backoff,
}

/// Acquires and renews the lease, and applies the declared placement while it
/// is held.
pub(crate) async fn run(node: Rc<Node>) {
    let lease_duration = Duration::from_millis(node.settings.placement.lease_ms);
    let lease_client = RefCell::new(LeaseClient::new(node.holder(), lease_duration));
    let mut state = HolderState::default();
    let mut held = None;
    while !node.stop.is_cancelled() && !node.shutdown.is_begun() {
        renew(&node, &lease_client).await;
        let fence = lease_client.borrow().fence(node.now());
        if fence != held {
            log::info!(target: "lease", fence = fence.unwrap_or(0); "lease {}", lease_state(fence));
            held = fence;
        }
        if fence.is_some() {
            read_models(&node, &mut state).await;
            apply_orders(&node, &lease_client, &mut state).await;
        }
        sleep_ms(node.settings.placement.period_ms).await;
    }
}

fn lease_state(fence: Option<u64>) -> &'static str {
    if fence.is_some() { "held" } else { "not held" }
}

async fn renew(node: &Node, lease_client: &RefCell<LeaseClient>) {
    let key = format!("lease/{}", node.settings.domain);
    let mut event = LeaseEvent::Tick;
    loop {
        let action = lease_client.borrow_mut().handle(event, node.now());
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

/// Reads the models of up to [`MODEL_READS_PER_PERIOD`] engines, continuing where
/// the previous call ended.
async fn read_models(node: &Node, state: &mut HolderState) {
    let engines: Vec<Vm> = domain_upstreams(node);
    let count = engines.len();
    for offset in 0..count.min(MODEL_READS_PER_PERIOD) {
        let vm = &engines[(state.next_read + offset) % count];
        if let Ok(report) = node.engines.load(vm.addr).await {
            let model = (report.model, report.version, report.adapters);
            state.models.insert(vm.name.clone(), model);
        }
    }
    state.next_read = state.next_read.wrapping_add(MODEL_READS_PER_PERIOD);
    state
        .models
        .retain(|name, _| engines.iter().any(|vm| vm.name == *name));
}

/// Returns the upstream VMs of this failure domain.
fn domain_upstreams(node: &Node) -> Vec<Vm> {
    let vms = node.vms.borrow();
    let in_domain = vms.iter().filter(|vm| vm.domain == node.settings.domain);
    in_domain
        .filter(|vm| &*vm.service != ENTRY_SERVICE)
        .cloned()
        .collect()
}

async fn apply_orders(
    node: &Rc<Node>,
    lease_client: &RefCell<LeaseClient>,
    state: &mut HolderState,
) {
    let observed: Vec<ObservedVm> = domain_upstreams(node)
        .into_iter()
        .map(|vm| ObservedVm {
            leaving: node.leaving_vms.borrow().contains(&vm.name, vm.incarnation),
            model: state.models.get(&vm.name).cloned(),
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
        &state.backoff,
        node.now(),
    );
    for order in orders {
        // The lease is checked before each order, because the process may have
        // been paused since the previous one.
        let Some(fence) = lease_client.borrow().fence(node.now()) else {
            return;
        };
        apply_order(node, order, fence, state).await;
    }
}

async fn apply_order(node: &Rc<Node>, order: Order, fence: u64, state: &mut HolderState) {
    let time = node.wall_millis();
    match order {
        Order::Create(spec) => {
            let class = if spec.reclaimable {
                "reclaimable"
            } else {
                "on-demand"
            };
            node.decisions
                .record(time, "create", &spec.name, class, "fewer VMs than declared");
            match node.cloud.create(&spec).await {
                CreateOutcome::Created => state.backoff.record_created(&spec.service),
                CreateOutcome::Refused => state.backoff.record_refused(&spec.service, node.now()),
                // The next reconciliation repeats the request under the same
                // name.
                CreateOutcome::Uncertain => {}
            }
        }
        Order::Retire(name) => {
            node.decisions
                .record(time, "retire", &name, "leave", "more VMs than declared");
            retire(node, &name);
        }
        Order::Load(name, model, version, adapters) => {
            let Some(addr) = node
                .upstreams
                .borrow()
                .get(&name)
                .map(|upstream| upstream.addr)
            else {
                return;
            };
            let choice = format!("{model}@{version}");
            node.decisions
                .record(time, "load", &name, &choice, "another model than declared");
            let order = ModelOrder {
                fence,
                model,
                version,
                adapters,
            };
            let accepted = node.engines.order(addr, &order).await;
            state.models.remove(&name);
            if let Ok(false) = accepted {
                log::warn!(target: "lease", vm = &*name; "model order refused: the engine has seen a higher fencing token");
            }
        }
    }
}

/// Evacuates a VM and deletes it after [`RETIRE_NOTICE`].
fn retire(node: &Rc<Node>, name: &Name) {
    let incarnation = node
        .upstreams
        .borrow()
        .get(name)
        .map(|upstream| upstream.id.incarnation);
    let Some(incarnation) = incarnation else {
        return;
    };
    evacuate::handle_leaving(
        node,
        vec![leaving_notice(name, incarnation, RETIRE_NOTICE)],
        NoticeOrigin::Direct,
    );
    let (node, name) = (node.clone(), name.clone());
    spawn_detached(async move {
        compio::time::sleep(RETIRE_NOTICE).await;
        if let Err(cause) = node.cloud.delete(&name).await {
            let cause = cause.to_string();
            log::warn!(target: "lycheehaven", vm = &*name, cause = cause.as_str(); "can't delete a retired VM; it stays until the platform reclaims it");
        }
    });
}
