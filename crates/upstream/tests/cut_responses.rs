//! Responses that stop at any byte, in every framing, by a close and by a reset.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream;
use lycheehaven_net::RequestError;
use lycheehaven_net::connect;
use lycheehaven_standins::RawRequest;
use lycheehaven_standins::RawServer;
use lycheehaven_standins::reset_on_close;
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

/// Connections that are open at the same time.
const CONCURRENCY: usize = 16;

/// Time in which the client reads what was sent before the connection is reset.
const READ_TIME: Duration = Duration::from_millis(20);

/// Number of the first place, see [`Cut::number`].
const FIRST_NUMBER: u64 = 7_000_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length,
    Chunked,
    UntilClose,
}

const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunked, Framing::UntilClose];

/// A whole response, and how much of it is sent.
#[derive(Debug, Clone)]
struct Response {
    text: String,
    /// Length of the head.
    head: usize,
    framing: Framing,
}

impl Response {
    /// Creates a response whose body is sent in these parts.
    fn new(framing: Framing, content_type: &str, parts: &[String]) -> Self {
        let body = parts.concat();
        let (declared, body) = match framing {
            Framing::Length => (format!("Content-Length: {}\r\n", body.len()), body),
            Framing::Chunked => {
                let chunks = parts
                    .iter()
                    .map(|part| format!("{:x}\r\n{part}\r\n", part.len()));
                let body = chunks.collect::<String>() + "0\r\n\r\n";
                ("Transfer-Encoding: chunked\r\n".into(), body)
            }
            Framing::UntilClose => (String::new(), body),
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\n{declared}Server: raw\r\n\r\n"
        );
        Self {
            head: head.len(),
            text: head + &body,
            framing,
        }
    }

    /// Whether a close after `cut` bytes can't be told from the end.
    fn may_end_at(&self, cut: usize) -> bool {
        self.framing == Framing::UntilClose && cut >= self.head
    }
}

/// A place at which a response stops.
#[derive(Debug, Clone, Copy)]
struct Cut {
    at: usize,
    reset: bool,
}

impl Cut {
    /// Returns a number that tells a place to the server. Nothing else in a request has as
    /// many digits.
    fn number(self) -> u64 {
        FIRST_NUMBER + 2 * self.at as u64 + u64::from(self.reset)
    }

    /// Finds the number of a place in a request.
    fn of(request: &RawRequest) -> Option<Self> {
        let text = format!("{}{}", request.head, String::from_utf8_lossy(&request.body));
        let numbers = text.split(|letter: char| !letter.is_ascii_digit());
        let number = numbers
            .filter_map(|digits| digits.parse::<u64>().ok())
            .find(|number| *number >= FIRST_NUMBER)?;
        let code = number - FIRST_NUMBER;
        Some(Self {
            at: (code / 2) as usize,
            reset: code % 2 == 1,
        })
    }

    /// Returns all places within `response`.
    fn all(response: &Response) -> impl Iterator<Item = Self> + use<> {
        let places = 0..response.text.len();
        places.flat_map(|at| [false, true].map(|reset| Self { at, reset }))
    }
}

fn write_until(stream: &mut TcpStream, response: &Response, cut: Cut) {
    // The client may have closed the connection.
    let _ = stream.write_all(&response.text.as_bytes()[..cut.at]);
    if cut.reset {
        std::thread::sleep(READ_TIME);
        reset_on_close(stream);
    }
}

/// Starts a server whose response stops at the place that the request names.
fn server(response: &Response) -> RawServer {
    let response = response.clone();
    RawServer::start(move |request, stream| {
        let cut = Cut::of(request).unwrap_or(Cut {
            at: response.text.len(),
            reset: false,
        });
        write_until(stream, &response, cut);
    })
}

/// Calls `check` with every place at which `response` can stop.
fn check_all<F: Future<Output = ()>>(response: &Response, check: impl Fn(Cut) -> F) {
    let runtime = compio::runtime::Runtime::new().expect("the event loop starts");
    let checks = stream::iter(Cut::all(response)).map(check);
    runtime.block_on(checks.buffer_unordered(CONCURRENCY).collect::<Vec<()>>());
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
    for framing in FRAMINGS {
        let response = Response::new(framing, "text/plain", &[body.clone(), body.clone()]);
        let server = server(&response);
        let whole = body.repeat(2);
        check_all(&response, async |cut: Cut| {
            let result = call_plain(server.addr(), &format!("/{}", cut.number())).await;
            let context = format!("{framing:?} {cut:?}: {result:?}");
            match result {
                Ok(body) => {
                    assert!(!cut.reset && response.may_end_at(cut.at), "{context}");
                    assert_eq!(body, whole.as_bytes()[..cut.at - response.head]);
                }
                Err(failure) => assert!(matches!(failure, RequestError::Uncertain(_)), "{context}"),
            }
        });
        let runtime = compio::runtime::Runtime::new().expect("the event loop starts");
        let result = runtime.block_on(call_plain(server.addr(), "/"));
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
    for framing in FRAMINGS {
        let response = Response::new(framing, "text/event-stream", &events());
        let finish = response.text.rfind("data: ").expect("there is an event");
        let end = finish + events()[3].len();
        let server = server(&response);
        check_all(&response, async |cut: Cut| {
            let (tokens, result) = read_stream(server.addr(), &format!("/{}", cut.number())).await;
            let context = format!("{framing:?} {cut:?}: {tokens} tokens, {result:?}");
            match result {
                Ok(_) => assert!(cut.at >= end, "{context}"),
                Err(failure) => {
                    assert!(matches!(failure, StreamError::Broken(_)), "{context}");
                    assert!(cut.at < end, "{context}");
                }
            }
        });
        let runtime = compio::runtime::Runtime::new().expect("the event loop starts");
        let (tokens, result) = runtime.block_on(read_stream(server.addr(), "/"));
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
    for framing in FRAMINGS {
        let response = Response::new(framing, "application/json", std::slice::from_ref(&body));
        let server = server(&response);
        let addr = server.addr();
        check_all(&response, async |cut: Cut| {
            let client = EngineClient::new(TIMEOUT);
            let context = format!("{framing:?} {cut:?}");
            let events = client.cache_events(addr, cut.number()).await;
            assert!(events.is_err(), "{context}: {events:?}");
            if !cut.reset && response.may_end_at(cut.at) {
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
        });
        let runtime = compio::runtime::Runtime::new().expect("the event loop starts");
        let ordered = runtime.block_on(EngineClient::new(TIMEOUT).order(addr, &order(1)));
        assert!(ordered.expect("the response is whole"), "{framing:?}");
    }
}
