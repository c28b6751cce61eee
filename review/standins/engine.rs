//! A stand-in of a model engine, and a record of all that happens.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, After, Request};
use crate::json::{map, num, text, Json};
use crate::platform::{listener, Platform};

/// What was sent, answered and run, in the order of time.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { began: Instant::now(), lines: Arc::default() }
    }

    pub fn add(&self, line: impl Into<String>) {
        let at = self.began.elapsed();
        self.lines.lock().unwrap().push((at, line.into()));
    }

    pub fn write(&self, path: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort();
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{:9.3} s  {line}\n", at.as_secs_f64()))
            .collect();
        std::fs::write(path, text).expect("the record is written");
    }
}

/// How a run's answer is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Reset in the middle of this event.
    WithinEvent(u64),
}

/// A run that an engine works on.
#[derive(Debug)]
pub struct Run {
    pub request: String,
    pub engine: String,
    pub began: Instant,
    pause_until: Mutex<Option<Instant>>,
    ended: AtomicBool,
}

/// How an engine answers.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// Requests at once; more are rejected as not run.
    pub slots: usize,
    pub first: Duration,
    pub gap: Duration,
    pub events: u64,
}

/// Decides whether a run's answer is cut.
pub type Chooser = Arc<dyn Fn(&str) -> Option<Cut> + Send + Sync>;

struct State {
    id: String,
    pace: Pace,
    runs: Mutex<Vec<Arc<Run>>>,
    cut: Mutex<Option<Chooser>>,
    exited: AtomicBool,
    record: Record,
    /// All runs that began, by request and engine.
    log: RunLog,
    serial: AtomicU64,
}

/// Runs that began: time, request and engine.
pub type RunLog = Arc<Mutex<Vec<(Instant, String, String)>>>;

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub addr: SocketAddr,
    state: Arc<State>,
}

impl Engine {
    /// Starts an engine and registers it.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        pace: Pace,
        platform: &Platform,
        record: &Record,
        log: &RunLog,
    ) -> Self {
        let listener = listener();
        let addr = listener.local_addr().unwrap();
        let state = Arc::new(State {
            id: id.to_owned(),
            pace,
            runs: Mutex::default(),
            cut: Mutex::default(),
            exited: AtomicBool::new(false),
            record: record.clone(),
            log: log.clone(),
            serial: AtomicU64::new(0),
        });
        let shared = state.clone();
        http::serve(listener, Arc::new(move |request, stream| handle(&shared, request, stream)));
        let spec = map([
            ("service", text(service)),
            ("address", text(addr.to_string())),
            ("zone", text(zone)),
            ("version", text("v1")),
            ("slots", num(pace.slots as u64)),
            ("state", text("ready")),
            ("coldLeftMs", num(0)),
            ("sequence", num(0)),
            ("born", num(1_790_000_000_000)),
        ]);
        platform.put("servers", id, spec);
        Self { id: id.to_owned(), addr, state }
    }

    /// Preempts the `count` newest runs for `length`: they make no event meanwhile.
    pub fn preempt_newest(&self, count: usize, length: Duration) -> Vec<String> {
        let until = Instant::now() + length;
        let runs = self.state.runs.lock().unwrap();
        let chosen: Vec<_> = runs.iter().rev().take(count).cloned().collect();
        drop(runs);
        for run in &chosen {
            *run.pause_until.lock().unwrap() = Some(until);
            let line = format!("engine {} preempts {} for {} ms", self.id, run.request, length.as_millis());
            self.state.record.add(line);
        }
        chosen.iter().map(|run| run.request.clone()).collect()
    }

    pub fn cut_where(&self, chooser: Option<Chooser>) {
        *self.state.cut.lock().unwrap() = chooser;
    }

    /// Ends the engine: it resets its channels.
    pub fn exit(&self) {
        self.state.exited.store(true, Ordering::Relaxed);
        self.state.record.add(format!("engine {} exits", self.state.id));
    }

    pub fn running(&self) -> usize {
        self.state.runs.lock().unwrap().len()
    }
}

fn handle(state: &Arc<State>, request: &Request, stream: &mut TcpStream) -> io::Result<After> {
    let id = request.header("request-id").unwrap_or("-").to_owned();
    if state.exited.load(Ordering::Relaxed) {
        return Ok(After::Reset);
    }
    if request.target == "/healthz" {
        return http::respond(stream, "200 OK", &[("Instance-Id", &state.id)], b"");
    }
    if request.header("expected-instance").is_some_and(|expected| expected != state.id) {
        let headers = [("Instance-Id", state.id.as_str()), ("Request-Id", &id)];
        return http::respond(stream, "421 Misdirected Request", &headers, b"");
    }
    state.record.add(format!("request {id} reaches engine {}", state.id));
    let run = {
        let mut runs = state.runs.lock().unwrap();
        if runs.len() >= state.pace.slots {
            drop(runs);
            state.record.add(format!("engine {} is full and does not run {id}", state.id));
            let headers = [("Not-Executed", "1"), ("Request-Id", id.as_str())];
            return http::respond(stream, "503 Service Unavailable", &headers, b"");
        }
        let run = Arc::new(Run {
            request: id.clone(),
            engine: state.id.clone(),
            began: Instant::now(),
            pause_until: Mutex::default(),
            ended: AtomicBool::new(false),
        });
        runs.push(run.clone());
        run
    };
    state.log.lock().unwrap().push((run.began, id.clone(), state.id.clone()));
    state.record.add(format!("engine {} runs {id}", state.id));
    let result = answer(state, request, &run, stream);
    state.runs.lock().unwrap().retain(|other| !Arc::ptr_eq(other, &run));
    run.ended.store(true, Ordering::Relaxed);
    let line = match &result {
        Ok(After::Reset) => format!("engine {} ran {id} and its answer is lost", state.id),
        Ok(_) => format!("engine {} ran {id} to its end", state.id),
        Err(_) => format!("engine {} stops {id}, its channel was closed", state.id),
    };
    state.record.add(line);
    result
}

fn answer(state: &State, request: &Request, run: &Run, stream: &mut TcpStream) -> io::Result<After> {
    let id = &run.request;
    let serial = state.serial.fetch_add(1, Ordering::Relaxed);
    let signature = format!("{}.{serial}", state.id);
    let cut = state.cut.lock().unwrap().as_ref().and_then(|chooser| chooser(id));
    let pace = state.pace;
    thread::sleep(pace.first);
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: {signature}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let from: u64 = request.header("last-event-id").and_then(|v| v.parse().ok()).unwrap_or(0);
    for event in from + 1..=pace.events {
        loop {
            let pause = *run.pause_until.lock().unwrap();
            let left = pause.map_or(Duration::ZERO, |p| p.saturating_duration_since(Instant::now()));
            if left.is_zero() {
                break;
            }
            // Notices within 50 ms that the caller has closed the channel.
            if is_closed(stream) {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            thread::sleep(left.min(Duration::from_millis(50)));
        }
        if state.exited.load(Ordering::Relaxed) {
            return Ok(After::Reset);
        }
        let data = format!("id: {event}\ndata: {id} {event}\n\n");
        if cut == Some(Cut::WithinEvent(event)) {
            let half = &data[..data.len() / 2];
            stream.write_all(format!("{:x}\r\n{half}\r\n", half.len()).as_bytes())?;
            thread::sleep(Duration::from_millis(5));
            return Ok(After::Reset);
        }
        stream.write_all(format!("{:x}\r\n{data}\r\n", data.len()).as_bytes())?;
        thread::sleep(pace.gap);
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok(After::Keep)
}

/// Whether the caller has closed the channel.
fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(size) => size == 0,
        Err(e) => e.kind() != io::ErrorKind::WouldBlock,
    }
}

/// A configuration with one route to one service of engines.
pub fn config(version: u64, routes: Vec<Json>, services: &[&str]) -> Json {
    config_with_keys(version, routes, services, &[KEY])
}

/// The same with these keys of the tenant.
pub fn config_with_keys(version: u64, routes: Vec<Json>, services: &[&str], keys: &[&str]) -> Json {
    let services = services
        .iter()
        .map(|name| {
            let engine = map([
                ("slots", num(64)),
                ("kvTokens", num(494_190)),
                ("kvBytes", num(18_432)),
                ("linkMbps", num(740_000)),
                ("moves", Json::Bool(false)),
                ("stride", num(6)),
            ]);
            map([("name", text(*name)), ("healthPath", text("/healthz")), ("maxConnections", num(360)), ("engine", engine)])
        })
        .collect();
    let limits = map([
        ("maxHeaderBytes", num(16_384)),
        ("maxBodyBytes", num(4_194_304)),
        ("headerTimeoutMs", num(3000)),
        ("idleTimeoutMs", num(15_000)),
    ]);
    let tenant = map([
        ("name", text("hule930")),
        ("apiKeys", Json::List(keys.iter().map(|key| text(*key)).collect())),
        ("ratePerS", num(0)),
        ("burst", num(0)),
    ]);
    map([
        ("version", num(version)),
        ("routes", Json::List(routes)),
        ("services", Json::List(services)),
        ("limits", limits),
        ("tenants", Json::List(vec![tenant])),
    ])
}

pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";
pub const HOST: &str = "ficu95.example";

/// The route of `shopper-answer` of caroni-refill: a stream that may be resumed.
pub fn resumable_route(service: &str) -> Json {
    map([
        ("name", text("shopper-answer")),
        ("host", text(HOST)),
        ("pathPrefix", text("/pufi791/")),
        ("routeType", text("streaming")),
        ("timeoutMs", num(12_000)),
        ("targetLatencyMs", num(500)),
        ("priority", num(0)),
        ("service", text(service)),
        ("maxAttempts", num(2)),
        ("public", Json::Bool(false)),
        ("stickySessions", Json::Bool(true)),
        ("resumable", Json::Bool(true)),
        ("gapAimMs", num(500)),
    ])
}

/// The route of `route-report` of caroni-refill: a stream that may not be resumed.
pub fn report_route(service: &str) -> Json {
    map([
        ("name", text("route-report")),
        ("host", text(HOST)),
        ("pathPrefix", text("/lohu930/")),
        ("routeType", text("streaming")),
        ("timeoutMs", num(15_000)),
        ("targetLatencyMs", num(1200)),
        ("priority", num(1)),
        ("service", text(service)),
        ("maxAttempts", num(1)),
        ("public", Json::Bool(false)),
        ("stickySessions", Json::Bool(true)),
        ("resumable", Json::Bool(false)),
        ("gapAimMs", num(500)),
    ])
}

/// A client's request on the route of `route-report`.
pub fn report_request(id: &str, number: u64, deadline_ms: u64) -> Vec<u8> {
    let request = String::from_utf8(stream_request(id, number, deadline_ms)).expect("ASCII");
    request.replacen("/pufi791/", "/lohu930/", 1).into_bytes()
}

/// A client's request on the route of `shopper-answer`. Each has an id and a last part of its own; `number`
/// draws the shared parts, of which the site has 20 and 233.
pub fn stream_request(id: &str, number: u64, deadline_ms: u64) -> Vec<u8> {
    stream_request_with_key(id, number, deadline_ms, KEY)
}

/// The same with this key.
pub fn stream_request_with_key(id: &str, number: u64, deadline_ms: u64, key: &str) -> Vec<u8> {
    let body = format!("prompt of {id}");
    let (first, second) = (number * 7 % 20, number * 31 % 233);
    format!(
        "POST /pufi791/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nModel: m\r\n\
         Token-Usage: 628,240\r\nPrompt-Prefix: 5c1e{first:04x}:119,91bd{second:04x}:79,{id}:430\r\n\
         Request-Deadline: {deadline_ms}\r\nCredential: {key}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
