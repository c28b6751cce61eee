//! `lycheectl verify`: checks a recorded history.

use lycheehaven_history::Bounds;
use lycheehaven_history::check;
use lycheehaven_history::parse;
use serde_json::json;

use crate::client::CtlError;
use crate::output;
use crate::output::ExitCode;

/// Checks the history in `file` and prints its violations.
pub(crate) fn run(file: &str, as_json: bool) -> Result<ExitCode, CtlError> {
    let text = std::fs::read_to_string(file)
        .map_err(|cause| CtlError::usage(format!("{file}: {cause}")))?;
    let history = parse(&text).map_err(|cause| CtlError::usage(format!("{file}: {cause}")))?;
    let violations = check(&history, Bounds::default());
    if as_json {
        output::json(&json!({"events": history.len(), "violations": violations}));
    } else {
        violations
            .iter()
            .for_each(|violation| output::line(violation.to_string()));
        let count = violations.len();
        output::line(format!("{} events, {count} violations", history.len()));
    }
    Ok(if violations.is_empty() {
        ExitCode::Done
    } else {
        ExitCode::Violated
    })
}
