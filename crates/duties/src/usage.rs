//! Numbers of started requests by time window and workspace.

use std::collections::BTreeMap;
use std::time::Duration;

use lycheehaven_types::HashMap;
use lycheehaven_types::Name;
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
    pub window: u64,
    /// Requests by workspace.
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
    peers: HashMap<(Name, u64), Windows>,
}

impl Usage {
    /// Creates empty counts over windows of length `window`.
    pub fn new(window: Duration) -> Self {
        Self {
            window: window.max(Duration::from_millis(1)),
            local: Windows::new(),
            peers: HashMap::default(),
        }
    }

    /// Returns the index of the window that contains `millis` since the Unix
    /// epoch.
    pub fn window_at(&self, millis: i64) -> u64 {
        millis.max(0) as u64 / self.window.as_millis() as u64
    }

    /// Returns the end of a window in milliseconds since the Unix epoch.
    pub fn window_end(&self, window: u64) -> i64 {
        ((window + 1) * self.window.as_millis() as u64) as i64
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

    /// Merges the counts of one incarnation of a peer. Counts only grow, so the
    /// larger count wins and an older report changes nothing.
    pub fn merge_peer(&mut self, peer: &Name, incarnation: u64, reports: Vec<WindowCounts>) {
        let windows = self.peers.entry((peer.clone(), incarnation)).or_default();
        for report in reports {
            let known = windows.entry(report.window).or_default();
            for (workspace, count) in report.counts {
                let merged = known.entry(workspace).or_insert(0);
                *merged = (*merged).max(count);
            }
        }
        drop_oldest(windows);
        let newest_window = self.newest_window();
        self.peers.retain(|_, windows| {
            windows
                .keys()
                .any(|window| window + RETAINED_WINDOWS as u64 > newest_window)
        });
    }

    /// Returns the requests that started in a window at all entries, by
    /// workspace.
    pub fn window_total(&self, window: u64) -> HashMap<Name, u64> {
        let mut total: HashMap<Name, u64> = HashMap::default();
        let peers = self.peers.values();
        for counts in peers
            .chain([&self.local])
            .filter_map(|windows| windows.get(&window))
        {
            for (workspace, count) in counts {
                *total.entry(workspace.clone()).or_insert(0) += count;
            }
        }
        total
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
