//! The complete path: declare, stream, and survive a reclaim with notice.

use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::time::Duration;

use lycheehaven_net::HttpClient;
use lycheehaven_standins::Cluster;
use lycheehaven_standins::EngineParams;
use lycheehaven_standins::EntryProcess;
use lycheehaven_standins::OPERATOR_KEY;
use lycheehaven_standins::WORKSPACE_KEY;
use lycheehaven_standins::full_answer;
use lycheehaven_standins::wait_until;
use serde_json::Value;
use serde_json::json;

use crate::support::DAEMON;
use crate::support::client;
use crate::support::cluster;
use crate::support::run;

const ENTRIES: &[(&str, &str)] = &[("entry-a", "tallinn-a"), ("entry-b", "tallinn-b")];
const ENGINES: &[(&str, &str)] = &[("engine-1", "tallinn-a"), ("engine-2", "tallinn-a")];

#[test]
fn stream_survives_reclaim_with_notice() {
    run(async {
        let params = EngineParams {
            step: Duration::from_millis(5),
            ..EngineParams::default()
        };
        let mut cluster = cluster("", ENTRIES, ENGINES, params).await;
        let prompt = "estimate for the manor's oak table len=300";
        let mut stream = client()
            .stream(cluster.entries[0].listen, prompt)
            .await
            .unwrap();
        stream.receive(20).await;
        let busy = cluster
            .engines
            .iter()
            .position(|(_, engine)| engine.state().streams() > 0);
        let busy = busy.expect("an engine runs the stream");
        let name = cluster.engines[busy].0.clone();
        cluster
            .platform
            .state()
            .reclaim(&name, Duration::from_millis(900), true);
        compio::time::sleep(Duration::from_millis(900)).await;
        cluster.engines[busy].1.kill();
        while stream.next().await {}
        assert_eq!(stream.received.finish.as_deref(), Some("stop"));
        assert_eq!(stream.received.text, full_answer(prompt, 300));
    });
}

#[test]
fn completion_without_streaming_returns_one_body() {
    run(async {
        let cluster = cluster("", ENTRIES, ENGINES, EngineParams::default()).await;
        let prompt = "shellac on beech? len=12";
        let reply = client()
            .complete(cluster.entries[1].listen, prompt)
            .await
            .unwrap();
        assert_eq!(reply.status, 200);
        let value: serde_json::Value = reply.json().unwrap();
        assert_eq!(value["choices"][0]["text"], full_answer(prompt, 12));
        assert_eq!(value["usage"]["completion_tokens"], 12);
    });
}

/// A stand-in that runs as a child process.
struct Standin {
    addr: String,
    child: Child,
}

impl Standin {
    fn start(kind: &str) -> Self {
        let folder = Path::new(DAEMON)
            .parent()
            .expect("daemon path has a parent folder");
        let binary = folder.join("examples").join("standin");
        let hint = "run `cargo build --workspace --examples` first";
        let mut child = Command::new(binary)
            .arg(kind)
            .stdout(Stdio::piped())
            .spawn()
            .expect(hint);
        let mut addr = String::new();
        let stdout = child.stdout.take().expect("standard output is piped");
        BufReader::new(stdout)
            .read_line(&mut addr)
            .expect("stand-in prints its address");
        Self {
            addr: addr.trim().to_owned(),
            child,
        }
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn ctl(entry: &EntryProcess, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_lycheectl"))
        .args(["--entry", &entry.listen.to_string(), "--key", OPERATOR_KEY])
        .args(args)
        .output()
        .expect("lycheectl can be started")
}

#[test]
fn system_of_separate_processes_survives_reclaim() {
    run(async {
        let [platform, first, second, service] =
            ["platform", "engine", "engine", "service"].map(Standin::start);
        let control_client = HttpClient::new();
        let platform_addr = platform.addr.parse().unwrap();
        let control = async |message: Value| {
            let timeout = Duration::from_secs(5);
            control_client
                .post_json::<bool>(platform_addr, "/control", &message, timeout)
                .await
                .unwrap()
        };
        let listed = [
            ("engine-1", "poleer-llm", &first.addr),
            ("engine-2", "poleer-llm", &second.addr),
            ("price-1", "hinnalaud", &service.addr),
        ];
        for (name, service, addr) in listed {
            let vm = json!({"name": name, "domain": "maardu", "service": service, "addr": addr});
            control(json!({"add_vm": vm})).await;
        }
        let dir = tempfile::tempdir().unwrap();
        let mut config = Cluster::new(DAEMON);
        config.platform_addr = platform_addr;
        let mut entries = Vec::new();
        for name in ["entry-a", "entry-b"] {
            let settings = config.settings(name, "maardu");
            let entry = EntryProcess::start(Path::new(DAEMON), dir.path(), name, &settings);
            let addr = entry.peer_listen.to_string();
            let vm =
                json!({"name": name, "domain": "maardu", "service": "lycheehaven", "addr": addr});
            control(json!({"add_vm": vm})).await;
            entries.push(entry);
        }
        let file = dir.path().join("declare.json");
        let change = json!({
            "services": {"poleer-llm": {"kind": "model"}},
            "workspaces": {"riigi": {"keys": [WORKSPACE_KEY]}},
        });
        std::fs::write(&file, change.to_string()).unwrap();
        let file = file.to_str().unwrap();
        wait_until("entries to be ready", || {
            entries
                .iter()
                .all(|entry| !entry.log_lines("ready").is_empty())
        })
        .await;
        let declared = ctl(&entries[0], &["--base", "0", "config", "patch", file]);
        assert!(declared.status.success(), "{declared:?}");
        let outdated = ctl(&entries[1], &["--base", "0", "config", "patch", file]);
        assert_eq!(outdated.status.code(), Some(1), "{outdated:?}");
        wait_until("the engines and the configuration on entry-b", || {
            let listed = String::from_utf8(ctl(&entries[1], &["vms"]).stdout).unwrap();
            let status = String::from_utf8(ctl(&entries[1], &["status"]).stdout).unwrap();
            listed.contains("engine-2") && status.contains("config    1")
        })
        .await;
        let prompt = "lacquer for the parish organ len=400";
        let mut stream = client().stream(entries[1].listen, prompt).await.unwrap();
        stream.receive(10).await;
        for name in ["engine-1", "engine-2"] {
            if was_routed_to(&entries[1], &stream.received.id, name) {
                control(json!({"reclaim": {"name": name, "left_ms": 500}})).await;
                break;
            }
        }
        while stream.next().await {}
        assert_eq!(stream.received.text, full_answer(prompt, 400));
        let explained = ctl(&entries[1], &["explain", &stream.received.id]);
        let explained = String::from_utf8(explained.stdout).unwrap();
        assert!(explained.contains("evacuate"), "{explained}");
    });
}

/// Returns whether `lycheectl explain` reports that `request` was routed to `vm`.
fn was_routed_to(entry: &EntryProcess, request: &str, vm: &str) -> bool {
    let explained = ctl(entry, &["explain", request]);
    String::from_utf8(explained.stdout)
        .unwrap()
        .contains(&format!("route -> {vm}"))
}
