//! Reclaims of upstreams and entries, announced and not.

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

fn slow() -> EngineParams {
    EngineParams {
        step: Duration::from_millis(5),
        ..EngineParams::default()
    }
}

/// Half of a domain's engines and one entry are reclaimed together. Every
/// stream that was accepted must arrive whole.
#[test]
fn wave_over_engines_and_an_entry_loses_no_token() {
    run(async {
        let engines = [
            ("engine-1", "tallinn-a"),
            ("engine-2", "tallinn-a"),
            ("engine-3", "tallinn-a"),
            ("engine-4", "tallinn-a"),
        ];
        let mut cluster = cluster("", ENTRIES, &engines, slow()).await;
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
        let wave = async {
            compio::time::sleep(Duration::from_millis(400)).await;
            let left = Duration::from_millis(1500);
            for name in ["engine-1", "engine-2", "entry-b"] {
                cluster.platform.state().reclaim(name, left, false);
            }
            compio::time::sleep(left).await;
            cluster.engines[0].1.kill();
            cluster.engines[1].1.kill();
            cluster.entries[1].kill();
        };
        let (received, ()) = join(join_all(streams), wave).await;
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

/// The entry that relays a stream is killed in the middle of a reclaim. The
/// caller comes back elsewhere and gets the rest.
#[test]
fn killed_entry_leaves_its_streams_to_the_replica() {
    run(async {
        let engines = [("engine-1", "tallinn-a"), ("engine-2", "tallinn-b")];
        let mut cluster = cluster("", ENTRIES, &engines, slow()).await;
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

/// Engines die without any notice; their streams are computed again elsewhere.
#[test]
fn engine_lost_without_notice_is_replaced() {
    run(async {
        let engines = [("engine-1", "tallinn-a"), ("engine-2", "tallinn-b")];
        let mut cluster = cluster("", ENTRIES, &engines, slow()).await;
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
        let lost = cluster.metric(0, "lycheehaven_recomputed_tokens").await;
        assert!(lost >= 40.0, "recomputed tokens are counted: {lost}");
    });
}

/// The VM list says nothing and only entries of another domain hear the notice:
/// within seconds no entry sends new work to the leaving engine.
#[test]
fn leaving_engine_gets_no_new_work_though_the_vm_list_lags() {
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
        assert_eq!(before, after, "the leaving engine got new work");
    });
}

/// Every engine is leaving at once and the replacement comes late: the streams
/// run on where they are, and nothing is lost.
#[test]
fn streams_stay_while_there_is_nowhere_to_go() {
    run(async {
        let engines = [("engine-1", "tallinn-a"), ("engine-2", "tallinn-b")];
        let mut cluster = cluster("", ENTRIES, &engines, slow()).await;
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
        cluster.add_engine("engine-3", "tallinn-a", "poleer-llm", slow());
        compio::time::sleep(Duration::from_millis(1000)).await;
        cluster.engines[0].1.kill();
        cluster.engines[1].1.kill();
        while stream.next().await {}
        assert_eq!(stream.received.text, full_answer(prompt, 400));
    });
}

/// An entry is frozen until its replica has taken a stream over. When it goes
/// on, it gives way: its old connection says that the answer moved.
#[test]
fn thawed_entry_gives_way_to_the_replica() {
    run(async {
        let engines = [("engine-1", "tallinn-a"), ("engine-2", "tallinn-b")];
        let cluster = cluster("", ENTRIES, &engines, slow()).await;
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
