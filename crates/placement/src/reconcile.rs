//! Comparison of the declared services with the running VMs.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_config::PlacementPolicy;
use lycheehaven_config::Service;
use lycheehaven_config::ServiceKind;
use lycheehaven_platform::VmSpec;
use lycheehaven_types::HashMap;
use lycheehaven_types::Name;

/// Backoff after the first refused creation; doubles up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum backoff after refused creations.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// Fraction of the replicas that are on-demand VMs at a
/// [`recompute_weight`](VmMix::recompute_weight) of 1.
const MAX_ON_DEMAND_FRACTION: f64 = 0.5;

/// A VM observed in the failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObservedVm {
    /// Name of the VM.
    pub name: Name,
    /// Service that the VM runs.
    pub service: Name,
    /// Whether the VM is leaving.
    pub leaving: bool,
    /// Model, version and adapters that its engine reports; `None` until read.
    pub model: Option<(String, String, Vec<String>)>,
}

/// Mix of on-demand and reclaimable VMs.
#[derive(Debug, Clone, Copy)]
pub struct VmMix {
    /// Placement policy.
    pub policy: PlacementPolicy,
    /// Weight of recomputed tokens relative to cost, from 0 to 1.
    pub recompute_weight: f64,
}

/// A change to a VM or its engine.
#[derive(Debug, Clone, PartialEq)]
pub enum Order {
    /// Create a VM.
    Create(VmSpec),
    /// Drain a VM in excess of the declared replicas, then delete it.
    Retire(Name),
    /// Load a model, its version and adapters into the engine of a VM.
    Load(Name, String, String, Vec<String>),
}

/// Backoff after refused creations, by service.
#[derive(Debug, Default)]
pub struct Backoff {
    refused: HashMap<Name, (Instant, Duration, u32)>,
}

impl Backoff {
    /// Records a refused creation and extends the backoff of `service`.
    pub fn record_refused(&mut self, service: &Name, now: Instant) {
        let (_, wait, count) =
            self.refused
                .get(service)
                .copied()
                .unwrap_or((now, INITIAL_BACKOFF / 2, 0));
        let wait = (wait * 2).min(MAX_BACKOFF);
        self.refused
            .insert(service.clone(), (now + wait, wait, count + 1));
    }

    /// Records a successful creation, which ends the backoff of `service`.
    pub fn record_created(&mut self, service: &str) {
        self.refused.remove(service);
    }

    fn is_waiting(&self, service: &str, now: Instant) -> bool {
        self.refused
            .get(service)
            .is_some_and(|(until, ..)| now < *until)
    }

    /// Returns whether to request the other kind of VM. The kinds alternate after
    /// each refusal.
    fn uses_other_kind(&self, service: &str) -> bool {
        self.refused
            .get(service)
            .is_some_and(|(_, _, count)| count % 2 == 1)
    }
}

/// Compares the services declared for `domain` with the VMs observed there and
/// returns the orders that remove the difference.
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
        // VMs of a service without declared replicas are managed elsewhere.
        if service.replicas.is_empty() {
            orders.extend(model_orders(
                service,
                vms.iter().filter(|vm| vm.service == *name),
            ));
            continue;
        }
        let wanted = service.replicas.get(domain).copied().unwrap_or(0) as usize;
        let existing: Vec<&ObservedVm> = vms.iter().filter(|vm| vm.service == *name).collect();
        let live: Vec<&ObservedVm> = existing.iter().copied().filter(|vm| !vm.leaving).collect();
        if live.len() < wanted && !backoff.is_waiting(name, now) {
            let missing = wanted - live.len();
            let specs = missing_vms(domain, name, &existing, missing, mix, backoff);
            orders.extend(specs.into_iter().map(Order::Create));
        }
        let excess = live.iter().rev().take(live.len().saturating_sub(wanted));
        orders.extend(excess.map(|vm| Order::Retire(vm.name.clone())));
        orders.extend(model_orders(service, live.into_iter()));
    }
    orders
}

fn missing_vms(
    domain: &Name,
    service: &Name,
    existing: &[&ObservedVm],
    missing: usize,
    mix: VmMix,
    backoff: &Backoff,
) -> Vec<VmSpec> {
    // Names are derived from service, domain and slot, so that an order repeated
    // after a lost answer has the same name and creates no second VM.
    let names = (0..).map(|slot: usize| (slot, Name::from(format!("{service}-{domain}-{slot}"))));
    let free = names.filter(|(_, name)| !existing.iter().any(|vm| vm.name == *name));
    let use_other_kind = backoff.uses_other_kind(service);
    free.take(missing)
        .map(|(slot, name)| VmSpec {
            name,
            domain: domain.clone(),
            class: "standard".into(),
            service: service.clone(),
            reclaimable: is_reclaimable(slot, mix) != use_other_kind,
        })
        .collect()
}

/// Returns whether the VM in `slot` is reclaimable; on-demand VMs are spread
/// evenly over the slots.
fn is_reclaimable(slot: usize, mix: VmMix) -> bool {
    match mix.policy {
        PlacementPolicy::OnDemand => false,
        PlacementPolicy::Cheapest => true,
        PlacementPolicy::Mix => {
            let fraction = mix.recompute_weight * MAX_ON_DEMAND_FRACTION;
            let count = |slots: usize| (slots as f64 * fraction).ceil();
            count(slot + 1) <= count(slot)
        }
    }
}

fn model_orders<'a>(service: &Service, vms: impl Iterator<Item = &'a ObservedVm>) -> Vec<Order> {
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
