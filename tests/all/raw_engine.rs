//! A model engine that writes its responses byte by byte.

use std::io::Write;
use std::net::TcpStream;

use lycheehaven_standins::Cluster;
use lycheehaven_standins::RawRequest;
use lycheehaven_standins::RawServer;
use lycheehaven_upstream::protocol::LoadReport;
use serde_json::Value;
use serde_json::json;

use crate::support::DAEMON;

/// Tokens of the whole answer.
pub(crate) const TOKENS: u64 = 5;

/// Text of the whole answer.
pub(crate) const ANSWER: &str = "t0 t1 t2 t3 t4 ";

/// Starts one entry whose only upstream of `service` is `server`.
pub(crate) async fn cluster_with(service: &str, server: &RawServer) -> Cluster {
    let mut cluster = Cluster::new(DAEMON);
    cluster
        .platform
        .state()
        .add_vm("raw-1", "arima", service, server.addr());
    cluster.add_entry("entry-a", "arima");
    cluster.wait_until_joined().await;
    cluster.declare_default().await;
    cluster
}

/// Returns the event of the token at `offset`, or the last event after all tokens.
fn event(offset: u64) -> String {
    let finish = (offset == TOKENS).then_some("stop");
    let text = if finish.is_some() {
        String::new()
    } else {
        format!("t{offset} ")
    };
    let chunk = json!({
        "offset": offset,
        "choices": [{"text": text, "finish_reason": finish}],
    });
    format!("data: {chunk}\n\n")
}

/// Responds to an attempt without length and chunks, with additional header lines. The
/// first attempt ends after `cut` bytes of the third event, if given.
fn stream_tokens(request: &RawRequest, stream: &mut TcpStream, headers: &str, cut: Option<usize>) {
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let offset = body["continuation"]["offset"].as_u64().unwrap_or(0);
    let events: String = match cut {
        Some(cut) if offset == 0 => {
            format!("{}{}{}", event(0), event(1), &event(2)[..cut])
        }
        _ => (offset..=TOKENS).map(event).collect(),
    };
    let text =
        format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{headers}\r\n{events}");
    // The entry may have closed the connection.
    let _ = stream.write_all(text.as_bytes());
}

/// Responds as an engine does, see [`stream_tokens`] for completions.
pub(crate) fn respond_as_engine(
    request: &RawRequest,
    stream: &mut TcpStream,
    headers: &str,
    cut: Option<usize>,
) {
    if is_completion(request) {
        return stream_tokens(request, stream, headers, cut);
    }
    let body = serde_json::to_string(&LoadReport::default()).unwrap();
    let length = body.len();
    let _ = write!(
        stream,
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    );
}

pub(crate) fn is_completion(request: &RawRequest) -> bool {
    request.path().starts_with("/v1/completions")
}
