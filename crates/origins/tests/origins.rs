//! Tests of the records, of their segments and of the list of software.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_origins::Found;
use lycheehaven_origins::Group;
use lycheehaven_origins::LISTED_AFTER_END;
use lycheehaven_origins::MAX_RECORDS;
use lycheehaven_origins::Origin;
use lycheehaven_origins::Origins;
use lycheehaven_origins::Segments;
use lycheehaven_origins::Served;
use lycheehaven_origins::Situation;
use lycheehaven_origins::StreamKey;
use lycheehaven_types::Name;

const LIFETIME: Duration = Duration::from_secs(10);

fn origin(software: &str) -> Origin {
    Origin {
        service: "llm".into(),
        software: software.into(),
    }
}

fn group(software: &str, streams: Vec<u64>) -> Group {
    Group {
        service: "llm".into(),
        software: software.into(),
        streams,
    }
}

fn situation(era: u64, wall_ms: i64) -> Situation {
    Situation {
        era,
        wall_ms,
        first_start: true,
        longest: Duration::ZERO,
    }
}

fn services() -> [Name; 1] {
    ["llm".into()]
}

fn list(versions: &[&str]) -> Served {
    let present: Vec<Origin> = versions.iter().map(|software| origin(software)).collect();
    Served::update(None, &present, &[], &situation(0, 0)).expect("there is no list before")
}

#[test]
fn similar_identifiers_and_those_of_other_workspaces_have_different_keys() {
    let mut keys: Vec<StreamKey> = (0..20_000)
        .map(|number| StreamKey::new(Some("parish"), format!("r{number}").as_bytes()))
        .collect();
    keys.push(StreamKey::new(Some("abbey"), b"r1"));
    keys.push(StreamKey::new(None, b"r1"));
    keys.push(StreamKey::new(
        Some("parish"),
        "r".repeat(10_000).as_bytes(),
    ));
    let count = keys.len();
    keys.sort_unstable();
    keys.dedup();
    assert_eq!(keys.len(), count);
}

#[test]
fn stream_of_which_two_origins_are_stated_is_ambiguous() {
    let now = Instant::now();
    let mut origins = Origins::default();
    let key = StreamKey::new(None, b"r1");
    origins.begin(key, &origin("v1"), LIFETIME, now);
    origins.merge(&[group("v1", vec![key.0])], false, now + LIFETIME);
    let found = origins.find(key, now);
    assert!(matches!(found, Found::Origin(began) if *began == origin("v1")));
    origins.merge(&[group("v2", vec![key.0])], false, now + LIFETIME);
    assert_eq!(origins.find(key, now), Found::Ambiguous);
    // Whoever learns of it does not take it for one of the two.
    let due = origins.take_due(|_| true, now);
    let mut other = Origins::default();
    other.merge(&[group("v1", vec![key.0])], false, now + LIFETIME);
    other.merge(&due, false, now + LIFETIME);
    assert_eq!(other.find(key, now), Found::Ambiguous);
}

#[test]
fn records_end_with_their_streams_and_their_number_is_bounded() {
    let now = Instant::now();
    let mut origins = Origins::default();
    let streams: Vec<u64> = (0..MAX_RECORDS as u64 + 1000).collect();
    origins.merge(&[group("v1", streams)], false, now + LIFETIME);
    assert_eq!(origins.count(), MAX_RECORDS);
    assert_eq!(origins.find(StreamKey(1), now + LIFETIME), Found::Nothing);
    origins.prune(now + LIFETIME);
    assert_eq!(origins.count(), 0);
}

#[test]
fn records_are_written_once_while_they_are_needed_and_again_if_they_are_lost() {
    let now = Instant::now();
    let mut origins = Origins::default();
    origins.begin(StreamKey(1), &origin("v1"), LIFETIME, now);
    origins.merge(&[group("v1", vec![2])], true, now + LIFETIME);
    origins.merge(&[group("v1", vec![3])], false, now + LIFETIME);
    assert!(origins.take_due(|_| false, now).is_empty());
    let mut due = origins.take_due(|service| **service == *"llm", now);
    due[0].streams.sort_unstable();
    assert_eq!(due, [group("v1", vec![1, 2])]);
    assert!(origins.take_due(|_| true, now).is_empty());
    origins.write_again();
    assert_eq!(origins.take_due(|_| true, now)[0].streams.len(), 2);
}

#[test]
fn new_records_are_reported_for_a_while() {
    let now = Instant::now();
    let mut origins = Origins::default();
    origins.begin(StreamKey(1), &origin("v1"), LIFETIME, now);
    origins.merge(&[group("v1", vec![2])], false, now + LIFETIME);
    let later = now + Duration::from_millis(600);
    assert_eq!(origins.news(later), [group("v1", vec![1])]);
    assert!(origins.news(now + Duration::from_secs(1)).is_empty());
}

#[test]
fn segments_are_written_until_the_store_has_them_and_used_again_once_they_expire() {
    let now = Instant::now();
    let mut segments = Segments::default();
    segments.add(vec![group("v1", vec![1])], LIFETIME, 0, now);
    let first = segments.due();
    assert_eq!(first.len(), 1);
    assert_eq!(first[0].0, 0);
    // What is added during a write is written by the next one.
    segments.add(vec![group("v1", vec![2])], LIFETIME, 0, now);
    segments.record_written(0, &first[0].1);
    let second = segments.due();
    assert_eq!(second[0].1.groups.len(), 2);
    segments.record_written(0, &second[0].1);
    assert!(segments.due().is_empty());
    segments.add(vec![group("v1", (0..300).collect())], LIFETIME, 0, now);
    segments.add(vec![group("v1", vec![4])], LIFETIME, 0, now);
    assert_eq!(segments.due().len(), 2, "a long segment is not extended");
    for (number, segment) in segments.due() {
        segments.record_written(number, &segment);
    }
    segments.add(vec![group("v1", vec![5])], LIFETIME, 0, now + LIFETIME);
    assert_eq!(segments.due()[0].0, 0, "an expired segment is used again");
}

#[test]
fn only_a_single_listed_version_is_known_without_a_record() {
    let now = situation(0, 0);
    let one = list(&["v1"]);
    assert_eq!(one.only_origin(services().iter(), &now), Some(origin("v1")));
    assert_eq!(one.only_origin(["app".into()].iter(), &now), None);
    let two = Served::update(Some(&one), &[origin("v2")], &[], &now).expect("it changes");
    assert_eq!(two.only_origin(services().iter(), &now), None);
    assert!(two.lists(&origin("v1")) && two.lists(&origin("v2")));
    assert_eq!(Served::update(Some(&two), &[origin("v2")], &[], &now), None);
    let ended = Served::update(Some(&two), &[], &[origin("v1")], &now).expect("it changes");
    assert_eq!(
        ended.only_origin(services().iter(), &now),
        Some(origin("v2"))
    );
}

#[test]
fn list_that_may_lack_a_version_tells_nothing_until_no_stream_of_it_can_come_back() {
    let present = [origin("v1")];
    let restarted = Situation {
        first_start: false,
        ..situation(0, 1000)
    };
    let missing = Served::update(None, &present, &[], &restarted).expect("there is none");
    let copy = Served::update(Some(&list(&["v1"])), &present, &[], &situation(1, 1000));
    let copy = copy.expect("the era is noted");
    for (list, era) in [(missing, 0), (copy, 1)] {
        let until = 1000 + list.longest().as_millis() as i64;
        let before = situation(era, until - 1);
        assert_eq!(list.only_origin(services().iter(), &before), None);
        assert_eq!(list.recorded_services(&before).len(), 1);
        let after = situation(era, until);
        assert_eq!(
            list.only_origin(services().iter(), &after),
            Some(origin("v1"))
        );
        let next_era = situation(era + 1, until);
        assert_eq!(list.only_origin(services().iter(), &next_era), None);
    }
}

#[test]
fn list_covers_the_longest_time_for_which_callers_may_return() {
    let list = list(&["v1"]);
    let longer = Situation {
        longest: list.longest() * 2,
        ..situation(0, 0)
    };
    let next = Served::update(Some(&list), &[], &[], &longer).expect("it is raised");
    assert!(next.longest() >= longer.longest);
    let endless = Situation {
        longest: Duration::from_secs(1_000_000_000),
        ..situation(0, 0)
    };
    let most = Served::update(Some(&list), &[], &[], &endless).expect("it is raised");
    assert_eq!(most.longest_listable(), Duration::MAX);
    assert_eq!(Served::update(Some(&most), &[], &[], &endless), None);
    assert!(LISTED_AFTER_END > Duration::ZERO);
}

#[test]
fn content_of_the_store_is_read_as_it_was_written() {
    let served = list(&["v1", "v2"]);
    let text = serde_json::to_string(&served).expect("it is written");
    assert_eq!(serde_json::from_str::<Served>(&text).ok(), Some(served));
    let now = Instant::now();
    let mut segments = Segments::default();
    let key = StreamKey::new(Some("parish"), b"9c41d07be2a35f68");
    assert!(key.0 < 1 << 53, "JSON decoders may read numbers as doubles");
    segments.add(vec![group("v1", vec![key.0])], LIFETIME, 5, now);
    let (_, segment) = segments.due().remove(0);
    let text = serde_json::to_string(&segment).expect("it is written");
    assert_eq!(serde_json::from_str(&text).ok(), Some(segment));
}
