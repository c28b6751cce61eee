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
use lycheehaven_duties::WindowCounts;
use lycheehaven_guard::SNAPSHOT_CHECK_INTERVAL;
use lycheehaven_net::sleep_ms;
use lycheehaven_types::HashMap;
use lycheehaven_types::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::call::post_once;
use crate::counts;
use crate::lease::LeaseHandle;
use crate::members::MEMBERS;
use crate::node::Node;
use crate::settings::CloudSettings;
use crate::settings::Duty;
use crate::store::WriteOutcome;

/// Kind and name of the last usage report in the store.
const USAGE: (&str, &str) = ("lycheehaven-usage", "last");

/// Interval between runs of the duties, in milliseconds.
const DUTY_INTERVAL_MS: u64 = SNAPSHOT_CHECK_INTERVAL.as_millis() as u64;

/// Time limit for a call to the cloud.
const CLOUD_TIMEOUT: Duration = Duration::from_millis(800);

/// Delay of a usage report after its window's end, in milliseconds. The peers'
/// counts arrive within this time.
const REPORT_DELAY_MS: i64 = 1500;

/// Delay of a usage report while some peers are unreachable, in milliseconds.
const UNREACHABLE_PEERS_DELAY_MS: i64 = 3500;

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
    let mut duties = Duties {
        cloud,
        lease,
        report: None,
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

/// The last usage report as it is stored.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct UsageRecord {
    #[serde(flatten)]
    counts: WindowCounts,
    /// The store's era when the record was written.
    #[serde(default)]
    era: u64,
}

/// The last usage report in the store.
#[derive(Debug)]
struct UsageReport {
    revision: u64,
    record: UsageRecord,
    delivered: bool,
}

struct Duties {
    node: Rc<Node>,
    cloud: CloudSettings,
    lease: Rc<LeaseHandle>,
    report: Option<UsageReport>,
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
            self.report = None;
            self.scalers.clear();
            self.last_fence = fence;
        }
        if fence.is_none() {
            return;
        }
        if self.cloud.duties.contains(&Duty::Usage) {
            self.report_usage().await;
        }
        if self.cloud.duties.contains(&Duty::Scaling) {
            self.scale_services().await;
        }
        self.write_counts().await;
        self.remove_expired_members().await;
    }

    /// Delivers the last report if necessary, or else commits the next one when it
    /// is due.
    async fn report_usage(&mut self) {
        if self.report.is_none() {
            self.load_report().await;
        }
        let undelivered = self.report.as_ref().filter(|last| !last.delivered);
        if let Some(last) = undelivered {
            let counts = last.record.counts.clone();
            let delivered = self.deliver(&counts).await;
            if let Some(last) = &mut self.report {
                last.delivered = delivered;
            }
            return;
        }
        if let Some(window) = self.next_window() {
            self.commit_report(window).await;
        }
    }

    async fn load_report(&mut self) {
        match self.node.store.read(USAGE.0, USAGE.1).await {
            Ok(None) => {}
            Ok(Some(object)) => match UsageRecord::deserialize(&object.spec) {
                Ok(record) => {
                    self.report = Some(UsageReport {
                        revision: object.revision,
                        record,
                        delivered: false,
                    });
                }
                Err(cause) => {
                    let cause = cause.to_string();
                    log::error!(target: "lycheehaven", cause = cause.as_str(); "can't decode the last usage report in the store; retrying");
                }
            },
            Err(cause) => {
                let cause = cause.to_string();
                log::info!(target: "lycheehaven", cause = cause.as_str(); "can't read the last usage report from the store; retrying");
            }
        }
    }

    /// Returns the next window to report, if its counts are complete.
    fn next_window(&self) -> Option<u64> {
        let node = &self.node;
        let roster = node.roster.borrow();
        let delay = if roster.reachable_count(node.now()) + 1 < roster.count() {
            UNREACHABLE_PEERS_DELAY_MS
        } else {
            REPORT_DELAY_MS
        };
        let now_ms = node.wall_millis();
        let usage = node.usage.borrow();
        let newest = usage.window_at(now_ms - delay).checked_sub(1)?;
        let max_lateness = (node.settings.bounds.usage_late_s * 1000.0) as i64;
        let is_of_present_era = |last: &&UsageReport| last.record.era == node.store.era();
        let mut next = match self.report.as_ref().filter(is_of_present_era) {
            Some(last) => last.record.counts.window + 1,
            None => self.first_unreported(newest),
        };
        // Windows past their reporting deadline can't be reported any more.
        while next < newest && usage.window_end(next) + max_lateness < now_ms {
            next += 1;
        }
        (next <= newest).then_some(next)
    }

    /// Returns the first window that no holder has reported, if the store holds no report
    /// of its present era. Reports may be missing from a store that went back, so only
    /// windows count that ended after this entry heard of it.
    fn first_unreported(&self, newest: u64) -> u64 {
        let node = &self.node;
        let Some(began) = node.store.era_began() else {
            return newest;
        };
        let age = node.now().saturating_duration_since(began);
        let began_ms = node.wall_millis() - age.as_millis() as i64;
        newest.max(node.usage.borrow().window_at(began_ms))
    }

    /// Writes a window's counts to the store, so that every later holder delivers
    /// the same report.
    async fn commit_report(&mut self, window: u64) {
        let store = &self.node.store;
        let record = UsageRecord {
            counts: WindowCounts {
                window,
                counts: self.node.usage.borrow().window_total(window),
            },
            era: store.era(),
        };
        let result = match &self.report {
            None => store.create(USAGE.0, USAGE.1, &record).await,
            Some(last) => {
                let revision = Some(last.revision);
                store.replace(USAGE.0, USAGE.1, revision, &record).await
            }
        };
        match result {
            Ok(WriteOutcome::Applied(revision)) => {
                self.report = Some(UsageReport {
                    revision,
                    record,
                    delivered: false,
                });
                Box::pin(self.report_usage()).await;
            }
            // Another holder wrote a report, or an earlier write took effect late.
            Ok(WriteOutcome::Conflict) => self.report = None,
            Err(cause) => {
                self.report = None;
                let cause = cause.to_string();
                log::info!(target: "lycheehaven", window = window, cause = cause.as_str(); "can't write the usage report to the store; retrying");
            }
        }
    }

    /// Sends a report to the cloud. Returns whether it need not be sent again.
    async fn deliver(&self, counts: &WindowCounts) -> bool {
        let body = cloud::usage_body(counts.window, &counts.counts);
        let Some(status) = self.call(cloud::USAGE_PATH, body).await else {
            return false;
        };
        log::info!(target: "lycheehaven", window = counts.window, status = status; "sent a usage report to the cloud");
        (200..300).contains(&status) || (400..429).contains(&status)
    }

    /// Calls the cloud with the fencing token. Returns the status, or `None` if
    /// this entry lost the lease or no response arrived.
    async fn call(&self, path: &str, body: Vec<u8>) -> Option<u16> {
        let fence = self.lease.fence()?;
        let headers = cloud::holder_headers(&self.node.settings.name, fence);
        let result = post_once(self.cloud.address, path, &headers, body, CLOUD_TIMEOUT).await;
        match result {
            Ok(reply) => Some(reply.status.as_u16()),
            Err(cause) => {
                log::warn!(target: "lycheehaven", path = path, cause = cause.as_str(); "call to the cloud failed");
                None
            }
        }
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
        let fleet = fleet(&self.node, &service.name, scaling.boot_time);
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
        let boot_time = service.scaling.as_ref().map(|scaling| scaling.boot_time);
        let fleet = fleet(
            &self.node,
            &service.name,
            boot_time.unwrap_or(Duration::MAX),
        );
        let ready = fleet.get(&key).copied();
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

/// Returns the number of usable engines of a service by failure domain and by
/// whether they are reclaimable. An engine that wants no requests until a new one could
/// have started is not usable.
fn fleet(node: &Node, service: &str, boot_time: Duration) -> Fleet {
    let now = node.now();
    let directory = node.directory.borrow();
    let pauses = node.pauses.borrow();
    let mut fleet = Fleet::default();
    for upstream in directory.of_service(service) {
        let pause = pauses.get(&upstream.key, now);
        let paused = pause.is_some_and(|pause| pause.remaining(now) >= boot_time);
        if directory.is_usable(upstream) && !paused {
            let key = (upstream.domain.clone(), upstream.reclaimable);
            *fleet.entry(key).or_default() += 1;
        }
    }
    fleet
}
