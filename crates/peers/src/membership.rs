//! Membership of the entries and detection of dead ones.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::HashMap;
use lycheehaven_types::Name;

use crate::message::Heartbeat;
use crate::message::MemberDigest;

/// Largest number of heartbeats of members of the same failure domain in one
/// message.
const MAX_DOMAIN_HEARTBEATS: usize = 16;

/// Largest number of heartbeats of members of other failure domains in one message.
const MAX_OUTSIDE_HEARTBEATS: usize = 8;

/// Largest number of full member digests in one message.
const MAX_MEMBER_DIGESTS: usize = 2;

/// Factor by which [`Timing::dead_after`] is longer for members of other
/// failure domains, whose heartbeats arrive in fewer messages.
const OUTSIDE_TIMEOUT_FACTOR: u32 = 20;

/// How long a member without a new heartbeat is kept. A dead member is kept so
/// that a delayed message about it does not add it as a new member.
const RETENTION: Duration = Duration::from_secs(600);

/// Parameters of the exchange and of failure detection.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// One in this many exchanges goes to another failure domain.
    pub outside_every: u32,
    /// Time without a new heartbeat after which a member of the same failure
    /// domain counts as dead. The timeout for other members is longer; a failed
    /// call marks them as dead sooner.
    pub dead_after: Duration,
}

/// An entry in the VM list.
#[derive(Debug, Clone)]
pub struct ListedEntry {
    /// Failure domain.
    pub domain: Name,
    /// Address of its peer listener.
    pub addr: SocketAddr,
}

/// Membership state for one message.
#[derive(Debug, Clone, Default)]
pub struct MemberSample {
    /// Members that the receiver may not know yet.
    pub members: Vec<MemberDigest>,
    /// Heartbeats of live members.
    pub heartbeats: Vec<Heartbeat>,
}

/// An entry to exchange with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Partner {
    /// Address of its peer listener.
    pub addr: SocketAddr,
    /// Whether it is in this entry's failure domain. Assumed for an entry whose
    /// domain is unknown.
    pub same_domain: bool,
}

/// A known member.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its latest known state, received from itself or from another entry.
    pub digest: MemberDigest,
    /// When its heartbeat last grew.
    pub last_heartbeat: Instant,
    /// When it was added.
    pub since: Instant,
    /// Whether a call to it has failed since its heartbeat last grew.
    pub unreachable: bool,
}

/// The entries as known to one of them.
#[derive(Debug)]
pub struct Peers {
    local: MemberDigest,
    timing: Timing,
    members: HashMap<Name, Member>,
    listed: HashMap<Name, ListedEntry>,
    rounds: u64,
}

impl Peers {
    /// Creates a membership that contains only this entry.
    pub fn new(local: MemberDigest, timing: Timing) -> Self {
        Self {
            local,
            timing,
            members: HashMap::default(),
            listed: HashMap::default(),
            rounds: 0,
        }
    }

    /// Returns the state of this entry.
    pub fn local(&self) -> &MemberDigest {
        &self.local
    }

    /// Marks this entry as stopping in all further messages.
    pub fn set_leaving(&mut self) {
        self.local.leaving = true;
    }

    /// Replaces the entries of the VM list. Their addresses take precedence
    /// over those received from peers.
    pub fn set_listed(&mut self, listed: impl IntoIterator<Item = (Name, ListedEntry)>) {
        self.listed = listed
            .into_iter()
            .filter(|(name, _)| *name != self.local.name)
            .collect();
    }

    /// Merges the state of a member, received from itself or from another
    /// entry. Returns whether it is newer than the known one.
    pub fn merge(&mut self, digest: &MemberDigest, now: Instant) -> bool {
        if digest.name == self.local.name {
            return false;
        }
        let known = self.members.get(&digest.name);
        let newer = known.is_none_or(|known| is_newer(digest, &known.digest));
        if newer {
            let since = known.map_or(now, |known| known.since);
            let member = Member {
                digest: digest.clone(),
                last_heartbeat: now,
                since,
                unreachable: false,
            };
            self.members.insert(digest.name.clone(), member);
        }
        newer
    }

    /// Merges a heartbeat received from a peer. Heartbeats of entries that are
    /// neither listed nor members are ignored, because they lack the failure
    /// domain and address.
    pub fn merge_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant) {
        let known = self
            .members
            .get(&heartbeat.name)
            .map(|member| &member.digest);
        let domain = known.map(|digest| digest.domain.clone());
        let domain = domain.or_else(|| self.listed.get(&heartbeat.name).map(|l| l.domain.clone()));
        let (Some(domain), Some(addr)) = (domain, self.address(&heartbeat.name)) else {
            return;
        };
        let digest = MemberDigest {
            name: heartbeat.name.clone(),
            incarnation: heartbeat.incarnation,
            domain,
            addr,
            heartbeat: heartbeat.heartbeat,
            leaving: heartbeat.leaving,
        };
        self.merge(&digest, now);
    }

    /// Records that a call to a member failed. The member counts as dead until
    /// a higher heartbeat of it arrives.
    pub fn mark_unreachable(&mut self, name: &str) {
        if let Some(member) = self.members.get_mut(name) {
            member.unreachable = true;
        }
    }

    /// Begins a round: increments this entry's heartbeat, removes members whose
    /// heartbeat has not grown for the retention period, and chooses an entry to
    /// exchange with by the random number `draw`.
    pub fn next_partner(&mut self, draw: u64, now: Instant) -> Option<Partner> {
        self.local.heartbeat += 1;
        self.rounds += 1;
        self.members
            .retain(|_, member| now.duration_since(member.last_heartbeat) < RETENTION);
        let outside = self
            .rounds
            .is_multiple_of(u64::from(self.timing.outside_every));
        let all = self.partners();
        let wanted: Vec<&Partner> = all
            .iter()
            .filter(|partner| partner.same_domain != outside)
            .collect();
        let pool = if wanted.is_empty() {
            all.iter().collect()
        } else {
            wanted
        };
        let index = (draw % pool.len().max(1) as u64) as usize;
        pool.get(index).map(|partner| **partner)
    }

    /// Selects membership state for one message: heartbeats of some members of
    /// this failure domain and of fewer members of others, and digests of the
    /// members that were added last.
    pub fn sample(&self, now: Instant) -> MemberSample {
        let alive = self.alive(now);
        let (in_domain, outside): (Vec<&Member>, Vec<&Member>) = alive
            .into_iter()
            .partition(|member| member.digest.domain == self.local.domain);
        let in_domain = self.select(&in_domain, MAX_DOMAIN_HEARTBEATS);
        let outside = self.select(&outside, MAX_OUTSIDE_HEARTBEATS);
        let mut newest: Vec<&Member> = self.members.values().collect();
        newest.sort_by_key(|member| std::cmp::Reverse(member.since));
        let introduced = newest.into_iter().take(MAX_MEMBER_DIGESTS);
        MemberSample {
            members: introduced.map(|member| member.digest.clone()).collect(),
            heartbeats: in_domain
                .into_iter()
                .chain(outside)
                .map(heartbeat_of)
                .collect(),
        }
    }

    /// Selects at most `size` members. Half of them are those whose heartbeats grew
    /// last, as other entries are the least likely to have these heartbeats; the
    /// other half rotates through the rest from round to round.
    fn select<'a>(&self, members: &[&'a Member], size: usize) -> Vec<&'a Member> {
        let mut sorted = members.to_vec();
        sorted.sort_by_key(|member| std::cmp::Reverse(member.last_heartbeat));
        let (latest, rest) = sorted.split_at((size / 2).min(sorted.len()));
        let size = size - latest.len();
        let start = (self.rounds as usize * size) % rest.len().max(1);
        let rotating = rest.iter().cycle().skip(start).take(rest.len().min(size));
        latest.iter().chain(rotating).copied().collect()
    }

    /// Returns the live members other than this entry, sorted by name.
    pub fn alive(&self, now: Instant) -> Vec<&Member> {
        let live = self
            .members
            .values()
            .filter(|member| self.is_member_alive(member, now));
        let mut alive: Vec<&Member> = live.collect();
        alive.sort_by(|a, b| a.digest.name.cmp(&b.digest.name));
        alive
    }

    /// Returns whether the named entry is this one or a live member.
    pub fn is_alive(&self, name: &str, now: Instant) -> bool {
        *self.local.name == *name
            || self
                .members
                .get(name)
                .is_some_and(|member| self.is_member_alive(member, now))
    }

    /// Returns a member, live or dead.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Returns the address of the named entry's peer listener.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        let received = || self.members.get(name).map(|member| member.digest.addr);
        self.listed
            .get(name)
            .map(|listed| listed.addr)
            .or_else(received)
    }

    /// Returns the sorted names of this entry and the live members, without
    /// those that are stopping.
    pub fn serving(&self, now: Instant) -> Vec<Name> {
        let others = self
            .alive(now)
            .into_iter()
            .filter(|member| !member.digest.leaving);
        let mut names: Vec<Name> = others.map(|member| member.digest.name.clone()).collect();
        if !self.local.leaving {
            names.push(self.local.name.clone());
        }
        names.sort();
        names
    }

    /// Like [`Peers::serving`], restricted to this entry's failure domain.
    pub fn serving_in_domain(&self, now: Instant) -> Vec<Name> {
        let domain = |name: &Name| {
            self.members
                .get(name)
                .map_or(&self.local.domain, |member| &member.digest.domain)
        };
        let serving = self.serving(now).into_iter();
        serving
            .filter(|name| *domain(name) == self.local.domain)
            .collect()
    }

    fn is_member_alive(&self, member: &Member, now: Instant) -> bool {
        let same_domain = member.digest.domain == self.local.domain;
        let factor = if same_domain {
            1
        } else {
            OUTSIDE_TIMEOUT_FACTOR
        };
        !member.unreachable
            && now.duration_since(member.last_heartbeat) < self.timing.dead_after * factor
    }

    /// Returns all entries with a known address. Dead ones are included, so
    /// that the end of a network partition is detected.
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
        let member_domain = self.members.get(name).map(|member| &member.digest.domain);
        let domain = member_domain.or_else(|| self.listed.get(name).map(|listed| &listed.domain));
        let same_domain = domain.is_none_or(|domain| *domain == self.local.domain);
        self.address(name).map(|addr| Partner { addr, same_domain })
    }
}

fn heartbeat_of(member: &Member) -> Heartbeat {
    Heartbeat {
        name: member.digest.name.clone(),
        incarnation: member.digest.incarnation,
        heartbeat: member.digest.heartbeat,
        leaving: member.digest.leaving,
    }
}

/// Returns whether `digest` is more recent than `known`. Incarnations of
/// processes begin with their start time, so the state of a restarted process
/// replaces that of its previous run.
fn is_newer(digest: &MemberDigest, known: &MemberDigest) -> bool {
    let order = digest.incarnation.cmp(&known.incarnation);
    order.is_gt() || (order.is_eq() && digest.heartbeat > known.heartbeat)
}
