//! The choice itself.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::HashMap;
use lycheehaven_types::Name;

use crate::Table;
use crate::Upstream;

/// Prompt tokens computed in a millisecond where no report says otherwise.
const DEFAULT_RATE: f64 = 10.0;

/// Words in a prefix block.
const BLOCK_WORDS: f64 = 32.0;

/// Upstreams with a cached prefix that are considered beside the sample.
const PREFIX_CANDIDATES: usize = 2;

/// Added for each recent failure that an upstream has not made up for.
const SUSPICION_MS: f64 = 500.0;

/// Policies that can be compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Lowest expected cost among sampled candidates.
    Cost,
    /// Each candidate in turn.
    RoundRobin,
    /// Lowest reported load, whatever was sent since.
    LeastLoaded,
}

/// How candidates are compared.
#[derive(Debug, Clone, Copy)]
pub struct Rules {
    /// Policy in force.
    pub policy: Policy,
    /// Candidates that are sampled.
    pub sample: usize,
    /// Cost of leaving the failure domain.
    pub hop: Duration,
}

/// What is to be routed.
#[derive(Debug, Clone)]
pub struct Query<'a> {
    /// Service.
    pub service: &'a str,
    /// Failure domain of this entry, whose upstreams come first.
    pub domain: &'a str,
    /// Prompt tokens to compute.
    pub tokens: u64,
    /// Prefix blocks of the prompt, shortest first.
    pub blocks: &'a [u64],
    /// VMs that must not be chosen.
    pub avoid: &'a [Name],
    /// Whether only upstreams without another suspect qualify.
    pub alone: bool,
}

/// Why an upstream was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Lowest cost.
    Cost,
    /// Lowest cost thanks to a cached prefix.
    Prefix,
    /// Its turn.
    RoundRobin,
    /// Lowest reported load.
    LeastLoaded,
}

impl Reason {
    /// Name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Cost => "cost",
            Self::Prefix => "prefix",
            Self::RoundRobin => "turn",
            Self::LeastLoaded => "load",
        }
    }
}

/// A candidate with its score.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Name of the candidate's VM.
    pub vm: Name,
    /// Expected milliseconds until the first token; lower is better.
    pub score: f64,
    /// Prompt tokens that it probably caches.
    pub cached: u64,
}

/// A decision.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// Name of the chosen VM.
    pub vm: Name,
    /// Why.
    pub reason: Reason,
    /// The candidates that were compared.
    pub candidates: Vec<Candidate>,
}

impl Table {
    /// Chooses an upstream, or `None` if none can be used. `draw` is a random
    /// number.
    pub fn choose(
        &mut self,
        rules: &Rules,
        query: &Query<'_>,
        draw: u64,
        now: Instant,
    ) -> Option<Choice> {
        self.turn = self.turn.wrapping_add(1);
        let domains = self.groups.get(query.service)?;
        let names = match rules.policy {
            Policy::Cost => self.sampled(domains, query, rules.sample, draw, now),
            Policy::RoundRobin | Policy::LeastLoaded => self.nearest(domains, query, now),
        };
        let turn = self.turn;
        let candidates: Vec<Candidate> = names
            .iter()
            .map(|upstream| self.score(upstream, query, rules.hop))
            .collect();
        let (index, reason) = match rules.policy {
            Policy::Cost => lowest(&candidates),
            Policy::RoundRobin => (turn.checked_rem(candidates.len())?, Reason::RoundRobin),
            Policy::LeastLoaded => (least_loaded(&names), Reason::LeastLoaded),
        };
        let vm = candidates.get(index)?.vm.clone();
        Some(Choice {
            vm,
            reason,
            candidates,
        })
    }

    /// A few random upstreams of the own domain, a few of others, and those
    /// that cache most of the prompt.
    fn sampled(
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
            .find_map(|block| self.holders.get(block));
        let holders = holders
            .into_iter()
            .flatten()
            .filter_map(|name| self.usable(name, query, now));
        let start = draw as usize;
        let mut held: Vec<&Upstream> = holders.filter(|u| &*u.service == query.service).collect();
        let shift = start % held.len().max(1);
        held.rotate_left(shift);
        chosen.extend(held.into_iter().take(PREFIX_CANDIDATES));
        let near = domains
            .get(query.domain)
            .map(Vec::as_slice)
            .unwrap_or_default();
        self.draw_from(near, sample, query, (draw, now), &mut chosen);
        let mut others: Vec<&Name> = domains
            .keys()
            .filter(|name| &***name != query.domain)
            .collect();
        others.sort();
        let count = others.len().max(1);
        let turn = start % count;
        for (taken, name) in others.iter().cycle().skip(turn).take(count).enumerate() {
            // One remote domain is enough unless the nearer ones have nothing.
            if taken > 0 && !chosen.is_empty() {
                break;
            }
            self.draw_from(
                &domains[*name],
                sample.div_ceil(2),
                query,
                (draw, now),
                &mut chosen,
            );
        }
        chosen
    }

    fn draw_from<'a>(
        &'a self,
        names: &[Name],
        count: usize,
        query: &Query<'_>,
        (draw, now): (u64, Instant),
        chosen: &mut Vec<&'a Upstream>,
    ) {
        let mut found = 0;
        let mut state = draw | 1;
        // A full pass from a random start is needed only if few are usable.
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

    /// All usable upstreams of the own domain, else of the others.
    fn nearest(
        &self,
        domains: &HashMap<Name, Vec<Name>>,
        query: &Query<'_>,
        now: Instant,
    ) -> Vec<&Upstream> {
        let near = domains.get(query.domain).into_iter().flatten();
        let near: Vec<&Upstream> = near
            .filter_map(|name| self.usable(name, query, now))
            .collect();
        if !near.is_empty() {
            return near;
        }
        let mut all: Vec<&Name> = domains.values().flatten().collect();
        all.sort();
        all.into_iter()
            .filter_map(|name| self.usable(name, query, now))
            .collect()
    }

    fn usable(&self, name: &Name, query: &Query<'_>, now: Instant) -> Option<&Upstream> {
        let upstream = self.upstreams.get(name)?;
        let apart = !query.alone || upstream.suspects == 0;
        (upstream.is_usable(now) && apart && !query.avoid.contains(name)).then_some(upstream)
    }

    fn score(&self, upstream: &Upstream, query: &Query<'_>, hop: Duration) -> Candidate {
        let cached = cached_tokens(upstream, query.blocks);
        let missing = query.tokens.saturating_sub(cached) as f64;
        let away = if *upstream.domain == *query.domain {
            0.0
        } else {
            hop.as_secs_f64() * 1e3
        };
        let suspicion = if upstream.retry_at.is_some() {
            SUSPICION_MS
        } else {
            0.0
        };
        let score = queue_ms(upstream) + missing / rate_of(upstream) + away + suspicion;
        Candidate {
            vm: upstream.id.vm.clone(),
            score,
            cached,
        }
    }
}

/// Expected wait before the request's own prompt is computed: prompt tokens
/// ahead of it, and batch slots that must become free. What this entry sent
/// since the report counts as if it were in the report.
fn queue_ms(upstream: &Upstream) -> f64 {
    let Some(load) = upstream.load else {
        return f64::from(upstream.open_streams) * 5.0;
    };
    let ahead = (load.prefill_tokens + upstream.sent_tokens) as f64 / rate_of(upstream);
    let streams = load.running + load.waiting + upstream.sent_streams;
    let step = f64::from(load.step_us) / 1e3;
    let limit = load.batch_limit.max(1);
    let excess = f64::from(streams.saturating_sub(limit)) / f64::from(limit);
    // Each stream in the batch slows every step a little; streams beyond the
    // batch wait for others to end.
    let crowding = step * f64::from(streams) / f64::from(limit);
    ahead + crowding + excess * step * 100.0
}

fn rate_of(upstream: &Upstream) -> f64 {
    upstream
        .load
        .map_or(DEFAULT_RATE, |load| f64::from(load.prefill_rate).max(0.001))
}

fn cached_tokens(upstream: &Upstream, blocks: &[u64]) -> u64 {
    let held = blocks
        .iter()
        .rposition(|block| upstream.prefixes.contains(block));
    held.map_or(0, |index| ((index + 1) as f64 * BLOCK_WORDS) as u64)
}

fn lowest(candidates: &[Candidate]) -> (usize, Reason) {
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
    let lowest = upstreams
        .iter()
        .enumerate()
        .min_by_key(|(_, upstream)| load(upstream));
    lowest.map_or(0, |(index, _)| index)
}
