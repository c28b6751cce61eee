//! Media types of responses.

/// Media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// Whether a content type is that of a stream of events.
pub fn is_event_stream(content_type: &str) -> bool {
    let media_type = content_type.split(';').next().unwrap_or_default();
    media_type.trim().eq_ignore_ascii_case(EVENT_STREAM)
}
