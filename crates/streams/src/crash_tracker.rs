//! Detection of requests that crash upstreams.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::Digest;
use lycheehaven_types::HashMap;
use lycheehaven_types::Incarnation;
use lycheehaven_types::Name;
use serde::Deserialize;
use serde::Serialize;

/// Upstream losses after which a request is quarantined if the last one was
/// early, as defined by [`CrashTracker::record`].
const LOSS_LIMIT: usize = 2;

/// Upstream losses after which a request is quarantined in any case.
const LATE_LOSS_LIMIT: usize = 3;

/// Number of losses within [`WAVE_WINDOW`] from which they are attributed to
/// failing VMs instead of to requests.
const WAVE_LOSS_THRESHOLD: usize = 3;

/// Time within which losses count as one wave.
const WAVE_WINDOW: Duration = Duration::from_secs(3);

/// How long a request stays suspect or quarantined after its losses were last
/// reported, here or by a peer.
const RETENTION: Duration = Duration::from_secs(600);

/// Largest number of tracked requests.
const MAX_TRACKED_REQUESTS: usize = 4096;

/// An upstream that was lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoss {
    /// Name of its VM.
    pub vm: Name,
    /// Incarnation of its VM.
    pub incarnation: Incarnation,
}

#[derive(Debug)]
struct Suspect {
    losses: Vec<UpstreamLoss>,
    quarantined: bool,
    last_report: Instant,
}

/// Tracks the upstreams lost per request digest. Once many upstreams are lost in
/// a short time, as in a wave of reclaims, further losses count against no
/// request.
#[derive(Debug, Default)]
pub struct CrashTracker {
    suspects: HashMap<Digest, Suspect>,
    recent: Vec<(Instant, UpstreamLoss)>,
}

impl CrashTracker {
    /// Records that an upstream was lost while it ran the request `digest`.
    /// `early` states that the attempt ended before it was clearly past the
    /// position at which the previous upstream was lost.
    pub fn record(&mut self, digest: Digest, loss: &UpstreamLoss, early: bool, now: Instant) {
        self.note_loss(loss, now);
        if self.in_wave(now) {
            return;
        }
        self.merge(digest, std::slice::from_ref(loss), now);
        let suspect = self
            .suspects
            .get_mut(&digest)
            .expect("merge inserts the suspect");
        suspect.quarantined |= early && suspect.losses.len() >= LOSS_LIMIT;
    }

    /// Merges losses that a peer recorded.
    pub fn merge(&mut self, digest: Digest, losses: &[UpstreamLoss], now: Instant) {
        self.make_room(now);
        let suspect = self.suspects.entry(digest).or_insert_with(|| Suspect {
            losses: Vec::new(),
            quarantined: false,
            last_report: now,
        });
        suspect.last_report = now;
        for loss in losses {
            if !suspect.losses.contains(loss) && suspect.losses.len() < LATE_LOSS_LIMIT {
                suspect.losses.push(loss.clone());
            }
        }
        suspect.quarantined |= suspect.losses.len() >= LATE_LOSS_LIMIT;
    }

    /// Quarantines a request that a peer has quarantined.
    pub fn quarantine(&mut self, digest: Digest, losses: &[UpstreamLoss], now: Instant) {
        self.merge(digest, losses, now);
        self.suspects
            .get_mut(&digest)
            .expect("merge inserts the suspect")
            .quarantined = true;
    }

    /// Returns whether the request has lost an upstream and therefore must not
    /// share an upstream with other suspects.
    pub fn is_suspect(&self, digest: Digest) -> bool {
        self.losses(digest).is_some_and(|losses| !losses.is_empty())
    }

    /// Returns whether the request is quarantined.
    pub fn is_quarantined(&self, digest: Digest, now: Instant) -> bool {
        let suspect = self.suspects.get(&digest);
        suspect.is_some_and(|suspect| {
            suspect.quarantined && now.duration_since(suspect.last_report) < RETENTION
        })
    }

    /// Returns the upstreams that the request has lost.
    pub fn losses(&self, digest: Digest) -> Option<&[UpstreamLoss]> {
        self.suspects
            .get(&digest)
            .map(|suspect| suspect.losses.as_slice())
    }

    /// Removes a request that was answered in full, unless it is quarantined.
    pub fn clear(&mut self, digest: Digest) {
        if self
            .suspects
            .get(&digest)
            .is_some_and(|suspect| !suspect.quarantined)
        {
            self.suspects.remove(&digest);
        }
    }

    /// Returns at most `limit` quarantined requests, the most recent first.
    pub fn quarantined(&self, limit: usize) -> Vec<(Digest, Vec<UpstreamLoss>)> {
        let mut quarantined: Vec<_> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.quarantined)
            .collect();
        quarantined.sort_by_key(|(_, suspect)| std::cmp::Reverse(suspect.last_report));
        let latest = quarantined.into_iter().take(limit);
        latest
            .map(|(digest, suspect)| (*digest, suspect.losses.clone()))
            .collect()
    }

    fn note_loss(&mut self, loss: &UpstreamLoss, now: Instant) {
        self.recent
            .retain(|(time, _)| now.duration_since(*time) < WAVE_WINDOW);
        if !self.recent.iter().any(|(_, known)| known == loss) {
            self.recent.push((now, loss.clone()));
        }
    }

    fn in_wave(&self, now: Instant) -> bool {
        let within = |time: &Instant| now.duration_since(*time) < WAVE_WINDOW;
        self.recent.iter().filter(|(time, _)| within(time)).count() >= WAVE_LOSS_THRESHOLD
    }

    fn make_room(&mut self, now: Instant) {
        if self.suspects.len() < MAX_TRACKED_REQUESTS {
            return;
        }
        self.suspects
            .retain(|_, suspect| now.duration_since(suspect.last_report) < RETENTION);
        if self.suspects.len() >= MAX_TRACKED_REQUESTS {
            let oldest = self
                .suspects
                .iter()
                .min_by_key(|(_, suspect)| suspect.last_report);
            if let Some(digest) = oldest.map(|(digest, _)| *digest) {
                self.suspects.remove(&digest);
            }
        }
    }
}
