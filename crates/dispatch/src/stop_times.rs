//! The instants of a planned stop.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::StopPlan;

/// Largest time between the end of all work and the exit, and the part of the time to stop
/// that it and the time before the end of the time to stop take at most. Within it, all
/// open requests are to be answered, also by a process with a small part of a core.
const ANSWER_TIME: Duration = Duration::from_secs(2);
const ANSWER_DIVISOR: u32 = 8;

/// Time before the end of the time to stop at which the process exits, and the largest
/// part of the time to stop that it takes.
const EXIT_MARGIN: Duration = Duration::from_millis(200);
const EXIT_DIVISOR: u32 = 20;

/// When the work of a process that stops must have ended, and when it exits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopTimes {
    work: StopPlan,
    stream_end: Instant,
    exit: Instant,
}

impl StopTimes {
    /// Returns the instants of a stop that is requested at `requested` and may take
    /// `grace`.
    pub fn new(requested: Instant, grace: Duration) -> Self {
        let answering = ANSWER_TIME.min(grace / ANSWER_DIVISOR);
        let margin = EXIT_MARGIN.min(grace / EXIT_DIVISOR);
        Self {
            work: StopPlan::new(requested + (grace - answering)),
            stream_end: requested + (grace - answering.min(2 * margin)),
            exit: requested + (grace - margin),
        }
    }

    /// Returns when the work on all requests must have ended, so that what is open gets
    /// its answer.
    pub fn work_end(&self) -> Instant {
        self.work.work_end()
    }

    /// Returns when streams that have begun are ended. Until then their callers may read
    /// what upstreams have sent.
    pub fn stream_end(&self) -> Instant {
        self.stream_end
    }

    /// Returns when the process exits at the latest.
    pub fn exit(&self) -> Instant {
        self.exit
    }

    /// Returns whether a request may begin that is expected to take `expected`. One whose
    /// own `deadline` passes before ends by then in any case.
    pub fn may_begin(&self, expected: Duration, deadline: Instant, now: Instant) -> bool {
        deadline <= self.work_end() || self.work.can_end(now, expected)
    }

    /// Returns the time until a request that is expected to take `expected` can no longer
    /// begin, zero once it can't.
    pub fn until_latest_start(&self, expected: Duration, now: Instant) -> Duration {
        self.work.time_to_begin(now, expected)
    }
}
