//! What to do with the streams of an upstream that will be reclaimed.

use std::time::Duration;

/// A stream on the leaving upstream.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Caller's index of the stream.
    pub index: usize,
    /// Prompt and answer tokens in its KV cache.
    pub context: u64,
    /// Tokens that the answer probably still needs.
    pub rest: u64,
}

/// What the plan depends on.
#[derive(Debug, Clone, Copy)]
pub struct EvacuationInput {
    /// Time until the upstream is gone.
    pub left: Duration,
    /// Time per generated token.
    pub step: Duration,
    /// KV cache tokens that the link moves in a millisecond.
    pub link_rate: f64,
    /// KV cache transfers that run at once.
    pub links: u32,
}

/// What happens to one stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Move {
    /// It stays until its end.
    Finish,
    /// Its KV cache moves to another engine, in the order of the plan.
    Export,
    /// Another engine computes it again from its tokens.
    Resume,
}

/// Share of the notice that may be planned for; the rest absorbs estimates
/// that turn out short.
const USABLE: f64 = 0.7;

/// Decides for each stream, exports first and in order. Streams whose rest
/// fits the notice finish in place. The others are exported, those with the
/// most computed tokens first, as long as the links can carry them. What is
/// left is resumed elsewhere at once, while there is time to compute it.
pub fn plan_evacuation(
    input: EvacuationInput,
    streams: impl IntoIterator<Item = Candidate>,
) -> Vec<(usize, Move)> {
    let usable = input.left.mul_f64(USABLE);
    let (finishing, mut leaving): (Vec<_>, Vec<_>) = streams
        .into_iter()
        .partition(|stream| fits(input.step, stream.rest, usable));
    leaving.sort_by_key(|stream| std::cmp::Reverse(stream.context));
    let mut budget = usable.as_secs_f64() * 1e3 * input.link_rate * f64::from(input.links);
    let mut plan = Vec::new();
    let mut resumed = Vec::new();
    for stream in leaving {
        let size = stream.context as f64;
        if size <= budget {
            budget -= size;
            plan.push((stream.index, Move::Export));
        } else {
            resumed.push((stream.index, Move::Resume));
        }
    }
    plan.extend(resumed);
    plan.extend(
        finishing
            .into_iter()
            .map(|stream| (stream.index, Move::Finish)),
    );
    plan
}

fn fits(step: Duration, rest: u64, usable: Duration) -> bool {
    step.as_secs_f64() * rest as f64 <= usable.as_secs_f64()
}
