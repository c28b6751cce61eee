//! Duties of the entry that holds the lease: reporting usage, scaling engines,
//! writing snapshots of the counts and removing the registrations of unreachable
//! entries.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_adapter::cloud;
use lycheehaven_catalog::Service;
use lycheehaven_duties::Fleet;
use lycheehaven_duties::Order;
use lycheehaven_duties::ScaledService;
use lycheehaven_duties::Scaler;
use lycheehaven_guard::SNAPSHOT_CHECK_INTERVAL;
use lycheehaven_net::sleep_ms;
use lycheehaven_types::HashMap;
use lycheehaven_types::Name;

use crate::cloud_calls::CloudCalls;
use crate::counts;
use crate::lease::LeaseHandle;
use crate::members::MEMBERS;
use crate::node::Node;
use crate::settings::Duty;
use crate::usage_report::UsageReporter;

/// Interval between runs of the duties, in milliseconds.
const DUTY_INTERVAL_MS: u64 = SNAPSHOT_CHECK_INTERVAL.as_millis() as u64;

/// Delay of scaling after the very first start. The engines register within this
/// time.
const FIRST_START_DELAY: Duration = Duration::from_millis(1500);

/// Delay of scaling after a restart. The demand of active callers is known after
/// this time.
const RESTART_DELAY: Duration = Duration::from_millis(4000);

/// Interval between snapshots of the counts, unless spending makes one due
/// earlier.
const COUNTS_INTERVAL: Duration = Duration::from_millis(1000);

/// Time without a message after which a peer's registration is removed from the
/// store.
const MEMBER_EXPIRY: Duration = Duration::from_secs(15);

/// Runs the duties periodically while this entry holds the lease.
pub(crate) async fn run(node: Rc<Node>, lease: Rc<LeaseHandle>) {
    let Some(cloud) = node.settings.cloud.clone() else {
        return;
    };
    let calls = Rc::new(CloudCalls::new(node.clone(), cloud.address, lease.clone()));
    let mut duties = Duties {
        usage: UsageReporter::new(node.clone(), calls.clone()),
        duties: cloud.duties,
        calls,
        lease,
        scalers: HashMap::default(),
        last_fence: None,
        counts_written: None,
        node,
    };
    loop {
        duties.tick().await;
        sleep_ms(DUTY_INTERVAL_MS).await;
    }
}

struct Duties {
    node: Rc<Node>,
    /// Duties that the settings enable.
    duties: Vec<Duty>,
    calls: Rc<CloudCalls>,
    lease: Rc<LeaseHandle>,
    usage: UsageReporter,
    scalers: HashMap<Name, Scaler>,
    /// Fencing token at the last run of the duties.
    last_fence: Option<u64>,
    counts_written: Option<Instant>,
}

impl Duties {
    async fn tick(&mut self) {
        let fence = self.lease.fence();
        if fence != self.last_fence {
            // Another holder may have reported and scaled meanwhile.
            self.usage.reset();
            self.scalers.clear();
            self.last_fence = fence;
        }
        if fence.is_none() {
            return;
        }
        if self.duties.contains(&Duty::Usage) {
            self.usage.run().await;
        }
        if self.duties.contains(&Duty::Scaling) {
            self.scale_services().await;
        }
        self.write_counts().await;
        self.remove_expired_members().await;
    }

    async fn scale_services(&mut self) {
        let Some(catalog) = self.node.config.borrow().catalog().cloned() else {
            return;
        };
        for service in catalog.services.values() {
            for order in self.plan(service) {
                self.send_order(service, &order).await;
            }
        }
    }

    fn plan(&mut self, service: &Service) -> Vec<Order> {
        let Some(scaling) = &service.scaling else {
            return Vec::new();
        };
        let now = self.node.now();
        if self.node.uptime() < self.scaling_delay() {
            return Vec::new();
        }
        let fleet = fleet(&self.node, service);
        let busy = self
            .node
            .demand
            .borrow_mut()
            .busy_engines(&service.name, now);
        let scaler = self.scalers.entry(service.name.clone()).or_default();
        let scaled = ScaledService {
            scaling,
            domains: &self.node.settings.domains,
            fleet: &fleet,
        };
        scaler.plan(&scaled, busy, now)
    }

    /// Returns the time after the start until engines and demand are known well
    /// enough to scale.
    fn scaling_delay(&self) -> Duration {
        if self.node.settings.first_start {
            FIRST_START_DELAY
        } else {
            RESTART_DELAY
        }
    }

    async fn send_order(&mut self, service: &Service, order: &Order) {
        let body = cloud::scale_body(
            &service.name,
            &order.domain,
            order.reclaimable,
            order.desired,
        );
        let Some(status) = self.calls.call(cloud::SCALE_PATH, body).await else {
            return;
        };
        let now = self.node.now();
        let scaler = self.scalers.entry(service.name.clone()).or_default();
        match status {
            200..300 => scaler.record_accepted(order, now),
            _ => scaler.record_refused(order, now),
        }
        let key = (order.domain.clone(), order.reclaimable);
        let ready = fleet(&self.node, service).get(&key).copied();
        let busy = self
            .node
            .demand
            .borrow_mut()
            .busy_engines(&service.name, now);
        log::info!(
            target: "lycheehaven",
            service = &*service.name, domain = &*order.domain, spot = order.reclaimable,
            desired = order.desired, ready = ready.unwrap_or(0), busy = busy, status = status;
            "requested a number of engines from the cloud"
        );
    }

    /// Writes a snapshot of all entries' counts to the store, so that they survive a
    /// simultaneous restart of all entries.
    async fn write_counts(&mut self) {
        let node = &self.node;
        let now = node.now();
        let recent = self
            .counts_written
            .is_some_and(|at| now.saturating_duration_since(at) < COUNTS_INTERVAL);
        if recent && !counts::is_due(node) {
            return;
        }
        self.counts_written = Some(now);
        if let Err(cause) = counts::write(node).await {
            let cause = cause.to_string();
            log::info!(target: "lycheehaven", cause = cause.as_str(); "can't write the counts snapshot to the store");
        }
    }

    /// Removes the registrations of entries from which no message arrived for
    /// [`MEMBER_EXPIRY`].
    async fn remove_expired_members(&self) {
        let node = &self.node;
        let now = node.now();
        let expired = node.roster.borrow_mut().expired(MEMBER_EXPIRY, now);
        for name in expired {
            if let Err(cause) = node.store.delete(MEMBERS, &name).await {
                let cause = cause.to_string();
                log::info!(target: "lycheehaven", entry = &*name, cause = cause.as_str(); "can't remove the registration of an unreachable entry; retrying");
                return;
            }
            log::info!(target: "lycheehaven", entry = &*name; "removed the registration of an unreachable entry");
        }
    }
}

/// Smallest part of an engine that its limit has to leave for it to count.
const MIN_USABLE_PART: f64 = 0.5;

/// Returns the number of usable engines of a service by failure domain and by
/// whether they are reclaimable. An engine that wants no requests until a new one could
/// have started is not usable, nor is one that limits its requests to less than half of
/// what keeps it busy.
fn fleet(node: &Node, service: &Service) -> Fleet {
    let now = node.now();
    let scaling = service.scaling.as_ref();
    let boot_time = scaling.map_or(Duration::MAX, |scaling| scaling.boot_time);
    let directory = node.directory.borrow();
    let pauses = node.pauses.borrow();
    let permits = node.permits.borrow();
    let mut demand = node.demand.borrow_mut();
    let mut fleet = Fleet::default();
    for upstream in directory.of_service(&service.name) {
        let pause = pauses.get(&upstream.key, now);
        let paused = pause.is_some_and(|pause| pause.remaining(now) >= boot_time);
        let rate = permits.rate(&upstream.key);
        let limited = rate.is_some_and(|rate| {
            demand.usable_part(&service.name, rate.per_second(), now) < MIN_USABLE_PART
        });
        if directory.is_usable(upstream) && !paused && !limited {
            let key = (upstream.domain.clone(), upstream.reclaimable);
            *fleet.entry(key).or_default() += 1;
        }
    }
    fleet
}
