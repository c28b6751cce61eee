//! Requests that crash upstreams.

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
fn third_crashed_upstream_condemns() {
    let digest = Digest::of(&[b"poison"]);
    let now = Instant::now();
    let mut suspects = CrashTracker::default();
    for (index, id) in ["a", "b", "c"].into_iter().enumerate() {
        assert!(!suspects.is_quarantined(&digest), "after {index} crashes");
        suspects.record_disconnect(digest, &key(id), now);
        assert_eq!(suspects.record_crash(&key(id), now), vec![digest]);
    }
    assert!(suspects.is_quarantined(&digest));
}

#[test]
fn broken_connection_of_a_living_upstream_is_no_crash() {
    let digest = Digest::of(&[b"innocent"]);
    let start = Instant::now();
    let mut suspects = CrashTracker::default();
    for id in ["a", "b", "c", "d"] {
        suspects.record_disconnect(digest, &key(id), start);
    }
    let later = start + Duration::from_secs(6);
    for id in ["a", "b", "c", "d"] {
        assert!(suspects.record_crash(&key(id), later).is_empty());
    }
    assert!(!suspects.is_quarantined(&digest));
}

#[test]
fn peers_accuse_and_the_same_upstream_counts_once() {
    let digest = Digest::of(&[b"poison"]);
    let now = Instant::now();
    let mut suspects = CrashTracker::default();
    for _ in 0..5 {
        suspects.add_crash_report(digest, &key("a"), now);
    }
    assert!(!suspects.is_quarantined(&digest));
    suspects.add_crash_report(digest, &key("b"), now);
    suspects.add_crash_report(digest, &key("c"), now);
    assert!(suspects.is_quarantined(&digest));
    assert_eq!(suspects.crash_reports().len(), 3);
}
