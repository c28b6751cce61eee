//! Answers that are given before the end of the request's body, on kept connections.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use lycheehaven_net::Body;
use lycheehaven_net::Incoming;
use lycheehaven_net::ServerLimits;
use lycheehaven_net::bind;
use lycheehaven_net::read_body;
use lycheehaven_net::serve;
use lycheehaven_net::sleep_ms;
use lycheehaven_net::spawn_detached;
use tokio_util::sync::CancellationToken;

/// Time limit for an answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Pause of a client between the parts that it sends.
const PAUSE: Duration = Duration::from_millis(100);

/// Bytes that the handler reads of a body on the path `/limit`.
const LIMIT: usize = 10;

/// Time for a head, and for a body that nobody waits for.
const HEADER_TIMEOUT: Duration = Duration::from_millis(600);

async fn handle(request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let limit = match path.as_str() {
        "/refuse" => return answer(404, "refused;"),
        "/limit" => LIMIT,
        _ => 1 << 20,
    };
    match read_body(request.into_body(), limit, TIMEOUT).await {
        Ok(body) => answer(200, &format!("{path} {};", body.len())),
        Err(failure) => answer(failure.kind.status(), "failed;"),
    }
}

fn answer(status: u16, text: &str) -> Response<Body> {
    let mut response = Response::new(Body::full(text.to_owned()));
    *response.status_mut() = StatusCode::from_u16(status).expect("the status is valid");
    response
}

async fn start() -> (SocketAddr, CancellationToken) {
    let listener = bind("127.0.0.1:0".parse().expect("the address is valid"))
        .await
        .expect("a port is free");
    let addr = listener.local_addr().expect("the address is known");
    let token = CancellationToken::new();
    let limits = ServerLimits {
        header_timeout: HEADER_TIMEOUT,
        ..ServerLimits::default()
    };
    spawn_detached(serve(listener, limits, token.clone(), handle));
    (addr, token)
}

fn head(method: &str, path: &str, version: &str, headers: &str) -> String {
    format!("{method} {path} HTTP/{version}\r\nHost: x\r\n{headers}\r\n")
}

fn post(path: &str, headers: &str) -> String {
    head("POST", path, "1.1", headers)
}

/// A request that is answered with [`NEXT_ANSWER`].
fn next_request() -> String {
    post("/next", "Content-Length: 3\r\n") + "abc"
}

const NEXT_ANSWER: &str = "/next 3;";

/// What a client has received.
#[derive(Debug)]
struct Received {
    text: String,
    /// Whether the connection ended with a reset.
    was_reset: bool,
}

impl Received {
    fn statuses(&self) -> Vec<u16> {
        let heads = self.text.split("HTTP/1.").skip(1);
        heads
            .filter_map(|head| head.split(' ').nth(1)?.parse().ok())
            .collect()
    }

    fn says_close(&self) -> bool {
        self.text.to_lowercase().contains("connection: close")
    }
}

/// Reads until `end` was received or the connection ends.
fn read_until(stream: &mut TcpStream, end: &str) -> Received {
    stream
        .set_read_timeout(Some(TIMEOUT))
        .expect("the timeout is set");
    let mut text = String::new();
    let mut buffer = [0; 4096];
    while !text.contains(end) {
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => text += &String::from_utf8_lossy(&buffer[..length]),
            Err(_) => {
                return Received {
                    text,
                    was_reset: true,
                };
            }
        }
    }
    Received {
        text,
        was_reset: false,
    }
}

/// Sends `parts` with pauses between them, then [`next_request`] if `has_next`, and reads
/// until its answer.
fn call(addr: SocketAddr, parts: &[String], has_next: bool) -> Received {
    let mut stream = TcpStream::connect(addr).expect("the server accepts");
    for part in parts {
        // The server may have closed the connection.
        let _ = stream.write_all(part.as_bytes());
        std::thread::sleep(PAUSE);
    }
    if has_next {
        let _ = stream.write_all(next_request().as_bytes());
    }
    read_until(&mut stream, NEXT_ANSWER)
}

fn run(test: impl Future<Output = ()>) {
    compio::runtime::Runtime::new()
        .expect("the runtime starts")
        .block_on(test);
}

fn exchange(parts: Vec<String>, has_next: bool) -> Received {
    let (sender, receiver) = std::sync::mpsc::channel();
    run(async move {
        let (addr, _token) = start().await;
        let received = compio::runtime::spawn_blocking(move || call(addr, &parts, has_next)).await;
        let received = received.expect("the thread ends");
        sender.send(received).expect("the test waits");
    });
    receiver.recv().expect("the exchange ends")
}

/// Returns the first line and the size of each part.
fn describe(parts: &[String]) -> Vec<(&str, usize)> {
    let first = |part: &'_ str| part.lines().next().map_or(0, |line| line.len().min(60));
    parts
        .iter()
        .map(|part| (&part[..first(part)], part.len()))
        .collect()
}

/// Checks that the request in `parts` is answered with `status` without a close, and the
/// next one is answered as well.
fn check_kept(parts: Vec<String>, status: u16) {
    let received = exchange(parts.clone(), true);
    let context = format!("{:?}: {received:?}", describe(&parts));
    assert_eq!(received.statuses(), [status, 200], "{context}");
    assert!(received.text.ends_with(NEXT_ANSWER), "{context}");
    assert!(!received.says_close(), "{context}");
}

/// Checks that the request in `parts` is answered with `status` and a close, and that
/// nothing behind it is answered or destroys the answer.
fn check_closed(parts: Vec<String>, status: u16) {
    let received = exchange(parts.clone(), false);
    let context = format!("{:?}: {received:?}", describe(&parts));
    assert_eq!(received.statuses(), [status], "{context}");
    assert!(received.says_close(), "{context}");
    assert!(!received.was_reset, "{context}");
}

#[test]
fn request_behind_an_early_answer_is_answered() {
    let length = "Content-Length: 6\r\n";
    for method in ["POST", "GET", "PUT"] {
        let first = head(method, "/refuse", "1.1", length);
        check_kept(vec![first, "abcdef".into()], 404);
    }
    let first = post("/refuse", length);
    check_kept(vec![first.clone(), "abc".into(), "def".into()], 404);
    check_kept(vec![first.clone() + "abcdef"], 404);
    check_kept(vec![first + "a", "bcdef".into()], 404);
}

#[test]
fn request_behind_an_early_answer_without_a_body_is_answered() {
    let first = head("HEAD", "/refuse", "1.1", "Content-Length: 6\r\n");
    let received = exchange(vec![first, "abcdef".into()], true);
    assert_eq!(received.statuses(), [404, 200], "{received:?}");
    assert!(!received.says_close(), "{received:?}");
}

#[test]
fn request_behind_one_that_is_over_the_limit_is_answered() {
    let body = "b".repeat(100_000);
    let first = post("/limit", "Content-Length: 100000\r\n");
    check_kept(
        vec![first.clone(), body[..10].to_owned(), body[10..].to_owned()],
        413,
    );
    check_kept(vec![first.clone(), body.clone()], 413);
    check_kept(vec![first + &body], 413);
}

#[test]
fn close_is_said_if_the_rest_of_a_body_is_large() {
    let first = post("/refuse", "Content-Length: 10000000\r\n");
    check_closed(vec![first.clone()], 404);
    check_closed(vec![first, "b".repeat(500_000)], 404);
}

/// Pipelined requests.
#[test]
fn requests_that_were_sent_ahead_are_answered_behind_an_early_answer() {
    let first = post("/refuse", "Content-Length: 6\r\n");
    let ahead = format!("def{}", next_request());
    check_kept(vec![first.clone() + "abc", ahead.clone()], 404);
    for parts in [
        vec![first.clone() + "abc" + &ahead],
        vec![first.clone() + "abc", ahead.clone()],
        vec![first.clone(), "abc".to_owned() + &ahead],
    ] {
        let received = exchange(parts.clone(), false);
        assert_eq!(received.statuses(), [404, 200], "{parts:?}: {received:?}");
        assert!(!received.says_close(), "{parts:?}: {received:?}");
    }
}

#[test]
fn close_is_said_if_the_rest_of_a_chunked_body_is_unknown() {
    let first = post("/refuse", "Transfer-Encoding: chunked\r\n");
    check_closed(vec![first.clone(), "6\r\nabcdef\r\n0\r\n\r\n".into()], 404);
    check_closed(vec![first], 404);
    let first = post("/limit", "Transfer-Encoding: chunked\r\n");
    check_closed(vec![first, "b\r\nabcdefghijk\r\n".into()], 413);
}

#[test]
fn close_is_said_behind_a_malformed_chunk() {
    let first = post("/read", "Transfer-Encoding: chunked\r\n");
    for chunk in ["zz\r\nabc\r\n", "-1\r\n", "3\r\nabcdef\r\n"] {
        check_closed(vec![first.clone(), chunk.into()], 400);
        check_closed(vec![first.clone() + chunk], 400);
    }
}

#[test]
fn no_close_is_said_behind_a_body_that_was_received_whole() {
    let chunked = post("/read", "Transfer-Encoding: chunked\r\n");
    let body = "6\r\nabcdef\r\n0\r\n\r\n";
    check_kept(vec![chunked.clone() + body], 200);
    check_kept(vec![chunked, body.into()], 200);
    let length = post("/read", "Content-Length: 6\r\n");
    check_kept(vec![length.clone() + "abcdef"], 200);
    check_kept(vec![length, "abc".into(), "def".into()], 200);
}

/// The client need not send a body that was refused, so the next bytes are ambiguous.
#[test]
fn close_is_said_if_a_body_was_not_asked_for() {
    let expect = "Expect: 100-continue\r\nContent-Length: 6\r\n";
    let first = post("/refuse", expect);
    check_closed(vec![first.clone()], 404);
    check_closed(vec![first.clone(), "abcdef".into()], 404);
    check_closed(vec![first.clone(), next_request()], 404);
    // A client that has not waited sends the whole body.
    check_kept(vec![first.clone() + "abc", "def".into()], 404);
    check_kept(vec![first + "abcdef"], 404);
}

#[test]
fn body_that_was_asked_for_is_read() {
    let expect = "Expect: 100-continue\r\nContent-Length: 6\r\n";
    let received = exchange(vec![post("/read", expect), "abcdef".into()], true);
    assert_eq!(received.statuses(), [100, 200, 200], "{received:?}");
    assert!(!received.says_close(), "{received:?}");
}

#[test]
fn early_answer_to_a_client_of_version_1_0_tells_whether_its_connection_is_kept() {
    let first = head(
        "POST",
        "/refuse",
        "1.0",
        "Connection: keep-alive\r\nContent-Length: 6\r\n",
    );
    check_kept(vec![first, "abcdef".into()], 404);
    let first = head("POST", "/refuse", "1.0", "Content-Length: 6\r\n");
    for parts in [vec![first.clone()], vec![first, "abcdef".into()]] {
        let received = exchange(parts, false);
        assert_eq!(received.statuses(), [404], "{received:?}");
        assert!(
            !received.text.to_lowercase().contains("keep-alive"),
            "{received:?}"
        );
        assert!(!received.was_reset, "{received:?}");
    }
}

/// The answer does not wait for the rest, and the connection ends when it does not come.
#[test]
fn connection_of_a_client_that_stops_sending_ends() {
    let first = post("/refuse", "Content-Length: 6\r\n") + "abc";
    run(async move {
        let (addr, _token) = start().await;
        let ended = compio::runtime::spawn_blocking(move || {
            let mut stream = TcpStream::connect(addr).expect("the server accepts");
            stream.write_all(first.as_bytes()).expect("it is sent");
            let started = std::time::Instant::now();
            let received = read_until(&mut stream, "refused;");
            assert!(received.text.ends_with("refused;"), "{received:?}");
            assert!(started.elapsed() < HEADER_TIMEOUT / 2);
            let rest = read_until(&mut stream, NEXT_ANSWER);
            assert_eq!(rest.text, "");
            started.elapsed()
        })
        .await
        .expect("the thread ends");
        assert!(ended >= HEADER_TIMEOUT / 2, "{ended:?}");
        assert!(ended < TIMEOUT, "{ended:?}");
    });
}

/// The rest of the body comes when the server stops.
#[test]
fn early_answer_is_not_destroyed_by_a_stop() {
    run(async {
        let (addr, token) = start().await;
        let first = post("/refuse", "Content-Length: 6\r\n");
        let mut stream = TcpStream::connect(addr).expect("the server accepts");
        stream.write_all(first.as_bytes()).expect("it is sent");
        sleep_ms(50).await;
        token.cancel();
        sleep_ms(50).await;
        let received = compio::runtime::spawn_blocking(move || {
            stream
                .write_all(b"abcdef")
                .expect("the connection is not reset");
            std::thread::sleep(PAUSE);
            read_until(&mut stream, "refused;")
        });
        let received = received.await.expect("the thread ends");
        assert!(received.text.ends_with("refused;"), "{received:?}");
    });
}

#[test]
fn early_answer_of_a_stopping_server_says_close() {
    run(async {
        let (addr, token) = start().await;
        let mut stream = TcpStream::connect(addr).expect("the server accepts");
        stream
            .write_all(b"POST /refuse HTTP/1.1\r\n")
            .expect("it is sent");
        sleep_ms(50).await;
        token.cancel();
        sleep_ms(50).await;
        let received = compio::runtime::spawn_blocking(move || {
            let rest = "Content-Length: 6\r\n\r\n";
            stream.write_all(rest.as_bytes()).expect("it is sent");
            std::thread::sleep(PAUSE);
            stream.write_all(b"abcdef").expect("the server reads on");
            std::thread::sleep(PAUSE);
            read_until(&mut stream, NEXT_ANSWER)
        });
        let received = received.await.expect("the thread ends");
        assert_eq!(received.statuses(), [404], "{received:?}");
        assert!(received.says_close(), "{received:?}");
        assert!(!received.was_reset, "{received:?}");
    });
}
