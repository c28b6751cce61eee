//! Bad requests as files: each names what is sent and the answer that must
//! come. Afterwards a sound request must still be answered.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use hyper::Request;
use lycheehaven_net::Body;
use lycheehaven_net::send_unpooled;
use lycheehaven_net::read_body;
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
    /// Sent instead of `body`, as it is.
    #[serde(default)]
    raw: Option<String>,
    /// Length of filler that is sent instead of `body`.
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
    let (status, answer) = send(&case, addr).await;
    assert_eq!(answer["error"]["kind"], case.kind.as_str(), "{answer}");
    assert_eq!(status, case.status);
    let sound = Client::new(WORKSPACE_KEY)
        .complete(addr, "label len=3")
        .await;
    assert_eq!(sound.expect("the entry still answers").status, 200);
}

/// Sends the case's path as it is; pooled clients would resolve its dots.
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
    let wait = Duration::from_secs(20);
    let response = send_unpooled(addr, request, wait, wait)
        .await
        .expect("the entry answers");
    let status = response.status().as_u16();
    let body = read_body(response.into_body(), 1 << 20, wait)
        .await
        .expect("the answer is whole");
    (
        status,
        serde_json::from_slice(&body).expect("errors are JSON"),
    )
}

datatest_stable::harness! {
    { test = refused, root = "tests/bad_input", pattern = r".*\.json$" },
}
