//! How many engines to order.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::Scaling;
use lycheehaven_types::HashMap;
use lycheehaven_types::Name;

/// Time for which a refused kind is not ordered again in a failure domain.
const REFUSED: Duration = Duration::from_millis(1500);

/// Time after which an order that has no visible effect is given again, beyond
/// the boot time.
const REPEAT: Duration = Duration::from_secs(4);

/// Time for which a smaller number must suffice before on-demand engines are
/// given back.
const SURPLUS: Duration = Duration::from_secs(4);

/// Reclaimable engines for each engine that is needed, so that what is left
/// suffices when a failure domain's are taken away.
const RESERVE: f64 = 1.6;

/// Engines of one kind in a failure domain.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Pool {
    /// Engines that take requests.
    pub ready: u32,
    /// Engines that are leaving.
    pub leaving: u32,
}

/// Engines of a service, by failure domain and by whether they are
/// reclaimable.
pub type Fleet = HashMap<(Name, bool), Pool>;

/// An order to have a number of engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Failure domain.
    pub domain: Name,
    /// Whether the engines may be reclaimed.
    pub spot: bool,
    /// Engines to have.
    pub desired: u32,
}

#[derive(Debug, Clone, Copy)]
struct Given {
    desired: u32,
    at: Instant,
}

/// Orders engines of one service.
///
/// Reclaimable engines are cheap and are spread over all failure domains with
/// a reserve. On-demand engines fill in where reclaimable ones are refused or
/// still booting, the cheapest failure domain first.
#[derive(Debug, Default)]
pub struct Scaler {
    given: HashMap<(Name, bool), Given>,
    refused: HashMap<(Name, bool), Instant>,
    surplus: Option<Instant>,
}

impl Scaler {
    /// Forgets what was ordered, when another holder may have ordered since.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Notes that an order was accepted.
    pub fn accepted(&mut self, order: &Order, now: Instant) {
        let key = (order.domain.clone(), order.spot);
        let given = Given {
            desired: order.desired,
            at: now,
        };
        self.given.insert(key, given);
    }

    /// Notes that an order was refused for want of engines.
    pub fn refused(&mut self, order: &Order, now: Instant) {
        let key = (order.domain.clone(), order.spot);
        self.refused.insert(key, now);
    }

    /// Orders that give `need` engines with the reserve.
    pub fn plan(
        &mut self,
        scaling: &Scaling,
        domains: &[Name],
        fleet: &Fleet,
        need: u32,
        now: Instant,
    ) -> Vec<Order> {
        let spot = match scaling.spot_price {
            Some(_) => spread(need, domains, scaling),
            None => HashMap::default(),
        };
        let demand = self.on_demand(scaling, domains, fleet, &spot, need, now);
        let mut orders = Vec::new();
        for domain in domains {
            for (kind, wanted) in [(true, &spot), (false, &demand)] {
                let desired = wanted.get(domain).copied().unwrap_or(0);
                orders.extend(self.order(scaling, domain, kind, desired, fleet, now));
            }
        }
        orders
    }

    /// The on-demand engines that are needed beside the reclaimable ones.
    fn on_demand(
        &mut self,
        scaling: &Scaling,
        domains: &[Name],
        fleet: &Fleet,
        spot: &HashMap<Name, u32>,
        need: u32,
        now: Instant,
    ) -> HashMap<Name, u32> {
        let running: u32 = domains
            .iter()
            .map(|domain| pool(fleet, domain, true).ready)
            .sum();
        let current: u32 = domains
            .iter()
            .map(|domain| pool(fleet, domain, false).ready)
            .sum();
        let mut total = need.saturating_sub(running);
        if total < current {
            let since = *self.surplus.get_or_insert(now);
            if now.saturating_duration_since(since) < SURPLUS {
                return domains
                    .iter()
                    .map(|domain| (domain.clone(), pool(fleet, domain, false).ready))
                    .collect();
            }
        } else {
            self.surplus = None;
        }
        let mut cheapest: Vec<&Name> = domains.iter().collect();
        cheapest.sort_by(|a, b| price(scaling, a).total_cmp(&price(scaling, b)));
        let mut wanted: HashMap<Name, u32> = HashMap::default();
        for domain in &cheapest {
            let room = scaling.max.saturating_sub(spot.get(*domain).copied().unwrap_or(0));
            let count = total.min(room);
            wanted.insert((*domain).clone(), count);
            total -= count;
        }
        for domain in domains {
            let planned = spot.get(domain).copied().unwrap_or(0);
            let count = wanted.entry(domain.clone()).or_insert(0);
            *count = (*count).max(scaling.min.saturating_sub(planned));
        }
        wanted
    }

    fn order(
        &self,
        scaling: &Scaling,
        domain: &Name,
        spot: bool,
        desired: u32,
        fleet: &Fleet,
        now: Instant,
    ) -> Option<Order> {
        let key = (domain.clone(), spot);
        if let Some(at) = self.refused.get(&key) {
            if now.saturating_duration_since(*at) < REFUSED {
                return None;
            }
        }
        let present = pool(fleet, domain, spot).ready;
        let needed = match self.given.get(&key) {
            None => present != desired,
            Some(given) if given.desired != desired => true,
            Some(given) => {
                let settled = now.saturating_duration_since(given.at) >= scaling.boot + REPEAT;
                settled && present != desired
            }
        };
        needed.then(|| Order {
            domain: domain.clone(),
            spot,
            desired,
        })
    }
}

/// Reclaimable engines by failure domain, as even as possible.
fn spread(need: u32, domains: &[Name], scaling: &Scaling) -> HashMap<Name, u32> {
    let total = (f64::from(need) * RESERVE).ceil() as u32;
    let count = total
        .div_ceil(domains.len().max(1) as u32)
        .clamp(scaling.min, scaling.max.max(scaling.min));
    domains
        .iter()
        .map(|domain| (domain.clone(), count))
        .collect()
}

fn pool(fleet: &Fleet, domain: &Name, spot: bool) -> Pool {
    fleet
        .get(&(domain.clone(), spot))
        .copied()
        .unwrap_or_default()
}

fn price(scaling: &Scaling, domain: &Name) -> f64 {
    scaling.prices.get(domain).copied().unwrap_or(1.0)
}
