//! Tests of the detection of requests that crash upstreams.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::UpstreamKey;
use lycheehaven_guard::CrashTracker;
use lycheehaven_types::Digest;

fn key(id: &str) -> UpstreamKey {
    UpstreamKey {
        id: id.into(),
        incarnation: 1,
    }
}

#[test]
fn third_crashed_upstream_quarantines_the_request() {
    let digest = Digest::of(&[b"poison"]);
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    for (index, id) in ["a", "b", "c"].into_iter().enumerate() {
        assert!(!tracker.is_quarantined(&digest), "after {index} crashes");
        tracker.record_disconnect(digest, &key(id), now);
        assert_eq!(tracker.record_crash(&key(id), now), vec![digest]);
    }
    assert!(tracker.is_quarantined(&digest));
}

#[test]
fn broken_connection_of_a_running_upstream_is_not_a_crash() {
    let digest = Digest::of(&[b"request"]);
    let start = Instant::now();
    let mut tracker = CrashTracker::default();
    for id in ["a", "b", "c", "d"] {
        tracker.record_disconnect(digest, &key(id), start);
    }
    let later = start + Duration::from_secs(6);
    for id in ["a", "b", "c", "d"] {
        assert!(tracker.record_crash(&key(id), later).is_empty());
    }
    assert!(!tracker.is_quarantined(&digest));
}

#[test]
fn crash_reports_of_the_same_upstream_count_once() {
    let digest = Digest::of(&[b"poison"]);
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    for _ in 0..5 {
        tracker.add_crash_report(digest, &key("a"), now);
    }
    assert!(!tracker.is_quarantined(&digest));
    tracker.add_crash_report(digest, &key("b"), now);
    tracker.add_crash_report(digest, &key("c"), now);
    assert!(tracker.is_quarantined(&digest));
    assert_eq!(tracker.crash_reports().len(), 3);
}
