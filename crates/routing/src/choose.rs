//! Routing policies and the selection of an upstream.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::HashMap;
use lycheehaven_types::Name;

use crate::Table;
use crate::Upstream;

/// Prompt tokens prefilled per millisecond by an upstream without a load report.
const DEFAULT_PREFILL_RATE: f64 = 10.0;

/// Words per prefix block, taken as the number of its tokens.
const BLOCK_TOKENS: f64 = 32.0;

/// Candidates with a cached prefix that are added to the sample.
const PREFIX_CANDIDATES: usize = 2;

/// Added to the score of an upstream that has not succeeded since its last failure,
/// in milliseconds.
const FAILURE_PENALTY_MS: f64 = 500.0;

/// Routing policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Chooses the lowest expected cost among sampled candidates.
    Cost,
    /// Chooses the candidates in rotation.
    RoundRobin,
    /// Chooses the lowest reported load, regardless of what was sent since.
    LeastLoaded,
}

/// Parameters of the selection.
#[derive(Debug, Clone, Copy)]
pub struct Rules {
    /// Routing policy.
    pub policy: Policy,
    /// Number of candidates to sample from this entry's failure domain. Half as many
    /// are sampled from another one.
    pub sample: usize,
    /// Cost of sending to another failure domain.
    pub remote_cost: Duration,
}

/// Request that is to be routed.
#[derive(Debug, Clone)]
pub struct Query<'a> {
    /// Service that must be served.
    pub service: &'a str,
    /// Version of the software that has generated the beginning of the answer, and must
    /// generate the rest; `None` for any.
    pub software: Option<&'a str>,
    /// Failure domain of this entry, whose upstreams are preferred.
    pub domain: &'a str,
    /// Number of prompt tokens.
    pub tokens: u64,
    /// Prefix blocks of the prompt, shortest prefix first.
    pub blocks: &'a [u64],
    /// VMs that must not be chosen.
    pub excluded: &'a [Name],
    /// Whether to choose only upstreams that run no suspected request.
    pub without_suspects: bool,
    /// Whether to choose only upstreams that can take over a run from one that has been
    /// silent for this time: they have room, and are not as silent themselves.
    pub takes_over: Option<Duration>,
}

/// Reason why an upstream was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Lowest expected cost.
    Cost,
    /// Lowest expected cost, with a cached prefix.
    Prefix,
    /// Next in rotation.
    RoundRobin,
    /// Lowest reported load.
    LeastLoaded,
}

impl Reason {
    /// Returns the name of the reason in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Cost => "cost",
            Self::Prefix => "prefix",
            Self::RoundRobin => "turn",
            Self::LeastLoaded => "load",
        }
    }
}

/// Candidate with its score.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Name of the candidate's VM.
    pub vm: Name,
    /// Expected time until the first token, in milliseconds. Lower is better.
    pub score: f64,
    /// Prompt tokens that the candidate probably has cached.
    pub cached: u64,
}

/// Result of a selection.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// Name of the chosen VM.
    pub vm: Name,
    /// Reason of the choice.
    pub reason: Reason,
    /// The candidates that were compared.
    pub candidates: Vec<Candidate>,
}

impl Table {
    /// Returns the upstream chosen for a request, or `None` if none is usable. `draw`
    /// is a random number that determines the sample.
    pub fn choose(
        &mut self,
        rules: &Rules,
        query: &Query<'_>,
        draw: u64,
        now: Instant,
    ) -> Option<Choice> {
        self.rotation = self.rotation.wrapping_add(1);
        let domains = self.by_service.get(query.service)?;
        let names = match rules.policy {
            Policy::Cost => self.sample_candidates(domains, query, rules.sample, draw, now),
            Policy::RoundRobin | Policy::LeastLoaded => self.nearest_upstreams(domains, query, now),
        };
        let rotation = self.rotation;
        let candidates: Vec<Candidate> = names
            .iter()
            .map(|upstream| self.score(upstream, query, rules.remote_cost))
            .collect();
        let (index, reason) = match rules.policy {
            Policy::Cost => lowest_score(&candidates),
            Policy::RoundRobin => (rotation.checked_rem(candidates.len())?, Reason::RoundRobin),
            Policy::LeastLoaded => (least_loaded(&names), Reason::LeastLoaded),
        };
        let vm = candidates.get(index)?.vm.clone();
        Some(Choice {
            vm,
            reason,
            candidates,
        })
    }

    /// Returns a random sample of usable upstreams in this entry's failure domain and
    /// in another one, and some that cache the longest prefix of the prompt.
    fn sample_candidates(
        &self,
        domains: &HashMap<Name, Vec<Name>>,
        query: &Query<'_>,
        sample: usize,
        draw: u64,
        now: Instant,
    ) -> Vec<&Upstream> {
        let mut chosen: Vec<&Upstream> = Vec::with_capacity(sample + PREFIX_CANDIDATES);
        let holders = query
            .blocks
            .iter()
            .rev()
            .find_map(|block| self.prefix_holders.get(block));
        let holders = holders
            .into_iter()
            .flatten()
            .filter_map(|name| self.usable(name, query, now));
        let start = draw as usize;
        let mut cached: Vec<&Upstream> = holders.filter(|u| &*u.service == query.service).collect();
        let shift = start % cached.len().max(1);
        cached.rotate_left(shift);
        chosen.extend(cached.into_iter().take(PREFIX_CANDIDATES));
        let local = domains
            .get(query.domain)
            .map(Vec::as_slice)
            .unwrap_or_default();
        self.sample_from(local, sample, query, (draw, now), &mut chosen);
        let mut others: Vec<&Name> = domains
            .keys()
            .filter(|name| &***name != query.domain)
            .collect();
        others.sort();
        let count = others.len().max(1);
        let rotation = start % count;
        for (visited, name) in others.iter().cycle().skip(rotation).take(count).enumerate() {
            // One remote domain suffices unless no candidate was found so far.
            if visited > 0 && !chosen.is_empty() {
                break;
            }
            self.sample_from(
                &domains[*name],
                sample.div_ceil(2),
                query,
                (draw, now),
                &mut chosen,
            );
        }
        chosen
    }

    fn sample_from<'a>(
        &'a self,
        names: &[Name],
        count: usize,
        query: &Query<'_>,
        (draw, now): (u64, Instant),
        chosen: &mut Vec<&'a Upstream>,
    ) {
        let mut found = 0;
        let mut state = draw | 1;
        // A full pass from a random start is needed only if few names are usable.
        let tries = names.len().min(count * 4);
        let start = (draw >> 16) as usize;
        for attempt in 0..tries.max(names.len().min(count)) {
            if found == count {
                return;
            }
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            let random = if names.len() <= count * 4 {
                start + attempt
            } else {
                state as usize
            };
            let Some(upstream) = self.usable(&names[random % names.len()], query, now) else {
                continue;
            };
            if !chosen.iter().any(|other| other.id == upstream.id) {
                chosen.push(upstream);
                found += 1;
            }
        }
        if found == 0 && tries < names.len() {
            let pass = (0..names.len()).map(|offset| &names[(start + offset) % names.len()]);
            chosen.extend(
                pass.filter_map(|name| self.usable(name, query, now))
                    .take(1),
            );
        }
    }

    /// Returns all usable upstreams in this entry's failure domain, or all others if
    /// it has none.
    fn nearest_upstreams(
        &self,
        domains: &HashMap<Name, Vec<Name>>,
        query: &Query<'_>,
        now: Instant,
    ) -> Vec<&Upstream> {
        let local = domains.get(query.domain).into_iter().flatten();
        let local: Vec<&Upstream> = local
            .filter_map(|name| self.usable(name, query, now))
            .collect();
        if !local.is_empty() {
            return local;
        }
        let mut all: Vec<&Name> = domains.values().flatten().collect();
        all.sort();
        all.into_iter()
            .filter_map(|name| self.usable(name, query, now))
            .collect()
    }

    fn usable(&self, name: &Name, query: &Query<'_>, now: Instant) -> Option<&Upstream> {
        let upstream = self.upstreams.get(name)?;
        let is_eligible = !query.without_suspects || upstream.suspects == 0;
        let is_eligible = is_eligible
            && query
                .takes_over
                .is_none_or(|silence| upstream.has_room() && upstream.silence(now) < silence);
        let is_eligible = is_eligible && upstream.runs(query.software);
        (upstream.is_usable(now) && is_eligible && !query.excluded.contains(name))
            .then_some(upstream)
    }

    fn score(&self, upstream: &Upstream, query: &Query<'_>, remote_cost: Duration) -> Candidate {
        let cached = cached_tokens(upstream, query.blocks);
        let missing = query.tokens.saturating_sub(cached) as f64;
        let remote_cost_ms = if *upstream.domain == *query.domain {
            0.0
        } else {
            remote_cost.as_secs_f64() * 1e3
        };
        let failure_penalty = if upstream.retry_at.is_some() {
            FAILURE_PENALTY_MS
        } else {
            0.0
        };
        let score = queue_wait_ms(upstream)
            + missing / prefill_rate(upstream)
            + remote_cost_ms
            + failure_penalty;
        Candidate {
            vm: upstream.id.vm.clone(),
            score,
            cached,
        }
    }
}

/// Returns the expected wait in milliseconds before the request's own prefill: for
/// the prompt tokens ahead of it, and for batch slots to become free. What this entry
/// sent since the load report counts as if it were in the report.
fn queue_wait_ms(upstream: &Upstream) -> f64 {
    let Some(load) = upstream.load else {
        return f64::from(upstream.open_streams) * 5.0;
    };
    let queue = (load.prefill_tokens + upstream.sent_tokens) as f64 / prefill_rate(upstream);
    let streams = load.running + load.waiting + upstream.sent_streams;
    let step = f64::from(load.step_us) / 1e3;
    let limit = load.batch_limit.max(1);
    let excess_ratio = f64::from(streams.saturating_sub(limit)) / f64::from(limit);
    // Each stream in the batch slows down every step slightly. Streams that exceed
    // the batch wait for others to end.
    let batch_slowdown = step * f64::from(streams) / f64::from(limit);
    queue + batch_slowdown + excess_ratio * step * 100.0
}

fn prefill_rate(upstream: &Upstream) -> f64 {
    upstream.load.map_or(DEFAULT_PREFILL_RATE, |load| {
        f64::from(load.prefill_rate).max(0.001)
    })
}

fn cached_tokens(upstream: &Upstream, blocks: &[u64]) -> u64 {
    let cached = blocks
        .iter()
        .rposition(|block| upstream.prefixes.contains(block));
    cached.map_or(0, |index| ((index + 1) as f64 * BLOCK_TOKENS) as u64)
}

fn lowest_score(candidates: &[Candidate]) -> (usize, Reason) {
    let mut best = 0;
    for (index, candidate) in candidates.iter().enumerate() {
        if candidate.score < candidates[best].score {
            best = index;
        }
    }
    let cached = candidates
        .get(best)
        .is_some_and(|candidate| candidate.cached > 0);
    (best, if cached { Reason::Prefix } else { Reason::Cost })
}

fn least_loaded(upstreams: &[&Upstream]) -> usize {
    let load = |upstream: &Upstream| {
        upstream
            .load
            .map_or(0, |load| u64::from(load.running) + u64::from(load.waiting))
    };
    let least = upstreams
        .iter()
        .enumerate()
        .min_by_key(|(_, upstream)| load(upstream));
    least.map_or(0, |(index, _)| index)
}
