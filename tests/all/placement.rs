//! Placement by the holder of a failure domain's lease.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use lycheehaven_net::HttpClient;
use lycheehaven_platform::VmSpec;
use lycheehaven_standins::Cluster;
use lycheehaven_standins::Engine;
use lycheehaven_standins::EngineParams;
use lycheehaven_standins::Platform;
use lycheehaven_standins::ephemeral_addr;
use lycheehaven_standins::wait_until;
use lycheehaven_upstream::protocol::ModelOrder;
use serde_json::json;

use crate::support::DAEMON;
use crate::support::cluster;
use crate::support::run;

const ENTRIES: &[(&str, &str)] = &[("entry-a", "arima"), ("entry-b", "arima")];

const PLACEMENT: &str = "[placement]\nenabled = true\nlease_ms = 1500\nperiod_ms = 100";

/// Returns the entry that was the last to log that it holds the lease.
fn lease_holder(cluster: &Cluster) -> Option<usize> {
    let times = cluster
        .entries
        .iter()
        .enumerate()
        .filter_map(|(index, entry)| {
            let line = entry.log_lines("lease held").pop()?;
            Some((line["time"].as_str()?.to_owned(), index))
        });
    times.max().map(|(_, index)| index)
}

async fn check_frozen_holder(fenced: bool) {
    let params = EngineParams {
        fenced,
        ..EngineParams::default()
    };
    let engines = [("engine-1", "arima"), ("engine-2", "arima")];
    let cluster = cluster(PLACEMENT, ENTRIES, &engines, params).await;
    let loaded = |version: &str| {
        cluster
            .engines
            .iter()
            .all(|(_, engine)| engine.state().model.version == version)
    };
    let declare =
        |version: &str| json!({"services": {"poleer-llm": {"version": version, "fenced": fenced}}});
    wait_until("a lease holder", || lease_holder(&cluster).is_some()).await;
    let old = lease_holder(&cluster).unwrap();
    let new = 1 - old;
    cluster.patch(new, 1, "v2", declare("2")).await;
    wait_until("version 2 to be loaded", || loaded("2")).await;
    cluster.entries[old].freeze();
    wait_until("the other entry to take over", || {
        !cluster.entries[new].log_lines("lease held").is_empty()
    })
    .await;
    let reply = cluster.patch(new, 2, "v3", declare("3")).await;
    assert_eq!(reply.status, 200, "{reply:?}");
    wait_until("version 3 to be loaded", || loaded("3")).await;
    cluster.entries[old].thaw();
    compio::time::sleep(Duration::from_secs(2)).await;
    assert!(loaded("3"), "the old holder reverted its successor's order");
    // An order of the old holder that is delivered only after the takeover.
    let late_order = ModelOrder {
        fence: 1,
        model: "base".into(),
        version: "2".into(),
        adapters: Vec::new(),
    };
    let addr = cluster.engines[0].1.addr();
    let body = serde_json::to_vec(&late_order).unwrap();
    let timeout = Duration::from_secs(5);
    let reply = HttpClient::new()
        .call(hyper::Method::POST, addr, "/v1/orders", body, timeout)
        .await;
    assert_eq!(reply.unwrap().status, if fenced { 409 } else { 200 });
    wait_until("the late order to be corrected", || loaded("3")).await;
}

#[test]
fn frozen_holder_with_engines_that_check_fencing_tokens() {
    run(check_frozen_holder(true));
}

#[test]
fn frozen_holder_with_engines_that_ignore_fencing_tokens() {
    run(check_frozen_holder(false));
}

/// Missing engines are created although the first creations are refused, a
/// reclaimed engine is replaced, and no excess engines are created.
#[test]
fn declared_replicas_are_maintained_despite_refusals_and_reclaims() {
    run(async {
        let engines: Arc<Mutex<Vec<Engine>>> = Arc::default();
        let started = engines.clone();
        let starter = move |_: &VmSpec| -> Option<SocketAddr> {
            let engine = Engine::start(ephemeral_addr(), EngineParams::default());
            let addr = engine.addr();
            started.lock().unwrap().push(engine);
            Some(addr)
        };
        let platform = Platform::start_with(ephemeral_addr(), starter);
        platform.state().faults.refuse_creations = 2;
        let mut cluster = Cluster::with_platform(platform, DAEMON);
        cluster.extra_settings = PLACEMENT.into();
        cluster.add_entry("entry-a", "arima");
        cluster.add_entry("entry-b", "arima");
        cluster.wait_until_joined().await;
        cluster.declare_default().await;
        let change = json!({"services": {"poleer-llm": {"replicas": {"arima": 3}}}});
        assert_eq!(cluster.patch(0, 1, "three", change).await.status, 200);
        let live = |cluster: &Cluster| {
            let (_, vms) = cluster.platform.state().vm_list("arima");
            let upstreams = vms.iter().filter(|vm| &*vm.service == "poleer-llm");
            upstreams
                .filter(|vm| vm.state == lycheehaven_platform::VmState::Live)
                .count()
        };
        wait_until("three engines", || live(&cluster) == 3).await;
        let names: Vec<String> = cluster
            .platform
            .state()
            .created
            .iter()
            .map(|spec| spec.name.to_string())
            .collect();
        cluster
            .platform
            .state()
            .reclaim(&names[0], Duration::from_secs(2), true);
        wait_until("a replacement", || live(&cluster) == 3).await;
        compio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(live(&cluster), 3);
        assert_eq!(
            cluster.platform.state().created.len(),
            4,
            "no VM is created twice"
        );
    });
}
