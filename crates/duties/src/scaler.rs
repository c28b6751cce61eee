//! How many engines to order.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::Scaling;
use lycheehaven_types::HashMap;
use lycheehaven_types::Name;

/// Time after a refusal until the same kind is ordered there again.
const REFUSED: Duration = Duration::from_millis(2000);

/// Time after a refusal for which reclaimable engines count as scarce.
const SCARCE: Duration = Duration::from_millis(3500);

/// Time after which an order without visible effect is given again, beyond the
/// boot time.
const REPEAT: Duration = Duration::from_secs(4);

/// Time for which fewer engines must suffice before any are given back.
const SURPLUS: Duration = Duration::from_secs(4);

/// Time for which the greatest need is remembered.
const NEED_HELD: Duration = Duration::from_secs(10);

/// Time without a further engine after which all that were there at the start
/// are taken to be known.
const ALL_KNOWN: Duration = Duration::from_millis(1000);

/// Longest wait for the engines that were there at the start.
const KNOWN_MOST: Duration = Duration::from_secs(5);

/// What the scaler aims at.
#[derive(Debug, Clone, Copy)]
pub struct ScalePolicy {
    /// Part of the time that an engine should be busy.
    pub target_utilization: f64,
    /// Reclaimable engines for each engine that is needed, so that what is
    /// left suffices when a failure domain's are taken away.
    pub reserve_ratio: f64,
    /// Part of the need that must be left if further failure domains lose
    /// their reclaimable engines while these are scarce.
    pub surviving_ratio: f64,
    /// Part of the present engines that is taken to be needed before there was
    /// any demand.
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

/// Engines of a service that take requests, by failure domain and by whether
/// they are reclaimable.
pub type Fleet = HashMap<(Name, bool), u32>;

/// A service whose engines are ordered.
#[derive(Debug, Clone, Copy)]
pub struct ScaledService<'a> {
    /// Bounds and prices.
    pub scaling: &'a Scaling,
    /// All failure domains.
    pub domains: &'a [Name],
    /// Engines that take requests.
    pub fleet: &'a Fleet,
}

impl ScaledService<'_> {
    fn ready(&self, domain: &Name, spot: bool) -> u32 {
        let key = (domain.clone(), spot);
        self.fleet.get(&key).copied().unwrap_or(0)
    }

    fn price(&self, domain: &Name) -> f64 {
        self.scaling.prices.get(domain).copied().unwrap_or(1.0)
    }
}

/// An order to have a number of engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Failure domain.
    pub domain: Name,
    /// Whether the engines may be reclaimed.
    pub reclaimable: bool,
    /// Engines to have.
    pub desired: u32,
}

#[derive(Debug, Clone, Copy)]
struct Given {
    desired: u32,
    at: Instant,
}

/// Engines that register one after the other.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    count: u32,
    first: Instant,
    last: Instant,
}

type Numbers = HashMap<Name, u32>;

/// Orders engines of one service.
///
/// Reclaimable engines are cheap and are spread over all failure domains with
/// a reserve. On-demand engines fill in where reclaimable ones are refused,
/// the cheapest failure domain first.
#[derive(Debug, Default)]
pub struct Scaler {
    policy: ScalePolicy,
    given: HashMap<(Name, bool), Given>,
    refused: HashMap<(Name, bool), Instant>,
    surplus: HashMap<bool, Instant>,
    held: Vec<(Instant, u32)>,
    /// Engines at the start, as far as they are known.
    arrival: Option<Arrival>,
    /// Need before there was any demand, from the on-demand engines seen.
    unknown: u32,
}

impl Scaler {
    /// Notes that an order was accepted.
    pub fn record_accepted(&mut self, order: &Order, now: Instant) {
        let key = (order.domain.clone(), order.reclaimable);
        self.refused.remove(&key);
        let given = Given {
            desired: order.desired,
            at: now,
        };
        self.given.insert(key, given);
    }

    /// Notes that an order was refused for want of engines.
    pub fn record_refused(&mut self, order: &Order, now: Instant) {
        let key = (order.domain.clone(), order.reclaimable);
        self.refused.insert(key, now);
    }

    /// Orders for a service on which callers ask for the work of `busy`
    /// engines; 0 if there was no demand yet, in which case on-demand engines
    /// are replaced as soon as reclaimable ones are ordered.
    pub fn plan(&mut self, service: &ScaledService<'_>, busy: f64, now: Instant) -> Vec<Order> {
        if busy == 0.0 && self.given.is_empty() && !self.knows_all(service.fleet, now) {
            return Vec::new();
        }
        let need = self.need(service.fleet, busy, now);
        let planned = self.spot(service, need, now);
        let total = self.on_demand_total(service, need, busy > 0.0, now);
        let held: Numbers = planned
            .iter()
            .map(|(domain, count)| {
                (
                    domain.clone(),
                    self.obtainable(service, domain, *count, now),
                )
            })
            .collect();
        let demand = self.on_demand(service, &held, total);
        let spot = within_bounds(service, planned, &demand);
        let mut orders = Vec::new();
        for domain in service.domains {
            for (kind, wanted) in [(true, &spot), (false, &demand)] {
                let order = Order {
                    domain: domain.clone(),
                    reclaimable: kind,
                    desired: wanted.get(domain).copied().unwrap_or(0),
                };
                if self.is_due(service, &order, now) {
                    orders.push(order);
                }
            }
        }
        // Engines that are given back make room for those that are ordered.
        orders.sort_by_key(|order| order.desired > service.ready(&order.domain, order.reclaimable));
        orders
    }

    /// Whether no further engine of those at the start is expected. Orders given
    /// before would give engines back that are not known yet.
    fn knows_all(&mut self, fleet: &Fleet, now: Instant) -> bool {
        let count = fleet.values().sum();
        let arrival = self.arrival.get_or_insert(Arrival {
            count,
            first: now,
            last: now,
        });
        if count != arrival.count {
            arrival.count = count;
            arrival.last = now;
        }
        now.saturating_duration_since(arrival.last) >= ALL_KNOWN
            || now.saturating_duration_since(arrival.first) >= KNOWN_MOST
    }

    /// Engines that are needed now, or were a short time ago.
    fn need(&mut self, fleet: &Fleet, busy: f64, now: Instant) -> u32 {
        let need = if busy > 0.0 {
            (busy / self.policy.target_utilization).ceil() as u32
        } else {
            // Engines register one after the other, and are then replaced.
            let present: u32 = fleet
                .iter()
                .filter(|((_, spot), _)| !spot)
                .map(|(_, count)| count)
                .sum();
            let unknown = (f64::from(present) * self.policy.initial_ratio).ceil() as u32;
            self.unknown = self.unknown.max(unknown);
            self.unknown
        };
        self.held
            .retain(|(at, _)| now.saturating_duration_since(*at) < NEED_HELD);
        self.held.push((now, need));
        self.held
            .iter()
            .map(|(_, need)| *need)
            .max()
            .unwrap_or(need)
            .max(1)
    }

    /// Reclaimable engines by failure domain, as even as possible.
    fn spot(&mut self, service: &ScaledService<'_>, need: u32, now: Instant) -> Numbers {
        let ScaledService {
            scaling, domains, ..
        } = service;
        if scaling.reclaimable_price.is_none() {
            return Numbers::default();
        }
        let total = (f64::from(need) * self.policy.reserve_ratio).ceil() as u32;
        let count = total
            .div_ceil(domains.len().max(1) as u32)
            .clamp(scaling.min, scaling.max.max(scaling.min));
        let present: u32 = domains
            .iter()
            .map(|domain| self.ordered(domain, true))
            .max()
            .unwrap_or(0);
        let count = if count < present && !self.is_surplus(true, now) {
            present
        } else {
            count
        };
        if count >= present {
            self.surplus.remove(&true);
        }
        domains
            .iter()
            .map(|domain| (domain.clone(), count))
            .collect()
    }

    /// On-demand engines that are needed beside the reclaimable ones.
    fn on_demand_total(
        &mut self,
        service: &ScaledService<'_>,
        need: u32,
        loaded: bool,
        now: Instant,
    ) -> u32 {
        let domains = service.domains;
        let ready = |domain: &Name| service.ready(domain, true);
        let running: u32 = domains.iter().map(ready).sum();
        let coming: u32 = domains
            .iter()
            .map(|domain| self.coming(service, domain, now))
            .sum();
        let mut wanted = need.saturating_sub(running + coming);
        let scarce = self.scarce_domains(now);
        if scarce > 0 {
            let mut ready: Vec<u32> = domains.iter().map(ready).collect();
            ready.sort_unstable();
            // As many further domains may lose theirs before others have booted.
            let exposed: u32 = ready.iter().rev().take(scarce).sum();
            let insured = (f64::from(need) * self.policy.surviving_ratio).ceil() as u32;
            wanted = wanted.max(insured.saturating_sub(running - exposed));
        }
        let current: u32 = domains
            .iter()
            .map(|domain| self.on_demand_at(service, domain))
            .sum();
        if wanted >= current {
            self.surplus.remove(&false);
            return wanted;
        }
        // Engines that run are given back when others do their work.
        let spare = !loaded || (running >= need && self.is_surplus(false, now));
        if spare { wanted } else { current }
    }

    /// On-demand engines that a failure domain has or was ordered to have.
    fn on_demand_at(&self, service: &ScaledService<'_>, domain: &Name) -> u32 {
        match self.given.get(&(domain.clone(), false)) {
            Some(given) => given.desired,
            None => service.ready(domain, false),
        }
    }

    /// Distributes `total` on-demand engines, moving as few as possible.
    fn on_demand(&self, service: &ScaledService<'_>, spot: &Numbers, total: u32) -> Numbers {
        let ScaledService {
            scaling, domains, ..
        } = service;
        let planned = |domain: &Name| spot.get(domain).copied().unwrap_or(0);
        let mut wanted: Numbers = domains
            .iter()
            .map(|domain| (domain.clone(), self.on_demand_at(service, domain)))
            .collect();
        let mut cheapest: Vec<&Name> = domains.iter().collect();
        cheapest.sort_by(|a, b| service.price(a).total_cmp(&service.price(b)));
        let mut sum: u32 = wanted.values().sum();
        for domain in &cheapest {
            let held = wanted[*domain];
            let room = scaling.max.saturating_sub(planned(domain) + held);
            let more = total.saturating_sub(sum).min(room);
            wanted.insert((*domain).clone(), held + more);
            sum += more;
        }
        for domain in cheapest.iter().rev() {
            let held = wanted[*domain];
            let least = scaling.min.saturating_sub(planned(domain));
            let fewer = sum.saturating_sub(total).min(held.saturating_sub(least));
            wanted.insert((*domain).clone(), held - fewer);
            sum -= fewer;
        }
        wanted
    }

    /// Whether an order changes anything and may be given now.
    fn is_due(&self, service: &ScaledService<'_>, order: &Order, now: Instant) -> bool {
        let key = (order.domain.clone(), order.reclaimable);
        let refused = self
            .refused
            .get(&key)
            .is_some_and(|at| now.saturating_duration_since(*at) < REFUSED);
        if refused {
            return false;
        }
        let present = service.ready(&order.domain, order.reclaimable);
        match self.given.get(&key) {
            None => present != order.desired,
            Some(given) if given.desired != order.desired => true,
            Some(given) => {
                let wait = service.scaling.boot_time + REPEAT;
                let settled = now.saturating_duration_since(given.at) >= wait;
                settled && present < order.desired
            }
        }
    }

    fn ordered(&self, domain: &Name, spot: bool) -> u32 {
        self.given
            .get(&(domain.clone(), spot))
            .map_or(0, |given| given.desired)
    }

    /// Reclaimable engines that were ordered and are still booting.
    fn coming(&self, service: &ScaledService<'_>, domain: &Name, now: Instant) -> u32 {
        let Some(given) = self.given.get(&(domain.clone(), true)) else {
            return 0;
        };
        let boot = service.scaling.boot_time + REPEAT / 2;
        if now.saturating_duration_since(given.at) < boot {
            given.desired.saturating_sub(service.ready(domain, true))
        } else {
            0
        }
    }

    /// Reclaimable engines that a failure domain will have: where they are
    /// refused, only those that run.
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
            .is_some_and(|at| now.saturating_duration_since(*at) < SCARCE);
        if refused {
            planned.min(service.ready(domain, true))
        } else {
            planned
        }
    }

    /// Failure domains in which reclaimable engines were refused lately.
    fn scarce_domains(&self, now: Instant) -> usize {
        self.refused
            .iter()
            .filter(|((_, spot), at)| *spot && now.saturating_duration_since(**at) < SCARCE)
            .count()
    }

    fn is_surplus(&mut self, spot: bool, now: Instant) -> bool {
        let since = *self.surplus.entry(spot).or_insert(now);
        now.saturating_duration_since(since) >= SURPLUS
    }
}

/// Reclaimable engines for which there is room beside on-demand ones.
fn within_bounds(service: &ScaledService<'_>, planned: Numbers, demand: &Numbers) -> Numbers {
    planned
        .into_iter()
        .map(|(domain, count)| {
            let taken = demand.get(&domain).copied().unwrap_or(0);
            let room = service.scaling.max.saturating_sub(taken);
            (domain, count.min(room))
        })
        .collect()
}
