//! Cost of relaying requests and tokens through one entry.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use lycheehaven_standins::Client;
use lycheehaven_standins::Cluster;
use lycheehaven_standins::EngineParams;
use lycheehaven_standins::ProcessUsage;
use lycheehaven_standins::WORKSPACE_KEY;

use crate::support::print_line;

/// Requests of one token that are measured.
const SHORT_REQUESTS: usize = 1500;

/// Concurrent streams over which the cost of a token is measured.
const LONG_STREAMS: usize = 64;

/// Tokens in each of these streams.
const LONG_STREAM_TOKENS: usize = 400;

/// Streams over which the memory of an open stream is measured.
const OPEN_STREAMS: usize = 400;

/// Prints CPU time per request and token, and memory per open stream, with and
/// without replication.
pub(crate) fn measure() {
    print_line("\n## Relay (one entry, processor time of its process)\n");
    print_line(
        "| replicas | us per request | us per token | replica's us per token | KB per open stream |",
    );
    print_line("|---|---|---|---|---|");
    let runtime = compio::runtime::Runtime::new().expect("event loop can be created");
    for replicate in [false, true] {
        runtime.block_on(measure_relay(replicate));
    }
}

async fn measure_relay(replicate: bool) {
    let mut cluster = Cluster::new(std::env::current_exe().expect("path of this program is known"));
    cluster.timing = String::new();
    cluster.extra_settings = format!("[streams]\nreplicate = {replicate}");
    let step = Duration::from_millis(10);
    let params = EngineParams {
        step,
        batch_limit: 512,
        ..EngineParams::default()
    };
    cluster.add_engine("engine-1", "domain-a", "poleer-llm", params);
    cluster.add_entry("entry-a", "domain-a");
    cluster.add_entry("entry-b", "domain-a");
    cluster.wait_until_joined().await;
    cluster.declare_default().await;
    let addr = cluster.entries[0].listen;
    let request = measure_requests(&cluster, addr).await;
    let (token, replica) = measure_tokens(&cluster, addr, request).await;
    let memory = measure_open_streams(&cluster, addr).await;
    print_line(format!(
        "| {replicate} | {request:.0} | {token:.1} | {replica:.1} | {:.1} |",
        memory / 1024.0
    ));
}

fn cpu(cluster: &Cluster, index: usize) -> Duration {
    ProcessUsage::read(cluster.entries[index].pid()).cpu
}

/// Returns the CPU microseconds per request with one token.
async fn measure_requests(cluster: &Cluster, addr: SocketAddr) -> f64 {
    let client = Client::new(WORKSPACE_KEY);
    let before = cpu(cluster, 0);
    for batch in 0..SHORT_REQUESTS / 50 {
        let calls = (0..50).map(|n| {
            let client = client.clone();
            async move {
                client
                    .complete(addr, &format!("label {batch} {n} len=1"))
                    .await
            }
        });
        for reply in join_all(calls).await {
            assert_eq!(reply.expect("entry responds").status, 200);
        }
    }
    (cpu(cluster, 0) - before).as_secs_f64() * 1e6 / SHORT_REQUESTS as f64
}

/// Returns the CPU microseconds per streamed token at the entry and at its
/// replica. `request` is the cost of a request, which is subtracted.
async fn measure_tokens(cluster: &Cluster, addr: SocketAddr, request: f64) -> (f64, f64) {
    let client = Client::new(WORKSPACE_KEY);
    let before = [cpu(cluster, 0), cpu(cluster, 1)];
    let streams = (0..LONG_STREAMS).map(|n| {
        let client = client.clone();
        async move {
            let prompt = format!("estimate {n} len={LONG_STREAM_TOKENS}");
            let mut stream = client.stream(addr, &prompt).await.expect("entry responds");
            while stream.next().await {}
            assert_eq!(stream.received.tokens, LONG_STREAM_TOKENS);
        }
    });
    let started = Instant::now();
    join_all(streams).await;
    let tokens = (LONG_STREAMS * LONG_STREAM_TOKENS) as f64;
    let spent = (cpu(cluster, 0) - before[0]).as_secs_f64() * 1e6;
    let replica = (cpu(cluster, 1) - before[1]).as_secs_f64() * 1e6;
    let rate = tokens / started.elapsed().as_secs_f64();
    print_line(format!("<!-- {rate:.0} tokens/s through the entry -->"));
    (
        (spent - request * LONG_STREAMS as f64) / tokens,
        replica / tokens,
    )
}

/// Returns the bytes of memory per open stream with 100 tokens.
async fn measure_open_streams(cluster: &Cluster, addr: SocketAddr) -> f64 {
    let client = Client::new(WORKSPACE_KEY);
    let memory = || ProcessUsage::read(cluster.entries[0].pid()).memory as f64;
    let before = memory();
    let opened = (0..OPEN_STREAMS).map(|n| {
        let client = client.clone();
        async move {
            let prompt = format!("report {n} len=100000");
            let mut stream = client.stream(addr, &prompt).await.expect("entry responds");
            stream.receive(100).await;
            stream
        }
    });
    let streams = join_all(opened).await;
    let grown = memory() - before;
    drop(streams);
    grown / OPEN_STREAMS as f64
}
