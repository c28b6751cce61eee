//! Usage counts and the median clock.

use std::time::Duration;
use std::time::Instant;
use std::time::UNIX_EPOCH;

use lycheehaven_duties::MedianClock;
use lycheehaven_duties::Usage;
use proptest::prelude::*;

const WINDOW: Duration = Duration::from_secs(5);

#[test]
fn windows_count_from_1970() {
    let usage = Usage::new(WINDOW);
    assert_eq!(usage.window_at(4_999), 0);
    assert_eq!(usage.window_at(5_000), 1);
    assert_eq!(usage.window_end(1), 10_000);
}

#[test]
fn counts_of_an_earlier_incarnation_remain_in_the_total() {
    let mut usage = Usage::new(WINDOW);
    let mut peer = Usage::new(WINDOW);
    peer.record_request(&"w".into(), 1_000);
    peer.record_request(&"w".into(), 2_000);
    usage.merge_peer(&"p".into(), 1, peer.report());
    let mut restarted = Usage::new(WINDOW);
    restarted.record_request(&"w".into(), 3_000);
    usage.merge_peer(&"p".into(), 2, restarted.report());
    usage.record_request(&"w".into(), 4_000);
    assert_eq!(usage.window_total(0).get("w"), Some(&4));
}

/// An aggregator sums up its domain, and the holder of the lease adds up the domains.
/// Both aggregators of a domain report the same requests.
#[test]
fn sums_of_two_aggregators_count_once() {
    let mut member = Usage::new(WINDOW);
    member.record_request(&"w".into(), 1_000);
    let mut aggregators = [Usage::new(WINDOW), Usage::new(WINDOW)];
    let mut holder = Usage::new(WINDOW);
    for aggregator in &mut aggregators {
        aggregator.merge_peer(&"m".into(), 1, member.report());
        holder.merge_domain(&"keila".into(), aggregator.domain_report(|_| true));
    }
    // The second aggregator also began a request of its own.
    aggregators[1].record_request(&"w".into(), 2_000);
    holder.merge_domain(&"keila".into(), aggregators[1].domain_report(|_| true));
    holder.record_request(&"w".into(), 3_000);
    assert_eq!(holder.window_total(0).get("w"), Some(&3));
    // A digest covers the same requests as the sums of the domains.
    let mut other = Usage::new(WINDOW);
    other.merge_domain(&"keila".into(), aggregators[1].domain_report(|_| true));
    holder.merge_digest(other.report_for(&"holder".into(), 1));
    assert_eq!(holder.window_total(0).get("w"), Some(&3));
}

/// In a large fleet a snapshot holds only totals. Entries that keep running report
/// most of these requests themselves, and they must not count twice.
#[test]
fn snapshot_total_counts_only_what_no_peer_reports() {
    let mut member = Usage::new(WINDOW);
    let mut holder = Usage::new(WINDOW);
    member.record_request(&"w".into(), 1_000);
    holder.record_request(&"w".into(), 2_000);
    holder.merge_peer(&"m".into(), 1, member.report());
    let snapshot = holder.snapshot_total();
    let mut restarted = Usage::new(WINDOW);
    let counts = snapshot.clone();
    restarted.merge_peer(&counts.entry, counts.incarnation, counts.windows);
    assert_eq!(restarted.window_total(0).get("w"), Some(&2));
    for _ in 0..2 {
        restarted.deduct_recorded(&"m".into(), 1, &member.report());
        restarted.merge_peer(&"m".into(), 1, member.report());
        assert_eq!(restarted.window_total(0).get("w"), Some(&2));
    }
    restarted.record_request(&"w".into(), 3_000);
    assert_eq!(restarted.window_total(0).get("w"), Some(&3));
    // The total belongs to no domain, or each domain would add it again.
    let own_domain = restarted.domain_report(|entry| **entry == *"m");
    assert_eq!(own_domain[0].counts.get("w"), Some(&2));
}

#[test]
fn snapshot_read_after_all_entries_restart_counts_once() {
    let mut holder = Usage::new(WINDOW);
    let mut peer = Usage::new(WINDOW);
    holder.record_request(&"w".into(), 1_000);
    peer.record_request(&"w".into(), 2_000);
    holder.merge_peer(&"p".into(), 1, peer.report());
    let snapshot = holder.snapshot(&"h".into(), 1);
    peer.record_request(&"w".into(), 3_000);
    holder.merge_peer(&"p".into(), 1, peer.report());

    let mut restarted = Usage::new(WINDOW);
    for _ in 0..2 {
        for counts in snapshot.clone() {
            restarted.merge_peer(&counts.entry, counts.incarnation, counts.windows);
        }
    }
    restarted.record_request(&"w".into(), 4_000);
    assert_eq!(restarted.window_total(0).get("w"), Some(&3));
    // An entry that kept running has higher counts than the snapshot.
    for counts in snapshot.into_iter().filter(|counts| &*counts.entry != "h") {
        holder.merge_peer(&counts.entry, counts.incarnation, counts.windows);
    }
    assert_eq!(holder.window_total(0).get("w"), Some(&3));
}

#[test]
fn jumped_clock_is_corrected_by_the_median() {
    let now = Instant::now();
    let wall = UNIX_EPOCH + Duration::from_millis(1_000_000);
    let mut clock = MedianClock::default();
    clock.update_peer(&"a".into(), 1_000_010, wall, now);
    clock.update_peer(&"b".into(), 998_000, wall, now);
    clock.update_peer(&"c".into(), 1_000_020, wall, now);
    let millis = clock.now_millis(wall, now);
    assert!((1_000_000..=1_000_020).contains(&millis), "{millis}");

    // When the clock of this entry jumps, the peers correct it.
    let jumped = wall + Duration::from_secs(3);
    for (peer, millis) in [("a", 1_000_010), ("b", 1_000_000), ("c", 1_000_020)] {
        clock.update_peer(&peer.into(), millis, jumped, now);
    }
    let millis = clock.now_millis(jumped, now);
    assert!((1_000_000..=1_000_020).contains(&millis), "{millis}");
}

proptest! {
    /// Lost and repeated reports do not matter once a later one arrives.
    #[test]
    fn totals_are_exact_after_the_last_report(
        requests in proptest::collection::vec((0_usize..3, 0_i64..15_000, any::<bool>()), 0..80),
    ) {
        let mut holder = Usage::new(WINDOW);
        let mut peers: Vec<Usage> = (0..3).map(|_| Usage::new(WINDOW)).collect();
        for (peer, millis, reported) in &requests {
            peers[*peer].record_request(&"w".into(), *millis);
            if *reported {
                holder.merge_peer(&format!("p{peer}").as_str().into(), 1, peers[*peer].report());
            }
        }
        for (index, peer) in peers.iter().enumerate() {
            let name = format!("p{index}");
            holder.merge_peer(&name.as_str().into(), 1, peer.report());
            holder.merge_peer(&name.as_str().into(), 1, peer.report());
        }
        for window in 0..3_u64 {
            let expected = requests
                .iter()
                .filter(|(_, millis, _)| *millis as u64 / 5_000 == window)
                .count() as u64;
            let counted = holder.window_total(window).get("w").copied().unwrap_or(0);
            prop_assert_eq!(counted, expected);
        }
    }
}
