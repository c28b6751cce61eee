//! Reset of a connection whose request is abandoned.

use std::cell::Cell;
use std::io::ErrorKind;
use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hyper::Request;
use lycheehaven_channels::Connection;
use lycheehaven_net::Body;

/// Time for which a request is waited for before it is abandoned.
const WAIT: Duration = Duration::from_millis(200);

/// Time for which the process runs on after it has abandoned a request.
const REST: Duration = Duration::from_millis(1500);

/// Sends a request with `body` to `addr`, abandons it, and runs on. Returns when it was
/// abandoned.
fn abandon(addr: SocketAddr, body: Vec<u8>) -> Instant {
    let runtime = compio::runtime::Runtime::new().expect("runtime");
    let open = Rc::new(Cell::new(0));
    let counter = open.clone();
    let abandoned = runtime.block_on(async move {
        let mut connection = Connection::open(addr, Duration::from_secs(1), counter)
            .await
            .expect("the listener accepts");
        let request = Request::new(Body::full(body));
        let answer = compio::time::timeout(WAIT, connection.send(request)).await;
        assert!(answer.is_err(), "the server sends no response");
        drop(connection);
        let abandoned = Instant::now();
        compio::time::sleep(REST).await;
        abandoned
    });
    assert_eq!(open.get(), 0);
    abandoned
}

/// Returns when and how the connection ends of a caller that is served nothing. Reads only
/// the head of the request if `reads_all` is not set.
fn serve_nothing(listener: &TcpListener, reads_all: bool) -> (Instant, ErrorKind) {
    let (mut stream, _) = listener.accept().expect("a connection");
    let mut buffer = [0; 1024];
    let length = stream.read(&mut buffer).expect("the request");
    assert!(buffer[..length].starts_with(b"GET / "));
    if !reads_all {
        std::thread::sleep(WAIT + REST / 2);
    }
    loop {
        match stream.read(&mut buffer) {
            Ok(length) => assert!(length > 0, "the connection was closed in order"),
            Err(cause) => return (Instant::now(), cause.kind()),
        }
    }
}

/// A request abandoned during a network partition must not be delivered once the
/// partition heals. That happened when the connection was closed in order, because
/// the network still held the request (limit-lowered, seed 49569157690).
#[test]
fn abandoned_request_resets_its_connection_while_the_process_runs_on() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("address");
    let server = std::thread::spawn(move || serve_nothing(&listener, true));
    let abandoned = abandon(addr, Vec::new());
    let (ended, kind) = server.join().expect("the server ends");
    assert_eq!(kind, ErrorKind::ConnectionReset);
    assert!(ended < abandoned + REST / 3, "the socket outlived the drop");
}

/// The operation that writes the rest of the body is pending when the request is dropped.
#[test]
fn abandoned_request_that_is_being_written_resets_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("address");
    let server = std::thread::spawn(move || serve_nothing(&listener, false));
    let abandoned = abandon(addr, vec![0; 32 << 20]);
    let (ended, kind) = server.join().expect("the server ends");
    assert_eq!(kind, ErrorKind::ConnectionReset);
    assert!(ended < abandoned + REST, "the socket outlived the drop");
}
