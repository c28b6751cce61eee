//! The load of requests at upstreams, and reports of it.

use std::hash::Hash;
use std::hash::Hasher;

use lycheehaven_catalog::UpstreamKey;
use lycheehaven_types::FastHasher;
use lycheehaven_types::wire;
use serde::Deserialize;
use serde::Serialize;

/// Number of priority levels that are distinguished. The last level includes all
/// lower priorities.
pub const PRIORITY_LEVELS: usize = 4;

/// Requests at an upstream and the work that they cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that were sent and have not ended.
    #[serde(deserialize_with = "wire::small_count")]
    pub requests: u32,
    /// KV cache tokens that these requests will need.
    #[serde(rename = "memory", deserialize_with = "wire::count")]
    pub kv_tokens: u64,
    /// Prompt tokens that are still to be prefilled, by priority level.
    #[serde(rename = "unread", deserialize_with = "wire::counts")]
    pub prefill_tokens: [u64; PRIORITY_LEVELS],
}

impl Load {
    /// Returns the load of a single request.
    pub fn of_request(prefill_tokens: u64, kv_tokens: u64, priority: u8) -> Self {
        let mut load = Self {
            requests: 1,
            kv_tokens,
            prefill_tokens: [0; PRIORITY_LEVELS],
        };
        load.prefill_tokens[level(priority)] = prefill_tokens;
        load
    }

    /// Returns the prompt tokens that are prefilled before a request of `priority`.
    pub fn prefill_ahead(&self, priority: u8) -> u64 {
        self.prefill_tokens[..=level(priority)].iter().sum()
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.kv_tokens = self.kv_tokens.saturating_add(other.kv_tokens);
        for (sum, more) in self.prefill_tokens.iter_mut().zip(other.prefill_tokens) {
            *sum = sum.saturating_add(more);
        }
    }

    pub(crate) fn subtract(&mut self, other: &Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.kv_tokens = self.kv_tokens.saturating_sub(other.kv_tokens);
        for (sum, less) in self.prefill_tokens.iter_mut().zip(other.prefill_tokens) {
            *sum = sum.saturating_sub(less);
        }
    }
}

fn level(priority: u8) -> usize {
    usize::from(priority).min(PRIORITY_LEVELS - 1)
}

/// Load that one entry causes at an upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Upstream that the load is at.
    pub upstream: UpstreamKey,
    /// Load caused by the entry.
    pub load: Load,
}

/// Reports of the load at a part of the upstreams. The reports of many upstreams are
/// sent in parts, one with each message, so that messages do not grow with the number of
/// upstreams: an aggregator sends each to tens of entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadPart {
    /// Index of the part.
    #[serde(deserialize_with = "wire::size")]
    pub index: usize,
    /// Number of parts that the reports are split into.
    #[serde(deserialize_with = "wire::size")]
    pub parts: usize,
    /// Load at the upstreams of this part.
    pub reports: Vec<LoadReport>,
}

impl LoadPart {
    /// Most reports of a part on average, about 50 bytes each.
    const MAX_REPORTS: usize = 250;

    /// Returns one part of `reports`. Successive values of `turn` return all parts in
    /// turn.
    pub fn select(reports: Vec<LoadReport>, turn: u64) -> Self {
        let count = reports.len().div_ceil(Self::MAX_REPORTS).max(1);
        let index = turn as usize % count;
        let is_in_part = |report: &LoadReport| {
            let mut hasher = FastHasher::default();
            report.upstream.hash(&mut hasher);
            hasher.finish() as usize % count == index
        };
        Self {
            index,
            parts: count,
            reports: reports.into_iter().filter(is_in_part).collect(),
        }
    }
}
