//! Loops that follow the platform's store.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_util::FutureExt;
use futures_util::select;
use lycheehaven_adapter::config;
use lycheehaven_adapter::servers;
use lycheehaven_adapter::store;
use lycheehaven_adapter::store::Change;
use lycheehaven_adapter::store::Object;
use lycheehaven_adapter::store::ReadConsistency;
use lycheehaven_net::sleep_ms;

use crate::members::MEMBERS;
use crate::node::Node;
use crate::proof;
use crate::store::StoreError;
use crate::store::Watched;

/// Time that a watch on the configuration waits. Its answer proves the
/// configuration, so this is also about how old the proof gets.
const CONFIG_WAIT: Duration = Duration::from_millis(1500);

/// Time that a watch on the configuration waits while peers rely on its proof.
const RELIED_ON_WAIT: Duration = Duration::from_millis(600);

/// Time that a watch waits whose answer may be late.
const LATE_WAIT: Duration = Duration::from_millis(6000);

/// Time that a watch on upstreams waits: a connection that has fallen silent is
/// noticed no later.
const SERVERS_WAIT: Duration = Duration::from_millis(2000);

/// Time that a watch on the other entries waits.
const MEMBERS_WAIT: Duration = Duration::from_millis(6000);

/// Interval at which an entry that relies on peers looks whether it still hears
/// them, in milliseconds.
const LOOK_MS: u64 = 100;

/// Time for which changes of upstreams gather, as many come together and each
/// call to the store is paid for.
const GATHER_MS: u64 = 400;

/// Longest time for which changes of upstreams gather where late answers do, and
/// its part of the time within which leaving upstreams must be left.
const LATE_GATHER_MS: u64 = 1000;
const LATE_GATHER_PART: u64 = 4;

/// Pause after a failed call, in milliseconds.
const RETRY_MS: u64 = 150;

/// Time after the store's return within which lapsed entries are written again.
const LAPSE_GRACE: Duration = Duration::from_millis(2300);

/// Time for which entries are kept after a failed call, renewed by the next.
const OUTAGE_HOLD: Duration = Duration::from_secs(10);

/// Part of the store that a loop follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Topic {
    Config,
    Servers,
    Members,
}

impl Topic {
    fn kind(self) -> &'static str {
        match self {
            Self::Config => store::CONFIG.0,
            Self::Servers => store::SERVERS,
            Self::Members => MEMBERS,
        }
    }
}

/// Follows the declared configuration.
pub(crate) async fn follow_config(node: Rc<Node>) {
    follow(node, Topic::Config).await;
}

/// Follows the upstreams' entries.
pub(crate) async fn follow_servers(node: Rc<Node>) {
    follow(node, Topic::Servers).await;
}

/// Follows the entries of the peers.
pub(crate) async fn follow_members(node: Rc<Node>) {
    follow(node, Topic::Members).await;
}

async fn follow(node: Rc<Node>, topic: Topic) {
    let mut lost = Lost::default();
    let mut revision = None;
    loop {
        let sent = node.now();
        let reading = match revision {
            None => ReadConsistency::Current,
            Some(_) => reading(&node, topic),
        };
        let result = match revision {
            None => list(&node, topic).await.map(Some),
            Some(from) => changes(&node, topic, from, reading).await,
        };
        match result {
            Ok(next) => {
                lost.regained(&node, topic);
                let changed = next.is_some() && next != revision;
                let current = next.is_some() && reading == ReadConsistency::Current;
                if topic == Topic::Config && current {
                    node.belief.borrow_mut().confirm(sent);
                }
                revision = next;
                if changed && topic != Topic::Config {
                    sleep_ms(gather_ms(&node, reading)).await;
                }
            }
            Err(cause) => {
                lost.failed(&node, topic, &cause);
                // A list answers at once, a watch only when its wait is over.
                revision = None;
                sleep_ms(RETRY_MS).await;
            }
        }
    }
}

/// Time that changes gather, in milliseconds.
fn gather_ms(node: &Node, reading: ReadConsistency) -> u64 {
    match reading {
        ReadConsistency::Current => GATHER_MS,
        ReadConsistency::Stale => {
            LATE_GATHER_MS.min(node.settings.bounds.drain_ms / LATE_GATHER_PART)
        }
    }
}

/// Whether calls fail at present.
#[derive(Debug, Default)]
struct Lost {
    since: Option<Instant>,
}

impl Lost {
    fn failed(&mut self, node: &Node, topic: Topic, cause: &StoreError) {
        if topic == Topic::Servers {
            let until = node.now() + OUTAGE_HOLD;
            node.directory.borrow_mut().defer_removals(until);
        }
        if self.since.is_none() {
            self.since = Some(node.now());
            let cause = cause.to_string();
            log::warn!(
                target: "lycheehaven",
                kind = topic.kind(), cause = cause.as_str();
                "the store can't be followed; retrying"
            );
        }
    }

    fn regained(&mut self, node: &Node, topic: Topic) {
        let Some(since) = self.since.take() else {
            return;
        };
        if topic == Topic::Servers {
            let until = node.now() + LAPSE_GRACE;
            node.directory.borrow_mut().defer_removals(until);
        }
        let away = node.now().saturating_duration_since(since);
        log::info!(
            target: "lycheehaven",
            kind = topic.kind(), away_ms = away.as_millis() as u64;
            "the store is followed again"
        );
    }
}

/// Reads the whole kind. Returns the revision to watch from.
async fn list(node: &Rc<Node>, topic: Topic) -> Result<u64, StoreError> {
    if topic == Topic::Config {
        node.seek_version();
    }
    let (objects, revision) = node.store.list(topic.kind()).await?;
    let now = node.now();
    match topic {
        Topic::Config => {
            for object in &objects {
                adopt_config(node, object);
            }
        }
        Topic::Servers => {
            let upstreams = objects.iter().filter_map(servers::decode).collect();
            node.directory
                .borrow_mut()
                .replace(upstreams, revision, now);
        }
        Topic::Members => node.members.borrow_mut().replace(&objects),
    }
    Ok(revision)
}

/// Waits for changes. Returns the revision to go on from, or `None` if the
/// kind must be listed again.
async fn changes(
    node: &Rc<Node>,
    topic: Topic,
    from: u64,
    reading: ReadConsistency,
) -> Result<Option<u64>, StoreError> {
    let changes = match watch(node, topic, from, reading).await? {
        None if topic == Topic::Config && node.is_behind() => return Ok(None),
        None => return Ok(Some(from)),
        Some(Watched::Changes(changes)) => changes,
        Some(Watched::HistoryGone) => {
            log::info!(target: "lycheehaven", kind = topic.kind(); "the store's history is gone; listing again");
            return Ok(None);
        }
    };
    let now = node.now();
    for change in &changes.changes {
        match topic {
            Topic::Config => {
                if !change.deleted {
                    adopt_config(node, &change.object);
                }
            }
            Topic::Servers => adopt_server(node, change, changes.revision, now),
            Topic::Members => node
                .members
                .borrow_mut()
                .update(&change.object, change.deleted),
        }
    }
    // A late answer may be older than what is known.
    Ok(Some(changes.revision.max(from)))
}

/// How current the next watch must be.
fn reading(node: &Node, topic: Topic) -> ReadConsistency {
    let late = match topic {
        // Late answers prove nothing, but peers may.
        Topic::Config => proof::comes_from_peers(node),
        Topic::Servers => node.is_informed(),
        Topic::Members => !node.follows_store(),
    };
    if late {
        ReadConsistency::Stale
    } else {
        ReadConsistency::Current
    }
}

/// Watches once. `None` if a late answer no longer does.
async fn watch(
    node: &Rc<Node>,
    topic: Topic,
    from: u64,
    reading: ReadConsistency,
) -> Result<Option<Watched>, StoreError> {
    let wait = wait(node, topic, reading);
    let call = node.store.watch(topic.kind(), from, wait, reading);
    let watched = match reading {
        ReadConsistency::Current => call.await.map(Some),
        ReadConsistency::Stale => select! {
            result = call.fuse() => result.map(Some),
            () = until_current(node, topic).fuse() => Ok(None),
        },
    };
    if topic == Topic::Servers {
        let current = reading == ReadConsistency::Current && watched.is_ok();
        node.servers_read.set(current.then(|| node.now()));
    }
    watched
}

/// Time that a watch waits. Its answer proves the configuration, which must be
/// renewed before the proof is too old.
fn wait(node: &Node, topic: Topic, reading: ReadConsistency) -> Duration {
    if reading == ReadConsistency::Stale {
        return LATE_WAIT;
    }
    match topic {
        Topic::Servers => SERVERS_WAIT,
        Topic::Members => MEMBERS_WAIT,
        Topic::Config => {
            let relied_on = proof::is_relied_on(node);
            let wait = if relied_on {
                RELIED_ON_WAIT
            } else {
                CONFIG_WAIT
            };
            let stale_after = node.settings.bounds.stale_after();
            stale_after.map_or(wait, |bound| wait.min(bound.mul_f64(0.4)))
        }
    }
}

/// Waits until late answers no longer do.
async fn until_current(node: &Node, topic: Topic) {
    while reading(node, topic) == ReadConsistency::Stale {
        sleep_ms(LOOK_MS).await;
    }
}

fn adopt_config(node: &Node, object: &Object) {
    if object.name != store::CONFIG.1 {
        return;
    }
    let catalog = match config::decode(&object.spec) {
        Ok(catalog) => catalog,
        Err(cause) => {
            log::error!(target: "lycheehaven", revision = object.revision, cause = cause.as_str(); "the configuration can't be decoded; keeping the present one");
            return;
        }
    };
    let version = catalog.version;
    if node.belief.borrow_mut().install(catalog) {
        log::info!(target: "lycheehaven", version = version, revision = object.revision; "configuration in force");
    }
}

/// Takes over a change that is known at `revision`.
fn adopt_server(node: &Node, change: &Change, revision: u64, now: Instant) {
    let object = &change.object;
    let id = object.name.as_str().into();
    if change.deleted {
        node.directory.borrow_mut().remove(&id, revision, now);
        return;
    }
    let Some(upstream) = servers::decode(object) else {
        // An entry that became unreadable names no upstream to use.
        node.directory.borrow_mut().remove(&id, revision, now);
        return;
    };
    let key = upstream.key.clone();
    let newly = node.directory.borrow_mut().update(upstream, now);
    if newly {
        log::info!(target: "lycheehaven", upstream = &*key.id, born = key.incarnation, source = "store"; "upstream is leaving; it gets no new requests");
    }
}
