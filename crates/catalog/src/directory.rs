//! Registered upstreams.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::HashMap;
use lycheehaven_types::HashSet;
use lycheehaven_types::Name;
use lycheehaven_types::era_of;
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
    /// Version of its software, empty if it states none. What two versions write for one
    /// stream does not fit together.
    pub software: Name,
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
/// out of order. One whose registration was missing counts again once it is written
/// anew, which a store that goes back to an older copy does not do.
#[derive(Debug, Default)]
pub struct Directory {
    upstreams: HashMap<Name, Upstream>,
    leaving: HashMap<UpstreamKey, Leaving>,
    removed: HashMap<UpstreamKey, Removed>,
    deferred: HashSet<Name>,
    deferred_until: Option<Instant>,
    /// Revision of the first list of the store's latest era. Registrations up to it may
    /// be out of the copy to which the store went back.
    era_start: u64,
    loaded: bool,
    /// Number of changes of what is registered or leaving.
    changes: u64,
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

    /// Returns a number that rises with each change of what is registered or leaving.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns whether a full list has been applied.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Applies a full list of the registrations as of `revision`.
    pub fn replace(&mut self, list: Vec<Upstream>, revision: u64, now: Instant) {
        self.loaded = true;
        self.changes += 1;
        if era_of(revision) > era_of(self.era_start) {
            self.era_start = revision;
        }
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
        self.changes += 1;
        if self.is_removed(&key, upstream.revision) {
            self.repeat_news(&key, upstream.revision, now);
            return false;
        }
        self.removed.remove(&key);
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
            self.changes += 1;
            let seen_at = now;
            self.removed
                .insert(upstream.key, Removed { revision, seen_at });
        }
    }

    /// Removes an incarnation whose registration a peer found missing at
    /// `revision`, unless it was written since. A deferral does not apply. Returns
    /// whether the upstream was removed.
    pub fn remove_reported(&mut self, key: &UpstreamKey, revision: u64, now: Instant) -> bool {
        let known = self.removed.get(key);
        if known.is_some_and(|removed| revision <= removed.revision) {
            return false;
        }
        let seen_at = now;
        self.removed
            .insert(key.clone(), Removed { revision, seen_at });
        let is_current = self
            .get(key)
            .is_some_and(|upstream| !self.is_written_since(upstream.revision, revision));
        if is_current {
            self.changes += 1;
            self.upstreams.remove(&key.id);
        }
        is_current
    }

    fn is_removed(&self, key: &UpstreamKey, revision: u64) -> bool {
        self.removed
            .get(key)
            .is_some_and(|removed| !self.is_written_since(revision, removed.revision))
    }

    /// Whether a registration at `revision` was written after it had been missing at
    /// `missing`. Of two revisions of different eras that is not known: the later one may
    /// be that of the copy, unless it is later than the first list of its era.
    fn is_written_since(&self, revision: u64, missing: u64) -> bool {
        revision > missing && (era_of(revision) == era_of(missing) || revision > self.era_start)
    }

    /// Reports a removal to peers for longer while the registration is listed out of a
    /// copy, as entries that start meanwhile would use it.
    fn repeat_news(&mut self, key: &UpstreamKey, revision: u64, now: Instant) {
        if let Some(removed) = self.removed.get_mut(key)
            && era_of(revision) > era_of(removed.revision)
        {
            removed.seen_at = now;
        }
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
            self.changes += 1;
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
