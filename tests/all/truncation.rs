//! Responses of engines and plain services that end early or without framing.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use hyper::Method;
use lycheehaven_standins::Cluster;
use lycheehaven_standins::RawRequest;
use lycheehaven_standins::RawServer;
use lycheehaven_standins::reset_on_close;
use lycheehaven_upstream::protocol::LoadReport;
use serde_json::Value;
use serde_json::json;

use crate::support::DAEMON;
use crate::support::client;
use crate::support::run;

/// Tokens of the whole answer.
const TOKENS: u64 = 5;

/// Starts one entry whose only upstream of `service` is `server`.
async fn cluster_with(service: &str, server: &RawServer) -> Cluster {
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

/// Responds to an attempt of an engine without length and chunks. The first attempt
/// ends within the event after `cut` bytes of the third.
fn stream_tokens(request: &RawRequest, stream: &mut TcpStream, cut: usize) {
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let offset = body["continuation"]["offset"].as_u64().unwrap_or(0);
    let events: String = if offset == 0 {
        format!("{}{}{}", event(0), event(1), &event(2)[..cut])
    } else {
        (offset..=TOKENS).map(event).collect()
    };
    let text = format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n{events}");
    // The entry may have closed the connection.
    let _ = stream.write_all(text.as_bytes());
}

fn respond_as_engine(request: &RawRequest, stream: &mut TcpStream, cut: usize) {
    if request.path().starts_with("/v1/completions") {
        return stream_tokens(request, stream, cut);
    }
    let body = serde_json::to_string(&LoadReport::default()).unwrap();
    let length = body.len();
    let _ = write!(
        stream,
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    );
}

#[test]
fn stream_cut_at_the_close_of_its_connection_continues_without_loss() {
    for cut in [0, 9] {
        let server = RawServer::start(move |request, stream| {
            respond_as_engine(request, stream, cut);
        });
        run(async {
            let cluster = cluster_with("poleer-llm", &server).await;
            let mut stream = client()
                .stream(cluster.entries[0].listen, "table len=5")
                .await
                .unwrap();
            while stream.next().await {}
            assert_eq!(stream.received.text, "t0 t1 t2 t3 t4 ", "cut {cut}");
            assert_eq!(stream.received.finish.as_deref(), Some("stop"));
        });
    }
}

#[test]
fn plain_response_without_framing_is_whole_unless_reset() {
    for reset in [false, true] {
        let server = RawServer::start(move |_, stream| {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nprice: 12");
            if reset {
                // The entry reads what was sent before the connection is reset.
                std::thread::sleep(Duration::from_millis(100));
                reset_on_close(stream);
            }
        });
        run(async {
            let cluster = cluster_with("hinnalaud", &server).await;
            let key = uuid::Uuid::now_v7().to_string();
            let reply = client()
                .call(
                    cluster.entries[0].listen,
                    Method::POST,
                    "hinnalaud/charge",
                    Some(&key),
                    "",
                )
                .await
                .unwrap();
            if reset {
                assert_eq!(reply.status, 502, "{reply:?}");
            } else {
                assert_eq!(&reply.body[..], b"price: 12", "{reply:?}");
            }
        });
    }
}
