//! The exchanged message.

use std::net::SocketAddr;

use lycheehaven_types::Digest;
use lycheehaven_types::Incarnation;
use lycheehaven_types::Name;
use serde::Deserialize;
use serde::Serialize;

/// Version of the message types. Peers of another version are answered with an
/// error and left alone.
pub const PROTOCOL_VERSION: u16 = 1;

/// What is known about one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDigest {
    /// Name.
    pub name: Name,
    /// Which run of the process.
    pub incarnation: Incarnation,
    /// Failure domain.
    pub domain: Name,
    /// Address of the peer listener.
    pub addr: SocketAddr,
    /// Grows while the process runs.
    pub heartbeat: u64,
    /// Whether the process is stopping.
    pub leaving: bool,
}

/// Heartbeat of an entry that the receiver knows from the VM list or earlier
/// messages. A third of the size of a [`MemberDigest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// Name.
    pub name: Name,
    /// Which run of the process.
    pub incarnation: Incarnation,
    /// Grows while the process runs.
    pub heartbeat: u64,
    /// Whether the process is stopping.
    pub leaving: bool,
}

/// Demand of a workspace at the sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Workspace.
    pub workspace: Name,
    /// Requests per second, smoothed.
    pub demand: f32,
}

/// Load of one upstream as one entry read it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadDigest {
    /// Name of the upstream's VM.
    pub vm: Name,
    /// Incarnation of the upstream's VM.
    pub incarnation: Incarnation,
    /// Milliseconds since the Unix epoch at which it was read.
    pub time: u64,
    /// Streams in the batch.
    pub running: u32,
    /// Streams waiting.
    pub waiting: u32,
    /// Prompt tokens not yet computed.
    pub prefill: u64,
    /// Prompt tokens computed in a millisecond.
    pub rate: f32,
    /// Duration of a step, in microseconds.
    pub step_us: u32,
    /// Streams that fit the batch.
    pub limit: u32,
    /// KV cache tokens that its link moves in a millisecond.
    pub link: f32,
}

/// A request that is refused because it lost upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// Digest of the request.
    pub digest: Digest,
    /// Names and incarnations of the VMs it lost.
    pub losses: Vec<(Name, Incarnation)>,
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
    /// Heartbeats of the sender's failure domain, and of some others.
    pub beats: Vec<Beat>,
    /// VMs that are leaving.
    pub leaving: Vec<(Name, Incarnation)>,
    /// The sender's own demand counters.
    pub usage: Vec<Usage>,
    /// The freshest upstream loads; only within a failure domain.
    pub loads: Vec<LoadDigest>,
    /// Refused requests.
    pub refused: Vec<Refused>,
}
