//! Planned stops with a drain.

use std::time::Duration;

use futures_util::future::join;
use futures_util::future::join_all;
use lycheehaven_standins::EngineParams;
use lycheehaven_standins::full_answer;

use crate::support::client;
use crate::support::cluster;
use crate::support::run;

const ENTRIES: &[(&str, &str)] = &[
    ("entry-a", "arima"),
    ("entry-b", "arima"),
    ("entry-c", "chaguanas"),
];

const ENGINES: &[(&str, &str)] = &[("engine-1", "arima"), ("engine-2", "chaguanas")];

const DRAIN: &str = "[drain]\nlag_ms = 200\nfinish_ms = 15000";

/// Each entry is stopped in turn while it relays streams. The drain must let each
/// stream finish on its connection.
#[test]
fn streams_finish_while_entries_stop_in_turn() {
    run(async {
        let params = EngineParams {
            step: Duration::from_millis(4),
            ..EngineParams::default()
        };
        let mut cluster = cluster(DRAIN, ENTRIES, ENGINES, params).await;
        for (index, (_, domain)) in ENTRIES.iter().enumerate() {
            let addr = cluster.entries[index].listen;
            let prompts: Vec<String> = (0..8)
                .map(|n| format!("weekly report {index}-{n} len=250"))
                .collect();
            let streams = prompts.iter().map(|prompt| async move {
                let mut stream = client().stream(addr, prompt).await.unwrap();
                while stream.next().await {}
                stream.received
            });
            let stop = async {
                compio::time::sleep(Duration::from_millis(300)).await;
                cluster.entries[index].terminate();
            };
            let (received, ()) = join(join_all(streams), stop).await;
            for (prompt, received) in prompts.iter().zip(received) {
                assert_eq!(received.text, full_answer(prompt, 250), "{received:?}");
                assert_eq!(received.finish.as_deref(), Some("stop"));
            }
            assert!(
                cluster.entries[index].wait(Duration::from_secs(20)),
                "entry does not exit within 20 s"
            );
            cluster.restart_entry(index, domain);
            cluster.wait_until_joined().await;
        }
    });
}

/// A second signal ends the drain. Open streams are handed over to a peer, where
/// callers resume them.
#[test]
fn second_signal_hands_over_streams() {
    run(async {
        let params = EngineParams {
            step: Duration::from_millis(5),
            ..EngineParams::default()
        };
        let mut cluster = cluster(DRAIN, ENTRIES, ENGINES, params).await;
        let addresses: Vec<_> = cluster.entries.iter().map(|entry| entry.listen).collect();
        let prompts: Vec<String> = (0..6).map(|n| format!("report {n} len=600")).collect();
        let streams = prompts.iter().map(|prompt| {
            let addresses = addresses.clone();
            async move { client().stream_to_end(&addresses, prompt).await }
        });
        let stop = async {
            compio::time::sleep(Duration::from_millis(300)).await;
            cluster.entries[0].terminate();
            compio::time::sleep(Duration::from_millis(400)).await;
            cluster.entries[0].terminate();
        };
        let (received, ()) = join(join_all(streams), stop).await;
        for (prompt, received) in prompts.iter().zip(received) {
            assert_eq!(received.text, full_answer(prompt, 600), "{received:?}");
        }
        assert!(
            cluster.entries[0].wait(Duration::from_secs(20)),
            "entry does not exit within 20 s"
        );
    });
}

/// A draining entry fails the load balancer's readiness check while it still
/// serves requests.
#[test]
fn draining_entry_is_healthy_but_not_ready() {
    run(async {
        let drain = "[drain]\nlag_ms = 2000\nfinish_ms = 5000";
        let cluster = cluster(drain, ENTRIES, ENGINES, EngineParams::default()).await;
        let addr = cluster.entries[0].listen;
        let http = lycheehaven_net::HttpClient::new();
        let probe = async |path: &str| {
            let timeout = Duration::from_secs(2);
            let reply = http.call(hyper::Method::GET, addr, path, "", timeout).await;
            reply.expect("entry responds").status
        };
        assert_eq!(probe("/readyz").await, 200);
        cluster.entries[0].terminate();
        compio::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(probe("/readyz").await, 503);
        assert_eq!(probe("/healthz").await, 200);
        let reply = client().complete(addr, "late label len=3").await.unwrap();
        assert_eq!(
            reply.status, 200,
            "requests are served until the load balancer notices the drain"
        );
    });
}
