//! Invalid requests, one per file: each file holds the request and the expected
//! error. Afterwards the entry must still serve a valid request.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use hyper::Request;
use lycheehaven_net::Body;
use lycheehaven_net::read_body;
use lycheehaven_net::send_unpooled;
use lycheehaven_standins::Client;
use lycheehaven_standins::Cluster;
use lycheehaven_standins::EngineParams;
use lycheehaven_standins::WORKSPACE_KEY;
use serde::Deserialize;
use serde_json::Value;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    method: String,
    path: String,
    #[serde(default = "workspace_key")]
    key: String,
    #[serde(default)]
    idempotency_key: Option<String>,
    #[serde(default)]
    body: Value,
    /// Bytes sent verbatim instead of `body`.
    #[serde(default)]
    raw: Option<String>,
    /// Number of spaces sent instead of `body`; zero sends `body`.
    #[serde(default)]
    filler: usize,
    status: u16,
    kind: String,
}

fn workspace_key() -> String {
    WORKSPACE_KEY.into()
}

impl Case {
    fn bytes(&self) -> Vec<u8> {
        match (&self.raw, self.filler) {
            (Some(raw), _) => raw.clone().into_bytes(),
            (None, 0) => serde_json::to_vec(&self.body).expect("JSON serializes"),
            (None, length) => vec![b' '; length],
        }
    }
}

fn refused(path: &Path) -> datatest_stable::Result<()> {
    let case: Case = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    let runtime = compio::runtime::Runtime::new()?;
    runtime.block_on(check(case));
    Ok(())
}

async fn check(case: Case) {
    let mut cluster = Cluster::new(env!("CARGO_BIN_EXE_lycheehaven"));
    cluster.add_engine("engine-1", "arima", "poleer-llm", EngineParams::default());
    cluster.add_service("price-1", "arima", "hinnalaud");
    cluster.add_entry("entry-a", "arima");
    cluster.wait_until_joined().await;
    cluster.declare_default().await;
    let addr = cluster.entries[0].listen;
    let (status, body) = send(&case, addr).await;
    assert_eq!(body["error"]["kind"], case.kind.as_str(), "{body}");
    assert_eq!(status, case.status);
    let valid = Client::new(WORKSPACE_KEY)
        .complete(addr, "label len=3")
        .await;
    assert_eq!(valid.expect("the entry still responds").status, 200);
}

/// Sends the case and returns the status and JSON body of the response. The path
/// is sent verbatim, whereas pooled clients would resolve its dot segments.
async fn send(case: &Case, addr: SocketAddr) -> (u16, Value) {
    let mut request = Request::builder()
        .method(case.method.as_str())
        .uri(&case.path)
        .header("host", addr.to_string())
        .header("authorization", format!("Bearer {}", case.key));
    if let Some(key) = &case.idempotency_key {
        request = request.header("idempotency-key", key);
    }
    let request = request
        .body(Body::full(case.bytes()))
        .expect("request parts are valid");
    let timeout = Duration::from_secs(20);
    let response = send_unpooled(addr, request, timeout, timeout)
        .await
        .expect("the entry responds");
    let status = response.status().as_u16();
    let body = read_body(response.into_body(), 1 << 20, timeout)
        .await
        .expect("the response is complete");
    (
        status,
        serde_json::from_slice(&body).expect("error bodies are JSON"),
    )
}

datatest_stable::harness! {
    { test = refused, root = "tests/bad_input", pattern = r".*\.json$" },
}
