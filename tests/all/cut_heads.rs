//! Answers of engines and plain services that stop within their head.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use hyper::Method;
use lycheehaven_standins::RawRequest;
use lycheehaven_standins::RawServer;
use lycheehaven_standins::reset_on_close;
use serde_json::Value;

use crate::raw_engine::ANSWER;
use crate::raw_engine::cluster_with;
use crate::raw_engine::is_completion;
use crate::raw_engine::respond_as_engine;
use crate::support::client;
use crate::support::run;

/// Head of an answer with a body of 1234 bytes.
const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Length: 1234\r\nContent-Type: text/plain\r\n\r\n";

/// What is sent of the head.
const PARTS: [&str; 10] = [
    "",
    "HTTP",
    "HTTP/1.1 2",
    "HTTP/1.1 200 OK",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nContent-Len",
    "HTTP/1.1 200 OK\r\nContent-Length: 1",
    "HTTP/1.1 200 OK\r\nContent-Length: 1234\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 1234\r\nContent-Type: text/plain\r\n\r",
    HEAD,
];

fn write_part(stream: &mut TcpStream, part: &str, reset: bool) {
    // The entry may have closed the connection.
    let _ = stream.write_all(part.as_bytes());
    if reset {
        // The entry reads what was sent before the connection is reset.
        std::thread::sleep(Duration::from_millis(50));
        reset_on_close(stream);
    }
}

fn attempt(request: &RawRequest) -> u64 {
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    body["continuation"]["attempt"].as_u64().unwrap_or(0)
}

#[test]
fn stream_whose_first_answer_stops_within_its_head_is_whole_in_the_end() {
    for part in PARTS {
        for reset in [false, true] {
            let server = RawServer::start(move |request, stream| {
                if is_completion(request) && attempt(request) == 1 {
                    write_part(
                        stream,
                        &part.replace("text/plain", "text/event-stream"),
                        reset,
                    );
                } else {
                    respond_as_engine(request, stream, "", None);
                }
            });
            run(async {
                let cluster = cluster_with("poleer-llm", &server).await;
                let addr = cluster.entries[0].listen;
                let mut stream = client().stream(addr, "table len=5").await.unwrap();
                while stream.next().await {}
                assert_eq!(stream.received.text, ANSWER, "{part:?} {reset}");
                assert_eq!(stream.received.finish.as_deref(), Some("stop"));
            });
        }
    }
}

/// The call has a key, so it may run once.
#[test]
fn call_whose_answer_stops_within_its_head_is_a_failure_that_may_have_run() {
    for part in PARTS {
        for reset in [false, true] {
            let server = RawServer::start(move |_, stream| write_part(stream, part, reset));
            run(async {
                let cluster = cluster_with("hinnalaud", &server).await;
                let addr = cluster.entries[0].listen;
                while server.received().is_empty() {
                    let key = uuid::Uuid::now_v7().to_string();
                    let caller = client();
                    let path = "hinnalaud/charge";
                    let call = caller.call(addr, Method::POST, path, Some(&key), "oak");
                    let reply = call.await.unwrap();
                    // The claim of a call may be refused while the machine is busy.
                    let expected = match server.received().len() {
                        0 => 503,
                        _ => 502,
                    };
                    assert_eq!(reply.status, expected, "{part:?} {reset}: {reply:?}");
                }
                assert_eq!(server.received().len(), 1, "{part:?} {reset}");
            });
        }
    }
}
