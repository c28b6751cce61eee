//! Numbers of engines to order.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::Scaling;
use lycheehaven_types::HashMap;
use lycheehaven_types::Name;

/// Delay after a refusal until the same kind is ordered again in that failure
/// domain.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(2000);

/// Time after a refusal during which reclaimable engines count as scarce.
const SCARCITY_PERIOD: Duration = Duration::from_millis(3500);

/// Time beyond the boot time after which an order without visible effect is
/// repeated.
const REORDER_DELAY: Duration = Duration::from_secs(4);

/// Time for which fewer engines must suffice before any are released.
const SURPLUS_DELAY: Duration = Duration::from_secs(4);

/// Window whose largest need determines the number of engines.
const NEED_WINDOW: Duration = Duration::from_secs(10);

/// Time without a new registration after which all engines present at the start
/// count as registered.
const REGISTRATION_QUIET: Duration = Duration::from_millis(1000);

/// Timeout of the wait for the engines present at the start.
const REGISTRATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Targets of the scaler.
#[derive(Debug, Clone, Copy)]
pub struct ScalePolicy {
    /// Fraction of the time that an engine should be busy.
    pub target_utilization: f64,
    /// Reclaimable engines per needed engine, so that the rest suffices when
    /// those of a failure domain are reclaimed.
    pub reserve_ratio: f64,
    /// Fraction of the need that must survive if further failure domains lose
    /// their reclaimable engines while these are scarce.
    pub surviving_ratio: f64,
    /// Fraction of the on-demand engines seen that counts as needed before
    /// there is any demand.
    pub initial_ratio: f64,
}

impl Default for ScalePolicy {
    fn default() -> Self {
        Self {
            target_utilization: 0.85,
            reserve_ratio: 1.6,
            surviving_ratio: 0.8,
            initial_ratio: 0.55,
        }
    }
}

/// Numbers of a service's engines that accept requests, by failure domain and
/// by whether they are reclaimable.
pub type Fleet = HashMap<(Name, bool), u32>;

/// A service to scale.
#[derive(Debug, Clone, Copy)]
pub struct ScaledService<'a> {
    /// Bounds and prices of its engines.
    pub scaling: &'a Scaling,
    /// All failure domains.
    pub domains: &'a [Name],
    /// Engines that accept requests.
    pub fleet: &'a Fleet,
}

impl ScaledService<'_> {
    fn ready(&self, domain: &Name, reclaimable: bool) -> u32 {
        let key = (domain.clone(), reclaimable);
        self.fleet.get(&key).copied().unwrap_or(0)
    }

    fn price(&self, domain: &Name) -> f64 {
        self.scaling.prices.get(domain).copied().unwrap_or(1.0)
    }
}

/// An order that sets the number of engines of one kind in a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Failure domain.
    pub domain: Name,
    /// Whether the engines are reclaimable.
    pub reclaimable: bool,
    /// Desired number of engines.
    pub desired: u32,
}

#[derive(Debug, Clone, Copy)]
struct AcceptedOrder {
    desired: u32,
    at: Instant,
}

/// Registration of the engines present at the start.
#[derive(Debug, Clone, Copy)]
struct Registration {
    count: u32,
    first: Instant,
    last: Instant,
}

type EngineCounts = HashMap<Name, u32>;

/// Orders the engines of one service.
///
/// Reclaimable engines are cheap and are spread over all failure domains with
/// a reserve. On-demand engines replace reclaimable ones that are refused, in
/// the cheapest failure domain first.
#[derive(Debug, Default)]
pub struct Scaler {
    policy: ScalePolicy,
    accepted: HashMap<(Name, bool), AcceptedOrder>,
    refused: HashMap<(Name, bool), Instant>,
    surplus_since: HashMap<bool, Instant>,
    recent_needs: Vec<(Instant, u32)>,
    /// Engines registered so far after the start.
    registration: Option<Registration>,
    /// Need before there is any demand, derived from the on-demand engines seen.
    initial_need: u32,
}

impl Scaler {
    /// Records that an order was accepted.
    pub fn record_accepted(&mut self, order: &Order, now: Instant) {
        let key = (order.domain.clone(), order.reclaimable);
        self.refused.remove(&key);
        let accepted = AcceptedOrder {
            desired: order.desired,
            at: now,
        };
        self.accepted.insert(key, accepted);
    }

    /// Records that an order was refused for lack of capacity.
    pub fn record_refused(&mut self, order: &Order, now: Instant) {
        let key = (order.domain.clone(), order.reclaimable);
        self.refused.insert(key, now);
    }

    /// Returns the orders that are due for a service whose callers keep
    /// `busy_engines` engines busy.
    ///
    /// 0 means that there was no demand yet. On-demand engines are then released
    /// as soon as the reclaimable engines that replace them are ordered.
    pub fn plan(
        &mut self,
        service: &ScaledService<'_>,
        busy_engines: f64,
        now: Instant,
    ) -> Vec<Order> {
        if busy_engines == 0.0
            && self.accepted.is_empty()
            && !self.all_registered(service.fleet, now)
        {
            return Vec::new();
        }
        let need = self.required_engines(service.fleet, busy_engines, now);
        let planned = self.plan_reclaimable(service, need, now);
        let total = self.on_demand_total(service, need, busy_engines > 0.0, now);
        let obtainable: EngineCounts = planned
            .iter()
            .map(|(domain, count)| {
                (
                    domain.clone(),
                    self.obtainable(service, domain, *count, now),
                )
            })
            .collect();
        let on_demand_counts = self.distribute_on_demand(service, &obtainable, total);
        let reclaimable_counts = within_bounds(service, planned, &on_demand_counts);
        let mut orders = Vec::new();
        for domain in service.domains {
            for (is_reclaimable, wanted) in
                [(true, &reclaimable_counts), (false, &on_demand_counts)]
            {
                let order = Order {
                    domain: domain.clone(),
                    reclaimable: is_reclaimable,
                    desired: wanted.get(domain).copied().unwrap_or(0),
                };
                if self.is_due(service, &order, now) {
                    orders.push(order);
                }
            }
        }
        // Releases come first because they make room for additional engines.
        orders.sort_by_key(|order| order.desired > service.ready(&order.domain, order.reclaimable));
        orders
    }

    /// Returns whether all engines present at the start count as registered.
    /// Earlier orders would release engines that have not registered yet.
    fn all_registered(&mut self, fleet: &Fleet, now: Instant) -> bool {
        let count = fleet.values().sum();
        let registration = self.registration.get_or_insert(Registration {
            count,
            first: now,
            last: now,
        });
        if count != registration.count {
            registration.count = count;
            registration.last = now;
        }
        now.saturating_duration_since(registration.last) >= REGISTRATION_QUIET
            || now.saturating_duration_since(registration.first) >= REGISTRATION_TIMEOUT
    }

    /// Returns the largest number of engines needed within [`NEED_WINDOW`].
    fn required_engines(&mut self, fleet: &Fleet, busy_engines: f64, now: Instant) -> u32 {
        let need = if busy_engines > 0.0 {
            (busy_engines / self.policy.target_utilization).ceil() as u32
        } else {
            // The count rises while engines register and falls as they are replaced.
            let present: u32 = fleet
                .iter()
                .filter(|((_, reclaimable), _)| !reclaimable)
                .map(|(_, count)| count)
                .sum();
            let initial_need = (f64::from(present) * self.policy.initial_ratio).ceil() as u32;
            self.initial_need = self.initial_need.max(initial_need);
            self.initial_need
        };
        self.recent_needs
            .retain(|(at, _)| now.saturating_duration_since(*at) < NEED_WINDOW);
        self.recent_needs.push((now, need));
        self.recent_needs
            .iter()
            .map(|(_, need)| *need)
            .max()
            .unwrap_or(need)
            .max(1)
    }

    /// Returns the reclaimable engines to have, the same number in each failure
    /// domain.
    fn plan_reclaimable(
        &mut self,
        service: &ScaledService<'_>,
        need: u32,
        now: Instant,
    ) -> EngineCounts {
        let ScaledService {
            scaling, domains, ..
        } = service;
        if scaling.reclaimable_price.is_none() {
            return EngineCounts::default();
        }
        let total = (f64::from(need) * self.policy.reserve_ratio).ceil() as u32;
        let count = total
            .div_ceil(domains.len().max(1) as u32)
            .clamp(scaling.min, scaling.max.max(scaling.min));
        let ordered: u32 = domains
            .iter()
            .map(|domain| self.ordered_count(domain, true))
            .max()
            .unwrap_or(0);
        let count = if count < ordered && !self.is_surplus(true, now) {
            ordered
        } else {
            count
        };
        if count >= ordered {
            self.surplus_since.remove(&true);
        }
        domains
            .iter()
            .map(|domain| (domain.clone(), count))
            .collect()
    }

    /// Returns the on-demand engines needed in addition to the reclaimable ones.
    fn on_demand_total(
        &mut self,
        service: &ScaledService<'_>,
        need: u32,
        has_demand: bool,
        now: Instant,
    ) -> u32 {
        let domains = service.domains;
        let ready = |domain: &Name| service.ready(domain, true);
        let running: u32 = domains.iter().map(ready).sum();
        let booting: u32 = domains
            .iter()
            .map(|domain| self.booting(service, domain, now))
            .sum();
        let mut wanted = need.saturating_sub(running + booting);
        let scarce = self.scarce_domain_count(now);
        if scarce > 0 {
            let mut ready: Vec<u32> = domains.iter().map(ready).collect();
            ready.sort_unstable();
            // As many further domains can lose theirs before replacements boot.
            let exposed: u32 = ready.iter().rev().take(scarce).sum();
            let surviving = (f64::from(need) * self.policy.surviving_ratio).ceil() as u32;
            wanted = wanted.max(surviving.saturating_sub(running - exposed));
        }
        let current: u32 = domains
            .iter()
            .map(|domain| self.on_demand_at(service, domain))
            .sum();
        if wanted >= current {
            self.surplus_since.remove(&false);
            return wanted;
        }
        // Running engines are released once others have taken over their load.
        let can_release = !has_demand || (running >= need && self.is_surplus(false, now));
        if can_release { wanted } else { current }
    }

    /// Returns the on-demand engines last ordered for a failure domain, or those
    /// present if none were ordered.
    fn on_demand_at(&self, service: &ScaledService<'_>, domain: &Name) -> u32 {
        match self.accepted.get(&(domain.clone(), false)) {
            Some(accepted) => accepted.desired,
            None => service.ready(domain, false),
        }
    }

    /// Distributes `total` on-demand engines over the failure domains with as few
    /// changes as possible.
    fn distribute_on_demand(
        &self,
        service: &ScaledService<'_>,
        obtainable: &EngineCounts,
        total: u32,
    ) -> EngineCounts {
        let ScaledService {
            scaling, domains, ..
        } = service;
        let planned = |domain: &Name| obtainable.get(domain).copied().unwrap_or(0);
        let mut wanted: EngineCounts = domains
            .iter()
            .map(|domain| (domain.clone(), self.on_demand_at(service, domain)))
            .collect();
        let mut cheapest: Vec<&Name> = domains.iter().collect();
        cheapest.sort_by(|a, b| service.price(a).total_cmp(&service.price(b)));
        let mut sum: u32 = wanted.values().sum();
        for domain in &cheapest {
            let current = wanted[*domain];
            let room = scaling.max.saturating_sub(planned(domain) + current);
            let more = total.saturating_sub(sum).min(room);
            wanted.insert((*domain).clone(), current + more);
            sum += more;
        }
        for domain in cheapest.iter().rev() {
            let current = wanted[*domain];
            let least = scaling.min.saturating_sub(planned(domain));
            let fewer = sum.saturating_sub(total).min(current.saturating_sub(least));
            wanted.insert((*domain).clone(), current - fewer);
            sum -= fewer;
        }
        wanted
    }

    /// Returns whether an order would change anything and may be sent now.
    fn is_due(&self, service: &ScaledService<'_>, order: &Order, now: Instant) -> bool {
        let key = (order.domain.clone(), order.reclaimable);
        let refused = self
            .refused
            .get(&key)
            .is_some_and(|at| now.saturating_duration_since(*at) < REFUSAL_BACKOFF);
        if refused {
            return false;
        }
        let present = service.ready(&order.domain, order.reclaimable);
        match self.accepted.get(&key) {
            None => present != order.desired,
            Some(accepted) if accepted.desired != order.desired => true,
            Some(accepted) => {
                let wait = service.scaling.boot_time + REORDER_DELAY;
                let settled = now.saturating_duration_since(accepted.at) >= wait;
                settled && present < order.desired
            }
        }
    }

    fn ordered_count(&self, domain: &Name, reclaimable: bool) -> u32 {
        self.accepted
            .get(&(domain.clone(), reclaimable))
            .map_or(0, |accepted| accepted.desired)
    }

    /// Returns the ordered reclaimable engines that are still booting.
    fn booting(&self, service: &ScaledService<'_>, domain: &Name, now: Instant) -> u32 {
        let Some(accepted) = self.accepted.get(&(domain.clone(), true)) else {
            return 0;
        };
        let boot = service.scaling.boot_time + REORDER_DELAY / 2;
        if now.saturating_duration_since(accepted.at) < boot {
            accepted.desired.saturating_sub(service.ready(domain, true))
        } else {
            0
        }
    }

    /// Returns the reclaimable engines that a failure domain will have: only the
    /// running ones where orders are refused.
    fn obtainable(
        &self,
        service: &ScaledService<'_>,
        domain: &Name,
        planned: u32,
        now: Instant,
    ) -> u32 {
        let refused = self
            .refused
            .get(&(domain.clone(), true))
            .is_some_and(|at| now.saturating_duration_since(*at) < SCARCITY_PERIOD);
        if refused {
            planned.min(service.ready(domain, true))
        } else {
            planned
        }
    }

    /// Returns the number of failure domains that refused reclaimable engines
    /// within [`SCARCITY_PERIOD`].
    fn scarce_domain_count(&self, now: Instant) -> usize {
        self.refused
            .iter()
            .filter(|((_, reclaimable), at)| {
                *reclaimable && now.saturating_duration_since(**at) < SCARCITY_PERIOD
            })
            .count()
    }

    fn is_surplus(&mut self, reclaimable: bool, now: Instant) -> bool {
        let since = *self.surplus_since.entry(reclaimable).or_insert(now);
        now.saturating_duration_since(since) >= SURPLUS_DELAY
    }
}

/// Limits the reclaimable engines to the room that on-demand ones leave.
fn within_bounds(
    service: &ScaledService<'_>,
    planned: EngineCounts,
    on_demand: &EngineCounts,
) -> EngineCounts {
    planned
        .into_iter()
        .map(|(domain, count)| {
            let taken = on_demand.get(&domain).copied().unwrap_or(0);
            let room = service.scaling.max.saturating_sub(taken);
            (domain, count.min(room))
        })
        .collect()
}
