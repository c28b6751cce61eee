//! Which entries are alive.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::HashMap;
use lycheehaven_types::Name;

use crate::message::Beat;
use crate::message::MemberDigest;

/// Members of the same failure domain told about in one message.
const NEAR_SAMPLE: usize = 16;

/// Members of other failure domains told about in one message.
const FAR_SAMPLE: usize = 8;

/// Members introduced in one message.
const NEW_SAMPLE: usize = 2;

/// How many times longer than within a failure domain a member of another one
/// may stay silent. News of it comes by fewer messages.
const FAR_FACTOR: u32 = 20;

/// How long a dead member is remembered, so that late news of it is not taken
/// for a new member.
const FORGET: Duration = Duration::from_secs(600);

/// Periods of the exchange.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Every how many exchanges one goes outside the failure domain.
    pub outside_every: u32,
    /// Silence after which a member of the same failure domain counts as dead.
    /// Others may stay silent longer; a failed call shows their death sooner.
    pub dead_after: Duration,
}

/// An entry as the VM list shows it.
#[derive(Debug, Clone)]
pub struct Listed {
    /// Failure domain.
    pub domain: Name,
    /// Address of its peer listener.
    pub addr: SocketAddr,
}

/// What to tell about members in one message.
#[derive(Debug, Clone, Default)]
pub struct Sample {
    /// Members to introduce.
    pub members: Vec<MemberDigest>,
    /// Heartbeats.
    pub beats: Vec<Beat>,
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
    /// When it became known.
    pub since: Instant,
    /// Whether a call to it failed since its heartbeat last grew.
    pub failed: bool,
}

/// The entries as one of them sees them.
#[derive(Debug)]
pub struct Peers {
    me: MemberDigest,
    timing: Timing,
    members: HashMap<Name, Member>,
    listed: HashMap<Name, Listed>,
    rounds: u64,
}

impl Peers {
    /// Knows only itself.
    pub fn new(me: MemberDigest, timing: Timing) -> Self {
        Self {
            me,
            timing,
            members: HashMap::default(),
            listed: HashMap::default(),
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

    /// Takes over the entries of the VM list, whose addresses beat those that
    /// peers pass on.
    pub fn set_listed(&mut self, listed: impl IntoIterator<Item = (Name, Listed)>) {
        self.listed = listed
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
            let since = known.map_or(now, |known| known.since);
            let member = Member {
                digest: digest.clone(),
                heard: now,
                since,
                failed: false,
            };
            self.members.insert(digest.name.clone(), member);
        }
        newer
    }

    /// Merges a heartbeat that a peer passed on. Beats of entries that are
    /// neither listed nor known are ignored; other messages introduce them.
    pub fn merge_beat(&mut self, beat: &Beat, now: Instant) {
        let known = self.members.get(&beat.name).map(|member| &member.digest);
        let domain = known.map(|digest| digest.domain.clone());
        let domain = domain.or_else(|| self.listed.get(&beat.name).map(|l| l.domain.clone()));
        let (Some(domain), Some(addr)) = (domain, self.address(&beat.name)) else {
            return;
        };
        let digest = MemberDigest {
            name: beat.name.clone(),
            incarnation: beat.incarnation,
            domain,
            addr,
            heartbeat: beat.heartbeat,
            leaving: beat.leaving,
        };
        self.merge(&digest, now);
    }

    /// Records that a call to a member failed. It counts as dead until its
    /// heartbeat is heard to grow.
    pub fn mark_failed(&mut self, name: &str) {
        if let Some(member) = self.members.get_mut(name) {
            member.failed = true;
        }
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

    /// What to tell about members: some of this failure domain, fewer of the
    /// others, and those that became known last.
    pub fn sample(&self, now: Instant) -> Sample {
        let alive = self.alive(now);
        let (near, far): (Vec<&Member>, Vec<&Member>) = alive
            .into_iter()
            .partition(|member| member.digest.domain == self.me.domain);
        let near = self.window(&near, NEAR_SAMPLE);
        let far = self.window(&far, FAR_SAMPLE);
        let mut newest: Vec<&Member> = self.members.values().collect();
        newest.sort_by_key(|member| std::cmp::Reverse(member.since));
        let introduced = newest.into_iter().take(NEW_SAMPLE);
        Sample {
            members: introduced.map(|member| member.digest.clone()).collect(),
            beats: near.into_iter().chain(far).map(beat_of).collect(),
        }
    }

    /// Half of the window is the latest news, which others are the least likely
    /// to have; the other half moves on with each round.
    fn window<'a>(&self, members: &[&'a Member], size: usize) -> Vec<&'a Member> {
        let mut sorted = members.to_vec();
        sorted.sort_by_key(|member| std::cmp::Reverse(member.heard));
        let (news, rest) = sorted.split_at((size / 2).min(sorted.len()));
        let size = size - news.len();
        let start = (self.rounds as usize * size) % rest.len().max(1);
        let wandering = rest.iter().cycle().skip(start).take(rest.len().min(size));
        news.iter().chain(wandering).copied().collect()
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
        self.listed
            .get(name)
            .map(|listed| listed.addr)
            .or_else(heard)
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
        let near = member.digest.domain == self.me.domain;
        let factor = if near { 1 } else { FAR_FACTOR };
        !member.failed && now.duration_since(member.heard) < self.timing.dead_after * factor
    }

    /// All entries that can be exchanged with, and whether they share this
    /// entry's failure domain. Dead ones stay, so that a healed partition is
    /// noticed.
    fn partners(&self) -> Vec<Partner> {
        let known = self.members.keys();
        let listed = self
            .listed
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
        let heard = self.members.get(name).map(|member| &member.digest.domain);
        let domain = heard.or_else(|| self.listed.get(name).map(|listed| &listed.domain));
        let near = domain.is_none_or(|domain| *domain == self.me.domain);
        self.address(name).map(|addr| Partner { addr, near })
    }
}

fn beat_of(member: &Member) -> Beat {
    Beat {
        name: member.digest.name.clone(),
        incarnation: member.digest.incarnation,
        heartbeat: member.digest.heartbeat,
        leaving: member.digest.leaving,
    }
}

/// Whether `fresh` is later than `known`. Incarnations of processes begin with
/// their start time, so a restarted process replaces its earlier run.
fn is_newer(fresh: &MemberDigest, known: &MemberDigest) -> bool {
    let order = fresh.incarnation.cmp(&known.incarnation);
    order.is_gt() || (order.is_eq() && fresh.heartbeat > known.heartbeat)
}
