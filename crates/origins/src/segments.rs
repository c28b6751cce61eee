//! Arrangement of an entry's records into objects of the store.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::group::Group;

/// Records after which a segment is not extended any more, and time after its first one.
/// Each write holds a whole segment.
const MAX_STREAMS: usize = 256;
const MAX_AGE: Duration = Duration::from_secs(4);

/// Content of one object.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Time until which its streams may be taken up, in milliseconds since the Unix epoch.
    pub until_ms: i64,
    /// The records.
    pub groups: Vec<Group>,
}

impl Segment {
    fn stream_count(&self) -> usize {
        self.groups.iter().map(|group| group.streams.len()).sum()
    }
}

#[derive(Debug)]
struct Slot {
    segment: Segment,
    began: Instant,
    /// When its streams can't be taken up any more.
    expires: Instant,
    /// Whether it has been written since it changed.
    written: bool,
}

/// The segments of an entry, by the number that is part of their name. A number is used
/// again once its streams can't be taken up any more.
#[derive(Debug, Default)]
pub struct Segments {
    slots: Vec<Slot>,
    /// Number of the segment that is extended.
    current: Option<usize>,
}

impl Segments {
    /// Adds records whose streams may be taken up for `lifetime`.
    pub fn add(&mut self, groups: Vec<Group>, lifetime: Duration, wall_ms: i64, now: Instant) {
        if groups.is_empty() {
            return;
        }
        let number = self.current_slot(now);
        let slot = &mut self.slots[number];
        slot.segment.groups.extend(groups);
        slot.segment.until_ms = wall_ms.saturating_add(lifetime.as_millis() as i64);
        slot.expires = now + lifetime;
        slot.written = false;
    }

    /// Returns the number of the segment that takes the next records.
    fn current_slot(&mut self, now: Instant) -> usize {
        let is_open = |slot: &Slot| {
            slot.segment.stream_count() < MAX_STREAMS
                && now.saturating_duration_since(slot.began) < MAX_AGE
        };
        if let Some(number) = self.current.filter(|number| is_open(&self.slots[*number])) {
            return number;
        }
        let fresh = Slot {
            segment: Segment::default(),
            began: now,
            expires: now,
            written: true,
        };
        let is_free = |slot: &Slot| slot.written && slot.expires <= now;
        let number = match self.slots.iter().position(is_free) {
            Some(number) => {
                self.slots[number] = fresh;
                number
            }
            None => {
                self.slots.push(fresh);
                self.slots.len() - 1
            }
        };
        self.current = Some(number);
        number
    }

    /// Returns the segments that have to be written, with their numbers.
    pub fn due(&self) -> Vec<(usize, Segment)> {
        let slots = self.slots.iter().enumerate();
        slots
            .filter(|(_, slot)| !slot.written)
            .map(|(number, slot)| (number, slot.segment.clone()))
            .collect()
    }

    /// Records that a segment was written with this content.
    pub fn record_written(&mut self, number: usize, segment: &Segment) {
        if let Some(slot) = self.slots.get_mut(number) {
            slot.written = slot.segment == *segment;
        }
    }
}
