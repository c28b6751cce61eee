//! State of an entry that its loops and requests share.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::ActiveConfig;
use lycheehaven_catalog::Directory;
use lycheehaven_catalog::FollowerLiveness;
use lycheehaven_catalog::UpstreamKey;
use lycheehaven_catalog::follows_store;
use lycheehaven_channels::Pool;
use lycheehaven_dispatch::CostModel;
use lycheehaven_dispatch::LoadTracker;
use lycheehaven_duties::Demand;
use lycheehaven_duties::MedianClock;
use lycheehaven_duties::Usage;
use lycheehaven_guard::CrashTracker;
use lycheehaven_guard::QuotaTracker;
use lycheehaven_guard::RetryBudget;
use lycheehaven_guard::RetryBudgetConfig;
use lycheehaven_types::Clock;
use lycheehaven_types::Name;
use tokio_util::sync::CancellationToken;

use crate::evacuate::Streams;
use crate::members::Members;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::store::Store;

/// Everything that an entry knows.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) clock: Rc<dyn Clock>,
    pub(crate) incarnation: u64,
    pub(crate) started: Instant,
    pub(crate) store: Store,
    pub(crate) belief: RefCell<ActiveConfig>,
    pub(crate) directory: RefCell<Directory>,
    pub(crate) members: RefCell<Members>,
    pub(crate) book: RefCell<LoadTracker>,
    pub(crate) pool: RefCell<Pool>,
    pub(crate) allotments: RefCell<QuotaTracker>,
    pub(crate) budget: RefCell<RetryBudget>,
    pub(crate) suspects: RefCell<CrashTracker>,
    pub(crate) usage: RefCell<Usage>,
    pub(crate) demand: RefCell<Demand>,
    pub(crate) wall: RefCell<MedianClock>,
    pub(crate) streams: RefCell<Streams>,
    pub(crate) metrics: Metrics,
    pub(crate) policy: CostModel,
    /// Whether the counts from before this entry's start have been read.
    pub(crate) counts_known: Cell<bool>,
    /// When the counts from before this entry's start were recorded.
    pub(crate) recorded: Cell<Option<Instant>>,
    /// Whether this entry holds the lease.
    pub(crate) holds_lease: Cell<bool>,
    /// When a peer last held the lease, as far as is known.
    holder_heard: Cell<Option<Instant>>,
    /// When a current answer about upstreams last came, while this entry follows
    /// the store.
    pub(crate) servers_read: Cell<Option<Instant>>,
    /// Newest version of the configuration that a peer told of.
    version_heard: Cell<u64>,
    /// Version up to which the store was asked for the configuration.
    version_sought: Cell<u64>,
    /// When a peer last asked this entry for a proof of the configuration.
    pub(crate) asked: Cell<Option<Instant>>,
    /// Whether peers tell this entry of leaving upstreams.
    pub(crate) informed: RefCell<FollowerLiveness>,
    /// Requests whose answers are not complete.
    pub(crate) open: Rc<Cell<usize>>,
    /// Whether the entry is stopping and takes no new callers.
    pub(crate) stopping: Cell<bool>,
    /// Cancelled when the entry is told to stop.
    pub(crate) stop_asked: CancellationToken,
    /// Cancelled when no further requests are taken.
    pub(crate) accepting: CancellationToken,
    /// Cancelled when the servers must end.
    pub(crate) stop: CancellationToken,
}

impl Node {
    pub(crate) fn new(settings: Settings, clock: Rc<dyn Clock>) -> Rc<Self> {
        let bounds = &settings.bounds;
        let budget = RetryBudget::new(RetryBudgetConfig {
            window: Duration::from_secs_f64(bounds.budget_window_s),
            ratio: bounds.budget_ratio,
            slack: bounds.budget_slack,
        });
        let allotments = QuotaTracker::new(Duration::from_secs_f64(bounds.quota_window_s));
        let usage = Usage::new(Duration::from_secs_f64(bounds.window_s));
        Rc::new(Self {
            incarnation: rand::random(),
            started: clock.now(),
            store: Store::new(settings.store.address),
            belief: RefCell::default(),
            directory: RefCell::default(),
            members: RefCell::default(),
            book: RefCell::default(),
            pool: RefCell::default(),
            allotments: RefCell::new(allotments),
            budget: RefCell::new(budget),
            suspects: RefCell::default(),
            usage: RefCell::new(usage),
            demand: RefCell::default(),
            wall: RefCell::default(),
            streams: RefCell::default(),
            metrics: Metrics::new(),
            policy: CostModel::default(),
            counts_known: Cell::new(false),
            recorded: Cell::new(None),
            holds_lease: Cell::new(false),
            holder_heard: Cell::new(None),
            servers_read: Cell::new(None),
            version_heard: Cell::new(0),
            version_sought: Cell::new(0),
            asked: Cell::new(None),
            informed: RefCell::default(),
            open: Rc::default(),
            stopping: Cell::new(false),
            stop_asked: CancellationToken::new(),
            accepting: CancellationToken::new(),
            stop: CancellationToken::new(),
            settings,
            clock,
        })
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Time since the process started.
    pub(crate) fn uptime(&self) -> Duration {
        self.now().saturating_duration_since(self.started)
    }

    /// Whether the configuration is known and may be relied on.
    pub(crate) fn is_current(&self, now: Instant) -> bool {
        let belief = self.belief.borrow();
        match self.settings.bounds.stale_after() {
            Some(bound) => belief.is_fresh(now, bound),
            None => belief.catalog().is_some(),
        }
    }

    /// Whether the balancer should send callers here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.stopping.get()
            && self.knows_peers()
            && self.directory.borrow().is_loaded()
            && self.is_current(self.now())
    }

    /// Whether this entry is one of those that follow the store.
    pub(crate) fn follows_store(&self) -> bool {
        let members = self.members.borrow();
        let neighbours = members.of_domain(&self.settings.domain);
        follows_store(&self.settings.name, neighbours)
    }

    /// Notes that a peer held the lease `age` ago.
    pub(crate) fn hear_holder(&self, age: Duration, now: Instant) {
        let heard = now.checked_sub(age);
        self.holder_heard.set(self.holder_heard.get().max(heard));
    }

    /// Time since a holder of the lease was known, zero if it is this entry.
    pub(crate) fn holder_age(&self, now: Instant) -> Option<Duration> {
        if self.holds_lease.get() {
            return Some(Duration::ZERO);
        }
        let heard = self.holder_heard.get()?;
        Some(now.saturating_duration_since(heard))
    }

    /// Notes that a peer has a version of the configuration.
    pub(crate) fn hear_version(&self, version: u64) {
        self.version_heard
            .set(self.version_heard.get().max(version));
    }

    /// Whether a peer told of a newer configuration than this entry has, since
    /// it last asked the store.
    pub(crate) fn is_behind(&self) -> bool {
        let known = self.belief.borrow().version().unwrap_or(0);
        self.version_heard.get() > known.max(self.version_sought.get())
    }

    /// Notes that the store is asked for all that peers told of.
    pub(crate) fn seek_version(&self) {
        self.version_sought.set(self.version_heard.get());
    }

    /// Whether this entry may rely on peers for news of upstreams.
    pub(crate) fn is_informed(&self) -> bool {
        !self.follows_store() && self.informed.borrow().is_live(self.now())
    }

    /// Whether it is known which entries share limits, and what was spent
    /// before this entry started.
    pub(crate) fn knows_peers(&self) -> bool {
        self.members.borrow().is_loaded() && self.counts_known.get()
    }

    /// Present figures for the metrics.
    pub(crate) fn gauges(&self) -> Vec<(&'static str, i64)> {
        let now = self.now();
        let age = self.belief.borrow().age(now);
        let directory = self.directory.borrow();
        let ready = directory.all().filter(|up| directory.is_usable(up)).count();
        let members = self.members.borrow();
        vec![
            (
                "config_age_ms",
                age.map_or(-1, |age| age.as_millis() as i64),
            ),
            ("holds_lease", i64::from(self.holds_lease.get())),
            ("open_requests", self.open.get() as i64),
            ("ready", i64::from(self.is_ready())),
            ("upstreams_leaving", directory.leaving_count() as i64),
            ("upstreams_ready", ready as i64),
            ("entries", members.count() as i64),
            (
                "entries_heard",
                members.heard(&self.settings.name, now) as i64,
            ),
        ]
    }

    /// Milliseconds since the Unix epoch, as the entries agree.
    pub(crate) fn wall_millis(&self) -> i64 {
        self.wall.borrow().now_millis(self.clock.wall(), self.now())
    }

    /// Entries that share limits and budgets, this one included.
    pub(crate) fn member_names(&self) -> Vec<Name> {
        self.members.borrow().names(&self.settings.name)
    }

    /// Notes that an upstream leaves.
    pub(crate) fn upstream_leaves(&self, key: &UpstreamKey, source: &str) {
        if self.directory.borrow_mut().mark_leaving(key, self.now()) {
            log::info!(
                target: "lycheehaven",
                upstream = &*key.id, born = key.incarnation, source = source;
                "upstream is leaving; it gets no new requests"
            );
        }
    }

    /// Notes that a peer found an upstream's entry missing.
    pub(crate) fn upstream_gone(&self, key: &UpstreamKey, revision: u64, source: &str) {
        let now = self.now();
        if self
            .directory
            .borrow_mut()
            .remove_reported(key, revision, now)
        {
            log::info!(
                target: "lycheehaven",
                upstream = &*key.id, born = key.incarnation, revision = revision, source = source;
                "upstream is gone"
            );
        }
    }

    /// Notes that an upstream can't be reached or is gone.
    pub(crate) fn upstream_down(&self, key: &UpstreamKey, cause: &str) {
        let now = self.now();
        let accused = self.suspects.borrow_mut().record_crash(key, now);
        if !accused.is_empty() {
            log::warn!(
                target: "lycheehaven",
                upstream = &*key.id, cause = cause, requests = accused.len();
                "upstream went down while it ran requests"
            );
        }
    }
}
