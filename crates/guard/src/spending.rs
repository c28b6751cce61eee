//! What peers report to have spent.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_fleet::Parts;
use lycheehaven_types::HashMap;
use lycheehaven_types::Name;
use lycheehaven_types::wire;
use serde::Deserialize;
use serde::Serialize;

/// Time without a report after which a peer is assumed to spend at least its even
/// share of the quota.
const PEER_TIMEOUT: Duration = Duration::from_millis(900);

/// Spending of several entries together.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SpendingSum {
    /// Units spent in the last window, by workspace.
    #[serde(deserialize_with = "wire::named_amounts")]
    pub spent: Vec<(Name, f64)>,
    /// Entries whose current spending is not included because they do not report.
    #[serde(deserialize_with = "wire::size")]
    pub silent: usize,
}

/// Spending of one entry, reported by itself.
#[derive(Debug)]
pub(crate) struct EntrySpending {
    pub(crate) incarnation: u64,
    pub(crate) reported_at: Instant,
    pub(crate) spent: HashMap<Name, f64>,
}

/// A sum, and when it was received.
#[derive(Debug)]
struct ReceivedSum {
    at: Instant,
    silent: usize,
    spent: HashMap<Name, f64>,
}

/// Sums over the same entries, by the aggregator that sent them.
#[derive(Debug, Default)]
struct Sums {
    by_sender: HashMap<Name, ReceivedSum>,
}

impl Sums {
    fn update(&mut self, sender: &Name, sum: &SpendingSum, window: Duration, now: Instant) {
        let received = ReceivedSum {
            at: now,
            silent: sum.silent,
            spent: sum.spent.iter().cloned().collect(),
        };
        self.by_sender.insert(sender.clone(), received);
        self.by_sender
            .retain(|_, known| now.saturating_duration_since(known.at) < window);
    }

    /// Returns the fewest silent entries in a sum that is no older than `max_age`.
    fn fewest_silent(&self, max_age: Duration, now: Instant) -> Option<usize> {
        self.fresh(max_age, now).map(|sum| sum.silent).min()
    }

    /// Returns what a workspace spent, by the sums with the fewest silent entries.
    /// Each of them covers the same entries, so the largest is the newest.
    fn spent(&self, workspace: &Name, max_age: Duration, now: Instant) -> f64 {
        let fewest = self.fewest_silent(max_age, now);
        self.fresh(max_age, now)
            .filter(|sum| Some(sum.silent) == fewest)
            .filter_map(|sum| sum.spent.get(workspace))
            .fold(0.0, |largest, spent| largest.max(*spent))
    }

    fn fresh(&self, max_age: Duration, now: Instant) -> impl Iterator<Item = &ReceivedSum> {
        self.by_sender
            .values()
            .filter(move |sum| now.saturating_duration_since(sum.at) < max_age)
    }
}

/// Spending of all other entries: of each one that reports directly, of the other
/// failure domains, and of the fleet in the digests of aggregators.
#[derive(Debug)]
pub(crate) struct RemoteSpending {
    window: Duration,
    pub(crate) entries: HashMap<Name, EntrySpending>,
    domains: HashMap<Name, Sums>,
    digests: Sums,
}

impl RemoteSpending {
    pub(crate) fn new(window: Duration) -> Self {
        Self {
            window,
            entries: HashMap::default(),
            domains: HashMap::default(),
            digests: Sums::default(),
        }
    }

    /// Replaces an entry's report. `now` is the time of the report.
    pub(crate) fn update_entry(
        &mut self,
        entry: &Name,
        incarnation: u64,
        spent: &[(Name, f64)],
        now: Instant,
    ) {
        let report = EntrySpending {
            incarnation,
            reported_at: now,
            spent: spent.iter().cloned().collect(),
        };
        match self.entries.get(entry) {
            Some(known) if known.reported_at > now => {
                // The report is older than the known one. It counts only if it
                // belongs to another incarnation.
                if known.incarnation != incarnation {
                    let earlier = format!("{entry}/{incarnation}");
                    self.entries.insert(earlier.into(), report);
                }
                return;
            }
            // A restarted entry starts at zero. The spending of its previous
            // incarnation counts until the window has passed.
            Some(known) if known.incarnation != incarnation => {
                let earlier = format!("{entry}/{}", known.incarnation);
                let known = self.entries.insert(entry.clone(), report);
                if let Some(known) = known {
                    self.entries.insert(earlier.into(), known);
                }
            }
            _ => {
                self.entries.insert(entry.clone(), report);
            }
        }
        let window = self.window;
        self.entries
            .retain(|_, known| now.saturating_duration_since(known.reported_at) < window);
    }

    /// Replaces the sum over `domain` that the aggregator `sender` reports.
    pub(crate) fn update_domain(
        &mut self,
        domain: &Name,
        sender: &Name,
        sum: &SpendingSum,
        now: Instant,
    ) {
        let sums = self.domains.entry(domain.clone()).or_default();
        sums.update(sender, sum, self.window, now);
    }

    /// Replaces the sum over all other entries that the aggregator `sender` reports.
    pub(crate) fn update_digest(&mut self, sender: &Name, sum: &SpendingSum, now: Instant) {
        self.digests.update(sender, sum, self.window, now);
    }

    /// Whether a sum over `domain` has been received within the window.
    pub(crate) fn knows_domain(&self, domain: &Name, now: Instant) -> bool {
        self.domains
            .get(domain)
            .is_some_and(|sums| sums.fewest_silent(self.window, now).is_some())
    }

    /// Whether a current digest of an aggregator is known.
    pub(crate) fn has_digest(&self, now: Instant) -> bool {
        self.digests.fewest_silent(PEER_TIMEOUT, now).is_some()
    }

    /// Returns what a workspace spent at all other entries, as far as it is known.
    pub(crate) fn known(&self, workspace: &Name, now: Instant) -> f64 {
        if self.has_digest(now) {
            return self.digests.spent(workspace, PEER_TIMEOUT, now);
        }
        let entries: f64 = self
            .recent_entries(now)
            .filter_map(|(_, known)| known.spent.get(workspace))
            .sum();
        let domains: f64 = self
            .domains
            .values()
            .map(|sums| sums.spent(workspace, self.domain_age(sums, now), now))
            .sum();
        entries + domains
    }

    /// Returns what a workspace may have spent at all other entries. `share` is
    /// reserved for each entry that does not report.
    pub(crate) fn reserved(
        &self,
        workspace: &Name,
        share: f64,
        parts: &Parts,
        now: Instant,
    ) -> f64 {
        if let Some(silent) = self.digests.fewest_silent(PEER_TIMEOUT, now) {
            return self.digests.spent(workspace, PEER_TIMEOUT, now) + silent as f64 * share;
        }
        let mut total = self.known(workspace, now);
        for entry in &parts.entries {
            let known = self
                .entries
                .get(entry)
                .filter(|known| now.saturating_duration_since(known.reported_at) < self.window);
            total += match known {
                None => share,
                Some(known) if self.is_silent(known, now) => {
                    (share - known.spent.get(workspace).copied().unwrap_or(0.0)).max(0.0)
                }
                Some(_) => 0.0,
            };
        }
        total + self.silent_in_domains(parts, now) as f64 * share
    }

    /// Returns the spending of the entries that report directly and that `is_included`
    /// accepts by name.
    pub(crate) fn sum_entries(
        &self,
        is_included: impl Fn(&Name) -> bool,
        now: Instant,
    ) -> HashMap<Name, f64> {
        let mut sum = HashMap::default();
        for (entry, known) in self.recent_entries(now) {
            if is_included(entry) {
                add_all(&mut sum, &known.spent);
            }
        }
        sum
    }

    /// Adds the spending of the other failure domains to `sum`.
    pub(crate) fn add_domains(&self, sum: &mut HashMap<Name, f64>, now: Instant) {
        for sums in self.domains.values() {
            let max_age = self.domain_age(sums, now);
            let mut workspaces: Vec<&Name> = sums
                .fresh(max_age, now)
                .flat_map(|known| known.spent.keys())
                .collect();
            workspaces.sort_unstable();
            workspaces.dedup();
            for workspace in workspaces {
                let spent = sums.spent(workspace, max_age, now);
                *sum.entry(workspace.clone()).or_insert(0.0) += spent;
            }
        }
    }

    /// Returns how many entries that should report directly do not.
    pub(crate) fn silent_entries(
        &self,
        except: Option<&Name>,
        parts: &Parts,
        now: Instant,
    ) -> usize {
        parts
            .entries
            .iter()
            .filter(|entry| Some(*entry) != except)
            .filter(|entry| {
                self.entries
                    .get(*entry)
                    .is_none_or(|known| self.is_silent(known, now))
            })
            .count()
    }

    /// Returns how many entries of the other failure domains do not report.
    pub(crate) fn silent_in_domains(&self, parts: &Parts, now: Instant) -> usize {
        parts
            .domains
            .iter()
            .map(|(domain, count)| {
                self.domains
                    .get(domain)
                    .and_then(|sums| sums.fewest_silent(PEER_TIMEOUT, now))
                    .unwrap_or(*count)
            })
            .sum()
    }

    /// Returns the workspaces that any report names.
    pub(crate) fn workspaces(&self) -> impl Iterator<Item = &Name> {
        let entries = self.entries.values().flat_map(|known| known.spent.keys());
        let sums = self.domains.values().chain([&self.digests]);
        let summed = sums
            .flat_map(|sums| sums.by_sender.values())
            .flat_map(|sum| sum.spent.keys());
        entries.chain(summed)
    }

    /// Returns the entries that reported within the window.
    pub(crate) fn recent_entries(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&Name, &EntrySpending)> {
        self.entries.iter().filter(move |(_, known)| {
            now.saturating_duration_since(known.reported_at) < self.window
        })
    }

    fn is_silent(&self, known: &EntrySpending, now: Instant) -> bool {
        now.saturating_duration_since(known.reported_at) >= PEER_TIMEOUT
    }

    /// Returns the age up to which sums of a domain count: current ones only, or all
    /// within the window if none is current.
    fn domain_age(&self, sums: &Sums, now: Instant) -> Duration {
        match sums.fewest_silent(PEER_TIMEOUT, now) {
            Some(_) => PEER_TIMEOUT,
            None => self.window,
        }
    }
}

pub(crate) fn add_all(sum: &mut HashMap<Name, f64>, more: &HashMap<Name, f64>) {
    for (workspace, units) in more {
        *sum.entry(workspace.clone()).or_insert(0.0) += units;
    }
}
