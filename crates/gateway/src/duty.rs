//! The duties of the lease's holder: usage reports and orders for engines.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_adapter::cloud;
use lycheehaven_catalog::Service;
use lycheehaven_duties::Fleet;
use lycheehaven_duties::Order;
use lycheehaven_duties::ScaledService;
use lycheehaven_duties::Scaler;
use lycheehaven_duties::WindowCounts;
use lycheehaven_guard::SNAPSHOT_CHECK_INTERVAL;
use lycheehaven_net::sleep_ms;
use lycheehaven_types::HashMap;
use lycheehaven_types::Name;
use serde::Deserialize;

use crate::call::post_once;
use crate::counts;
use crate::lease::LeaseHandle;
use crate::members::MEMBERS;
use crate::node::Node;
use crate::settings::CloudSettings;
use crate::settings::Duty;
use crate::store::Written;

/// Kind and name of the last usage report in the store.
const USAGE: (&str, &str) = ("lycheehaven-usage", "last");

/// Interval between looks at the duties, in milliseconds.
const TICK_MS: u64 = SNAPSHOT_CHECK_INTERVAL.as_millis() as u64;

/// Longest wait for the cloud's answer.
const CLOUD_WAIT: Duration = Duration::from_millis(800);

/// Time after a window's end until the peers' counts are in.
const SETTLE_MS: i64 = 1500;

/// Further time that is waited while peers are silent.
const SETTLE_SILENT_MS: i64 = 3500;

/// Time after the very first start until the engines have registered.
const SETTLE_FIRST: Duration = Duration::from_millis(1500);

/// Time after a restart until the demand of running callers is known.
const SETTLE_RESTART: Duration = Duration::from_millis(4000);

/// Interval at which the counts are written, if not much is spent.
const KEEP_COUNTS: Duration = Duration::from_millis(1000);

/// Silence after which a peer's entry is removed from the store.
const MEMBER_GONE: Duration = Duration::from_secs(15);

/// Runs the duties whenever this entry holds the lease.
pub(crate) async fn run(node: Rc<Node>, lease: Rc<LeaseHandle>) {
    let Some(cloud) = node.settings.cloud.clone() else {
        return;
    };
    let mut duties = Duties {
        cloud,
        lease,
        reported: None,
        scalers: HashMap::default(),
        held: None,
        kept: None,
        node,
    };
    loop {
        duties.tick().await;
        sleep_ms(TICK_MS).await;
    }
}

/// The last usage report, as it stands in the store.
#[derive(Debug)]
struct Reported {
    revision: u64,
    counts: WindowCounts,
    delivered: bool,
}

struct Duties {
    node: Rc<Node>,
    cloud: CloudSettings,
    lease: Rc<LeaseHandle>,
    reported: Option<Reported>,
    scalers: HashMap<Name, Scaler>,
    held: Option<u64>,
    kept: Option<Instant>,
}

impl Duties {
    async fn tick(&mut self) {
        let fence = self.lease.fence();
        if fence != self.held {
            // Another holder may have reported and ordered meanwhile.
            self.reported = None;
            self.scalers.clear();
            self.held = fence;
        }
        if fence.is_none() {
            return;
        }
        if self.cloud.duties.contains(&Duty::Usage) {
            self.report_usage().await;
        }
        if self.cloud.duties.contains(&Duty::Scaling) {
            self.order_engines().await;
        }
        self.keep_counts().await;
        self.remove_silent().await;
    }

    /// Delivers the last report and decides the next one when it is due.
    async fn report_usage(&mut self) {
        if self.reported.is_none() {
            self.load_reported().await;
        }
        let undelivered = self.reported.as_ref().filter(|last| !last.delivered);
        if let Some(last) = undelivered {
            let counts = last.counts.clone();
            let delivered = self.deliver(&counts).await;
            if let Some(last) = &mut self.reported {
                last.delivered = delivered;
            }
            return;
        }
        if let Some(window) = self.next_window() {
            self.decide(window).await;
        }
    }

    async fn load_reported(&mut self) {
        match self.node.store.read(USAGE.0, USAGE.1).await {
            Ok(None) => {}
            Ok(Some(object)) => match WindowCounts::deserialize(&object.spec) {
                Ok(counts) => {
                    self.reported = Some(Reported {
                        revision: object.revision,
                        counts,
                        delivered: false,
                    });
                }
                Err(cause) => {
                    let cause = cause.to_string();
                    log::error!(target: "lycheehaven", cause = cause.as_str(); "the last usage report can't be decoded");
                }
            },
            Err(cause) => {
                let cause = cause.to_string();
                log::info!(target: "lycheehaven", cause = cause.as_str(); "the last usage report can't be read");
            }
        }
    }

    /// The next window whose counts are complete.
    fn next_window(&self) -> Option<u64> {
        let node = &self.node;
        let members = node.members.borrow();
        let heard = members.heard(&node.settings.name, node.now());
        let settle = if heard + 1 < members.count() {
            SETTLE_SILENT_MS
        } else {
            SETTLE_MS
        };
        let now_ms = node.wall_millis();
        let usage = node.usage.borrow();
        let newest = usage.window_at(now_ms - settle).checked_sub(1)?;
        let late = (node.settings.bounds.usage_late_s * 1000.0) as i64;
        let mut next = match &self.reported {
            Some(last) => last.counts.window + 1,
            None => newest,
        };
        // What is overdue can't be reported any more.
        while next < newest && usage.window_end(next) + late < now_ms {
            next += 1;
        }
        (next <= newest).then_some(next)
    }

    /// Writes a window's counts into the store, so that every later holder
    /// repeats the same ones.
    async fn decide(&mut self, window: u64) {
        let counts = WindowCounts {
            window,
            counts: self.node.usage.borrow().window_total(window),
        };
        let store = &self.node.store;
        let result = match &self.reported {
            None => store.create(USAGE.0, USAGE.1, &counts).await,
            Some(last) => {
                let revision = Some(last.revision);
                store.replace(USAGE.0, USAGE.1, revision, &counts).await
            }
        };
        match result {
            Ok(Written::Done(revision)) => {
                self.reported = Some(Reported {
                    revision,
                    counts,
                    delivered: false,
                });
                Box::pin(self.report_usage()).await;
            }
            // Another holder was faster, or an earlier write took effect late.
            Ok(Written::Conflict) => self.reported = None,
            Err(cause) => {
                self.reported = None;
                let cause = cause.to_string();
                log::info!(target: "lycheehaven", window = window, cause = cause.as_str(); "the usage report can't be written");
            }
        }
    }

    async fn deliver(&self, counts: &WindowCounts) -> bool {
        let body = cloud::usage_body(counts.window, &counts.counts);
        let Some(status) = self.call(cloud::USAGE_PATH, body).await else {
            return false;
        };
        log::info!(target: "lycheehaven", window = counts.window, status = status; "usage reported");
        (200..300).contains(&status) || (400..429).contains(&status)
    }

    /// Calls the cloud under the lease. `None` if no answer came.
    async fn call(&self, path: &str, body: Vec<u8>) -> Option<u16> {
        let fence = self.lease.fence()?;
        let headers = cloud::holder_headers(&self.node.settings.name, fence);
        let result = post_once(self.cloud.address, path, &headers, body, CLOUD_WAIT).await;
        match result {
            Ok(reply) => Some(reply.status),
            Err(cause) => {
                log::warn!(target: "lycheehaven", path = path, cause = cause.as_str(); "the cloud gave no answer");
                None
            }
        }
    }

    async fn order_engines(&mut self) {
        let Some(catalog) = self.node.belief.borrow().catalog().cloned() else {
            return;
        };
        for service in catalog.services.values() {
            for order in self.plan(service) {
                self.order(service, &order).await;
            }
        }
    }

    fn plan(&mut self, service: &Service) -> Vec<Order> {
        let Some(scaling) = &service.scaling else {
            return Vec::new();
        };
        let now = self.node.now();
        if self.node.uptime() < self.settle() {
            return Vec::new();
        }
        let fleet = fleet(&self.node, &service.name);
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

    /// Time after the start until engines and demand are known well enough.
    fn settle(&self) -> Duration {
        if self.node.settings.first_start {
            SETTLE_FIRST
        } else {
            SETTLE_RESTART
        }
    }

    async fn order(&mut self, service: &Service, order: &Order) {
        let body = cloud::scale_body(
            &service.name,
            &order.domain,
            order.reclaimable,
            order.desired,
        );
        let Some(status) = self.call(cloud::SCALE_PATH, body).await else {
            return;
        };
        let now = self.node.now();
        let scaler = self.scalers.entry(service.name.clone()).or_default();
        match status {
            200..300 => scaler.record_accepted(order, now),
            _ => scaler.record_refused(order, now),
        }
        let key = (order.domain.clone(), order.reclaimable);
        let ready = fleet(&self.node, &service.name).get(&key).copied();
        let busy = self
            .node
            .demand
            .borrow_mut()
            .busy_engines(&service.name, now);
        log::info!(
            target: "lycheehaven",
            service = &*service.name, domain = &*order.domain, spot = order.reclaimable,
            desired = order.desired, ready = ready.unwrap_or(0), busy = busy, status = status;
            "engines ordered"
        );
    }

    /// Writes down what the entries have counted, so that a restart of all of
    /// them does not forget it.
    async fn keep_counts(&mut self) {
        let node = &self.node;
        let now = node.now();
        let recent = self
            .kept
            .is_some_and(|at| now.saturating_duration_since(at) < KEEP_COUNTS);
        if recent && !counts::is_due(node) {
            return;
        }
        self.kept = Some(now);
        if let Err(cause) = counts::write(node).await {
            let cause = cause.to_string();
            log::info!(target: "lycheehaven", cause = cause.as_str(); "the counts can't be written");
        }
    }

    /// Removes the entries of peers that are gone for good.
    async fn remove_silent(&self) {
        let node = &self.node;
        let now = node.now();
        let me = &node.settings.name;
        let silent = node.members.borrow_mut().silent(me, MEMBER_GONE, now);
        for name in silent {
            if let Err(cause) = node.store.delete(MEMBERS, &name).await {
                let cause = cause.to_string();
                log::info!(target: "lycheehaven", entry = &*name, cause = cause.as_str(); "the entry of a silent peer can't be removed");
                return;
            }
            log::info!(target: "lycheehaven", entry = &*name; "removed the entry of a silent peer");
        }
    }
}

/// The engines of a service by failure domain and kind.
fn fleet(node: &Node, service: &str) -> Fleet {
    let directory = node.directory.borrow();
    let mut fleet = Fleet::default();
    for upstream in directory.of_service(service) {
        if directory.is_usable(upstream) {
            let key = (upstream.domain.clone(), upstream.reclaimable);
            *fleet.entry(key).or_default() += 1;
        }
    }
    fleet
}
