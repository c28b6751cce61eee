//! The choice.

use std::hash::Hash;
use std::hash::Hasher;
use std::time::Instant;

use lycheehaven_catalog::PromptPart;
use lycheehaven_catalog::Upstream;
use lycheehaven_types::FastHasher;
use lycheehaven_types::Name;

use crate::book::LoadBook;

/// Weights of the choice, in milliseconds of expected delay.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Prompt tokens that an engine reads in a millisecond.
    pub read_rate: f64,
    /// Delay by one more request that runs beside this one, times the slots.
    pub crowding: f64,
    /// Delay by one request that waits for a slot.
    pub waiting: f64,
    /// Worth of not reading prompt parts again, as a multiple of the time that
    /// reading takes: it also delays the requests that run beside this one.
    pub miss_factor: f64,
    /// Delay that stands for certain failure.
    pub failure: f64,
    /// Delay that stands for sending to another failure domain.
    pub crossing: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            read_rate: 48.0,
            crowding: 1500.0,
            waiting: 200.0,
            miss_factor: 2.0,
            failure: 4000.0,
            crossing: 3.0,
        }
    }
}

/// A request that needs an upstream.
#[derive(Debug)]
pub struct Ask<'a> {
    /// Parts of its prompt, the last of which is its own.
    pub prompt: &'a [PromptPart],
    /// Failure domain of this entry.
    pub domain: &'a str,
    /// Random number that breaks ties.
    pub draw: u64,
}

/// The chosen upstream, and what decided it.
#[derive(Debug)]
pub struct Choice<'a> {
    /// Upstream.
    pub upstream: &'a Upstream,
    /// Expected delay in milliseconds.
    pub cost: f64,
    /// Requests there.
    pub requests: u32,
}

/// Chooses the candidate with the least expected delay.
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
            let requests = book.requests(&upstream.key, now);
            let missed = match home {
                Some(home) if home.key == upstream.key => 0,
                _ => missed_tokens(upstream, shared, book),
            };
            let cost = policy.load_cost(upstream, requests, book)
                + missed as f64 / policy.read_rate * policy.miss_factor
                + policy.failure * book.failure_rate(&upstream.key)
                + if &*upstream.domain == ask.domain { 0.0 } else { policy.crossing }
                + tie_break(&upstream.key.id, ask.draw);
            Choice {
                upstream,
                cost,
                requests,
            }
        })
        .min_by(|a, b| a.cost.total_cmp(&b.cost))
}

impl Policy {
    fn load_cost(&self, upstream: &Upstream, requests: u32, book: &LoadBook) -> f64 {
        let slots = f64::from(upstream.slots.max(1));
        let requests = f64::from(requests);
        let waiting = (requests + 1.0 - slots).max(0.0);
        self.crowding * requests / slots
            + self.waiting * waiting
            + book.unread(&upstream.key) as f64 / self.read_rate
            + book.delay(&upstream.key)
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

/// Up to one millisecond that differs by upstream and request.
fn tie_break(id: &str, draw: u64) -> f64 {
    let mut hasher = FastHasher::default();
    id.hash(&mut hasher);
    (mix(hasher.finish() ^ draw) >> 40) as f64 / f64::from(1_u32 << 24)
}

fn mix(hash: u64) -> u64 {
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    mixed ^ (mixed >> 33)
}
