//! Reclaims of upstreams and entries, with and without notice.

use std::time::Duration;

use futures_util::future::join;
use futures_util::future::join_all;
use lycheehaven_standins::EngineParams;
use lycheehaven_standins::full_answer;

use crate::support::client;
use crate::support::cluster;
use crate::support::run;

const ENTRIES: &[(&str, &str)] = &[
    ("entry-a", "tallinn-a"),
    ("entry-b", "tallinn-a"),
    ("entry-c", "tallinn-b"),
];

fn slow_params() -> EngineParams {
    EngineParams {
        step: Duration::from_millis(5),
        ..EngineParams::default()
    }
}

/// Half of a failure domain's engines and one entry are reclaimed together. Every
/// accepted stream must still be received completely.
#[test]
fn reclaim_of_engines_and_entry_loses_no_tokens() {
    run(async {
        let engines = [
            ("engine-1", "tallinn-a"),
            ("engine-2", "tallinn-a"),
            ("engine-3", "tallinn-a"),
            ("engine-4", "tallinn-a"),
        ];
        let mut cluster = cluster("", ENTRIES, &engines, slow_params()).await;
        let addresses: Vec<_> = cluster.entries.iter().map(|entry| entry.listen).collect();
        let prompts: Vec<String> = (0..24)
            .map(|n| format!("estimate {n} len={}", 200 + n * 20))
            .collect();
        let streams = prompts.iter().enumerate().map(|(n, prompt)| {
            let mut order = addresses.clone();
            order.rotate_left(n % addresses.len());
            let client = client();
            async move { client.stream_to_end(&order, prompt).await }
        });
        let reclaims = async {
            compio::time::sleep(Duration::from_millis(400)).await;
            let time_left = Duration::from_millis(1500);
            for name in ["engine-1", "engine-2", "entry-b"] {
                cluster.platform.state().reclaim(name, time_left, false);
            }
            compio::time::sleep(time_left).await;
            cluster.engines[0].1.kill();
            cluster.engines[1].1.kill();
            cluster.entries[1].kill();
        };
        let (received, ()) = join(join_all(streams), reclaims).await;
        for (n, (prompt, received)) in prompts.iter().zip(received).enumerate() {
            assert_eq!(
                received.text,
                full_answer(prompt, 200 + n * 20),
                "{received:?}"
            );
            assert_eq!(received.finish.as_deref(), Some("stop"));
        }
    });
}

/// The entry that relays a stream is killed during a reclaim. The caller resumes
/// through another entry and receives the rest.
#[test]
fn stream_of_killed_entry_resumes_from_replica() {
    run(async {
        let engines = [("engine-1", "tallinn-a"), ("engine-2", "tallinn-b")];
        let mut cluster = cluster("", ENTRIES, &engines, slow_params()).await;
        let prompt = "gilding of the altar rail len=500";
        let mut stream = client()
            .stream(cluster.entries[0].listen, prompt)
            .await
            .unwrap();
        stream.receive(50).await;
        cluster
            .platform
            .state()
            .reclaim("engine-1", Duration::from_millis(600), true);
        compio::time::sleep(Duration::from_millis(100)).await;
        cluster.entries[0].kill();
        while stream.next().await {}
        assert!(stream.received.finish.is_none());
        let others = [cluster.entries[1].listen, cluster.entries[2].listen];
        let mut received = stream.received;
        for addr in others.iter().cycle().take(40) {
            let mut rest = client().resume(*addr, &received).await.unwrap();
            while rest.next().await {}
            if rest.received.error.is_none() {
                received = rest.received;
            }
            if received.finish.is_some() {
                break;
            }
            compio::time::sleep(Duration::from_millis(100)).await;
        }
        assert_eq!(received.text, full_answer(prompt, 500));
    });
}

/// An engine is lost without notice. Its stream is recomputed elsewhere.
#[test]
fn stream_survives_engine_loss_without_notice() {
    run(async {
        let engines = [("engine-1", "tallinn-a"), ("engine-2", "tallinn-b")];
        let mut cluster = cluster("", ENTRIES, &engines, slow_params()).await;
        let prompt = "veneer of a harmonium len=300";
        let mut stream = client()
            .stream(cluster.entries[0].listen, prompt)
            .await
            .unwrap();
        stream.receive(40).await;
        let busy = cluster
            .engines
            .iter()
            .position(|(_, engine)| engine.state().streams() > 0);
        cluster.engines[busy.unwrap()].1.kill();
        while stream.next().await {}
        assert_eq!(stream.received.text, full_answer(prompt, 300));
        let recomputed = cluster.metric(0, "lycheehaven_recomputed_tokens").await;
        assert!(
            recomputed >= 40.0,
            "recomputed tokens are counted: {recomputed}"
        );
    });
}

/// The VM list is stale, and only entries of one failure domain receive the
/// notice. After 2 s no entry sends new requests to the leaving engine.
#[test]
fn leaving_engine_gets_no_requests_though_vm_list_is_stale() {
    run(async {
        let engines = [("engine-1", "tallinn-b"), ("engine-2", "tallinn-a")];
        let cluster = cluster("", ENTRIES, &engines, EngineParams::default()).await;
        cluster.platform.state().set_vm_list_stale(true);
        cluster
            .platform
            .state()
            .reclaim("engine-1", Duration::from_secs(60), false);
        compio::time::sleep(Duration::from_secs(2)).await;
        let before = cluster.engines[0].1.state().executions.len();
        for n in 0..30 {
            let addr = cluster.entries[n % 3].listen;
            let reply = client()
                .complete(addr, &format!("label {n} len=3"))
                .await
                .unwrap();
            assert_eq!(reply.status, 200);
        }
        let after = cluster.engines[0].1.state().executions.len();
        assert_eq!(before, after, "the leaving engine got new requests");
    });
}

/// All engines are leaving at the same time and the replacement starts late. The
/// streams stay on their engines until then, and no token is lost.
#[test]
fn streams_stay_while_no_target_is_available() {
    run(async {
        let engines = [("engine-1", "tallinn-a"), ("engine-2", "tallinn-b")];
        let mut cluster = cluster("", ENTRIES, &engines, slow_params()).await;
        let prompt = "whole gallery of frames len=400";
        let mut stream = client()
            .stream(cluster.entries[0].listen, prompt)
            .await
            .unwrap();
        stream.receive(20).await;
        {
            let mut state = cluster.platform.state();
            state.reclaim("engine-1", Duration::from_millis(1500), true);
            state.reclaim("engine-2", Duration::from_millis(1500), true);
        }
        stream.receive(100).await;
        cluster.add_engine("engine-3", "tallinn-a", "poleer-llm", slow_params());
        compio::time::sleep(Duration::from_millis(1000)).await;
        cluster.engines[0].1.kill();
        cluster.engines[1].1.kill();
        while stream.next().await {}
        assert_eq!(stream.received.text, full_answer(prompt, 400));
    });
}

/// An entry is frozen until its replica has taken over a stream. Once thawed, it
/// must yield the stream: its old connection reports that the answer moved, or ends
/// with the rest of the answer, and carries no wrong token.
#[test]
fn thawed_entry_yields_stream_to_replica() {
    run(async {
        let engines = [("engine-1", "tallinn-a"), ("engine-2", "tallinn-b")];
        let cluster = cluster("", ENTRIES, &engines, slow_params()).await;
        let prompt = "inlay of a chess table len=700";
        let mut stream = client()
            .stream(cluster.entries[0].listen, prompt)
            .await
            .unwrap();
        stream.receive(30).await;
        cluster.entries[0].freeze();
        let mut taken = None;
        while taken.is_none() {
            let addr = cluster.entries[1].listen;
            let mut rest = client().resume(addr, &stream.received).await.unwrap();
            rest.next().await;
            taken = Some(rest).filter(|rest| rest.received.error.is_none());
            compio::time::sleep(Duration::from_millis(100)).await;
        }
        cluster.entries[0].thaw();
        let mut rest = taken.unwrap();
        while rest.next().await {}
        assert_eq!(rest.received.text, full_answer(prompt, 700));
        while stream.next().await {}
        let received = stream.received;
        assert!(received.moved || received.finish.is_some(), "{received:?}");
        assert!(full_answer(prompt, 700).starts_with(&received.text));
    });
}
