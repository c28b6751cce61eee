//! Responses that stop at any byte, in every framing, by a close and by a reset.

use std::net::SocketAddr;
use std::time::Duration;

use lycheehaven_net::RequestError;
use lycheehaven_net::connect;
use lycheehaven_standins::Cut;
use lycheehaven_standins::CutFraming;
use lycheehaven_standins::CutResponse;
use lycheehaven_upstream::EngineClient;
use lycheehaven_upstream::EngineEvent;
use lycheehaven_upstream::StreamError;
use lycheehaven_upstream::plain::PlainCall;
use lycheehaven_upstream::plain::send_once;
use lycheehaven_upstream::protocol::Continuation;
use lycheehaven_upstream::protocol::ImportRequest;
use lycheehaven_upstream::protocol::ModelOrder;
use serde_json::Map;

const TIMEOUT: Duration = Duration::from_secs(10);

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = compio::runtime::Runtime::new().expect("the event loop starts");
    runtime.block_on(test)
}

async fn call_plain(addr: SocketAddr, path: &str) -> Result<Vec<u8>, RequestError> {
    let stream = connect(addr, TIMEOUT).await?;
    let call = PlainCall {
        method: "POST".into(),
        path: path.into(),
        content_type: None,
        body: b"paint".to_vec(),
        key: None,
    };
    let reply = send_once(stream, addr, &call).await?;
    assert_eq!(reply.response.status, 200);
    Ok(reply.response.body)
}

#[test]
fn plain_response_that_stops_at_any_byte_is_never_taken_as_whole() {
    let body = "price: 1234\n".repeat(2);
    for framing in CutFraming::ALL {
        let response = CutResponse::new(
            framing,
            "Content-Type: text/plain\r\n",
            &[body.clone(), body.clone()],
        );
        let server = response.serve();
        let whole = body.repeat(2);
        run(response.check_all(async |cut: Cut| {
            let result = call_plain(server.addr(), &format!("/{}", cut.number())).await;
            let context = format!("{framing:?} {cut:?}: {result:?}");
            match result {
                Ok(body) => {
                    assert!(response.looks_whole(cut), "{context}");
                    assert_eq!(body, whole.as_bytes()[..cut.at - response.head_length()]);
                }
                Err(failure) => assert!(matches!(failure, RequestError::Uncertain(_)), "{context}"),
            }
        }));
        let result = run(call_plain(server.addr(), "/"));
        assert_eq!(result.expect("the response is whole"), whole.as_bytes());
    }
}

/// Returns the events of an answer of three tokens.
fn events() -> Vec<String> {
    let token = |offset: usize| {
        format!(
            "data: {{\"offset\":{offset},\"choices\":[{{\"text\":\"t{offset}\",\"finish_reason\":null}}]}}\n\n"
        )
    };
    let finish = r#"{"offset":3,"choices":[{"text":"","finish_reason":"stop"}]}"#;
    let mut events: Vec<String> = (0..3).map(token).collect();
    events.push(format!("data: {finish}\n\n"));
    events
}

/// Returns the number of tokens of a stream that came in order, and how it ended.
async fn read_stream(addr: SocketAddr, path: &str) -> (usize, Result<String, StreamError>) {
    let continuation = Continuation {
        request: "r1".into(),
        attempt: 1,
        offset: 0,
        prior: String::new(),
        priority: 1.0,
    };
    let client = EngineClient::new(TIMEOUT);
    let opened = client.open(addr, path, &Map::new(), &continuation).await;
    let mut stream = match opened {
        Ok(stream) => stream,
        Err(failure) => return (0, Err(failure)),
    };
    let mut tokens = 0;
    loop {
        match stream.next().await {
            Ok(EngineEvent::Token { offset, text }) => {
                assert_eq!((offset, text), (tokens, format!("t{tokens}")));
                tokens += 1;
            }
            Ok(EngineEvent::Finish { offset, reason }) => {
                assert_eq!(offset, tokens, "the stream ends before its last token");
                return (tokens, Ok(reason));
            }
            Err(failure) => return (tokens, Err(failure)),
        }
    }
}

#[test]
fn stream_that_stops_at_any_byte_never_looks_complete() {
    for framing in CutFraming::ALL {
        let response = CutResponse::new(framing, "Content-Type: text/event-stream\r\n", &events());
        let finish = &events()[3];
        let end = response.end_of(finish).expect("the last event is there");
        let server = response.serve();
        run(response.check_all(async |cut: Cut| {
            let (tokens, result) = read_stream(server.addr(), &format!("/{}", cut.number())).await;
            let context = format!("{framing:?} {cut:?}: {tokens} tokens, {result:?}");
            match result {
                Ok(_) => assert!(cut.at >= end, "{context}"),
                Err(failure) => {
                    assert!(matches!(failure, StreamError::Broken(_)), "{context}");
                    assert!(cut.at < end, "{context}");
                }
            }
        }));
        let (tokens, result) = run(read_stream(server.addr(), "/"));
        assert_eq!(tokens, 3, "{framing:?}");
        assert_eq!(result.expect("the stream is complete"), "stop");
    }
}

fn order(fence: u64) -> ModelOrder {
    ModelOrder {
        fence,
        model: "m".into(),
        version: "v1".into(),
        adapters: Vec::new(),
    }
}

#[test]
fn call_of_an_engine_whose_response_stops_at_any_byte_is_never_taken_as_done() {
    let body = r#"{"next":1,"gap":false,"events":[]}"#.to_owned();
    for framing in CutFraming::ALL {
        let response = CutResponse::new(
            framing,
            "Content-Type: application/json\r\n",
            std::slice::from_ref(&body),
        );
        let server = response.serve();
        let addr = server.addr();
        run(response.check_all(async |cut: Cut| {
            let client = EngineClient::new(TIMEOUT);
            let context = format!("{framing:?} {cut:?}");
            let events = client.cache_events(addr, cut.number()).await;
            assert!(events.is_err(), "{context}: {events:?}");
            if response.looks_whole(cut) {
                return;
            }
            let ordered = client.order(addr, &order(cut.number())).await;
            assert!(ordered.is_err(), "{context}: {ordered:?}");
            let name = cut.number().to_string();
            let paused = client.set_paused(addr, &name, true).await;
            assert!(paused.is_err(), "{context}: {paused:?}");
            let import = ImportRequest {
                source: addr,
                request: name,
            };
            let imported = client.import(addr, &import, TIMEOUT).await;
            assert!(imported.is_err(), "{context}: {imported:?}");
        }));
        let ordered = run(EngineClient::new(TIMEOUT).order(addr, &order(1)));
        assert!(ordered.expect("the response is whole"), "{framing:?}");
    }
}
