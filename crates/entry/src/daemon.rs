//! Startup and shutdown of the daemon.

use std::rc::Rc;

use eyre::Context;
use eyre::Result;
use lycheehaven_config::Settings;
use lycheehaven_net::ServerLimits;
use lycheehaven_net::bind;
use lycheehaven_net::serve;
use lycheehaven_net::serve_counted;
use lycheehaven_net::spawn_loop;
use lycheehaven_signals::Signal;
use lycheehaven_signals::Signals;
use lycheehaven_types::SystemClock;
use tokio_util::sync::CancellationToken;

use crate::boot;
use crate::exchange;
use crate::front;
use crate::handover;
use crate::load;
use crate::node::Node;
use crate::peer_api;
use crate::place;
use crate::plain;
use crate::replicate;
use crate::suspects;
use crate::watch;

/// Runs an entry until it is asked to stop and has finished or handed over its
/// requests. Fails if an address can't be bound or signal handling can't be set
/// up.
pub async fn run(settings: Settings) -> Result<()> {
    let front_listener = bind(settings.listen).await.wrap_err("listen")?;
    let peer_listener = bind(settings.peer_listen).await.wrap_err("peer_listen")?;
    let listen = front_listener.local_addr()?;
    let peer_addr = peer_listener.local_addr()?;
    let node = Node::new(settings, peer_addr, Rc::new(SystemClock::new()));
    log::info!(
        target: "lycheehaven",
        name = &*node.settings.name,
        listen = listen.to_string().as_str(),
        peer_listen = peer_addr.to_string().as_str();
        "listening"
    );
    // Connections of callers end when the entry stops accepting; those of peers
    // last until the process ends.
    let accepting = CancellationToken::new();
    let limits = ServerLimits::default();
    let handler = node.clone();
    let open = node.open_requests.clone();
    let token = accepting.clone();
    let front_server = serve_counted(front_listener, limits, token, open, move |request| {
        let node = handler.clone();
        async move { front::handle(node, request).await }
    });
    spawn_vital(&node, front_server);
    let handler = node.clone();
    let peer_server = serve(peer_listener, limits, node.stop.clone(), move |request| {
        let node = handler.clone();
        async move { peer_api::handle(node, request).await }
    });
    spawn_vital(&node, peer_server);
    spawn_signals(&node)?;
    spawn_vital(&node, start_loops(node.clone()));
    handover::wait_and_drain(&node, &accepting).await;
    node.stop.cancel();
    log::info!(target: "lycheehaven", "stopped");
    Ok(())
}

async fn start_loops(node: Rc<Node>) {
    boot::boot(&node).await;
    spawn_node_loop(&node, "follow the configuration", watch::follow_config);
    spawn_node_loop(&node, "follow VMs", watch::follow_vms);
    spawn_node_loop(&node, "follow notices", watch::follow_notices);
    spawn_node_loop(&node, "exchange", exchange::run);
    spawn_node_loop(&node, "read loads", load::run);
    spawn_node_loop(&node, "decide on suspects", suspects::decide_due);
    spawn_node_loop(&node, "collect garbage", replicate::collect_garbage);
    spawn_node_loop(&node, "collect claims", plain::collect_expired_claims);
    if node.settings.placement.enabled {
        spawn_node_loop(&node, "place engines", place::run);
    }
    // The first exchange and load reports improve the first decisions, but no
    // decision requires them.
    node.ready.set(true);
    log::info!(target: "lycheehaven", config = node.declared().number; "ready");
}

fn spawn_node_loop<F>(node: &Rc<Node>, name: &'static str, start: impl Fn(Rc<Node>) -> F + 'static)
where
    F: Future<Output = ()> + 'static,
{
    let node = node.clone();
    spawn_loop(name, move || start(node.clone()));
}

fn spawn_signals(node: &Rc<Node>) -> Result<()> {
    for signal in [Signal::Interrupt, Signal::Terminate] {
        let signals = Signals::listen(signal).wrap_err("installing a signal handler")?;
        spawn_vital(node, follow_signal(node.clone(), signals));
    }
    Ok(())
}

async fn follow_signal(node: Rc<Node>, mut signals: Signals) {
    loop {
        if let Err(cause) = signals.receive().await {
            log::error!(target: "lycheehaven", cause = cause.to_string().as_str(); "receiving a signal failed; further signals of this kind are ignored");
            return;
        }
        request_stop(&node);
    }
}

/// Begins the planned stop. A second request ends the wait for open requests.
fn request_stop(node: &Node) {
    match node.shutdown.is_begun() {
        true => node.shutdown.end_work_now(),
        false => node.begin_stop(),
    }
}

/// Spawns a task whose panic stops this entry.
fn spawn_vital(node: &Rc<Node>, task: impl Future<Output = ()> + 'static) {
    let node = node.clone();
    lycheehaven_net::spawn_vital(task, move || request_stop(&node));
}
