//! What becomes of a body whose request is answered before its end.

use lycheehaven_net::AnsweredBody;
use lycheehaven_net::BodyRest;

/// A body of 1000 bytes of which 400 are due.
const PART: AnsweredBody = AnsweredBody {
    is_read: false,
    has_failed: false,
    declared: Some(1000),
    due: Some(400),
    is_expected: false,
    is_last: false,
};

#[test]
fn rest_of_a_body_is_read_or_a_close_is_said() {
    let large = Some(100_000_000);
    let table = [
        ("part", PART, BodyRest::Read),
        (
            "none yet",
            AnsweredBody {
                due: Some(1000),
                ..PART
            },
            BodyRest::Read,
        ),
        (
            "received, not read",
            AnsweredBody {
                due: Some(0),
                ..PART
            },
            BodyRest::Read,
        ),
        (
            "large rest",
            AnsweredBody {
                declared: large,
                due: large,
                ..PART
            },
            BodyRest::Close,
        ),
        (
            "small rest of a large body",
            AnsweredBody {
                declared: large,
                ..PART
            },
            BodyRest::Read,
        ),
        (
            "chunked",
            AnsweredBody {
                declared: None,
                due: None,
                ..PART
            },
            BodyRest::Close,
        ),
        (
            "failed",
            AnsweredBody {
                has_failed: true,
                ..PART
            },
            BodyRest::Close,
        ),
        (
            "last",
            AnsweredBody {
                is_last: true,
                ..PART
            },
            BodyRest::Close,
        ),
        (
            "expected, not begun",
            AnsweredBody {
                is_expected: true,
                due: Some(1000),
                ..PART
            },
            BodyRest::Close,
        ),
        (
            "expected, begun",
            AnsweredBody {
                is_expected: true,
                ..PART
            },
            BodyRest::Read,
        ),
        (
            "expected, received",
            AnsweredBody {
                is_expected: true,
                due: Some(0),
                ..PART
            },
            BodyRest::Read,
        ),
    ];
    for (name, body, rest) in table {
        assert_eq!(body.rest(), rest, "{name}");
    }
}

#[test]
fn body_that_was_read_needs_no_close() {
    for due in [None, Some(0)] {
        for is_expected in [false, true] {
            let body = AnsweredBody {
                is_read: true,
                due,
                is_expected,
                ..PART
            };
            assert_eq!(body.rest(), BodyRest::Nothing, "{body:?}");
        }
    }
}
