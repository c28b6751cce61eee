//! Requests that crash upstreams.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::UpstreamKey;
use lycheehaven_guard::Suspects;
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
    let mut suspects = Suspects::default();
    for (index, id) in ["a", "b", "c"].into_iter().enumerate() {
        assert!(!suspects.condemned(&digest), "after {index} crashes");
        suspects.broke(digest, &key(id), now);
        assert_eq!(suspects.crashed(&key(id), now), vec![digest]);
    }
    assert!(suspects.condemned(&digest));
}

#[test]
fn broken_connection_of_a_living_upstream_is_no_crash() {
    let digest = Digest::of(&[b"innocent"]);
    let start = Instant::now();
    let mut suspects = Suspects::default();
    for id in ["a", "b", "c", "d"] {
        suspects.broke(digest, &key(id), start);
    }
    let later = start + Duration::from_secs(6);
    for id in ["a", "b", "c", "d"] {
        assert!(suspects.crashed(&key(id), later).is_empty());
    }
    assert!(!suspects.condemned(&digest));
}

#[test]
fn peers_accuse_and_the_same_upstream_counts_once() {
    let digest = Digest::of(&[b"poison"]);
    let now = Instant::now();
    let mut suspects = Suspects::default();
    for _ in 0..5 {
        suspects.accuse(digest, &key("a"), now);
    }
    assert!(!suspects.condemned(&digest));
    suspects.accuse(digest, &key("b"), now);
    suspects.accuse(digest, &key("c"), now);
    assert!(suspects.condemned(&digest));
    assert_eq!(suspects.report().len(), 3);
}
