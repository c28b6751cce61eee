//! The parts of the fleet that report to an entry.

use std::time::Duration;

use lycheehaven_types::Name;

/// Time until a report reaches every entry, where reports are sent directly.
pub(crate) const MESH_LAG: Duration = Duration::from_millis(200);

/// Time until a report reaches every entry through aggregators, if each of the three
/// messages on its way is lost once.
pub(crate) const TREE_LAG: Duration = Duration::from_millis(1200);

/// The parts of the fleet whose reports together cover the other entries.
#[derive(Debug)]
pub struct Parts {
    /// Entries that report directly, without this one.
    pub entries: Vec<Name>,
    /// Other failure domains, each with its number of entries.
    pub domains: Vec<(Name, usize)>,
    /// Time within which a report reaches every other entry.
    pub lag: Duration,
}

impl Default for Parts {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            domains: Vec::new(),
            lag: MESH_LAG,
        }
    }
}

impl Parts {
    /// Returns the number of entries of the fleet, with this one.
    pub fn entry_count(&self) -> usize {
        let others: usize = self.domains.iter().map(|(_, count)| count).sum();
        1 + self.entries.len() + others
    }
}
