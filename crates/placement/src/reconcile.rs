//! Comparison of what is declared with what runs.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_config::PlacementPolicy;
use lycheehaven_config::Service;
use lycheehaven_config::ServiceKind;
use lycheehaven_platform::VmSpec;
use lycheehaven_types::HashMap;
use lycheehaven_types::Name;

/// First wait after a refused creation; doubles up to [`REFUSAL_LIMIT`].
const REFUSAL_START: Duration = Duration::from_millis(500);

/// Longest wait after refused creations.
const REFUSAL_LIMIT: Duration = Duration::from_secs(30);

/// Part of the replicas that is bought on demand when recomputed tokens weigh
/// as much as possible.
const ON_DEMAND_PART: f64 = 0.5;

/// A VM as it is seen in the failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObservedVm {
    /// Name.
    pub name: Name,
    /// Service that it runs.
    pub service: Name,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Model, version and adapters that its engine reports, once read.
    pub model: Option<(String, String, Vec<String>)>,
}

/// How on-demand and reclaimable VMs are mixed.
#[derive(Debug, Clone, Copy)]
pub struct VmMix {
    /// Policy in force.
    pub policy: PlacementPolicy,
    /// Weight of recomputed tokens against cost, from 0 to 1.
    pub recompute_weight: f64,
}

/// Something to order.
#[derive(Debug, Clone, PartialEq)]
pub enum Order {
    /// Create a VM.
    Create(VmSpec),
    /// Empty a VM that is no longer declared, then delete it.
    Retire(Name),
    /// Make an engine hold a model, version and adapters.
    Load(Name, String, String, Vec<String>),
}

/// Waits after refused creations, by service.
#[derive(Debug, Default)]
pub struct Backoff {
    refused: HashMap<Name, (Instant, Duration, u32)>,
}

impl Backoff {
    /// Records a refused creation.
    pub fn record_refused(&mut self, service: &Name, now: Instant) {
        let (_, wait, count) =
            self.refused
                .get(service)
                .copied()
                .unwrap_or((now, REFUSAL_START / 2, 0));
        let wait = (wait * 2).min(REFUSAL_LIMIT);
        self.refused
            .insert(service.clone(), (now + wait, wait, count + 1));
    }

    /// Records a creation that succeeded.
    pub fn record_created(&mut self, service: &str) {
        self.refused.remove(service);
    }

    fn is_waiting(&self, service: &str, now: Instant) -> bool {
        self.refused
            .get(service)
            .is_some_and(|(until, ..)| now < *until)
    }

    /// After a refusal the other kind of VM is asked for, in turn.
    fn substitutes(&self, service: &str) -> bool {
        self.refused
            .get(service)
            .is_some_and(|(_, _, count)| count % 2 == 1)
    }
}

/// Compares the services declared for `domain` with the VMs seen there.
pub fn reconcile(
    domain: &Name,
    services: &BTreeMap<Name, Service>,
    vms: &[ObservedVm],
    mix: VmMix,
    backoff: &Backoff,
    now: Instant,
) -> Vec<Order> {
    let mut orders = Vec::new();
    for (name, service) in services {
        // A service without any declared replicas is not placed by this system.
        if service.replicas.is_empty() {
            orders.extend(loads(service, vms.iter().filter(|vm| vm.service == *name)));
            continue;
        }
        let wanted = service.replicas.get(domain).copied().unwrap_or(0) as usize;
        let own: Vec<&ObservedVm> = vms.iter().filter(|vm| vm.service == *name).collect();
        let live: Vec<&ObservedVm> = own.iter().copied().filter(|vm| !vm.leaving).collect();
        if live.len() < wanted && !backoff.is_waiting(name, now) {
            let missing = wanted - live.len();
            let specs = creations(domain, name, &own, missing, mix, backoff);
            orders.extend(specs.into_iter().map(Order::Create));
        }
        let excess = live.iter().rev().take(live.len().saturating_sub(wanted));
        orders.extend(excess.map(|vm| Order::Retire(vm.name.clone())));
        orders.extend(loads(service, live.into_iter()));
    }
    orders
}

fn creations(
    domain: &Name,
    service: &Name,
    own: &[&ObservedVm],
    missing: usize,
    mix: VmMix,
    backoff: &Backoff,
) -> Vec<VmSpec> {
    // Names follow from the purpose, so that an order whose answer was lost is
    // repeated under the same name and buys nothing twice.
    let names = (0..).map(|slot: usize| (slot, Name::from(format!("{service}-{domain}-{slot}"))));
    let free = names.filter(|(_, name)| !own.iter().any(|vm| vm.name == *name));
    let substitute = backoff.substitutes(service);
    free.take(missing)
        .map(|(slot, name)| VmSpec {
            name,
            domain: domain.clone(),
            class: "standard".into(),
            service: service.clone(),
            reclaimable: is_reclaimable(slot, mix) != substitute,
        })
        .collect()
}

/// Spreads on-demand VMs evenly over the slots.
fn is_reclaimable(slot: usize, mix: VmMix) -> bool {
    match mix.policy {
        PlacementPolicy::OnDemand => false,
        PlacementPolicy::Cheapest => true,
        PlacementPolicy::Mix => {
            let part = mix.recompute_weight * ON_DEMAND_PART;
            let count = |slots: usize| (slots as f64 * part).ceil();
            count(slot + 1) <= count(slot)
        }
    }
}

fn loads<'a>(service: &Service, vms: impl Iterator<Item = &'a ObservedVm>) -> Vec<Order> {
    if service.kind != ServiceKind::Model || service.model.is_empty() {
        return Vec::new();
    }
    let wanted = (
        service.model.clone(),
        service.version.clone(),
        service.adapters.clone(),
    );
    let outdated = vms.filter(|vm| vm.model.as_ref().is_some_and(|model| *model != wanted));
    let order = |vm: &ObservedVm| {
        let (model, version, adapters) = wanted.clone();
        Order::Load(vm.name.clone(), model, version, adapters)
    };
    outdated.map(order).collect()
}
