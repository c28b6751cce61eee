//! The upstreams that are registered.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::HashMap;
use lycheehaven_types::HashSet;
use lycheehaven_types::Name;
use serde::Deserialize;
use serde::Serialize;

/// One run of an upstream. An upstream may start again under its old id.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UpstreamKey {
    /// Registered id.
    pub id: Name,
    /// Start of this run, in milliseconds since the Unix epoch; 0 if unknown.
    #[serde(rename = "born")]
    pub incarnation: u64,
}

/// What an upstream says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamState {
    /// It takes requests.
    Ready,
    /// It takes no new requests and ends after this time, if known.
    Draining(Option<Duration>),
}

/// A registered upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct Upstream {
    /// Which run of which upstream.
    pub key: UpstreamKey,
    /// Service that it serves.
    pub service: Name,
    /// Address for requests.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Requests that it runs at once; 0 if unknown.
    pub slots: u32,
    /// State.
    pub state: UpstreamState,
    /// Whether it may be reclaimed.
    pub reclaimable: bool,
    /// Revision of its entry in the store.
    pub revision: u64,
}

/// A run that is known to leave.
#[derive(Debug, Clone, Copy)]
struct Leaving {
    heard: Instant,
    /// When it ends, if it has told.
    ends: Option<Instant>,
}

/// A run whose entry was removed.
#[derive(Debug, Clone, Copy)]
struct Gone {
    /// Revision of the store up to which the entry was missing.
    revision: u64,
    heard: Instant,
}

/// Registered upstreams, and those whose leaving was heard of. A run that was
/// seen draining never counts as ready again, whichever message says so.
#[derive(Debug, Default)]
pub struct Directory {
    upstreams: HashMap<Name, Upstream>,
    leaving: HashMap<UpstreamKey, Leaving>,
    gone: HashMap<UpstreamKey, Gone>,
    lapsing: HashSet<Name>,
    hold: Option<Instant>,
    loaded: bool,
}

impl Directory {
    /// Time for which a leaving run is remembered.
    const REMEMBER: Duration = Duration::from_secs(120);

    /// Time for which peers are told of a leaving run. An entry that hears none
    /// for longer reads the store itself.
    const NEWS: Duration = Duration::from_secs(10);

    /// Keeps upstreams whose entries are missing until `until`: entries lapse
    /// while the store is away and are written again after its return.
    pub fn defer_removals(&mut self, until: Instant) {
        self.hold = Some(until);
    }

    /// Whether a full list was taken over.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Takes over a full list as of `revision`.
    pub fn replace(&mut self, list: Vec<Upstream>, revision: u64, now: Instant) {
        self.loaded = true;
        let ids: HashSet<Name> = list.iter().map(|up| up.key.id.clone()).collect();
        let gone: Vec<Name> = self
            .upstreams
            .keys()
            .filter(|id| !ids.contains(*id))
            .cloned()
            .collect();
        for id in gone {
            self.remove(&id, revision, now);
        }
        for upstream in list {
            self.update(upstream, now);
        }
        self.leaving
            .retain(|_, leaving| now.saturating_duration_since(leaving.heard) < Self::REMEMBER);
        self.gone
            .retain(|_, gone| now.saturating_duration_since(gone.heard) < Self::REMEMBER);
    }

    /// Takes over one entry. Returns whether its run is newly leaving.
    pub fn update(&mut self, upstream: Upstream, now: Instant) -> bool {
        let key = upstream.key.clone();
        let state = upstream.state;
        if self.is_gone(&key, upstream.revision) {
            return false;
        }
        self.lapsing.remove(&key.id);
        self.upstreams.insert(key.id.clone(), upstream);
        match state {
            UpstreamState::Ready => false,
            UpstreamState::Draining(left) => {
                let news = self.mark_leaving(&key, now);
                if let (Some(left), Some(leaving)) = (left, self.leaving.get_mut(&key)) {
                    leaving.ends = Some(now + left);
                }
                news
            }
        }
    }

    /// Forgets an upstream whose entry is gone at `revision`, at once or when
    /// the hold ends.
    pub fn remove(&mut self, id: &Name, revision: u64, now: Instant) {
        if self.hold.is_some_and(|until| now < until) {
            self.lapsing.insert(id.clone());
        } else if let Some(upstream) = self.upstreams.remove(id) {
            let heard = now;
            self.gone.insert(upstream.key, Gone { revision, heard });
        }
    }

    /// Forgets a run whose entry a peer found missing at `revision`, unless it
    /// was written since. Returns whether this was news.
    pub fn remove_reported(&mut self, key: &UpstreamKey, revision: u64, now: Instant) -> bool {
        if self.is_gone(key, revision) {
            return false;
        }
        let heard = now;
        self.gone.insert(key.clone(), Gone { revision, heard });
        let known = self.upstreams.get(&key.id);
        let present = known.is_some_and(|up| up.key == *key && up.revision <= revision);
        if present {
            self.upstreams.remove(&key.id);
        }
        present
    }

    fn is_gone(&self, key: &UpstreamKey, revision: u64) -> bool {
        self.gone
            .get(key)
            .is_some_and(|gone| revision <= gone.revision)
    }

    /// Runs whose entries went missing lately, with the revision at which they
    /// were.
    pub fn recently_removed(&self, now: Instant) -> Vec<(UpstreamKey, u64)> {
        self.gone
            .iter()
            .filter(|(_, gone)| now.saturating_duration_since(gone.heard) < Self::NEWS)
            .map(|(key, gone)| (key.clone(), gone.revision))
            .collect()
    }

    /// Forgets upstreams whose entries are still missing after the hold.
    /// Returns how many these were.
    pub fn remove_deferred(&mut self, now: Instant) -> usize {
        if self.hold.is_none_or(|until| now < until) {
            return 0;
        }
        self.hold = None;
        let lapsed: Vec<Name> = self.lapsing.drain().collect();
        for id in &lapsed {
            let last = self.upstreams.get(id).map_or(0, |up| up.revision);
            self.remove(id, last, now);
        }
        lapsed.len()
    }

    /// Remembers that a run leaves. Returns whether this was news.
    pub fn mark_leaving(&mut self, key: &UpstreamKey, now: Instant) -> bool {
        let news = !self.leaving.contains_key(key);
        if news {
            let leaving = Leaving {
                heard: now,
                ends: None,
            };
            self.leaving.insert(key.clone(), leaving);
        }
        news
    }

    /// Time until a leaving run ends; `planned` counts from the news if the run
    /// has told no time. `None` if it is not known to leave.
    pub fn time_left(
        &self,
        key: &UpstreamKey,
        planned: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let leaving = self.leaving.get(key)?;
        let ends = leaving.ends.unwrap_or(leaving.heard + planned);
        Some(ends.saturating_duration_since(now))
    }

    /// Runs of which it became known lately that they leave.
    pub fn recently_leaving(&self, now: Instant) -> impl Iterator<Item = &UpstreamKey> {
        self.leaving
            .iter()
            .filter(move |(_, leaving)| now.saturating_duration_since(leaving.heard) < Self::NEWS)
            .map(|(key, _)| key)
    }

    /// Number of runs that are leaving.
    pub fn leaving_count(&self) -> usize {
        self.leaving.len()
    }

    /// Whether a run may be given new requests.
    pub fn is_usable(&self, upstream: &Upstream) -> bool {
        upstream.state == UpstreamState::Ready && !self.leaving.contains_key(&upstream.key)
    }

    /// Whether `key` is registered and takes requests.
    pub fn is_ready(&self, key: &UpstreamKey) -> bool {
        self.upstreams
            .get(&key.id)
            .is_some_and(|up| up.key == *key && self.is_usable(up))
    }

    /// Upstreams of `service` that may be given new requests.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Upstream> {
        self.of_service(service).filter(|up| self.is_usable(up))
    }

    /// All registered upstreams of `service`.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams
            .values()
            .filter(move |up| &*up.service == service)
    }

    /// All registered upstreams.
    pub fn all(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }
}
