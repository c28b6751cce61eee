//! Events of a stream that arrive faster than they are handled.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

use lycheehaven_upstream::EngineClient;
use lycheehaven_upstream::EngineEvent;
use lycheehaven_upstream::StreamError;
use lycheehaven_upstream::protocol::Continuation;
use serde_json::Map;
use serde_json::json;

/// Events of the answer, each in a chunk of its own, as engines send them.
const EVENTS: usize = 12;

/// Starts an engine that sends its events at once and closes the connection before the end
/// of the answer.
fn start_engine() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let addr = listener.local_addr().expect("the address is known");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let _ = stream.read(&mut [0; 4096]);
        let mut text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned();
        for offset in 0..EVENTS {
            let event = json!({"offset": offset, "choices": [{"text": "t "}]});
            let data = format!("data: {event}\n\n");
            text += &format!("{:x}\r\n{data}\r\n", data.len());
        }
        stream.write_all(text.as_bytes()).expect("the client reads");
    });
    addr
}

/// Guards against a step of the whole relay for each event while others wait behind it.
#[test]
fn events_that_arrived_together_are_ready_together() {
    let runtime = compio::runtime::Runtime::new().expect("event loop can be created");
    runtime.block_on(async {
        let client = EngineClient::new(Duration::from_secs(5));
        let continuation = Continuation {
            request: "r".into(),
            attempt: 1,
            offset: 0,
            prior: String::new(),
            priority: 0.5,
        };
        let (addr, body) = (start_engine(), Map::new());
        let opened = client.open(addr, "/v1/completions", &body, &continuation);
        let mut stream = opened.await.expect("the engine responds");
        let mut offsets = Vec::new();
        let mut waits = 0;
        let end = loop {
            match stream.next().await {
                Ok(event) => offsets.push(event),
                Err(end) => break end,
            }
            waits += 1;
            offsets.extend(std::iter::from_fn(|| stream.take_ready()));
        };
        let is_token = |(index, event): (usize, &EngineEvent)| matches!(event, EngineEvent::Token { offset, .. } if *offset == index);
        assert!(offsets.iter().enumerate().all(is_token), "{offsets:?}");
        assert_eq!(offsets.len(), EVENTS, "no event is lost before the break");
        assert!(matches!(end, StreamError::Broken(_)), "{end}");
        assert!(waits <= 2, "{waits} waits for {EVENTS} events");
    });
}
