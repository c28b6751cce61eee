//! The registration of an entry.

use std::net::SocketAddr;

use lycheehaven_types::Name;
use serde::Deserialize;
use serde::Serialize;

/// Resources of an entry's VM. Larger values sort later.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(default)]
pub struct Capacity {
    /// Processor time, in thousandths of a core.
    pub cpu_millis: u32,
    /// Bandwidth of the network link, in Mbit/s.
    pub link_mbps: u32,
    /// Memory, in MB.
    pub memory_mb: u32,
}

/// The registration of an entry in the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// UDP address for messages from peers.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Resources of the VM; zero if the registration was written by a version that
    /// does not state them.
    #[serde(default)]
    pub capacity: Capacity,
}
