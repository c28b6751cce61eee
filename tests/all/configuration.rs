//! The declared configuration under races, restarts and outages.

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

/// The target's time until a change is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(13);

async fn start() -> Cluster {
    cluster("", ENTRIES, &[], EngineParams::default()).await
}

fn share(value: f64) -> Value {
    json!({"workspaces": {"riigi": {"share": value}}})
}

#[test]
fn one_of_ten_racing_patches_wins() {
    run(async {
        let cluster = start().await;
        let writers: Vec<String> = (0..10).map(|n| format!("operator-{n}")).collect();
        let patches = writers
            .iter()
            .enumerate()
            .map(|(n, writer)| cluster.patch(n % 3, 1, writer, share(2.0 + n as f64)));
        let replies = join_all(patches).await;
        let won = replies.iter().position(|reply| reply.status == 200);
        let won = won.expect("one patch wins");
        for (n, reply) in replies.iter().enumerate().filter(|(n, _)| *n != won) {
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
        assert_eq!(config["workspaces"]["riigi"]["share"], 2.0 + won as f64);
    });
}

/// The answer to the write is lost: the patch is reported as accepted, once,
/// and sending it again changes nothing.
#[test]
fn lost_answer_to_a_patch_is_recognized() {
    run(async {
        let cluster = start().await;
        cluster.platform.state().faults.lose_answers = 1;
        let reply = cluster.patch(0, 1, "once", share(3.0)).await;
        assert_eq!(reply.json::<Value>().unwrap()["number"], 2, "{reply:?}");
        let again = cluster.patch(1, 1, "once", share(3.0)).await;
        assert_eq!(again.json::<Value>().unwrap()["number"], 2, "{again:?}");
        cluster.wait_for_config(2).await;
    });
}

#[test]
fn restarted_entry_takes_the_newest_configuration_from_its_peers() {
    run(async {
        let mut cluster = start().await;
        cluster.patch(0, 1, "second", share(2.0)).await;
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

/// With neither platform nor peers an entry can't know that its configuration
/// is not outdated, so it is not ready; it becomes so by itself.
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

/// A slow platform, and watches whose history is gone.
#[test]
fn change_is_in_force_everywhere_within_the_target() {
    run(async {
        let cluster = start().await;
        for (number, prepare) in [("slow", 0), ("gone", 1), ("plain", 2)].iter().enumerate() {
            {
                let mut state = cluster.platform.state();
                state.faults.delay = Duration::from_millis(if prepare.1 == 0 { 300 } else { 0 });
                state.faults.watch_gone = prepare.1 == 1;
            }
            let number = number as u64 + 1;
            let start = std::time::Instant::now();
            let reply = cluster
                .patch(0, number, prepare.0, share(1.0 + number as f64))
                .await;
            assert_eq!(reply.status, 200, "{reply:?}");
            cluster.wait_for_config(number + 1).await;
            assert!(
                start.elapsed() < IN_FORCE,
                "{}: {:?}",
                prepare.0,
                start.elapsed()
            );
        }
    });
}
