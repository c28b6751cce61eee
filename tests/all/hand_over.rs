//! Requests that an entry hands over as it stops.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join;
use lycheehaven_standins::Cluster;
use lycheehaven_standins::RawRequest;
use lycheehaven_standins::RawServer;

use crate::late_caller::End;
use crate::late_caller::Kind;
use crate::late_caller::end_of;
use crate::late_caller::late;
use crate::late_caller::send_all;
use crate::raw_engine::is_completion;
use crate::raw_engine::respond_as_engine;
use crate::support::DAEMON;
use crate::support::run;

/// Time until the signals, from the second one until the peer goes on, and until it has sent a
/// request that it takes over.
const SIGNAL_DELAY: Duration = Duration::from_millis(300);
const PEER_DELAY: Duration = Duration::from_millis(200);
const RUN_WAIT: Duration = Duration::from_secs(2);

/// Starts an engine that refuses completions until `is_serving` is set.
fn engine(is_serving: Arc<AtomicBool>) -> RawServer {
    RawServer::start(move |request: &RawRequest, stream: &mut TcpStream| {
        if !is_completion(request) || is_serving.load(Ordering::SeqCst) {
            return respond_as_engine(request, stream, "", None);
        }
        // The entry may have closed the connection.
        let _ = stream.write_all(b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n");
    })
}

/// Guards against "not run" for a request that a peer has taken over.
#[test]
fn request_that_a_slow_peer_takes_over_is_not_reported_not_run() {
    run(async {
        let is_serving = Arc::new(AtomicBool::new(false));
        let engine = engine(is_serving.clone());
        let mut cluster = Cluster::new(DAEMON);
        cluster
            .platform
            .state()
            .add_vm("raw-1", "arima", "poleer-llm", engine.addr());
        cluster.add_entry("entry-a", "arima");
        cluster.add_entry("entry-b", "arima");
        cluster.wait_until_joined().await;
        cluster.declare_default().await;
        let addr = cluster.entries[0].listen;
        let requests = [late(Kind::Buffered, addr, "slow-peer", Duration::ZERO)];
        let runs = || {
            engine
                .received()
                .iter()
                .filter(|r| is_completion(r))
                .count()
        };
        let stop = async {
            compio::time::sleep(SIGNAL_DELAY).await;
            cluster.entries[1].freeze();
            cluster.entries[0].terminate();
            compio::time::sleep(SIGNAL_DELAY).await;
            cluster.entries[0].terminate();
            compio::time::sleep(PEER_DELAY).await;
            is_serving.store(true, Ordering::SeqCst);
            let runs_before = runs();
            cluster.entries[1].thaw();
            compio::time::sleep(RUN_WAIT).await;
            runs() - runs_before
        };
        let (received, runs) = join(send_all(addr, &requests, Instant::now()), stop).await;
        assert_eq!(runs, 1, "{}", received[0]);
        assert_eq!(end_of(&received[0]), End::Moved, "{}", received[0]);
    });
}
