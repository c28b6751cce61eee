//! Control-plane cost of entry processes for several numbers of entries.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_standins::CallCounts;
use lycheehaven_standins::Cluster;
use lycheehaven_standins::Engine;
use lycheehaven_standins::EngineParams;
use lycheehaven_standins::Fault;
use lycheehaven_standins::ProcessUsage;
use lycheehaven_standins::Proxy;
use lycheehaven_standins::ephemeral_addr;
use serde_json::json;

use crate::fit_line;
use crate::support::print_line;

const COUNTS: [usize; 4] = [2, 7, 20, 60];
const DOMAINS: usize = 14;
const ENGINES_PER_ENTRY: f64 = 2300.0 / 420.0;
const SETTLE_TIME: Duration = Duration::from_secs(5);
const MEASURE_TIME: Duration = Duration::from_secs(10);

/// Number of entries in the target fleet.
const TARGET_ENTRIES: f64 = 420.0;

struct Sample {
    count: usize,
    cpu: f64,
    memory: f64,
    bytes: f64,
    calls: CallCounts,
    in_force: Duration,
}

/// Prints the control-plane cost per entry, its linear fit, and the time until a
/// change is in force.
pub(crate) fn measure() {
    let runtime = compio::runtime::Runtime::new().expect("event loop can be created");
    print_line("\n## Entries as processes, idle, default periods (per entry)\n");
    print_line(
        "| entries | engines | CPU % | RSS MB | exchange B/s | reads/s | watches/s | cloud/s | in force ms |",
    );
    print_line("|---|---|---|---|---|---|---|---|---|");
    let mut samples = Vec::new();
    for count in COUNTS {
        let sample = runtime.block_on(measure_count(count));
        print_sample(&sample);
        samples.push(sample);
    }
    print_fit("CPU %", &samples, |sample| sample.cpu);
    print_fit("RSS MB", &samples, |sample| sample.memory / 1e6);
    print_fit("exchange B/s", &samples, |sample| sample.bytes);
    print_line("\n## Time until a change is in force on all of 20 entries\n");
    print_line("| platform | ms |");
    print_line("|---|---|");
    runtime.block_on(measure_in_force());
}

fn print_sample(sample: &Sample) {
    let each = |calls: u64| calls as f64 / sample.count as f64 / MEASURE_TIME.as_secs_f64();
    print_line(format!(
        "| {} | {} | {:.3} | {:.1} | {:.0} | {:.2} | {:.3} | {:.2} | {} |",
        sample.count,
        engines_for(sample.count),
        sample.cpu,
        sample.memory / 1e6,
        sample.bytes,
        each(sample.calls.reads),
        each(sample.calls.watches),
        each(sample.calls.cloud),
        sample.in_force.as_millis(),
    ));
}

fn print_fit(name: &str, samples: &[Sample], value: impl Fn(&Sample) -> f64) {
    let points: Vec<(f64, f64)> = samples
        .iter()
        .map(|sample| (sample.count as f64, value(sample)))
        .collect();
    let (base, slope, residual) = fit_line(&points);
    let target = base + slope * TARGET_ENTRIES;
    print_line(format!(
        "\nfit {name}: {base:.3} + {slope:.5} n, largest residual {residual:.3}; at 420: {target:.2}"
    ));
}

fn engines_for(entries: usize) -> usize {
    (entries as f64 * ENGINES_PER_ENTRY) as usize
}

fn new_cluster() -> Cluster {
    let binary = std::env::current_exe().expect("path of this program is known");
    let mut cluster = Cluster::new(binary);
    cluster.timing = String::new();
    cluster
}

/// Adds `count` engine VMs to the VM list, all with the address of one slow
/// stand-in, which is returned.
fn add_engine_vms(cluster: &Cluster, count: usize) -> Engine {
    let step = Duration::from_millis(100);
    let engine = Engine::start(
        ephemeral_addr(),
        EngineParams {
            step,
            ..EngineParams::default()
        },
    );
    for index in 0..count {
        let domain = domain_of(index);
        let name = format!("engine-{index:04}");
        cluster
            .platform
            .state()
            .add_vm(&name, &domain, "poleer-llm", engine.addr());
    }
    engine
}

fn domain_of(index: usize) -> String {
    format!("domain-{:02}", index % DOMAINS)
}

async fn measure_count(count: usize) -> Sample {
    let mut cluster = new_cluster();
    let _engine = add_engine_vms(&cluster, engines_for(count));
    for index in 0..count {
        cluster.add_entry(&format!("entry-{index:03}"), &domain_of(index));
    }
    for index in 0..count {
        cluster
            .wait_for_status(index, "ready", |status| status["ready"] == true)
            .await;
    }
    declare(&cluster, 0).await;
    compio::time::sleep(SETTLE_TIME).await;
    let before = process_usages(&cluster);
    let (bytes_before, calls_before) = (
        exchange_bytes(&cluster).await,
        cluster.platform.state().counts,
    );
    compio::time::sleep(MEASURE_TIME).await;
    let after = process_usages(&cluster);
    let calls = cluster.platform.state().counts;
    let received = exchange_bytes(&cluster).await - bytes_before;
    let spent: f64 = after
        .iter()
        .zip(&before)
        .map(|(after, before)| (after.cpu - before.cpu).as_secs_f64())
        .sum();
    let seconds = MEASURE_TIME.as_secs_f64() * count as f64;
    let memory = after.iter().map(|usage| usage.memory as f64).sum::<f64>() / count as f64;
    Sample {
        count,
        cpu: spent / seconds * 100.0,
        memory,
        bytes: received / seconds,
        calls: CallCounts {
            reads: calls.reads - calls_before.reads,
            writes: calls.writes - calls_before.writes,
            watches: calls.watches - calls_before.watches,
            cloud: calls.cloud - calls_before.cloud,
        },
        in_force: declare(&cluster, 1).await,
    }
}

fn process_usages(cluster: &Cluster) -> Vec<ProcessUsage> {
    cluster
        .entries
        .iter()
        .map(|entry| ProcessUsage::read(entry.pid()))
        .collect()
}

async fn exchange_bytes(cluster: &Cluster) -> f64 {
    let mut total = 0.0;
    for index in 0..cluster.entries.len() {
        total += cluster
            .metric(index, "lycheehaven_exchange_bytes_total")
            .await;
    }
    total
}

/// Patches the configuration and returns the time until all entries have logged
/// that it is in force.
async fn declare(cluster: &Cluster, base: u64) -> Duration {
    let change = json!({
        "services": {"poleer-llm": {"kind": "model"}},
        "workspaces": {"riigi": {"keys": ["riigi-secret-key"], "share": 1.0 + base as f64}},
    });
    let started = Instant::now();
    let reply = cluster
        .patch(0, base, &format!("patch-{base}"), change)
        .await;
    assert_eq!(reply.status, 200, "{reply:?}");
    let wanted = (base + 1).to_string();
    let in_force = |entry: &lycheehaven_standins::EntryProcess| {
        let lines = entry.log_lines("configuration in force");
        lines
            .iter()
            .any(|line| line["attributes"]["number"] == wanted.as_str())
    };
    while !cluster.entries.iter().all(in_force) {
        assert!(
            started.elapsed() < Duration::from_secs(60),
            "configuration is not in force on all entries within 60 s"
        );
        compio::time::sleep(Duration::from_millis(2)).await;
    }
    started.elapsed()
}

/// Prints the time until a change is in force if the platform responds
/// immediately, slowly, and not at all to one failure domain.
async fn measure_in_force() {
    let mut cluster = new_cluster();
    let proxy = Proxy::start(cluster.platform.addr());
    let direct = cluster.platform_addr;
    for index in 0..20 {
        let domain = domain_of(index);
        let cut = domain == domain_of(1);
        cluster.platform_addr = if cut { proxy.addr() } else { direct };
        cluster.add_entry(&format!("entry-{index:03}"), &domain);
    }
    for index in 0..20 {
        cluster
            .wait_for_status(index, "ready", |status| status["ready"] == true)
            .await;
    }
    compio::time::sleep(SETTLE_TIME).await;
    print_line(format!(
        "| answers at once | {} |",
        declare(&cluster, 0).await.as_millis()
    ));
    cluster.platform.state().faults.delay = Duration::from_millis(500);
    print_line(format!(
        "| answers after 500 ms | {} |",
        declare(&cluster, 1).await.as_millis()
    ));
    cluster.platform.state().faults.delay = Duration::ZERO;
    proxy.set(Fault::Freeze);
    print_line(format!(
        "| silent to one domain | {} |",
        declare(&cluster, 2).await.as_millis()
    ));
}
