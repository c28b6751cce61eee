//! Entries that rely on followers for reports of leaving upstreams.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::FollowerLiveness;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn entry_without_known_peers_follows_the_store() {
    assert!(!FollowerLiveness::default().is_live(Instant::now()));
}

#[test]
fn missing_messages_end_the_reliance_on_followers() {
    let start = Instant::now();
    let mut liveness = FollowerLiveness::default();
    liveness.record(millis(300), start);
    assert!(liveness.is_live(start + millis(1000)));
    assert!(!liveness.is_live(start + millis(1300)));
}

#[test]
fn peer_with_an_outdated_answer_is_no_follower() {
    let start = Instant::now();
    let mut liveness = FollowerLiveness::default();
    liveness.record(millis(3000), start);
    assert!(!liveness.is_live(start));
}
