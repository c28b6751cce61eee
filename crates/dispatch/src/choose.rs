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

use crate::book::Load;
use crate::book::LoadBook;

/// What the choice assumes of upstreams, and how it weighs what it expects.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Prompt tokens that an engine reads in a millisecond.
    pub read_rate: f64,
    /// Milliseconds of an engine's time that a written token takes when many
    /// requests run beside each other.
    pub write_ms: f64,
    /// Part of an engine's time that goes to writing answers when all slots
    /// are taken.
    pub write_part: f64,
    /// Time until a slot is free for each request that waits for one.
    pub slot_wait: Duration,
    /// Time that a plain service works on a request.
    pub plain_work: Duration,
    /// Shared tokens which, read again, cost as much as the request earns.
    pub read_again: f64,
    /// Power to which the expected part of the target is raised: a short delay
    /// costs nothing, one near the target costs the request.
    pub lateness: i32,
    /// Weight of the requests that run beside this one.
    pub crowding: f64,
    /// Weight of sending to another failure domain.
    pub crossing: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            read_rate: 50.0,
            write_ms: 0.22,
            write_part: 0.4,
            slot_wait: Duration::from_millis(60),
            plain_work: Duration::from_millis(40),
            read_again: 25_000.0,
            lateness: 3,
            crowding: 0.15,
            crossing: 0.003,
        }
    }
}

/// A request that needs an upstream.
#[derive(Debug)]
pub struct Ask<'a> {
    /// Parts of its prompt, the last of which is its own.
    pub prompt: &'a [PromptPart],
    /// Tokens of the prompt.
    pub tokens: u64,
    /// Tokens of memory that the request will need in all.
    pub memory: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Time within which the answer should begin.
    pub target: Duration,
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
    pub delay: Duration,
    /// Part of it that the upstream spends on this request's own prompt.
    pub own: Duration,
    /// Prompt tokens that it probably has to read.
    pub unread: u64,
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
    pub fn excess(&self, target: Duration) -> Option<Duration> {
        let most = target
            .saturating_sub(self.own)
            .max(target.mul_f64(LEAST_WAIT));
        let wait = self.delay.saturating_sub(self.own);
        (wait > most && self.load.requests > 0).then(|| wait - most)
    }
}

/// Chooses the candidate that is expected to serve the request best.
pub fn choose<'a>(
    candidates: impl Iterator<Item = &'a Upstream>,
    ask: &Ask<'_>,
    book: &LoadBook,
    policy: &Policy,
    now: Instant,
) -> Option<Choice<'a>> {
    let candidates: Vec<&Upstream> = candidates
        .filter(|upstream| !book.is_closed(&upstream.key, now))
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

impl Policy {
    /// Milliseconds of an engine's time for reading prompt tokens.
    pub fn read_time(&self, tokens: u64) -> f64 {
        tokens as f64 / self.read_rate
    }

    /// Milliseconds of an engine's time for writing tokens, beside others.
    pub fn write_time(&self, tokens: u64) -> f64 {
        tokens as f64 * self.write_ms
    }

    fn weigh<'a>(
        &self,
        upstream: &'a Upstream,
        missed: u64,
        ask: &Ask<'_>,
        book: &LoadBook,
        now: Instant,
    ) -> Choice<'a> {
        let load = book.load(&upstream.key, now);
        let shared: u64 = shared_parts(ask.prompt)
            .iter()
            .map(|part| part.tokens)
            .sum();
        let unread = ask.tokens.saturating_sub(shared) + missed;
        let slowness = book.slowness(&upstream.key) * book.lateness(&upstream.service);
        let (wait, own) = self.delay(upstream, unread, ask, &load);
        let own = own.mul_f64(slowness);
        let delay = wait.mul_f64(slowness) + own;
        let target = ask.target.as_secs_f64().max(0.001);
        let slots = f64::from(upstream.slots.max(1));
        let crossing = if &*upstream.domain == ask.domain {
            0.0
        } else {
            self.crossing
        };
        let cost = (delay.as_secs_f64() / target).powi(self.lateness)
            + missed as f64 / self.read_again
            + self.crowding * f64::from(load.requests) / slots
            + book.failure_rate(&upstream.key)
            + crossing
            + tie_break(&upstream.key.id, ask.draw);
        Choice {
            upstream,
            delay,
            own,
            unread,
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
        ask: &Ask<'_>,
        load: &Load,
    ) -> (Duration, Duration) {
        let slots = f64::from(upstream.slots.max(1));
        let requests = f64::from(load.requests);
        let Some(engine) = ask.engine else {
            let work = self.plain_work.mul_f64(((requests + 1.0) / slots).max(1.0));
            return (work, Duration::ZERO);
        };
        let queued = load.unread_before(ask.priority) as f64;
        let taken = (requests / slots).min(1.0);
        let rate = self.read_rate * (1.0 - self.write_part * taken);
        let waiting = (requests + 1.0 - slots).max(0.0);
        let overflow = (load.memory + ask.memory).saturating_sub(engine.kv_tokens);
        let memory_wait = overflow as f64 / self.read_rate;
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
fn missed_tokens(upstream: &Upstream, shared: &[PromptPart], book: &LoadBook) -> u64 {
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
