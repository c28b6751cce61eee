//! State shared by the loops and handlers of an entry.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::UpstreamKey;
use lycheehaven_config::DeclaredConfig;
use lycheehaven_config::RoutingPolicy;
use lycheehaven_config::Settings;
use lycheehaven_limits::DemandTracker;
use lycheehaven_limits::Limiter;
use lycheehaven_limits::Topology;
use lycheehaven_net::HttpClient;
use lycheehaven_net::OpenRequests;
use lycheehaven_peers::LeavingVms;
use lycheehaven_peers::ListedEntry;
use lycheehaven_peers::MemberDigest;
use lycheehaven_peers::Peers;
use lycheehaven_peers::Timing;
use lycheehaven_permits::Permits;
use lycheehaven_platform::CloudApi;
use lycheehaven_platform::ObjectApi;
use lycheehaven_platform::Vm;
use lycheehaven_platform::VmState;
use lycheehaven_quarantine::Quarantine;
use lycheehaven_routing::Choice;
use lycheehaven_routing::Policy;
use lycheehaven_routing::Query;
use lycheehaven_routing::Rules;
use lycheehaven_routing::Table;
use lycheehaven_routing::Upstream;
use lycheehaven_routing::UpstreamId;
use lycheehaven_streams::LengthEstimator;
use lycheehaven_types::Clock;
use lycheehaven_types::Digest;
use lycheehaven_types::HashMap;
use lycheehaven_types::Incarnation;
use lycheehaven_types::Name;
use lycheehaven_types::RequestId;
use lycheehaven_types::StopPlan;
use lycheehaven_types::rendezvous_order;
use lycheehaven_upstream::EngineClient;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::claim_shards::ClaimShards;
use crate::decisions::Decisions;
use crate::metrics::Metrics;
use crate::record::Record;
use crate::replicate::Replica;
use crate::replicate::Replicator;
use crate::shutdown::Shutdown;
use crate::suspects;

/// Service name under which the VM list shows entries.
pub(crate) const ENTRY_SERVICE: &str = "lycheehaven";

/// Header that carries the secret shared by the entries.
pub(crate) const PEER_KEY_HEADER: &str = "x-peer-key";

/// State of one entry.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) clock: Rc<dyn Clock>,
    pub(crate) incarnation: Incarnation,
    pub(crate) objects: ObjectApi,
    pub(crate) cloud: CloudApi,
    pub(crate) engines: EngineClient,
    /// Client for frequent calls to the same peers.
    pub(crate) pooled_client: HttpClient,
    /// Client for rare calls to any peer. It closes its connections, because
    /// the memory of open connections to hundreds of peers outweighs the time
    /// to reconnect.
    pub(crate) unpooled_client: HttpClient,
    pub(crate) config: RefCell<Rc<DeclaredConfig>>,
    pub(crate) config_changed: Notify,
    pub(crate) vms: RefCell<Vec<Vm>>,
    pub(crate) vm_revision: Cell<u64>,
    pub(crate) peers: RefCell<Peers>,
    pub(crate) leaving_vms: RefCell<LeavingVms>,
    pub(crate) upstreams: RefCell<Table>,
    pub(crate) demand_tracker: RefCell<DemandTracker>,
    pub(crate) limiter: RefCell<Limiter>,
    pub(crate) quarantine: RefCell<Quarantine>,
    /// Request rates that upstreams state, and permits for requests to them.
    pub(crate) permits: RefCell<Permits>,
    /// Number of messages sent to peers.
    pub(crate) messages: Cell<u64>,
    pub(crate) length_estimators: RefCell<HashMap<(Name, Name), LengthEstimator>>,
    pub(crate) records: RefCell<HashMap<RequestId, Rc<Record>>>,
    pub(crate) by_key: RefCell<HashMap<Digest, RequestId>>,
    pub(crate) replicas: RefCell<HashMap<RequestId, Replica>>,
    pub(crate) replicator: Replicator,
    pub(crate) claim_shards: ClaimShards,
    pub(crate) decisions: Decisions,
    pub(crate) metrics: Metrics,
    /// Requests of callers that are not answered whole.
    pub(crate) open_requests: OpenRequests,
    pub(crate) ready: Cell<bool>,
    pub(crate) shutdown: Shutdown,
    /// Cancelled when the process ends.
    pub(crate) stop: CancellationToken,
}

impl Node {
    /// Creates the state and starts nothing. `peer_addr` is the bound address
    /// of the peer listener.
    pub(crate) fn new(settings: Settings, peer_addr: SocketAddr, clock: Rc<dyn Clock>) -> Rc<Self> {
        let incarnation = Incarnation::generate(clock.wall(), rand::random());
        let timing = &settings.timing;
        let local = MemberDigest {
            name: settings.name.clone(),
            incarnation,
            domain: settings.domain.clone(),
            addr: peer_addr,
            heartbeat: 0,
            leaving: false,
        };
        let peer_timing = Timing {
            outside_every: timing.outside_every,
            dead_after: Duration::from_millis(timing.peer_dead_ms),
        };
        let timeout = Duration::from_millis(settings.platform.timeout_ms);
        let connect_timeout = Duration::from_millis(timing.connect_ms);
        let pooled_client =
            HttpClient::new().with_header(PEER_KEY_HEADER, settings.peer_key.clone());
        Rc::new(Self {
            incarnation,
            objects: ObjectApi::new(settings.platform.objects, timeout),
            cloud: CloudApi::new(settings.platform.cloud, timeout),
            engines: EngineClient::new(connect_timeout),
            unpooled_client: pooled_client.clone().with_header("connection", "close"),
            pooled_client,
            config: RefCell::new(Rc::new(DeclaredConfig::default())),
            config_changed: Notify::new(),
            vms: RefCell::default(),
            vm_revision: Cell::new(0),
            peers: RefCell::new(Peers::new(local, peer_timing)),
            leaving_vms: RefCell::default(),
            upstreams: RefCell::default(),
            demand_tracker: RefCell::default(),
            limiter: RefCell::new(Limiter::new(settings.streams.records as u32)),
            quarantine: RefCell::new(suspects::new_quarantine()),
            permits: RefCell::default(),
            messages: Cell::new(0),
            length_estimators: RefCell::default(),
            records: RefCell::default(),
            by_key: RefCell::default(),
            replicas: RefCell::default(),
            replicator: Replicator::default(),
            claim_shards: ClaimShards::default(),
            decisions: Decisions::default(),
            metrics: Metrics::new(),
            open_requests: OpenRequests::default(),
            ready: Cell::new(false),
            shutdown: Shutdown::new(clock.clone()),
            stop: CancellationToken::new(),
            clock,
            settings,
        })
    }

    /// Begins the planned stop.
    pub(crate) fn begin_stop(&self) {
        let drain = &self.settings.drain;
        let time = Duration::from_millis(drain.lag_ms + drain.finish_ms);
        self.shutdown.end_work(StopPlan::new(self.now() + time));
    }

    /// Returns the current monotonic time.
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the time until the deadline of a request that was accepted at `accepted`.
    pub(crate) fn time_left(&self, accepted: Instant) -> Duration {
        let deadline = Duration::from_millis(self.settings.streams.deadline_ms);
        deadline.saturating_sub(self.now().saturating_duration_since(accepted))
    }

    /// Returns the wall clock time, in milliseconds since the Unix epoch.
    pub(crate) fn wall_millis(&self) -> u64 {
        let wall = self.clock.wall().duration_since(std::time::UNIX_EPOCH);
        wall.map_or(0, |time| time.as_millis() as u64)
    }

    /// Returns the configuration in force.
    pub(crate) fn declared(&self) -> Rc<DeclaredConfig> {
        self.config.borrow().clone()
    }

    /// Puts a configuration in force if its number is higher than that of the
    /// one in force. Returns whether it did.
    pub(crate) fn adopt_config(&self, declared: DeclaredConfig) -> bool {
        let current = self.config.borrow().number;
        if declared.number <= current {
            return false;
        }
        if let Some(problem) = declared.find_problem() {
            log::error!(target: "config", number = declared.number, cause = problem.as_str(); "a peer's configuration is unusable");
            return false;
        }
        log::info!(target: "config", from = current, number = declared.number; "configuration in force");
        self.metrics.config_number.set(declared.number as i64);
        *self.config.borrow_mut() = Rc::new(declared);
        self.config_changed.notify_waiters();
        true
    }

    /// Replaces the VM list, and updates peers and upstreams from it.
    pub(crate) fn adopt_vms(&self, vms: Vec<Vm>, revision: u64) {
        let now = self.now();
        for vm in vms.iter().filter(|vm| vm.state == VmState::Leaving) {
            self.leaving_vms
                .borrow_mut()
                .add(&vm.name, vm.incarnation, now);
        }
        let (entries, upstreams): (Vec<&Vm>, Vec<&Vm>) =
            vms.iter().partition(|vm| &*vm.service == ENTRY_SERVICE);
        let listed = entries.iter().map(|vm| {
            (
                vm.name.clone(),
                ListedEntry {
                    domain: vm.domain.clone(),
                    addr: vm.addr,
                },
            )
        });
        self.peers.borrow_mut().set_listed(listed);
        let leaving = self.leaving_vms.borrow();
        self.upstreams.borrow_mut().sync(upstreams.iter().map(|vm| {
            let id = UpstreamId {
                vm: vm.name.clone(),
                incarnation: vm.incarnation,
            };
            let mut upstream = Upstream::new(id, vm.domain.clone(), vm.service.clone(), vm.addr)
                .with_software(vm.software.clone());
            upstream.leaving = leaving.contains(&vm.name, vm.incarnation);
            upstream
        }));
        drop(leaving);
        let upstreams = self.upstreams.borrow();
        let is_listed = |key: &UpstreamKey| {
            let upstream = upstreams.get(&key.id);
            upstream.is_some_and(|upstream| upstream.id.incarnation.0 == key.incarnation)
        };
        self.permits.borrow_mut().prune(is_listed, now);
        self.vm_revision.set(revision);
        *self.vms.borrow_mut() = vms;
    }

    /// Chooses an upstream and records the decision under `subject`.
    pub(crate) fn choose(&self, query: &Query<'_>, subject: &str) -> Option<Choice> {
        let settings = &self.settings.routing;
        let policy = match settings.policy {
            RoutingPolicy::Cost => Policy::Cost,
            RoutingPolicy::RoundRobin => Policy::RoundRobin,
            RoutingPolicy::LeastLoaded => Policy::LeastLoaded,
        };
        let remote_cost = Duration::from_millis(settings.hop_ms);
        let rules = Rules {
            policy,
            sample: settings.sample,
            remote_cost,
        };
        let choice =
            self.upstreams
                .borrow_mut()
                .choose(&rules, query, self.random(), self.now())?;
        self.decisions
            .record_route(self.wall_millis(), subject, &choice);
        Some(choice)
    }

    /// Returns the number of known and live entries, among which the limits are
    /// divided.
    pub(crate) fn topology(&self) -> Topology {
        let now = self.now();
        let peers = self.peers.borrow();
        let vms = self.vms.borrow();
        let domain = &self.settings.domain;
        let listed = vms.iter().filter(|vm| &*vm.service == ENTRY_SERVICE);
        let (mut known, mut domain_known) = (0, 0);
        for vm in listed {
            known += 1;
            domain_known += usize::from(vm.domain == *domain);
        }
        let alive = peers.alive(now);
        let connected = alive.iter().any(|member| member.digest.domain != *domain);
        Topology {
            known: known.max(1),
            alive: alive.len() + 1,
            domain_known: domain_known.max(1),
            connected,
        }
    }

    /// Chooses the peer that holds the replica of a record. Peers in other
    /// failure domains are preferred, so that the record survives the loss of
    /// this entry's domain. Returns `None` if replication is off or there is no
    /// other live entry.
    pub(crate) fn choose_replica(&self, key: &str, avoid: Option<&str>) -> Option<Name> {
        if !self.settings.streams.replicate {
            return None;
        }
        let now = self.now();
        let peers = self.peers.borrow();
        let alive = peers.alive(now);
        let usable = alive
            .iter()
            .filter(|member| !member.digest.leaving && Some(&*member.digest.name) != avoid);
        let (local, remote): (Vec<_>, Vec<_>) =
            usable.partition(|member| member.digest.domain == self.settings.domain);
        let pick = |members: Vec<&&lycheehaven_peers::Member>| {
            let names: Vec<Name> = members
                .iter()
                .map(|member| member.digest.name.clone())
                .collect();
            rendezvous_order(key, names.iter())
                .first()
                .map(|name| (*name).clone())
        };
        pick(remote).or_else(|| pick(local))
    }

    /// Returns the holder name of this incarnation of the entry in claims and
    /// leases.
    pub(crate) fn holder(&self) -> Name {
        format!("{}.{}", self.settings.name, self.incarnation.0).into()
    }

    /// Returns a random number.
    pub(crate) fn random(&self) -> u64 {
        rand::random()
    }
}
