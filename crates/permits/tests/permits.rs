//! What an entry does before it writes a request, and with messages of any content.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::UpstreamKey;
use lycheehaven_permits::Ask;
use lycheehaven_permits::PERMIT_LIFETIME;
use lycheehaven_permits::Permits;
use lycheehaven_permits::Report;
use lycheehaven_permits::Statement;
use lycheehaven_permits::Step;
use lycheehaven_permits::View;
use lycheehaven_types::Name;
use lycheehaven_types::RequestRate;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Longest time for which a single answer may exclude an upstream.
const MAX_WAIT: Duration = Duration::from_secs(5);

fn key() -> UpstreamKey {
    UpstreamKey {
        id: "i-1".into(),
        incarnation: 1,
    }
}

/// Permits of an entry that has read `rate` in a response.
fn limited(rate: f64, now: Instant) -> Permits {
    let mut permits = Permits::default();
    let statement = Statement {
        rate: Some(RequestRate::new(rate)),
        sent: now,
        read: now,
    };
    permits.record(&key(), statement);
    permits
}

fn view<'a>(own: &'a Name, names: &'a [Name]) -> View<'a> {
    View {
        own,
        in_domain: names.iter().collect(),
        live: names.iter().collect(),
        registered: 295,
    }
}

#[test]
fn permit_that_a_stopped_process_reads_late_is_void() {
    let now = Instant::now();
    let mut permits = limited(1.0, now);
    let late = now + PERMIT_LIFETIME + Duration::from_millis(1);
    assert!(permits.finish(&key(), now, None, late).is_err());
    assert!(permits.finish(&key(), now, None, now).is_ok());
}

#[test]
fn no_answer_excludes_an_upstream_for_long() {
    let now = Instant::now();
    let mut permits = limited(1.0, now);
    for wait in [Duration::from_millis(u64::MAX), Duration::MAX] {
        assert!(permits.finish(&key(), now, Some(wait), now).is_err());
        assert!(permits.waits().remaining(&key(), now) <= MAX_WAIT);
    }
    // An entry that reaches no other one issues hardly any permits to itself.
    let own: Name = "g1".into();
    let names = [own.clone()];
    let mut alone = limited(0.0, now);
    let step = alone.request(&key(), &view(&own, &names), 0.0, now);
    assert!(
        matches!(step, Step::Wait(wait) if wait <= MAX_WAIT),
        "{step:?}"
    );
}

#[test]
fn entry_that_is_not_the_issuer_issues_nothing() {
    let now = Instant::now();
    let names = ["g1", "g2", "g3"].map(Name::from);
    let issuer = |own: &Name| {
        let step = limited(1000.0, now).request(&key(), &view(own, &names), 0.0, now);
        matches!(step, Step::Ask(..))
    };
    let others: Vec<&Name> = names.iter().filter(|name| issuer(name)).collect();
    assert_eq!(others.len(), 2);
    let mut permits = limited(1000.0, now);
    let report = permits.news(0, now).remove(0);
    let ask = Ask {
        number: 1,
        from: others[0].clone(),
        report,
    };
    let later = now + Duration::from_secs(1);
    let seen = view(others[1], &names);
    assert!(
        permits
            .answer(&ask, Some(&seen), 0.0, later)
            .wait_ms
            .is_some()
    );
    assert!(permits.answer(&ask, None, 0.0, later).wait_ms.is_some());
}

#[test]
fn messages_of_any_content_do_no_harm() {
    let mut rng = StdRng::seed_from_u64(33);
    let names = ["g1", "g2"].map(Name::from);
    let start = Instant::now() + Duration::from_secs(3600);
    for _ in 0..20_000 {
        let mut permits = limited(1.0, start);
        let mut now = start;
        for _ in 0..4 {
            now += Duration::from_millis(rng.random_range(0..5_000));
            let any_ms = |rng: &mut StdRng| match rng.random_range(0..4) {
                0 => 0,
                1 => u64::MAX,
                2 => rng.random(),
                _ => rng.random_range(0..10_000),
            };
            let rate = f64::from_bits(rng.random());
            let report = Report {
                upstream: key(),
                rate: rng.random_bool(0.7).then_some(rate),
                sent_ms: any_ms(&mut rng),
                read_ms: any_ms(&mut rng),
            };
            permits.merge(&report, now);
            let ask = Ask {
                number: rng.random(),
                from: names[1].clone(),
                report,
            };
            let seen = view(&names[0], &names);
            permits.answer(&ask, Some(&seen), rng.random(), now);
            let wait = Duration::from_millis(any_ms(&mut rng));
            let _ = permits.finish(&key(), now, Some(wait), now);
            permits.request(&key(), &seen, rng.random(), now);
            let is_registered = rng.random_bool(0.9);
            permits.prune(|_| is_registered, now);
        }
    }
}
