//! Calls that must run at most once.

use std::time::Duration;

use futures_util::future::join;
use futures_util::future::join3;
use hyper::Method;
use lycheehaven_net::Reply;
use lycheehaven_standins::Cluster;
use lycheehaven_standins::EngineParams;
use lycheehaven_standins::Fault;
use lycheehaven_standins::PlainService;
use lycheehaven_standins::Proxy;
use lycheehaven_standins::ephemeral_addr;
use lycheehaven_standins::wait_until;
use serde_json::Value;

use crate::support::DAEMON;
use crate::support::client;
use crate::support::cluster;
use crate::support::run;

const ENTRIES: &[(&str, &str)] = &[
    ("entry-a", "arima"),
    ("entry-b", "arima"),
    ("entry-c", "chaguanas"),
];

async fn start() -> Cluster {
    cluster("", ENTRIES, &[], EngineParams::default()).await
}

fn new_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

async fn quote(cluster: &Cluster, entry: usize, key: &str) -> Reply {
    let addr = cluster.entries[entry].listen;
    let path = "hinnalaud/quote";
    client()
        .call(addr, Method::POST, path, Some(key), "oak table")
        .await
        .unwrap()
}

fn error_body(reply: &Reply) -> Value {
    reply.json::<Value>().unwrap()["error"].clone()
}

/// The platform's response to the claim's write is lost while the call is retried
/// through other entries. The call must still run exactly once.
#[test]
fn call_with_lost_claim_response_runs_once() {
    run(async {
        let cluster = start().await;
        let key = new_key();
        cluster.platform.state().faults.lose_responses = 1;
        let (first, second, third) = join3(
            quote(&cluster, 0, &key),
            quote(&cluster, 1, &key),
            quote(&cluster, 2, &key),
        )
        .await;
        assert_eq!(cluster.services[0].1.state().run_count(&key), 1);
        for reply in [&first, &second, &third] {
            assert_eq!(reply.status, 200, "{reply:?}");
            assert_eq!(reply.body, first.body);
        }
    });
}

/// The holder is frozen between the write of its claim and the call, for longer
/// than any timeout of the other entries. The call must run once, and no entry
/// may report it as not run.
#[test]
fn call_of_frozen_holder_runs_once_and_is_never_reported_not_run() {
    run(async {
        let cluster = start().await;
        let key = new_key();
        cluster.platform.state().faults.write_delay = Duration::from_millis(700);
        let retries = async {
            wait_until("the claim to take effect", || {
                !cluster.platform.state().keys("claims/").is_empty()
            })
            .await;
            cluster.entries[0].freeze();
            cluster.platform.state().faults.write_delay = Duration::ZERO;
            let early = join(quote(&cluster, 1, &key), quote(&cluster, 2, &key)).await;
            compio::time::sleep(Duration::from_secs(3)).await;
            let late = quote(&cluster, 1, &key).await;
            assert_eq!(cluster.services[0].1.state().run_count(&key), 0);
            cluster.entries[0].thaw();
            [early.0, early.1, late]
        };
        let (first, others) = join(quote(&cluster, 0, &key), retries).await;
        for reply in &others {
            assert_eq!(reply.status, 409, "{reply:?}");
            assert_eq!(error_body(reply)["outcome"], "unknown");
        }
        assert_eq!(first.status, 200, "{first:?}");
        let mut again = quote(&cluster, 2, &key).await;
        // The thawed holder is considered dead until its next heartbeat arrives.
        while again.status == 409 {
            assert!(again.headers.contains_key("retry-after"), "{again:?}");
            compio::time::sleep(Duration::from_millis(100)).await;
            again = quote(&cluster, 2, &key).await;
        }
        assert_eq!(again.body, first.body);
        assert_eq!(cluster.services[0].1.state().run_count(&key), 1);
    });
}

/// The holder is killed. Its replica returns the response of the call that was
/// completed, and the call that was interrupted must not run again.
#[test]
fn calls_of_killed_holder_do_not_run_again() {
    run(async {
        let mut cluster = start().await;
        let answered = new_key();
        let first = quote(&cluster, 0, &answered).await;
        assert_eq!(first.status, 200);
        let interrupted = new_key();
        cluster.services[0].1.state().delay = Duration::from_secs(2);
        let kill = async {
            wait_until("the call to run", || {
                cluster.services[0].1.state().run_count(&interrupted) == 1
            })
            .await;
        };
        let addr = cluster.entries[0].listen;
        let client = client();
        let call = client.call(
            addr,
            Method::POST,
            "hinnalaud/quote",
            Some(&interrupted),
            "oak table",
        );
        futures_util::pin_mut!(call);
        futures_util::future::select(call, Box::pin(kill)).await;
        cluster.entries[0].kill();
        cluster.services[0].1.state().delay = Duration::ZERO;
        let again = quote(&cluster, 1, &answered).await;
        assert_eq!(again.body, first.body);
        let reply = quote(&cluster, 2, &interrupted).await;
        assert_eq!(error_body(&reply)["outcome"], "unknown", "{reply:?}");
        assert_eq!(cluster.services[0].1.state().run_count(&interrupted), 1);
        assert_eq!(cluster.services[0].1.state().run_count(&answered), 1);
    });
}

/// No upstream accepts connections. The call is reported as not run, and a retry
/// with the same key through another entry runs it.
#[test]
fn call_reported_not_run_can_be_retried_with_same_key() {
    run(async {
        let mut cluster = start().await;
        let key = new_key();
        cluster.services[0].1.kill();
        let refused = quote(&cluster, 0, &key).await;
        assert_eq!(refused.status, 503, "{refused:?}");
        assert_eq!(error_body(&refused)["outcome"], "not_run");
        assert!(refused.headers.contains_key("retry-after"));
        cluster.platform.state().remove_vm("price-1");
        cluster.add_service("price-2", "arima", "hinnalaud");
        let mut reply = quote(&cluster, 1, &key).await;
        for _ in 0..100 {
            if reply.status == 200 {
                break;
            }
            assert_eq!(error_body(&reply)["outcome"], "not_run", "{reply:?}");
            compio::time::sleep(Duration::from_millis(50)).await;
            reply = quote(&cluster, 1, &key).await;
        }
        assert_eq!(reply.status, 200, "{reply:?}");
        assert_eq!(cluster.services[1].1.state().run_count(&key), 1);
    });
}

#[test]
fn idempotency_key_rules_are_enforced() {
    run(async {
        let cluster = start().await;
        let addr = cluster.entries[0].listen;
        let call = async |key: Option<&str>, body: &str| {
            client()
                .call(addr, Method::POST, "hinnalaud/quote", key, body)
                .await
                .unwrap()
        };
        assert_eq!(error_body(&call(None, "a").await)["kind"], "key_required");
        assert_eq!(
            error_body(&call(Some("abc"), "a").await)["kind"],
            "bad_request"
        );
        let old = "01800000-0000-7000-8000-000000000000";
        let expired = call(Some(old), "a").await;
        assert_eq!(error_body(&expired)["kind"], "key_expired");
        assert_eq!(error_body(&expired)["outcome"], "unknown");
        let key = new_key();
        assert_eq!(call(Some(&key), "a").await.status, 200);
        assert_eq!(
            error_body(&call(Some(&key), "b").await)["kind"],
            "key_reused"
        );
        let elsewhere = cluster.entries[1].listen;
        let reply = client()
            .call(elsewhere, Method::POST, "hinnalaud/quote", Some(&key), "b")
            .await
            .unwrap();
        assert_eq!(error_body(&reply)["kind"], "key_reused");
        assert_eq!(cluster.services[0].1.state().calls.len(), 1);
    });
}

/// A repeatable lookup must return the current price even if an earlier lookup
/// had the same idempotency key.
#[test]
fn repeated_price_lookup_returns_new_price() {
    run(async {
        let cluster = start().await;
        let key = new_key();
        for (n, price) in [120_u64, 95, 130].into_iter().enumerate() {
            cluster.services[0]
                .1
                .state()
                .prices
                .insert("varnish".into(), price);
            let addr = cluster.entries[n % 3].listen;
            let path = "hinnalaud/price/varnish";
            let reply = client()
                .call(addr, Method::GET, path, Some(&key), "")
                .await
                .unwrap();
            assert_eq!(reply.json::<Value>().unwrap()["price"], price);
            assert_eq!(reply.headers["cache-control"], "no-store");
        }
    });
}

/// The connection to the service breaks before, during and after the call, or
/// can't be opened. Only the last is `not_run`, and a retry never runs the call
/// again.
#[test]
fn interrupted_call_is_not_run_only_if_nothing_was_sent() {
    run(async {
        let mut cluster = Cluster::new(DAEMON);
        let service = PlainService::start(ephemeral_addr());
        let proxy = Proxy::start(service.addr());
        cluster
            .platform
            .state()
            .add_vm("price-1", "arima", "hinnalaud", proxy.addr());
        cluster.add_entry("entry-a", "arima");
        cluster.add_entry("entry-b", "arima");
        cluster.wait_until_joined().await;
        cluster.declare_default().await;
        let cases = [
            (Fault::CutRequestAfter(0), 0),
            (Fault::CutRequestAfter(40), 0),
            (Fault::LoseResponse, 1),
            (Fault::CutResponseAfter(10), 1),
        ];
        for (fault, runs) in cases {
            proxy.set(fault);
            let key = new_key();
            let mut reply = quote(&cluster, 0, &key).await;
            // After each failure the entry avoids the service for a while.
            while error_body(&reply)["kind"] == "no_upstream" {
                compio::time::sleep(Duration::from_millis(50)).await;
                reply = quote(&cluster, 0, &key).await;
            }
            assert_eq!(
                error_body(&reply)["outcome"],
                "unknown",
                "{fault:?}: {reply:?}"
            );
            proxy.set(Fault::Pass);
            for entry in [0, 1] {
                let again = quote(&cluster, entry, &key).await;
                assert_eq!(
                    error_body(&again)["outcome"],
                    "unknown",
                    "{fault:?}: {again:?}"
                );
            }
            assert_eq!(service.state().run_count(&key), runs, "{fault:?}");
        }
        drop(proxy);
        let key = new_key();
        let reply = quote(&cluster, 0, &key).await;
        assert_eq!(error_body(&reply)["outcome"], "not_run", "{reply:?}");
        assert_eq!(service.state().run_count(&key), 0);
    });
}

/// Guards against "not run" for a call that runs at another entry, of an entry that stops
/// while it waits for that one.
#[test]
fn call_that_runs_at_another_entry_is_not_reported_not_run_by_a_stop() {
    run(async {
        let cluster = start().await;
        let key = new_key();
        cluster.services[0].1.state().delay = Duration::from_secs(4);
        let retry = async {
            wait_until("the call to run", || {
                cluster.services[0].1.state().run_count(&key) == 1
            })
            .await;
            let stop = async {
                compio::time::sleep(Duration::from_millis(500)).await;
                cluster.entries[1].terminate();
                compio::time::sleep(Duration::from_millis(500)).await;
                // The second signal ends the work.
                cluster.entries[1].terminate();
            };
            join(quote(&cluster, 1, &key), stop).await.0
        };
        let (first, again) = join(quote(&cluster, 0, &key), retry).await;
        assert_eq!(first.status, 200, "{first:?}");
        assert_eq!(error_body(&again)["outcome"], "unknown", "{again:?}");
        assert_eq!(cluster.services[0].1.state().run_count(&key), 1);
    });
}
