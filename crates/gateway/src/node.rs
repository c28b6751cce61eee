//! The state of an entry, shared by its loops and requests.

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::net::UdpSocket;
use futures_channel::oneshot::Sender;
use lycheehaven_adapter::caller;
use lycheehaven_catalog::ActiveConfig;
use lycheehaven_catalog::Directory;
use lycheehaven_catalog::FollowerLiveness;
use lycheehaven_catalog::PeerVersions;
use lycheehaven_catalog::UpstreamKey;
use lycheehaven_channels::Pool;
use lycheehaven_dispatch::CostModel;
use lycheehaven_dispatch::LoadTracker;
use lycheehaven_dispatch::Pauses;
use lycheehaven_duties::Demand;
use lycheehaven_duties::MedianClock;
use lycheehaven_duties::Usage;
use lycheehaven_fleet::FleetSums;
use lycheehaven_fleet::Role;
use lycheehaven_fleet::Roster;
use lycheehaven_guard::QuotaTracker;
use lycheehaven_guard::RetryBudget;
use lycheehaven_guard::RetryBudgetConfig;
use lycheehaven_net::OpenRequests;
use lycheehaven_origins::Origins;
use lycheehaven_permits::Permits;
use lycheehaven_quarantine::Quarantine;
use lycheehaven_types::Clock;
use lycheehaven_types::HashMap;
use lycheehaven_types::Name;
use lycheehaven_types::WorkTimes;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::endings::PlannedWork;
use crate::era::EraTracker;
use crate::evacuate::Streams;
use crate::metrics::Metrics;
use crate::origin_store::RecordsWritten;
use crate::quarantine;
use crate::schedule::PlannedStop;
use crate::served::ServedSoftware;
use crate::settings::Settings;
use crate::shared_read::SharedRead;
use crate::store::Store;

/// Window over which the quota units that callers request are summed up.
pub(crate) const REQUESTED_WINDOW: Duration = Duration::from_secs(1);

/// The last report of an entry that reports to this one directly.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LastReport {
    pub(crate) incarnation: u64,
    /// Time of the report, in milliseconds since the entry's process started.
    pub(crate) uptime_ms: u64,
    pub(crate) holds_lease: bool,
}

/// The state of an entry.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) clock: Rc<dyn Clock>,
    pub(crate) incarnation: u64,
    pub(crate) started: Instant,
    pub(crate) store: Store,
    pub(crate) config: RefCell<ActiveConfig>,
    pub(crate) directory: RefCell<Directory>,
    pub(crate) roster: RefCell<Roster>,
    /// What this entry does in the exchange of messages.
    pub(crate) role: Cell<Role>,
    pub(crate) last_reports: RefCell<HashMap<Name, LastReport>>,
    pub(crate) loads: RefCell<LoadTracker>,
    pub(crate) work_times: Rc<RefCell<WorkTimes<Name>>>,
    pub(crate) pauses: RefCell<Pauses>,
    /// Request rates that upstreams state, and permits for requests to them.
    pub(crate) permits: RefCell<Permits>,
    /// Asks for permits that other entries have not answered yet.
    pub(crate) open_asks: RefCell<HashMap<u64, Sender<Option<Duration>>>>,
    /// Socket for messages to and from peers, once it is bound.
    peer_socket: OnceCell<Rc<UdpSocket>>,
    pub(crate) pool: RefCell<Pool>,
    pub(crate) quotas: RefCell<QuotaTracker>,
    /// Quota units that callers requested in the last second, by workspace.
    pub(crate) requested_units: RefCell<FleetSums>,
    pub(crate) retry_budget: RefCell<RetryBudget>,
    /// What began the streams that callers may take up again.
    pub(crate) origins: RefCell<Origins>,
    /// Wakes the loop that writes records of streams.
    pub(crate) record_due: Notify,
    pub(crate) records_written: RecordsWritten,
    /// What the store said last of the software that may have begun streams.
    pub(crate) served: RefCell<ServedSoftware>,
    /// Reads of what the store says of origins, shared by requests.
    pub(crate) origin_reads: SharedRead,
    pub(crate) quarantine: RefCell<Quarantine>,
    /// Wakes requests that wait for a change of the quarantine's decisions.
    pub(crate) decisions_changed: Notify,
    pub(crate) usage: RefCell<Usage>,
    pub(crate) demand: RefCell<Demand>,
    pub(crate) median_clock: RefCell<MedianClock>,
    pub(crate) streams: RefCell<Streams>,
    pub(crate) metrics: Metrics,
    pub(crate) cost_model: CostModel,
    /// Whether the counts from before this entry's start are known, from the snapshot
    /// or from a digest.
    pub(crate) counts_loaded: Cell<bool>,
    /// Whether this entry has read the counts snapshot itself.
    pub(crate) snapshot_read: Cell<bool>,
    /// When the counts snapshot from before this entry's start was taken, or `None`
    /// if there is none.
    pub(crate) snapshot_time: Cell<Option<Instant>>,
    /// Whether this entry holds the lease.
    pub(crate) holds_lease: Cell<bool>,
    /// When a peer was last known to hold the lease.
    holder_seen: Cell<Option<Instant>>,
    /// When the last current response about upstreams arrived, while this entry
    /// follows the store.
    pub(crate) upstreams_read: Cell<Option<Instant>>,
    /// Versions of the configuration that peers report.
    peer_versions: RefCell<PeerVersions>,
    /// Newest version reported by a peer when this entry last asked the store for
    /// the configuration.
    requested_version: Cell<u64>,
    /// Tracks whether peers that follow the store send reports to this entry.
    pub(crate) follower_liveness: RefCell<FollowerLiveness>,
    /// Requests whose responses are not yet written whole.
    pub(crate) open_requests: OpenRequests,
    /// Whether the entry is stopping. It then reports that it is not ready, closes
    /// callers' connections after each response and no longer renews the lease.
    pub(crate) stopping: Cell<bool>,
    pub(crate) planned: PlannedWork,
    pub(crate) stop: Rc<PlannedStop>,
    /// Cancelled when the entry is requested to stop.
    pub(crate) stop_requested: CancellationToken,
    /// Makes the server for callers accept no further connections and close idle
    /// ones when cancelled.
    pub(crate) stop_accepting: CancellationToken,
    /// Stops the servers for readiness and metrics when cancelled.
    pub(crate) stop_servers: CancellationToken,
}

impl Node {
    pub(crate) fn new(settings: Settings, clock: Rc<dyn Clock>) -> Rc<Self> {
        let bounds = &settings.bounds;
        let retry_budget = RetryBudget::new(RetryBudgetConfig {
            window: Duration::from_secs_f64(bounds.budget_window_s),
            ratio: bounds.budget_ratio,
            slack: bounds.budget_slack,
        });
        let quotas = QuotaTracker::new(Duration::from_secs_f64(bounds.quota_window_s));
        let usage = Usage::new(Duration::from_secs_f64(bounds.window_s));
        let roster = Roster::new(
            settings.name.clone(),
            settings.domain.clone(),
            settings.mesh_limit,
        );
        let metrics = Metrics::new();
        Rc::new(Self {
            incarnation: rand::random(),
            started: clock.now(),
            store: Store::new(
                settings.store.address,
                clock.clone(),
                EraTracker::new(settings.first_start),
                metrics.unreadable_objects.clone(),
            ),
            config: RefCell::default(),
            directory: RefCell::default(),
            roster: RefCell::new(roster),
            role: Cell::new(Role::Mesh),
            last_reports: RefCell::default(),
            loads: RefCell::default(),
            work_times: Rc::default(),
            pauses: RefCell::default(),
            permits: RefCell::default(),
            open_asks: RefCell::default(),
            peer_socket: OnceCell::new(),
            pool: RefCell::default(),
            quotas: RefCell::new(quotas),
            requested_units: RefCell::new(FleetSums::new(REQUESTED_WINDOW)),
            retry_budget: RefCell::new(retry_budget),
            origins: RefCell::default(),
            record_due: Notify::new(),
            records_written: RecordsWritten::default(),
            served: RefCell::default(),
            origin_reads: SharedRead::default(),
            quarantine: RefCell::new(Quarantine::new(quarantine::MAX_REPORTS)),
            decisions_changed: Notify::new(),
            usage: RefCell::new(usage),
            demand: RefCell::default(),
            median_clock: RefCell::default(),
            streams: RefCell::default(),
            metrics,
            cost_model: CostModel::default(),
            counts_loaded: Cell::new(false),
            snapshot_read: Cell::new(false),
            snapshot_time: Cell::new(None),
            holds_lease: Cell::new(false),
            holder_seen: Cell::new(None),
            upstreams_read: Cell::new(None),
            peer_versions: RefCell::default(),
            requested_version: Cell::new(0),
            follower_liveness: RefCell::default(),
            open_requests: OpenRequests::new(caller::request_id),
            stopping: Cell::new(false),
            planned: PlannedWork::default(),
            stop: Rc::default(),
            stop_requested: CancellationToken::new(),
            stop_accepting: CancellationToken::new(),
            stop_servers: CancellationToken::new(),
            settings,
            clock,
        })
    }

    /// Sets the socket for messages to and from peers.
    pub(crate) fn set_peer_socket(&self, socket: Rc<UdpSocket>) {
        let is_first = self.peer_socket.set(socket).is_ok();
        debug_assert!(is_first, "the socket is bound once");
    }

    /// Returns the socket for messages to and from peers, once it is bound.
    pub(crate) fn peer_socket(&self) -> Option<&Rc<UdpSocket>> {
        self.peer_socket.get()
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the time since the process started.
    pub(crate) fn uptime(&self) -> Duration {
        self.now().saturating_duration_since(self.started)
    }

    /// Whether the configuration is recent enough to rely on. An unknown
    /// configuration is not.
    pub(crate) fn is_current(&self, now: Instant) -> bool {
        let config = self.config.borrow();
        match self.settings.bounds.stale_after() {
            Some(bound) => config.is_fresh(now, bound),
            None => config.catalog().is_some(),
        }
    }

    /// Begins the planned stop of this entry.
    pub(crate) fn request_stop(&self) {
        let grace = Duration::from_secs_f64(self.settings.bounds.grace_s);
        self.stop.request(self.now(), grace);
        self.stopping.set(true);
        self.open_requests.announce_close();
        self.stop_requested.cancel();
    }

    /// Whether the load balancer should send callers to this entry.
    pub(crate) fn is_ready(&self) -> bool {
        !self.stopping.get()
            && self.has_quota_state()
            && self.directory.borrow().is_loaded()
            && self.served.borrow().is_ready(self.uptime())
            && self.is_current(self.now())
    }

    /// Whether this entry is one of those that follow the store.
    pub(crate) fn follows_store(&self) -> bool {
        self.role.get() != Role::Member
    }

    /// Determines what this entry does in the exchange of messages.
    pub(crate) fn update_role(&self) -> Role {
        let role = self.roster.borrow_mut().role(self.now());
        if self.role.replace(role) != role {
            self.quarantine
                .borrow_mut()
                .set_relay(role == Role::Aggregator);
            let name = format!("{role:?}");
            log::info!(target: "lycheehaven", role = name.as_str(); "the role in the exchange of messages changed");
        }
        role
    }

    /// Records that a peer held the lease `age` ago.
    pub(crate) fn record_holder(&self, age: Duration, now: Instant) {
        let seen = now.checked_sub(age);
        self.holder_seen.set(self.holder_seen.get().max(seen));
    }

    /// Returns the time since a holder of the lease was last known, zero if this
    /// entry holds it.
    pub(crate) fn holder_age(&self, now: Instant) -> Option<Duration> {
        if self.holds_lease.get() {
            return Some(Duration::ZERO);
        }
        let seen = self.holder_seen.get()?;
        Some(now.saturating_duration_since(seen))
    }

    /// Records the version of the configuration that a peer has.
    pub(crate) fn record_peer_version(&self, peer: &Name, version: u64) {
        let now = self.now();
        self.peer_versions.borrow_mut().record(peer, version, now);
        // The store was asked for a version that no peer reports any more.
        if self.requested_version.get() > self.newest_peer_version() {
            self.requested_version.set(0);
        }
    }

    fn newest_peer_version(&self) -> u64 {
        self.peer_versions.borrow().newest(self.now())
    }

    /// Whether a peer has reported a newer configuration than this entry has.
    pub(crate) fn is_version_outrun(&self) -> bool {
        let known = self.config.borrow().version().unwrap_or(0);
        self.newest_peer_version() > known
    }

    /// Whether a peer has reported a newer configuration than this entry has, since
    /// this entry last asked the store.
    pub(crate) fn is_config_behind(&self) -> bool {
        let known = self.config.borrow().version().unwrap_or(0);
        self.newest_peer_version() > known.max(self.requested_version.get())
    }

    /// Records that the store is asked for all versions reported by peers so far.
    pub(crate) fn mark_versions_requested(&self) {
        self.requested_version.set(self.newest_peer_version());
    }

    /// Whether this entry knows what it does in the exchange of messages: it has read
    /// the registrations, and if all entries are starting for the first time, its own is
    /// among them.
    pub(crate) fn is_role_known(&self) -> bool {
        let roster = self.roster.borrow();
        let is_growing = self.settings.first_start && !roster.is_registered(self.incarnation);
        roster.is_loaded() && !is_growing
    }

    /// Whether this entry can sum up the counts of the fleet: what was spent before its
    /// start is known from the snapshot, or has left the window.
    pub(crate) fn can_digest(&self) -> bool {
        self.snapshot_read.get() || self.uptime() >= self.quotas.borrow().window()
    }

    /// Whether this entry may rely on its peers for changes of upstreams.
    pub(crate) fn is_informed_by_peers(&self) -> bool {
        !self.follows_store() && self.follower_liveness.borrow().is_live(self.now())
    }

    /// Whether the state for enforcing quotas is known: which entries share the
    /// quotas, and what was spent before this entry started.
    pub(crate) fn has_quota_state(&self) -> bool {
        self.roster.borrow().is_loaded() && self.counts_loaded.get()
    }

    /// Returns the current values of the state metrics.
    pub(crate) fn gauges(&self) -> Vec<(&'static str, i64)> {
        let now = self.now();
        let age = self.config.borrow().age(now);
        let directory = self.directory.borrow();
        let ready = directory.all().filter(|up| directory.is_usable(up)).count();
        let roster = self.roster.borrow();
        vec![
            (
                "config_age_ms",
                age.map_or(-1, |age| age.as_millis() as i64),
            ),
            ("holds_lease", i64::from(self.holds_lease.get())),
            ("open_requests", self.open_requests.count() as i64),
            ("ready", i64::from(self.is_ready())),
            ("upstreams_leaving", directory.leaving_count() as i64),
            (
                "upstreams_limited",
                self.permits.borrow().limited().count() as i64,
            ),
            ("upstreams_paused", self.pauses.borrow().count(now) as i64),
            ("upstreams_ready", ready as i64),
            (
                "features_quarantined",
                self.quarantine.borrow().quarantined_count() as i64,
            ),
            ("entries", roster.count() as i64),
            ("entries_heard", roster.reachable_count(now) as i64),
            (
                "is_aggregator",
                i64::from(self.role.get() == Role::Aggregator),
            ),
        ]
    }

    /// Returns the wall-clock time that the entries agree on, in milliseconds since
    /// the Unix epoch.
    pub(crate) fn wall_millis(&self) -> i64 {
        self.median_clock
            .borrow()
            .now_millis(self.clock.wall(), self.now())
    }

    /// Marks an upstream as leaving. `request` is the request whose response says so,
    /// or `-`.
    pub(crate) fn mark_leaving(&self, key: &UpstreamKey, source: &str, request: &str) {
        if self.directory.borrow_mut().mark_leaving(key, self.now()) {
            self.log_leaving(key, source, request);
        }
    }

    /// Logs that an upstream is newly known to be leaving, and the age of this entry's
    /// list of upstreams.
    pub(crate) fn log_leaving(&self, key: &UpstreamKey, source: &str, request: &str) {
        let now = self.now();
        let read = self.upstreams_read.get();
        let age = read.map(|at| now.saturating_duration_since(at));
        log::info!(
            target: "lycheehaven",
            upstream = &*key.id, born = key.incarnation, source = source, request = request,
            list_age_ms = age.map_or(-1, |age| age.as_millis() as i64);
            "upstream is leaving; it gets no new requests"
        );
    }

    /// Whether an upstream may get new requests from this entry now.
    pub(crate) fn may_send_to(&self, key: &UpstreamKey) -> bool {
        self.directory.borrow().is_ready(key) && !self.is_paused(key)
    }

    /// Whether an upstream asked this entry for no requests for some time.
    pub(crate) fn is_paused(&self, key: &UpstreamKey) -> bool {
        self.pauses.borrow().is_paused(key, self.now())
    }

    /// Removes an upstream whose registration a peer found missing at `revision`.
    pub(crate) fn mark_gone(&self, key: &UpstreamKey, revision: u64, source: &str) {
        let now = self.now();
        if self
            .directory
            .borrow_mut()
            .remove_reported(key, revision, now)
        {
            log::info!(
                target: "lycheehaven",
                upstream = &*key.id, born = key.incarnation, revision = revision, source = source;
                "upstream is no longer registered; removed it"
            );
        }
    }

    /// Records that an upstream can't be reached or was replaced, and attributes
    /// the crash to the requests whose connections broke there.
    pub(crate) fn mark_down(&self, key: &UpstreamKey, cause: &str) {
        quarantine::record_down(self, key, cause);
    }
}
