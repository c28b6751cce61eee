//! An entry of another writer among those of the engines, and a kill of all processes.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::{config, resumable_route, stream_request, Engine, Pace, Record, RunLog};
use crate::fleet::{Folder, Gateway};
use crate::http::{Channel, End};
use crate::json::Json;
use crate::platform::Platform;
use crate::Verdict;

const PACE: Pace = Pace {
    slots: 64,
    first: Duration::from_millis(15),
    gap: Duration::from_millis(20),
    events: 5,
};

/// `recoverS` of the site.
const RECOVER: Duration = Duration::from_secs(12);

/// Requests a second.
const PER_SECOND: u64 = 10;

const BEFORE: Duration = Duration::from_secs(4);
const DOWN: Duration = Duration::from_secs(1);
const AFTER: Duration = Duration::from_secs(4);

/// What another writer has stored in `spec`. Each is JSON as RFC 8259 has it.
const SPECS: [(&str, fn() -> String); 3] = [
    ("bytes that are no text, as escapes", || r#""\udcff\udc00\udcfe""#.to_owned()),
    ("a number for which there is no double", || {
        r#"{"service":7,"address":[],"zone":null,"slots":1e999,"state":"odd"}"#.to_owned()
    }),
    ("a field that is a deep list", || {
        format!(r#"{{"service":{}{},"state":"odd"}}"#, "[".repeat(200), "]".repeat(200))
    }),
];

pub fn run(trouble: bool, record: &Record) -> Verdict {
    let mut broken = 0;
    for (name, spec) in SPECS {
        record.add(format!("entry of another writer: {name}"));
        match play(trouble.then(spec), record) {
            Ok((before, after)) => {
                println!("{name}: {before:.2} served before, {after:.2} after");
                record.add(format!("{before:.2} of the requests served before, {after:.2} after"));
                if before >= 0.25 && after < 0.25 {
                    record.add("RECOVER: less than a quarter is served");
                    broken += 1;
                }
            }
            Err(cause) => return Verdict::NotRun(cause),
        }
    }
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}

/// Returns the share of the requests that is served before the kill, and later than
/// `recoverS` after the machines are back.
fn play(spec: Option<String>, record: &Record) -> Result<(f64, f64), String> {
    let folder = Folder::new();
    let platform = Platform::start();
    let log: RunLog = Arc::default();
    platform.put("config", "main", config(7, vec![resumable_route("soap")], &["soap"]));
    let _engines: Vec<Engine> = ["chaguanas", "arima"]
        .iter()
        .map(|zone| Engine::start(&format!("i-{zone}"), "soap", zone, PACE, &platform, record, &log))
        .collect();
    let mut gateways: Vec<Gateway> = ["chaguanas", "arima"]
        .iter()
        .map(|zone| Gateway::start(&folder, &format!("front-{zone}-1"), zone, &platform))
        .collect();
    for gateway in &mut gateways {
        if !gateway.wait_ready(Duration::from_secs(15)) {
            return Err(format!("{} is not ready", gateway.name));
        }
    }
    thread::sleep(Duration::from_millis(1500));
    let before = served(&gateways, BEFORE, "b", record);
    if let Some(spec) = spec {
        platform.put("servers", "i-foreign", Json::Raw(spec));
    }
    thread::sleep(Duration::from_secs(1));
    record.add("all processes are killed");
    for gateway in &mut gateways {
        gateway.kill();
    }
    thread::sleep(DOWN);
    for gateway in &mut gateways {
        gateway.restart(&folder);
    }
    record.add("all processes are back");
    thread::sleep(RECOVER);
    let after = served(&gateways, AFTER, "a", record);
    for gateway in &gateways {
        let lines = gateway.log_lines(&folder, "calls to the store");
        for line in lines.iter().filter(|line| line.contains("servers")) {
            record.add(format!("{} logged: {line}", gateway.name));
        }
    }
    Ok((before, after))
}

/// Sends requests for `length` and returns the share that is served.
fn served(gateways: &[Gateway], length: Duration, name: &str, record: &Record) -> f64 {
    let began = Instant::now();
    let results: Arc<Mutex<Vec<bool>>> = Arc::default();
    let mut clients = Vec::new();
    let mut number = 0;
    while began.elapsed() < length {
        let front = gateways[number as usize % gateways.len()].front;
        let id = format!("9c41d07be{name}{number:06x}");
        let (results, record) = (results.clone(), record.clone());
        clients.push(thread::spawn(move || {
            let answer = Channel::open(front).and_then(|mut channel| {
                channel.send(&stream_request(&id, number, 12_000))?;
                Ok(channel.receive(Duration::from_secs(4)))
            });
            let good = answer.as_ref().is_ok_and(|a| a.status == 200 && a.end == End::Complete);
            let status = answer.map_or(0, |a| a.status);
            record.add(format!("client gets {status} for {id}"));
            results.lock().unwrap().push(good);
        }));
        number += 1;
        thread::sleep(Duration::from_millis(1000 / PER_SECOND));
    }
    for client in clients {
        let _ = client.join();
    }
    let results = results.lock().unwrap();
    results.iter().filter(|good| **good).count() as f64 / results.len().max(1) as f64
}
