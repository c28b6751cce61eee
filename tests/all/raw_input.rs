//! Input that no HTTP client would send, and what the daemon is linked with.

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

fn answer_to(addr: std::net::SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    // The entry may close the connection before everything was sent.
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

#[test]
fn oversized_headers_and_garbage_are_refused() {
    run(async {
        let cluster = small_cluster().await;
        for addr in [cluster.entries[0].listen, cluster.entries[0].peer_listen] {
            let mut endless = b"GET / HTTP/1.1\r\nx-filler: ".to_vec();
            endless.extend(std::iter::repeat_n(b'a', 256 * 1024));
            let answer = answer_to(addr, &endless);
            assert!(answer.is_empty() || answer.contains(" 431 "), "{answer}");
            let answer = answer_to(addr, b"\x00\x01\x02 not http\r\n\r\n");
            assert!(answer.is_empty() || answer.contains(" 400 "), "{answer}");
        }
        let reply = client()
            .complete(cluster.entries[0].listen, "label len=3")
            .await
            .unwrap();
        assert_eq!(reply.status, 200);
    });
}

#[test]
fn broken_messages_and_unknown_peers_are_refused() {
    run(async {
        let cluster = small_cluster().await;
        let addr = cluster.entries[0].peer_listen;
        let wait = Duration::from_secs(5);
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
            let stranger = HttpClient::new();
            let reply = stranger
                .call(Method::POST, addr, &path, "", wait)
                .await
                .unwrap();
            assert_eq!(reply.status, 401, "{path}");
            let peer = HttpClient::new().with_header("x-peer-key", "peer-secret");
            let broken = vec![0xc1_u8; 64];
            let reply = peer
                .call(Method::POST, addr, &path, broken, wait)
                .await
                .unwrap();
            assert!((400..500).contains(&reply.status), "{path}: {reply:?}");
        }
        assert_eq!(cluster.status(0).await["ready"], true);
    });
}

/// A sender that never finishes its headers is cut off and holds up nobody.
#[test]
fn slow_sender_is_cut_off() {
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

/// Another workspace that learns a request's identifier gets the same answer
/// as for one that does not exist.
#[test]
fn workspaces_do_not_see_each_other() {
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
fn limits_refuse_at_once_and_say_when_to_come_back() {
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
            "{refused} of 20 refused at 2 requests a second"
        );
        let other = Client::new(OTHER_WORKSPACE_KEY)
            .complete(addr, "label len=2")
            .await
            .unwrap();
        assert_eq!(other.status, 200, "another workspace is not disturbed");
    });
}

/// The daemon makes no io_uring call: neither its symbols nor the driver's
/// name are linked in.
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
fn command_line_says_what_is_wrong() {
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

fn head(framing: &str) -> Vec<u8> {
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {WORKSPACE_KEY}\r\n\
         {framing}\r\n\r\n"
    )
    .into_bytes()
}

#[test]
fn slow_and_endless_bodies_get_their_errors() {
    run(async {
        let cluster = small_cluster().await;
        let addr = cluster.entries[0].listen;
        let mut slow = head("content-length: 100\r\nconnection: close");
        slow.extend(b"{\"model\"");
        let slow = std::thread::spawn(move || answer_to(addr, &slow));
        let mut endless = head("transfer-encoding: chunked\r\nconnection: close");
        for _ in 0..20 {
            endless.extend(b"10000\r\n");
            endless.extend(std::iter::repeat_n(b' ', 0x10000));
            endless.extend(b"\r\n");
        }
        let answer = answer_to(addr, &endless);
        assert!(
            answer.is_empty() || answer.contains("too_large"),
            "{answer}"
        );
        let reply = client().complete(addr, "label len=3").await.unwrap();
        assert_eq!(reply.status, 200);
        let answer = slow.join().unwrap();
        assert!(answer.contains("slow_request"), "{answer}");
    });
}
