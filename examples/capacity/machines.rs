//! Cost of decisions at up to the size of the target fleet, made by state machines
//! without I/O.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_claims::Claim;
use lycheehaven_claims::ClaimState;
use lycheehaven_claims::Shard;
use lycheehaven_claims::ShardAction;
use lycheehaven_claims::ShardEvent;
use lycheehaven_claims::Ticket;
use lycheehaven_config::Workspace;
use lycheehaven_limits::DemandTracker;
use lycheehaven_limits::Limiter;
use lycheehaven_limits::Topology;
use lycheehaven_routing::Load;
use lycheehaven_routing::Policy;
use lycheehaven_routing::Query;
use lycheehaven_routing::Rules;
use lycheehaven_routing::Table;
use lycheehaven_routing::Upstream;
use lycheehaven_routing::UpstreamId;
use lycheehaven_types::Digest;
use lycheehaven_types::Incarnation;
use lycheehaven_types::Name;

use crate::support::print_line;

const REPEATS: u64 = 20_000;

/// Prints the cost of routing, limits and claims.
pub(crate) fn measure() {
    print_line("\n## Routing (pure, per decision)\n");
    print_line("| upstreams | cost us | round robin us | least loaded us | table KB |");
    print_line("|---|---|---|---|---|");
    for count in [20, 200, 2300] {
        measure_routing(count);
    }
    print_line("\n## Limits (pure, per request)\n");
    print_line("| entries | admit us |");
    print_line("|---|---|");
    for count in [7, 60, 420] {
        measure_limits(count);
    }
    print_line("\n## Claims (pure, one shard object)\n");
    print_line("| claims in object | object bytes | bytes per claim | batch of 8, us |");
    print_line("|---|---|---|---|");
    for count in [10, 100, 1000, 5000] {
        measure_claims(count);
    }
}

fn table(count: usize) -> Table {
    let mut table = Table::default();
    let names: Vec<Name> = (0..count)
        .map(|i| format!("engine-{i:04}").into())
        .collect();
    table.sync(names.iter().enumerate().map(|(index, name)| {
        let id = UpstreamId {
            vm: name.clone(),
            incarnation: Incarnation(1),
        };
        let domain = format!("domain-{:02}", index % 14).into();
        let addr = std::net::SocketAddr::from(([10, 0, 0, 1], 80));
        Upstream::new(id, domain, "model".into(), addr)
    }));
    for (index, name) in names.iter().enumerate() {
        let load = Load {
            time: 1,
            running: (index % 32) as u32,
            waiting: 0,
            prefill_tokens: (index as u64 * 37) % 5000,
            prefill_rate: 12.0,
            step_us: 30_000,
            batch_limit: 32,
            link_rate: 20.0,
        };
        table.update_load(name, Incarnation(1), load);
    }
    table
}

fn measure_routing(count: usize) {
    let mut table = table(count);
    let mut cost = |policy| {
        let rules = Rules {
            policy,
            sample: 4,
            remote_cost: Duration::from_millis(20),
        };
        let now = Instant::now();
        let repeats = if policy == Policy::Cost {
            REPEATS
        } else {
            REPEATS / 20
        };
        let started = Instant::now();
        for draw in 0..repeats {
            let blocks = [draw % 64, draw];
            let query = Query {
                service: "model",
                software: None,
                domain: "domain-03",
                tokens: 500,
                blocks: &blocks,
                excluded: &[],
                without_suspects: false,
                takes_over: None,
            };
            let draw = draw.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            black_box(table.choose(&rules, &query, draw, now));
        }
        started.elapsed().as_secs_f64() * 1e6 / repeats as f64
    };
    let costs = [Policy::Cost, Policy::RoundRobin, Policy::LeastLoaded].map(&mut cost);
    // An upstream of the table and its name in three maps, doubled for the spare
    // capacity of hash tables.
    let bytes = count * (size_of::<Upstream>() + 3 * 40) * 2;
    print_line(format!(
        "| {count} | {:.2} | {:.2} | {:.2} | {:.0} (worked out) |",
        costs[0],
        costs[1],
        costs[2],
        bytes as f64 / 1024.0
    ));
}

fn measure_limits(count: usize) {
    let now = Instant::now();
    let workspace: Name = "workspace".into();
    let mut tracker = DemandTracker::default();
    for index in 0..count {
        tracker.update_peer(&format!("entry-{index}").into(), &workspace, 3.0, now);
    }
    let limits = Workspace {
        keys: Vec::new(),
        rate: 1e9,
        tokens: 1e9,
        concurrent: 1e9,
        share: 1.0,
    };
    let topology = Topology {
        known: count,
        alive: count,
        domain_known: count.div_ceil(14),
        connected: true,
    };
    let mut limiter = Limiter::new(1_000_000);
    let started = Instant::now();
    for _ in 0..REPEATS {
        tracker.record_request(&workspace, now);
        let fraction = tracker.limit_fraction(&workspace, topology, now);
        let ticket = limiter.admit(&workspace, &limits, fraction, 100.0, now);
        if let Ok(ticket) = ticket {
            limiter.release(&ticket, 80.0);
        }
    }
    let cost = started.elapsed().as_secs_f64() * 1e6 / REPEATS as f64;
    print_line(format!("| {count} | {cost:.2} |"));
}

fn claim(index: u64) -> Claim {
    Claim {
        key: Digest::of(&[&index.to_le_bytes()]),
        request: Digest::of(&[b"request", &index.to_le_bytes()]),
        holder: "entry-123.1893456789012345678".into(),
        nonce: index.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        state: ClaimState::Held,
    }
}

/// Measures commits of batches of eight claims to a shard that already holds
/// `count` claims.
fn measure_claims(count: u64) {
    let mut shard = Shard::new();
    let body = commit(&mut shard, 0..count);
    let started = Instant::now();
    let rounds = 50;
    for round in 0..rounds {
        let first = count + round * 8;
        black_box(commit(&mut shard, first..first + 8));
    }
    let cost = started.elapsed().as_secs_f64() * 1e6 / rounds as f64;
    let each = body.len() as f64 / count as f64;
    print_line(format!(
        "| {count} | {} | {each:.0} | {cost:.0} |",
        body.len()
    ));
}

fn commit(shard: &mut Shard, range: std::ops::Range<u64>) -> Vec<u8> {
    for index in range {
        shard.handle(ShardEvent::Submit(Ticket(index), claim(index)));
    }
    let mut event = ShardEvent::Flush;
    let mut written = Vec::new();
    loop {
        let actions = shard.handle(event);
        event = match actions
            .into_iter()
            .find(|action| !matches!(action, ShardAction::Reply(..)))
        {
            Some(ShardAction::Load) => ShardEvent::Loaded(None),
            Some(ShardAction::Write(_, body)) => {
                written = body;
                ShardEvent::Written(1)
            }
            Some(ShardAction::Reply(..)) | None => return written,
        };
    }
}
