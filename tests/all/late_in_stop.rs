//! Requests whose bodies come late in the time that their entry has to stop.

use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join3;
use hyper::Method;
use lycheehaven_net::HttpClient;
use lycheehaven_standins::Cluster;
use lycheehaven_standins::OPERATOR_KEY;
use lycheehaven_standins::RawRequest;
use lycheehaven_standins::RawServer;
use lycheehaven_standins::WORKSPACE_KEY;
use lycheehaven_standins::wait_until;
use serde_json::json;

use crate::late_caller::CALLER_TIMEOUT;
use crate::late_caller::End;
use crate::late_caller::KINDS;
use crate::late_caller::Kind;
use crate::late_caller::Late;
use crate::late_caller::end_of;
use crate::late_caller::late;
use crate::late_caller::send_all;
use crate::raw_engine::is_completion;
use crate::raw_engine::respond_as_engine;
use crate::support::DAEMON;
use crate::support::run;

/// The time to stop: 1 s until no connection is accepted, 4 s to finish.
const DRAIN: &str = "[drain]\nlag_ms = 1000\nfinish_ms = 4000";

/// Most time from the signal to the end of the process.
const EXIT_WAIT: Duration = Duration::from_secs(12);

/// Time from the heads of the later requests to the signal, and from it to the earlier
/// ones.
const HEAD_OFFSET: Duration = Duration::from_millis(300);

/// Milliseconds after the signal at which bodies end.
const BODY_ENDS: std::ops::Range<u64> = 500..7_000;

/// Step between the ends of two bodies, in milliseconds.
const BODY_STEP: usize = 500;

/// Interval between the bytes of a slow body, and their number.
const BYTE_INTERVAL: Duration = Duration::from_millis(250);
const BYTES: usize = 16;

/// Events of a streamed answer.
const EVENTS: u64 = 10;

/// Ends by kind and second after the signal at which the body ended, in the order served,
/// refused, moved, failed, cut.
#[derive(Default)]
struct Ends(BTreeMap<(Kind, u64), [usize; 5]>);

impl fmt::Display for Ends {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "kind, second: served, refused, moved, failed, cut")?;
        for ((kind, second), counts) in &self.0 {
            writeln!(f, "{kind:?} {second}: {counts:?}")?;
        }
        Ok(())
    }
}

impl Ends {
    fn count(&self, end: End) -> usize {
        self.0.values().map(|counts| counts[end as usize]).sum()
    }
}

/// Starts a plain service whose calls take `work`.
fn service(work: Duration) -> RawServer {
    RawServer::start(move |_: &RawRequest, stream: &mut TcpStream| {
        std::thread::sleep(work);
        // The entry may have closed the connection.
        let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    })
}

/// Starts an engine whose answers take `work`.
fn engine(work: Duration) -> RawServer {
    RawServer::start(move |request: &RawRequest, stream: &mut TcpStream| {
        if !is_completion(request) {
            return respond_as_engine(request, stream, "", None);
        }
        let mut text = "HTTP/1.1 200 OK\r\n\r\n".to_owned();
        for offset in 0..=EVENTS {
            let finish = (offset == EVENTS).then_some("stop");
            let token = if finish.is_some() { "" } else { "t " };
            let choices = json!([{"text": token, "finish_reason": finish}]);
            let event = json!({"offset": offset, "choices": choices});
            text += &format!("data: {event}\n\n");
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            text.clear();
            std::thread::sleep(work / EVENTS as u32);
        }
    })
}

/// Returns how often the request with this marker reached an upstream.
fn ran(servers: &[RawServer; 2], marker: &str) -> usize {
    let is_run = |request: &RawRequest| {
        request.path().ends_with(&format!("/{marker}"))
            || String::from_utf8_lossy(&request.body).contains(&format!("\"{marker}\""))
    };
    let received = servers.iter().flat_map(RawServer::received);
    received.filter(is_run).count()
}

/// What lets the entry stop.
#[derive(Debug, Clone, Copy)]
enum Stop {
    Signal,
    /// A second signal after this time ends the time to finish.
    SecondSignal(Duration),
    Operator,
    /// The VM is reclaimed this time after the notice.
    Reclaim(Duration),
}

struct Case {
    work: Duration,
    /// Entries besides the one that stops.
    peers: usize,
    /// Whether the entry knows how long requests take.
    is_known: bool,
    stop: Stop,
}

impl Case {
    fn new(work_ms: u64) -> Self {
        Self {
            work: Duration::from_millis(work_ms),
            peers: 0,
            is_known: true,
            stop: Stop::Signal,
        }
    }

    async fn start(&self, servers: &[RawServer; 2]) -> Cluster {
        let mut cluster = Cluster::new(DAEMON);
        cluster.extra_settings = DRAIN.into();
        for (server, name) in servers.iter().zip(["hinnalaud", "poleer-llm"]) {
            let mut platform = cluster.platform.state();
            platform.add_vm(&format!("raw-{name}"), "arima", name, server.addr());
        }
        for index in 0..=self.peers {
            cluster.add_entry(&format!("entry-{index}"), "arima");
        }
        cluster.wait_until_joined().await;
        cluster.declare_default().await;
        cluster
    }

    async fn stop(&self, cluster: &Cluster, signal: Instant) {
        compio::time::sleep_until(signal).await;
        let entry = &cluster.entries[0];
        match self.stop {
            Stop::Signal => entry.terminate(),
            Stop::SecondSignal(wait) => {
                entry.terminate();
                compio::time::sleep(wait).await;
                entry.terminate();
            }
            Stop::Operator => {
                let authorization = format!("Bearer {OPERATOR_KEY}");
                let http = HttpClient::new().with_header("authorization", authorization);
                let path = "/admin/drain";
                let reply = http.call(Method::POST, entry.listen, path, "", CALLER_TIMEOUT);
                assert_eq!(reply.await.expect("the entry responds").status, 202);
            }
            Stop::Reclaim(left) => {
                let mut platform = cluster.platform.state();
                platform.reclaim(&entry.name, left, true);
            }
        }
    }

    /// Plays the stop. Returns how its requests ended, and the calls that were refused.
    async fn play(&self, cluster: &mut Cluster, servers: &[RawServer; 2]) -> (Ends, Vec<Late>) {
        let addr = cluster.entries[0].listen;
        if self.is_known {
            let first =
                KINDS.map(|kind| late(kind, addr, &format!("first-{kind:?}"), Duration::ZERO));
            for received in send_all(addr, &first, Instant::now()).await {
                assert_eq!(end_of(&received), End::Served, "{received}");
            }
        }
        let signal = Instant::now() + 2 * HEAD_OFFSET;
        let (earlier, later) = (requests(addr, "earlier"), requests(addr, "later"));
        let later_sends = async {
            compio::time::sleep_until(signal + HEAD_OFFSET).await;
            send_all(addr, &later, signal).await
        };
        let earlier_sends = async {
            compio::time::sleep_until(signal - HEAD_OFFSET).await;
            send_all(addr, &earlier, signal).await
        };
        let stop = self.stop(cluster, signal);
        let (earlier_received, later_received, ()) = join3(earlier_sends, later_sends, stop).await;
        assert!(
            cluster.entries[0].wait(EXIT_WAIT),
            "the entry does not exit"
        );
        let mut ends = Ends::default();
        let mut refused = Vec::new();
        let received = earlier_received.iter().chain(&later_received);
        for (request, received) in earlier.iter().chain(&later).zip(received) {
            let end = end_of(received);
            let runs = ran(servers, &request.marker);
            assert!(
                end != End::Refused || runs == 0,
                "{request:?} ran: {received}"
            );
            assert!(
                request.kind != Kind::Once || runs <= 1,
                "{request:?} ran {runs} times"
            );
            let key = (request.kind, request.body_end.as_secs());
            ends.0.entry(key).or_default()[end as usize] += 1;
            if request.kind == Kind::Once && end == End::Refused {
                refused.push(request.clone());
            }
        }
        (ends, refused)
    }

    /// Checks that each request is answered, and that calls that were refused run at a peer.
    fn check(&self) -> Ends {
        run(async {
            let servers = [service(self.work), engine(self.work)];
            let mut cluster = self.start(&servers).await;
            let (ends, refused) = self.play(&mut cluster, &servers).await;
            assert!(ends.count(End::Served) > 0, "{ends}");
            assert!(ends.count(End::Refused) > 0, "{ends}");
            assert_eq!(ends.count(End::Cut), 0, "{ends}");
            if let Some(peer) = cluster.entries.get(1) {
                for received in send_all(peer.listen, &refused, Instant::now()).await {
                    assert_eq!(end_of(&received), End::Served, "{received}");
                }
            }
            ends
        })
    }
}

fn requests(addr: SocketAddr, name: &str) -> Vec<Late> {
    let ends = BODY_ENDS.step_by(BODY_STEP);
    let all = ends.flat_map(|end| KINDS.map(|kind| (end, kind)));
    all.map(|(end, kind)| {
        let marker = format!("{name}-{end}-{kind:?}");
        late(kind, addr, &marker, Duration::from_millis(end))
    })
    .collect()
}

/// Guards against an end of the process without answers to requests that still run.
#[test]
fn requests_of_one_second_late_in_a_stop_are_answered() {
    Case::new(1_000).check();
}

/// Guards against an end of the process without answers to requests that still run.
#[test]
fn requests_of_three_seconds_late_in_a_stop_are_answered() {
    let ends = Case::new(3_000).check();
    assert_eq!(ends.count(End::Failed), 0, "{ends}");
}

/// Guards against an end of the process without answers to requests that still run.
#[test]
fn requests_of_three_seconds_late_in_a_stop_beside_a_peer_are_answered() {
    let ends = Case {
        peers: 1,
        ..Case::new(3_000)
    }
    .check();
    assert!(ends.count(End::Moved) > 0, "{ends}");
}

/// Guards against cuts where nothing tells how long requests take.
#[test]
fn requests_of_unknown_length_late_in_a_stop_are_answered() {
    let ends = Case {
        is_known: false,
        ..Case::new(3_000)
    }
    .check();
    assert!(ends.count(End::Failed) > 0, "{ends}");
}

/// Guards against cuts where a second signal ends the time to finish.
#[test]
fn requests_at_a_second_signal_are_answered() {
    let stop = Stop::SecondSignal(Duration::from_secs(2));
    Case {
        stop,
        ..Case::new(1_000)
    }
    .check();
}

/// Guards against cuts where an operator stops an entry.
#[test]
fn requests_late_in_an_operators_drain_are_answered() {
    let stop = Stop::Operator;
    Case {
        stop,
        ..Case::new(3_000)
    }
    .check();
}

/// Guards against cuts where the VM of an entry is reclaimed.
#[test]
fn requests_late_before_a_reclaim_of_their_entry_are_answered() {
    let stop = Stop::Reclaim(Duration::from_secs(5));
    Case {
        stop,
        ..Case::new(1_000)
    }
    .check();
}

/// Sends the body of a call byte by byte, then reads the answer.
fn send_bytewise(addr: SocketAddr) -> io::Result<String> {
    let mut stream = TcpStream::connect(addr)?;
    let head = format!(
        "POST /v1/services/hinnalaud/quote/slow HTTP/1.1\r\nHost: {addr}\r\n\
         Authorization: Bearer {WORKSPACE_KEY}\r\nIdempotency-Key: slow-1\r\n\
         Content-Length: {BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for _ in 0..BYTES {
        std::thread::sleep(BYTE_INTERVAL);
        stream.write_all(b" ")?;
    }
    let mut received = [0; 4096];
    let length = stream.read(&mut received)?;
    Ok(String::from_utf8_lossy(&received[..length]).into_owned())
}

/// Guards against a reset of the connection of a caller that reads its refusal behind its
/// body.
#[test]
fn caller_refused_within_its_body_may_send_the_rest_before_it_reads() {
    run(async {
        let case = Case::new(2_000);
        let servers = [service(case.work), engine(case.work)];
        let cluster = case.start(&servers).await;
        let addr = cluster.entries[0].listen;
        let first = [late(Kind::Once, addr, "first", Duration::ZERO)];
        for received in send_all(addr, &first, Instant::now()).await {
            assert_eq!(end_of(&received), End::Served, "{received}");
        }
        let caller = std::thread::spawn(move || send_bytewise(addr));
        case.stop(&cluster, Instant::now()).await;
        wait_until("the caller to end", || caller.is_finished()).await;
        let received = caller.join().expect("the caller does not panic");
        let received = received.expect("the whole body is sent and the answer is read");
        assert_eq!(end_of(&received), End::Refused, "{received}");
        assert_eq!(ran(&servers, "slow"), 0);
    });
}
