//! Which requests are blamed for lost upstreams.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::Digest;
use lycheehaven_types::HashMap;
use lycheehaven_types::Incarnation;
use lycheehaven_types::Name;
use serde::Deserialize;
use serde::Serialize;

/// Upstreams that a request may lose before it is refused, if it loses them at
/// the same place.
const LOSS_LIMIT: usize = 2;

/// Upstreams that a request may lose before it is refused in any case.
const LATE_LOSS_LIMIT: usize = 3;

/// Losses within [`WAVE_WINDOW`] that are put down to the machines.
const WAVE_SIZE: usize = 3;

/// Time within which losses count as one wave.
const WAVE_WINDOW: Duration = Duration::from_secs(3);

/// How long a request stays suspected or refused.
const KEEP: Duration = Duration::from_secs(600);

/// Requests remembered at once.
const LIMIT: usize = 4096;

/// An upstream that was lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// Name of its VM.
    pub vm: Name,
    /// Incarnation of its VM.
    pub incarnation: Incarnation,
}

#[derive(Debug)]
struct Suspect {
    losses: Vec<Loss>,
    refused: bool,
    since: Instant,
}

/// Counts upstreams lost per request digest. Losses during a wave of reclaims
/// count against no request.
#[derive(Debug, Default)]
pub struct Suspicion {
    suspects: HashMap<Digest, Suspect>,
    recent: Vec<(Instant, Loss)>,
}

impl Suspicion {
    /// Records that `loss` was lost while it ran `digest`. `early` says that
    /// the request had not got further than where it lost the last one.
    pub fn record(&mut self, digest: Digest, loss: &Loss, early: bool, now: Instant) {
        self.note_loss(loss, now);
        if self.in_wave(now) {
            return;
        }
        self.merge(digest, std::slice::from_ref(loss), now);
        let suspect = self
            .suspects
            .get_mut(&digest)
            .expect("suspect was just merged");
        suspect.refused |= early && suspect.losses.len() >= LOSS_LIMIT;
    }

    /// Takes over losses that a peer recorded.
    pub fn merge(&mut self, digest: Digest, losses: &[Loss], now: Instant) {
        self.expire(now);
        let suspect = self.suspects.entry(digest).or_insert_with(|| Suspect {
            losses: Vec::new(),
            refused: false,
            since: now,
        });
        suspect.since = now;
        for loss in losses {
            if !suspect.losses.contains(loss) && suspect.losses.len() < LATE_LOSS_LIMIT {
                suspect.losses.push(loss.clone());
            }
        }
        suspect.refused |= suspect.losses.len() >= LATE_LOSS_LIMIT;
    }

    /// Takes over a peer's verdict that the request is refused.
    pub fn refuse(&mut self, digest: Digest, losses: &[Loss], now: Instant) {
        self.merge(digest, losses, now);
        self.suspects
            .get_mut(&digest)
            .expect("suspect was just merged")
            .refused = true;
    }

    /// Whether the request has lost an upstream and must run apart from other
    /// suspects.
    pub fn is_suspect(&self, digest: Digest) -> bool {
        self.losses(digest).is_some_and(|losses| !losses.is_empty())
    }

    /// Whether the request is refused.
    pub fn is_refused(&self, digest: Digest, now: Instant) -> bool {
        let suspect = self.suspects.get(&digest);
        suspect.is_some_and(|suspect| suspect.refused && now.duration_since(suspect.since) < KEEP)
    }

    /// Upstreams that the request has lost.
    pub fn losses(&self, digest: Digest) -> Option<&[Loss]> {
        self.suspects
            .get(&digest)
            .map(|suspect| suspect.losses.as_slice())
    }

    /// Clears a request that was answered in full.
    pub fn acquit(&mut self, digest: Digest) {
        if self
            .suspects
            .get(&digest)
            .is_some_and(|suspect| !suspect.refused)
        {
            self.suspects.remove(&digest);
        }
    }

    /// Refused requests, the latest first, at most `limit`.
    pub fn refused(&self, limit: usize) -> Vec<(Digest, Vec<Loss>)> {
        let mut refused: Vec<_> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.refused)
            .collect();
        refused.sort_by_key(|(_, suspect)| std::cmp::Reverse(suspect.since));
        let latest = refused.into_iter().take(limit);
        latest
            .map(|(digest, suspect)| (*digest, suspect.losses.clone()))
            .collect()
    }

    fn note_loss(&mut self, loss: &Loss, now: Instant) {
        self.recent
            .retain(|(time, _)| now.duration_since(*time) < WAVE_WINDOW);
        if !self.recent.iter().any(|(_, known)| known == loss) {
            self.recent.push((now, loss.clone()));
        }
    }

    fn in_wave(&self, now: Instant) -> bool {
        let within = |time: &Instant| now.duration_since(*time) < WAVE_WINDOW;
        self.recent.iter().filter(|(time, _)| within(time)).count() >= WAVE_SIZE
    }

    fn expire(&mut self, now: Instant) {
        if self.suspects.len() < LIMIT {
            return;
        }
        self.suspects
            .retain(|_, suspect| now.duration_since(suspect.since) < KEEP);
        if self.suspects.len() >= LIMIT {
            let oldest = self
                .suspects
                .iter()
                .min_by_key(|(_, suspect)| suspect.since);
            if let Some(digest) = oldest.map(|(digest, _)| *digest) {
                self.suspects.remove(&digest);
            }
        }
    }
}
