//! Messages between entries: all to all in a small fleet, else through two aggregators
//! in each failure domain.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_quarantine::News;
use lycheehaven_quarantine::Quarantine;
use rand::RngExt as _;
use rand::rngs::StdRng;

use super::Scenario;
use super::Trouble;
use super::engines::DOMAINS;

/// Interval between messages of an entry.
const INTERVAL: Duration = Duration::from_millis(200);

/// Largest fleet in which all entries send to all.
const MESH_LIMIT: usize = 12;

/// Most crashes in a message.
const MAX_REPORTS: usize = 32;

/// Aggregators of a failure domain.
const AGGREGATORS: usize = 2;

/// Returns the entries of a fleet.
pub(crate) fn new_entries(count: usize) -> Vec<Quarantine> {
    let new_entry = |_| Quarantine::new(MAX_REPORTS);
    let mut entries: Vec<Quarantine> = (0..count).map(new_entry).collect();
    if count > MESH_LIMIT {
        for aggregator in &mut entries[..DOMAINS * AGGREGATORS] {
            aggregator.set_relay(true);
        }
    }
    entries
}

/// The present time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Time {
    pub(crate) elapsed: Duration,
    pub(crate) now: Instant,
    pub(crate) wall_ms: i64,
}

struct Message {
    arrives: Instant,
    to: usize,
    news: News,
}

pub(crate) struct Network {
    entries: usize,
    next: Option<Instant>,
    interval: u64,
    messages: Vec<Message>,
}

impl Network {
    pub(crate) fn new(entries: usize) -> Self {
        Self {
            entries,
            next: None,
            interval: 0,
            messages: Vec::new(),
        }
    }

    /// Whether an entry is cut off from the others, or was within the contact time.
    pub(crate) fn is_cut(&self, entry: usize, scenario: &Scenario, elapsed: Duration) -> bool {
        let seconds = elapsed.as_secs_f64();
        let is_affected = entry % 7 == 3 && (11.0..23.0).contains(&seconds);
        scenario.has(Trouble::Partition) && is_affected
    }

    /// Whether an entry has ended: the first aggregator of a domain.
    fn is_dead(&self, entry: usize, scenario: &Scenario) -> bool {
        scenario.has(Trouble::Partition) && self.entries > MESH_LIMIT && entry == 1
    }

    /// Returns the entry that gets a request to `entry`: the next one if it has ended.
    pub(crate) fn serving_entry(&self, entry: usize, scenario: &Scenario) -> usize {
        if self.is_dead(entry, scenario) {
            return (entry + 1) % self.entries;
        }
        entry
    }

    pub(crate) fn step(
        &mut self,
        scenario: &Scenario,
        entries: &mut [Quarantine],
        time: Time,
        random: &mut StdRng,
    ) {
        let Time {
            elapsed,
            now,
            wall_ms,
        } = time;
        let due = self
            .messages
            .extract_if(.., |message| message.arrives <= now);
        for message in due.collect::<Vec<_>>() {
            entries[message.to].merge(&message.news, wall_ms, now);
        }
        for entry in entries.iter_mut() {
            entry.decide_due(wall_ms, now);
        }
        if self.next.is_some_and(|next| now < next) {
            return;
        }
        self.next = Some(now + INTERVAL);
        self.interval += 1;
        for from in 0..self.entries {
            if self.is_dead(from, scenario) {
                continue;
            }
            let news = entries[from].news(self.interval, now);
            for to in self.receivers(from) {
                let cut = self.is_cut(from, scenario, elapsed)
                    || self.is_cut(to, scenario, elapsed)
                    || self.is_dead(to, scenario);
                let lossy = scenario.has(Trouble::Loss);
                if cut || (lossy && random.random_bool(0.25)) {
                    continue;
                }
                let most = if lossy { 400 } else { 40 };
                let delay = Duration::from_millis(random.random_range(1..most));
                self.messages.push(Message {
                    arrives: now + delay,
                    to,
                    news: news.clone(),
                });
            }
        }
    }

    fn receivers(&self, from: usize) -> Vec<usize> {
        let is_mesh = self.entries <= MESH_LIMIT;
        let is_aggregator = |entry: usize| entry < DOMAINS * AGGREGATORS;
        let receives = |to: usize| {
            let same_domain = to % DOMAINS == from % DOMAINS;
            match (is_aggregator(from), is_aggregator(to)) {
                (true, true) => true,
                (true, false) | (false, true) => same_domain,
                (false, false) => false,
            }
        };
        (0..self.entries)
            .filter(|to| *to != from && (is_mesh || receives(*to)))
            .collect()
    }
}
