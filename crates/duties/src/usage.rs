//! Numbers of started requests by time window and workspace.

use std::collections::BTreeMap;
use std::time::Duration;

use lycheehaven_types::HashMap;
use lycheehaven_types::Name;
use lycheehaven_types::wire;
use serde::Deserialize;
use serde::Serialize;

/// Windows retained for each incarnation.
const RETAINED_WINDOWS: usize = 8;

/// Latest windows included in a report.
const REPORTED_WINDOWS: usize = 4;

/// Requests that started in one window, by workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// Index of the window, counted from the Unix epoch.
    #[serde(deserialize_with = "wire::count")]
    pub window: u64,
    /// Requests by workspace.
    #[serde(deserialize_with = "wire::named_counts")]
    pub counts: HashMap<Name, u64>,
}

/// Counts of one incarnation of an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct IncarnationCounts {
    /// Name of the entry.
    pub entry: Name,
    /// Incarnation of the entry.
    pub incarnation: u64,
    /// Latest windows.
    pub windows: Vec<WindowCounts>,
}

/// Entry name under which a snapshot holds the counts of all entries.
const TOTAL_NAME: &str = "recorded";

type Windows = BTreeMap<u64, HashMap<Name, u64>>;

/// Counts of this entry and its peers.
///
/// Each report carries an entry's own counts in full, so the next report makes
/// up for a lost one. The counts of a peer's earlier incarnations remain part of
/// the totals.
#[derive(Debug)]
pub struct Usage {
    window: Duration,
    local: Windows,
    /// Counts of entries that report directly, by entry and incarnation.
    peers: HashMap<(Name, u64), Windows>,
    /// Counts of the other failure domains, as their aggregators report them.
    domains: HashMap<Name, Windows>,
    /// Counts of all other entries, as aggregators report them.
    digest: Windows,
}

impl Usage {
    /// Creates empty counts over windows of length `window`.
    pub fn new(window: Duration) -> Self {
        Self {
            window: window.max(Duration::from_millis(1)),
            local: Windows::new(),
            peers: HashMap::default(),
            domains: HashMap::default(),
            digest: Windows::new(),
        }
    }

    /// Returns the index of the window that contains `millis` since the Unix
    /// epoch.
    pub fn window_at(&self, millis: i64) -> u64 {
        millis.max(0) as u64 / self.window.as_millis() as u64
    }

    /// Returns the end of a window in milliseconds since the Unix epoch.
    pub fn window_end(&self, window: u64) -> i64 {
        let end = (window + 1).saturating_mul(self.window.as_millis() as u64);
        i64::try_from(end).unwrap_or(i64::MAX)
    }

    /// Counts a request that started at `millis` since the Unix epoch.
    pub fn record_request(&mut self, workspace: &Name, millis: i64) {
        let window = self.window_at(millis);
        let counts = self.local.entry(window).or_default();
        *counts.entry(workspace.clone()).or_insert(0) += 1;
        drop_oldest(&mut self.local);
    }

    /// Returns this entry's latest counts for its peers.
    pub fn report(&self) -> Vec<WindowCounts> {
        latest_counts(&self.local)
    }

    /// Returns the latest counts of every known incarnation; those of this one
    /// appear under `own_name` and `incarnation`.
    pub fn snapshot(&self, own_name: &Name, incarnation: u64) -> Vec<IncarnationCounts> {
        let local = IncarnationCounts {
            entry: own_name.clone(),
            incarnation,
            windows: latest_counts(&self.local),
        };
        let peers = self
            .peers
            .iter()
            .map(|((entry, incarnation), windows)| IncarnationCounts {
                entry: entry.clone(),
                incarnation: *incarnation,
                windows: latest_counts(windows),
            });
        peers.chain([local]).collect()
    }

    /// Returns the latest counts of all entries together.
    pub fn snapshot_total(&self) -> IncarnationCounts {
        IncarnationCounts {
            entry: TOTAL_NAME.into(),
            incarnation: 0,
            windows: latest_counts(&self.totals()),
        }
    }

    /// Deducts a peer's first report from the counts of all entries read from a
    /// snapshot. To be called for peers that were already running when the snapshot
    /// was taken: it includes what they report.
    pub fn deduct_recorded(&mut self, peer: &Name, incarnation: u64, reports: &[WindowCounts]) {
        if !self.peers.contains_key(&(peer.clone(), incarnation)) {
            self.deduct(reports);
        }
    }

    /// Deducts the first sum of another failure domain likewise.
    pub fn deduct_recorded_domain(&mut self, domain: &Name, reports: &[WindowCounts]) {
        if !self.domains.contains_key(domain) {
            self.deduct(reports);
        }
    }

    fn deduct(&mut self, reports: &[WindowCounts]) {
        let Some(recorded) = self.peers.get_mut(&(TOTAL_NAME.into(), 0)) else {
            return;
        };
        for report in reports {
            let Some(counts) = recorded.get_mut(&report.window) else {
                continue;
            };
            for (workspace, count) in &report.counts {
                if let Some(known) = counts.get_mut(workspace) {
                    *known = known.saturating_sub(*count);
                }
            }
        }
    }

    /// Merges the counts of one incarnation of a peer. Counts only grow, so the
    /// larger count wins and an older report changes nothing.
    pub fn merge_peer(&mut self, peer: &Name, incarnation: u64, reports: Vec<WindowCounts>) {
        let windows = self.peers.entry((peer.clone(), incarnation)).or_default();
        merge(windows, reports);
        let newest_window = self.newest_window();
        self.peers.retain(|_, windows| {
            windows
                .keys()
                .any(|window| window + RETAINED_WINDOWS as u64 > newest_window)
        });
    }

    /// Merges the counts of another failure domain that one of its aggregators
    /// reports.
    pub fn merge_domain(&mut self, domain: &Name, reports: Vec<WindowCounts>) {
        merge(self.domains.entry(domain.clone()).or_default(), reports);
    }

    /// Merges the counts of all other entries that an aggregator reports.
    pub fn merge_digest(&mut self, reports: Vec<WindowCounts>) {
        merge(&mut self.digest, reports);
    }

    /// Returns the latest counts of this entry and of those that report to it
    /// directly and that `is_included` accepts.
    pub fn domain_report(&self, is_included: impl Fn(&Name) -> bool) -> Vec<WindowCounts> {
        let peers = self
            .peers
            .iter()
            .filter(|((entry, _), _)| is_included(entry))
            .map(|(_, windows)| windows);
        latest_counts(&sum(peers.chain([&self.local])))
    }

    /// Returns the latest counts of all entries except one incarnation of `member`.
    pub fn report_for(&self, member: &Name, incarnation: u64) -> Vec<WindowCounts> {
        let peers = self
            .peers
            .iter()
            .filter(|((entry, run), _)| entry != member || *run != incarnation)
            .map(|(_, windows)| windows);
        let domains = self.domains.values();
        latest_counts(&sum(peers.chain(domains).chain([&self.local])))
    }

    /// Returns the requests that started in a window at all entries, by
    /// workspace.
    pub fn window_total(&self, window: u64) -> HashMap<Name, u64> {
        self.totals().remove(&window).unwrap_or_default()
    }

    fn totals(&self) -> Windows {
        let mut totals = sum(self.peers.values().chain(self.domains.values()));
        // Neither the parts nor the digest count a request twice, and both may lack
        // some.
        for (window, counts) in &self.digest {
            raise(totals.entry(*window).or_default(), counts);
        }
        for (window, counts) in &self.local {
            add(totals.entry(*window).or_default(), counts);
        }
        totals
    }

    fn newest_window(&self) -> u64 {
        let peers = self.peers.values();
        peers
            .chain([&self.local])
            .filter_map(|windows| windows.keys().next_back())
            .copied()
            .max()
            .unwrap_or(0)
    }
}

/// Merges reported counts. Counts only grow, so the larger count wins.
fn merge(windows: &mut Windows, reports: Vec<WindowCounts>) {
    for report in reports {
        raise(windows.entry(report.window).or_default(), &report.counts);
    }
    drop_oldest(windows);
}

fn sum<'a>(parts: impl Iterator<Item = &'a Windows>) -> Windows {
    let mut sum = Windows::new();
    for (window, counts) in parts.flatten() {
        add(sum.entry(*window).or_default(), counts);
    }
    sum
}

fn add(total: &mut HashMap<Name, u64>, counts: &HashMap<Name, u64>) {
    for (workspace, count) in counts {
        *total.entry(workspace.clone()).or_insert(0) += count;
    }
}

fn raise(total: &mut HashMap<Name, u64>, counts: &HashMap<Name, u64>) {
    for (workspace, count) in counts {
        let known = total.entry(workspace.clone()).or_insert(0);
        *known = (*known).max(*count);
    }
}

fn latest_counts(windows: &Windows) -> Vec<WindowCounts> {
    windows
        .iter()
        .rev()
        .take(REPORTED_WINDOWS)
        .map(|(window, counts)| WindowCounts {
            window: *window,
            counts: counts.clone(),
        })
        .collect()
}

fn drop_oldest(windows: &mut Windows) {
    while windows.len() > RETAINED_WINDOWS {
        windows.pop_first();
    }
}
