//! A key that was taken away, at a process that starts after the store came back from a
//! copy.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::{
    config_with_keys, resumable_route, stream_request_with_key, Engine, Pace, Record, RunLog, KEY,
};
use crate::fleet::{Folder, Gateway};
use crate::http::Channel;
use crate::platform::Platform;
use crate::Verdict;

const PACE: Pace = Pace {
    slots: 64,
    first: Duration::from_millis(10),
    gap: Duration::from_millis(10),
    events: 3,
};

/// The key that the operator takes away.
const REVOKED: &str = "n2ctnfzs989anu6wsjnb";

/// `revokeMs` of the site.
const REVOKE: Duration = Duration::from_millis(5000);

/// Times after the ack of the configuration that takes the key away, in milliseconds.
const KILL_MS: u64 = 2000;
const AWAY_MS: u64 = 3000;
const BACK_MS: u64 = 4000;
const START_MS: u64 = 4200;
const WRITTEN_AGAIN_MS: u64 = 6000;
const END_MS: u64 = 9000;

pub fn run(trouble: bool, record: &Record) -> Verdict {
    let folder = Folder::new();
    let platform = Platform::start();
    let log: RunLog = Arc::default();
    let config = |version, keys: &[&str]| {
        config_with_keys(version, vec![resumable_route("soap")], &["soap"], keys)
    };
    platform.put("config", "main", config(7, &[KEY, REVOKED]));
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
            return Verdict::NotRun(format!("{} is not ready", gateway.name));
        }
    }
    thread::sleep(Duration::from_millis(1500));
    if send(&gateways[0], "9c41d07b00000000", record) != 200 {
        return Verdict::NotRun("the key is not accepted at first".into());
    }
    let copy = platform.copy();
    thread::sleep(Duration::from_secs(1));
    platform.put("config", "main", config(8, &[KEY]));
    let acked = Instant::now();
    record.add("configuration 8, without the key, is acked");
    let wait = |millis| {
        let due = acked + Duration::from_millis(millis);
        thread::sleep(due.saturating_duration_since(Instant::now()));
    };
    wait(KILL_MS);
    record.add("front-chaguanas-1 is killed");
    gateways[0].kill();
    if trouble {
        wait(AWAY_MS);
        record.add("the store is away");
        platform.leave();
        wait(BACK_MS);
        record.add("the store is back from a copy that is 5 s old");
        platform.come_back(copy);
    }
    wait(START_MS);
    record.add("front-chaguanas-1 starts again");
    gateways[0].restart(&folder);
    let mut late = Vec::new();
    let mut written = false;
    for number in 1.. {
        let at = acked.elapsed();
        if at >= Duration::from_millis(END_MS) {
            break;
        }
        if at >= Duration::from_millis(WRITTEN_AGAIN_MS) && !written {
            written = true;
            record.add("the operator writes configuration 8 again");
            platform.put("config", "main", config(8, &[KEY]));
        }
        if at > REVOKE {
            let id = format!("9c41d07b{number:08x}");
            send(&gateways[0], &id, record);
            late.push(id);
        }
        thread::sleep(Duration::from_millis(50));
    }
    let log = log.lock().unwrap();
    let ran: Vec<_> = log.iter().filter(|(_, request, _)| late.contains(request)).collect();
    for (at, request, engine) in &ran {
        let after = at.duration_since(acked).as_millis();
        record.add(format!("CONFIG: {request} ran on {engine} {after} ms after the ack"));
    }
    println!("{} of {} requests with the key sent later than revokeMs ran", ran.len(), late.len());
    if ran.is_empty() { Verdict::Held } else { Verdict::Broken }
}

/// Sends a request with the key and returns the status, 0 without an answer.
fn send(gateway: &Gateway, id: &str, record: &Record) -> u16 {
    let answer = Channel::open(gateway.front).and_then(|mut channel| {
        channel.send(&stream_request_with_key(id, 1, 3000, REVOKED))?;
        Ok(channel.receive(Duration::from_secs(2)))
    });
    let status = answer.map_or(0, |answer| answer.status);
    record.add(format!("client gets {status} for {id}, with the key that is taken away"));
    status
}
