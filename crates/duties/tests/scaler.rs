//! Engine orders while reclaimable engines are reclaimed and refused.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::Scaling;
use lycheehaven_duties::Fleet;
use lycheehaven_duties::Order;
use lycheehaven_duties::ScaledService;
use lycheehaven_duties::Scaler;
use lycheehaven_types::HashMap;
use lycheehaven_types::Name;

const PLAN_INTERVAL: Duration = Duration::from_millis(250);

/// A cloud that boots ordered engines and refuses reclaimable ones while they are
/// scarce.
struct Cloud {
    scaling: Scaling,
    domains: Vec<Name>,
    fleet: Fleet,
    desired: HashMap<(Name, bool), (u32, Instant)>,
    is_scarce: bool,
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
            is_scarce: false,
            start: Instant::now(),
            orders: Vec::new(),
        }
    }

    fn run(&mut self, scaler: &mut Scaler, from_s: u64, until_s: u64, busy_engines: f64) {
        let mut now = self.start + Duration::from_secs(from_s);
        let end = self.start + Duration::from_secs(until_s);
        while now < end {
            self.boot(now);
            let service = ScaledService {
                scaling: &self.scaling,
                domains: &self.domains,
                fleet: &self.fleet,
            };
            for order in scaler.plan(&service, busy_engines, now) {
                self.order(scaler, order, now);
            }
            now += PLAN_INTERVAL;
        }
    }

    fn order(&mut self, scaler: &mut Scaler, order: Order, now: Instant) {
        if order.reclaimable && self.is_scarce {
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

    /// Reclaims the reclaimable engines of `domains` and refuses further ones.
    fn reclaim_and_refuse(&mut self, domains: &[&str]) {
        self.is_scarce = true;
        for domain in domains {
            self.reclaim(domain);
        }
    }

    fn count(&self, reclaimable: bool) -> u32 {
        self.fleet
            .iter()
            .filter(|((_, kind), _)| *kind == reclaimable)
            .map(|(_, count)| count)
            .sum()
    }
}

/// Guards against orders derived from a partial fleet: when only 20 of 60
/// engines had registered, the orders released the rest and left 20 engines for
/// a demand of 31. Found in the simulated days caroni-refill-grown and
/// rph-hinnad-grown.
#[test]
fn no_orders_before_all_engines_have_registered() {
    let mut cloud = Cloud::new();
    cloud.scaling.max = 24;
    cloud.fleet.clear();
    let mut scaler = Scaler::default();
    for second in 0..3 {
        let registered = 5 * (second as u32 + 1);
        for domain in cloud.domains.clone() {
            cloud.fleet.insert((domain, false), registered);
        }
        cloud.run(&mut scaler, second, second + 1, 0.0);
    }
    assert_eq!(cloud.orders, []);
    cloud.run(&mut scaler, 3, 12, 0.0);
    assert!(cloud.count(true) >= 36, "{} engines", cloud.count(true));
    assert_eq!(cloud.count(false), 0);
}

#[test]
fn reclaimable_engines_replace_initial_on_demand_ones() {
    let mut cloud = Cloud::new();
    let mut scaler = Scaler::default();
    cloud.run(&mut scaler, 0, 8, 0.0);
    assert_eq!(cloud.count(false), 0);
    assert!(cloud.count(true) >= 20, "{}", cloud.count(true));
    let reclaimable_engines = cloud
        .fleet
        .iter()
        .filter(|((_, reclaimable), _)| *reclaimable);
    let counts: Vec<u32> = reclaimable_engines.map(|(_, count)| *count).collect();
    assert!(counts.iter().max().unwrap_or(&0) - counts.iter().min().unwrap_or(&0) <= 1);
}

#[test]
fn on_demand_engines_replace_refused_reclaimable_ones() {
    let mut cloud = Cloud::new();
    let mut scaler = Scaler::default();
    cloud.run(&mut scaler, 0, 10, 10.0);
    cloud.reclaim_and_refuse(&["a", "b"]);
    cloud.run(&mut scaler, 10, 20, 10.0);
    let total = cloud.count(true) + cloud.count(false);
    assert!(total >= 12, "{total} engines for a load of 10");
    cloud.reclaim("c");
    cloud.reclaim("d");
    cloud.run(&mut scaler, 20, 30, 10.0);
    assert!(cloud.count(false) >= 12, "{}", cloud.count(false));
    cloud.is_scarce = false;
    cloud.run(&mut scaler, 30, 50, 10.0);
    assert_eq!(cloud.count(false), 0, "on-demand engines were not released");
}

/// The orders of one failure domain and kind must not oscillate while nothing
/// changes.
#[test]
fn orders_are_stable_while_reclaimable_engines_are_refused() {
    let mut cloud = Cloud::new();
    let mut scaler = Scaler::default();
    cloud.run(&mut scaler, 0, 10, 10.0);
    cloud.reclaim_and_refuse(&["a", "b"]);
    cloud.run(&mut scaler, 10, 11, 10.0);
    let before = cloud.orders.len();
    cloud.run(&mut scaler, 11, 25, 10.0);
    let after = cloud.orders.len() - before;
    assert!(
        after <= 4,
        "{after} orders accepted in 14 s without changes"
    );
}

#[test]
fn engine_counts_stay_within_bounds() {
    let mut cloud = Cloud::new();
    let mut scaler = Scaler::default();
    cloud.run(&mut scaler, 0, 10, 100.0);
    cloud.reclaim_and_refuse(&["a"]);
    cloud.run(&mut scaler, 10, 20, 100.0);
    for domain in &cloud.domains {
        let reclaimable = cloud.fleet.get(&(domain.clone(), true)).copied();
        let on_demand = cloud.fleet.get(&(domain.clone(), false)).copied();
        let total = reclaimable.unwrap_or(0) + on_demand.unwrap_or(0);
        assert!(total <= cloud.scaling.max, "{domain}: {total}");
    }
}

/// Two failure domains lose their reclaimable engines together and the others
/// follow before on-demand engines have booted, which takes 4 s. Enough engines
/// must be left. Found in the simulated day caroni-refill-grown scale-2.
#[test]
fn enough_engines_survive_when_as_many_further_domains_fail() {
    let mut cloud = Cloud::new();
    cloud.scaling.max = 24;
    let mut scaler = Scaler::default();
    cloud.run(&mut scaler, 0, 12, 26.0);
    cloud.reclaim_and_refuse(&["d", "c"]);
    cloud.run(&mut scaler, 12, 18, 26.0);
    cloud.reclaim("b");
    cloud.reclaim("a");
    let remaining = cloud.count(true) + cloud.count(false);
    assert!(remaining >= 24, "{remaining} engines left for a load of 26");
}
