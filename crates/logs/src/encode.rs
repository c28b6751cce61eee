//! Encoding of records as JSON lines.

use std::time::SystemTime;

use log::Record;
use log::kv::Error;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use serde_json::Map;
use serde_json::json;

/// Encodes `record` as a JSON line, including the newline.
///
/// The line holds the time in RFC 3339 format, the level, the message, and the
/// attributes as strings. If `dropped` is above 0, it also holds this number of
/// lines dropped before it.
pub fn encode(record: &Record<'_>, wall: SystemTime, dropped: u64) -> Vec<u8> {
    let mut attributes = Attributes(Map::new());
    // The visitor returns no errors.
    let visited = record.key_values().visit(&mut attributes);
    debug_assert!(visited.is_ok());
    let mut line = json!({
        "time": humantime::format_rfc3339_micros(wall).to_string(),
        "level": record.level().as_str(),
        "message": record.args().to_string(),
        "attributes": attributes.0,
    });
    if dropped > 0 {
        line["dropped_before"] = dropped.into();
    }
    let mut bytes = line.to_string().into_bytes();
    bytes.push(b'\n');
    bytes
}

struct Attributes(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Attributes {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.to_string(), value.to_string().into());
        Ok(())
    }
}
