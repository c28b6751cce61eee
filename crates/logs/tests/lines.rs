//! Encoding and rate limit of log lines.

use std::time::Duration;
use std::time::Instant;
use std::time::UNIX_EPOCH;

use log::Level;
use log::Record;
use lycheehaven_logs::LINES_PER_SECOND;
use lycheehaven_logs::LineBudget;
use lycheehaven_logs::MAX_LINE_BYTES;
use lycheehaven_logs::encode;
use serde_json::Value;

#[test]
fn line_holds_message_attributes_and_dropped_count() {
    let pairs = [("request", "r1"), ("cause", "quote \" and\nnewline")];
    let wall = UNIX_EPOCH + Duration::from_millis(1_500);
    let line = encode(
        &Record::builder()
            .level(Level::Info)
            .args(format_args!("request failed"))
            .key_values(&pairs)
            .build(),
        wall,
        3,
    );
    assert_eq!(line.iter().filter(|byte| **byte == b'\n').count(), 1);
    let value: Value = serde_json::from_slice(&line).expect("a JSON line");
    assert_eq!(value["time"], "1970-01-01T00:00:01.500000Z");
    assert_eq!(value["level"], "INFO");
    assert_eq!(value["message"], "request failed");
    assert_eq!(value["attributes"]["request"], "r1");
    assert_eq!(value["attributes"]["cause"], "quote \" and\nnewline");
    assert_eq!(value["dropped_before"], 3);
}

/// A cut in the middle of a line made it invalid JSON.
#[test]
fn long_line_stays_valid_and_keeps_short_texts() {
    let cause = "ö\"".repeat(20_000);
    let pairs = [("request", "r1"), ("cause", cause.as_str())];
    let line = encode(
        &Record::builder()
            .level(Level::Warn)
            .args(format_args!("request failed"))
            .key_values(&pairs)
            .build(),
        UNIX_EPOCH,
        0,
    );
    assert!(line.len() <= MAX_LINE_BYTES, "{} bytes", line.len());
    let value: Value = serde_json::from_slice(&line).expect("a JSON line");
    assert_eq!(value["message"], "request failed");
    assert_eq!(value["attributes"]["request"], "r1");
    let shortened = value["attributes"]["cause"].as_str().expect("a text");
    assert!(shortened.ends_with("..."), "{shortened}");
    assert!(cause.starts_with(shortened.trim_end_matches('.')));
}

#[test]
fn lines_per_second_are_limited() {
    let start = Instant::now();
    let mut budget = LineBudget::new();
    let taken = (0..1000).filter(|_| budget.take(start)).count();
    assert_eq!(taken as u32, LINES_PER_SECOND);
    assert!(budget.take(start + Duration::from_secs(1)));
}
