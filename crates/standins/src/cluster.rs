//! A whole system on loopback: platform, upstreams and entry processes.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use hyper::body::Bytes;
use lycheehaven_net::HttpClient;
use lycheehaven_net::Reply;
use lycheehaven_types::Name;
use serde_json::Value;
use serde_json::json;

use crate::Engine;
use crate::EngineParams;
use crate::EntryProcess;
use crate::PlainService;
use crate::Platform;

/// Operators' key of test clusters.
pub const OPERATOR_KEY: &str = "operator-secret";

/// Key of workspace `riigi` in [`Cluster::declare_default`].
pub const WORKSPACE_KEY: &str = "riigi-secret-key";

/// Key of workspace `caroni` in [`Cluster::declare_default`].
pub const OTHER_WORKSPACE_KEY: &str = "caroni-secret-key";

/// Short periods, so that failures are noticed within a test's patience.
const TEST_TIMING: &str = "\
exchange_ms = 100
peer_dead_ms = 1500
vm_poll_ms = 100
load_poll_ms = 100
watch_ms = 5000
silence_ms = 5000";

const CALL_WAIT: Duration = Duration::from_secs(10);

/// How long states that must come about are waited for.
const PATIENCE: Duration = Duration::from_secs(30);

/// Any free port on loopback.
pub fn ephemeral_addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A cluster under test. Entries and upstreams can be added and killed.
pub struct Cluster {
    /// The platform.
    pub platform: Platform,
    /// Entries by index of their start.
    pub entries: Vec<EntryProcess>,
    /// Engines by index of their start.
    pub engines: Vec<(Name, Engine)>,
    /// Plain services by index of their start.
    pub services: Vec<(Name, PlainService)>,
    /// Platform address that entries started from now on use.
    pub platform_addr: SocketAddr,
    /// Body of the `[timing]` table of entries started from now on.
    pub timing: String,
    /// TOML added to the settings of entries started from now on.
    pub extra_settings: String,
    binary: PathBuf,
    dir: tempfile::TempDir,
}

impl Cluster {
    /// A cluster of a platform alone. `binary` is the daemon.
    pub fn new(binary: impl AsRef<Path>) -> Self {
        Self::with_platform(Platform::start(ephemeral_addr()), binary)
    }

    /// A cluster on a platform that was started already.
    pub fn with_platform(platform: Platform, binary: impl AsRef<Path>) -> Self {
        Self {
            platform_addr: platform.addr(),
            platform,
            entries: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            timing: TEST_TIMING.into(),
            extra_settings: String::new(),
            binary: binary.as_ref().into(),
            dir: tempfile::tempdir().expect("temporary folder can be made"),
        }
    }

    /// Starts an engine of `service` and lists its VM.
    pub fn add_engine(&mut self, name: &str, domain: &str, service: &str, params: EngineParams) {
        let engine = Engine::start(ephemeral_addr(), params);
        self.platform
            .state()
            .add_vm(name, domain, service, engine.addr());
        self.engines.push((name.into(), engine));
    }

    /// Starts a plain service and lists its VM.
    pub fn add_service(&mut self, name: &str, domain: &str, service: &str) {
        let server = PlainService::start(ephemeral_addr());
        self.platform
            .state()
            .add_vm(name, domain, service, server.addr());
        self.services.push((name.into(), server));
    }

    /// Starts an entry and lists its VM. Returns its index.
    pub fn add_entry(&mut self, name: &str, domain: &str) -> usize {
        let entry = self.start_entry(name, domain);
        self.platform
            .state()
            .add_vm(name, domain, "lycheehaven", entry.peer_listen);
        self.entries.push(entry);
        self.entries.len() - 1
    }

    /// Starts an entry again under the same name, on other ports.
    pub fn restart_entry(&mut self, index: usize, domain: &str) {
        let name = self.entries[index].name.clone();
        let entry = self.start_entry(&name, domain);
        self.platform
            .state()
            .add_vm(&name, domain, "lycheehaven", entry.peer_listen);
        self.entries[index] = entry;
    }

    fn start_entry(&self, name: &str, domain: &str) -> EntryProcess {
        EntryProcess::start(
            &self.binary,
            self.dir.path(),
            name,
            &self.settings(name, domain),
        )
    }

    /// Settings of an entry.
    pub fn settings(&self, name: &str, domain: &str) -> String {
        let platform = self.platform_addr;
        let peers: Vec<String> = self
            .entries
            .iter()
            .map(|entry| format!("\"{}\"", entry.peer_listen))
            .collect();
        let peers = peers.join(", ");
        format!(
            r#"
name = "{name}"
domain = "{domain}"
region = "test"
listen = "127.0.0.1:0"
peer_listen = "127.0.0.1:0"
peer_key = "peer-secret"
operator_key = "{OPERATOR_KEY}"
peers = [{peers}]
[platform]
objects = "{platform}"
cloud = "{platform}"
timeout_ms = 1000
[timing]
{timing}
{extra}
"#,
            timing = self.timing,
            extra = self.extra_settings
        )
    }

    /// Declares a model service `poleer-llm`, a plain service `hinnalaud` whose
    /// prices may be looked up repeatedly, and two workspaces.
    pub async fn declare_default(&self) {
        let change = json!({
            "services": {
                "poleer-llm": {"kind": "model", "model": "base", "version": "1"},
                "hinnalaud": {
                    "kind": "plain",
                    "calls": [{"method": "GET", "path": "/price", "repeatable": true}],
                },
            },
            "workspaces": {
                "riigi": {"keys": [WORKSPACE_KEY]},
                "caroni": {"keys": [OTHER_WORKSPACE_KEY]},
            },
        });
        let answer = self.patch(0, 0, "declare-default", change).await;
        assert_eq!(answer.status, 200, "declaration refused: {:?}", answer.body);
        self.wait_for_config(1).await;
    }

    /// Sends a patch through entry `index`.
    pub async fn patch(&self, index: usize, base: u64, writer: &str, change: Value) -> Reply {
        let body = json!({"base": base, "writer": writer, "change": change});
        let body = serde_json::to_vec(&body).expect("JSON serializes");
        let addr = self.entries[index].listen;
        let caller = operator();
        let reply = caller
            .call(Method::POST, addr, "/admin/config", body, CALL_WAIT)
            .await;
        reply.expect("entry answers a patch")
    }

    /// Status of entry `index`; null if it gives no answer.
    pub async fn status(&self, index: usize) -> Value {
        let addr = self.entries[index].listen;
        let wait = Duration::from_millis(500);
        operator()
            .get_json(addr, "/admin/status", wait)
            .await
            .unwrap_or_default()
    }

    /// Waits until every running entry has at least this configuration.
    pub async fn wait_for_config(&self, number: u64) {
        for index in 0..self.entries.len() {
            self.wait_for_status(index, "configuration in force", |status| {
                status["config"]
                    .as_u64()
                    .is_some_and(|config| config >= number)
            })
            .await;
        }
    }

    /// Waits until every entry is ready and sees all others.
    pub async fn wait_until_joined(&self) {
        let others = self.entries.len() - 1;
        for index in 0..self.entries.len() {
            self.wait_for_status(index, "ready and joined", |status| {
                let peers = status["peers"].as_array().map_or(0, Vec::len);
                status["ready"] == true && peers == others
            })
            .await;
        }
        let upstreams = self.engines.len() + self.services.len();
        for entry in &self.entries {
            let listed = async || {
                let caller = operator();
                let vms = caller.get_json::<Vec<Value>>(entry.listen, "/admin/vms", CALL_WAIT);
                vms.await.map_or(0, |vms| vms.len())
            };
            let deadline = Instant::now() + PATIENCE;
            while listed().await < upstreams + self.entries.len() {
                assert!(Instant::now() < deadline, "{} lacks VMs", entry.name);
                compio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// Waits until the status of an entry satisfies `done`.
    ///
    /// # Panics
    /// If that takes longer than any test should wait.
    pub async fn wait_for_status(&self, index: usize, what: &str, done: impl Fn(&Value) -> bool) {
        let deadline = Instant::now() + PATIENCE;
        loop {
            let status = self.status(index).await;
            if done(&status) {
                return;
            }
            let name = &self.entries[index].name;
            assert!(
                Instant::now() < deadline,
                "{name}: no {what}; status {status}"
            );
            compio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Reads a metric's samples of entry `index` and adds them up.
    pub async fn metric(&self, index: usize, name: &str) -> f64 {
        let addr = self.entries[index].listen;
        let reply = operator()
            .call(Method::GET, addr, "/metrics", Bytes::new(), CALL_WAIT)
            .await;
        let reply = reply.expect("entry answers for metrics");
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        let samples = text.lines().filter(|line| line.starts_with(name));
        samples
            .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
            .sum()
    }
}

/// Waits until `done` holds.
///
/// # Panics
/// If that takes longer than any test should wait.
pub async fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while !done() {
        assert!(Instant::now() < deadline, "waited in vain for {what}");
        compio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn operator() -> HttpClient {
    HttpClient::new().with_header("authorization", format!("Bearer {OPERATOR_KEY}"))
}
