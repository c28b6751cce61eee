//! The periodic exchange with a peer.

use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::select;
use lycheehaven_peers::Exchange;
use lycheehaven_peers::LoadDigest;
use lycheehaven_peers::PROTOCOL_VERSION;
use lycheehaven_peers::QuarantinedRequest;
use lycheehaven_peers::WorkspaceDemand;
use lycheehaven_routing::Load;
use lycheehaven_streams::UpstreamLoss;

use crate::evacuate;
use crate::evacuate::Source;
use crate::node::Node;
use crate::peer_client;
use crate::watch::DEFAULT_NOTICE;
use crate::watch::news;

/// Leaving VMs in one message.
const LEAVING_LIMIT: usize = 8;

/// Workspaces in one message.
const USAGE_LIMIT: usize = 6;

/// Upstream loads in one message.
const LOAD_LIMIT: usize = 8;

/// Quarantined requests in one message.
const REFUSED_LIMIT: usize = 2;

/// Exchanges with one peer each period, and at once after a new configuration.
pub(crate) async fn run(node: Rc<Node>) {
    let period = Duration::from_millis(node.settings.timing.exchange_ms);
    while !node.stop.is_cancelled() {
        let partner = {
            let now = node.now();
            let draw = node.draw();
            node.peers.borrow_mut().next_partner(draw, now)
        };
        if let Some(partner) = partner {
            let message = build(&node, partner.same_domain);
            if let Ok(reply) = peer_client::exchange(&node, partner.addr, &message).await {
                merge(&node, &reply);
                if reply.config > node.declared().number {
                    pull_config(&node, partner.addr).await;
                }
            }
        }
        // Up to a fifth of jitter keeps the entries from falling into step.
        let jitter = period.mul_f64(rand::random::<f64>() / 5.0);
        select! {
            () = compio::time::sleep(period + jitter).fuse() => (),
            () = node.config_changed.notified().fuse() => (),
        }
    }
}

/// Builds this entry's side of an exchange. Loads are told only to entries of
/// the same failure domain.
pub(crate) fn build(node: &Node, near: bool) -> Exchange {
    let now = node.now();
    let peers = node.peers.borrow();
    let me = peers.local();
    let sample = peers.sample(now);
    let own = node.shares.borrow().local_demand(USAGE_LIMIT, now);
    let usage = own.into_iter().map(|(workspace, demand)| WorkspaceDemand {
        workspace,
        demand: demand as f32,
    });
    let refused = node.suspicion.borrow().quarantined(REFUSED_LIMIT);
    let refused = refused
        .into_iter()
        .map(|(digest, losses)| QuarantinedRequest {
            digest,
            losses: losses
                .into_iter()
                .map(|loss| (loss.vm, loss.incarnation))
                .collect(),
        });
    Exchange {
        version: PROTOCOL_VERSION,
        from: me.clone(),
        config: node.declared().number,
        members: sample.members,
        heartbeats: sample.heartbeats,
        leaving: node.leaving.borrow().latest(LEAVING_LIMIT),
        demands: usage.collect(),
        loads: if near {
            freshest_loads(node)
        } else {
            Vec::new()
        },
        quarantined: refused.collect(),
    }
}

/// Merges a peer's side of an exchange.
pub(crate) fn merge(node: &Rc<Node>, message: &Exchange) {
    let now = node.now();
    {
        let mut peers = node.peers.borrow_mut();
        peers.merge(&message.from, now);
        for member in &message.members {
            peers.merge(member, now);
        }
        for beat in &message.heartbeats {
            peers.merge_heartbeat(beat, now);
        }
    }
    let leaving = message.leaving.iter();
    let wave = leaving.map(|(name, incarnation)| news(name, *incarnation, DEFAULT_NOTICE));
    evacuate::on_leaving(node, wave.collect(), Source::Common);
    for usage in &message.demands {
        let mut shares = node.shares.borrow_mut();
        shares.update_peer(
            &message.from.name,
            &usage.workspace,
            f64::from(usage.demand),
            now,
        );
    }
    for load in &message.loads {
        node.table
            .borrow_mut()
            .update_load(&load.vm, load.incarnation, load_of(load));
    }
    for refused in &message.quarantined {
        let losses = refused.losses.iter().map(|(vm, incarnation)| UpstreamLoss {
            vm: vm.clone(),
            incarnation: *incarnation,
        });
        let losses: Vec<UpstreamLoss> = losses.collect();
        node.suspicion
            .borrow_mut()
            .quarantine(refused.digest, &losses, now);
    }
}

/// Takes over a peer's configuration.
pub(crate) async fn pull_config(node: &Rc<Node>, addr: std::net::SocketAddr) {
    if let Some(state) = peer_client::boot_state(node, addr).await {
        node.adopt_config(state.config);
    }
}

fn freshest_loads(node: &Node) -> Vec<LoadDigest> {
    let table = node.table.borrow();
    let mut loads: Vec<LoadDigest> = table
        .iter()
        .filter(|upstream| upstream.domain == node.settings.domain)
        .filter_map(|upstream| upstream.load.map(|load| digest_of(upstream, load)))
        .collect();
    loads.sort_by_key(|load| std::cmp::Reverse(load.time));
    loads.truncate(LOAD_LIMIT);
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
