//! The client of the cloud API against a server that answers with a given status.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

use lycheehaven_platform::CloudApi;

/// Starts a server that answers one request with `status`.
fn server(status: u16) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("the address is known");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut buffer = [0; 4096];
        let length = stream.read(&mut buffer).expect("the request");
        assert!(buffer[..length].starts_with(b"DELETE /vms/vm-1 "));
        let answer = format!("HTTP/1.1 {status} x\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(answer.as_bytes()).expect("sent");
    });
    addr
}

/// Every status counted as success, so a VM that was not deleted was forgotten.
#[test]
fn deletion_succeeds_only_if_the_vm_is_gone() {
    let runtime = compio::runtime::Runtime::new().expect("runtime");
    for (status, succeeds) in [
        (200, true),
        (204, true),
        (404, true),
        (429, false),
        (503, false),
    ] {
        let cloud = CloudApi::new(server(status), Duration::from_secs(2));
        let deleted = runtime.block_on(cloud.delete("vm-1"));
        assert_eq!(deleted.is_ok(), succeeds, "status {status}");
    }
}
