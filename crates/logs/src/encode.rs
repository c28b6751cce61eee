//! Encoding of records as JSON lines.

use std::time::SystemTime;

use log::Record;
use log::kv::Error;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use serde_json::Map;
use serde_json::json;

/// Maximum length of a line in bytes. Writes to a pipe are atomic up to this
/// length.
pub const MAX_LINE_BYTES: usize = 4096;

/// Appended to a text that was shortened.
const SHORTENED: &str = "...";

/// Encodes `record` as a JSON line of at most [`MAX_LINE_BYTES`], including the newline.
/// Where it would be longer, the longest texts are shortened.
///
/// The line holds the time in RFC 3339 format, the level, the message, and the
/// attributes as strings. If `dropped` is above 0, it also holds this number of
/// lines dropped before it.
pub fn encode(record: &Record<'_>, wall: SystemTime, dropped: u64) -> Vec<u8> {
    let mut attributes = Attributes(Map::new());
    // The visitor returns no errors.
    let visited = record.key_values().visit(&mut attributes);
    debug_assert!(visited.is_ok());
    let mut texts = attributes.0;
    let mut message = record.args().to_string();
    loop {
        let mut line = json!({
            "time": humantime::format_rfc3339_micros(wall).to_string(),
            "level": record.level().as_str(),
            "message": message,
            "attributes": texts,
        });
        if dropped > 0 {
            line["dropped_before"] = dropped.into();
        }
        let mut bytes = line.to_string().into_bytes();
        bytes.push(b'\n');
        if bytes.len() <= MAX_LINE_BYTES || !shorten_longest(&mut message, &mut texts) {
            return bytes;
        }
    }
}

/// Halves the longest text. Returns whether one was long enough to be shortened.
fn shorten_longest(message: &mut String, texts: &mut Map<String, serde_json::Value>) -> bool {
    let attributes = texts.values_mut().filter_map(|value| match value {
        serde_json::Value::String(text) => Some(text),
        _ => None,
    });
    let longest = attributes.chain([message]).max_by_key(|text| text.len());
    let Some(text) = longest.filter(|text| text.len() > 4 * SHORTENED.len()) else {
        return false;
    };
    let half = text.floor_char_boundary(text.len() / 2);
    text.truncate(half);
    text.push_str(SHORTENED);
    true
}

struct Attributes(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Attributes {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.to_string(), value.to_string().into());
        Ok(())
    }
}
