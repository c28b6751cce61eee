//! Compares policies under the same seeded load.
//!
//! `cargo run --release --example experiment [routing|evacuation] [SEEDS]`
//!
//! The load is open-loop: requests start at times derived from the seed,
//! independently of how long earlier requests take. Started with a settings file,
//! the program runs an entry.

#[path = "support/mod.rs"]
mod support;

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join;
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use lycheehaven_standins::Client;
use lycheehaven_standins::Cluster;
use lycheehaven_standins::EngineParams;
use lycheehaven_standins::WORKSPACE_KEY;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::support::print_line;
use crate::support::run_entry;

const DOMAINS: [&str; 2] = ["tallinn-a", "tallinn-b"];
const ENGINES: usize = 8;
const ENTRIES: usize = 3;
const DURATION: Duration = Duration::from_secs(5);
const REQUESTS_PER_SECOND: f64 = 60.0;

/// Number of distinct prompt prefixes, each shared by several requests.
const PREFIXES: usize = 30;

/// Length of a prompt prefix in words.
const PREFIX_WORDS: usize = 320;

/// Time from the start of the load to the reclaim notices.
const RECLAIM_START: Duration = Duration::from_millis(2000);

/// Time from a reclaim notice to the loss of the engine.
const RECLAIM_NOTICE: Duration = Duration::from_millis(1500);

/// Number of engines that are reclaimed together.
const RECLAIM_COUNT: usize = 3;

/// One request of the load.
struct Arrival {
    start: Duration,
    entry: usize,
    prompt: String,
    length: usize,
}

/// Results of one run.
struct Outcome {
    first_ms: Histogram<u64>,
    gap_ms: Histogram<u64>,
    recomputed: u64,
    failed: usize,
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if let Some(file) = args.first().filter(|arg| arg.ends_with(".toml")) {
        return run_entry(Path::new(file));
    }
    let selected = |name: &str| args.first().is_none_or(|arg| arg == name);
    let seeds = args.get(1).and_then(|arg| arg.parse().ok()).unwrap_or(5);
    if selected("routing") {
        compare(
            "routing",
            &["cost", "least_loaded", "round_robin"],
            seeds,
            false,
        );
    }
    if selected("evacuation") {
        compare("evacuation", &["cost", "resume_all", "wait"], seeds, true);
    }
}

fn compare(what: &str, policies: &[&str], seeds: u64, reclaim: bool) {
    print_line(format!("\n## {what}\n"));
    print_line(
        "| policy | seed | first token p50 / p95 ms | gap p95 / max ms | recomputed tokens | failed |",
    );
    print_line("|---|---|---|---|---|---|");
    for seed in 1..=seeds {
        for policy in policies {
            let extra = match what {
                "routing" => format!("[routing]\npolicy = \"{policy}\""),
                _ => format!("[streams]\nevacuation = \"{policy}\""),
            };
            let runtime = compio::runtime::Runtime::new().expect("event loop can be created");
            let outcome = runtime.block_on(run(&extra, seed, reclaim));
            print_line(format!(
                "| {policy} | {seed} | {} / {} | {} / {} | {} | {} |",
                outcome.first_ms.value_at_quantile(0.5),
                outcome.first_ms.value_at_quantile(0.95),
                outcome.gap_ms.value_at_quantile(0.95),
                outcome.gap_ms.max(),
                outcome.recomputed,
                outcome.failed,
            ));
        }
    }
}

fn arrivals(seed: u64) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut start = Duration::ZERO;
    let mut arrivals = Vec::new();
    while start < DURATION {
        let uniform: f64 = random.random_range(1e-9..1.0);
        start += Duration::from_secs_f64(-uniform.ln() / REQUESTS_PER_SECOND);
        let prefix = random.random_range(0..PREFIXES);
        let skew: f64 = random.random();
        let length = 20 + (skew.powi(4) * 400.0) as usize;
        let words = format!("p{prefix} ").repeat(PREFIX_WORDS);
        let prompt = format!("{words} request {} len={length}", arrivals.len());
        arrivals.push(Arrival {
            start,
            entry: random.random_range(0..ENTRIES),
            prompt,
            length,
        });
    }
    arrivals
}

async fn run(extra: &str, seed: u64, reclaim: bool) -> Outcome {
    let mut cluster = Cluster::new(std::env::current_exe().expect("path of this program is known"));
    cluster.extra_settings = extra.into();
    let params = EngineParams {
        step: Duration::from_millis(8),
        prefill_rate: 8.0,
        batch_limit: 24,
        cache_blocks: 80,
        ..EngineParams::default()
    };
    for index in 0..ENGINES {
        let name = format!("engine-{index}");
        cluster.add_engine(&name, DOMAINS[index % 2], "poleer-llm", params.clone());
    }
    for index in 0..ENTRIES {
        cluster.add_entry(&format!("entry-{index}"), DOMAINS[index % 2]);
    }
    cluster.wait_until_joined().await;
    cluster.declare_default().await;
    let start = Instant::now();
    let arrivals = arrivals(seed);
    let requests = arrivals.iter().map(|arrival| {
        let addr = cluster.entries[arrival.entry].listen;
        async move {
            compio::time::sleep(arrival.start.saturating_sub(start.elapsed())).await;
            request(addr, arrival).await
        }
    });
    let requests = join_all(requests);
    let fault = async {
        if !reclaim {
            return Vec::new();
        }
        compio::time::sleep(RECLAIM_START).await;
        {
            let mut state = cluster.platform.state();
            (0..RECLAIM_COUNT)
                .for_each(|n| state.reclaim(&format!("engine-{n}"), RECLAIM_NOTICE, true));
        }
        compio::time::sleep(RECLAIM_NOTICE).await;
        cluster
            .engines
            .drain(..RECLAIM_COUNT)
            .map(|(_, mut engine)| {
                engine.kill();
                engine
            })
            .collect()
    };
    let (results, killed) = join(requests, fault).await;
    let engines = cluster
        .engines
        .iter()
        .map(|(_, engine)| engine)
        .chain(&killed);
    let recomputed = engines.map(|engine| engine.state().recomputed).sum();
    collect(&results, recomputed)
}

/// Streams one answer and returns the milliseconds to the first token and between
/// later tokens, or `None` if the answer is incomplete.
async fn request(addr: std::net::SocketAddr, arrival: &Arrival) -> Option<(u64, Vec<u64>)> {
    let start = Instant::now();
    let mut stream = Client::new(WORKSPACE_KEY)
        .stream(addr, &arrival.prompt)
        .await
        .ok()?;
    let mut last = start;
    let mut gaps = Vec::new();
    let mut tokens = 0;
    while stream.next().await {
        if stream.received.tokens > tokens {
            tokens = stream.received.tokens;
            gaps.push(last.elapsed().as_millis() as u64);
            last = Instant::now();
        }
    }
    (tokens == arrival.length).then(|| (gaps.remove(0), gaps))
}

fn collect(results: &[Option<(u64, Vec<u64>)>], recomputed: u64) -> Outcome {
    let new = || Histogram::new(3).expect("three significant digits are supported");
    let mut outcome = Outcome {
        first_ms: new(),
        gap_ms: new(),
        recomputed,
        failed: 0,
    };
    for result in results {
        let Some((first, gaps)) = result else {
            outcome.failed += 1;
            continue;
        };
        outcome.first_ms.saturating_record(*first);
        gaps.iter()
            .for_each(|gap| outcome.gap_ms.saturating_record(*gap));
    }
    outcome
}
