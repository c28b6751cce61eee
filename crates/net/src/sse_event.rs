//! What a server-sent event shows of itself.

use hyper::body::Bytes;

/// Begin of the status line of a response.
const STATUS_LINE: &[u8] = b"HTTP/1.";

/// One event with its bytes as received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SseEvent {
    /// All bytes of the event, including the empty line that ends it.
    pub bytes: Bytes,
    /// Value of the event's `id` field, if it is a number.
    pub id: Option<u64>,
    /// What its lines are.
    pub content: SseContent,
}

/// What the lines of an event are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SseContent {
    /// Fields of an event.
    Fields,
    /// Comments or a number that concerns the events after it, but no data.
    Comment,
    /// No field that an event has: a text of another kind.
    Unknown,
    /// The head of a response, on its own or after a part of an event.
    ResponseHead,
}

impl SseEvent {
    /// Decodes a complete event.
    pub fn new(bytes: Bytes) -> Self {
        Self {
            id: number(&bytes),
            content: content(&bytes),
            bytes,
        }
    }
}

/// The kind of a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Line {
    /// A field that makes up an event.
    Field,
    /// A comment, or a field of the stream.
    Comment,
    /// A lowercase name with a number, as the first line of an event.
    Number,
    Unknown,
}

/// Returns what the lines of an event are, also of one that is not complete.
pub(crate) fn content(event: &[u8]) -> SseContent {
    let kinds: Vec<Line> = lines(event).enumerate().map(kind).collect();
    let has = |kind: Line| kinds.contains(&kind);
    let has_status = event
        .windows(STATUS_LINE.len())
        .any(|bytes| bytes == STATUS_LINE);
    if has(Line::Unknown) && has_status {
        SseContent::ResponseHead
    } else if has(Line::Field) {
        SseContent::Fields
    } else if has(Line::Unknown) {
        SseContent::Unknown
    } else {
        SseContent::Comment
    }
}

fn lines(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    event
        .split(|byte| matches!(byte, b'\n' | b'\r'))
        .filter(|line| !line.is_empty())
}

fn kind((index, line): (usize, &[u8])) -> Line {
    let end = line.iter().position(|byte| *byte == b':');
    let (name, value) = line.split_at(end.unwrap_or(line.len()));
    match name {
        b"" | b"retry" => Line::Comment,
        b"id" | b"data" | b"event" => Line::Field,
        _ if index == 0 && is_number(name, value) => Line::Number,
        _ => Line::Unknown,
    }
}

fn is_number(name: &[u8], value: &[u8]) -> bool {
    let digits = value.get(1..).unwrap_or_default().trim_ascii();
    let is_name = |byte: &u8| byte.is_ascii_lowercase() || *byte == b'-';
    name.iter().all(is_name) && !digits.is_empty() && digits.iter().all(u8::is_ascii_digit)
}

/// Returns the number in an event's `id` field.
fn number(event: &[u8]) -> Option<u64> {
    lines(event)
        .filter_map(|line| line.strip_prefix(b"id:"))
        .find_map(|value| std::str::from_utf8(value).ok()?.trim().parse().ok())
}
