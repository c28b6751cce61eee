//! Malformed and slow input, isolation and quotas of workspaces, and the daemon's
//! command line and linkage.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use lycheehaven_net::HttpClient;
use lycheehaven_standins::Client;
use lycheehaven_standins::OTHER_WORKSPACE_KEY;
use lycheehaven_standins::WORKSPACE_KEY;
use serde_json::Value;

use crate::support::DAEMON;
use crate::support::client;
use crate::support::run;
use crate::support::small_cluster;

/// Sends raw bytes and returns everything received until the connection closes.
fn send_raw(addr: std::net::SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    // The entry may close the connection before all bytes are sent.
    let _ = stream.write_all(bytes);
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

#[test]
fn oversized_headers_and_malformed_requests_are_refused() {
    run(async {
        let cluster = small_cluster().await;
        for addr in [cluster.entries[0].listen, cluster.entries[0].peer_listen] {
            let mut oversized = b"GET / HTTP/1.1\r\nx-filler: ".to_vec();
            oversized.extend(std::iter::repeat_n(b'a', 256 * 1024));
            let response = send_raw(addr, &oversized);
            assert!(
                response.is_empty() || response.contains(" 431 "),
                "{response}"
            );
            let response = send_raw(addr, b"\x00\x01\x02 not http\r\n\r\n");
            assert!(
                response.is_empty() || response.contains(" 400 "),
                "{response}"
            );
        }
        let reply = client()
            .complete(cluster.entries[0].listen, "label len=3")
            .await
            .unwrap();
        assert_eq!(reply.status, 200);
    });
}

#[test]
fn malformed_messages_and_unauthenticated_peers_are_refused() {
    run(async {
        let cluster = small_cluster().await;
        let addr = cluster.entries[0].peer_listen;
        let timeout = Duration::from_secs(5);
        let paths = [
            "exchange",
            "leaving",
            "replicate",
            "claim",
            "claim_status",
            "suspect",
            "nothing",
        ];
        for path in paths {
            let path = format!("/peer/{path}");
            let unauthenticated = HttpClient::new();
            let reply = unauthenticated
                .call(Method::POST, addr, &path, "", timeout)
                .await
                .unwrap();
            assert_eq!(reply.status, 401, "{path}");
            let peer = HttpClient::new().with_header("x-peer-key", "peer-secret");
            let malformed = vec![0xc1_u8; 64];
            let reply = peer
                .call(Method::POST, addr, &path, malformed, timeout)
                .await
                .unwrap();
            assert!((400..500).contains(&reply.status), "{path}: {reply:?}");
        }
        assert_eq!(cluster.status(0).await["ready"], true);
    });
}

/// The connection of a client that never finishes its headers is closed, and
/// other clients are served meanwhile.
#[test]
fn connection_with_incomplete_headers_is_closed() {
    run(async {
        let cluster = small_cluster().await;
        let addr = cluster.entries[0].listen;
        let mut slow = TcpStream::connect(addr).unwrap();
        slow.write_all(b"POST /v1/completions HTTP/1.1\r\nhost: x\r\n")
            .unwrap();
        slow.set_read_timeout(Some(Duration::from_secs(30)))
            .unwrap();
        let reply = client().complete(addr, "label len=3").await.unwrap();
        assert_eq!(reply.status, 200);
        let started = Instant::now();
        let _ = slow.read(&mut [0; 64]);
        assert!(
            started.elapsed() < Duration::from_secs(20),
            "{:?}",
            started.elapsed()
        );
    });
}

/// The identifier of another workspace's request must give the same error as an
/// identifier that does not exist.
#[test]
fn requests_of_other_workspaces_are_unknown() {
    run(async {
        let cluster = small_cluster().await;
        let mut stream = client()
            .stream(cluster.entries[0].listen, "secret len=20")
            .await
            .unwrap();
        while stream.next().await {}
        for entry in &cluster.entries {
            let mut other = Client::new(OTHER_WORKSPACE_KEY)
                .resume(entry.listen, &stream.received)
                .await
                .unwrap();
            while other.next().await {}
            assert_eq!(other.received.error.as_deref(), Some("unknown_request"));
        }
    });
}

#[test]
fn rate_limit_refuses_immediately_with_retry_after() {
    run(async {
        let cluster = small_cluster().await;
        let change = serde_json::json!({"workspaces": {"riigi": {"rate": 2.0}}});
        cluster.patch(0, 1, "limit", change).await;
        cluster.wait_for_config(2).await;
        let addr = cluster.entries[0].listen;
        let mut refused = 0;
        for n in 0..20 {
            let started = Instant::now();
            let reply = client()
                .complete(addr, &format!("label {n} len=2"))
                .await
                .unwrap();
            if reply.status == 429 {
                refused += 1;
                assert!(reply.headers.contains_key("retry-after"), "{reply:?}");
                assert_eq!(
                    reply.json::<Value>().unwrap()["error"]["outcome"],
                    "not_run"
                );
                assert!(started.elapsed() < Duration::from_secs(1));
            }
        }
        assert!(
            refused >= 10,
            "{refused} of 20 refused at 2 requests per second"
        );
        let other = Client::new(OTHER_WORKSPACE_KEY)
            .complete(addr, "label len=2")
            .await
            .unwrap();
        assert_eq!(other.status, 200, "another workspace is not affected");
    });
}

/// The daemon must not use io_uring: none of its symbols are linked in.
#[test]
fn io_uring_is_not_linked() {
    let binary = std::fs::read(DAEMON).unwrap();
    let contains = |needle: &[u8]| binary.windows(needle.len()).any(|window| window == needle);
    assert!(contains(b"epoll_wait") || contains(b"epoll_pwait") || contains(b"epoll_ctl"));
    for needle in [&b"io_uring_setup"[..], b"io_uring_enter", b"IORING_"] {
        assert!(!contains(needle), "{}", String::from_utf8_lossy(needle));
    }
}

#[test]
fn command_line_exit_codes() {
    let output = |args: &[&str]| Command::new(DAEMON).args(args).output().unwrap();
    assert_eq!(output(&[]).status.code(), Some(2));
    assert_eq!(output(&["--nonsense"]).status.code(), Some(2));
    assert_eq!(
        output(&["--check", "/nonexistent.toml"]).status.code(),
        Some(2)
    );
    assert!(output(&["--version"]).status.success());
    let sample = concat!(env!("CARGO_MANIFEST_DIR"), "/settings/trinidad.toml");
    assert!(output(&["--check", sample]).status.success());
}

/// Returns the head of a completion request with the given framing headers.
fn request_head(framing: &str) -> Vec<u8> {
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {WORKSPACE_KEY}\r\n\
         {framing}\r\n\r\n"
    )
    .into_bytes()
}

#[test]
fn slow_and_oversized_bodies_are_refused() {
    run(async {
        let cluster = small_cluster().await;
        let addr = cluster.entries[0].listen;
        let mut slow = request_head("content-length: 100\r\nconnection: close");
        slow.extend(b"{\"model\"");
        let slow = std::thread::spawn(move || send_raw(addr, &slow));
        let mut oversized = request_head("transfer-encoding: chunked\r\nconnection: close");
        for _ in 0..20 {
            oversized.extend(b"10000\r\n");
            oversized.extend(std::iter::repeat_n(b' ', 0x10000));
            oversized.extend(b"\r\n");
        }
        let response = send_raw(addr, &oversized);
        assert!(
            response.is_empty() || response.contains("too_large"),
            "{response}"
        );
        let reply = client().complete(addr, "label len=3").await.unwrap();
        assert_eq!(reply.status, 200);
        let response = slow.join().unwrap();
        assert!(response.contains("slow_request"), "{response}");
    });
}
