//! A server that answers before it has read a long body, keeps the connection, and reads
//! on later.

use std::cell::Cell;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use hyper::Request;
use hyper::body::Bytes;
use hyper::body::Incoming;
use lycheehaven_catalog::UpstreamKey;
use lycheehaven_channels::Connection;
use lycheehaven_channels::Pool;
use lycheehaven_net::Body;
use lycheehaven_net::collect_body;

/// Size of the long body, which the kernel does not buffer.
const BODY_BYTES: usize = 12 * 1024 * 1024;

/// Time from the answer until the server reads on.
const PAUSE: Duration = Duration::from_millis(400);

/// Time for which a connection is kept, and time limit of a step.
const TIMEOUT: Duration = Duration::from_secs(5);

const ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly";

/// Answers a long request before its body was read, and the next one behind it. Returns
/// the bytes behind the first head.
fn serve(listener: &TcpListener) -> Vec<u8> {
    let (mut stream, _) = listener.accept().expect("a connection");
    let mut received = Vec::new();
    let mut buffer = [0; 65536];
    while !received.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
        let length = stream.read(&mut buffer).expect("the head");
        received.extend_from_slice(&buffer[..length]);
    }
    stream
        .write_all(ANSWER.as_bytes())
        .expect("the answer is sent");
    std::thread::sleep(PAUSE);
    let end = received.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    let mut behind = received.split_off(end.expect("there is a head") + 4);
    read_on(&mut stream, &mut behind);
    behind
}

/// Reads until the connection ends, and answers a request behind the long body.
fn read_on(stream: &mut TcpStream, behind: &mut Vec<u8>) {
    let mut buffer = [0; 65536];
    let mut is_answered = false;
    while let Ok(length) = stream.read(&mut buffer) {
        if length == 0 {
            return;
        }
        behind.extend_from_slice(&buffer[..length]);
        let next = behind.get(BODY_BYTES..).unwrap_or_default();
        if !is_answered && next.ends_with(b"\r\n\r\n") {
            is_answered = true;
            // The client may have closed the connection.
            let _ = stream.write_all(ANSWER.as_bytes());
        }
    }
}

fn start() -> (SocketAddr, JoinHandle<Vec<u8>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("address");
    (addr, std::thread::spawn(move || serve(&listener)))
}

async fn read(body: Incoming) -> Bytes {
    let body = collect_body(body, ANSWER.len()).await;
    body.expect("the answer is whole")
}

/// Sends a request with a long body, and returns its connection once it is answered.
async fn send_long(addr: SocketAddr) -> Connection {
    let mut connection = Connection::open(addr, TIMEOUT, Rc::new(Cell::new(0)))
        .await
        .expect("the listener accepts");
    let request = Request::new(Body::full(vec![b'b'; BODY_BYTES]));
    let started = Instant::now();
    let answer = connection.send(request).await.expect("an answer");
    assert_eq!(read(answer.into_body()).await, "early");
    assert!(started.elapsed() < PAUSE, "the answer was held back");
    connection
}

fn run(test: impl Future<Output = ()>) {
    let runtime = compio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(test);
}

fn upstream() -> UpstreamKey {
    UpstreamKey {
        id: "i-1".into(),
        incarnation: 1,
    }
}

#[test]
fn connection_is_not_used_again_while_a_body_is_being_written() {
    let (addr, server) = start();
    run(async move {
        let connection = send_long(addr).await;
        assert!(!connection.is_ready());
        let mut pool = Pool::default();
        let now = Instant::now();
        pool.put(&upstream(), connection, TIMEOUT, now);
        assert!(pool.take(&upstream(), now).is_none());
    });
    let behind = server.join().expect("the server ends");
    assert!(behind.iter().all(|byte| *byte == b'b'));
}

#[test]
fn connection_is_used_again_behind_a_body_that_was_written_whole() {
    let (addr, server) = start();
    run(async move {
        let connection = send_long(addr).await;
        let mut pool = Pool::default();
        pool.put(&upstream(), connection, TIMEOUT, Instant::now());
        compio::time::sleep(PAUSE * 3).await;
        let taken = pool.take(&upstream(), Instant::now());
        let (mut connection, _) = taken.expect("the connection is kept");
        let request = Request::new(Body::full(Vec::new()));
        let answer = connection.send(request).await.expect("an answer");
        assert_eq!(read(answer.into_body()).await, "early");
    });
    let behind = server.join().expect("the server ends");
    assert!(behind.len() > BODY_BYTES);
    let (body, next) = behind.split_at(BODY_BYTES);
    assert!(body.iter().all(|byte| *byte == b'b'));
    assert!(next.starts_with(b"GET / HTTP/1.1\r\n"));
}
