//! Watch loops over the platform's store.

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
use lycheehaven_catalog::Upstream;
use lycheehaven_fleet::Role;
use lycheehaven_net::sleep_ms;

use crate::confirm;
use crate::members;
use crate::node::Node;
use crate::outage;
use crate::outage::Outage;
use crate::outage::Topic;
use crate::store::RESPONSE_TIMEOUT;
use crate::store::StoreError;
use crate::store::WatchOutcome;

/// Long-poll time of a watch on the configuration. Each response confirms that the
/// configuration is the newest, so this is also about the greatest age of the last
/// confirmation.
const CONFIG_LONG_POLL: Duration = Duration::from_millis(1500);

/// Long-poll time of a watch on the configuration at an aggregator, whose
/// confirmations reach other entries up to half a second later.
const AGGREGATOR_CONFIG_LONG_POLL: Duration = Duration::from_millis(800);

/// Long-poll time of a stale watch on upstreams. It bounds the time until a dead
/// connection to the store is detected.
const STALE_SERVERS_LONG_POLL: Duration = Duration::from_millis(6000);

/// Long-poll time of a stale watch on the configuration, of which peers report a
/// newer version, or on the other entries. The store may discard the history after a
/// revision within 20 s, and a full list is billed as a current read.
const STALE_LONG_POLL: Duration = Duration::from_millis(12_000);

/// Long-poll time of a watch on upstreams. It bounds the time until a dead
/// connection to the store is detected.
const SERVERS_LONG_POLL: Duration = Duration::from_millis(2000);

/// Long-poll time of a watch on the other entries.
const MEMBERS_LONG_POLL: Duration = Duration::from_millis(6000);

/// Interval at which an entry that relies on peers checks whether it still
/// receives their messages, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 100;

/// Bounds of the delay before the next watch after a change, in milliseconds.
/// Changes often come in bursts and each call to the store is billed, so they are
/// batched.
const BATCH_DELAY_MS: (u64, u64) = (400, 800);

/// Part of the drain time of upstreams that the same delay takes, so that a leaving
/// upstream is noticed in time.
const BATCH_DRAIN_DIVISOR: u64 = 5;

/// Longest delay before the next watch where stale responses are sufficient, in
/// milliseconds.
const MAX_STALE_DELAY_MS: u64 = 1000;

/// The drain time divided by this bounds that delay.
const STALE_DRAIN_DIVISOR: u64 = 4;

/// Pause after a failed call, in milliseconds.
const RETRY_DELAY_MS: u64 = 150;

/// Time allowed for listing the configuration.
const LIST_TIME: Duration = Duration::from_millis(100);

/// Shortest poll time of a watch on the configuration, however soon it is stale.
const SHORTEST_POLL: Duration = Duration::from_millis(200);

/// Largest number of times that this pause is doubled.
const MAX_RETRY_DOUBLINGS: u32 = 4;

/// The same while peers do not inform this entry.
const UNINFORMED_RETRY_DOUBLINGS: u32 = 3;

/// Longest time after the start for which an entry waits to learn what it does in the
/// exchange of messages, and so how it must follow the store.
const ROLE_WAIT: Duration = Duration::from_millis(1500);

/// Follows the declared configuration.
pub(crate) async fn follow_config(node: Rc<Node>) {
    follow(node, Topic::Config).await;
}

/// Follows the registrations of upstreams.
pub(crate) async fn follow_servers(node: Rc<Node>) {
    follow(node, Topic::Servers).await;
}

/// Follows the registrations of other entries.
pub(crate) async fn follow_members(node: Rc<Node>) {
    follow(node, Topic::Members).await;
}

async fn follow(node: Rc<Node>, topic: Topic) {
    let mut outage = Outage::default();
    let mut revision = None;
    loop {
        let started = node.now();
        let consistency = match revision {
            None => ReadConsistency::Current,
            Some(_) => required_consistency(&node, topic),
        };
        let result = match revision {
            None => list(&node, topic).await.map(Some),
            Some(revision) => changes(&node, topic, revision, consistency).await,
        };
        match result {
            Ok(next) => {
                outage.record_success(&node, topic);
                let changed = next.is_some() && next != revision;
                let current = next.is_some() && consistency == ReadConsistency::Current;
                if topic == Topic::Config && current && outage::may_confirm(&node) {
                    node.config.borrow_mut().confirm(started);
                }
                if revision.is_none() && topic != Topic::Members {
                    wait_for_role(&node).await;
                }
                revision = next;
                if changed && topic != Topic::Config {
                    sleep_ms(batch_delay_ms(&node, consistency)).await;
                }
            }
            Err(cause) => {
                outage.record_failure(&node, topic, &cause);
                if consistency == ReadConsistency::Current {
                    // List again: a list returns at once, a watch only after its
                    // long-poll time.
                    revision = None;
                }
                wait_before_retry(&node, topic, outage.failures).await;
            }
        }
    }
}

/// Waits after the first list until this entry's role is known, so that a fleet that
/// starts at once does not follow the store with every entry.
async fn wait_for_role(node: &Node) {
    while node.uptime() < ROLE_WAIT && !node.is_role_known() {
        sleep_ms(CHECK_INTERVAL_MS).await;
    }
}

/// Waits after a failed call. The delay doubles with each failure, as many entries
/// that fail at once would cause many billed calls. It is short for the entries that
/// the others rely on, and longest while peers inform this one.
async fn wait_before_retry(node: &Rc<Node>, topic: Topic, failures: u32) {
    if node.follows_store() {
        sleep_ms(RETRY_DELAY_MS).await;
        return;
    }
    if required_consistency(node, topic) == ReadConsistency::Current {
        sleep_ms(RETRY_DELAY_MS << failures.min(UNINFORMED_RETRY_DOUBLINGS)).await;
        return;
    }
    let doublings = failures.min(MAX_RETRY_DOUBLINGS);
    select! {
        () = sleep_ms(RETRY_DELAY_MS << doublings).fuse() => {}
        () = until_current_required(node, topic).fuse() => {}
    }
}

/// Returns the delay before the next watch after a change, in milliseconds.
fn batch_delay_ms(node: &Node, consistency: ReadConsistency) -> u64 {
    let drain_ms = node.settings.bounds.drain_ms;
    match consistency {
        ReadConsistency::Current => {
            let (shortest, longest) = BATCH_DELAY_MS;
            (drain_ms / BATCH_DRAIN_DIVISOR).clamp(shortest, longest)
        }
        ReadConsistency::Stale => MAX_STALE_DELAY_MS.min(drain_ms / STALE_DRAIN_DIVISOR),
    }
}

/// Lists all objects of a kind. Returns the revision to watch from.
async fn list(node: &Rc<Node>, topic: Topic) -> Result<u64, StoreError> {
    if topic == Topic::Config {
        node.mark_versions_requested();
    }
    let (objects, revision) = node.store.list(topic.kind()).await?;
    let now = node.now();
    match topic {
        Topic::Config => {
            for object in &objects {
                apply_config(node, object);
            }
        }
        Topic::Servers => {
            if outage::is_recovering(node) {
                outage::hold_missing(node);
            }
            let upstreams = objects.iter().filter_map(decode_upstream).collect();
            node.directory
                .borrow_mut()
                .replace(upstreams, revision, now);
        }
        Topic::Members => {
            let members = objects.iter().filter_map(members::decode).collect();
            node.roster.borrow_mut().replace(members);
            node.update_role();
        }
    }
    Ok(revision)
}

/// Waits for changes and applies them. Returns the revision to continue from, or
/// `None` if the kind must be listed again.
async fn changes(
    node: &Rc<Node>,
    topic: Topic,
    revision: u64,
    consistency: ReadConsistency,
) -> Result<Option<u64>, StoreError> {
    let changes = match watch(node, topic, revision, consistency).await? {
        None if topic == Topic::Config && node.is_config_behind() => return Ok(None),
        None => return Ok(Some(revision)),
        Some(WatchOutcome::Changes(changes)) => changes,
        Some(WatchOutcome::HistoryGone) => {
            log::info!(target: "lycheehaven", kind = topic.kind(); "the store has discarded the history after the watched revision; listing all objects");
            return Ok(None);
        }
        Some(WatchOutcome::Unknown) => return Ok(None),
    };
    let now = node.now();
    for change in &changes.changes {
        match topic {
            Topic::Config => {
                if !change.deleted {
                    apply_config(node, &change.object);
                }
            }
            Topic::Servers => apply_server(node, change, now),
            Topic::Members => apply_member(node, change),
        }
    }
    // A stale response may be older than the known state.
    Ok(Some(changes.revision.max(revision)))
}

/// Returns how current the response to the next watch must be.
fn required_consistency(node: &Node, topic: Topic) -> ReadConsistency {
    let stale_allowed = match topic {
        // Stale responses confirm nothing, but peers may.
        Topic::Config => confirm::is_covered_by_peers(node),
        Topic::Servers => node.is_informed_by_peers(),
        Topic::Members => !node.follows_store(),
    };
    if stale_allowed {
        ReadConsistency::Stale
    } else {
        ReadConsistency::Current
    }
}

/// Watches once. Returns `None` if a stale response became insufficient
/// meanwhile.
async fn watch(
    node: &Rc<Node>,
    topic: Topic,
    revision: u64,
    consistency: ReadConsistency,
) -> Result<Option<WatchOutcome>, StoreError> {
    let wait = long_poll(node, topic, consistency);
    let call = node.store.watch(topic.kind(), revision, wait, consistency);
    let watched = match consistency {
        ReadConsistency::Current => call.await.map(Some),
        ReadConsistency::Stale => select! {
            result = call.fuse() => result.map(Some),
            () = until_current_required(node, topic).fuse() => Ok(None),
        },
    };
    if topic == Topic::Servers {
        let current = consistency == ReadConsistency::Current && watched.is_ok();
        node.upstreams_read.set(current.then(|| node.now()));
    }
    watched
}

/// Returns the long-poll time of a watch. A watch on the configuration must
/// return before the last confirmation expires, since its response renews it.
fn long_poll(node: &Node, topic: Topic, consistency: ReadConsistency) -> Duration {
    match (topic, consistency) {
        (Topic::Servers, ReadConsistency::Stale) => STALE_SERVERS_LONG_POLL,
        (_, ReadConsistency::Stale) => STALE_LONG_POLL,
        (Topic::Servers, ReadConsistency::Current) => SERVERS_LONG_POLL,
        (Topic::Members, ReadConsistency::Current) => MEMBERS_LONG_POLL,
        (Topic::Config, ReadConsistency::Current) => {
            let wait = match node.role.get() {
                Role::Aggregator => AGGREGATOR_CONFIG_LONG_POLL,
                Role::Mesh | Role::Member => CONFIG_LONG_POLL,
            };
            let stale_after = node.settings.bounds.stale_after();
            stale_after.map_or(wait, |bound| wait.min(longest_poll(bound)))
        }
    }
}

/// Returns the longest poll time with which one unanswered watch does not make the
/// configuration stale. A confirmation counts from the start of its call. So until the
/// next one, two polls pass, the timeout of the second, and the pause before a list.
fn longest_poll(stale_after: Duration) -> Duration {
    let overhead = RESPONSE_TIMEOUT + Duration::from_millis(RETRY_DELAY_MS) + LIST_TIME;
    (stale_after.saturating_sub(overhead) / 2).max(SHORTEST_POLL)
}

/// Waits until stale responses are no longer sufficient.
async fn until_current_required(node: &Node, topic: Topic) {
    while required_consistency(node, topic) == ReadConsistency::Stale {
        sleep_ms(CHECK_INTERVAL_MS).await;
    }
}

fn apply_config(node: &Node, object: &Object) {
    if object.name != store::CONFIG.1 {
        return;
    }
    let catalog = match config::decode(&object.spec) {
        Ok(catalog) => catalog,
        Err(cause) => {
            node.metrics.rejected_configs.inc();
            log::error!(target: "lycheehaven", revision = object.revision, cause = cause.as_str(); "can't decode the configuration; keeping the version in force");
            return;
        }
    };
    let version = catalog.version;
    if node.config.borrow_mut().install(catalog) {
        node.planned.record_configuration(node.now());
        log::info!(target: "lycheehaven", version = version, revision = object.revision; "configuration in force");
    }
}

fn apply_member(node: &Node, change: &Change) {
    let mut roster = node.roster.borrow_mut();
    if change.deleted {
        roster.remove(&change.object.name.as_str().into());
    } else if let Some((name, member)) = members::decode(&change.object) {
        roster.update(name, member);
    }
}

/// Applies a change of an upstream's registration.
fn apply_server(node: &Node, change: &Change, now: Instant) {
    let (object, revision) = (&change.object, change.known_until);
    let id = object.name.as_str().into();
    if change.deleted {
        node.directory.borrow_mut().remove(&id, revision, now);
        return;
    }
    let Some(upstream) = decode_upstream(object) else {
        node.directory.borrow_mut().remove(&id, revision, now);
        return;
    };
    let key = upstream.key.clone();
    let newly_leaving = node.directory.borrow_mut().update(upstream, now);
    if newly_leaving {
        node.log_leaving(&key, "store", "-");
    }
}

/// Decodes the registration of an upstream. Returns `None` if it does not describe a
/// usable one.
fn decode_upstream(object: &Object) -> Option<Upstream> {
    let upstream = servers::decode(object);
    if upstream.is_none() {
        log::warn!(target: "lycheehaven", upstream = object.name.as_str(), revision = object.revision; "the registration does not describe a usable upstream; ignoring it");
    }
    upstream
}
