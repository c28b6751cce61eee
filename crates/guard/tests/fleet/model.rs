//! A simulated fleet whose entries exchange their spending over a network that
//! loses, delays, duplicates and cuts, while processes pause and restart.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_fleet::Capacity;
use lycheehaven_fleet::FleetSums;
use lycheehaven_fleet::MESH_LIMIT;
use lycheehaven_fleet::Member;
use lycheehaven_fleet::Role;
use lycheehaven_fleet::Roster;
use lycheehaven_fleet::Source;
use lycheehaven_guard::Charge;
use lycheehaven_guard::IncarnationSpending;
use lycheehaven_guard::Quota;
use lycheehaven_guard::QuotaTracker;
use lycheehaven_guard::SpendingSum;
use lycheehaven_types::Name;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Length of a simulated step.
pub(crate) const STEP: Duration = Duration::from_millis(50);

/// Steps between two messages of an entry.
const REPORT_STEPS: u64 = 4;

/// Steps between two snapshots, unless spending makes one due earlier.
const SNAPSHOT_STEPS: u64 = 20;

/// Window of the quotas.
pub(crate) const WINDOW: Duration = Duration::from_secs(8);

/// Window over which requested units are summed up.
const REQUESTED_WINDOW: Duration = Duration::from_secs(1);

#[derive(Debug, Clone)]
enum Scope {
    Entry,
    Domain(Name),
    Fleet,
}

#[derive(Debug, Clone)]
struct Message {
    from: usize,
    incarnation: u64,
    /// Step at which the sender's process started.
    started: u64,
    scope: Scope,
    spending: SpendingSum,
    requested: Vec<(Name, f64)>,
}

struct Entry {
    name: Name,
    domain: usize,
    incarnation: u64,
    /// Step at which the process started.
    started: u64,
    /// Step of the snapshot that was read after the start.
    snapshot_step: Option<u64>,
    roster: Roster,
    quotas: QuotaTracker,
    requested: FleetSums,
    /// Step until which the process does not run.
    paused_until: u64,
    phase: u64,
}

/// What goes wrong in a simulated fleet.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Trouble {
    /// Fraction of messages that are lost.
    pub(crate) loss: f64,
    /// Fraction of messages that are delivered twice.
    pub(crate) duplication: f64,
    /// Longest delay of a message, in steps.
    pub(crate) max_delay: u64,
}

/// A simulated fleet.
pub(crate) struct Fleet {
    entries: Vec<Entry>,
    domains: usize,
    members: Vec<(Name, Member)>,
    /// Messages by the step of their delivery, each with its receiver.
    network: BTreeMap<u64, Vec<(usize, Message)>>,
    /// Domains that are cut off from the others.
    pub(crate) cut_domains: Vec<usize>,
    pub(crate) trouble: Trouble,
    pub(crate) step: u64,
    start: Instant,
    pub(crate) random: StdRng,
    /// Last snapshot of all entries' spending, and its step.
    snapshot: Option<(u64, Vec<IncarnationSpending>)>,
    /// Units spent, by step.
    spent: BTreeMap<(Name, u64), f64>,
    /// Messages that were sent, by kind.
    pub(crate) sent: [u64; 3],
}

impl Fleet {
    pub(crate) fn new(size: usize, domains: usize, seed: u64) -> Self {
        let members: Vec<(Name, Member)> = (0..size)
            .map(|index| {
                let member = Member {
                    addr: SocketAddr::from(([127, 0, 0, 1], 1000 + index as u16)),
                    domain: format!("domain-{}", index % domains).into(),
                    incarnation: 1,
                    capacity: Capacity::default(),
                };
                (format!("entry-{index}").into(), member)
            })
            .collect();
        let mut random = StdRng::seed_from_u64(seed);
        let entries = (0..size)
            .map(|index| new_entry(&members, index, index % domains, 1, &mut random))
            .collect();
        Self {
            entries,
            domains,
            members,
            network: BTreeMap::new(),
            cut_domains: Vec::new(),
            trouble: Trouble::default(),
            step: 0,
            start: Instant::now(),
            random,
            snapshot: None,
            spent: BTreeMap::new(),
            sent: [0; 3],
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    fn at(&self, step: u64) -> Instant {
        self.start + STEP * step as u32
    }

    fn now(&self) -> Instant {
        self.at(self.step)
    }

    /// Stops an entry from running for a number of steps.
    pub(crate) fn pause(&mut self, index: usize, steps: u64) {
        self.entries[index].paused_until = self.step + steps;
    }

    /// Replaces an entry's process by a new one that knows only the last snapshot.
    pub(crate) fn restart(&mut self, index: usize) {
        let (domain, incarnation) = (self.entries[index].domain, self.entries[index].incarnation);
        let random = &mut self.random;
        let mut entry = new_entry(&self.members, index, domain, incarnation + 1, random);
        entry.started = self.step;
        if let Some((step, spending)) = &self.snapshot {
            entry.snapshot_step = Some(*step);
            let at = self.at(*step);
            for spending in spending {
                let name = if spending.entry == entry.name {
                    format!("{}/{}", spending.entry, spending.incarnation).into()
                } else {
                    spending.entry.clone()
                };
                entry
                    .quotas
                    .update_peer(&name, spending.incarnation, &spending.spent, at);
            }
        }
        self.entries[index] = entry;
    }

    /// Takes a snapshot if one is due, at a running entry that hears all others.
    pub(crate) fn take_snapshot(&mut self, quotas: &[(Name, Quota)]) {
        let (now, step) = (self.now(), self.step);
        let age = self.snapshot.as_ref().map(|(taken, _)| step - taken);
        let mut holders = self.entries.iter_mut().filter_map(|entry| {
            let settled = step - entry.started > SNAPSHOT_STEPS;
            let may_hold = entry.roster.role(now) != Role::Member;
            (entry.paused_until <= step && settled && may_hold).then_some(entry)
        });
        let Some(holder) = holders.next() else {
            return;
        };
        let is_due = quotas
            .iter()
            .any(|(name, quota)| holder.quotas.snapshot_due(name, *quota, now));
        if age.is_some_and(|age| age < SNAPSHOT_STEPS) && !is_due {
            return;
        }
        let lag = holder.roster.parts().lag;
        let spending = if holder.roster.role(now) == Role::Mesh {
            holder
                .quotas
                .snapshot(&holder.name, holder.incarnation, lag, now)
        } else {
            vec![holder.quotas.snapshot_total(lag, now)]
        };
        self.snapshot = Some((step, spending));
    }

    /// Returns the entries that aggregate as they see it themselves.
    pub(crate) fn aggregators(&mut self) -> Vec<usize> {
        let now = self.now();
        let is_aggregator = |entry: &mut Entry| entry.roster.role(now) == Role::Aggregator;
        (0..self.entries.len())
            .filter(|index| is_aggregator(&mut self.entries[*index]))
            .collect()
    }

    /// Returns how many running entries neither aggregate nor receive a current
    /// digest.
    pub(crate) fn without_digest(&mut self) -> usize {
        let (now, step) = (self.now(), self.step);
        self.entries
            .iter_mut()
            .filter(|entry| entry.paused_until <= step)
            .filter_map(|entry| {
                let is_member = entry.roster.role(now) == Role::Member;
                (is_member && !entry.quotas.has_digest(now)).then_some(())
            })
            .count()
    }

    /// Requests `cost` units at an entry. Returns whether they were spent.
    pub(crate) fn request(
        &mut self,
        index: usize,
        workspace: &Name,
        quota: Quota,
        cost: f64,
    ) -> bool {
        let (now, step) = (self.now(), self.step);
        let draw = self.random.random();
        let entry = &mut self.entries[index];
        if entry.paused_until > step {
            return false;
        }
        entry.requested.add(workspace, cost, now);
        let requested_rate = entry.requested.total(workspace, now) / REQUESTED_WINDOW.as_secs_f64();
        let charge = Charge {
            workspace,
            quota,
            cost,
            requested_rate,
            draw,
        };
        let parts = entry.roster.parts().clone();
        let admitted = entry.quotas.admit(&charge, &parts, now).is_ok();
        if admitted {
            *self.spent.entry((workspace.clone(), step)).or_default() += cost;
        }
        admitted
    }

    /// Returns the largest sum that a workspace spent in any window.
    pub(crate) fn max_spent(&self, workspace: &Name) -> f64 {
        let window = WINDOW.as_millis() as u64 / STEP.as_millis() as u64;
        let spent: Vec<(u64, f64)> = self
            .spent
            .iter()
            .filter(|((name, _), _)| name == workspace)
            .map(|((_, step), units)| (*step, *units))
            .collect();
        spent
            .iter()
            .map(|(start, _)| {
                let in_window = |step: &u64| (*start..start + window).contains(step);
                let units = spent.iter().filter(|(step, _)| in_window(step));
                units.map(|(_, units)| units).sum()
            })
            .fold(0.0, f64::max)
    }

    /// Delivers messages and lets the entries send theirs.
    pub(crate) fn advance(&mut self) {
        self.step += 1;
        let due = self.network.remove(&self.step).unwrap_or_default();
        for (to, message) in due {
            let paused_until = self.entries[to].paused_until;
            if paused_until > self.step {
                // The process reads it when it runs again.
                self.network
                    .entry(paused_until)
                    .or_default()
                    .push((to, message));
            } else {
                self.receive(to, message);
            }
        }
        for index in 0..self.entries.len() {
            let entry = &self.entries[index];
            let is_due = (self.step + entry.phase).is_multiple_of(REPORT_STEPS);
            if is_due && entry.paused_until <= self.step {
                self.send_messages(index);
            }
        }
    }

    fn send_messages(&mut self, index: usize) {
        let now = self.now();
        let entry = &mut self.entries[index];
        let own_domain: Name = format!("domain-{}", entry.domain).into();
        let report = Message {
            from: index,
            incarnation: entry.incarnation,
            started: entry.started,
            scope: Scope::Entry,
            spending: SpendingSum {
                spent: entry.quotas.local_spending(now),
                silent: 0,
            },
            requested: entry.requested.report(now),
        };
        let probes = (self.step / REPORT_STEPS).is_multiple_of(5);
        let role = entry.roster.role(now);
        if role == Role::Mesh {
            let peers = entry.roster.addresses();
            self.send(&report, &peers);
            return;
        }
        let peers = entry.roster.aggregator_addresses(&own_domain, probes, now);
        let mut outgoing = vec![(report, peers)];
        if role == Role::Aggregator {
            let parts = entry.roster.parts().clone();
            let sum = Message {
                from: index,
                incarnation: entry.incarnation,
                started: entry.started,
                scope: Scope::Domain(own_domain.clone()),
                spending: entry.quotas.domain_sum(&parts, now),
                requested: entry.requested.domain_report(now),
            };
            let mut peers = Vec::new();
            for domain in entry.roster.other_domains() {
                peers.extend(entry.roster.aggregator_addresses(&domain, probes, now));
            }
            outgoing.push((sum, peers));
            let members: Vec<_> = entry
                .roster
                .peers_in(&own_domain)
                .map(|(name, addr)| (name.clone(), addr))
                .collect();
            for (name, addr) in members {
                let digest = Message {
                    from: index,
                    incarnation: entry.incarnation,
                    started: entry.started,
                    scope: Scope::Fleet,
                    spending: entry.quotas.digest_for(&name, &parts, now),
                    requested: entry.requested.report_for(&name, now),
                };
                outgoing.push((digest, vec![addr]));
            }
        }
        for (message, peers) in outgoing {
            self.send(&message, &peers);
        }
    }

    fn send(&mut self, message: &Message, peers: &[SocketAddr]) {
        let trouble = self.trouble;
        for peer in peers {
            let to = usize::from(peer.port()) - 1000;
            let kind = match message.scope {
                Scope::Entry => 0,
                Scope::Domain(_) => 1,
                Scope::Fleet => 2,
            };
            self.sent[kind] += 1;
            let copies = 1 + usize::from(self.random.random_bool(trouble.duplication));
            for _ in 0..copies {
                if self.is_cut(message.from, to) || self.random.random_bool(trouble.loss) {
                    continue;
                }
                let delay = 1 + self.random.random_range(0..=trouble.max_delay);
                let due = self.network.entry(self.step + delay).or_default();
                due.push((to, message.clone()));
            }
        }
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let (from, to) = (self.entries[from].domain, self.entries[to].domain);
        from != to && (self.cut_domains.contains(&from) || self.cut_domains.contains(&to))
    }

    fn receive(&mut self, to: usize, message: Message) {
        let now = self.now();
        let from_name = self.entries[message.from].name.clone();
        let from_domain = message.from % self.domains;
        let entry = &mut self.entries[to];
        entry.roster.record_heartbeat(&from_name, now);
        let ran_at_snapshot = entry
            .snapshot_step
            .is_some_and(|step| message.started < step);
        let source = match message.scope {
            Scope::Entry => {
                if entry.roster.role(now) != Role::Mesh && from_domain != entry.domain {
                    return;
                }
                let spent = &message.spending.spent;
                if ran_at_snapshot {
                    entry
                        .quotas
                        .deduct_recorded(&from_name, message.incarnation, spent);
                }
                entry
                    .quotas
                    .update_peer(&from_name, message.incarnation, spent, now);
                Source::Entry(from_name)
            }
            Scope::Domain(domain) => {
                if ran_at_snapshot {
                    let spending = &message.spending;
                    entry.quotas.deduct_recorded_domain(&domain, spending, now);
                }
                entry
                    .quotas
                    .update_domain(&domain, &from_name, &message.spending, now);
                Source::Domain(domain)
            }
            Scope::Fleet => {
                entry
                    .quotas
                    .update_digest(&from_name, &message.spending, now);
                Source::Fleet
            }
        };
        entry
            .requested
            .update_source(source, message.requested, now);
    }
}

fn new_entry(
    members: &[(Name, Member)],
    index: usize,
    domain: usize,
    incarnation: u64,
    random: &mut StdRng,
) -> Entry {
    let (name, member) = &members[index];
    let mut roster = Roster::new(name.clone(), member.domain.clone(), MESH_LIMIT);
    roster.replace(members.to_vec());
    Entry {
        name: name.clone(),
        domain,
        incarnation,
        started: 0,
        snapshot_step: None,
        roster,
        quotas: QuotaTracker::new(WINDOW),
        requested: FleetSums::new(REQUESTED_WINDOW),
        paused_until: 0,
        phase: random.random_range(0..REPORT_STEPS),
    }
}
