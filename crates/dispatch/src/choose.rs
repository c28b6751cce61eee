//! Selection of an upstream by expected cost.

use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::EngineSpec;
use lycheehaven_catalog::PromptPart;
use lycheehaven_catalog::Upstream;
use lycheehaven_catalog::UpstreamKey;
use lycheehaven_types::FastHasher;
use lycheehaven_types::Name;

use crate::load::Load;
use crate::load_tracker::LoadTracker;
use crate::prefix_cache::Holders;

/// Assumptions about upstreams, and the weights of the terms of their cost.
#[derive(Debug, Clone, Copy)]
pub struct CostModel {
    /// Prompt tokens that an engine prefills per millisecond.
    pub prefill_rate: f64,
    /// Milliseconds of engine time per generated token when many requests run
    /// concurrently.
    pub token_ms: f64,
    /// Fraction of an engine's time spent on decoding when all slots are in use.
    pub decode_fraction: f64,
    /// Wait for a free slot, per request that is waiting for one.
    pub slot_wait: Duration,
    /// Time that a service without engines takes for a request.
    pub service_time: Duration,
    /// Number of shared prompt tokens whose recomputation adds 1 to the cost, as
    /// much as a delay of the whole target latency.
    pub recompute_scale: f64,
    /// Exponent of the ratio of expected delay to target latency: a short delay
    /// costs almost nothing, one near the target costs as much as losing the request.
    pub delay_exponent: i32,
    /// Weight of the ratio of requests at the upstream to its slots.
    pub load_weight: f64,
    /// Cost added for an upstream in another failure domain.
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

/// Request for which an upstream is to be chosen.
#[derive(Debug)]
pub struct Query<'a> {
    /// Parts of its prompt. The last part is not shared with other requests.
    pub prompt: &'a [PromptPart],
    /// Number of prompt tokens.
    pub tokens: u64,
    /// KV cache tokens that the request will need in total.
    pub kv_tokens: u64,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Time within which the response should begin.
    pub target_latency: Duration,
    /// Failure domain of this entry.
    pub domain: &'a str,
    /// Properties of the service's engines, if it has any.
    pub engine: Option<&'a EngineSpec>,
    /// Random number that breaks ties and selects the sample.
    pub draw: u64,
    /// Set if the request may crash its upstream.
    pub trial: Option<&'a TrialQuery>,
    /// Number of upstreams to consider beside those that have the prompt cached. Where
    /// reports of load are older than the time between two requests to an upstream,
    /// entries that consider all of them choose the same one until the next report.
    pub sample: Option<usize>,
}

/// What matters for a request that may crash its upstream.
#[derive(Debug)]
pub struct TrialQuery {
    /// Upstreams that run such requests already.
    pub excluded: Vec<UpstreamKey>,
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub wall_ms: i64,
}

/// The chosen upstream with the estimates that led to the choice.
#[derive(Debug)]
pub struct Choice<'a> {
    /// Chosen upstream.
    pub upstream: &'a Upstream,
    /// Expected time until the response begins.
    pub expected_delay: Duration,
    /// Part of the expected delay in which the upstream prefills this request's
    /// prompt.
    pub prefill_time: Duration,
    /// Prompt tokens that the upstream probably has to prefill.
    pub uncached_tokens: u64,
    /// Load at the upstream, without this request.
    pub load: Load,
    cost: f64,
}

/// Age in milliseconds up to which an upstream gets no requests that may crash it, if
/// there are others.
const YOUNG_MS: i64 = 15_000;

/// Fraction of the target latency that a request may always wait, so that a request
/// whose prefill exceeds the target is not rejected for its size.
const MIN_WAIT_FRACTION: f64 = 0.25;

impl Choice<'_> {
    /// Returns by how much the wait exceeds what the target latency permits, or `None`
    /// if the request should be sent.
    pub fn excess_wait(&self, target: Duration) -> Option<Duration> {
        let limit = target
            .saturating_sub(self.prefill_time)
            .max(target.mul_f64(MIN_WAIT_FRACTION));
        let wait = self.expected_delay.saturating_sub(self.prefill_time);
        (wait > limit && self.load.requests > 0).then(|| wait - limit)
    }
}

/// Returns the candidate with the lowest expected cost, or `None` if there is no
/// candidate outside of backoff.
pub fn choose<'a>(
    candidates: impl Iterator<Item = &'a Upstream>,
    query: &Query<'_>,
    tracker: &LoadTracker,
    model: &CostModel,
    now: Instant,
) -> Option<Choice<'a>> {
    let candidates: Vec<&Upstream> = candidates
        .filter(|upstream| !tracker.in_backoff(&upstream.key, now))
        .collect();
    let cached = with_cached_parts(&candidates, query, tracker);
    let cheapest = |candidates: &[Candidate<'a>]| {
        candidates
            .iter()
            .map(|candidate| {
                let uncached_shared = candidate.uncached_shared;
                model.estimate(candidate.upstream, uncached_shared, query, tracker, now)
            })
            .min_by(|a, b| a.cost.total_cmp(&b.cost))
    };
    if let Some(trial) = query.trial {
        return choose_for_trial(&cached, trial, query, tracker, model, now);
    }
    if let Some(size) = query.sample {
        let best = cheapest(&sample(&cached, query, size));
        if let Some(choice) = best
            && choice.excess_wait(query.target_latency).is_none()
        {
            return Some(choice);
        }
        // The request is refused only if no upstream at all can begin it in time.
    }
    cheapest(&cached)
}

/// Returns the candidate that runs the fewest requests, among those that have run for
/// some time if there are any: one that started lately may crash for another reason.
fn choose_for_trial<'a>(
    candidates: &[Candidate<'a>],
    trial: &TrialQuery,
    query: &Query<'_>,
    tracker: &LoadTracker,
    model: &CostModel,
    now: Instant,
) -> Option<Choice<'a>> {
    let is_young = |key: &UpstreamKey| {
        let age_ms = trial.wall_ms - i64::try_from(key.incarnation).unwrap_or(0);
        age_ms < YOUNG_MS
    };
    let choices = candidates
        .iter()
        .filter(|candidate| !trial.excluded.contains(&candidate.upstream.key))
        .map(|candidate| {
            let uncached_shared = candidate.uncached_shared;
            model.estimate(candidate.upstream, uncached_shared, query, tracker, now)
        });
    choices.min_by(|a, b| {
        let young = is_young(&a.upstream.key).cmp(&is_young(&b.upstream.key));
        let requests = a.load.requests.cmp(&b.load.requests);
        young.then(requests).then(a.cost.total_cmp(&b.cost))
    })
}

/// An upstream that may be chosen.
#[derive(Debug, Clone, Copy)]
struct Candidate<'a> {
    upstream: &'a Upstream,
    /// Tokens of the prompt's shared parts that it probably has to prefill.
    uncached_shared: u64,
}

fn with_cached_parts<'a>(
    upstreams: &[&'a Upstream],
    query: &Query<'_>,
    tracker: &LoadTracker,
) -> Vec<Candidate<'a>> {
    let shared = shared_parts(query.prompt);
    let cached = CachedParts::of(shared, tracker);
    let preferred = shared
        .last()
        .and_then(|part| preferred(upstreams, &part.id));
    upstreams
        .iter()
        .map(|upstream| Candidate {
            upstream,
            uncached_shared: match preferred {
                Some(preferred) if preferred.key == upstream.key => 0,
                _ => cached.uncached_tokens(&upstream.key),
            },
        })
        .collect()
}

/// Returns the candidates that have some of the shared parts cached, and `size` random
/// ones.
fn sample<'a>(candidates: &[Candidate<'a>], query: &Query<'_>, size: usize) -> Vec<Candidate<'a>> {
    if candidates.len() <= size || size == 0 {
        return candidates.to_vec();
    }
    let shared_tokens = total_tokens(shared_parts(query.prompt));
    let ranks: Vec<f64> = candidates
        .iter()
        .map(|candidate| uniform(&candidate.upstream.key.id, !query.draw))
        .collect();
    let mut ordered = ranks.clone();
    let (_, limit, _) = ordered.select_nth_unstable_by(size - 1, f64::total_cmp);
    let limit = *limit;
    candidates
        .iter()
        .zip(ranks)
        .filter(|(candidate, rank)| candidate.uncached_shared < shared_tokens || *rank <= limit)
        .map(|(candidate, _)| *candidate)
        .collect()
}

impl CostModel {
    /// Returns the milliseconds of engine time for prefilling prompt tokens.
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        tokens as f64 / self.prefill_rate
    }

    /// Returns the milliseconds of engine time for generating tokens among concurrent
    /// requests.
    pub fn decode_ms(&self, tokens: u64) -> f64 {
        tokens as f64 * self.token_ms
    }

    fn estimate<'a>(
        &self,
        upstream: &'a Upstream,
        uncached_shared: u64,
        query: &Query<'_>,
        tracker: &LoadTracker,
        now: Instant,
    ) -> Choice<'a> {
        let load = tracker.load(&upstream.key, now);
        let shared = total_tokens(shared_parts(query.prompt));
        let uncached_tokens = query.tokens.saturating_sub(shared) + uncached_shared;
        let slowdown =
            tracker.upstream_slowdown(&upstream.key) * tracker.service_slowdown(&upstream.service);
        let (wait, prefill_time) = self.delay(upstream, uncached_tokens, query, &load);
        let prefill_time = prefill_time.mul_f64(slowdown);
        let expected_delay = wait.mul_f64(slowdown) + prefill_time;
        let target = query.target_latency.as_secs_f64().max(0.001);
        let slots = f64::from(upstream.slots.max(1));
        let domain_cost = if &*upstream.domain == query.domain {
            0.0
        } else {
            self.domain_weight
        };
        let cost = (expected_delay.as_secs_f64() / target).powi(self.delay_exponent)
            + uncached_shared as f64 / self.recompute_scale
            + self.load_weight * f64::from(load.requests) / slots
            + tracker.failure_rate(&upstream.key)
            + domain_cost
            + tie_break(&upstream.key.id, query.draw);
        Choice {
            upstream,
            expected_delay,
            prefill_time,
            uncached_tokens,
            load,
            cost,
        }
    }

    /// Returns the time that a request waits and the time of its own prefill, if the
    /// upstream is as fast as assumed.
    fn delay(
        &self,
        upstream: &Upstream,
        uncached_tokens: u64,
        query: &Query<'_>,
        load: &Load,
    ) -> (Duration, Duration) {
        let slots = f64::from(upstream.slots.max(1));
        let requests = f64::from(load.requests);
        let Some(engine) = query.engine else {
            let work = self
                .service_time
                .mul_f64(((requests + 1.0) / slots).max(1.0));
            return (work, Duration::ZERO);
        };
        let queued_tokens = load.prefill_ahead(query.priority) as f64;
        let utilization = (requests / slots).min(1.0);
        let rate = self.prefill_rate * (1.0 - self.decode_fraction * utilization);
        let waiting = (requests + 1.0 - slots).max(0.0);
        let overflow = (load.kv_tokens + query.kv_tokens).saturating_sub(engine.kv_tokens);
        let kv_wait = overflow as f64 / self.prefill_rate;
        let wait = Duration::from_secs_f64((queued_tokens / rate + kv_wait) / 1000.0)
            + self.slot_wait.mul_f64(waiting);
        let prefill_time = Duration::from_secs_f64(uncached_tokens as f64 / rate / 1000.0);
        (wait, prefill_time)
    }
}

fn total_tokens(parts: &[PromptPart]) -> u64 {
    parts.iter().map(|part| part.tokens).sum()
}

/// Returns all parts but the last, which no other request shares.
fn shared_parts(prompt: &[PromptPart]) -> &[PromptPart] {
    &prompt[..prompt.len().saturating_sub(1)]
}

/// Returns the upstream that all entries prefer for requests with this part. It is
/// selected by rendezvous hashing, so that few parts move when upstreams are added
/// or removed.
fn preferred<'a>(candidates: &[&'a Upstream], part: &Name) -> Option<&'a Upstream> {
    candidates
        .iter()
        .max_by_key(|upstream| hash_weight(part, &upstream.key.id))
        .copied()
}

/// The upstreams that have the shared parts of a prompt cached.
struct CachedParts<'a> {
    /// Tokens and holders of the parts from the first on, up to the first that no
    /// upstream has.
    parts: Vec<(u64, &'a Holders)>,
    /// Tokens of all shared parts.
    total: u64,
}

impl<'a> CachedParts<'a> {
    fn of(shared: &[PromptPart], tracker: &'a LoadTracker) -> Self {
        let parts = shared
            .iter()
            .map_while(|part| Some((part.tokens, tracker.cache().holders(&part.id)?)));
        Self {
            parts: parts.collect(),
            total: total_tokens(shared),
        }
    }

    /// Returns the tokens of the shared parts that an upstream probably has to prefill.
    /// A part counts as cached only if all parts before it are cached.
    fn uncached_tokens(&self, upstream: &UpstreamKey) -> u64 {
        let cached: u64 = self
            .parts
            .iter()
            .take_while(|(_, holders)| holders.contains_key(upstream))
            .map(|(tokens, _)| tokens)
            .sum();
        self.total - cached
    }
}

fn hash_weight(key: &str, name: &str) -> u64 {
    let mut hasher = FastHasher::default();
    key.hash(&mut hasher);
    name.hash(&mut hasher);
    mix(hasher.finish())
}

/// Returns a small cost that depends on upstream and request.
fn tie_break(id: &str, draw: u64) -> f64 {
    const MAX_TIE_BREAK_COST: f64 = 0.001;
    uniform(id, draw) * MAX_TIE_BREAK_COST
}

/// Returns a number from 0 to 1 that depends on upstream and request.
fn uniform(id: &str, draw: u64) -> f64 {
    let mut hasher = FastHasher::default();
    id.hash(&mut hasher);
    (mix(hasher.finish() ^ draw) >> 40) as f64 / f64::from(1_u32 << 24)
}

fn mix(hash: u64) -> u64 {
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    mixed ^ (mixed >> 33)
}
