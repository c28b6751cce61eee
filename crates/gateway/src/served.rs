//! Keeps the list of the software that may have begun streams, in the store.
//!
//! A version gets its first stream that callers may take up only after the store has
//! acknowledged that it is listed, and leaves the list only once no stream of it can come
//! back. So after all entries have stopped at once, the list still names every version that
//! can have begun a stream, also those whose upstreams have left.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_adapter::store::Object;
use lycheehaven_catalog::Upstream;
use lycheehaven_fleet::Role;
use lycheehaven_net::sleep_ms;
use lycheehaven_origins::LISTED_AFTER_END;
use lycheehaven_origins::Origin;
use lycheehaven_origins::Served;
use lycheehaven_origins::Situation;
use lycheehaven_types::HashMap;
use lycheehaven_types::HashSet;
use lycheehaven_types::Name;
use serde::Deserialize;

use crate::node::Node;
use crate::origin_store;
use crate::store::StoreError;
use crate::store::WriteOutcome;

/// Kind and name of the list in the store.
const SERVED: (&str, &str) = ("lycheehaven-software", "served");

/// Interval between checks whether the list has to change, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 25;

/// Interval between checks for versions that have left.
const END_INTERVAL: Duration = Duration::from_secs(1);

/// Pause after a failed call, in milliseconds.
const RETRY_DELAY_MS: u64 = 150;

/// Time after the start for which an entry is not ready as the list is not read.
const READY_WAIT: Duration = Duration::from_secs(3);

/// Longest time that an entry which does not follow the store waits before it reads the
/// list because of a new version, in milliseconds. Those that do list it at once.
const MAX_MEMBER_DELAY_MS: u64 = 600;

/// What this entry knows of the list.
#[derive(Debug, Default)]
pub(crate) struct ServedSoftware {
    last: Option<Served>,
    /// Versions that were listed when this entry last read or wrote the list, and that it
    /// has known registered upstreams of ever since. A version without any may have left
    /// the list.
    confirmed: HashSet<Origin>,
    /// Whether the software of all registered upstreams was confirmed once.
    is_settled: bool,
    /// Whether the list was missing from the store when it was last read.
    is_lost: bool,
}

impl ServedSoftware {
    /// Whether streams that callers may take up may begin at `upstream`.
    pub(crate) fn may_begin_at(&self, upstream: &Upstream) -> bool {
        self.confirmed.contains(&origin_of(upstream))
    }

    /// Whether this entry can serve streams, as far as the list matters.
    pub(crate) fn is_ready(&self, uptime: Duration) -> bool {
        self.is_settled || uptime >= READY_WAIT
    }

    /// Returns the list as this entry last saw it.
    pub(crate) fn last(&self) -> Option<&Served> {
        self.last.as_ref().filter(|_| !self.is_lost)
    }

    /// Notes that the store has no list. It is written again with what was on it.
    fn lose(&mut self) {
        self.confirmed.clear();
        self.is_lost = true;
    }

    fn set(&mut self, served: Served, present: &[Origin]) {
        self.is_lost = false;
        let listed = present.iter().filter(|origin| served.lists(origin));
        self.confirmed = listed.cloned().collect();
        self.last = Some(served);
    }
}

/// Returns what begins the streams at an upstream.
pub(crate) fn origin_of(upstream: &Upstream) -> Origin {
    Origin {
        service: upstream.service.clone(),
        software: upstream.software.clone(),
    }
}

/// Returns what this entry knows when it reads or writes the list.
pub(crate) fn situation(node: &Node) -> Situation {
    Situation {
        era: node.store.era().latest(),
        wall_ms: node.wall_millis(),
        first_start: node.settings.first_start,
        longest: node.origins.borrow().longest(),
    }
}

/// Lists new software, and removes what has left, as long as the process runs.
pub(crate) async fn run(node: Rc<Node>) {
    let mut keeper = Keeper {
        node,
        services: (0, Vec::new()),
        absent: HashMap::default(),
        seen: None,
        ends_checked: None,
    };
    loop {
        match keeper.check().await {
            Ok(()) => sleep_ms(CHECK_INTERVAL_MS).await,
            Err(cause) => {
                let cause = cause.to_string();
                log::info!(target: "lycheehaven", cause = cause.as_str(); "can't read or write the list of software in the store; retrying");
                sleep_ms(RETRY_DELAY_MS).await;
            }
        }
    }
}

/// Reads the list from the store.
pub(crate) async fn read(node: &Node) -> Result<(), StoreError> {
    let object = node.store.read(SERVED.0, SERVED.1).await?;
    if let Some(served) = object.as_ref().and_then(decode) {
        let present = {
            let served = node.served.borrow();
            served.confirmed.iter().cloned().collect::<Vec<_>>()
        };
        node.served.borrow_mut().set(served, &present);
    } else {
        node.served.borrow_mut().lose();
    }
    Ok(())
}

struct Keeper {
    node: Rc<Node>,
    /// Services with streams that callers may take up, as of a version of the configuration.
    services: (u64, Vec<Name>),
    /// Listed versions without registered upstreams, and since when.
    absent: HashMap<Origin, Instant>,
    /// The changes of the directory and of the configuration up to which all is listed.
    seen: Option<(u64, u64)>,
    ends_checked: Option<Instant>,
}

impl Keeper {
    async fn check(&mut self) -> Result<(), StoreError> {
        let node = self.node.clone();
        self.update_services();
        let changes = (node.directory.borrow().changes(), self.services.0);
        let ended = self.ended();
        if self.seen == Some(changes) && ended.is_empty() && !self.is_outdated() {
            return Ok(());
        }
        let present = self.present();
        let is_new = |origin: &Origin| !node.served.borrow().confirmed.contains(origin);
        if !present.iter().any(is_new) && ended.is_empty() && !self.is_outdated() {
            self.settle(changes);
            return Ok(());
        }
        if node.role.get() == Role::Member {
            sleep_ms(rand::random_range(0..MAX_MEMBER_DELAY_MS)).await;
        }
        let object = node.store.read(SERVED.0, SERVED.1).await?;
        let known = object.as_ref().and_then(decode);
        let situation = situation(&node);
        let mut listed = present.clone();
        if known
            .as_ref()
            .is_none_or(|known| known.era() != situation.era)
        {
            // The store lost what was added since the copy that it went back to.
            let served = node.served.borrow();
            listed.extend(served.last.iter().flat_map(Served::origins));
        }
        let had_list = object.is_some() || node.served.borrow().last.is_some();
        let situation = Situation {
            first_start: situation.first_start && !had_list,
            ..situation
        };
        let next = Served::update(known.as_ref(), &listed, &ended, &situation);
        let Some(next) = next else {
            if let Some(known) = known {
                node.served.borrow_mut().set(known, &present);
            }
            return Ok(());
        };
        let result = match object {
            Some(object) => {
                let revision = Some(object.revision);
                node.store
                    .replace(SERVED.0, SERVED.1, revision, &next)
                    .await?
            }
            None => node.store.create(SERVED.0, SERVED.1, &next).await?,
        };
        if let WriteOutcome::Applied(_) = result {
            log_change(&next, &ended);
            node.served.borrow_mut().set(next, &present);
            if !ended.is_empty() {
                origin_store::remove_expired(&node).await?;
            }
        }
        Ok(())
    }

    /// Notes that all software that was registered at `changes` is listed.
    fn settle(&mut self, changes: (u64, u64)) {
        self.seen = Some(changes);
        let node = &self.node;
        let is_known = node.directory.borrow().is_loaded() && changes.1 > 0;
        let mut served = node.served.borrow_mut();
        served.is_settled = served.is_settled || is_known;
    }

    fn update_services(&mut self) {
        let config = self.node.config.borrow();
        let Some(catalog) = config.catalog() else {
            return;
        };
        if self.services.0 != catalog.version {
            self.services = (catalog.version, catalog.resumable_services());
        }
    }

    /// Returns the software of the upstreams that may get requests, and forgets what is
    /// confirmed of software that no registered upstream runs.
    fn present(&self) -> Vec<Origin> {
        let directory = self.node.directory.borrow();
        let upstreams = self
            .services
            .1
            .iter()
            .flat_map(|service| directory.of_service(service));
        let mut registered = HashSet::default();
        let mut present: Vec<Origin> = Vec::new();
        for upstream in upstreams {
            let origin = origin_of(upstream);
            if directory.is_usable(upstream) && !present.contains(&origin) {
                present.push(origin.clone());
            }
            registered.insert(origin);
        }
        let mut served = self.node.served.borrow_mut();
        served
            .confirmed
            .retain(|origin| registered.contains(origin));
        present
    }

    /// Returns the listed versions of which no stream can come back. Only the holder of the
    /// lease removes them.
    fn ended(&mut self) -> Vec<Origin> {
        let node = &self.node;
        let now = node.now();
        let is_early = |at: Instant| now.saturating_duration_since(at) < END_INTERVAL;
        if self.ends_checked.is_some_and(is_early) {
            return Vec::new();
        }
        self.ends_checked = Some(now);
        let served = node.served.borrow();
        let Some(list) = served.last() else {
            return Vec::new();
        };
        let directory = node.directory.borrow();
        let is_registered = |origin: &Origin| {
            let mut upstreams = directory.of_service(&origin.service);
            upstreams.any(|upstream| upstream.software == origin.software)
        };
        let absent: Vec<Origin> = list.origins().filter(|o| !is_registered(o)).collect();
        self.absent.retain(|origin, _| absent.contains(origin));
        let patience = list.longest() + LISTED_AFTER_END;
        let ended = absent.into_iter().filter(|origin| {
            let since = self.absent.entry(origin.clone()).or_insert(now);
            now.saturating_duration_since(*since) >= patience
        });
        let ended: Vec<Origin> = ended.collect();
        match node.holds_lease.get() && directory.is_loaded() {
            true => ended,
            false => Vec::new(),
        }
    }

    /// Returns whether the list lacks what this entry knows besides the software.
    fn is_outdated(&self) -> bool {
        let served = self.node.served.borrow();
        let Some(list) = &served.last else {
            return false;
        };
        served.is_lost
            || self.node.origins.borrow().longest() > list.longest_listable()
            || list.era() != self.node.store.era().latest()
    }
}

fn log_change(served: &Served, ended: &[Origin]) {
    let list: Vec<String> = served
        .origins()
        .map(|origin| format!("{} {}", origin.service, origin.software))
        .collect();
    log::info!(
        target: "lycheehaven",
        software = list.join(", ").as_str(), removed = ended.len();
        "listed the software that may have begun streams"
    );
}

fn decode(object: &Object) -> Option<Served> {
    match Served::deserialize(&object.spec) {
        Ok(served) => Some(served),
        Err(cause) => {
            let cause = cause.to_string();
            log::error!(target: "lycheehaven", cause = cause.as_str(); "can't decode the list of software in the store; writing it anew");
            None
        }
    }
}

/// Returns for how long records of peers and of the store are kept.
pub(crate) fn longest(node: &Node) -> Duration {
    let served = node.served.borrow();
    served.last().map_or(LISTED_AFTER_END, Served::longest)
}
