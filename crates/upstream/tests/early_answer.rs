//! A plain service that answers before it has read a long body.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_net::connect;
use lycheehaven_upstream::plain::PlainCall;
use lycheehaven_upstream::plain::send_once;

/// Size of the long body, which the kernel does not buffer.
const BODY_BYTES: usize = 12 * 1024 * 1024;

/// Time for which the service does not read behind its answer.
const PAUSE: Duration = Duration::from_millis(400);

const TIMEOUT: Duration = Duration::from_secs(5);

/// An answer that ends with its connection.
const UNBOUNDED_ANSWER: &str = "HTTP/1.1 200 OK\r\n\r\nearly";

const ANSWER: &str = "HTTP/1.1 413 Payload Too Large\r\nContent-Length: 5\r\n\r\nearly";

/// Starts a service that answers when it has read the first bytes of a request, and goes
/// on with `then`.
fn start(answer: &'static str, then: fn(TcpStream)) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("address");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let length = stream.read(&mut [0; 1024]).expect("the head");
            assert!(length > 0);
            stream
                .write_all(answer.as_bytes())
                .expect("the answer is sent");
            then(stream);
        }
    });
    addr
}

fn long_call() -> PlainCall {
    PlainCall {
        method: "POST".into(),
        path: "/long".into(),
        content_type: None,
        body: vec![b'b'; BODY_BYTES],
        key: None,
    }
}

/// Checks that a call gets the whole answer, and does not wait for its body to be read.
fn check(then: fn(TcpStream)) {
    let addr = start(ANSWER, then);
    let call = long_call();
    let runtime = compio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(async move {
        for round in 0..10 {
            let started = Instant::now();
            let stream = connect(addr, TIMEOUT).await.expect("it is accepted");
            let reply = send_once(stream, addr, &call).await;
            let reply = reply.unwrap_or_else(|cause| panic!("round {round}: {cause}"));
            assert_eq!(reply.response.status, 413);
            assert_eq!(reply.response.body, b"early");
            assert!(started.elapsed() < PAUSE, "the answer was held back");
        }
    });
}

#[test]
fn answer_before_a_body_that_is_read_later_is_passed_on() {
    check(|mut stream| {
        std::thread::spawn(move || {
            std::thread::sleep(PAUSE);
            let mut buffer = [0; 65536];
            while stream.read(&mut buffer).is_ok_and(|length| length > 0) {}
        });
    });
}

/// The close of a connection with unread bytes is a reset.
#[test]
fn answer_before_a_reset_is_passed_on() {
    check(drop);
}

/// Part of an answer may have been lost, so it is no success.
#[test]
fn answer_that_a_reset_ends_is_not_complete() {
    let addr = start(UNBOUNDED_ANSWER, drop);
    let call = long_call();
    let runtime = compio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(async move {
        for round in 0..50 {
            let stream = connect(addr, TIMEOUT).await.expect("it is accepted");
            let reply = send_once(stream, addr, &call).await;
            assert!(reply.is_err(), "round {round}");
        }
    });
}
