//! Messages of the exchange.

use std::net::SocketAddr;

use lycheehaven_permits::Report;
use lycheehaven_quarantine::News;
use lycheehaven_types::Incarnation;
use lycheehaven_types::Name;
use lycheehaven_types::wire;
use serde::Deserialize;
use serde::Serialize;

/// Version of the message types. A message of another version is answered with
/// an error and not merged.
pub const PROTOCOL_VERSION: u16 = 3;

/// State of one entry, as known to the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDigest {
    /// Name of the entry.
    pub name: Name,
    /// Incarnation of the entry's process.
    pub incarnation: Incarnation,
    /// Failure domain.
    pub domain: Name,
    /// Address of the peer listener.
    pub addr: SocketAddr,
    /// Counter that grows while the process runs.
    pub heartbeat: u64,
    /// Whether the process is stopping.
    pub leaving: bool,
}

/// Heartbeat of an entry that the receiver knows from the VM list or earlier
/// messages. A third of the size of a [`MemberDigest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the entry.
    pub name: Name,
    /// Incarnation of the entry's process.
    pub incarnation: Incarnation,
    /// Counter that grows while the process runs.
    pub heartbeat: u64,
    /// Whether the process is stopping.
    pub leaving: bool,
}

/// Demand of a workspace at the sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceDemand {
    /// Name of the workspace.
    pub workspace: Name,
    /// Requests per second, smoothed.
    pub demand: f32,
}

/// Load of one upstream, as one entry read it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadDigest {
    /// Name of the upstream's VM.
    pub vm: Name,
    /// Incarnation of the upstream's VM.
    pub incarnation: Incarnation,
    /// Time at which it was read, in milliseconds since the Unix epoch.
    pub time: u64,
    /// Streams in the batch.
    #[serde(deserialize_with = "wire::small_count")]
    pub running: u32,
    /// Streams waiting for a place in the batch.
    #[serde(deserialize_with = "wire::small_count")]
    pub waiting: u32,
    /// Prompt tokens not yet computed.
    #[serde(rename = "prefill", deserialize_with = "wire::count")]
    pub prefill_tokens: u64,
    /// Prompt tokens computed per millisecond.
    #[serde(rename = "rate")]
    pub prefill_rate: f32,
    /// Duration of a step, in microseconds.
    pub step_us: u32,
    /// Largest number of streams in the batch.
    #[serde(rename = "limit", deserialize_with = "wire::small_count")]
    pub batch_limit: u32,
    /// KV cache tokens that the upstream's link transfers per millisecond.
    #[serde(rename = "link")]
    pub link_rate: f32,
}

/// One side of an exchange.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Exchange {
    /// [`PROTOCOL_VERSION`] of the sender.
    pub version: u16,
    /// The sender.
    pub from: MemberDigest,
    /// Number of the configuration that the sender has in force.
    pub config: u64,
    /// Members that the receiver may not know yet.
    pub members: Vec<MemberDigest>,
    /// Heartbeats of entries in the sender's failure domain, and of fewer
    /// entries in others.
    #[serde(rename = "beats")]
    pub heartbeats: Vec<Heartbeat>,
    /// VMs that are leaving.
    pub leaving: Vec<(Name, Incarnation)>,
    /// Demand of workspaces at the sender itself.
    #[serde(rename = "usage")]
    pub demands: Vec<WorkspaceDemand>,
    /// The most recent upstream loads; empty if the receiver is in another
    /// failure domain.
    pub loads: Vec<LoadDigest>,
    /// Request rates that upstreams state.
    pub rates: Vec<Report>,
    /// What is known of features of requests that crash upstreams.
    pub news: News,
}
