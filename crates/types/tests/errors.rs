//! Checks the error kinds against their documentation in `docs/API.md`.

use lycheehaven_types::ErrorKind;
use lycheehaven_types::Failure;
use lycheehaven_types::Outcome;
use lycheehaven_types::RetryAdvice;

/// Every kind has one row on the page with its status, outcome and retry
/// advice.
#[test]
fn api_page_documents_every_kind() {
    let page = include_str!("../../../docs/API.md");
    for kind in ErrorKind::ALL {
        let outcome = match kind.outcome() {
            Outcome::NotRun => "not_run",
            Outcome::Ran => "ran",
            Outcome::Unknown => "unknown",
        };
        let retry = match kind.retry() {
            RetryAdvice::Never => "never".to_owned(),
            RetryAdvice::After(delay) => format!("after {} s", delay.as_secs()),
        };
        let row = format!(
            "| `{}` | {} | `{outcome}` | {retry} |",
            kind.name(),
            kind.status()
        );
        assert!(page.contains(&row), "missing row: {row}");
    }
    assert_eq!(
        page.matches(" | `not_run` | ").count(),
        count(Outcome::NotRun)
    );
}

fn count(outcome: Outcome) -> usize {
    ErrorKind::ALL
        .iter()
        .filter(|kind| kind.outcome() == outcome)
        .count()
}

#[test]
fn bodies_contain_kind_and_retry_delay() {
    for kind in ErrorKind::ALL {
        let failure = Failure::new(*kind, "why");
        let body = serde_json::to_value(failure.body()).expect("bodies serialize");
        assert_eq!(body["error"]["kind"], kind.name());
        assert_eq!(
            body["error"]["retry_ms"].is_null(),
            failure.retry_delay().is_none()
        );
    }
}
