//! The entries that are registered in the store.

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
use crate::store::Written;

/// Kind of the entries' own objects in the store.
pub(crate) const MEMBERS: &str = "lycheehaven-entries";

/// Interval at which it is looked whether the entry is registered, in
/// milliseconds. What is known of it may be seconds old.
const REGISTERED_MS: u64 = 3000;

/// Silence after which a peer no longer counts as heard.
const HEARD: Duration = Duration::from_millis(1500);

/// What an entry writes into the store about itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Member {
    /// Address for datagrams.
    pub(crate) addr: SocketAddr,
    /// Failure domain.
    pub(crate) domain: Name,
    /// This run of the process.
    pub(crate) incarnation: u64,
}

#[derive(Debug, Clone)]
struct Known {
    member: Member,
    heard: Option<Instant>,
    first: Option<Instant>,
}

/// The entries that are registered in the store.
#[derive(Debug, Default)]
pub(crate) struct Members {
    known: HashMap<Name, Known>,
    loaded: bool,
}

impl Members {
    /// Takes over the full list.
    pub(crate) fn replace(&mut self, objects: &[Object]) {
        self.loaded = true;
        self.known
            .retain(|name, _| objects.iter().any(|object| object.name == **name));
        for object in objects {
            self.update(object, false);
        }
    }

    /// Takes over one entry.
    pub(crate) fn update(&mut self, object: &Object, deleted: bool) {
        let name: Name = object.name.as_str().into();
        if deleted {
            self.known.remove(&name);
            return;
        }
        let Ok(member) = Member::deserialize(&object.spec) else {
            log::warn!(target: "lycheehaven", entry = object.name.as_str(); "an entry of a peer can't be decoded");
            return;
        };
        let earlier = self.known.remove(&name);
        let known = match earlier {
            Some(known) if known.member.incarnation == member.incarnation => {
                Known { member, ..known }
            }
            _ => Known {
                member,
                heard: None,
                first: None,
            },
        };
        self.known.insert(name, known);
    }

    /// Whether the store has been read.
    pub(crate) fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Names of all members and of `me`.
    pub(crate) fn names(&self, me: &Name) -> Vec<Name> {
        let mut names: Vec<Name> = self.known.keys().cloned().collect();
        if !names.contains(me) {
            names.push(me.clone());
        }
        names
    }

    /// Number of members, at least 1.
    pub(crate) fn count(&self) -> usize {
        self.known.len().max(1)
    }

    /// Whether `me` is registered as this run.
    pub(crate) fn is_registered(&self, me: &Name, incarnation: u64) -> bool {
        self.known
            .get(me)
            .is_some_and(|known| known.member.incarnation == incarnation)
    }

    /// Notes that a member was heard.
    pub(crate) fn hear(&mut self, name: &Name, now: Instant) {
        if let Some(known) = self.known.get_mut(name) {
            known.heard = Some(now);
        }
    }

    /// Members other than `me` that were not heard for `silence`.
    pub(crate) fn silent(&mut self, me: &Name, silence: Duration, now: Instant) -> Vec<Name> {
        let mut silent = Vec::new();
        for (name, known) in &mut self.known {
            let first = *known.first.get_or_insert(now);
            let last = known.heard.unwrap_or(first);
            if name != me && now.saturating_duration_since(last) >= silence {
                silent.push(name.clone());
            }
        }
        silent
    }

    /// Number of members other than `me` that were heard lately.
    pub(crate) fn heard(&self, me: &Name, now: Instant) -> usize {
        self.known
            .iter()
            .filter(|(name, known)| {
                *name != me
                    && known
                        .heard
                        .is_some_and(|heard| now.saturating_duration_since(heard) < HEARD)
            })
            .count()
    }

    /// Members of a failure domain.
    pub(crate) fn of_domain(&self, domain: &Name) -> impl Iterator<Item = &Name> {
        self.known
            .iter()
            .filter(move |(_, known)| known.member.domain == *domain)
            .map(|(name, _)| name)
    }

    /// Addresses of two other members that follow the store, one of them of the
    /// failure domain if there is one.
    pub(crate) fn followers(&self, me: &Name, domain: &Name) -> Vec<SocketAddr> {
        let names: Vec<&Name> = self
            .known
            .iter()
            .filter(|(name, known)| {
                let neighbours = self.of_domain(&known.member.domain);
                *name != me && follows_store(name, neighbours)
            })
            .map(|(name, _)| name)
            .collect();
        let near = |name: &&&Name| self.known[**name].member.domain == *domain;
        let first = names.iter().filter(near).choose(&mut rand::rng()).copied();
        let second = names.iter().choose(&mut rand::rng()).copied();
        let chosen = first
            .into_iter()
            .chain(second.filter(|name| Some(*name) != first));
        chosen.map(|name| self.known[name].member.addr).collect()
    }

    /// Addresses of the other members.
    pub(crate) fn addresses(&self, me: &Name) -> Vec<SocketAddr> {
        self.known
            .iter()
            .filter(|(name, _)| *name != me)
            .map(|(_, known)| known.member.addr)
            .collect()
    }
}

/// Registers this entry in the store, again whenever its object is missing.
pub(crate) async fn register(node: Rc<Node>) {
    let me = &node.settings.name;
    let member = Member {
        addr: node.settings.peer_listen,
        domain: node.settings.domain.clone(),
        incarnation: node.incarnation,
    };
    loop {
        if node.members.borrow().is_registered(me, node.incarnation) {
            sleep_ms(REGISTERED_MS).await;
            continue;
        }
        let created = node.store.create(MEMBERS, me, &member).await;
        let result = match created {
            Ok(Written::Conflict) => node.store.replace(MEMBERS, me, None, &member).await,
            other => other,
        };
        match result {
            Ok(_) => sleep_ms(REGISTERED_MS).await,
            Err(cause) => {
                let cause = cause.to_string();
                log::warn!(target: "lycheehaven", cause = cause.as_str(); "can't register with the store; retrying");
                sleep_ms(300).await;
            }
        }
    }
}
