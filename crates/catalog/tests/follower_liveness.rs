//! Entries that rely on peers for news of upstreams.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::FollowerLiveness;
use lycheehaven_catalog::follows_store;
use lycheehaven_types::Name;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn two_entries_of_a_domain_follow_the_store() {
    let names: Vec<Name> = ["c", "a", "d", "b"].map(Name::from).into();
    let followers: Vec<&Name> = names
        .iter()
        .filter(|me| follows_store(me, names.iter()))
        .collect();
    assert_eq!(followers, [&Name::from("a"), &Name::from("b")]);
}

#[test]
fn entry_that_knows_nobody_follows_the_store() {
    assert!(follows_store(&"z".into(), std::iter::empty()));
    assert!(!FollowerLiveness::default().is_live(Instant::now()));
}

#[test]
fn silence_ends_the_reliance_on_peers() {
    let start = Instant::now();
    let mut liveness = FollowerLiveness::default();
    liveness.record(millis(300), start);
    assert!(liveness.is_live(start + millis(1000)));
    assert!(!liveness.is_live(start + millis(1300)));
}

#[test]
fn peer_whose_own_watch_is_silent_informs_nobody() {
    let start = Instant::now();
    let mut liveness = FollowerLiveness::default();
    liveness.record(millis(3000), start);
    assert!(!liveness.is_live(start));
}
