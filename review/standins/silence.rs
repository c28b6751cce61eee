//! Streams whose sound engine makes no event for some time, at a machine that stops.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::engine::{config, resumable_route, stream_request, Engine, Pace, Record, RunLog};
use crate::fleet::{Folder, Gateway};
use crate::http::{Channel, End};
use crate::platform::Platform;
use crate::Verdict;

/// Requests that an engine runs at once.
const SLOTS: usize = 8;

/// An event each 100 ms, 40 of them: a stream lasts 4 s.
const PACE: Pace = Pace {
    slots: SLOTS,
    first: Duration::from_millis(30),
    gap: Duration::from_millis(100),
    events: 40,
};

/// Runs that an engine preempts, and for how long. A client of this route waits 4 s for an
/// event: eight times its `gapAimMs`.
const PREEMPTED: usize = 4;
const PREEMPTION: Duration = Duration::from_millis(2500);
const PATIENCE: Duration = Duration::from_millis(4000);

struct Outcome {
    id: String,
    gateway: usize,
    status: u16,
    events: usize,
    end: End,
}

pub fn run(trouble: bool, record: &Record) -> Verdict {
    let folder = Folder::new();
    let platform = Platform::start();
    let log: RunLog = Arc::default();
    platform.put("config", "main", config(7, vec![resumable_route("soap")], &["soap"]));
    let engines: Vec<Engine> = [("i-a", "chaguanas"), ("i-b", "arima")]
        .iter()
        .map(|(id, zone)| Engine::start(id, "soap", zone, PACE, &platform, record, &log))
        .collect();
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
    // As many streams as the engines run at once, half of them at each machine.
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let clients: Vec<_> = (0..2 * SLOTS)
        .map(|number| {
            let (at, front) = (number % 2, gateways[number % 2].front);
            let (record, outcomes) = (record.clone(), outcomes.clone());
            thread::sleep(Duration::from_millis(25));
            thread::spawn(move || {
                let outcome = request(number, at, front, &record);
                outcomes.lock().unwrap().push(outcome);
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(800));
    let running: usize = engines.iter().map(Engine::running).sum();
    record.add(format!("{running} streams run"));
    record.add("SIGTERM of front-chaguanas-1");
    gateways[0].terminate();
    thread::sleep(Duration::from_millis(300));
    if trouble {
        for engine in &engines {
            engine.preempt_newest(PREEMPTED, PREEMPTION);
        }
    }
    for client in clients {
        let _ = client.join();
    }
    for gateway in &gateways {
        for line in gateway.log_lines(&folder, "broke off") {
            record.add(format!("{} logged: {line}", gateway.name));
        }
    }
    let outcomes = outcomes.lock().unwrap();
    let begun: Vec<&Outcome> = outcomes.iter().filter(|o| o.status == 200).collect();
    if begun.len() < SLOTS {
        return Verdict::NotRun(format!("only {} streams began", begun.len()));
    }
    let broken = |o: &&&Outcome| o.gateway == 0 && matches!(o.end, End::Broken(_));
    let lost: Vec<_> = begun.iter().filter(broken).collect();
    for outcome in &lost {
        record.add(format!("LOST: {} ended after {} events", outcome.id, outcome.events));
    }
    println!("{} of {} streams at the stopping machine were cut", lost.len(), begun.iter().filter(|o| o.gateway == 0).count());
    if lost.is_empty() { Verdict::Held } else { Verdict::Broken }
}

fn request(number: usize, gateway: usize, front: std::net::SocketAddr, record: &Record) -> Outcome {
    let id = format!("9c41d07be2a3{number:04x}");
    let mut outcome = Outcome { id: id.clone(), gateway, status: 0, events: 0, end: End::Complete };
    let Ok(mut channel) = Channel::open(front) else {
        outcome.end = End::Broken("no channel".into());
        return outcome;
    };
    record.add(format!("client sends {id} to machine {gateway}"));
    if channel.send(&stream_request(&id, number as u64, 12_000)).is_err() {
        outcome.end = End::Broken("not sent".into());
        return outcome;
    }
    let answer = channel.receive(PATIENCE);
    outcome.status = answer.status;
    outcome.events = answer.body.windows(2).filter(|pair| pair == b"\n\n").count();
    record.add(format!("client gets {} for {id} from machine {gateway}: {} events, {:?}", answer.status, outcome.events, answer.end));
    outcome.end = answer.end;
    outcome
}
