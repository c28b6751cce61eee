//! What is known about the upstreams.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::HashMap;
use lycheehaven_types::HashSet;
use lycheehaven_types::Incarnation;
use lycheehaven_types::Name;

/// First wait after a failed connection; doubles up to [`BACKOFF_LIMIT`].
const BACKOFF_START: Duration = Duration::from_millis(200);

/// Longest wait after failed connections.
const BACKOFF_LIMIT: Duration = Duration::from_secs(5);

/// Cached prefixes remembered per upstream.
const PREFIX_LIMIT: usize = 4096;

/// Which VM incarnation an upstream is.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct UpstreamId {
    /// Name of its VM.
    pub vm: Name,
    /// Incarnation of its VM.
    pub incarnation: Incarnation,
}

/// Load of an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Milliseconds since the Unix epoch at which it was read.
    pub time: u64,
    /// Streams in the batch.
    pub running: u32,
    /// Streams waiting.
    pub waiting: u32,
    /// Prompt tokens not yet computed.
    pub prefill_tokens: u64,
    /// Prompt tokens computed in a millisecond.
    pub prefill_rate: f32,
    /// Duration of a step, in microseconds.
    pub step_us: u32,
    /// Streams that fit the batch.
    pub batch_limit: u32,
    /// KV cache tokens that its link moves in a millisecond.
    pub link_rate: f32,
}

/// An upstream.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// Which VM it is.
    pub id: UpstreamId,
    /// Failure domain.
    pub domain: Name,
    /// Service that it runs.
    pub service: Name,
    /// Address.
    pub addr: SocketAddr,
    /// Last known load.
    pub load: Option<Load>,
    /// Whether it is leaving and gets no new work.
    pub leaving: bool,
    /// Streams that this entry has open there.
    pub open_streams: u32,
    /// Streams and prompt tokens that this entry sent since the load was read.
    pub(crate) sent_streams: u32,
    pub(crate) sent_tokens: u64,
    /// Suspected requests that run there.
    pub suspects: u32,
    pub(crate) retry_at: Option<Instant>,
    pub(crate) backoff: Duration,
    pub(crate) prefixes: HashSet<u64>,
}

/// All known upstreams, by VM name and by service and failure domain.
#[derive(Debug, Default)]
pub struct Table {
    pub(crate) upstreams: HashMap<Name, Upstream>,
    pub(crate) groups: HashMap<Name, HashMap<Name, Vec<Name>>>,
    pub(crate) holders: HashMap<u64, Vec<Name>>,
    pub(crate) turn: usize,
}

impl Upstream {
    /// An upstream of which nothing is known but where it is.
    pub fn new(id: UpstreamId, domain: Name, service: Name, addr: SocketAddr) -> Self {
        Self {
            id,
            domain,
            service,
            addr,
            load: None,
            leaving: false,
            open_streams: 0,
            sent_streams: 0,
            sent_tokens: 0,
            suspects: 0,
            retry_at: None,
            backoff: BACKOFF_START,
            prefixes: HashSet::default(),
        }
    }

    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        !self.leaving && self.retry_at.is_none_or(|time| time <= now)
    }
}

impl Table {
    /// Takes over the VM list. What is known about an incarnation is kept.
    pub fn sync(&mut self, listed: impl IntoIterator<Item = Upstream>) {
        let mut old = std::mem::take(&mut self.upstreams);
        for fresh in listed {
            let name = fresh.id.vm.clone();
            let kept = old.remove(&name).filter(|known| known.id == fresh.id);
            let upstream = match kept {
                Some(known) => Upstream {
                    addr: fresh.addr,
                    leaving: known.leaving || fresh.leaving,
                    ..known
                },
                None => fresh,
            };
            self.upstreams.insert(name, upstream);
        }
        for name in old.into_keys() {
            self.forget_holder(&name);
        }
        self.rebuild_groups();
    }

    /// Number of upstreams.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Whether there are no upstreams.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// The named upstream.
    pub fn get(&self, name: &str) -> Option<&Upstream> {
        self.upstreams.get(name)
    }

    /// All upstreams, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// Whether any upstream of `service` can be chosen at `now`.
    pub fn has_usable(&self, service: &str, now: Instant) -> bool {
        let domains = self.groups.get(service).into_iter();
        let mut names = domains.flat_map(|domains| domains.values()).flatten();
        names.any(|name| {
            self.get(name)
                .is_some_and(|upstream| upstream.is_usable(now))
        })
    }

    /// Marks an incarnation as leaving, for good.
    pub fn mark_leaving(&mut self, name: &str, incarnation: Incarnation) {
        if let Some(upstream) = self.upstreams.get_mut(name)
            && upstream.id.incarnation == incarnation
        {
            upstream.leaving = true;
        }
    }

    /// Takes over a load report unless a later one is known.
    pub fn update_load(&mut self, name: &str, incarnation: Incarnation, load: Load) {
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return;
        };
        let newer = upstream.load.is_none_or(|known| load.time > known.time);
        if newer && upstream.id.incarnation == incarnation {
            upstream.load = Some(load);
            upstream.sent_streams = 0;
            upstream.sent_tokens = 0;
        }
    }

    /// Records that a stream with `tokens` prompt tokens and these prefix
    /// blocks was opened.
    pub fn record_open(&mut self, name: &Name, tokens: u64, blocks: &[u64]) {
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return;
        };
        upstream.open_streams += 1;
        upstream.sent_streams += 1;
        upstream.sent_tokens += tokens;
        for block in blocks {
            self.record_cached(name, *block);
        }
    }

    /// Records that a stream was closed.
    pub fn record_close(&mut self, name: &str) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.open_streams = upstream.open_streams.saturating_sub(1);
        }
    }

    /// Records that an upstream accepted work.
    pub fn record_success(&mut self, name: &str) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.retry_at = None;
            upstream.backoff = BACKOFF_START;
        }
    }

    /// Records that an upstream could not be used; it is left alone for a time
    /// that doubles.
    pub fn record_failure(&mut self, name: &str, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.retry_at = Some(now + upstream.backoff);
            upstream.backoff = (upstream.backoff * 2).min(BACKOFF_LIMIT);
        }
    }

    /// Counts suspected requests at an upstream.
    pub fn add_suspect(&mut self, name: &str) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.suspects += 1;
        }
    }

    /// Reverses [`Table::add_suspect`].
    pub fn remove_suspect(&mut self, name: &str) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.suspects = upstream.suspects.saturating_sub(1);
        }
    }

    /// Records that an upstream caches a prefix block.
    pub fn record_cached(&mut self, name: &Name, block: u64) {
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return;
        };
        if upstream.prefixes.len() >= PREFIX_LIMIT {
            // Starting over is cheap: the next requests and events fill it.
            upstream.prefixes.clear();
        }
        if upstream.prefixes.insert(block) {
            let holders = self.holders.entry(block).or_default();
            if !holders.contains(name) {
                holders.push(name.clone());
            }
        }
    }

    /// Records that an upstream evicted a prefix block.
    pub fn record_evicted(&mut self, name: &str, block: u64) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.prefixes.remove(&block);
        }
        if let Some(holders) = self.holders.get_mut(&block) {
            holders.retain(|holder| **holder != *name);
            if holders.is_empty() {
                self.holders.remove(&block);
            }
        }
    }

    /// Forgets what an upstream caches, after a gap in its events.
    pub fn clear_prefixes(&mut self, name: &str) {
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return;
        };
        for block in std::mem::take(&mut upstream.prefixes) {
            self.record_evicted(name, block);
        }
    }

    fn forget_holder(&mut self, name: &str) {
        self.holders.retain(|_, holders| {
            holders.retain(|holder| **holder != *name);
            !holders.is_empty()
        });
    }

    fn rebuild_groups(&mut self) {
        self.groups.clear();
        for upstream in self.upstreams.values() {
            let domains = self.groups.entry(upstream.service.clone()).or_default();
            domains
                .entry(upstream.domain.clone())
                .or_default()
                .push(upstream.id.vm.clone());
        }
        for names in self
            .groups
            .values_mut()
            .flat_map(|domains| domains.values_mut())
        {
            names.sort();
        }
    }
}
