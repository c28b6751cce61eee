//! A prompt part that crashes engines, and sound requests that share the part before it.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::{config, report_route, Record, HOST, KEY};
use crate::fleet::{Folder, Gateway};
use crate::http::{self, Channel};
use crate::json::{map, num, text};
use crate::platform::{listener, Platform};
use crate::Verdict;

const ENGINES: usize = 8;

/// A crashed engine is back after this time, as a new one. The entry of the crashed one is
/// removed after three intervals of 1.2 s.
const BACK: Duration = Duration::from_secs(2);
const LAPSE: Duration = Duration::from_millis(3600);

/// First part of the requests of two applications of one tenant.
const FIRST: &str = "5c1ea001";
const OTHER_FIRST: &str = "5c1ea002";

/// The part that crashes engines. It comes after `FIRST`.
const CRASHING: &str = "91bd7777";

/// `contactMs` of the site, and the fifth crash, from which the rule counts.
const CONTACT: Duration = Duration::from_millis(3000);
const FIFTH: usize = 5;

/// Requests of each kind that the rule asks for.
const ENOUGH: usize = 20;

/// Begin of the phases, in milliseconds: the application's sound requests, a lull, requests
/// with the crashing part (until the end), and its sound requests once more.
const LULL_MS: u64 = 13_000;
const CRASHING_MS: u64 = 16_000;
const SOUND_AGAIN_MS: u64 = 28_000;
const END_MS: u64 = 52_000;

struct Engine {
    running: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

/// All engines, and when requests with the crashing part reached one.
#[derive(Default)]
struct Service {
    crashes: Mutex<Vec<Instant>>,
    started: AtomicU64,
    ended: AtomicBool,
}

fn start_engine(service: &Arc<Service>, platform: &Platform, record: &Record) {
    let number = service.started.fetch_add(1, Ordering::Relaxed);
    let id = format!("i-{number}");
    let zone = ["chaguanas", "arima", "san-fernando"][number as usize % 3];
    let listener = listener();
    let addr = listener.local_addr().unwrap();
    let engine = Arc::new(Engine { running: AtomicBool::new(true), streams: Mutex::default() });
    let spec = map([
        ("service", text("soap")),
        ("address", text(addr.to_string())),
        ("zone", text(zone)),
        ("version", text("v1")),
        ("slots", num(64)),
        ("state", text("ready")),
        ("coldLeftMs", num(0)),
        ("sequence", num(0)),
        ("born", num(1_790_000_000_000 + number)),
    ]);
    let (service, platform, record) = (service.clone(), platform.clone(), record.clone());
    platform.put("servers", &id, spec);
    thread::spawn(move || {
        accept(&listener, &engine, &service, &id, &record);
        drop(listener);
        if service.ended.load(Ordering::Relaxed) {
            return;
        }
        thread::sleep(BACK);
        start_engine(&service, &platform, &record);
        thread::sleep(LAPSE - BACK);
        platform.delete("servers", &id);
    });
}

/// Serves channels until the engine crashes.
fn accept(listener: &TcpListener, engine: &Arc<Engine>, service: &Arc<Service>, id: &str, record: &Record) {
    listener.set_nonblocking(true).expect("a socket option");
    while engine.running.load(Ordering::Relaxed) && !service.ended.load(Ordering::Relaxed) {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(Duration::from_millis(2));
            continue;
        };
        let _ = stream.set_nonblocking(false);
        engine.streams.lock().unwrap().extend(stream.try_clone());
        let (engine, service, id, record) = (engine.clone(), service.clone(), id.to_owned(), record.clone());
        thread::spawn(move || {
            let handler: http::Handler = Arc::new(move |request: &http::Request, stream: &mut TcpStream| {
                answer(request, stream, &engine, &service, &id, &record)
            });
            let _ = http::serve_channel(stream, &handler);
        });
    }
    for stream in engine.streams.lock().unwrap().drain(..) {
        http::reset(&stream);
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }
}

fn answer(
    request: &http::Request,
    stream: &mut TcpStream,
    engine: &Engine,
    service: &Service,
    id: &str,
    record: &Record,
) -> io::Result<http::After> {
    let request_id = request.header("request-id").unwrap_or("-").to_owned();
    if request.header("expected-instance").is_some_and(|expected| expected != id) {
        let headers = [("Instance-Id", id), ("Request-Id", &request_id)];
        return http::respond(stream, "421 Misdirected Request", &headers, b"");
    }
    let is_crashing = request.header("prompt-prefix").is_some_and(|parts| parts.contains(CRASHING));
    thread::sleep(Duration::from_millis(15));
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Signature: {id}.{request_id}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    if is_crashing {
        let crashes = {
            let mut crashes = service.crashes.lock().unwrap();
            crashes.push(Instant::now());
            crashes.len()
        };
        record.add(format!("engine {id} crashes as it begins to answer {request_id}, crash {crashes}"));
        let _ = stream.write_all(head.as_bytes());
        engine.running.store(false, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(5));
        return Ok(http::After::Reset);
    }
    stream.write_all(head.as_bytes())?;
    for event in 1..=8 {
        if !engine.running.load(Ordering::Relaxed) {
            return Ok(http::After::Reset);
        }
        let data = format!("id: {event}\ndata: {request_id} {event}\n\n");
        stream.write_all(format!("{:x}\r\n{data}\r\n", data.len()).as_bytes())?;
        thread::sleep(Duration::from_millis(30));
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok(http::After::Keep)
}

/// A request without the crashing part: when it was sent, and whether its answer began.
struct Sound {
    at: Instant,
    first: &'static str,
    begun: bool,
}

pub fn run(trouble: bool, record: &Record) -> Verdict {
    let folder = Folder::new();
    let platform = Platform::start();
    platform.put("config", "main", config(7, vec![report_route("soap")], &["soap"]));
    let service: Arc<Service> = Arc::default();
    for _ in 0..ENGINES {
        start_engine(&service, &platform, record);
    }
    let mut gateways: Vec<Gateway> = ["chaguanas", "arima", "san-fernando"]
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
    let fronts: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.front).collect();
    let sound: Arc<Mutex<Vec<Sound>>> = Arc::default();
    let mut threads = Vec::new();
    let mut number = 0_usize;
    while began.elapsed() < Duration::from_millis(END_MS) {
        let now = began.elapsed().as_millis() as u64;
        number += 1;
        // Each 250 ms: a sound request of each application that is in use, and each second
        // one with the crashing part.
        let mut kinds = vec![(OTHER_FIRST, false)];
        if now < LULL_MS || now >= SOUND_AGAIN_MS {
            kinds.push((FIRST, false));
        }
        if trouble && now >= CRASHING_MS && number % 4 == 0 {
            kinds.push((FIRST, true));
        }
        for (index, (first, crashing)) in kinds.into_iter().enumerate() {
            let front = fronts[(number + index) % fronts.len()];
            let (record, sound) = (record.clone(), sound.clone());
            let number = number * 4 + index;
            threads.push(thread::spawn(move || {
                let id = format!("9c41d0{}{number:08x}", if crashing { "bad" } else { "50d" });
                let at = Instant::now();
                let status = send(&id, number, first, crashing, front);
                let kind = if crashing { "with the crashing part" } else { "sound" };
                record.add(format!("client gets {status} for {id}, first part {first}, {kind}"));
                if !crashing {
                    sound.lock().unwrap().push(Sound { at, first, begun: status == 200 });
                }
            }));
        }
        thread::sleep(Duration::from_millis(250));
    }
    for thread in threads {
        let _ = thread.join();
    }
    service.ended.store(true, Ordering::Relaxed);
    for gateway in &gateways {
        for line in gateway.log_lines(&folder, "quarantined a feature") {
            record.add(format!("{} logged: {line}", gateway.name));
        }
    }
    let crashes = service.crashes.lock().unwrap();
    let sound = sound.lock().unwrap();
    let from = match crashes.get(FIFTH - 1).or(crashes.last()) {
        Some(at) => *at + 2 * CONTACT,
        None => began + Duration::from_millis(SOUND_AGAIN_MS),
    };
    let first_crash = crashes.first().copied().unwrap_or(from);
    let share = |first: &str, is_counted: &dyn Fn(Instant) -> bool| {
        let counted: Vec<bool> = sound.iter().filter(|s| s.first == first && is_counted(s.at)).map(|s| s.begun).collect();
        let begun = counted.iter().filter(|begun| **begun).count();
        (counted.len(), begun as f64 / counted.len().max(1) as f64)
    };
    let before = |at: Instant| at < first_crash;
    let after = |at: Instant| at > from;
    let mut broken = false;
    for first in [FIRST, OTHER_FIRST] {
        let ((n, outside), (m, during)) = (share(first, &before), share(first, &after));
        let line = format!("first part {first}: {outside:.2} of {n} sound requests began before the first crash, {during:.2} of {m} from 6 s after the fifth on");
        println!("{line}");
        record.add(&line);
        if n < ENOUGH || m < ENOUGH {
            return Verdict::NotRun("too few sound requests".into());
        }
        if during < outside / 2.0 {
            record.add(format!("LOST: sound requests with first part {first} begin less than half as often"));
            broken = true;
        }
    }
    println!("{} crashes", crashes.len());
    if broken { Verdict::Broken } else { Verdict::Held }
}

/// Sends a request and returns the status, 0 without an answer.
fn send(id: &str, number: usize, first: &str, crashing: bool, front: SocketAddr) -> u16 {
    let second = if crashing { CRASHING.to_owned() } else { format!("91bd{:04x}", number % 10) };
    let body = format!("prompt of {id}");
    let request = format!(
        "POST /lohu930/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nModel: m\r\n\
         Token-Usage: 628,240\r\nPrompt-Prefix: {first}:119,{second}:79,{id}:430\r\n\
         Request-Deadline: 15000\r\nCredential: {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let answer = Channel::open(front).and_then(|mut channel| {
        channel.send(request.as_bytes())?;
        Ok(channel.receive(Duration::from_secs(4)).status)
    });
    answer.unwrap_or(0)
}
