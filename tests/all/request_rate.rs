//! Upstreams that state how many requests a second they take from all entries together.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_net::Reply;
use lycheehaven_standins::Cluster;
use lycheehaven_standins::RawRequest;
use lycheehaven_standins::RawServer;
use lycheehaven_standins::most_in_window;
use lycheehaven_upstream::RATE_HEADER;
use serde_json::Value;

use crate::raw_engine;
use crate::raw_engine::is_completion;
use crate::raw_engine::respond_as_engine;
use crate::support::DAEMON;
use crate::support::client;
use crate::support::look_up;
use crate::support::run;
use crate::tools::ctl;

/// Time in which entries learn of a rate, from the first response with it on.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Requests that may come beside those of the rate in a window.
const MAX_EXCESS: f64 = 2.0;

const INTERVAL: Duration = Duration::from_millis(25);

type Arrivals = Arc<Mutex<Vec<Instant>>>;

/// Starts a plain service that states `rate`, if any, and records when calls arrive.
fn service(rate: Option<&str>) -> (RawServer, Arrivals) {
    let arrivals = Arrivals::default();
    let recorded = arrivals.clone();
    let header = rate.map_or_else(String::new, |rate| format!("{RATE_HEADER}: {rate}\r\n"));
    let server = RawServer::start(move |_: &RawRequest, stream: &mut TcpStream| {
        let mut recorded = recorded.lock().expect("the lock is not poisoned");
        recorded.push(Instant::now());
        // The entry may have closed the connection.
        let _ = write!(
            stream,
            "HTTP/1.1 200 OK\r\n{header}Content-Length: 2\r\nConnection: close\r\n\r\nok"
        );
    });
    (server, arrivals)
}

/// Returns when requests arrived from `from` on.
fn since(arrivals: &Arrivals, from: Instant) -> Vec<Instant> {
    let arrivals = arrivals.lock().expect("the lock is not poisoned");
    arrivals.iter().copied().filter(|at| *at >= from).collect()
}

/// Calls all entries in turn for `duration` and returns the replies.
async fn look_up_for(cluster: &Cluster, duration: Duration) -> Vec<Reply> {
    let began = Instant::now();
    let mut replies = Vec::new();
    while began.elapsed() < duration {
        let entry = replies.len() % cluster.entries.len();
        replies.push(look_up(cluster, entry).await);
        compio::time::sleep(INTERVAL).await;
    }
    replies
}

async fn cluster_with(servers: &[&RawServer]) -> Cluster {
    let mut cluster = Cluster::new(DAEMON);
    for (index, server) in servers.iter().enumerate() {
        let name = format!("raw-{index}");
        let mut platform = cluster.platform.state();
        platform.add_vm(&name, "arima", "hinnalaud", server.addr());
    }
    for entry in ["entry-a", "entry-b", "entry-c"] {
        cluster.add_entry(entry, "arima");
    }
    cluster.wait_until_joined().await;
    cluster.declare_default().await;
    cluster
}

#[test]
fn service_that_limits_its_calls_gets_no_more_of_all_entries_together() {
    const RATE: f64 = 2.0;
    const COUNTED: Duration = Duration::from_secs(8);
    let (limited, arrivals) = service(Some("2"));
    let (other, _) = service(None);
    run(async {
        let cluster = cluster_with(&[&limited, &other]).await;
        look_up_for(&cluster, CONTACT_TIME).await;
        let from = Instant::now();
        let replies = look_up_for(&cluster, COUNTED).await;
        let arrivals = since(&arrivals, from);
        let most = most_in_window(&arrivals, WINDOW) as f64;
        let allowed = RATE * WINDOW.as_secs_f64() + MAX_EXCESS;
        assert!(most <= allowed, "{most} calls of {allowed} in a window");
        let least = 0.8 * RATE * COUNTED.as_secs_f64() - 1.0;
        assert!(arrivals.len() as f64 >= least, "{} calls", arrivals.len());
        assert!(replies.iter().all(|reply| reply.status == 200));
        let listed = ctl(&cluster, &["--json", "limits"]);
        let limits: Value = serde_json::from_slice(&listed.stdout).unwrap();
        assert_eq!(limits[0]["upstream"], "raw-0", "{listed:?}");
        assert_eq!(limits[0]["per_second"], RATE, "{listed:?}");
    });
}

#[test]
fn callers_are_refused_with_a_time_to_return_while_the_only_service_is_limited() {
    let (limited, arrivals) = service(Some("1"));
    run(async {
        let cluster = cluster_with(&[&limited]).await;
        look_up_for(&cluster, CONTACT_TIME).await;
        let from = Instant::now();
        let replies = look_up_for(&cluster, WINDOW).await;
        let most = most_in_window(&since(&arrivals, from), WINDOW);
        assert!(most <= 6, "{most} calls in a window");
        let refused: Vec<&Reply> = replies.iter().filter(|it| it.status != 200).collect();
        assert!(refused.len() > 20, "{} refused", refused.len());
        for reply in refused {
            assert_eq!(reply.status, 503, "{reply:?}");
            assert!(reply.headers.contains_key("retry-after"), "{reply:?}");
        }
    });
}

#[test]
fn engine_that_limits_its_streams_gets_no_more_of_an_entry() {
    let arrivals = Arrivals::default();
    let recorded = arrivals.clone();
    let server = RawServer::start(move |request, stream| {
        if is_completion(request) {
            let mut recorded = recorded.lock().expect("the lock is not poisoned");
            recorded.push(Instant::now());
        }
        respond_as_engine(request, stream, &format!("{RATE_HEADER}: 1\r\n"), None);
    });
    run(async {
        let cluster = raw_engine::cluster_with("poleer-llm", &server).await;
        let addr = cluster.entries[0].listen;
        let began = Instant::now();
        while began.elapsed() < CONTACT_TIME + WINDOW {
            // A caller that is refused goes away.
            let _ = client().complete(addr, "chair len=5").await;
            compio::time::sleep(INTERVAL).await;
        }
        let most = most_in_window(&since(&arrivals, began + CONTACT_TIME), WINDOW);
        assert!(most <= 6, "{most} streams in a window");
        assert!(most >= 3, "{most} streams in a window");
    });
}
