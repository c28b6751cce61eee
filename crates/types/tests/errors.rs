//! The closed table of errors, against its page.

use lycheehaven_types::ErrorKind;
use lycheehaven_types::Failure;
use lycheehaven_types::Outcome;
use lycheehaven_types::RetryAdvice;

/// Every kind is one row of the page, with the answer that the table gives.
#[test]
fn page_lists_every_kind_as_it_is() {
    let page = include_str!("../../../docs/API.md");
    for kind in ErrorKind::ALL {
        let outcome = match kind.outcome() {
            Outcome::NotRun => "not_run",
            Outcome::Ran => "ran",
            Outcome::Unknown => "unknown",
        };
        let retry = match kind.retry() {
            RetryAdvice::Never => "never".to_owned(),
            RetryAdvice::After(wait) => format!("after {} s", wait.as_secs()),
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
fn bodies_carry_kind_outcome_and_time() {
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
