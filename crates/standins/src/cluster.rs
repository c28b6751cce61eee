//! A complete system on loopback: platform, upstreams and entry processes.

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

/// Operator key of test clusters.
pub const OPERATOR_KEY: &str = "operator-secret";

/// Bearer key of workspace `riigi` in [`Cluster::declare_default`].
pub const WORKSPACE_KEY: &str = "riigi-secret-key";

/// Bearer key of workspace `caroni` in [`Cluster::declare_default`].
pub const OTHER_WORKSPACE_KEY: &str = "caroni-secret-key";

/// Short intervals, so that failures are detected within a test's time limit.
const TEST_TIMING: &str = "\
exchange_ms = 100
peer_dead_ms = 1500
vm_poll_ms = 100
load_poll_ms = 100
watch_ms = 5000
silence_ms = 5000";

const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest wait for an expected state.
const STATE_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns a loopback address whose port the kernel assigns.
pub fn ephemeral_addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A cluster under test. Entries and upstreams can be added and killed.
pub struct Cluster {
    /// The platform.
    pub platform: Platform,
    /// Entries in the order of their start.
    pub entries: Vec<EntryProcess>,
    /// Engines in the order of their start.
    pub engines: Vec<(Name, Engine)>,
    /// Plain services in the order of their start.
    pub services: Vec<(Name, PlainService)>,
    /// Platform address in the settings of entries started from now on.
    pub platform_addr: SocketAddr,
    /// Body of the `[timing]` table of entries started from now on.
    pub timing: String,
    /// TOML appended to the settings of entries started from now on.
    pub extra_settings: String,
    binary: PathBuf,
    dir: tempfile::TempDir,
}

impl Cluster {
    /// Creates a cluster that consists only of a platform. `binary` is the path
    /// of the daemon.
    pub fn new(binary: impl AsRef<Path>) -> Self {
        Self::with_platform(Platform::start(ephemeral_addr()), binary)
    }

    /// Creates a cluster on a running platform.
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
            dir: tempfile::tempdir().expect("temporary folder can be created"),
        }
    }

    /// Starts an engine of `service` and adds its VM to the VM list.
    pub fn add_engine(&mut self, name: &str, domain: &str, service: &str, params: EngineParams) {
        let software = params.software.clone();
        let engine = Engine::start(ephemeral_addr(), params);
        let mut platform = self.platform.state();
        platform.add_vm(name, domain, service, engine.addr());
        platform.set_software(name, &software);
        drop(platform);
        self.engines.push((name.into(), engine));
    }

    /// Starts a plain service and adds its VM to the VM list.
    pub fn add_service(&mut self, name: &str, domain: &str, service: &str) {
        let server = PlainService::start(ephemeral_addr());
        self.platform
            .state()
            .add_vm(name, domain, service, server.addr());
        self.services.push((name.into(), server));
    }

    /// Starts an entry, adds its VM to the VM list and returns its index.
    pub fn add_entry(&mut self, name: &str, domain: &str) -> usize {
        let entry = self.start_entry(name, domain);
        self.platform
            .state()
            .add_vm(name, domain, "lycheehaven", entry.peer_listen);
        self.entries.push(entry);
        self.entries.len() - 1
    }

    /// Starts an entry again under the same name, on other ports. The previous
    /// process is killed if it still runs.
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

    /// Returns the settings of an entry as TOML.
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
    /// price lookups are repeatable, and two workspaces.
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
        let reply = self.patch(0, 0, "declare-default", change).await;
        assert_eq!(reply.status, 200, "declaration refused: {:?}", reply.body);
        self.wait_for_config(1).await;
    }

    /// Sends a patch through entry `index`.
    pub async fn patch(&self, index: usize, base: u64, writer: &str, change: Value) -> Reply {
        let body = json!({"base": base, "writer": writer, "change": change});
        let body = serde_json::to_vec(&body).expect("JSON serializes");
        let addr = self.entries[index].listen;
        let client = operator_client();
        let reply = client
            .call(Method::POST, addr, "/admin/config", body, CALL_TIMEOUT)
            .await;
        reply.expect("entry responds to a patch")
    }

    /// Returns the status of entry `index`, or null if it does not respond.
    pub async fn status(&self, index: usize) -> Value {
        let addr = self.entries[index].listen;
        let timeout = Duration::from_millis(500);
        operator_client()
            .get_json(addr, "/admin/status", timeout)
            .await
            .unwrap_or_default()
    }

    /// Waits until every entry has at least configuration `number`.
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

    /// Waits until every entry is ready, knows all other entries and lists all
    /// VMs.
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
                let client = operator_client();
                let vms = client.get_json::<Vec<Value>>(entry.listen, "/admin/vms", CALL_TIMEOUT);
                vms.await.map_or(0, |vms| vms.len())
            };
            let deadline = Instant::now() + STATE_TIMEOUT;
            while listed().await < upstreams + self.entries.len() {
                assert!(
                    Instant::now() < deadline,
                    "{} does not list all VMs",
                    entry.name
                );
                compio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// Waits until the status of an entry satisfies `done`.
    ///
    /// # Panics
    /// If that takes longer than `STATE_TIMEOUT`.
    pub async fn wait_for_status(&self, index: usize, what: &str, done: impl Fn(&Value) -> bool) {
        let deadline = Instant::now() + STATE_TIMEOUT;
        loop {
            let status = self.status(index).await;
            if done(&status) {
                return;
            }
            let name = &self.entries[index].name;
            assert!(
                Instant::now() < deadline,
                "{name}: timed out waiting for {what}; status {status}"
            );
            compio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns the sum of all samples of entry `index` whose names start with
    /// `name`.
    pub async fn metric(&self, index: usize, name: &str) -> f64 {
        let addr = self.entries[index].listen;
        let reply = operator_client()
            .call(Method::GET, addr, "/metrics", Bytes::new(), CALL_TIMEOUT)
            .await;
        let reply = reply.expect("entry returns its metrics");
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
/// If that takes longer than `STATE_TIMEOUT`.
pub async fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let deadline = Instant::now() + STATE_TIMEOUT;
    while !done() {
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        compio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn operator_client() -> HttpClient {
    HttpClient::new().with_header("authorization", format!("Bearer {OPERATOR_KEY}"))
}
