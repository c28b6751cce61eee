//! Which entries aggregate, and which count as running.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_fleet::AGGREGATOR_TIMEOUT;
use lycheehaven_fleet::Capacity;
use lycheehaven_fleet::MESH_LIMIT;
use lycheehaven_fleet::Member;
use lycheehaven_fleet::Role;
use lycheehaven_fleet::Roster;
use lycheehaven_types::Name;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn member(index: usize, domain: &str, cpu_millis: u32) -> (Name, Member) {
    let member = Member {
        addr: SocketAddr::from(([127, 0, 0, 1], 1000 + index as u16)),
        domain: domain.into(),
        incarnation: 1,
        capacity: Capacity {
            cpu_millis,
            link_mbps: 100,
            memory_mb: 160,
        },
    };
    (format!("{domain}-{index:02}").into(), member)
}

/// Returns 20 entries in each of two failure domains; those with a number of at least
/// 16 have half a core, the others 0.12.
fn members() -> Vec<(Name, Member)> {
    let domains = ["a", "b"].iter();
    domains
        .flat_map(|domain| {
            (0..20).map(move |index| member(index, domain, if index < 16 { 120 } else { 500 }))
        })
        .collect()
}

fn roster(own_name: &str, members: Vec<(Name, Member)>) -> Roster {
    let domain = own_name.split('-').next().unwrap_or_default();
    let mut roster = Roster::new(own_name.into(), domain.into(), MESH_LIMIT);
    roster.replace(members);
    roster
}

fn names(names: &[&str]) -> Vec<Name> {
    names.iter().map(|name| Name::from(*name)).collect()
}

#[test]
fn entries_of_a_small_fleet_report_to_one_another() {
    let now = Instant::now();
    let mut roster = roster("a-00", members().into_iter().take(MESH_LIMIT).collect());
    assert_eq!(roster.role(now), Role::Mesh);
    assert_eq!(roster.parts().entries.len(), MESH_LIMIT - 1);
    assert_eq!(roster.parts().entry_count(), MESH_LIMIT);
}

#[test]
fn parts_of_a_large_fleet_are_the_own_domain_and_the_other_ones() {
    let roster = roster("a-00", members());
    assert_eq!(roster.parts().entries.len(), 19);
    assert_eq!(roster.parts().domains, [("b".into(), 20)]);
    assert_eq!(roster.parts().entry_count(), 40);
}

#[test]
fn largest_entries_of_a_domain_aggregate() {
    let now = Instant::now();
    for (own_name, role) in [
        ("a-00", Role::Member),
        ("a-15", Role::Member),
        ("a-16", Role::Aggregator),
        ("a-17", Role::Aggregator),
        ("a-18", Role::Member),
    ] {
        assert_eq!(roster(own_name, members()).role(now), role, "{own_name}");
    }
    let mut roster = roster("a-00", members());
    assert_eq!(
        roster.aggregators(&"b".into(), now),
        names(&["b-16", "b-17"])
    );
}

/// While enough larger entries of the domain run, a small one never aggregates.
#[test]
fn small_entry_aggregates_only_if_larger_ones_are_silent() {
    let start = Instant::now();
    let mut roster = roster("a-00", members());
    for second in 0..20 {
        let now = start + millis(1000) * second;
        roster.record_heartbeat(&"a-18".into(), now);
        roster.record_heartbeat(&"a-19".into(), now);
        assert_eq!(roster.role(now), Role::Member, "after {second} s");
    }
    // The last messages arrived after 19 s.
    let mut silent_for = 0;
    while roster.role(start + millis(19_000 + silent_for)) == Role::Member {
        silent_for += 100;
        assert!(silent_for < 60_000, "no aggregator is left");
    }
    assert_eq!(millis(silent_for), AGGREGATOR_TIMEOUT);
}

#[test]
fn silent_aggregator_is_replaced_until_it_is_heard_again() {
    let start = Instant::now();
    let domain: Name = "a".into();
    let mut roster = roster("a-00", members());
    assert_eq!(roster.aggregators(&domain, start), names(&["a-16", "a-17"]));
    let later = start + AGGREGATOR_TIMEOUT;
    roster.record_heartbeat(&"a-17".into(), later);
    assert_eq!(roster.aggregators(&domain, later), names(&["a-17", "a-18"]));
    // The replaced one is still tried from time to time.
    assert_eq!(roster.aggregator_addresses(&domain, false, later).len(), 2);
    assert_eq!(roster.aggregator_addresses(&domain, true, later).len(), 3);
    roster.record_heartbeat(&"a-16".into(), later);
    assert_eq!(roster.aggregators(&domain, later), names(&["a-16", "a-17"]));
}

/// An entry that does not aggregate sends nothing, so it must be tried when it is
/// needed, also if it did aggregate long ago.
#[test]
fn entry_that_did_not_aggregate_is_not_taken_for_silent() {
    let start = Instant::now();
    let domain: Name = "a".into();
    let mut roster = roster("a-00", members());
    let heard = |roster: &mut Roster, name: &str, now| roster.record_heartbeat(&name.into(), now);
    roster.aggregators(&domain, start);
    let taken_over = start + millis(1200);
    heard(&mut roster, "a-17", taken_over);
    assert_eq!(
        roster.aggregators(&domain, taken_over),
        names(&["a-17", "a-18"])
    );
    heard(&mut roster, "a-18", taken_over + millis(200));
    let returned = taken_over + millis(400);
    heard(&mut roster, "a-16", returned);
    heard(&mut roster, "a-17", returned);
    roster.aggregators(&domain, returned);
    let lost_again = returned + millis(60_000);
    heard(&mut roster, "a-17", lost_again);
    assert_eq!(
        roster.aggregators(&domain, lost_again),
        names(&["a-17", "a-18"])
    );
}

#[test]
fn entry_reported_as_silent_expires_and_others_do_not() {
    let start = Instant::now();
    let domain: Name = "b".into();
    let mut roster = roster("a-16", members());
    roster.record_silent(Some(&domain), &[], start);
    assert!(roster.expired(millis(15_000), start).is_empty());
    for step in 1..=80_u64 {
        let now = start + millis(200 * step);
        let silent = [("b-03".into(), Some(millis(200 * step)))];
        roster.record_silent(Some(&domain), &silent, now);
        for index in 0..20 {
            roster.record_heartbeat(&format!("a-{index:02}").into(), now);
        }
    }
    let now = start + millis(16_000);
    assert_eq!(roster.expired(millis(15_000), now), names(&["b-03"]));
    assert_eq!(roster.reachable_count(now), 38);
}

/// An aggregator that has just started has heard nobody. What it reports must not
/// hide that an entry runs.
#[test]
fn report_of_an_entry_that_was_never_heard_changes_nothing() {
    let start = Instant::now();
    let mut roster = roster("a-00", members());
    roster.record_silent(None, &[], start);
    let silent = [("b-03".into(), None)];
    roster.record_silent(None, &silent, start + millis(200));
    assert_eq!(roster.reachable_count(start + millis(200)), 39);
}

/// When all entries start at once, nobody has heard anybody. The registrations of 245
/// of 295 entries were removed then.
#[test]
fn entry_that_nobody_has_heard_does_not_expire_at_once() {
    let start = Instant::now();
    let mut roster = roster("a-16", members());
    let silent = roster.silent(None, start);
    assert_eq!(silent.len(), 39);
    roster.record_silent(None, &silent, start);
    let expiry = millis(15_000);
    assert!(roster.expired(expiry, start).is_empty());
    assert!(roster.expired(expiry, start + millis(14_000)).is_empty());
    assert_eq!(roster.expired(expiry, start + expiry).len(), 39);
}
