//! Which entries are alive.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::HashMap;
use lycheehaven_types::Name;

use crate::message::MemberDigest;

/// Members told about in one message.
const SAMPLE: usize = 16;

/// How long a dead member is remembered, so that late news of it is not taken
/// for a new member.
const FORGET: Duration = Duration::from_secs(600);

/// Periods of the exchange.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Every how many exchanges one goes outside the failure domain.
    pub outside_every: u32,
    /// Silence after which a member counts as dead.
    pub dead_after: Duration,
}

/// Whom to exchange with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Partner {
    /// Address of its peer listener.
    pub addr: SocketAddr,
    /// Whether it is in this entry's failure domain, as far as known.
    pub near: bool,
}

/// A known member.
#[derive(Debug, Clone)]
pub struct Member {
    /// What it last said, or what was last heard of it.
    pub digest: MemberDigest,
    /// When its heartbeat last grew.
    pub heard: Instant,
}

/// The entries as one of them sees them.
#[derive(Debug)]
pub struct Peers {
    me: MemberDigest,
    timing: Timing,
    members: HashMap<Name, Member>,
    addresses: HashMap<Name, SocketAddr>,
    rounds: u64,
}

impl Peers {
    /// Knows only itself.
    pub fn new(me: MemberDigest, timing: Timing) -> Self {
        Self {
            me,
            timing,
            members: HashMap::default(),
            addresses: HashMap::default(),
            rounds: 0,
        }
    }

    /// This entry.
    pub fn me(&self) -> &MemberDigest {
        &self.me
    }

    /// Says in all further messages that this entry is stopping.
    pub fn set_leaving(&mut self) {
        self.me.leaving = true;
    }

    /// Takes over addresses from the VM list, which beat addresses that peers
    /// pass on.
    pub fn set_addresses(&mut self, addresses: impl IntoIterator<Item = (Name, SocketAddr)>) {
        self.addresses = addresses
            .into_iter()
            .filter(|(name, _)| *name != self.me.name)
            .collect();
    }

    /// Merges what a peer said about itself or others. Returns whether it was
    /// news.
    pub fn merge(&mut self, digest: &MemberDigest, now: Instant) -> bool {
        if digest.name == self.me.name {
            return false;
        }
        let known = self.members.get(&digest.name);
        let newer = known.is_none_or(|known| is_newer(digest, &known.digest));
        if newer {
            let member = Member {
                digest: digest.clone(),
                heard: now,
            };
            self.members.insert(digest.name.clone(), member);
        }
        newer
    }

    /// Begins a round: grows the heartbeat, forgets members long dead, and
    /// chooses whom to exchange with by the random number `draw`.
    pub fn next_partner(&mut self, draw: u64, now: Instant) -> Option<Partner> {
        self.me.heartbeat += 1;
        self.rounds += 1;
        self.members
            .retain(|_, member| now.duration_since(member.heard) < FORGET);
        let outside = self
            .rounds
            .is_multiple_of(u64::from(self.timing.outside_every));
        let all = self.partners();
        let wanted: Vec<&Partner> = all
            .iter()
            .filter(|partner| partner.near != outside)
            .collect();
        let pool = if wanted.is_empty() {
            all.iter().collect()
        } else {
            wanted
        };
        let index = (draw % pool.len().max(1) as u64) as usize;
        pool.get(index).map(|partner| **partner)
    }

    /// Members to tell about, a window that moves on with each round.
    pub fn sample(&self, now: Instant) -> Vec<MemberDigest> {
        let mut alive: Vec<&Member> = self
            .members
            .values()
            .filter(|member| self.is_fresh(member, now))
            .collect();
        alive.sort_by_key(|member| std::cmp::Reverse(member.heard));
        // Half of the window is the latest news, half wanders over the rest.
        let news = alive.len().min(SAMPLE / 2);
        let rest = &alive[news..];
        let start = (self.rounds as usize * (SAMPLE / 2)) % rest.len().max(1);
        let wandering = rest
            .iter()
            .cycle()
            .skip(start)
            .take(rest.len().min(SAMPLE / 2));
        alive[..news]
            .iter()
            .chain(wandering)
            .map(|member| member.digest.clone())
            .collect()
    }

    /// Live members other than this entry, in the order of their names.
    pub fn alive(&self, now: Instant) -> Vec<&Member> {
        let fresh = self
            .members
            .values()
            .filter(|member| self.is_fresh(member, now));
        let mut alive: Vec<&Member> = fresh.collect();
        alive.sort_by(|a, b| a.digest.name.cmp(&b.digest.name));
        alive
    }

    /// Whether the named entry is this one or was heard of lately.
    pub fn is_alive(&self, name: &str, now: Instant) -> bool {
        *self.me.name == *name
            || self
                .members
                .get(name)
                .is_some_and(|member| self.is_fresh(member, now))
    }

    /// A member, dead or alive.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Where to reach the named entry.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        let heard = || self.members.get(name).map(|member| member.digest.addr);
        self.addresses.get(name).copied().or_else(heard)
    }

    /// Names of live members that are not stopping, this entry's included.
    pub fn serving(&self, now: Instant) -> Vec<Name> {
        let others = self
            .alive(now)
            .into_iter()
            .filter(|member| !member.digest.leaving);
        let mut names: Vec<Name> = others.map(|member| member.digest.name.clone()).collect();
        if !self.me.leaving {
            names.push(self.me.name.clone());
        }
        names.sort();
        names
    }

    /// As [`Peers::serving`], within this entry's failure domain.
    pub fn serving_domain(&self, now: Instant) -> Vec<Name> {
        let domain = |name: &Name| {
            self.members
                .get(name)
                .map_or(&self.me.domain, |member| &member.digest.domain)
        };
        let serving = self.serving(now).into_iter();
        serving
            .filter(|name| *domain(name) == self.me.domain)
            .collect()
    }

    fn is_fresh(&self, member: &Member, now: Instant) -> bool {
        now.duration_since(member.heard) < self.timing.dead_after
    }

    /// All entries that can be exchanged with, and whether they share this
    /// entry's failure domain. Dead ones stay, so that a healed partition is
    /// noticed.
    fn partners(&self) -> Vec<Partner> {
        let known = self.members.keys();
        let listed = self
            .addresses
            .keys()
            .filter(|name| !self.members.contains_key(*name));
        let mut names: Vec<&Name> = known.chain(listed).collect();
        names.sort();
        names
            .into_iter()
            .filter_map(|name| self.partner(name))
            .collect()
    }

    fn partner(&self, name: &Name) -> Option<Partner> {
        let domain = self.members.get(name).map(|member| &member.digest.domain);
        let near = domain.is_none_or(|domain| *domain == self.me.domain);
        self.address(name).map(|addr| Partner { addr, near })
    }
}

/// Whether `fresh` is later than `known`. Incarnations of processes begin with
/// their start time, so a restarted process replaces its earlier run.
fn is_newer(fresh: &MemberDigest, known: &MemberDigest) -> bool {
    let order = fresh.incarnation.cmp(&known.incarnation);
    order.is_gt() || (order.is_eq() && fresh.heartbeat > known.heartbeat)
}
