//! Initial configuration and VM list of a starting entry.

use std::net::SocketAddr;
use std::rc::Rc;

use futures_util::future::join_all;
use lycheehaven_net::sleep_ms;

use crate::config_store;
use crate::node::Node;
use crate::peer_client;
use crate::wire::BootState;

/// Pause between attempts while neither platform nor peers answer.
const RETRY_MS: u64 = 200;

/// Adopts the configuration with the highest number among those of the platform
/// and the reachable peers, and a VM list from either. Returns once at least
/// one of them has answered.
pub(crate) async fn boot(node: &Rc<Node>) {
    loop {
        let config = config_store::read(node).await;
        let listed = node.cloud.vms(&node.settings.domain, 0).await;
        if let Ok(Some(list)) = &listed {
            node.adopt_vms(list.vms.clone(), list.revision);
        }
        let states = fetch_peer_states(node).await;
        let any_peer = !states.is_empty();
        for state in states {
            adopt(node, state, listed.is_err());
        }
        if let Ok(Some((declared, _))) = config {
            node.adopt_config(declared);
            return;
        }
        if config.is_ok() || any_peer {
            return;
        }
        log::warn!(target: "lycheehaven", "neither platform nor peers answer; retrying");
        sleep_ms(RETRY_MS).await;
    }
}

async fn fetch_peer_states(node: &Rc<Node>) -> Vec<BootState> {
    let mut addresses: Vec<SocketAddr> = node.settings.peers.clone();
    let listed = node
        .vms
        .borrow()
        .iter()
        .filter(|vm| is_other_entry(node, vm))
        .map(|vm| vm.addr)
        .collect::<Vec<_>>();
    addresses.extend(listed);
    addresses.sort();
    addresses.dedup();
    let own = node.peers.borrow().local().addr;
    addresses.retain(|addr| *addr != own);
    let calls = addresses
        .into_iter()
        .map(|addr| peer_client::boot_state(node, addr));
    join_all(calls).await.into_iter().flatten().collect()
}

fn is_other_entry(node: &Node, vm: &lycheehaven_platform::Vm) -> bool {
    &*vm.service == crate::node::ENTRY_SERVICE && vm.name != node.settings.name
}

fn adopt(node: &Node, state: BootState, vms_missing: bool) {
    let now = node.now();
    for (name, incarnation) in &state.leaving {
        node.leaving_vms.borrow_mut().add(name, *incarnation, now);
    }
    node.adopt_config(state.config);
    if vms_missing && node.vms.borrow().is_empty() {
        node.adopt_vms(state.vms, 0);
    }
}
