//! Selection of the changes of upstreams that one message to peers holds.

use std::time::Instant;

/// Most changes of one kind in a message, about 30 bytes each.
const MESSAGE_LIMIT: usize = 150;

/// Part of a message that the newest changes take if there are more than fit.
const NEWEST: usize = MESSAGE_LIMIT / 2;

/// Returns the changes for the message number `turn`: all if they fit, else the newest
/// and, in turn, a part of the others. So a new change is passed on at once, and each
/// change repeatedly, however many there are.
pub fn select<T: Ord + Clone>(mut changes: Vec<(Instant, T)>, turn: u64) -> Vec<T> {
    if changes.len() > MESSAGE_LIMIT {
        changes.sort_unstable_by(|a, b| (b.0, &b.1).cmp(&(a.0, &a.1)));
        let others = changes.split_off(NEWEST);
        let parts = others.len().div_ceil(MESSAGE_LIMIT - NEWEST);
        let part = others
            .chunks(MESSAGE_LIMIT - NEWEST)
            .nth(turn as usize % parts);
        changes.extend_from_slice(part.unwrap_or_default());
    }
    changes.into_iter().map(|(_, change)| change).collect()
}
