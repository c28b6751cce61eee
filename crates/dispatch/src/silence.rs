//! What to do about a run whose upstream says nothing.
//!
//! A sound upstream may be silent for some time and go on. A silent run is therefore kept
//! until another upstream has accepted the request, or until all that is known speaks
//! against the silent one.

use std::time::Duration;
use std::time::Instant;

use crate::activity::Activity;

/// Silence of a stream after which another upstream is asked.
pub const STREAM_SILENCE: Duration = Duration::from_millis(1500);

/// Longest time for which two upstreams work on a request. After 400 ms it counts as run
/// twice; the rest is for the way of the cancellation.
pub const MAX_OVERLAP: Duration = Duration::from_millis(300);

/// Longest silence that is expected of a sound upstream.
pub const SOUND_PAUSE: Duration = Duration::from_secs(3);

/// Age up to which bytes that another run received show that the upstream is sound.
const HEARD_AGE: Duration = Duration::from_millis(1500);

/// Range of the time between two asks; it doubles with each.
const ASK_BACKOFF: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(2));

/// What follows if neither upstream was heard while both worked on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The silent upstream has sent bytes of other responses.
    StayHeard,
    /// The silence is not longer than that of a sound upstream may be.
    StayShort,
    /// The other upstream is silent as well.
    StayBothSilent,
    /// The silent run is given up for the other upstream.
    Leave,
}

/// An upstream that may be asked to go on with a request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Expected time until its response begins.
    pub expected_delay: Duration,
    /// What is heard of it.
    pub activity: &'a Activity,
    /// Whether the request may be sent to no further one.
    pub is_last: bool,
}

/// The silence of one run.
#[derive(Debug, Clone)]
pub struct Silence {
    ask_after: Duration,
    /// When its last byte arrived or, before the first, when its request was sent.
    began: Instant,
    next_ask: Instant,
    backoff: Duration,
    /// Whether another upstream was asked and did not answer while both worked.
    asked_in_vain: bool,
    /// Whether the silence was long enough to ask another upstream.
    mattered: bool,
}

impl Silence {
    /// Returns the state of a run that was heard, or whose request was sent, at `now`.
    /// Another upstream is asked when it is silent for `ask_after`.
    pub fn new(ask_after: Duration, now: Instant) -> Self {
        Self {
            ask_after,
            began: now,
            next_ask: now + ask_after,
            backoff: ASK_BACKOFF.0,
            asked_in_vain: false,
            mattered: false,
        }
    }

    /// Records that bytes of the run arrived. Returns the length of the silence that ends
    /// if it mattered.
    pub fn end(&mut self, now: Instant) -> Option<Duration> {
        let length = self.mattered.then(|| self.length(now));
        let asked_in_vain = self.asked_in_vain;
        *self = Self::new(self.ask_after, now);
        self.asked_in_vain = asked_in_vain;
        length
    }

    /// Returns how long the run has been silent.
    pub fn length(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.began)
    }

    /// Returns the time until another upstream is to be asked, zero if it is now.
    pub fn until_ask(&self, now: Instant) -> Duration {
        self.next_ask.saturating_duration_since(now)
    }

    /// Notes that the silence matters from now on. Returns whether it did not before.
    pub fn note(&mut self) -> bool {
        !std::mem::replace(&mut self.mattered, true)
    }

    /// Notes that no other upstream took the request over, so that one is asked again
    /// later.
    pub fn postpone(&mut self, now: Instant) {
        let long_enough = self.began + (SOUND_PAUSE - MAX_OVERLAP);
        let next = now + self.backoff;
        self.next_ask = if long_enough > now {
            next.min(long_enough)
        } else {
            next
        };
        self.backoff = (self.backoff * 2).min(ASK_BACKOFF.1);
    }

    /// Notes that another upstream did not answer while both worked on the request.
    pub fn note_vain_ask(&mut self) {
        self.asked_in_vain = true;
    }

    /// Returns whether another upstream is worth asking: it will answer while both may
    /// work on the request, or the silent one, `old`, can be given up for it. An attempt
    /// that does neither is lost to the request.
    pub fn is_worth_asking(&self, other: &Candidate<'_>, old: &Activity, now: Instant) -> bool {
        let is_estimated = other.activity.was_heard() || !other.is_last;
        let answers_soon =
            is_estimated && other.expected_delay <= MAX_OVERLAP / 2 && !self.asked_in_vain;
        answers_soon || (self.is_long(now + MAX_OVERLAP) && !self.is_heard_elsewhere(old, now))
    }

    /// Decides when both upstreams have worked on the request for [`MAX_OVERLAP`].
    pub fn verdict(&self, old: &Activity, new: &Activity, now: Instant) -> Verdict {
        if self.is_heard_elsewhere(old, now) {
            Verdict::StayHeard
        } else if !self.is_long(now) {
            Verdict::StayShort
        } else if is_silent(new, now) {
            Verdict::StayBothSilent
        } else {
            Verdict::Leave
        }
    }

    fn is_long(&self, now: Instant) -> bool {
        self.length(now) >= SOUND_PAUSE
    }

    /// Whether other runs at the upstream were heard lately, after this one.
    fn is_heard_elsewhere(&self, upstream: &Activity, now: Instant) -> bool {
        upstream.is_heard(self.began, HEARD_AGE, now)
    }
}

/// Returns whether an upstream has requests and has said nothing for so long that no
/// silent run should go on there.
pub fn is_silent(upstream: &Activity, now: Instant) -> bool {
    upstream.silence(now) >= HEARD_AGE
}
