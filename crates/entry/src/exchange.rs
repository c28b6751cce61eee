//! The periodic exchange with a peer.

use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::select;
use lycheehaven_peers::Exchange;
use lycheehaven_peers::LoadDigest;
use lycheehaven_peers::PROTOCOL_VERSION;
use lycheehaven_peers::WorkspaceDemand;
use lycheehaven_routing::Load;

use crate::evacuate;
use crate::evacuate::NoticeOrigin;
use crate::node::Node;
use crate::peer_client;
use crate::permits;
use crate::suspects;
use crate::watch::DEFAULT_NOTICE;
use crate::watch::leaving_notice;

/// Largest number of leaving VMs in a message.
const MAX_LEAVING_VMS: usize = 8;

/// Largest number of workspaces in a message.
const MAX_DEMAND_WORKSPACES: usize = 6;

/// Largest number of upstream loads in a message.
const MAX_UPSTREAM_LOADS: usize = 8;

/// Exchanges with one peer per period, and immediately after a configuration
/// change.
pub(crate) async fn run(node: Rc<Node>) {
    let period = Duration::from_millis(node.settings.timing.exchange_ms);
    while !node.stop.is_cancelled() {
        let partner = {
            let now = node.now();
            let draw = node.random();
            node.peers.borrow_mut().next_partner(draw, now)
        };
        if let Some(partner) = partner {
            let message = build_message(&node, partner.same_domain);
            if let Ok(reply) = peer_client::exchange(&node, partner.addr, &message).await {
                merge_message(&node, &reply);
                if reply.config > node.declared().number {
                    fetch_config(&node, partner.addr).await;
                }
            }
        }
        // Jitter of up to a fifth of the period keeps the entries from
        // synchronizing.
        let jitter = period.mul_f64(rand::random::<f64>() / 5.0);
        select! {
            () = compio::time::sleep(period + jitter).fuse() => (),
            () = node.config_changed.notified().fuse() => (),
        }
    }
}

/// Builds this entry's side of an exchange. Loads are included only for a
/// receiver in the same failure domain.
pub(crate) fn build_message(node: &Node, same_domain: bool) -> Exchange {
    let now = node.now();
    let peers = node.peers.borrow();
    let local = peers.local();
    let sample = peers.sample(now);
    let local_demand = node
        .demand_tracker
        .borrow()
        .local_demand(MAX_DEMAND_WORKSPACES, now);
    let demands = local_demand
        .into_iter()
        .map(|(workspace, demand)| WorkspaceDemand {
            workspace,
            demand: demand as f32,
        });
    let interval = node.messages.get();
    node.messages.set(interval + 1);
    Exchange {
        version: PROTOCOL_VERSION,
        from: local.clone(),
        config: node.declared().number,
        members: sample.members,
        heartbeats: sample.heartbeats,
        leaving: node.leaving_vms.borrow().latest(MAX_LEAVING_VMS),
        demands: demands.collect(),
        loads: if same_domain {
            freshest_loads(node)
        } else {
            Vec::new()
        },
        rates: node.permits.borrow().news(interval, now),
        news: node.quarantine.borrow_mut().news(interval, now),
    }
}

/// Merges a peer's side of an exchange into the state of this entry.
pub(crate) fn merge_message(node: &Rc<Node>, message: &Exchange) {
    let now = node.now();
    {
        let mut peers = node.peers.borrow_mut();
        peers.merge(&message.from, now);
        for member in &message.members {
            peers.merge(member, now);
        }
        for heartbeat in &message.heartbeats {
            peers.merge_heartbeat(heartbeat, now);
        }
    }
    let leaving = message.leaving.iter();
    let notices =
        leaving.map(|(name, incarnation)| leaving_notice(name, *incarnation, DEFAULT_NOTICE));
    evacuate::handle_leaving(node, notices.collect(), NoticeOrigin::Shared);
    for demand in &message.demands {
        let mut demand_tracker = node.demand_tracker.borrow_mut();
        demand_tracker.update_peer(
            &message.from.name,
            &demand.workspace,
            f64::from(demand.demand),
            now,
        );
    }
    for load in &message.loads {
        node.upstreams
            .borrow_mut()
            .update_load(&load.vm, load.incarnation, load_of(load));
    }
    permits::apply_reports(node, &message.rates, &message.from.name);
    suspects::merge(node, &message.news, &message.from.name);
}

/// Fetches a peer's configuration and adopts it if it is newer.
pub(crate) async fn fetch_config(node: &Rc<Node>, addr: std::net::SocketAddr) {
    if let Some(state) = peer_client::boot_state(node, addr).await {
        node.adopt_config(state.config);
    }
}

fn freshest_loads(node: &Node) -> Vec<LoadDigest> {
    let upstreams = node.upstreams.borrow();
    let mut loads: Vec<LoadDigest> = upstreams
        .iter()
        .filter(|upstream| upstream.domain == node.settings.domain)
        .filter_map(|upstream| upstream.load.map(|load| digest_of(upstream, load)))
        .collect();
    loads.sort_by_key(|load| std::cmp::Reverse(load.time));
    loads.truncate(MAX_UPSTREAM_LOADS);
    loads
}

fn digest_of(upstream: &lycheehaven_routing::Upstream, load: Load) -> LoadDigest {
    LoadDigest {
        vm: upstream.id.vm.clone(),
        incarnation: upstream.id.incarnation,
        time: load.time,
        running: load.running,
        waiting: load.waiting,
        prefill_tokens: load.prefill_tokens,
        prefill_rate: load.prefill_rate,
        step_us: load.step_us,
        batch_limit: load.batch_limit,
        link_rate: load.link_rate,
    }
}

fn load_of(digest: &LoadDigest) -> Load {
    Load {
        time: digest.time,
        running: digest.running,
        waiting: digest.waiting,
        prefill_tokens: digest.prefill_tokens,
        prefill_rate: digest.prefill_rate,
        step_us: digest.step_us,
        batch_limit: digest.batch_limit,
        link_rate: digest.link_rate,
    }
}
