//! Table of the known upstreams and their state.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::HashMap;
use lycheehaven_types::HashSet;
use lycheehaven_types::Incarnation;
use lycheehaven_types::Name;

/// Backoff after the first failed connection; doubles up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);

/// Longest backoff after failed connections.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Greatest number of cached prefix blocks tracked per upstream.
const MAX_PREFIX_BLOCKS: usize = 4096;

/// Identity of an upstream: one incarnation of a VM.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct UpstreamId {
    /// Name of the VM.
    pub vm: Name,
    /// Incarnation of the VM.
    pub incarnation: Incarnation,
}

/// Load reported by an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Time at which the load was read, in milliseconds since the Unix epoch.
    pub time: u64,
    /// Streams in the current batch.
    pub running: u32,
    /// Streams waiting for a place in the batch.
    pub waiting: u32,
    /// Prompt tokens that are not prefilled yet.
    pub prefill_tokens: u64,
    /// Prompt tokens prefilled per millisecond.
    pub prefill_rate: f32,
    /// Duration of a decoding step, in microseconds.
    pub step_us: u32,
    /// Maximum number of streams in a batch.
    pub batch_limit: u32,
    /// KV cache tokens that the upstream's link transfers per millisecond.
    pub link_rate: f32,
}

/// Largest count in a load. The sums of loads and of what this entry sent stay far below
/// the limits of their types.
const MAX_COUNT: u32 = 1 << 20;
const MAX_TOKENS: u64 = 1 << 40;

/// Largest rate in a load, in tokens per millisecond.
const MAX_RATE: f32 = 1e9;

/// Longest decoding step, in microseconds.
const MAX_STEP_US: u32 = 3_600_000_000;

impl Load {
    /// Returns the load with numbers that can be reckoned with, whatever an upstream or a
    /// peer states.
    fn bounded(self) -> Self {
        let rate = |rate: f32| {
            if rate.is_nan() {
                return 0.0;
            }
            rate.clamp(0.0, MAX_RATE)
        };
        Self {
            time: self.time,
            running: self.running.min(MAX_COUNT),
            waiting: self.waiting.min(MAX_COUNT),
            prefill_tokens: self.prefill_tokens.min(MAX_TOKENS),
            prefill_rate: rate(self.prefill_rate),
            step_us: self.step_us.min(MAX_STEP_US),
            batch_limit: self.batch_limit.min(MAX_COUNT),
            link_rate: rate(self.link_rate),
        }
    }
}

/// Why no upstream of a service takes a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Closed {
    /// All want no requests. The first pause ends after this time.
    Paused(Duration),
    /// All want no requests, or limit them. The first permit may be had after this time.
    Limited(Duration),
}

/// State of an upstream.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// VM incarnation that the upstream runs on.
    pub id: UpstreamId,
    /// Failure domain.
    pub domain: Name,
    /// Service that the upstream runs.
    pub service: Name,
    /// Version of the service's software, empty if it is not known. What two versions
    /// generate for one answer does not fit together.
    pub software: Name,
    /// Address of the upstream's listener.
    pub addr: SocketAddr,
    /// Latest known load.
    pub load: Option<Load>,
    /// Whether the upstream is leaving. A leaving upstream gets no new requests.
    pub leaving: bool,
    /// Streams that this entry has open at the upstream.
    pub open_streams: u32,
    /// When one of these streams was last heard of. It counts while there are any.
    pub(crate) heard_at: Option<Instant>,
    /// Streams and prompt tokens that this entry sent since the load was read.
    pub(crate) sent_streams: u32,
    pub(crate) sent_tokens: u64,
    /// Running requests that are suspected of crashing upstreams.
    pub suspects: u32,
    pub(crate) retry_at: Option<Instant>,
    pub(crate) backoff: Duration,
    /// End of the time for which the upstream wants no requests.
    pub(crate) paused_until: Option<Instant>,
    /// End of the time for which there is no permit for a request to it.
    pub(crate) permit_at: Option<Instant>,
    pub(crate) prefixes: HashSet<u64>,
}

/// All known upstreams, indexed by VM name, by service and failure domain, and by
/// cached prefix block.
#[derive(Debug, Default)]
pub struct Table {
    pub(crate) upstreams: HashMap<Name, Upstream>,
    pub(crate) by_service: HashMap<Name, HashMap<Name, Vec<Name>>>,
    pub(crate) prefix_holders: HashMap<u64, Vec<Name>>,
    pub(crate) rotation: usize,
}

impl Upstream {
    /// Creates an upstream without load report, open streams or failures.
    pub fn new(id: UpstreamId, domain: Name, service: Name, addr: SocketAddr) -> Self {
        Self {
            id,
            domain,
            service,
            software: Name::default(),
            addr,
            load: None,
            leaving: false,
            open_streams: 0,
            heard_at: None,
            sent_streams: 0,
            sent_tokens: 0,
            suspects: 0,
            retry_at: None,
            backoff: INITIAL_BACKOFF,
            paused_until: None,
            permit_at: None,
            prefixes: HashSet::default(),
        }
    }

    /// Sets the version of the service's software.
    pub fn with_software(mut self, software: Name) -> Self {
        self.software = software;
        self
    }

    pub(crate) fn runs(&self, software: Option<&str>) -> bool {
        software.is_none_or(|software| *self.software == *software)
    }

    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        let is_in_backoff = self.retry_at.is_some_and(|time| now < time);
        !self.leaving && !is_in_backoff && !self.is_paused(now) && !self.awaits_permit(now)
    }

    /// Returns for how long nothing has come from this entry's streams at the upstream.
    pub fn silence(&self, now: Instant) -> Duration {
        match self.heard_at {
            Some(at) if self.open_streams > 0 => now.saturating_duration_since(at),
            _ => Duration::ZERO,
        }
    }

    /// Returns whether the batch has room, as far as is known.
    pub(crate) fn has_room(&self) -> bool {
        self.load.is_none_or(|load| {
            let streams = [load.running, load.waiting, self.sent_streams];
            let taken = streams.iter().map(|count| u64::from(*count)).sum::<u64>();
            taken < u64::from(load.batch_limit.max(1))
        })
    }

    fn awaits_permit(&self, now: Instant) -> bool {
        self.permit_at.is_some_and(|at| now < at)
    }

    fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|ends| now < ends)
    }
}

impl Table {
    /// Replaces the set of upstreams by `listed`. The state of incarnations that are
    /// still listed is kept.
    pub fn sync(&mut self, listed: impl IntoIterator<Item = Upstream>) {
        let mut previous = std::mem::take(&mut self.upstreams);
        for new in listed {
            let name = new.id.vm.clone();
            let kept = previous.remove(&name).filter(|known| known.id == new.id);
            let upstream = match kept {
                Some(known) => Upstream {
                    addr: new.addr,
                    software: new.software,
                    leaving: known.leaving || new.leaving,
                    ..known
                },
                None => new,
            };
            self.upstreams.insert(name, upstream);
        }
        for name in previous.into_keys() {
            self.remove_holder(&name);
        }
        self.rebuild_index();
    }

    /// Returns the number of upstreams.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns whether the table has no upstreams.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Returns the upstream on the VM `name`.
    pub fn get(&self, name: &str) -> Option<&Upstream> {
        self.upstreams.get(name)
    }

    /// Returns all upstreams in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// Returns whether any upstream of `service` can be chosen at `now`, of those that run
    /// `software` if it is given.
    pub fn has_usable(&self, service: &str, software: Option<&str>, now: Instant) -> bool {
        let mut upstreams = self.of_service(service);
        upstreams.any(|upstream| upstream.is_usable(now) && upstream.runs(software))
    }

    /// Returns whether there are upstreams of `service` that stay, but none of them runs
    /// `software`.
    pub fn lacks_software(&self, service: &str, software: &str) -> bool {
        let mut staying = self
            .of_service(service)
            .filter(|upstream| !upstream.leaving)
            .peekable();
        staying.peek().is_some() && !staying.any(|upstream| upstream.runs(Some(software)))
    }

    fn of_service(&self, service: &str) -> impl Iterator<Item = &Upstream> {
        let domains = self.by_service.get(service).into_iter();
        let names = domains.flat_map(|domains| domains.values()).flatten();
        names.filter_map(|name| self.get(name))
    }

    /// Marks an incarnation as leaving. The mark is permanent.
    pub fn mark_leaving(&mut self, name: &str, incarnation: Incarnation) {
        if let Some(upstream) = self.upstreams.get_mut(name)
            && upstream.id.incarnation == incarnation
        {
            upstream.leaving = true;
        }
    }

    /// Records that an incarnation wants no requests until `ends`, or until the end of an
    /// earlier pause if that is later. Returns whether the end has changed.
    pub fn pause(&mut self, name: &str, incarnation: Incarnation, ends: Instant) -> bool {
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return false;
        };
        let is_later = upstream.paused_until.is_none_or(|known| known < ends);
        let changed = is_later && upstream.id.incarnation == incarnation;
        if changed {
            upstream.paused_until = Some(ends);
        }
        changed
    }

    /// Sets until when there is no permit for a request to an incarnation.
    pub fn set_permit_wait(
        &mut self,
        name: &str,
        incarnation: Incarnation,
        until: Option<Instant>,
    ) {
        let upstream = self.upstreams.get_mut(name);
        if let Some(upstream) = upstream.filter(|it| it.id.incarnation == incarnation) {
            upstream.permit_at = until;
        }
    }

    /// Returns why none of the upstreams of `service` that are not leaving takes a request
    /// now, if each pauses or has no permit.
    pub fn closed(&self, service: &str, now: Instant) -> Option<Closed> {
        let staying: Vec<&Upstream> = self
            .iter()
            .filter(|upstream| &*upstream.service == service && !upstream.leaving)
            .collect();
        let is_closed =
            |upstream: &&Upstream| upstream.is_paused(now) || upstream.awaits_permit(now);
        if !staying.iter().all(is_closed) {
            return None;
        }
        let limited = staying
            .iter()
            .filter(|upstream| upstream.awaits_permit(now));
        if let Some(first) = limited.filter_map(|upstream| upstream.permit_at).min() {
            return Some(Closed::Limited(first.saturating_duration_since(now)));
        }
        let first = staying
            .iter()
            .filter_map(|upstream| upstream.paused_until)
            .min()?;
        Some(Closed::Paused(first.saturating_duration_since(now)))
    }

    /// Records a load report of `incarnation` unless a later one is known.
    pub fn update_load(&mut self, name: &str, incarnation: Incarnation, load: Load) {
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return;
        };
        let newer = upstream.load.is_none_or(|known| load.time > known.time);
        if newer && upstream.id.incarnation == incarnation {
            upstream.load = Some(load.bounded());
            upstream.sent_streams = 0;
            upstream.sent_tokens = 0;
        }
    }

    /// Records that a stream with `tokens` prompt tokens and the prefix blocks
    /// `blocks` was opened at `now`.
    pub fn record_open(&mut self, name: &Name, tokens: u64, blocks: &[u64], now: Instant) {
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return;
        };
        if upstream.open_streams == 0 {
            upstream.heard_at = Some(now);
        }
        upstream.open_streams += 1;
        upstream.sent_streams += 1;
        upstream.sent_tokens += tokens.min(MAX_TOKENS);
        for block in blocks {
            self.record_cached(name, *block);
        }
    }

    /// Records that one of this entry's streams at an upstream was heard of.
    pub fn record_heard(&mut self, name: &str, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.heard_at = Some(now);
        }
    }

    /// Records that a stream was closed.
    pub fn record_close(&mut self, name: &str) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.open_streams = upstream.open_streams.saturating_sub(1);
        }
    }

    /// Records that an upstream accepted a request. Resets its backoff.
    pub fn record_success(&mut self, name: &str) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.retry_at = None;
            upstream.backoff = INITIAL_BACKOFF;
        }
    }

    /// Records that an upstream failed. It is excluded for a backoff that doubles with
    /// each consecutive failure.
    pub fn record_failure(&mut self, name: &str, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.retry_at = Some(now + upstream.backoff);
            upstream.backoff = (upstream.backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Counts a request that runs at an upstream and is suspected of crashing upstreams.
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
        let is_full = self
            .get(name)
            .is_some_and(|upstream| upstream.prefixes.len() >= MAX_PREFIX_BLOCKS);
        if is_full {
            // Subsequent requests and cache events record what is still cached.
            self.clear_prefixes(name);
        }
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return;
        };
        if upstream.prefixes.insert(block) {
            let holders = self.prefix_holders.entry(block).or_default();
            if !holders.contains(name) {
                holders.push(name.clone());
            }
        }
    }

    /// Returns the number of upstreams that are recorded as holders of a prefix block.
    pub fn holder_count(&self, block: u64) -> usize {
        self.prefix_holders.get(&block).map_or(0, Vec::len)
    }

    /// Records that an upstream evicted a prefix block.
    pub fn record_evicted(&mut self, name: &str, block: u64) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.prefixes.remove(&block);
        }
        if let Some(holders) = self.prefix_holders.get_mut(&block) {
            holders.retain(|holder| **holder != *name);
            if holders.is_empty() {
                self.prefix_holders.remove(&block);
            }
        }
    }

    /// Discards the prefix blocks of an upstream after a gap in its cache events.
    pub fn clear_prefixes(&mut self, name: &str) {
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return;
        };
        for block in std::mem::take(&mut upstream.prefixes) {
            self.record_evicted(name, block);
        }
    }

    fn remove_holder(&mut self, name: &str) {
        self.prefix_holders.retain(|_, holders| {
            holders.retain(|holder| **holder != *name);
            !holders.is_empty()
        });
    }

    fn rebuild_index(&mut self) {
        self.by_service.clear();
        for upstream in self.upstreams.values() {
            let domains = self.by_service.entry(upstream.service.clone()).or_default();
            domains
                .entry(upstream.domain.clone())
                .or_default()
                .push(upstream.id.vm.clone());
        }
        for names in self
            .by_service
            .values_mut()
            .flat_map(|domains| domains.values_mut())
        {
            names.sort();
        }
    }
}
