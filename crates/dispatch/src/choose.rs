//! The choice.

use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::EngineSpec;
use lycheehaven_catalog::PromptPart;
use lycheehaven_catalog::Upstream;
use lycheehaven_types::FastHasher;
use lycheehaven_types::Name;

use crate::load::Load;
use crate::load::LoadTracker;

/// What the choice assumes of upstreams, and how it weighs what it expects.
#[derive(Debug, Clone, Copy)]
pub struct CostModel {
    /// Prompt tokens that an engine reads in a millisecond.
    pub prefill_rate: f64,
    /// Milliseconds of an engine's time that a written token takes when many
    /// requests run beside each other.
    pub token_ms: f64,
    /// Part of an engine's time that goes to writing answers when all slots
    /// are taken.
    pub decode_fraction: f64,
    /// Time until a slot is free for each request that waits for one.
    pub slot_wait: Duration,
    /// Time that a plain service works on a request.
    pub service_time: Duration,
    /// Shared tokens which, read again, cost as much as the request earns.
    pub recompute_scale: f64,
    /// Power to which the expected part of the target is raised: a short delay
    /// costs nothing, one near the target costs the request.
    pub delay_exponent: i32,
    /// Weight of the requests that run beside this one.
    pub load_weight: f64,
    /// Weight of sending to another failure domain.
    pub domain_weight: f64,
}

impl Default for CostModel {
    fn default() -> Self {
        Self {
            prefill_rate: 50.0,
            token_ms: 0.22,
            decode_fraction: 0.4,
            slot_wait: Duration::from_millis(60),
            service_time: Duration::from_millis(40),
            recompute_scale: 25_000.0,
            delay_exponent: 3,
            load_weight: 0.15,
            domain_weight: 0.003,
        }
    }
}

/// A request that needs an upstream.
#[derive(Debug)]
pub struct Query<'a> {
    /// Parts of its prompt, the last of which is its own.
    pub prompt: &'a [PromptPart],
    /// Tokens of the prompt.
    pub tokens: u64,
    /// Tokens of memory that the request will need in all.
    pub kv_tokens: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Time within which the answer should begin.
    pub target_latency: Duration,
    /// Failure domain of this entry.
    pub domain: &'a str,
    /// What the engines are like, if the service has any.
    pub engine: Option<&'a EngineSpec>,
    /// Random number that breaks ties.
    pub draw: u64,
}

/// The chosen upstream, and what decided it.
#[derive(Debug)]
pub struct Choice<'a> {
    /// Upstream.
    pub upstream: &'a Upstream,
    /// Time until the answer is expected to begin.
    pub expected_delay: Duration,
    /// Part of it that the upstream spends on this request's own prompt.
    pub prefill_time: Duration,
    /// Prompt tokens that it probably has to read.
    pub uncached_tokens: u64,
    /// Load there, without this request.
    pub load: Load,
    cost: f64,
}

/// Part of the target that a request may always wait: one whose own prompt takes
/// longer than the target is not refused for its size.
const LEAST_WAIT: f64 = 0.25;

impl Choice<'_> {
    /// By how much the wait is too long for an answer in time. `None` if the
    /// request should be sent.
    pub fn excess_wait(&self, target: Duration) -> Option<Duration> {
        let most = target
            .saturating_sub(self.prefill_time)
            .max(target.mul_f64(LEAST_WAIT));
        let wait = self.expected_delay.saturating_sub(self.prefill_time);
        (wait > most && self.load.requests > 0).then(|| wait - most)
    }
}

/// Chooses the candidate that is expected to serve the request best.
pub fn choose<'a>(
    candidates: impl Iterator<Item = &'a Upstream>,
    ask: &Query<'_>,
    book: &LoadTracker,
    policy: &CostModel,
    now: Instant,
) -> Option<Choice<'a>> {
    let candidates: Vec<&Upstream> = candidates
        .filter(|upstream| !book.in_backoff(&upstream.key, now))
        .collect();
    let shared = shared_parts(ask.prompt);
    let home = shared.last().and_then(|part| home(&candidates, &part.id));
    candidates
        .into_iter()
        .map(|upstream| {
            let missed = match home {
                Some(home) if home.key == upstream.key => 0,
                _ => missed_tokens(upstream, shared, book),
            };
            policy.weigh(upstream, missed, ask, book, now)
        })
        .min_by(|a, b| a.cost.total_cmp(&b.cost))
}

impl CostModel {
    /// Milliseconds of an engine's time for reading prompt tokens.
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        tokens as f64 / self.prefill_rate
    }

    /// Milliseconds of an engine's time for writing tokens, beside others.
    pub fn decode_ms(&self, tokens: u64) -> f64 {
        tokens as f64 * self.token_ms
    }

    fn weigh<'a>(
        &self,
        upstream: &'a Upstream,
        missed: u64,
        ask: &Query<'_>,
        book: &LoadTracker,
        now: Instant,
    ) -> Choice<'a> {
        let load = book.load(&upstream.key, now);
        let shared: u64 = shared_parts(ask.prompt)
            .iter()
            .map(|part| part.tokens)
            .sum();
        let uncached_tokens = ask.tokens.saturating_sub(shared) + missed;
        let slowness =
            book.upstream_slowdown(&upstream.key) * book.service_slowdown(&upstream.service);
        let (wait, prefill_time) = self.delay(upstream, uncached_tokens, ask, &load);
        let prefill_time = prefill_time.mul_f64(slowness);
        let expected_delay = wait.mul_f64(slowness) + prefill_time;
        let target = ask.target_latency.as_secs_f64().max(0.001);
        let slots = f64::from(upstream.slots.max(1));
        let crossing = if &*upstream.domain == ask.domain {
            0.0
        } else {
            self.domain_weight
        };
        let cost = (expected_delay.as_secs_f64() / target).powi(self.delay_exponent)
            + missed as f64 / self.recompute_scale
            + self.load_weight * f64::from(load.requests) / slots
            + book.failure_rate(&upstream.key)
            + crossing
            + tie_break(&upstream.key.id, ask.draw);
        Choice {
            upstream,
            expected_delay,
            prefill_time,
            uncached_tokens,
            load,
            cost,
        }
    }

    /// Time that a request waits and that its own prompt takes, if the upstream
    /// is as fast as expected.
    fn delay(
        &self,
        upstream: &Upstream,
        unread: u64,
        ask: &Query<'_>,
        load: &Load,
    ) -> (Duration, Duration) {
        let slots = f64::from(upstream.slots.max(1));
        let requests = f64::from(load.requests);
        let Some(engine) = ask.engine else {
            let work = self
                .service_time
                .mul_f64(((requests + 1.0) / slots).max(1.0));
            return (work, Duration::ZERO);
        };
        let queued = load.prefill_ahead(ask.priority) as f64;
        let taken = (requests / slots).min(1.0);
        let rate = self.prefill_rate * (1.0 - self.decode_fraction * taken);
        let waiting = (requests + 1.0 - slots).max(0.0);
        let overflow = (load.kv_tokens + ask.kv_tokens).saturating_sub(engine.kv_tokens);
        let memory_wait = overflow as f64 / self.prefill_rate;
        let wait = Duration::from_secs_f64((queued / rate + memory_wait) / 1000.0)
            + self.slot_wait.mul_f64(waiting);
        let own = Duration::from_secs_f64(unread as f64 / rate / 1000.0);
        (wait, own)
    }
}

/// All parts but the last, which no other request shares.
fn shared_parts(prompt: &[PromptPart]) -> &[PromptPart] {
    &prompt[..prompt.len().saturating_sub(1)]
}

/// The upstream that all entries prefer for requests with this part: the best
/// by rendezvous hash, so that few parts move when upstreams come and go.
fn home<'a>(candidates: &[&'a Upstream], part: &Name) -> Option<&'a Upstream> {
    candidates
        .iter()
        .max_by_key(|upstream| weight(part, &upstream.key.id))
        .copied()
}

/// Tokens of the shared parts that an upstream probably has to read: a part
/// counts as cached only if all parts before it are.
fn missed_tokens(upstream: &Upstream, shared: &[PromptPart], book: &LoadTracker) -> u64 {
    let cached: u64 = shared
        .iter()
        .take_while(|part| book.cached_at(&upstream.key, &part.id).is_some())
        .map(|part| part.tokens)
        .sum();
    let total: u64 = shared.iter().map(|part| part.tokens).sum();
    total - cached
}

fn weight(key: &str, name: &str) -> u64 {
    let mut hasher = FastHasher::default();
    key.hash(&mut hasher);
    name.hash(&mut hasher);
    mix(hasher.finish())
}

/// A small cost that differs by upstream and request.
fn tie_break(id: &str, draw: u64) -> f64 {
    const MOST: f64 = 0.001;
    let mut hasher = FastHasher::default();
    id.hash(&mut hasher);
    (mix(hasher.finish() ^ draw) >> 40) as f64 / f64::from(1_u32 << 24) * MOST
}

fn mix(hash: u64) -> u64 {
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    mixed ^ (mixed >> 33)
}
