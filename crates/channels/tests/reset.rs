//! A connection that is given up.

use std::cell::Cell;
use std::io::ErrorKind;
use std::io::Read;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use lycheehaven_channels::Connection;
use lycheehaven_net::Body;

/// Day limit-lowered, seed 49569157690: an order that was given up in a
/// partition was delivered when the partition healed, because its connection
/// ended in order and the network still held it.
#[test]
fn request_that_is_given_up_resets_its_connection() {
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
        assert!(answer.is_err(), "nobody answers");
        drop(connection);
        compio::time::sleep(wait).await;
    });
    assert_eq!(open.get(), 0);
    let ended = server.join().expect("the server ends");
    assert_eq!(ended, Err(ErrorKind::ConnectionReset));
}
