//! Reset of a connection whose request is abandoned.

use std::cell::Cell;
use std::io::ErrorKind;
use std::io::Read;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use lycheehaven_channels::Connection;
use lycheehaven_net::Body;

/// A request abandoned during a network partition must not be delivered once the
/// partition heals. That happened when the connection was closed in order, because
/// the network still held the request (limit-lowered, seed 49569157690).
#[test]
fn dropping_a_connection_resets_it() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("address");
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut buffer = [0; 1024];
        let length = stream.read(&mut buffer).expect("the request");
        assert!(buffer[..length].starts_with(b"GET / "));
        stream.read(&mut buffer).map_err(|cause| cause.kind())
    });
    let runtime = compio::runtime::Runtime::new().expect("runtime");
    let open = Rc::new(Cell::new(0));
    let counter = open.clone();
    runtime.block_on(async move {
        let mut connection = Connection::open(addr, Duration::from_secs(1), counter)
            .await
            .expect("the listener accepts");
        let request = Request::new(Body::full(""));
        let wait = Duration::from_millis(200);
        let answer = compio::time::timeout(wait, connection.send(request)).await;
        assert!(answer.is_err(), "the server sends no response");
        drop(connection);
        compio::time::sleep(wait).await;
    });
    assert_eq!(open.get(), 0);
    let ended = server.join().expect("the server ends");
    assert_eq!(ended, Err(ErrorKind::ConnectionReset));
}
