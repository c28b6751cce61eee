//! Upstreams that say in their responses that they are leaving, or want no requests for
//! some time.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_standins::Cluster;
use lycheehaven_standins::RawRequest;
use lycheehaven_standins::RawServer;
use lycheehaven_upstream::LEAVING_HEADER;

use crate::raw_engine;
use crate::raw_engine::ANSWER;
use crate::raw_engine::is_completion;
use crate::raw_engine::respond_as_engine;
use crate::support::DAEMON;
use crate::support::client;
use crate::support::look_up;
use crate::support::run;

/// Starts entries whose only upstreams of the plain service are `servers`.
async fn cluster_with(entries: &[&str], servers: &[&RawServer]) -> Cluster {
    let mut cluster = Cluster::new(DAEMON);
    for (index, server) in servers.iter().enumerate() {
        let name = format!("raw-{index}");
        cluster
            .platform
            .state()
            .add_vm(&name, "arima", "hinnalaud", server.addr());
    }
    for entry in entries {
        cluster.add_entry(entry, "arima");
    }
    cluster.wait_until_joined().await;
    cluster.declare_default().await;
    cluster
}

/// Starts a plain service whose responses have `status` and `headers` while `active`.
fn service(status: &'static str, headers: String, active: &Arc<AtomicBool>) -> RawServer {
    let active = active.clone();
    RawServer::start(move |_: &RawRequest, stream: &mut TcpStream| {
        let (status, headers) = if active.load(Ordering::SeqCst) {
            (status, headers.as_str())
        } else {
            ("200 OK", "")
        };
        let _ = write!(
            stream,
            "HTTP/1.1 {status}\r\n{headers}Content-Length: 2\r\nConnection: close\r\n\r\nok"
        );
    })
}

#[test]
fn upstream_that_says_it_leaves_gets_no_more_calls_of_any_entry() {
    let active = Arc::new(AtomicBool::new(true));
    let leaving = service("200 OK", format!("{LEAVING_HEADER}: 1\r\n"), &active);
    run(async {
        let cluster = cluster_with(&["entry-a", "entry-b"], &[&leaving]).await;
        assert_eq!(look_up(&cluster, 0).await.status, 200);
        assert_eq!(look_up(&cluster, 0).await.status, 503);
        let deadline = Instant::now() + Duration::from_secs(5);
        while look_up(&cluster, 1).await.status != 503 {
            assert!(Instant::now() < deadline, "the other entry does not know");
            compio::time::sleep(Duration::from_millis(50)).await;
        }
    });
}

#[test]
fn upstream_gets_nothing_while_it_pauses_and_calls_again_afterwards() {
    const PAUSE: Duration = Duration::from_millis(800);
    let active = Arc::new(AtomicBool::new(true));
    let pausing = service(
        "503 Service Unavailable",
        "Retry-After: 0.8\r\n".into(),
        &active,
    );
    run(async {
        let cluster = cluster_with(&["entry-a"], &[&pausing]).await;
        look_up(&cluster, 0).await;
        let began = Instant::now();
        active.store(false, Ordering::SeqCst);
        let received = pausing.received().len();
        while began.elapsed() < PAUSE.mul_f64(0.8) {
            let reply = look_up(&cluster, 0).await;
            assert_eq!(reply.status, 503, "{reply:?}");
            assert!(reply.headers.contains_key("retry-after"), "{reply:?}");
        }
        assert_eq!(pausing.received().len(), received);
        compio::time::sleep(PAUSE.mul_f64(0.4)).await;
        assert_eq!(look_up(&cluster, 0).await.status, 200);
    });
}

#[test]
fn engine_that_says_it_leaves_in_a_stream_gets_no_other() {
    let server = RawServer::start(|request, stream| {
        respond_as_engine(request, stream, &format!("{LEAVING_HEADER}: 1\r\n"), None);
    });
    run(async {
        let cluster = raw_engine::cluster_with("poleer-llm", &server).await;
        let addr = cluster.entries[0].listen;
        let received = client().stream_to_end(&[addr], "table len=5").await;
        assert_eq!(received.text, ANSWER);
        let refused = client().complete(addr, "chair len=5").await.unwrap();
        assert_eq!(refused.status, 503, "{refused:?}");
        let attempts = server.received().into_iter().filter(is_completion);
        assert_eq!(attempts.count(), 1);
    });
}

/// The engine rejects the first request, which waits, and all others are refused.
#[test]
fn stream_waits_for_the_end_of_the_pause_of_its_only_engine() {
    const PAUSE: Duration = Duration::from_millis(900);
    let rejected = Arc::new(AtomicBool::new(false));
    let first = rejected.clone();
    let server = RawServer::start(move |request, stream| {
        if is_completion(request) && !first.swap(true, Ordering::SeqCst) {
            let head = "HTTP/1.1 503 Busy\r\nRetry-After: 0.9\r\nContent-Length: 0\r\n\r\n";
            let _ = stream.write_all(head.as_bytes());
            return;
        }
        respond_as_engine(request, stream, "", None);
    });
    run(async {
        let cluster = raw_engine::cluster_with("poleer-llm", &server).await;
        let addr = cluster.entries[0].listen;
        let began = Instant::now();
        let mut stream = client().stream(addr, "table len=5").await.unwrap();
        while !rejected.load(Ordering::SeqCst) {
            compio::time::sleep(Duration::from_millis(5)).await;
        }
        compio::time::sleep(Duration::from_millis(100)).await;
        let refused = client().complete(addr, "chair len=5").await.unwrap();
        assert_eq!(refused.status, 503, "{refused:?}");
        assert!(refused.headers.contains_key("retry-after"), "{refused:?}");
        while stream.next().await {}
        assert_eq!(stream.received.text, ANSWER);
        assert!(
            began.elapsed() >= PAUSE.mul_f64(0.9),
            "{:?}",
            began.elapsed()
        );
    });
}
