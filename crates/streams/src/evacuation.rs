//! Planning for the streams of an upstream that will be reclaimed.

use std::time::Duration;

/// A stream on the leaving upstream.
#[derive(Debug, Clone, Copy)]
pub struct EvacuationCandidate {
    /// Index by which the caller identifies the stream.
    pub index: usize,
    /// Prompt and answer tokens in its KV cache.
    pub context_tokens: u64,
    /// Estimated number of tokens that the answer still needs.
    pub remaining_tokens: u64,
}

/// Facts about the leaving upstream.
#[derive(Debug, Clone, Copy)]
pub struct EvacuationInput {
    /// Time until the upstream is reclaimed.
    pub time_left: Duration,
    /// Time per generated token.
    pub step_time: Duration,
    /// KV cache tokens that the link transfers per millisecond.
    pub link_rate: f64,
    /// Number of concurrent KV cache transfers.
    pub parallel_transfers: u32,
}

/// What happens to one stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvacuationAction {
    /// The stream runs to its end on the leaving upstream.
    Finish,
    /// The stream's KV cache is transferred to another engine.
    Export,
    /// Another engine recomputes the KV cache from the tokens.
    Resume,
}

/// Fraction of the time left that is planned with; the rest is a margin for
/// estimates that turn out too short.
const USABLE_TIME_FRACTION: f64 = 0.7;

/// Decides what happens to each stream. Streams whose remaining tokens fit the
/// time left finish in place. Of the others, those with the most computed
/// tokens are exported, as many as the links can carry. What remains is resumed
/// elsewhere at once, while there is time to recompute it.
///
/// The plan lists the exports first, in the order in which to run them.
pub fn plan_evacuation(
    input: EvacuationInput,
    streams: impl IntoIterator<Item = EvacuationCandidate>,
) -> Vec<(usize, EvacuationAction)> {
    let usable = input.time_left.mul_f64(USABLE_TIME_FRACTION);
    let (finishing, mut leaving): (Vec<_>, Vec<_>) = streams
        .into_iter()
        .partition(|stream| fits(input.step_time, stream.remaining_tokens, usable));
    leaving.sort_by_key(|stream| std::cmp::Reverse(stream.context_tokens));
    let mut budget =
        usable.as_secs_f64() * 1e3 * input.link_rate * f64::from(input.parallel_transfers);
    let mut plan = Vec::new();
    let mut resumed = Vec::new();
    for stream in leaving {
        let size = stream.context_tokens as f64;
        if size <= budget {
            budget -= size;
            plan.push((stream.index, EvacuationAction::Export));
        } else {
            resumed.push((stream.index, EvacuationAction::Resume));
        }
    }
    plan.extend(resumed);
    plan.extend(
        finishing
            .into_iter()
            .map(|stream| (stream.index, EvacuationAction::Finish)),
    );
    plan
}

fn fits(step_time: Duration, tokens: u64, usable: Duration) -> bool {
    step_time.as_secs_f64() * tokens as f64 <= usable.as_secs_f64()
}
