//! Answers of an entry before the end of the request's body, on kept connections.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use lycheehaven_standins::WORKSPACE_KEY;

use crate::support::run;
use crate::support::small_cluster;

/// Time from a head to its body.
const BODY_DELAY: Duration = Duration::from_millis(500);

/// Time limit for an answer.
const TIMEOUT: Duration = Duration::from_secs(5);

const NEXT: &str = "GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n";
const NEXT_ANSWER: &str = "healthy\n";

/// Sends `head`, then `body` with a further request, and returns what arrives.
fn call(addr: SocketAddr, head: &str, body: &str, is_pipelined: bool) -> String {
    let mut stream = TcpStream::connect(addr).expect("the entry accepts");
    stream
        .set_read_timeout(Some(TIMEOUT))
        .expect("the timeout is set");
    stream.write_all(head.as_bytes()).expect("it is sent");
    std::thread::sleep(BODY_DELAY);
    let behind = match is_pipelined {
        true => body.to_owned() + NEXT,
        false => body.to_owned(),
    };
    // The entry may have closed the connection.
    let _ = stream.write_all(behind.as_bytes());
    if !is_pipelined {
        std::thread::sleep(BODY_DELAY);
        let _ = stream.write_all(NEXT.as_bytes());
    }
    let mut received = String::new();
    let mut buffer = [0; 4096];
    while !received.ends_with(NEXT_ANSWER) {
        match stream.read(&mut buffer) {
            Ok(length) if length > 0 => {
                received += &String::from_utf8_lossy(&buffer[..length]);
            }
            Ok(_) | Err(_) => break,
        }
    }
    received
}

fn head(line: &str, key: &str, framing: &str) -> String {
    format!("{line} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n{framing}\r\n\r\n")
}

/// Sends each head with a body behind it, and passes what arrives to `check`.
fn check_all(framing: &'static str, body: &'static str, check: fn(&str, u16)) {
    let cases = [
        ("POST /nothing", WORKSPACE_KEY, 404),
        ("POST /v1/completions", "unknown", 401),
        ("PUT /v1/completions", WORKSPACE_KEY, 405),
        ("GET /v1/models", WORKSPACE_KEY, 200),
        ("POST /admin/nothing", "unknown", 401),
    ];
    run(async {
        let cluster = small_cluster().await;
        let addr = cluster.entries[0].listen;
        for (line, key, status) in cases {
            for is_pipelined in [false, true] {
                let head = head(line, key, framing);
                let received =
                    compio::runtime::spawn_blocking(move || call(addr, &head, body, is_pipelined));
                let received = received.await.expect("the thread ends");
                let context = format!("{line}, pipelined {is_pipelined}: {received}");
                check(&context, status);
            }
        }
    });
}

#[test]
fn request_behind_an_early_answer_of_an_entry_is_answered() {
    check_all("content-length: 6", "abcdef", |context, status| {
        assert!(context.contains(&format!(" {status} ")), "{context}");
        assert!(context.ends_with(NEXT_ANSWER), "{context}");
        assert!(!context.contains("connection: close"), "{context}");
    });
}

#[test]
fn entry_says_close_where_the_rest_of_a_body_is_unknown() {
    let chunks = "6\r\nabcdef\r\n0\r\n\r\n";
    check_all("transfer-encoding: chunked", chunks, |context, status| {
        assert!(context.contains(&format!(" {status} ")), "{context}");
        assert!(context.contains("connection: close"), "{context}");
        assert!(!context.ends_with(NEXT_ANSWER), "{context}");
    });
}
