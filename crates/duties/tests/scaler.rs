//! Orders for engines over a day with reclaims.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::Scaling;
use lycheehaven_duties::Fleet;
use lycheehaven_duties::Order;
use lycheehaven_duties::ScaledService;
use lycheehaven_duties::Scaler;
use lycheehaven_types::HashMap;
use lycheehaven_types::Name;

const TICK: Duration = Duration::from_millis(250);

/// A cloud that boots what is ordered, unless the kind is refused.
struct Cloud {
    scaling: Scaling,
    domains: Vec<Name>,
    fleet: Fleet,
    desired: HashMap<(Name, bool), (u32, Instant)>,
    dry: bool,
    start: Instant,
    orders: Vec<(Duration, Order)>,
}

impl Cloud {
    fn new() -> Self {
        let domains: Vec<Name> = ["a", "b", "c", "d"].map(Name::from).to_vec();
        let prices = [("a", 1.0), ("b", 0.8), ("c", 1.25), ("d", 0.9)]
            .map(|(domain, price)| (domain.into(), price))
            .into_iter()
            .collect();
        let fleet = domains
            .iter()
            .map(|domain| ((domain.clone(), false), 5))
            .collect();
        Self {
            scaling: Scaling {
                min: 1,
                max: 10,
                boot_time: Duration::from_secs(4),
                reclaimable_price: Some(0.2),
                prices,
            },
            domains,
            fleet,
            desired: HashMap::default(),
            dry: false,
            start: Instant::now(),
            orders: Vec::new(),
        }
    }

    fn run(&mut self, scaler: &mut Scaler, from_s: u64, until_s: u64, busy: f64) {
        let mut now = self.start + Duration::from_secs(from_s);
        let end = self.start + Duration::from_secs(until_s);
        while now < end {
            self.boot(now);
            let scaled = ScaledService {
                scaling: &self.scaling,
                domains: &self.domains,
                fleet: &self.fleet,
            };
            for order in scaler.plan(&scaled, busy, now) {
                self.order(scaler, order, now);
            }
            now += TICK;
        }
    }

    fn order(&mut self, scaler: &mut Scaler, order: Order, now: Instant) {
        if order.reclaimable && self.dry {
            scaler.record_refused(&order, now);
            return;
        }
        scaler.record_accepted(&order, now);
        let key = (order.domain.clone(), order.reclaimable);
        let present = self.fleet.entry(key.clone()).or_insert(0);
        *present = (*present).min(order.desired);
        self.desired.insert(key, (order.desired, now));
        self.orders.push((now - self.start, order));
    }

    fn boot(&mut self, now: Instant) {
        for (key, (desired, at)) in &self.desired {
            if now - *at >= self.scaling.boot_time {
                self.fleet.insert(key.clone(), *desired);
            }
        }
    }

    fn reclaim(&mut self, domain: &str) {
        let key = (Name::from(domain), true);
        self.fleet.insert(key.clone(), 0);
        self.desired.remove(&key);
    }

    /// Takes the reclaimable engines of these domains away and gives out none.
    fn dry_up(&mut self, domains: &[&str]) {
        self.dry = true;
        for domain in domains {
            self.reclaim(domain);
        }
    }

    fn count(&self, spot: bool) -> u32 {
        self.fleet
            .iter()
            .filter(|((_, kind), _)| *kind == spot)
            .map(|(_, count)| count)
            .sum()
    }
}

/// caroni-refill-grown and rph-hinnad-grown: orders given when 20 of 60 engines
/// had registered left 20 for a demand of 31.
#[test]
fn engines_that_register_late_are_waited_for() {
    let mut cloud = Cloud::new();
    cloud.scaling.max = 24;
    cloud.fleet.clear();
    let mut scaler = Scaler::default();
    for second in 0..3 {
        let known = 5 * (second as u32 + 1);
        for domain in cloud.domains.clone() {
            cloud.fleet.insert((domain, false), known);
        }
        cloud.run(&mut scaler, second, second + 1, 0.0);
    }
    assert_eq!(cloud.orders, []);
    cloud.run(&mut scaler, 3, 12, 0.0);
    assert!(cloud.count(true) >= 36, "{} engines", cloud.count(true));
    assert_eq!(cloud.count(false), 0);
}

#[test]
fn reclaimable_engines_replace_on_demand_ones() {
    let mut cloud = Cloud::new();
    let mut scaler = Scaler::default();
    cloud.run(&mut scaler, 0, 8, 0.0);
    assert_eq!(cloud.count(false), 0);
    assert!(cloud.count(true) >= 20, "{}", cloud.count(true));
    let even = cloud.fleet.iter().filter(|((_, spot), _)| *spot);
    let counts: Vec<u32> = even.map(|(_, count)| *count).collect();
    assert!(counts.iter().max().unwrap_or(&0) - counts.iter().min().unwrap_or(&0) <= 1);
}

#[test]
fn on_demand_engines_fill_in_while_reclaimable_ones_are_refused() {
    let mut cloud = Cloud::new();
    let mut scaler = Scaler::default();
    cloud.run(&mut scaler, 0, 10, 10.0);
    cloud.dry_up(&["a", "b"]);
    cloud.run(&mut scaler, 10, 20, 10.0);
    let total = cloud.count(true) + cloud.count(false);
    assert!(total >= 12, "{total} engines for the work of 10");
    cloud.reclaim("c");
    cloud.reclaim("d");
    cloud.run(&mut scaler, 20, 30, 10.0);
    assert!(cloud.count(false) >= 12, "{}", cloud.count(false));
    cloud.dry = false;
    cloud.run(&mut scaler, 30, 50, 10.0);
    assert_eq!(cloud.count(false), 0, "given back");
}

/// The orders of one domain and kind must not swing while nothing changes.
#[test]
fn orders_are_stable_while_reclaimable_engines_are_refused() {
    let mut cloud = Cloud::new();
    let mut scaler = Scaler::default();
    cloud.run(&mut scaler, 0, 10, 10.0);
    cloud.dry_up(&["a", "b"]);
    cloud.run(&mut scaler, 10, 11, 10.0);
    let before = cloud.orders.len();
    cloud.run(&mut scaler, 11, 25, 10.0);
    let after = cloud.orders.len() - before;
    assert!(after <= 4, "{after} accepted orders in 14 calm seconds");
}

#[test]
fn numbers_stay_within_bounds() {
    let mut cloud = Cloud::new();
    let mut scaler = Scaler::default();
    cloud.run(&mut scaler, 0, 10, 100.0);
    cloud.dry_up(&["a"]);
    cloud.run(&mut scaler, 10, 20, 100.0);
    for domain in &cloud.domains {
        let spot = cloud.fleet.get(&(domain.clone(), true)).copied();
        let demand = cloud.fleet.get(&(domain.clone(), false)).copied();
        let both = spot.unwrap_or(0) + demand.unwrap_or(0);
        assert!(both <= cloud.scaling.max, "{domain}: {both}");
    }
}

/// caroni-refill-grown scale-2: two domains lost their reclaimable engines
/// together, others followed; on-demand engines take four seconds to boot.
#[test]
fn as_many_further_domains_may_fail_as_are_without_reclaimable_engines() {
    let mut cloud = Cloud::new();
    cloud.scaling.max = 24;
    let mut scaler = Scaler::default();
    cloud.run(&mut scaler, 0, 12, 26.0);
    cloud.dry_up(&["d", "c"]);
    cloud.run(&mut scaler, 12, 18, 26.0);
    cloud.reclaim("b");
    cloud.reclaim("a");
    let left = cloud.count(true) + cloud.count(false);
    assert!(left >= 24, "{left} engines for the work of 26");
}
