//! Runs an entry and stand-ins in one process, demonstrates that a streamed answer
//! survives a reclaim, and keeps serving until stopped.
//!
//! `cargo run --release --example quickstart [--exit] [PORT]`

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use hyper::Method;
use lycheehaven_config::Settings;
use lycheehaven_net::HttpClient;
use lycheehaven_standins::Client;
use lycheehaven_standins::Engine;
use lycheehaven_standins::EngineParams;
use lycheehaven_standins::PlainService;
use lycheehaven_standins::Platform;
use lycheehaven_standins::ephemeral_addr;
use lycheehaven_standins::full_answer;
use serde_json::json;

const DEFAULT_PORT: u16 = 8080;
const OPERATOR_KEY: &str = "operator-secret";
const WORKSPACE_KEY: &str = "riigi-secret-key";

/// Length of the streamed answer in tokens.
const ANSWER_TOKENS: usize = 120;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let port = args
        .iter()
        .find_map(|arg| arg.parse().ok())
        .unwrap_or(DEFAULT_PORT);
    let listen = SocketAddr::from(([127, 0, 0, 1], port));
    let platform = Platform::start(ephemeral_addr());
    let params = EngineParams {
        step: Duration::from_millis(20),
        ..EngineParams::default()
    };
    let engines: Vec<(String, Engine)> = (1..=3)
        .map(|n| {
            (
                format!("engine-{n}"),
                Engine::start(ephemeral_addr(), params.clone()),
            )
        })
        .collect();
    for (name, engine) in &engines {
        platform
            .state()
            .add_vm(name, "tallinn-a", "poleer-llm", engine.addr());
    }
    let prices = PlainService::start(ephemeral_addr());
    prices.state().prices.insert("shellac".into(), 42);
    platform
        .state()
        .add_vm("price-1", "tallinn-a", "hinnalaud", prices.addr());
    start_entry(listen, platform.addr());
    let runtime = compio::runtime::Runtime::new().expect("event loop can be created");
    runtime.block_on(demonstrate_reclaim(listen, &platform, &engines));
    print_next_steps(listen);
    if !args.iter().any(|arg| arg == "--exit") {
        print("Serving until you press Ctrl-C.\n");
        loop {
            std::thread::park();
        }
    }
}

/// Runs an entry on its own thread.
fn start_entry(listen: SocketAddr, platform: SocketAddr) {
    let peer = SocketAddr::from((listen.ip(), listen.port() + 1));
    let toml = format!(
        r#"
name = "entry-1"
domain = "tallinn-a"
region = "ee-north"
listen = "{listen}"
peer_listen = "{peer}"
peer_key = "peer-secret"
operator_key = "{OPERATOR_KEY}"
[platform]
objects = "{platform}"
cloud = "{platform}"
"#
    );
    let folder = tempfile::tempdir().expect("temporary folder can be created");
    let file: PathBuf = folder.path().join("entry-1.toml");
    std::fs::write(&file, toml).expect("settings can be written");
    let settings = Settings::load(&file).expect("settings are valid");
    std::thread::spawn(move || {
        let runtime = compio::runtime::Runtime::new().expect("event loop can be created");
        if let Err(cause) = runtime.block_on(lycheehaven_entry::run(settings)) {
            eprintln!("quickstart: {cause:#}");
            std::process::exit(1);
        }
        std::process::exit(0);
    });
}

async fn demonstrate_reclaim(
    listen: SocketAddr,
    platform: &Platform,
    engines: &[(String, Engine)],
) {
    wait_until_ready(listen).await;
    declare(listen).await;
    print("Declared service poleer-llm and workspace riigi. Streaming an answer:\n\n");
    let client = Client::new(WORKSPACE_KEY);
    let prompt = format!("French polish for an oak altar? len={ANSWER_TOKENS}");
    let mut stream = client
        .stream(listen, &prompt)
        .await
        .expect("the entry responds");
    let mut shown = 0;
    let mut reclaimed = false;
    while stream.next().await {
        print(&stream.received.text[shown..]);
        shown = stream.received.text.len();
        if !reclaimed && stream.received.tokens >= ANSWER_TOKENS / 3 {
            reclaimed = true;
            reclaim_busy_engine(platform, engines);
        }
    }
    let complete = stream.received.text == full_answer(&prompt, ANSWER_TOKENS);
    assert!(complete, "the answer is incomplete: {:?}", stream.received);
    print("\n\nThe answer is complete: each token arrived once and in order.\n");
}

fn reclaim_busy_engine(platform: &Platform, engines: &[(String, Engine)]) {
    let busy = engines
        .iter()
        .find(|(_, engine)| engine.state().streams() > 0);
    if let Some((name, _)) = busy {
        platform
            .state()
            .reclaim(name, Duration::from_millis(500), true);
        print(&format!(
            "\n\n--- {name} is reclaimed with 0.5 s of notice ---\n\n"
        ));
    }
}

async fn wait_until_ready(listen: SocketAddr) {
    let client = HttpClient::new();
    loop {
        let timeout = Duration::from_millis(500);
        let reply = client
            .call(Method::GET, listen, "/readyz", "", timeout)
            .await;
        if reply.is_ok_and(|reply| reply.status == 200) {
            return;
        }
        compio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn declare(listen: SocketAddr) {
    let change = json!({
        "services": {
            "poleer-llm": {"kind": "model"},
            "hinnalaud": {
                "kind": "plain",
                "calls": [{"method": "GET", "path": "/price", "repeatable": true}],
            },
        },
        "workspaces": {"riigi": {"keys": [WORKSPACE_KEY]}},
    });
    let patch = json!({"base": 0, "writer": "quickstart", "change": change});
    let client = HttpClient::new().with_header("authorization", format!("Bearer {OPERATOR_KEY}"));
    let timeout = Duration::from_secs(5);
    let reply: Result<serde_json::Value, _> = client
        .post_json(listen, "/admin/config", &patch, timeout)
        .await;
    reply.expect("the patch is accepted");
}

fn print_next_steps(listen: SocketAddr) {
    print(&format!(
        r#"
Try next, in another terminal:

  curl -N http://{listen}/v1/completions \
    -H 'Authorization: Bearer {WORKSPACE_KEY}' \
    -d '{{"model":"poleer-llm","prompt":"shellac on beech?","stream":true}}'

  curl http://{listen}/v1/services/hinnalaud/price/shellac \
    -H 'Authorization: Bearer {WORKSPACE_KEY}'

  cargo run --release --bin lycheectl -- --entry {listen} --key {OPERATOR_KEY} vms

"#
    ));
}

fn print(text: &str) {
    let mut out = std::io::stdout();
    let _ = out.write_all(text.as_bytes());
    let _ = out.flush();
}
