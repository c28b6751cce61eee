//! A server that stops accepting while requests arrive.

use std::cell::RefCell;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hyper::Request;
use hyper::Response;
use lycheehaven_net::Body;
use lycheehaven_net::Incoming;
use lycheehaven_net::OpenRequests;
use lycheehaven_net::Phase;
use lycheehaven_net::ServerLimits;
use lycheehaven_net::bind;
use lycheehaven_net::read_body;
use lycheehaven_net::serve;
use lycheehaven_net::serve_counted;
use lycheehaven_net::sleep_ms;
use lycheehaven_net::spawn_detached;
use tokio_util::sync::CancellationToken;

/// Time limit for a response.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which the event loop is busy, and after which the stop is due meanwhile.
const BUSY_TIME: Duration = Duration::from_millis(20);
const STOP_AFTER_MS: u64 = 10;

/// Paths of the requests that a handler received.
type Handled = Rc<RefCell<Vec<String>>>;

/// Starts a server that answers with the path, and returns what stops it.
async fn start() -> (SocketAddr, CancellationToken, Handled) {
    let listener = bind("127.0.0.1:0".parse().expect("the address is valid"))
        .await
        .expect("a port is free");
    let addr = listener.local_addr().expect("the address is known");
    let token = CancellationToken::new();
    let handled = Handled::default();
    let log = handled.clone();
    let handler = move |request: Request<Incoming>| {
        let log = log.clone();
        async move {
            let path = request.uri().path().to_owned();
            log.borrow_mut().push(path.clone());
            let body = read_body(request.into_body(), 1 << 20, TIMEOUT).await;
            if path.starts_with("/late") {
                sleep_ms(200).await;
            }
            let length = body.map_or(0, |body| body.len());
            Response::new(Body::full(format!("{path} {length};")))
        }
    };
    spawn_detached(serve(
        listener,
        ServerLimits::default(),
        token.clone(),
        handler,
    ));
    (addr, token, handled)
}

fn request(path: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Connects to `addr` and sends `text` on a thread, and returns what arrives until
/// `answers` answers are complete or the connection ends.
async fn exchange(stream: &TcpStream, text: String, answers: usize) -> std::io::Result<String> {
    let mut stream = stream.try_clone().expect("the socket is cloned");
    compio::runtime::spawn_blocking(move || {
        stream.write_all(text.as_bytes())?;
        read_answers(&mut stream, answers)
    })
    .await
    .expect("the thread ends")
}

/// Returns what arrives until `answers` answers are complete or the connection ends.
fn read_answers(stream: &mut TcpStream, answers: usize) -> std::io::Result<String> {
    stream.set_read_timeout(Some(TIMEOUT))?;
    let mut received = String::new();
    let mut buffer = [0; 4096];
    while received.matches(';').count() < answers {
        let length = stream.read(&mut buffer)?;
        if length == 0 {
            break;
        }
        received += &String::from_utf8_lossy(&buffer[..length]);
    }
    Ok(received)
}

/// Opens a connection on which one request was answered.
async fn kept_connection(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).expect("the server accepts");
    let answer = exchange(&stream, request("/first", ""), 1).await;
    let answer = answer.expect("the first request is answered");
    assert!(answer.contains("/first 0;"), "{answer}");
    stream
}

/// Returns whether the close of the connection has arrived.
fn is_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("the mode is set");
    let is_closed = stream.peek(&mut [0]).is_ok_and(|length| length == 0);
    stream.set_nonblocking(false).expect("the mode is set");
    is_closed
}

fn run(test: impl Future<Output = ()>) {
    compio::runtime::Runtime::new()
        .expect("the runtime starts")
        .block_on(test);
}

/// Cancels `token` in the same turn of the event loop in which `send` takes effect.
async fn stop_while(token: &CancellationToken, send: impl FnOnce()) {
    let stop = token.clone();
    spawn_detached(async move {
        sleep_ms(STOP_AFTER_MS).await;
        stop.cancel();
    });
    // The timer is set before the event loop is kept busy.
    lycheehaven_net::yield_now().await;
    send();
    std::thread::sleep(BUSY_TIME);
}

/// A request whose bytes were read in the turn in which the server stops is answered.
#[test]
fn request_read_at_the_moment_of_the_stop_is_answered() {
    run(async {
        for round in 0..20 {
            let (addr, token, handled) = start().await;
            let mut stream = kept_connection(addr).await;
            let mut writer = stream.try_clone().expect("the socket is cloned");
            stop_while(&token, move || {
                let text = request("/second", "abc");
                writer.write_all(text.as_bytes()).expect("it is sent");
            })
            .await;
            let answer = compio::runtime::spawn_blocking(move || read_answers(&mut stream, 1))
                .await
                .expect("the thread ends");
            match answer {
                Ok(answer) => assert!(answer.contains("/second 3;"), "{round}: {answer:?}"),
                // The close found bytes that were not read, so the request was not run.
                Err(_) => assert_eq!(handled.borrow().len(), 1, "round {round}"),
            }
        }
    });
}

/// A request that crosses the close of its connection is not read, so the close is a
/// reset, which tells the caller that the request did not run.
#[test]
fn request_that_crosses_the_close_is_not_read() {
    run(async {
        for round in 0..100 {
            let (addr, token, handled) = start().await;
            let mut stream = kept_connection(addr).await;
            token.cancel();
            lycheehaven_net::yield_now().await;
            if is_closed(&stream) {
                // Its caller knows before it sends anything.
                continue;
            }
            let text = request("/second", "abc");
            stream.write_all(text.as_bytes()).expect("it is sent");
            std::thread::sleep(BUSY_TIME);
            let answer = compio::runtime::spawn_blocking(move || read_answers(&mut stream, 1))
                .await
                .expect("the thread ends");
            assert!(answer.is_err(), "{round}: {answer:?}");
            assert_eq!(handled.borrow().len(), 1, "round {round}");
        }
    });
}

/// A request of which a part was read before the stop is answered when the rest arrives.
#[test]
fn request_of_which_a_part_was_read_before_the_stop_is_answered() {
    let text = request("/second", "abcdef");
    for split in [1, 10, text.len() / 2, text.len() - 6, text.len() - 1] {
        for is_kept in [true, false] {
            run(async {
                let (addr, token, _) = start().await;
                let mut stream = match is_kept {
                    true => kept_connection(addr).await,
                    false => TcpStream::connect(addr).expect("the server accepts"),
                };
                let (before, after) = text.split_at(split);
                stream.write_all(before.as_bytes()).expect("it is sent");
                sleep_ms(30).await;
                continue_after_stop(&stream, &token, after, split).await;
            });
        }
    }
}

async fn continue_after_stop(
    stream: &TcpStream,
    token: &CancellationToken,
    after: &str,
    split: usize,
) {
    token.cancel();
    sleep_ms(30).await;
    let answer = exchange(stream, after.to_owned(), 1).await;
    let answer = answer.expect("the connection is not reset");
    assert!(answer.contains("/second 6;"), "{split}: {answer:?}");
    assert!(answer.contains("connection: close"), "{split}: {answer:?}");
}

/// Requests that were sent together are all answered, in their order.
#[test]
fn pipelined_requests_are_answered_when_the_server_stops() {
    for text in [
        request("/late-1", "") + &request("/two", "abc"),
        request("/late-1", "abc") + &request("/late-2", "abc") + &request("/three", ""),
    ] {
        run(async {
            let (addr, token, _) = start().await;
            let stream = kept_connection(addr).await;
            let stop = token.clone();
            spawn_detached(async move {
                sleep_ms(60).await;
                stop.cancel();
            });
            let count = text.matches("POST").count();
            let answers = exchange(&stream, text.clone(), count).await;
            let answers = answers.expect("the connection is not reset");
            assert_eq!(answers.matches(';').count(), count, "{answers}");
        });
    }
}

/// Connections that wait to be accepted when the server stops are served.
#[test]
fn connections_in_the_accept_queue_are_served_when_the_server_stops() {
    run(async {
        let (addr, token, _) = start().await;
        let mut streams = Vec::new();
        stop_while(&token, || {
            for index in 0..20 {
                let mut stream = TcpStream::connect(addr).expect("the kernel accepts");
                let text = request(&format!("/new-{index}"), "");
                stream.write_all(text.as_bytes()).expect("it is sent");
                streams.push(stream);
            }
        })
        .await;
        for (index, mut stream) in streams.into_iter().enumerate() {
            let answer = compio::runtime::spawn_blocking(move || read_answers(&mut stream, 1))
                .await
                .expect("the thread ends")
                .expect("the connection is not reset");
            assert!(answer.contains(&format!("/new-{index} 0;")), "{answer:?}");
        }
    });
}

/// An answer is delivered whole if its caller has sent bytes that nobody reads.
#[test]
fn unread_bytes_of_the_caller_do_not_destroy_its_answer() {
    run(async {
        let listener = bind("127.0.0.1:0".parse().expect("the address is valid"))
            .await
            .expect("a port is free");
        let addr = listener.local_addr().expect("the address is known");
        let answer = "x".repeat(400_000);
        let body = answer.clone();
        // Refuses without reading the request's body.
        let handler = move |_: Request<Incoming>| {
            let mut response = Response::new(Body::full(body.clone()));
            *response.status_mut() = hyper::StatusCode::PAYLOAD_TOO_LARGE;
            async move { response }
        };
        let token = CancellationToken::new();
        spawn_detached(serve(listener, ServerLimits::default(), token, handler));
        let received = compio::runtime::spawn_blocking(move || {
            let mut stream = TcpStream::connect(addr).expect("the server accepts");
            let text = request("/large", &"b".repeat(300_000));
            stream
                .write_all(text.as_bytes())
                .expect("the server goes on reading");
            std::thread::sleep(Duration::from_millis(100));
            stream
                .set_read_timeout(Some(TIMEOUT))
                .expect("the timeout is set");
            let mut received = Vec::new();
            let mut buffer = [0; 10_000];
            let result = loop {
                std::thread::sleep(Duration::from_millis(5));
                match stream.read(&mut buffer) {
                    Ok(0) => break Ok(()),
                    Ok(length) => received.extend_from_slice(&buffer[..length]),
                    Err(cause) => break Err(cause),
                }
            };
            (received, result)
        })
        .await
        .expect("the thread ends");
        let text = String::from_utf8_lossy(&received.0);
        assert!(text.ends_with(&answer), "{} bytes", text.len());
        assert!(received.1.is_ok(), "{:?}", received.1);
    });
}

/// Returns what the only open request waits for, if there is one.
fn phase(open: &OpenRequests) -> Option<Phase> {
    let list = open.list();
    assert!(list.len() <= 1, "{list:?}");
    list.first().map(|open| open.phase)
}

/// A stop with an open request is told with what the request waits for.
#[test]
fn open_request_is_listed_until_its_answer_is_written() {
    run(async {
        let listener = bind("127.0.0.1:0".parse().expect("the address is valid"))
            .await
            .expect("a port is free");
        let addr = listener.local_addr().expect("the address is known");
        let open = OpenRequests::new(|headers| headers.get("request-id").cloned());
        let answer = "x".repeat(8_000_000);
        let handler = move |request: Request<Incoming>| {
            let answer = answer.clone();
            async move {
                let body = read_body(request.into_body(), 100, TIMEOUT).await;
                sleep_ms(50).await;
                assert!(body.is_ok());
                Response::new(Body::full(answer))
            }
        };
        let token = CancellationToken::new();
        let limits = ServerLimits::default();
        spawn_detached(serve_counted(
            listener,
            limits,
            token,
            open.clone(),
            handler,
        ));
        let mut stream = TcpStream::connect(addr).expect("the server accepts");
        let steps = [
            ("POST / HTTP/1.1\r\nRequest-Id: r1\r\n", Phase::Head),
            ("Content-Length: 1\r\n\r\n", Phase::Handler),
            ("b", Phase::Client),
        ];
        let mut last = None;
        for (part, expected) in steps {
            stream.write_all(part.as_bytes()).expect("it is sent");
            let deadline = Instant::now() + TIMEOUT;
            while phase(&open) != Some(expected) {
                assert_eq!(phase(&open), last, "before {expected:?}");
                assert!(Instant::now() < deadline, "it waits for {expected:?}");
                sleep_ms(1).await;
            }
            last = Some(expected);
            sleep_ms(20).await;
            assert_eq!(phase(&open), last, "after a part of the request");
        }
        assert_eq!(open.list()[0].id_text(), "r1");
        let read = compio::runtime::spawn_blocking(move || {
            let mut received = vec![0; 8_000_000];
            stream.read_exact(&mut received).is_ok()
        });
        assert!(read.await.expect("the thread ends"));
        sleep_ms(20).await;
        assert_eq!(open.count(), 0);
        assert!(open.list().is_empty());
    });
}
