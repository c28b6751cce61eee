//! Streams whose engines reset the channel before the first event is complete.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::{config, resumable_route, stream_request, Cut, Engine, Pace, Record, RunLog};
use crate::fleet::{Folder, Gateway};
use crate::http::Channel;
use crate::platform::Platform;
use crate::Verdict;

const PACE: Pace = Pace {
    slots: 64,
    first: Duration::from_millis(15),
    gap: Duration::from_millis(30),
    events: 6,
};

/// `maxAttempts` of the route.
const MAX_ATTEMPTS: usize = 2;

/// Requests that may run on more engines before the rule is broken.
const ALLOWED: usize = 3;

/// The largest dose of `srv_grey` on the site: for 4 s, all engines fail 0.45 of their
/// requests.
const ENGINES: usize = 12;
const FAILED_OF_HUNDRED: u64 = 45;
const LENGTH: Duration = Duration::from_secs(4);
const BEGINS_S: [u64; 6] = [3, 12, 21, 30, 39, 48];

/// Requests a second, as `shopper-answer` has them, and for how long.
const PER_SECOND: u64 = 30;
const SECONDS: u64 = 54;

pub fn run(trouble: bool, record: &Record) -> Verdict {
    let folder = Folder::new();
    let platform = Platform::start();
    let log: RunLog = Arc::default();
    platform.put("config", "main", config(7, vec![resumable_route("soap")], &["soap"]));
    let zones = ["chaguanas", "arima", "san-fernando"];
    let engines: Vec<Engine> = (0..ENGINES)
        .map(|n| Engine::start(&format!("i-{n}"), "soap", zones[n % 3], PACE, &platform, record, &log))
        .collect();
    let mut gateways: Vec<Gateway> = zones
        .iter()
        .map(|zone| Gateway::start(&folder, &format!("front-{zone}-1"), zone, &platform))
        .collect();
    for gateway in &mut gateways {
        if !gateway.wait_ready(Duration::from_secs(15)) {
            return Verdict::NotRun(format!("{} is not ready", gateway.name));
        }
    }
    thread::sleep(Duration::from_millis(1500));
    let began = Instant::now();
    let answers: Arc<Mutex<Vec<u16>>> = Arc::default();
    let mut clients = Vec::new();
    let mut hit = false;
    for number in 0..PER_SECOND * SECONDS {
        let due = began + Duration::from_millis(number * 1000 / PER_SECOND);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let at = began.elapsed();
        let within = BEGINS_S.iter().any(|s| {
            let from = Duration::from_secs(*s);
            at >= from && at < from + LENGTH
        });
        if trouble && within != hit {
            hit = within;
            record.add(format!("engines reset channels: {hit}"));
            for (index, engine) in engines.iter().enumerate() {
                engine.cut_where(hit.then(|| chooser(index as u64)));
            }
        }
        let front = gateways[number as usize % gateways.len()].front;
        let (record, answers) = (record.clone(), answers.clone());
        clients.push(thread::spawn(move || {
            let id = format!("7ca9c8ea{number:08x}");
            let Ok(mut channel) = Channel::open(front) else { return };
            if channel.send(&stream_request(&id, number, 12_000)).is_err() {
                return;
            }
            let answer = channel.receive(Duration::from_secs(4));
            record.add(format!("client gets {} for {id}, {:?}", answer.status, answer.end));
            answers.lock().unwrap().push(answer.status);
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    let mut engines_of: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for (_, request, engine) in log.lock().unwrap().iter() {
        engines_of.entry(request.clone()).or_default().insert(engine.clone());
    }
    let over: Vec<_> = engines_of.iter().filter(|(_, on)| on.len() > MAX_ATTEMPTS).collect();
    for (request, on) in &over {
        record.add(format!("BUDGET: {request} ran on {} engines: {on:?}", on.len()));
    }
    let served = answers.lock().unwrap().iter().filter(|status| **status == 200).count();
    println!("{} requests ran, {served} got 200, {} ran on more than {MAX_ATTEMPTS} engines", engines_of.len(), over.len());
    if served < 100 {
        return Verdict::NotRun(format!("only {served} requests were served"));
    }
    if over.len() > ALLOWED { Verdict::Broken } else { Verdict::Held }
}

/// Cuts the share of the answers in the middle of their first event.
fn chooser(seed: u64) -> crate::engine::Chooser {
    let next = AtomicU64::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    Arc::new(move |_| {
        let mut x = next.load(Ordering::Relaxed);
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        next.store(x, Ordering::Relaxed);
        ((x >> 32) % 100 < FAILED_OF_HUNDRED).then_some(Cut::WithinEvent(1))
    })
}
