//! Routes, keys, the directory of upstreams, and the age of the configuration.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::Access;
use lycheehaven_catalog::ActiveConfig;
use lycheehaven_catalog::Catalog;
use lycheehaven_catalog::ClientLimits;
use lycheehaven_catalog::Directory;
use lycheehaven_catalog::Route;
use lycheehaven_catalog::RouteKind;
use lycheehaven_catalog::Split;
use lycheehaven_catalog::Upstream;
use lycheehaven_catalog::UpstreamKey;
use lycheehaven_catalog::UpstreamState;
use lycheehaven_catalog::Workspace;

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "quotes.example".into(),
        prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        priority: 0,
        splits: vec![split("one", 90.0), split("two", 10.0)],
        max_attempts: 2,
        public: false,
        resumable: false,
    }
}

fn split(service: &str, weight: f64) -> Split {
    Split {
        service: service.into(),
        weight,
    }
}

fn catalog(version: u64) -> Catalog {
    let workspace = Workspace {
        name: "parish".into(),
        keys: vec!["k1".into()],
        priority: None,
        rate: 0.0,
        burst: 0.0,
        counts_tokens: false,
        default_tokens: 0.0,
    };
    let public = Route {
        public: true,
        ..route("public", "/open/")
    };
    Catalog::new(
        version,
        vec![route("short", "/a/"), route("long", "/a/b/"), public],
        Vec::new(),
        vec![workspace],
        ClientLimits::default(),
    )
}

fn matching_route(host: &str, path: &str) -> Option<String> {
    let catalog = catalog(1);
    catalog
        .find_route(host, path)
        .map(|route| route.name.to_string())
}

#[test]
fn longest_prefix_wins() {
    assert_eq!(
        matching_route("quotes.example", "/a/x").as_deref(),
        Some("short")
    );
    assert_eq!(
        matching_route("quotes.example", "/a/b/x").as_deref(),
        Some("long")
    );
}

#[test]
fn prefixes_match_whole_segments() {
    assert_eq!(
        matching_route("quotes.example", "/a/bc").as_deref(),
        Some("short")
    );
    assert_eq!(matching_route("quotes.example", "/ab"), None);
    assert_eq!(matching_route("quotes.example", "/a"), None);
}

#[test]
fn host_is_compared_without_port_and_case() {
    assert!(matching_route("Quotes.Example:8080", "/a/").is_some());
    assert!(matching_route("other.example", "/a/").is_none());
}

#[test]
fn splits_follow_their_weights() {
    let route = route("r", "/r/");
    assert_eq!(&**route.pick_service(0.0), "one");
    assert_eq!(&**route.pick_service(0.89), "one");
    assert_eq!(&**route.pick_service(0.91), "two");
    assert_eq!(&**route.pick_service(1.0), "two");
}

#[test]
fn keys_grant_access_to_routes() {
    let catalog = catalog(1);
    let keyed = catalog
        .find_route("quotes.example", "/a/")
        .expect("the route exists")
        .clone();
    let open = catalog
        .find_route("quotes.example", "/open/")
        .expect("the route exists");
    assert_eq!(catalog.access(&keyed, Some("k1")), Access::Workspace(0));
    assert_eq!(catalog.access(&keyed, Some("k2")), Access::Denied);
    assert_eq!(catalog.access(&keyed, None), Access::Denied);
    assert_eq!(catalog.access(open, None), Access::Public);
}

#[test]
fn version_only_increases() {
    let mut config = ActiveConfig::default();
    assert!(config.install(catalog(5)));
    assert!(!config.install(catalog(4)));
    assert!(!config.install(catalog(5)));
    assert_eq!(
        config
            .catalog()
            .expect("a configuration was installed")
            .version,
        5
    );
    assert!(config.install(catalog(9)));
}

#[test]
fn age_counts_from_when_the_confirming_call_was_sent() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut config = ActiveConfig::default();
    config.confirm(at(0));
    assert_eq!(config.age(at(1)), None, "nothing is known yet");
    config.install(catalog(1));
    assert!(config.is_fresh(at(999), Duration::from_secs(1)));
    assert!(!config.is_fresh(at(1000), Duration::from_secs(1)));
    config.confirm(at(500));
    config.confirm(at(200));
    assert_eq!(config.age(at(600)), Some(Duration::from_millis(100)));
}

/// A query of an earlier incarnation that a frozen peer answers late can carry a
/// send time that lies after the current time. Its answer confirms nothing.
#[test]
fn confirmation_by_a_peer_counts_from_the_query() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let age = Duration::from_millis(700);
    let mut config = ActiveConfig::default();
    config.install(catalog(4));
    config.confirm_by_peer(4, at(5000), age, at(6000));
    assert_eq!(config.age(at(6000)), Some(Duration::from_millis(1700)));
    config.confirm_by_peer(4, at(9000), age, at(8000));
    assert_eq!(config.age(at(8000)), Some(Duration::from_millis(3700)));
    config.confirm_by_peer(3, at(8000), age, at(8000));
    assert_eq!(
        config.age(at(8000)),
        Some(Duration::from_millis(3700)),
        "an older version confirms nothing"
    );
}

fn upstream(id: &str, incarnation: u64, state: UpstreamState) -> Upstream {
    support::upstream(id, incarnation, state, incarnation)
}

/// Returns a ready upstream whose registration was written at `revision`.
fn registered_at(id: &str, revision: u64) -> Upstream {
    support::upstream(id, 1, UpstreamState::Ready, revision)
}

fn ready(directory: &Directory) -> usize {
    directory.ready("llm").count()
}

#[test]
fn leaving_incarnation_never_becomes_ready_again() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.update(upstream("a", 1, UpstreamState::Ready), now);
    assert_eq!(ready(&directory), 1);
    assert!(directory.update(upstream("a", 1, UpstreamState::Draining(None)), now));
    directory.update(upstream("a", 1, UpstreamState::Ready), now);
    assert_eq!(ready(&directory), 0);
    directory.update(upstream("a", 2, UpstreamState::Ready), now);
    assert_eq!(
        ready(&directory),
        1,
        "the next incarnation is another upstream"
    );
}

/// An engine may take minutes to leave. A list of all registrations made one that had
/// left for two minutes ready again.
#[test]
fn registered_incarnation_stays_leaving_however_long_it_takes() {
    let start = Instant::now();
    for state in [UpstreamState::Draining(None), UpstreamState::Ready] {
        let mut directory = Directory::default();
        directory.update(upstream("a", 1, UpstreamState::Ready), start);
        directory.mark_leaving(&upstream("a", 1, UpstreamState::Ready).key, start);
        for minute in 1..10 {
            let now = start + Duration::from_secs(60) * minute;
            directory.replace(vec![upstream("a", 1, state)], 1, now);
            assert_eq!(ready(&directory), 0, "{state:?} after {minute} minutes");
        }
    }
}

#[test]
fn leaving_reported_by_a_peer_counts() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.update(upstream("a", 1, UpstreamState::Ready), now);
    let key = upstream("a", 1, UpstreamState::Ready).key;
    assert!(directory.mark_leaving(&key, now));
    assert!(!directory.mark_leaving(&key, now));
    assert_eq!(ready(&directory), 0);
}

#[test]
fn missing_upstream_is_removed_unless_the_store_was_unavailable() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut directory = Directory::default();
    directory.replace(vec![upstream("a", 1, UpstreamState::Ready)], 1, at(0));
    directory.replace(Vec::new(), 2, at(1));
    assert_eq!(ready(&directory), 0);

    directory.replace(vec![registered_at("a", 3)], 3, at(2));
    directory.defer_removals(at(2000));
    directory.replace(Vec::new(), 4, at(100));
    assert_eq!(
        ready(&directory),
        1,
        "the registration may only have expired"
    );
    assert_eq!(directory.remove_deferred(at(1999)), 0);
    assert_eq!(directory.remove_deferred(at(2000)), 1);
    assert_eq!(ready(&directory), 0);
}

/// An entry with stale reads sees older changes after a peer reported newer ones.
#[test]
fn upstream_reported_as_removed_returns_only_when_registered_again() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.update(registered_at("a", 5), now);
    let key = registered_at("a", 5).key;
    assert!(
        !directory.remove_reported(&key, 4, now),
        "the registration was written since"
    );
    assert_eq!(ready(&directory), 1);
    assert!(directory.remove_reported(&key, 8, now));
    directory.update(registered_at("a", 7), now);
    assert_eq!(
        ready(&directory),
        0,
        "that change is older than the removal"
    );
    directory.update(registered_at("a", 9), now);
    assert_eq!(ready(&directory), 1);
}

/// Guards against requests to an upstream that a peer knows to be removed. An
/// entry that had been cut off from the store deferred the removal for 2.3 s and
/// sent the upstream a request 2.4 s after it had left (simulated day caroni-refill
/// scale-2).
#[test]
fn removal_reported_by_a_peer_is_not_deferred() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut directory = Directory::default();
    directory.update(registered_at("a", 5), at(0));
    directory.defer_removals(at(2300));
    directory.remove(&"a".into(), 8, at(0));
    assert_eq!(
        ready(&directory),
        1,
        "the registration may only have expired"
    );
    assert!(directory.remove_reported(&registered_at("a", 5).key, 8, at(900)));
    assert_eq!(ready(&directory), 0);
}

#[test]
fn recent_removals_are_reported_to_peers() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut directory = Directory::default();
    directory.update(registered_at("a", 5), at(0));
    directory.update(registered_at("b", 6), at(0));
    directory.remove(&"a".into(), 8, at(0));
    assert_eq!(
        directory.removed_news(0, at(1000)),
        [(registered_at("a", 5).key, 8)]
    );
    directory.defer_removals(at(2000));
    directory.remove(&"b".into(), 9, at(1000));
    assert_eq!(
        directory.removed_news(0, at(1500)).len(),
        1,
        "the registration may only have expired"
    );
    directory.remove_deferred(at(2000));
    assert!(
        directory
            .removed_news(0, at(3000))
            .contains(&(registered_at("b", 6).key, 6))
    );
    assert_eq!(directory.removed_news(0, at(20_000)), []);
}

#[test]
fn expired_registration_that_is_renewed_stays() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut directory = Directory::default();
    directory.defer_removals(at(2000));
    directory.update(upstream("a", 1, UpstreamState::Ready), at(0));
    directory.remove(&"a".into(), 2, at(10));
    directory.update(upstream("a", 1, UpstreamState::Ready), at(500));
    assert_eq!(directory.remove_deferred(at(2000)), 0);
    assert_eq!(ready(&directory), 1);
}

#[test]
fn time_left_is_the_registered_or_the_planned_one() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let planned = Duration::from_millis(2000);
    let mut directory = Directory::default();
    let key = upstream("a", 1, UpstreamState::Ready).key;
    assert_eq!(directory.time_left(&key, planned, at(0)), None);
    directory.mark_leaving(&key, at(0));
    assert_eq!(
        directory.time_left(&key, planned, at(500)),
        Some(Duration::from_millis(1500))
    );
    let registered = UpstreamState::Draining(Some(Duration::from_millis(700)));
    directory.update(upstream("a", 1, registered), at(500));
    assert_eq!(
        directory.time_left(&key, planned, at(600)),
        Some(Duration::from_millis(600))
    );
}

#[test]
fn news_of_many_upstreams_reaches_peers_in_turns() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut directory = Directory::default();
    let key = |index: u64| UpstreamKey {
        id: format!("i-{index}").into(),
        incarnation: 1,
    };
    for index in 0..2300 {
        directory.mark_leaving(&key(index), at(0));
    }
    directory.mark_leaving(&key(9999), at(100));
    let mut reported = BTreeSet::new();
    for turn in 0..31 {
        let news = directory.leaving_news(turn, at(200));
        assert!(news.len() <= 150, "{} in one message", news.len());
        assert!(news.contains(&key(9999)), "the newest is in each message");
        reported.extend(news);
    }
    assert_eq!(reported.len(), 2301);
}
