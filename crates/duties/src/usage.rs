//! Requests that began, by window and workspace.

use std::collections::BTreeMap;
use std::time::Duration;

use lycheehaven_types::HashMap;
use lycheehaven_types::Name;
use serde::Deserialize;
use serde::Serialize;

/// Windows that are kept.
const KEPT: usize = 8;

/// Windows that peers are told of.
const TOLD: usize = 4;

/// Requests that began in one window, by workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// Number of the window since the start of 1970.
    pub window: u64,
    /// Requests by workspace.
    pub counts: HashMap<Name, u64>,
}

/// What one run of an entry counted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct IncarnationCounts {
    /// Entry.
    pub entry: Name,
    /// Run of its process.
    pub incarnation: u64,
    /// Its latest windows.
    pub windows: Vec<WindowCounts>,
}

type Windows = BTreeMap<u64, HashMap<Name, u64>>;

/// WindowCounts of this entry and its peers. Each entry tells its own counts in
/// full, so a lost message loses nothing, and counts of a run of a peer that
/// has ended still stand.
#[derive(Debug)]
pub struct Usage {
    window: Duration,
    own: Windows,
    peers: HashMap<(Name, u64), Windows>,
}

impl Usage {
    /// WindowCounts by windows of this length.
    pub fn new(window: Duration) -> Self {
        Self {
            window: window.max(Duration::from_millis(1)),
            own: Windows::new(),
            peers: HashMap::default(),
        }
    }

    /// Number of the window that holds `millis` since the Unix epoch.
    pub fn window_at(&self, millis: i64) -> u64 {
        millis.max(0) as u64 / self.window.as_millis() as u64
    }

    /// End of a window, in milliseconds since the Unix epoch.
    pub fn window_end(&self, window: u64) -> i64 {
        ((window + 1) * self.window.as_millis() as u64) as i64
    }

    /// WindowCounts a request that began at `millis` since the Unix epoch.
    pub fn record_request(&mut self, workspace: &Name, millis: i64) {
        let window = self.window_at(millis);
        let counts = self.own.entry(window).or_default();
        *counts.entry(workspace.clone()).or_insert(0) += 1;
        trim(&mut self.own);
    }

    /// The latest counts of this entry, for peers.
    pub fn report(&self) -> Vec<WindowCounts> {
        latest(&self.own)
    }

    /// The latest counts of every known run, this one's under `me`.
    pub fn snapshot(&self, me: &Name, incarnation: u64) -> Vec<IncarnationCounts> {
        let own = IncarnationCounts {
            entry: me.clone(),
            incarnation,
            windows: latest(&self.own),
        };
        let peers = self
            .peers
            .iter()
            .map(|((entry, incarnation), windows)| IncarnationCounts {
                entry: entry.clone(),
                incarnation: *incarnation,
                windows: latest(windows),
            });
        peers.chain([own]).collect()
    }

    /// Takes over the counts of one run of a peer. WindowCounts only grow, so an
    /// older report changes nothing.
    pub fn merge_peer(&mut self, peer: &Name, incarnation: u64, reports: Vec<WindowCounts>) {
        let windows = self.peers.entry((peer.clone(), incarnation)).or_default();
        for report in reports {
            let known = windows.entry(report.window).or_default();
            for (workspace, count) in report.counts {
                let held = known.entry(workspace).or_insert(0);
                *held = (*held).max(count);
            }
        }
        trim(windows);
        let newest = self.newest();
        self.peers
            .retain(|_, windows| windows.keys().any(|window| window + KEPT as u64 > newest));
    }

    /// What began in a window, over all entries.
    pub fn window_total(&self, window: u64) -> HashMap<Name, u64> {
        let mut total: HashMap<Name, u64> = HashMap::default();
        let peers = self.peers.values();
        for counts in peers
            .chain([&self.own])
            .filter_map(|windows| windows.get(&window))
        {
            for (workspace, count) in counts {
                *total.entry(workspace.clone()).or_insert(0) += count;
            }
        }
        total
    }

    fn newest(&self) -> u64 {
        let peers = self.peers.values();
        peers
            .chain([&self.own])
            .filter_map(|windows| windows.keys().next_back())
            .copied()
            .max()
            .unwrap_or(0)
    }
}

fn latest(windows: &Windows) -> Vec<WindowCounts> {
    windows
        .iter()
        .rev()
        .take(TOLD)
        .map(|(window, counts)| WindowCounts {
            window: *window,
            counts: counts.clone(),
        })
        .collect()
}

fn trim(windows: &mut Windows) {
    while windows.len() > KEPT {
        windows.pop_first();
    }
}
