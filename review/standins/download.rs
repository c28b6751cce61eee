//! Clients with slow lines that read their answers while their machine stops.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::{config, Record, HOST, KEY};
use crate::fleet::{Folder, Gateway};
use crate::http;
use crate::json::{map, num, text, Json};
use crate::platform::{listener, Platform};
use crate::Verdict;

/// Size of an answer.
const ANSWER: usize = 500_000;

/// A client reads at most this much each `READ_GAP`. With the small window that goes with it,
/// an answer takes some 6.5 s, as on a line of 0.6 Mbit/s.
const READ: usize = 8 * 1024;
const READ_GAP: Duration = Duration::from_millis(40);

/// Clients at the machine that stops, and at the other.
const CLIENTS: usize = 4;

const WORK: Duration = Duration::from_millis(60);

/// `deadline` of the clients and `timeoutMs` of the route.
const DEADLINE_MS: u64 = 12_000;

/// `graceS` of the site, and the time beyond it that the rule names.
const GRACE: Duration = Duration::from_secs(8 + 1);

/// When the answer of a client ended.
struct Outcome {
    id: String,
    gateway: usize,
    status: u16,
    bytes: usize,
    end: String,
    at: Instant,
}

pub fn run(trouble: bool, record: &Record) -> Verdict {
    let folder = Folder::new();
    let platform = Platform::start();
    platform.put("config", "main", config(7, vec![route()], &["desk"]));
    for (id, zone) in [("i-a", "chaguanas"), ("i-b", "arima")] {
        start_server(id, zone, &platform, record);
    }
    let mut gateways = vec![
        Gateway::start(&folder, "front-chaguanas-1", "chaguanas", &platform),
        Gateway::start(&folder, "front-arima-1", "arima", &platform),
    ];
    for gateway in &mut gateways {
        if !gateway.wait_ready(Duration::from_secs(15)) {
            return Verdict::NotRun(format!("{} is not ready", gateway.name));
        }
    }
    thread::sleep(Duration::from_millis(1500));
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let clients: Vec<_> = (0..2 * CLIENTS)
        .map(|number| {
            let (at, front) = (number % 2, gateways[number % 2].front);
            let (record, outcomes) = (record.clone(), outcomes.clone());
            thread::spawn(move || {
                let outcome = request(number, at, front, &record);
                outcomes.lock().unwrap().push(outcome);
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(600));
    let stopped = Instant::now();
    if trouble {
        record.add("SIGTERM of front-chaguanas-1");
        gateways[0].terminate();
        while !gateways[0].has_ended() && stopped.elapsed() < GRACE {
            thread::sleep(Duration::from_millis(10));
        }
        let after = stopped.elapsed().as_millis();
        record.add(format!("the process of front-chaguanas-1 has ended {after} ms after the SIGTERM"));
    }
    for client in clients {
        let _ = client.join();
    }
    let outcomes = outcomes.lock().unwrap();
    let is_whole = |o: &Outcome| o.status == 200 && o.bytes == ANSWER;
    if outcomes.iter().filter(|o| o.gateway == 1).any(|o| !is_whole(o)) {
        return Verdict::NotRun("an answer of the machine that isn't stopped is not whole".into());
    }
    let at_stopping: Vec<_> = outcomes.iter().filter(|o| o.gateway == 0).collect();
    let lost: Vec<_> = at_stopping.iter().filter(|o| !is_whole(o) && o.at < stopped + GRACE).collect();
    for o in &lost {
        record.add(format!("LOST: {} ran, and its channel ended after {} of {ANSWER} bytes: {}", o.id, o.bytes, o.end));
    }
    println!("{} of {} answers at the stopping machine were cut", lost.len(), at_stopping.len());
    if lost.is_empty() { Verdict::Held } else { Verdict::Broken }
}

/// A route for calls that may run once.
fn route() -> Json {
    map([
        ("name", text("card-charge")),
        ("host", text(HOST)),
        ("pathPrefix", text("/puxa403/")),
        ("routeType", text("non_idempotent")),
        ("timeoutMs", num(DEADLINE_MS)),
        ("targetLatencyMs", num(150)),
        ("priority", num(2)),
        ("service", text("desk")),
        ("maxAttempts", num(1)),
        ("public", Json::Bool(false)),
        ("stickySessions", Json::Bool(false)),
        ("resumable", Json::Bool(false)),
    ])
}

/// Starts a server of a plain service and registers it.
fn start_server(id: &'static str, zone: &str, platform: &Platform, record: &Record) {
    let listener = listener();
    let addr = listener.local_addr().unwrap();
    let record = record.clone();
    let handler = move |request: &http::Request, stream: &mut TcpStream| {
        let request_id = request.header("request-id").unwrap_or("-").to_owned();
        if request.header("expected-instance").is_some_and(|expected| expected != id) {
            let headers = [("Instance-Id", id), ("Request-Id", &request_id)];
            return http::respond(stream, "421 Misdirected Request", &headers, b"");
        }
        record.add(format!("server {id} runs {request_id}"));
        thread::sleep(WORK);
        let signature = format!("{id}.{request_id}");
        let headers = [
            ("Request-Id", request_id.as_str()),
            ("Response-Signature", signature.as_str()),
            ("Content-Type", "application/octet-stream"),
        ];
        let after = http::respond(stream, "200 OK", &headers, &vec![b'x'; ANSWER])?;
        record.add(format!("server {id} has written the whole answer to {request_id}"));
        Ok(after)
    };
    http::serve(listener, Arc::new(handler));
    let spec = map([
        ("service", text("desk")),
        ("address", text(addr.to_string())),
        ("zone", text(zone)),
        ("version", text("v1")),
        ("slots", num(6)),
        ("state", text("ready")),
        ("coldLeftMs", num(0)),
        ("sequence", num(0)),
        ("born", num(1_790_000_000_000)),
    ]);
    platform.put("servers", id, spec);
}

fn request(number: usize, gateway: usize, front: SocketAddr, record: &Record) -> Outcome {
    let id = format!("51c3d07be2a3{number:04x}");
    let mut outcome = Outcome { id, gateway, status: 0, bytes: 0, end: String::new(), at: Instant::now() };
    record.add(format!("client sends {} to machine {gateway}", outcome.id));
    outcome.end = match exchange(&mut outcome, front) {
        Ok(()) => "whole".to_owned(),
        Err(e) => format!("broken, {}", e.kind()),
    };
    outcome.at = Instant::now();
    record.add(format!("client has {} and {} bytes of {}: {}", outcome.status, outcome.bytes, outcome.id, outcome.end));
    outcome
}

fn exchange(outcome: &mut Outcome, front: SocketAddr) -> std::io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(4)))?;
    http::limit_receive_buffer(&stream, READ);
    let id = &outcome.id;
    let head = format!(
        "POST /puxa403/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
         Request-Deadline: {DEADLINE_MS}\r\nCredential: {KEY}\r\nContent-Length: 6\r\n\r\ncharge"
    );
    stream.write_all(head.as_bytes())?;
    let mut bytes = Vec::new();
    let mut buffer = vec![0; READ];
    let mut whole = usize::MAX;
    while bytes.len() < whole {
        let size = stream.read(&mut buffer)?;
        if size == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        bytes.extend_from_slice(&buffer[..size]);
        if whole == usize::MAX {
            let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") else { continue };
            let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
            outcome.status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
            let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
            whole = end + 4 + length.and_then(|l| l.trim().parse::<usize>().ok()).unwrap_or(0);
            outcome.bytes = 0;
        }
        let head_bytes = whole.saturating_sub(ANSWER);
        outcome.bytes = bytes.len().saturating_sub(head_bytes);
        thread::sleep(READ_GAP);
    }
    Ok(())
}
