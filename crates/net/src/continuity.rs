//! Whether the events of several runs make up one stream.

use std::fmt;

use crate::SseContent;
use crate::SseEvent;

/// Equal steps from number to number after which a larger one is a gap.
const MIN_EQUAL_STEPS: u32 = 2;

/// Why a run does not continue a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Discontinuity {
    /// An event is none, but a text of another kind.
    NotAnEvent,
    /// An event holds the head of a response.
    ResponseHead,
    /// The place of an event is not stated.
    Unnumbered,
    /// The number of an event is not greater than that of the one before it.
    NotGreater,
    /// Numbers are missing before an event.
    Gap,
    /// The run ended without an event.
    Empty,
}

impl fmt::Display for Discontinuity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotAnEvent => "the upstream sent a text that is no event",
            Self::ResponseHead => "the upstream sent the head of a response within a stream",
            Self::Unnumbered => "the resumed run sent an event without number",
            Self::NotGreater => "the resumed run repeated an event or went back",
            Self::Gap => "the resumed run skipped events",
            Self::Empty => "the resumed run ended without an event",
        })
    }
}

impl std::error::Error for Discontinuity {}

/// The steps from number to number so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Steps {
    Equal { step: u64, count: u32 },
    Uneven,
}

/// Follows the numbers of a stream's events over its runs.
///
/// The first run's events are the upstream's own, whatever their numbers. Those of a
/// further run must be numbered from its first one on, and each number be greater than
/// the one before. Numbers need not be consecutive, but where all steps were equal, a
/// larger one means that events are missing.
#[derive(Debug, Clone)]
pub struct Continuity {
    last: Option<u64>,
    steps: Steps,
    /// Events with fields that were accepted, over all runs.
    events: u64,
    /// Those of the current run.
    run_events: u64,
    /// Whether the current run is a further one.
    is_resumed: bool,
    /// Whether the last event's place is not known.
    is_lost: bool,
}

impl Continuity {
    /// Begins the first run of a stream after event `last`, if one is given.
    pub fn new(last: Option<u64>) -> Self {
        Self {
            last,
            steps: Steps::Equal { step: 0, count: 0 },
            events: 0,
            run_events: 0,
            is_resumed: false,
            is_lost: false,
        }
    }

    /// Begins a further run after the last event that was accepted.
    pub fn begin_run(&mut self) {
        self.is_resumed = true;
        self.run_events = 0;
    }

    /// Returns the number of the last event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether a further run can be told where to go on.
    pub fn is_resumable(&self) -> bool {
        !self.is_lost
    }

    /// Checks the regular end of the current run. That of a run that goes on with a stream
    /// and sent no event does not show that the stream is complete.
    ///
    /// # Errors
    /// Returns [`Discontinuity::Empty`] for such an end.
    pub fn check_end(&self) -> Result<(), Discontinuity> {
        match self.is_resumed && self.events > 0 && self.run_events == 0 {
            true => Err(Discontinuity::Empty),
            false => Ok(()),
        }
    }

    /// Whether the current run goes on after an event that another one sent.
    fn goes_on(&self) -> bool {
        self.is_resumed && (self.events > 0 || self.last.is_some())
    }

    /// Accepts the next event of the current run.
    ///
    /// # Errors
    /// Returns why the event does not belong to the stream. Neither do those after it.
    pub fn accept(&mut self, event: &SseEvent) -> Result<(), Discontinuity> {
        match event.content {
            SseContent::Comment => return Ok(()),
            SseContent::ResponseHead => return Err(Discontinuity::ResponseHead),
            SseContent::Unknown if self.goes_on() => return Err(Discontinuity::NotAnEvent),
            SseContent::Unknown | SseContent::Fields => {}
        }
        if self.goes_on() {
            self.check_place(event.id)?;
        }
        self.record(event.id);
        Ok(())
    }

    /// Checks the place of an event of a resumed run. Once the run has shown its place,
    /// events without number may follow.
    fn check_place(&self, id: Option<u64>) -> Result<(), Discontinuity> {
        let Some(id) = id else {
            return match self.run_events {
                0 => Err(Discontinuity::Unnumbered),
                _ => Ok(()),
            };
        };
        let Some(last) = self.last else {
            return Ok(());
        };
        if id <= last {
            return Err(Discontinuity::NotGreater);
        }
        match self.steps {
            Steps::Equal { step, count } if count >= MIN_EQUAL_STEPS && id - last > step => {
                Err(Discontinuity::Gap)
            }
            Steps::Equal { .. } | Steps::Uneven => Ok(()),
        }
    }

    fn record(&mut self, id: Option<u64>) {
        let is_first = self.events == 0;
        self.events += 1;
        self.run_events += 1;
        let Some(id) = id else {
            self.is_lost = true;
            return;
        };
        match self.last.filter(|_| !is_first) {
            Some(last) if id <= last => self.is_lost = true,
            Some(last) => self.record_step(id - last),
            None => {}
        }
        self.last = Some(id);
    }

    fn record_step(&mut self, step: u64) {
        self.steps = match self.steps {
            Steps::Equal { count: 0, .. } => Steps::Equal { step, count: 1 },
            Steps::Equal { step: known, count } if known == step => Steps::Equal {
                step,
                count: count.saturating_add(1),
            },
            Steps::Equal { .. } | Steps::Uneven => Steps::Uneven,
        };
    }
}
