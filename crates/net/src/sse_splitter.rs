//! Splits a stream of bytes into whole events.

use std::collections::VecDeque;

use hyper::body::Bytes;

/// Largest event that is held back until it is whole.
const MAX_EVENT: usize = 256 * 1024;

/// One event, as received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SseEvent {
    /// All bytes of the event, with the empty line that ends it.
    pub bytes: Bytes,
    /// The number that it carries, if any.
    pub id: Option<u64>,
}

/// Collects bytes and gives out whole events.
#[derive(Debug, Default)]
pub struct SseSplitter {
    buffer: Vec<u8>,
    scanned: usize,
}

impl SseSplitter {
    /// Adds received bytes and returns the events that are now whole.
    pub fn push(&mut self, bytes: &[u8]) -> VecDeque<SseEvent> {
        self.buffer.extend_from_slice(bytes);
        let mut events = VecDeque::new();
        while let Some(end) = self.find_end() {
            let rest = self.buffer.split_off(end);
            let whole = std::mem::replace(&mut self.buffer, rest);
            self.scanned = 0;
            events.push_back(SseEvent {
                id: event_id(&whole),
                bytes: whole.into(),
            });
        }
        if self.buffer.len() > MAX_EVENT {
            events.push_back(SseEvent {
                bytes: self.take_rest(),
                id: None,
            });
        }
        events
    }

    /// Takes the bytes of an event that is not whole.
    pub fn take_rest(&mut self) -> Bytes {
        self.scanned = 0;
        std::mem::take(&mut self.buffer).into()
    }

    /// Whether no event is incomplete.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// The end of the first event: after an empty line.
    fn find_end(&mut self) -> Option<usize> {
        let from = self.scanned.saturating_sub(3);
        let window = &self.buffer[from..];
        let found = window.iter().enumerate().find_map(|(index, byte)| {
            let rest = &window[index..];
            if *byte != b'\n' {
                None
            } else if rest.starts_with(b"\n\n") {
                Some(from + index + 2)
            } else if rest.starts_with(b"\n\r\n") {
                Some(from + index + 3)
            } else {
                None
            }
        });
        self.scanned = self.buffer.len();
        found
    }
}

/// The number in an event's `id` field.
fn event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| *byte == b'\n')
        .filter_map(|line| line.strip_prefix(b"id:"))
        .find_map(|value| std::str::from_utf8(value).ok()?.trim().parse().ok())
}
