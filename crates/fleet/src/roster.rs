//! The entries of the fleet, which of them are alive, and which aggregate.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::HashMap;
use lycheehaven_types::Name;

use crate::Member;
use crate::Parts;
use crate::parts::MESH_LAG;
use crate::parts::TREE_LAG;

/// Default for the largest fleet whose entries send their reports to one another
/// directly.
pub const MESH_LIMIT: usize = 12;

/// Aggregators per failure domain.
const AGGREGATOR_COUNT: usize = 2;

/// Time without a message after which an aggregator is replaced by the next entry.
pub const AGGREGATOR_TIMEOUT: Duration = Duration::from_millis(1000);

/// Time without a message after which an entry no longer counts as reachable.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1500);

/// What this entry does in the exchange of counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Sends its report to every entry.
    Mesh,
    /// Sums up the reports of its failure domain.
    Aggregator,
    /// Sends its report to the aggregators of its failure domain.
    Member,
}

#[derive(Debug, Clone)]
struct MemberState {
    member: Member,
    /// When this entry last received a message of the member.
    heard: Option<Instant>,
    /// When the member was last known to run, from its messages or from peers.
    alive: Option<Instant>,
    /// When the member was first checked for expiry.
    first_seen: Option<Instant>,
    /// Since when the member is expected to send messages as an aggregator.
    expected: Option<Instant>,
}

impl MemberState {
    fn new(member: Member) -> Self {
        Self {
            member,
            heard: None,
            alive: None,
            first_seen: None,
            expected: None,
        }
    }

    /// Whether messages that the member should send as an aggregator are missing.
    fn is_suspect(&self, now: Instant) -> bool {
        let Some(expected) = self.expected else {
            return false;
        };
        let since = self.heard.map_or(expected, |heard| heard.max(expected));
        now.saturating_duration_since(since) >= AGGREGATOR_TIMEOUT
    }
}

/// The entries that are registered in the store, with the time of their last
/// messages.
#[derive(Debug)]
pub struct Roster {
    own_name: Name,
    own_domain: Name,
    mesh_limit: usize,
    states: HashMap<Name, MemberState>,
    /// Derived from `states`.
    parts: Rc<Parts>,
    loaded: bool,
}

impl Roster {
    /// Creates an empty roster of the entry `own_name` in `own_domain`. Up to
    /// `mesh_limit` entries send their reports to one another directly.
    pub fn new(own_name: Name, own_domain: Name, mesh_limit: usize) -> Self {
        Self {
            own_name,
            own_domain,
            mesh_limit,
            states: HashMap::default(),
            parts: Rc::default(),
            loaded: false,
        }
    }

    /// Replaces all registrations.
    pub fn replace(&mut self, members: Vec<(Name, Member)>) {
        self.loaded = true;
        self.states
            .retain(|name, _| members.iter().any(|(listed, _)| listed == name));
        for (name, member) in members {
            self.insert(name, member);
        }
        self.parts = Rc::new(self.compute_parts());
    }

    /// Applies a change of one registration.
    pub fn update(&mut self, name: Name, member: Member) {
        self.insert(name, member);
        self.parts = Rc::new(self.compute_parts());
    }

    fn insert(&mut self, name: Name, member: Member) {
        let state = match self.states.remove(&name) {
            Some(state) if state.member.incarnation == member.incarnation => {
                MemberState { member, ..state }
            }
            _ => MemberState::new(member),
        };
        self.states.insert(name, state);
    }

    /// Removes a registration.
    pub fn remove(&mut self, name: &Name) {
        self.states.remove(name);
        self.parts = Rc::new(self.compute_parts());
    }

    /// Whether the registrations have been read from the store.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Returns the number of entries, at least 1.
    pub fn count(&self) -> usize {
        self.states.len().max(1)
    }

    /// Returns the place of this entry among all in the order of their names, the same at
    /// every entry with the same registrations.
    pub fn index(&self) -> usize {
        self.states
            .keys()
            .filter(|name| **name < self.own_name)
            .count()
    }

    /// Whether this entry is registered with `incarnation`.
    pub fn is_registered(&self, incarnation: u64) -> bool {
        self.states
            .get(&self.own_name)
            .is_some_and(|state| state.member.incarnation == incarnation)
    }

    /// Returns the failure domain of an entry.
    pub fn domain_of(&self, name: &Name) -> Option<&Name> {
        self.states.get(name).map(|state| &state.member.domain)
    }

    /// Returns the names and addresses of the other entries in a failure domain.
    pub fn peers_in(&self, domain: &Name) -> impl Iterator<Item = (&Name, SocketAddr)> {
        self.states
            .iter()
            .filter(move |(name, state)| **name != self.own_name && state.member.domain == *domain)
            .map(|(name, state)| (name, state.member.addr))
    }

    /// Returns the parts of the fleet that report to this entry.
    pub fn parts(&self) -> &Rc<Parts> {
        &self.parts
    }

    fn compute_parts(&self) -> Parts {
        let is_mesh = self.is_mesh();
        let mut entries = Vec::new();
        let mut domains: HashMap<Name, usize> = HashMap::default();
        for (name, state) in &self.states {
            let domain = &state.member.domain;
            if *name == self.own_name {
                continue;
            }
            if is_mesh || *domain == self.own_domain {
                entries.push(name.clone());
            } else {
                *domains.entry(domain.clone()).or_default() += 1;
            }
        }
        Parts {
            entries,
            domains: domains.into_iter().collect(),
            lag: if is_mesh { MESH_LAG } else { TREE_LAG },
        }
    }

    /// Records that a message of an entry arrived.
    pub fn record_heartbeat(&mut self, name: &Name, now: Instant) {
        if let Some(state) = self.states.get_mut(name) {
            state.heard = Some(now);
            state.alive = Some(now);
        }
    }

    /// Records what an aggregator reports about the other entries of `domain`, or
    /// of the whole fleet: all run except those in `silent`, which have been silent
    /// for the stated time, or were never heard by the aggregator.
    pub fn record_silent(
        &mut self,
        domain: Option<&Name>,
        silent: &[(Name, Option<Duration>)],
        now: Instant,
    ) {
        let silent: HashMap<&Name, Option<Duration>> = silent
            .iter()
            .map(|(name, duration)| (name, *duration))
            .collect();
        for (name, state) in &mut self.states {
            if domain.is_some_and(|domain| state.member.domain != *domain) {
                continue;
            }
            let alive = match silent.get(name) {
                None => Some(now),
                Some(duration) => duration.and_then(|duration| now.checked_sub(duration)),
            };
            state.alive = state.alive.max(alive);
        }
    }

    /// Returns the other entries of `domain`, or of the whole fleet, that are not
    /// known to run, with the time for which they have been silent, or `None` if they
    /// were never heard.
    pub fn silent(&self, domain: Option<&Name>, now: Instant) -> Vec<(Name, Option<Duration>)> {
        self.states
            .iter()
            .filter(|(name, state)| {
                **name != self.own_name
                    && domain.is_none_or(|domain| state.member.domain == *domain)
            })
            .filter_map(|(name, state)| {
                let silent = state
                    .alive
                    .map(|alive| now.saturating_duration_since(alive));
                let is_silent = silent.is_none_or(|silent| silent >= HEARTBEAT_TIMEOUT);
                is_silent.then(|| (name.clone(), silent))
            })
            .collect()
    }

    /// Returns the other entries that have not been known to run for at least
    /// `expiry`.
    pub fn expired(&mut self, expiry: Duration, now: Instant) -> Vec<Name> {
        let mut expired = Vec::new();
        for (name, state) in &mut self.states {
            let first_seen = *state.first_seen.get_or_insert(now);
            let last = state.alive.unwrap_or(first_seen);
            if *name != self.own_name && now.saturating_duration_since(last) >= expiry {
                expired.push(name.clone());
            }
        }
        expired
    }

    /// Returns the number of other entries that are known to run.
    pub fn reachable_count(&self, now: Instant) -> usize {
        let live = self.live(None, now);
        live.iter().filter(|name| ***name != self.own_name).count()
    }

    /// Returns the entries of `domain`, or of the whole fleet, that are known to run, with
    /// this one.
    pub fn live(&self, domain: Option<&Name>, now: Instant) -> Vec<&Name> {
        let is_live = |state: &MemberState| {
            let alive = state.alive;
            alive.is_some_and(|at| now.saturating_duration_since(at) < HEARTBEAT_TIMEOUT)
        };
        self.states
            .iter()
            .filter(|(_, state)| domain.is_none_or(|domain| state.member.domain == *domain))
            .filter(|(name, state)| **name == self.own_name || is_live(state))
            .map(|(name, _)| name)
            .collect()
    }

    /// Returns the address of another entry for messages from peers.
    pub fn address(&self, name: &Name) -> Option<SocketAddr> {
        let state = self.states.get(name).filter(|_| *name != self.own_name);
        state.map(|state| state.member.addr)
    }

    /// Returns the addresses of all other entries.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.states
            .iter()
            .filter(|(name, _)| **name != self.own_name)
            .map(|(_, state)| state.member.addr)
            .collect()
    }

    /// Returns what this entry does in the exchange.
    pub fn role(&mut self, now: Instant) -> Role {
        if self.is_mesh() {
            return Role::Mesh;
        }
        let domain = self.own_domain.clone();
        let own_name = self.own_name.clone();
        if self.aggregators(&domain, now).contains(&own_name) {
            Role::Aggregator
        } else {
            Role::Member
        }
    }

    /// Returns the aggregators of a failure domain: the largest entries that are
    /// not suspected to be down, and this entry if it is among them.
    pub fn aggregators(&mut self, domain: &Name, now: Instant) -> Vec<Name> {
        let ranked = self.ranked(domain);
        self.choose_aggregators(&ranked, now)
    }

    /// Returns the aggregators among the entries of a failure domain, which are given
    /// the largest first.
    fn choose_aggregators(&mut self, ranked: &[Name], now: Instant) -> Vec<Name> {
        let mut chosen = Vec::new();
        for name in ranked {
            let is_own = *name == self.own_name;
            let Some(state) = self.states.get_mut(name) else {
                continue;
            };
            if chosen.len() == AGGREGATOR_COUNT {
                // It need not send anything now, so its silence means nothing.
                state.expected = None;
                continue;
            }
            state.expected.get_or_insert(now);
            if is_own || !state.is_suspect(now) {
                chosen.push(name.clone());
            }
        }
        chosen
    }

    /// Returns the addresses that this entry sends messages for the aggregators of
    /// `domain` to: the aggregators, and the larger entries that are suspected to be
    /// down if `probes` is set.
    pub fn aggregator_addresses(
        &mut self,
        domain: &Name,
        probes: bool,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let ranked = self.ranked(domain);
        let chosen = self.choose_aggregators(&ranked, now);
        let last = ranked.iter().rposition(|name| chosen.contains(name));
        ranked
            .iter()
            .take(last.map_or(0, |last| last + 1))
            .filter(|name| **name != self.own_name && (probes || chosen.contains(name)))
            .filter_map(|name| self.states.get(name))
            .map(|state| state.member.addr)
            .collect()
    }

    /// Returns the failure domains of the fleet other than this entry's own.
    pub fn other_domains(&self) -> Vec<Name> {
        let mut domains: Vec<Name> = self
            .states
            .values()
            .map(|state| state.member.domain.clone())
            .filter(|domain| *domain != self.own_domain)
            .collect();
        domains.sort_unstable();
        domains.dedup();
        domains
    }

    fn is_mesh(&self) -> bool {
        self.states.len() <= self.mesh_limit
    }

    /// Returns the entries of a failure domain, the largest first.
    fn ranked(&self, domain: &Name) -> Vec<Name> {
        let mut states: Vec<(&Name, &MemberState)> = self
            .states
            .iter()
            .filter(|(_, state)| state.member.domain == *domain)
            .collect();
        states.sort_unstable_by_key(|(name, state)| (Reverse(state.member.capacity), *name));
        states.into_iter().map(|(name, _)| name.clone()).collect()
    }
}
