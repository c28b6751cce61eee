//! The declared configuration under concurrent patches, restarts and outages.

use std::time::Duration;

use futures_util::future::join_all;
use lycheehaven_standins::Cluster;
use lycheehaven_standins::EngineParams;
use serde_json::Value;
use serde_json::json;

use crate::support::cluster;
use crate::support::run;

const ENTRIES: &[(&str, &str)] = &[
    ("entry-a", "maardu"),
    ("entry-b", "keila"),
    ("entry-c", "keila"),
];

/// Longest time until a change must be in force on all entries.
const IN_FORCE_TARGET: Duration = Duration::from_secs(13);

async fn start() -> Cluster {
    cluster("", ENTRIES, &[], EngineParams::default()).await
}

fn share_change(value: f64) -> Value {
    json!({"workspaces": {"riigi": {"share": value}}})
}

#[test]
fn one_of_ten_concurrent_patches_is_accepted() {
    run(async {
        let cluster = start().await;
        let writers: Vec<String> = (0..10).map(|n| format!("operator-{n}")).collect();
        let patches = writers
            .iter()
            .enumerate()
            .map(|(n, writer)| cluster.patch(n % 3, 1, writer, share_change(2.0 + n as f64)));
        let replies = join_all(patches).await;
        let accepted = replies.iter().position(|reply| reply.status == 200);
        let accepted = accepted.expect("one patch is accepted");
        for (n, reply) in replies.iter().enumerate().filter(|(n, _)| *n != accepted) {
            let error = reply.json::<Value>().unwrap()["error"].clone();
            assert_eq!(error["kind"], "config_conflict", "patch {n}: {reply:?}");
            assert!(error["message"].as_str().unwrap().contains('2'), "{error}");
        }
        let (_, body) = cluster
            .platform
            .state()
            .object("config")
            .map(|(v, b)| (v, b.to_vec()))
            .unwrap();
        let config: Value = serde_json::from_slice(&body).unwrap();
        assert_eq!(config["number"], 2);
        assert_eq!(
            config["workspaces"]["riigi"]["share"],
            2.0 + accepted as f64
        );
    });
}

/// The platform's response to the write is lost. The patch must be reported as
/// accepted, and a retry of it must change nothing.
#[test]
fn patch_with_lost_write_response_is_recognized() {
    run(async {
        let cluster = start().await;
        cluster.platform.state().faults.lose_responses = 1;
        let reply = cluster.patch(0, 1, "once", share_change(3.0)).await;
        assert_eq!(reply.json::<Value>().unwrap()["number"], 2, "{reply:?}");
        let again = cluster.patch(1, 1, "once", share_change(3.0)).await;
        assert_eq!(again.json::<Value>().unwrap()["number"], 2, "{again:?}");
        cluster.wait_for_config(2).await;
    });
}

#[test]
fn restarted_entry_gets_newest_configuration_from_peers() {
    run(async {
        let mut cluster = start().await;
        cluster.patch(0, 1, "second", share_change(2.0)).await;
        cluster.wait_for_config(2).await;
        cluster.platform.state().faults.outage = true;
        cluster.entries[0].kill();
        cluster.restart_entry(0, "maardu");
        cluster
            .wait_for_status(0, "ready in the outage", |status| status["ready"] == true)
            .await;
        assert_eq!(cluster.status(0).await["config"], 2);
        let lines = cluster.entries[0].log_lines("configuration in force");
        let numbers: Vec<&str> = lines
            .iter()
            .filter_map(|line| line["attributes"]["number"].as_str())
            .collect();
        assert_eq!(numbers, ["2"]);
    });
}

/// With neither platform nor peers an entry can't know whether its configuration
/// is outdated, so it is not ready. It becomes ready once the platform is back.
#[test]
fn entry_alone_in_an_outage_is_not_ready() {
    run(async {
        let mut cluster = start().await;
        cluster.platform.state().faults.outage = true;
        for entry in &mut cluster.entries {
            entry.kill();
        }
        cluster.restart_entry(0, "maardu");
        compio::time::sleep(Duration::from_millis(1500)).await;
        assert_eq!(cluster.status(0).await["ready"], false);
        cluster.platform.state().faults.outage = false;
        cluster
            .wait_for_status(0, "ready", |status| status["ready"] == true)
            .await;
        assert_eq!(cluster.status(0).await["config"], 1);
    });
}

/// A slow platform, and watches that fail because their version is too old, must
/// not delay a change beyond the target.
#[test]
fn change_is_in_force_on_all_entries_within_target() {
    run(async {
        let cluster = start().await;
        for (number, case) in [("slow", 0), ("gone", 1), ("plain", 2)].iter().enumerate() {
            {
                let mut state = cluster.platform.state();
                state.faults.delay = Duration::from_millis(if case.1 == 0 { 300 } else { 0 });
                state.faults.watch_gone = case.1 == 1;
            }
            let number = number as u64 + 1;
            let start = std::time::Instant::now();
            let reply = cluster
                .patch(0, number, case.0, share_change(1.0 + number as f64))
                .await;
            assert_eq!(reply.status, 200, "{reply:?}");
            cluster.wait_for_config(number + 1).await;
            assert!(
                start.elapsed() < IN_FORCE_TARGET,
                "{}: {:?}",
                case.0,
                start.elapsed()
            );
        }
    });
}
