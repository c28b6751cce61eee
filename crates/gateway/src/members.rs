//! Registration of entries in the store, and the entries registered there.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_adapter::store::Object;
use lycheehaven_catalog::follows_store;
use lycheehaven_net::sleep_ms;
use lycheehaven_types::HashMap;
use lycheehaven_types::Name;
use rand::seq::IteratorRandom;
use serde::Deserialize;
use serde::Serialize;

use crate::node::Node;
use crate::store::WriteOutcome;

/// Kind of the objects in the store that register entries.
pub(crate) const MEMBERS: &str = "lycheehaven-entries";

/// Interval between checks of this entry's registration, in milliseconds. The
/// known state may lag behind the store by seconds.
const CHECK_INTERVAL_MS: u64 = 3000;

/// Time without a message after which a peer no longer counts as reachable.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1500);

/// The registration of an entry in the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Member {
    /// UDP address for messages from peers.
    pub(crate) addr: SocketAddr,
    /// Failure domain.
    pub(crate) domain: Name,
    /// Incarnation of the process.
    pub(crate) incarnation: u64,
}

#[derive(Debug, Clone)]
struct MemberState {
    member: Member,
    last_heartbeat: Option<Instant>,
    /// When the member was first checked for expiry.
    first_seen: Option<Instant>,
}

/// The entries that are registered in the store, with the time of their last
/// message.
#[derive(Debug, Default)]
pub(crate) struct Members {
    states: HashMap<Name, MemberState>,
    loaded: bool,
}

impl Members {
    /// Replaces all registrations by the full list of objects.
    pub(crate) fn replace(&mut self, objects: &[Object]) {
        self.loaded = true;
        self.states
            .retain(|name, _| objects.iter().any(|object| object.name == **name));
        for object in objects {
            self.update(object, false);
        }
    }

    /// Applies a change of one registration.
    pub(crate) fn update(&mut self, object: &Object, deleted: bool) {
        let name: Name = object.name.as_str().into();
        if deleted {
            self.states.remove(&name);
            return;
        }
        let Ok(member) = Member::deserialize(&object.spec) else {
            log::warn!(target: "lycheehaven", entry = object.name.as_str(); "can't decode the registration of an entry; ignoring it");
            return;
        };
        let earlier = self.states.remove(&name);
        let state = match earlier {
            Some(state) if state.member.incarnation == member.incarnation => {
                MemberState { member, ..state }
            }
            _ => MemberState {
                member,
                last_heartbeat: None,
                first_seen: None,
            },
        };
        self.states.insert(name, state);
    }

    /// Whether the registrations have been read from the store.
    pub(crate) fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Returns the names of all members and `own_name`.
    pub(crate) fn names(&self, own_name: &Name) -> Vec<Name> {
        let mut names: Vec<Name> = self.states.keys().cloned().collect();
        if !names.contains(own_name) {
            names.push(own_name.clone());
        }
        names
    }

    /// Returns the number of members, at least 1.
    pub(crate) fn count(&self) -> usize {
        self.states.len().max(1)
    }

    /// Whether `own_name` is registered with `incarnation`.
    pub(crate) fn is_registered(&self, own_name: &Name, incarnation: u64) -> bool {
        self.states
            .get(own_name)
            .is_some_and(|state| state.member.incarnation == incarnation)
    }

    /// Records that a message of a member arrived.
    pub(crate) fn record_heartbeat(&mut self, name: &Name, now: Instant) {
        if let Some(state) = self.states.get_mut(name) {
            state.last_heartbeat = Some(now);
        }
    }

    /// Returns the members other than `own_name` from which no message arrived for at
    /// least `expiry`.
    pub(crate) fn expired(&mut self, own_name: &Name, expiry: Duration, now: Instant) -> Vec<Name> {
        let mut expired = Vec::new();
        for (name, state) in &mut self.states {
            let first_seen = *state.first_seen.get_or_insert(now);
            let last = state.last_heartbeat.unwrap_or(first_seen);
            if name != own_name && now.saturating_duration_since(last) >= expiry {
                expired.push(name.clone());
            }
        }
        expired
    }

    /// Returns the number of reachable members other than `own_name`.
    pub(crate) fn reachable_count(&self, own_name: &Name, now: Instant) -> usize {
        self.states
            .iter()
            .filter(|(name, state)| {
                *name != own_name
                    && state
                        .last_heartbeat
                        .is_some_and(|at| now.saturating_duration_since(at) < HEARTBEAT_TIMEOUT)
            })
            .count()
    }

    /// Returns the names of the members in a failure domain.
    pub(crate) fn in_domain(&self, domain: &Name) -> impl Iterator<Item = &Name> {
        self.states
            .iter()
            .filter(move |(_, state)| state.member.domain == *domain)
            .map(|(name, _)| name)
    }

    /// Returns the addresses of up to two random members other than `own_name` that
    /// follow the store, one of them in `domain` if possible.
    pub(crate) fn store_followers(&self, own_name: &Name, domain: &Name) -> Vec<SocketAddr> {
        let names: Vec<&Name> = self
            .states
            .iter()
            .filter(|(name, state)| {
                let neighbours = self.in_domain(&state.member.domain);
                *name != own_name && follows_store(name, neighbours)
            })
            .map(|(name, _)| name)
            .collect();
        let is_near = |name: &&&Name| self.states[**name].member.domain == *domain;
        let first = names
            .iter()
            .filter(is_near)
            .choose(&mut rand::rng())
            .copied();
        let second = names.iter().choose(&mut rand::rng()).copied();
        let chosen = first
            .into_iter()
            .chain(second.filter(|name| Some(*name) != first));
        chosen.map(|name| self.states[name].member.addr).collect()
    }

    /// Returns the addresses of all members other than `own_name`.
    pub(crate) fn addresses(&self, own_name: &Name) -> Vec<SocketAddr> {
        self.states
            .iter()
            .filter(|(name, _)| *name != own_name)
            .map(|(_, state)| state.member.addr)
            .collect()
    }
}

/// Registers this entry in the store, and again whenever its registration is
/// missing.
pub(crate) async fn register(node: Rc<Node>) {
    let own_name = &node.settings.name;
    let member = Member {
        addr: node.settings.peer_listen,
        domain: node.settings.domain.clone(),
        incarnation: node.incarnation,
    };
    loop {
        if node
            .members
            .borrow()
            .is_registered(own_name, node.incarnation)
        {
            sleep_ms(CHECK_INTERVAL_MS).await;
            continue;
        }
        let created = node.store.create(MEMBERS, own_name, &member).await;
        let result = match created {
            Ok(WriteOutcome::Conflict) => {
                node.store.replace(MEMBERS, own_name, None, &member).await
            }
            other => other,
        };
        match result {
            Ok(_) => sleep_ms(CHECK_INTERVAL_MS).await,
            Err(cause) => {
                let cause = cause.to_string();
                log::warn!(target: "lycheehaven", cause = cause.as_str(); "can't register this entry in the store; retrying");
                sleep_ms(300).await;
            }
        }
    }
}
