//! Output and exit codes.

use std::io::Write;

use serde_json::Value;

/// Exit codes of `lycheectl`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCode {
    /// The command succeeded.
    Done = 0,
    /// The entry refused the command, for example a patch with an outdated base.
    Refused = 1,
    /// The arguments are invalid.
    Usage = 2,
    /// No entry answered; the outcome is unknown.
    NoAnswer = 3,
    /// `verify` found violations.
    Violated = 4,
}

/// Prints a line to standard output. A closed pipe is not an error.
pub(crate) fn line(text: impl AsRef<str>) {
    let _ = writeln!(std::io::stdout(), "{}", text.as_ref());
}

/// Prints a JSON value over several lines.
pub(crate) fn json(value: &Value) {
    line(serde_json::to_string_pretty(value).expect("JSON serializes"));
}

/// Prints rows in aligned columns under a header.
pub(crate) fn table(header: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows
            .iter()
            .filter_map(|row| row.get(column))
            .map(|cell| cell.len());
        cells.chain([header[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    let header: Vec<String> = header.iter().map(|cell| (*cell).to_owned()).collect();
    for row in std::iter::once(&header).chain(rows) {
        let cells = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"));
        line(cells.collect::<Vec<_>>().join("  ").trim_end());
    }
}

/// Formats a JSON value as a table cell.
pub(crate) fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}
