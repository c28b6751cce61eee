//! An engine that has left, in a store that comes back from an older copy.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::engine::{config, report_request, report_route, Engine, Pace, Record, RunLog};
use crate::fleet::{Folder, Gateway};
use crate::http::{Channel, End};
use crate::platform::Platform;
use crate::Verdict;

/// An event each 50 ms, 40 of them: a stream lasts 2 s.
const PACE: Pace = Pace {
    slots: 64,
    first: Duration::from_millis(15),
    gap: Duration::from_millis(50),
    events: 40,
};

/// The engine that leaves without a report that it is `draining`.
const LEAVING: &str = "i-leaving";

/// `drainMs` of the site.
const DRAIN: Duration = Duration::from_millis(2000);

/// Times after the removal of the entry, in milliseconds. The engine goes on serving for
/// `drainMs` "and a little longer (at times many seconds)".
const AWAY_MS: u64 = 3000;
const BACK_MS: u64 = 3300;
const REMOVED_AGAIN_MS: u64 = 5300;
const EXIT_MS: u64 = 5500;

/// Time between two requests.
const GAP: Duration = Duration::from_millis(30);

/// How the answer to each request ended.
type Answers = Arc<Mutex<BTreeMap<String, (u16, End)>>>;

struct Clients<'a> {
    gateways: &'a [Gateway],
    record: &'a Record,
    answers: Answers,
    sent: BTreeMap<String, Instant>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients<'_> {
    /// Sends requests to all machines in turn.
    fn send_until(&mut self, until: Instant) {
        while Instant::now() < until {
            let number = self.sent.len();
            let id = format!("9c41d07c{number:08x}");
            self.sent.insert(id.clone(), Instant::now());
            let front = self.gateways[number % self.gateways.len()].front;
            let (record, answers) = (self.record.clone(), self.answers.clone());
            self.threads.push(thread::spawn(move || {
                let answer = Channel::open(front).and_then(|mut channel| {
                    channel.send(&report_request(&id, number as u64, 15_000))?;
                    Ok(channel.receive(Duration::from_secs(4)))
                });
                let lost = (0, End::Broken("no channel".into()));
                let answer = answer.map_or(lost, |answer| (answer.status, answer.end));
                record.add(format!("client gets {} for {id}: {:?}", answer.0, answer.1));
                answers.lock().unwrap().insert(id, answer);
            }));
            thread::sleep(GAP);
        }
    }
}

pub fn run(trouble: bool, record: &Record) -> Verdict {
    let folder = Folder::new();
    let platform = Platform::start();
    let log: RunLog = Arc::default();
    platform.put("config", "main", config(7, vec![report_route("soap")], &["soap"]));
    let engine = |id: &str, zone| Engine::start(id, "soap", zone, PACE, &platform, record, &log);
    let leaving = engine(LEAVING, "chaguanas");
    let _others = [engine("i-a", "chaguanas"), engine("i-b", "arima")];
    let mut gateways: Vec<Gateway> = ["chaguanas", "arima"]
        .iter()
        .map(|zone| Gateway::start(&folder, &format!("front-{zone}-1"), zone, &platform))
        .collect();
    for gateway in &mut gateways {
        if !gateway.wait_ready(Duration::from_secs(15)) {
            return Verdict::NotRun(format!("{} is not ready", gateway.name));
        }
    }
    thread::sleep(Duration::from_millis(3500));
    let mut clients = Clients {
        gateways: &gateways,
        record,
        answers: Arc::default(),
        sent: BTreeMap::new(),
        threads: Vec::new(),
    };
    clients.send_until(Instant::now() + Duration::from_secs(1));
    let copy = platform.copy();
    clients.send_until(Instant::now() + Duration::from_secs(1));
    platform.delete("servers", LEAVING);
    let removed = Instant::now();
    let at = |millis| removed + Duration::from_millis(millis);
    record.add(format!("{LEAVING} leaves: its entry is removed, and the store has acked that"));
    clients.send_until(at(AWAY_MS));
    if trouble {
        record.add("the store is away");
        platform.leave();
    }
    clients.send_until(at(BACK_MS));
    if trouble {
        record.add("the store is back from a copy that is 4.3 s old");
        platform.come_back(copy);
    }
    clients.send_until(at(REMOVED_AGAIN_MS));
    if trouble {
        record.add(format!("the entry of {LEAVING} is removed again"));
        platform.delete("servers", LEAVING);
    }
    clients.send_until(at(EXIT_MS));
    leaving.exit();
    for client in std::mem::take(&mut clients.threads) {
        let _ = client.join();
    }
    for gateway in &gateways {
        for line in gateway.log_lines(&folder, "older copy") {
            record.add(format!("{} logged: {line}", gateway.name));
        }
    }
    let log = log.lock().unwrap();
    let at_leaving = || log.iter().filter(|(_, _, engine)| engine == LEAVING);
    let between = |from, to| at_leaving().filter(|(began, ..)| *began >= from && *began < to).count();
    let before = between(removed - Duration::from_secs(1), removed);
    let noticed = between(at(500), at(AWAY_MS));
    record.add(format!("{LEAVING} ran {before} requests in the second before the removal, and {noticed} from 0.5 s after it until the store was away"));
    if before == 0 || noticed > 0 {
        return Verdict::NotRun("the removal was not noticed before the store was away".into());
    }
    let answers = clients.answers.lock().unwrap();
    let (mut late, mut lost) = (0, 0);
    for (began, request, _) in at_leaving() {
        if clients.sent[request] <= removed + DRAIN {
            continue;
        }
        late += 1;
        let is_lost = answers[request] != (200, End::Complete);
        lost += usize::from(is_lost);
        let after = began.duration_since(removed).as_millis();
        let end = if is_lost { "and its answer is never whole" } else { "and is answered" };
        record.add(format!("DRAIN: {request} reaches {LEAVING} {after} ms after the removal of its entry, {end}"));
    }
    println!("{late} requests sent later than drainMs after the removal reached {LEAVING}; {lost} got no whole answer");
    if late > 0 { Verdict::Broken } else { Verdict::Held }
}
