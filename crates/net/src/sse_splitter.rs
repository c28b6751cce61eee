//! Splitting of a byte stream into complete server-sent events.

use std::collections::VecDeque;

use hyper::body::Bytes;

use crate::SseContent;
use crate::SseEvent;
use crate::sse_event::content;

/// Largest event.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Buffers bytes and yields complete events.
#[derive(Debug, Default)]
pub struct SseSplitter {
    buffer: Vec<u8>,
    scanned: usize,
}

impl SseSplitter {
    /// Appends received bytes and returns the events that are complete.
    pub fn push(&mut self, bytes: &[u8]) -> VecDeque<SseEvent> {
        self.buffer.extend_from_slice(bytes);
        let mut events = VecDeque::new();
        while let Some(end) = self.find_end() {
            let rest = self.buffer.split_off(end);
            let event = std::mem::replace(&mut self.buffer, rest);
            self.scanned = 0;
            events.push_back(SseEvent::new(event.into()));
        }
        events
    }

    /// Returns whether the incomplete event is larger than an event may be.
    pub fn is_oversized(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Takes the buffered bytes of an incomplete event.
    pub fn take_rest(&mut self) -> Bytes {
        self.scanned = 0;
        std::mem::take(&mut self.buffer).into()
    }

    /// Returns whether no bytes after the last complete event are buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the number of buffered bytes after the last complete event.
    pub fn pending(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether an event has begun and is not complete. Line breaks between
    /// events belong to none.
    pub fn is_within_event(&self) -> bool {
        self.buffer.iter().any(|byte| !is_line_break(*byte))
    }

    /// Returns what the bytes after the last complete event are so far.
    pub fn rest_content(&self) -> SseContent {
        content(&self.buffer)
    }

    /// Returns the end of the first event, which is after an empty line.
    fn find_end(&mut self) -> Option<usize> {
        // The line break before an empty line may be among the last bytes
        // scanned before.
        let from = self.scanned.saturating_sub(3);
        let window = &self.buffer[from..];
        let found = window.iter().enumerate().find_map(|(index, byte)| {
            let rest = &window[index..];
            if !is_line_break(*byte) {
                None
            } else if rest.starts_with(b"\n\n") || rest.starts_with(b"\r\r") {
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

fn is_line_break(byte: u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}
