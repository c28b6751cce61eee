//! Startup, background loops and shutdown of a gateway process.

use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpListener;
use compio::net::UdpSocket;
use eyre::Result;
use eyre::WrapErr;
use hyper::Response;
use hyper::StatusCode;
use lycheehaven_net::Body;
use lycheehaven_net::ServerLimits;
use lycheehaven_net::bind;
use lycheehaven_net::serve;
use lycheehaven_net::serve_counted;
use lycheehaven_net::sleep_ms;
use lycheehaven_net::spawn_loop;
use lycheehaven_signals::Signal;
use lycheehaven_signals::Signals;
use lycheehaven_types::SystemClock;

use crate::admin;
use crate::counts;
use crate::duty;
use crate::evacuate;
use crate::exchange;
use crate::front;
use crate::lease::LeaseHandle;
use crate::members;
use crate::node::Node;
use crate::origin_store;
use crate::quarantine;
use crate::served;
use crate::settings::Settings;
use crate::watch;

/// File descriptors reserved for files, peers and upstreams.
const RESERVED_DESCRIPTORS: usize = 1200;

/// Idle timeout of a caller's connection. It is longer than clients reuse idle
/// connections, so that no request arrives while its connection is being closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between sweeps of outdated state, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 500;

/// Interval between checks for lapsed registrations of upstreams, in
/// milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 100;

/// Time for which the load balancer still sends new connections after the entry
/// reports that it is not ready.
const BALANCER_LAG: Duration = Duration::from_millis(2500);

/// Time without open requests after which a stopping process exits.
const QUIET_PERIOD: Duration = Duration::from_millis(300);

/// Runs a gateway until it receives a stop signal and its requests have ended.
///
/// # Errors
/// Returns an error if an address can't be bound or a signal handler can't be
/// installed.
pub async fn run(settings: Settings, file: PathBuf) -> Result<()> {
    let front = bind(settings.listen).await.wrap_err("listen")?;
    let ready = bind(settings.ready_listen).await.wrap_err("ready_listen")?;
    let metrics = bind(settings.metrics_listen)
        .await
        .wrap_err("metrics_listen")?;
    let peers = UdpSocket::bind(settings.peer_listen)
        .await
        .wrap_err("peer_listen")?;
    let peers = Rc::new(peers);
    let node = Node::new(settings, Rc::new(SystemClock::new()));
    log::info!(
        target: "lycheehaven",
        name = &*node.settings.name,
        domain = &*node.settings.domain,
        version = env!("CARGO_PKG_VERSION"),
        listen = node.settings.listen.to_string().as_str();
        "started"
    );
    spawn_servers(&node, front, ready, metrics);
    spawn_signals(&node, &file)?;
    spawn_loops(&node, &peers);
    wait_and_drain(&node).await;
    log_open_requests(&node);
    log::info!(target: "lycheehaven", open = node.open_requests.count(); "stopped");
    Ok(())
}

/// Logs each request that ends with the process.
fn log_open_requests(node: &Node) {
    for open in node.open_requests.list() {
        log::warn!(
            target: "lycheehaven",
            request = open.id_text(),
            waits_for = open.phase.name();
            "the request is still open at the end of the time to stop"
        );
    }
}

fn spawn_loops(node: &Rc<Node>, peers: &Rc<UdpSocket>) {
    node.set_peer_socket(peers.clone());
    spawn_node_loop(node, "follow the configuration", watch::follow_config);
    spawn_node_loop(node, "follow upstreams", watch::follow_servers);
    spawn_node_loop(node, "follow entries", watch::follow_members);
    spawn_node_loop(node, "load counts", counts::load);
    spawn_node_loop(node, "register", members::register);
    let socket = peers.clone();
    spawn_node_loop(node, "send messages", move |node| {
        exchange::send_messages(node, socket.clone())
    });
    let socket = peers.clone();
    spawn_node_loop(node, "receive messages", move |node| {
        exchange::receive_messages(node, socket.clone())
    });
    let lease = LeaseHandle::new(node);
    let handle = lease.clone();
    spawn_node_loop(node, "hold the lease", move |_| handle.clone().run());
    spawn_node_loop(node, "duties", move |node| duty::run(node, lease.clone()));
    spawn_node_loop(node, "list software", served::run);
    spawn_node_loop(node, "write origins", origin_store::write_records);
    spawn_node_loop(node, "evacuate", evacuate::run);
    spawn_node_loop(node, "expire", expire);
    spawn_node_loop(node, "sweep", sweep);
}

fn spawn_node_loop<F>(node: &Rc<Node>, name: &'static str, start: impl Fn(Rc<Node>) -> F + 'static)
where
    F: Future<Output = ()> + 'static,
{
    let node = node.clone();
    spawn_loop(name, move || start(node.clone()));
}

fn spawn_servers(node: &Rc<Node>, front: TcpListener, ready: TcpListener, metrics: TcpListener) {
    let limits = ServerLimits {
        connections: node
            .settings
            .descriptors
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(64),
        header_timeout: IDLE_TIMEOUT,
        ..ServerLimits::default()
    };
    let handler = node.clone();
    let open = node.open_requests.clone();
    let token = node.stop_accepting.clone();
    spawn_vital(
        node,
        serve_counted(front, limits, token, open, move |request| {
            let node = handler.clone();
            front::handle(node, request)
        }),
    );
    let handler = node.clone();
    let token = node.stop_servers.clone();
    spawn_vital(
        node,
        serve(ready, ServerLimits::default(), token, move |_| {
            let ready = handler.is_ready();
            async move { readiness(ready) }
        }),
    );
    let handler = node.clone();
    let token = node.stop_servers.clone();
    spawn_vital(
        node,
        serve(metrics, ServerLimits::default(), token, move |request| {
            admin::handle(handler.clone(), request)
        }),
    );
}

/// Spawns a task whose panic stops this entry.
fn spawn_vital(node: &Rc<Node>, task: impl Future<Output = ()> + 'static) {
    let node = node.clone();
    lycheehaven_net::spawn_vital(task, move || node.request_stop());
}

fn readiness(ready: bool) -> Response<Body> {
    let mut response = Response::new(Body::full(""));
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

fn spawn_signals(node: &Rc<Node>, file: &Path) -> Result<()> {
    for signal in [Signal::Hangup, Signal::Interrupt, Signal::Terminate] {
        let signals = Signals::listen(signal).wrap_err("installing a signal handler")?;
        spawn_vital(
            node,
            follow_signal(node.clone(), file.into(), signal, signals),
        );
    }
    Ok(())
}

async fn follow_signal(node: Rc<Node>, file: PathBuf, signal: Signal, mut signals: Signals) {
    loop {
        if let Err(cause) = signals.receive().await {
            log::error!(target: "lycheehaven", signal = signal.number(), cause = cause.to_string().as_str(); "receiving a signal failed; further signals of this kind are ignored");
            return;
        }
        log::info!(target: "lycheehaven", signal = signal.number(); "signal received");
        match signal {
            Signal::Hangup => {
                node.planned.record_hangup(node.now());
                check_settings(&node.settings, &file);
            }
            Signal::Interrupt | Signal::Terminate => {
                node.request_stop();
            }
        }
    }
}

/// Reads the settings file again and logs whether it differs. The platform
/// provides a process with its settings at each start, so changes do not take
/// effect before the next start.
fn check_settings(current: &Settings, file: &Path) {
    match Settings::load(file) {
        Ok(settings) if settings == *current => {
            log::info!(target: "lycheehaven", "the settings are unchanged");
        }
        Ok(_) => {
            log::warn!(target: "lycheehaven", "the settings have changed; they take effect at the next start");
        }
        Err(cause) => {
            let cause = cause.to_string();
            log::error!(target: "lycheehaven", cause = cause.as_str(); "the new settings are invalid; keeping the current ones");
        }
    }
}

/// Removes outdated state periodically.
async fn sweep(node: Rc<Node>) {
    let cache_age = Duration::from_secs_f64(node.settings.bounds.again_s * 3.0);
    loop {
        sweep_closed(&node, cache_age);
        sleep_ms(SWEEP_INTERVAL_MS).await;
    }
}

/// Removes upstreams whose registrations lapsed during an outage of the store and
/// were not renewed, and makes the decisions that are due on what crashes upstreams.
async fn expire(node: Rc<Node>) {
    loop {
        let now = node.now();
        let lapsed = node.directory.borrow_mut().remove_deferred(now);
        quarantine::decide_due(&node);
        if lapsed > 0 {
            log::info!(target: "lycheehaven", count = lapsed; "removed upstreams whose registrations lapsed and were not renewed");
        }
        sleep_ms(EXPIRY_INTERVAL_MS).await;
    }
}

/// Closes connections to upstreams that accept no requests, and removes their
/// load, and the last reports of entries that are no longer registered.
fn sweep_closed(node: &Node, cache_age: Duration) {
    let now = node.now();
    let roster = node.roster.borrow();
    let mut last_reports = node.last_reports.borrow_mut();
    last_reports.retain(|entry, _| roster.domain_of(entry).is_some());
    let directory = node.directory.borrow();
    let mut pool = node.pool.borrow_mut();
    pool.sweep(|key| directory.is_ready(key), now);
    node.pauses.borrow_mut().prune(now);
    let mut permits = node.permits.borrow_mut();
    permits.prune(|key| directory.get(key).is_some(), now);
    node.origins.borrow_mut().prune(now);
    let wall_ms = node.wall_millis();
    node.quarantine.borrow_mut().prune(wall_ms, now);
    let mut loads = node.loads.borrow_mut();
    loads.prune(|key| directory.is_ready(key), cache_age, now);
}

/// Waits for a stop signal, then until the open requests have ended or the time to
/// stop is over.
async fn wait_and_drain(node: &Rc<Node>) {
    node.stop_requested.cancelled().await;
    let requested = node.now();
    let exit = node.stop.times().map_or(requested, |stop| stop.exit());
    let mut quiet_since = None;
    loop {
        sleep_ms(50).await;
        let now = node.now();
        let elapsed = now.saturating_duration_since(requested);
        if now >= exit {
            return;
        }
        if elapsed >= BALANCER_LAG {
            // Closing idle connections makes callers reconnect to another entry.
            node.stop_accepting.cancel();
        }
        if node.open_requests.has_clients() {
            quiet_since = None;
            continue;
        }
        let quiet = now.saturating_duration_since(*quiet_since.get_or_insert(now));
        if elapsed >= BALANCER_LAG && quiet >= QUIET_PERIOD {
            return;
        }
    }
}
