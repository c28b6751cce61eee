//! Registered upstreams.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::HashMap;
use lycheehaven_types::HashSet;
use lycheehaven_types::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::news;

/// One incarnation of an upstream. A restarted upstream registers under the same
/// id.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UpstreamKey {
    /// Registered id.
    pub id: Name,
    /// Start of this incarnation, in milliseconds since the Unix epoch; 0 if
    /// unknown.
    #[serde(rename = "born")]
    pub incarnation: u64,
}

/// State that an upstream registers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamState {
    /// It accepts requests.
    Ready,
    /// It accepts no new requests and ends after this time, if known.
    Draining(Option<Duration>),
}

/// A registered upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct Upstream {
    /// Id and incarnation.
    pub key: UpstreamKey,
    /// Service that it runs.
    pub service: Name,
    /// Address for requests.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Requests that it runs concurrently; 0 if unknown.
    pub slots: u32,
    /// Registered state.
    pub state: UpstreamState,
    /// Whether its VM may be reclaimed.
    pub reclaimable: bool,
    /// Revision of its registration in the store.
    pub revision: u64,
}

/// An incarnation that is leaving.
#[derive(Debug, Clone, Copy)]
struct Leaving {
    seen_at: Instant,
    /// When it ends, if it registered a time.
    ends_at: Option<Instant>,
}

/// An incarnation whose registration was removed.
#[derive(Debug, Clone, Copy)]
struct Removed {
    /// Latest known store revision at which the registration was missing.
    revision: u64,
    seen_at: Instant,
}

/// Registered upstreams and their state.
///
/// An incarnation that was once draining or reported as leaving does not count as
/// ready again while its record is kept, because messages and stale reads arrive
/// out of order.
#[derive(Debug, Default)]
pub struct Directory {
    upstreams: HashMap<Name, Upstream>,
    leaving: HashMap<UpstreamKey, Leaving>,
    removed: HashMap<UpstreamKey, Removed>,
    deferred: HashSet<Name>,
    deferred_until: Option<Instant>,
    loaded: bool,
}

impl Directory {
    /// Retention of leaving and removed incarnations that are not registered.
    const RETENTION: Duration = Duration::from_secs(120);

    /// Time for which a leaving or removed incarnation is reported to peers. An
    /// entry that receives no reports for longer reads the store itself.
    const REPORT_PERIOD: Duration = Duration::from_secs(10);

    /// Defers removals until `until`: registrations expire while the store is
    /// unavailable, and upstreams renew them after its return.
    pub fn defer_removals(&mut self, until: Instant) {
        self.deferred_until = Some(until);
    }

    /// Returns whether a full list has been applied.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Applies a full list of the registrations as of `revision`.
    pub fn replace(&mut self, list: Vec<Upstream>, revision: u64, now: Instant) {
        self.loaded = true;
        let ids: HashSet<Name> = list
            .iter()
            .map(|upstream| upstream.key.id.clone())
            .collect();
        let missing: Vec<Name> = self
            .upstreams
            .keys()
            .filter(|id| !ids.contains(*id))
            .cloned()
            .collect();
        for id in missing {
            self.remove(&id, revision, now);
        }
        for upstream in list {
            self.update(upstream, now);
        }
        let upstreams = &self.upstreams;
        self.leaving.retain(|key, leaving| {
            let is_registered = upstreams
                .get(&key.id)
                .is_some_and(|upstream| upstream.key == *key);
            is_registered || now.saturating_duration_since(leaving.seen_at) < Self::RETENTION
        });
        self.removed
            .retain(|_, removed| now.saturating_duration_since(removed.seen_at) < Self::RETENTION);
    }

    /// Applies one registration. Returns whether its incarnation was not yet
    /// known to be leaving, and is now.
    pub fn update(&mut self, upstream: Upstream, now: Instant) -> bool {
        let key = upstream.key.clone();
        let state = upstream.state;
        if self.is_removed(&key, upstream.revision) {
            return false;
        }
        self.deferred.remove(&key.id);
        self.upstreams.insert(key.id.clone(), upstream);
        match state {
            UpstreamState::Ready => false,
            UpstreamState::Draining(time_left) => {
                let newly_leaving = self.mark_leaving(&key, now);
                if let (Some(time_left), Some(leaving)) = (time_left, self.leaving.get_mut(&key)) {
                    leaving.ends_at = Some(now + time_left);
                }
                newly_leaving
            }
        }
    }

    /// Removes an upstream whose registration is missing at `revision`, at once or
    /// when the deferral ends.
    pub fn remove(&mut self, id: &Name, revision: u64, now: Instant) {
        if self.deferred_until.is_some_and(|until| now < until) {
            self.deferred.insert(id.clone());
        } else if let Some(upstream) = self.upstreams.remove(id) {
            let seen_at = now;
            self.removed
                .insert(upstream.key, Removed { revision, seen_at });
        }
    }

    /// Removes an incarnation whose registration a peer found missing at
    /// `revision`, unless it was written since. A deferral does not apply. Returns
    /// whether the upstream was removed.
    pub fn remove_reported(&mut self, key: &UpstreamKey, revision: u64, now: Instant) -> bool {
        if self.is_removed(key, revision) {
            return false;
        }
        let seen_at = now;
        self.removed
            .insert(key.clone(), Removed { revision, seen_at });
        let known = self.upstreams.get(&key.id);
        let is_current =
            known.is_some_and(|upstream| upstream.key == *key && upstream.revision <= revision);
        if is_current {
            self.upstreams.remove(&key.id);
        }
        is_current
    }

    fn is_removed(&self, key: &UpstreamKey, revision: u64) -> bool {
        self.removed
            .get(key)
            .is_some_and(|removed| revision <= removed.revision)
    }

    /// Returns the incarnations that the message number `turn` reports to peers as
    /// removed, with the revision at which their registrations were missing.
    pub fn removed_news(&self, turn: u64, now: Instant) -> Vec<(UpstreamKey, u64)> {
        let recent = self.removed.iter().filter(|(_, removed)| {
            now.saturating_duration_since(removed.seen_at) < Self::REPORT_PERIOD
        });
        let changes =
            recent.map(|(key, removed)| (removed.seen_at, (key.clone(), removed.revision)));
        news::select(changes.collect(), turn)
    }

    /// Removes the upstreams whose registrations are still missing after the
    /// deferral. Returns their number.
    pub fn remove_deferred(&mut self, now: Instant) -> usize {
        if self.deferred_until.is_none_or(|until| now < until) {
            return 0;
        }
        self.deferred_until = None;
        let expired: Vec<Name> = self.deferred.drain().collect();
        for id in &expired {
            let last = self
                .upstreams
                .get(id)
                .map_or(0, |upstream| upstream.revision);
            self.remove(id, last, now);
        }
        expired.len()
    }

    /// Records that an incarnation is leaving. Returns whether this was not
    /// known before.
    pub fn mark_leaving(&mut self, key: &UpstreamKey, now: Instant) -> bool {
        let newly_leaving = !self.leaving.contains_key(key);
        if newly_leaving {
            let leaving = Leaving {
                seen_at: now,
                ends_at: None,
            };
            self.leaving.insert(key.clone(), leaving);
        }
        newly_leaving
    }

    /// Returns the time until a leaving incarnation ends, or `None` if it is not
    /// known to leave. If it registered no time, the end is `planned` after the
    /// leaving became known.
    pub fn time_left(
        &self,
        key: &UpstreamKey,
        planned: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let leaving = self.leaving.get(key)?;
        let ends_at = leaving.ends_at.unwrap_or(leaving.seen_at + planned);
        Some(ends_at.saturating_duration_since(now))
    }

    /// Returns the incarnations that the message number `turn` reports to peers as
    /// leaving.
    pub fn leaving_news(&self, turn: u64, now: Instant) -> Vec<UpstreamKey> {
        let recent = self.leaving.iter().filter(|(_, leaving)| {
            now.saturating_duration_since(leaving.seen_at) < Self::REPORT_PERIOD
        });
        let changes = recent.map(|(key, leaving)| (leaving.seen_at, key.clone()));
        news::select(changes.collect(), turn)
    }

    /// Returns the number of incarnations known to be leaving.
    pub fn leaving_count(&self) -> usize {
        self.leaving.len()
    }

    /// Returns whether `upstream` may receive new requests.
    pub fn is_usable(&self, upstream: &Upstream) -> bool {
        upstream.state == UpstreamState::Ready && !self.leaving.contains_key(&upstream.key)
    }

    /// Returns the registered upstream with this incarnation.
    pub fn get(&self, key: &UpstreamKey) -> Option<&Upstream> {
        let upstream = self.upstreams.get(&key.id);
        upstream.filter(|upstream| upstream.key == *key)
    }

    /// Returns whether `key` is registered and may receive new requests.
    pub fn is_ready(&self, key: &UpstreamKey) -> bool {
        self.upstreams
            .get(&key.id)
            .is_some_and(|upstream| upstream.key == *key && self.is_usable(upstream))
    }

    /// Returns the upstreams of `service` that may receive new requests.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Upstream> {
        self.of_service(service)
            .filter(|upstream| self.is_usable(upstream))
    }

    /// Returns all registered upstreams of `service`.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams
            .values()
            .filter(move |upstream| &*upstream.service == service)
    }

    /// Returns all registered upstreams.
    pub fn all(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }
}
