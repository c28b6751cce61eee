//! Answers that a stopping entry passes on from another one.

use std::time::Duration;
use std::time::Instant;

use futures_util::future::join;
use lycheehaven_standins::EngineParams;

use crate::late_caller::End;
use crate::late_caller::Kind;
use crate::late_caller::end_of;
use crate::late_caller::fetch;
use crate::late_caller::send_all;
use crate::support::client;
use crate::support::cluster;
use crate::support::run;

const DRAIN: &str = "[drain]\nlag_ms = 200\nfinish_ms = 1000";

const ENTRIES: &[(&str, &str)] = &[("entry-a", "arima"), ("entry-b", "arima")];

const ENGINES: &[(&str, &str)] = &[("engine-1", "arima")];

/// Fetches an answer that takes 6 s through an entry that stops after 1.2 s.
fn check(kind: Kind) {
    run(async {
        let params = EngineParams {
            step: Duration::from_millis(20),
            ..EngineParams::default()
        };
        let mut cluster = cluster(DRAIN, ENTRIES, ENGINES, params).await;
        let [addr, owner] = [0, 1].map(|index| cluster.entries[index].listen);
        let mut stream = client().stream(owner, "report len=300").await.unwrap();
        stream.receive(5).await;
        let fetches = [fetch(kind, addr, &stream.received.id)];
        let stop = async {
            compio::time::sleep(Duration::from_millis(300)).await;
            cluster.entries[0].terminate();
        };
        let (received, ()) = join(send_all(addr, &fetches, Instant::now()), stop).await;
        assert_eq!(end_of(&received[0]), End::Moved, "{}", received[0]);
        assert!(cluster.entries[0].wait(Duration::from_secs(5)));
    });
}

/// Guards against the end of a stream as failed that a peer may have taken over.
#[test]
fn stream_whose_peer_does_not_confirm_the_hand_over_says_where_its_rest_is() {
    run(async {
        let params = EngineParams {
            step: Duration::from_millis(20),
            ..EngineParams::default()
        };
        let mut cluster = cluster(DRAIN, ENTRIES, ENGINES, params).await;
        let addr = cluster.entries[0].listen;
        let mut stream = client().stream(addr, "report len=300").await.unwrap();
        stream.receive(5).await;
        cluster.entries[0].terminate();
        compio::time::sleep(Duration::from_millis(900)).await;
        cluster.entries[1].freeze();
        while stream.next().await {}
        assert!(stream.received.moved, "{:?}", stream.received);
        assert!(cluster.entries[0].wait(Duration::from_secs(5)));
        cluster.entries[1].thaw();
    });
}

/// Guards against a fetched stream without an end.
#[test]
fn stream_that_a_stopping_entry_passes_on_says_where_its_rest_is() {
    check(Kind::Stream);
}

/// Guards against the fetch of a whole answer without a response.
#[test]
fn answer_that_a_stopping_entry_waits_for_says_where_it_is() {
    check(Kind::Buffered);
}
