//! The operators' command line.

use std::process::Command;
use std::process::Output;

use lycheehaven_standins::Cluster;
use lycheehaven_standins::OPERATOR_KEY;
use lycheehaven_standins::WORKSPACE_KEY;
use serde_json::Value;

use crate::support::run;
use crate::support::small_cluster;

fn ctl(cluster: &Cluster, args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lycheectl"));
    for entry in &cluster.entries {
        command.args(["--entry", &entry.listen.to_string()]);
    }
    command
        .args(["--key", OPERATOR_KEY])
        .args(args)
        .output()
        .expect("lycheectl can be started")
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn load_run_is_reported_and_its_history_verified() {
    run(async {
        let cluster = small_cluster().await;
        let folder = tempfile::tempdir().unwrap();
        let scenario = folder.path().join("scenario.toml");
        let history = folder.path().join("history.jsonl");
        let kinds = format!(
            "seed = 7\nseconds = 1.0\npatience_s = 20\n\
             [[mix]]\nname = \"label\"\nkind = \"stream\"\nkey = \"{WORKSPACE_KEY}\"\n\
             service = \"poleer-llm\"\nrate = 20.0\nown_words = 5\n\
             [[mix]]\nname = \"quote\"\nkind = \"once\"\nkey = \"{WORKSPACE_KEY}\"\n\
             service = \"hinnalaud\"\npath = \"/quote\"\nrate = 10.0\n"
        );
        std::fs::write(&scenario, kinds).unwrap();
        let (scenario, history) = (scenario.to_str().unwrap(), history.to_str().unwrap());
        let report = ctl(
            &cluster,
            &["--json", "--history", history, "load", scenario],
        );
        assert!(report.status.success(), "{report:?}");
        let report: Value = serde_json::from_str(&text(&report)).unwrap();
        for kind in report["kinds"].as_array().unwrap() {
            assert!(kind["sent"].as_u64() > Some(0), "{kind}");
            assert_eq!(kind["sent"], kind["whole"], "{kind}");
        }
        let verified = ctl(&cluster, &["verify", history]);
        assert!(verified.status.success(), "{verified:?}");
        assert!(text(&verified).contains(" 0 violations"));
    });
}

#[test]
fn commands_answer_and_wrong_ones_say_why() {
    run(async {
        let cluster = small_cluster().await;
        assert!(text(&ctl(&cluster, &["status"])).contains("entry-b"));
        assert!(text(&ctl(&cluster, &["vms"])).contains("engine-1"));
        assert!(text(&ctl(&cluster, &["config", "get"])).contains("poleer-llm"));
        assert!(text(&ctl(&cluster, &["config", "history"])).contains("declare-default"));
        assert_eq!(text(&ctl(&cluster, &["key"])).trim().len(), 36);
        for args in [
            &["load", "/nonexistent.toml"][..],
            &["nonsense"],
            &["config", "patch", "x"],
        ] {
            let output = ctl(&cluster, args);
            assert_eq!(output.status.code(), Some(2), "{args:?}");
            assert!(!output.stderr.is_empty(), "{args:?}");
        }
        let mut nobody = Command::new(env!("CARGO_BIN_EXE_lycheectl"));
        nobody.args(["--entry", "127.0.0.1:1", "--key", OPERATOR_KEY, "status"]);
        assert_eq!(nobody.output().unwrap().status.code(), Some(3));
    });
}
