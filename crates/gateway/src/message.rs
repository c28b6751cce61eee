//! Messages between entries.

use std::time::Duration;

use lycheehaven_catalog::UpstreamKey;
use lycheehaven_dispatch::LoadPart;
use lycheehaven_duties::WindowCounts;
use lycheehaven_guard::SpendingSum;
use lycheehaven_origins::Group;
use lycheehaven_origins::StreamKey;
use lycheehaven_permits::Answer;
use lycheehaven_permits::Ask;
use lycheehaven_permits::Report;
use lycheehaven_quarantine::News;
use lycheehaven_types::Name;
use lycheehaven_types::wire;
use serde::Deserialize;
use serde::Serialize;

use crate::confirm::Confirmation;

/// Version of the message format.
const FORMAT_VERSION: u8 = 8;

/// What one datagram between entries holds.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Datagram {
    /// A periodic message.
    Message(Box<Message>),
    /// Asks the receiver for a permit to send a request to an upstream.
    Ask(Ask),
    /// Answers such an ask.
    Answer(Answer),
    /// What began streams of an entry, which the aggregators of its domain write to the store.
    Began(Name, Vec<Group>),
    /// Asks an aggregator what began these streams.
    FindOrigins(Vec<StreamKey>),
    /// What began streams that the receiver has asked for.
    Origins(Vec<Group>),
}

/// A periodic message of an entry. It also serves as heartbeat.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Message {
    pub(crate) status: Status,
    pub(crate) scope: Scope,
    pub(crate) counts: Counts,
}

/// The entries whose counts a message holds.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Scope {
    /// The sender.
    Entry,
    /// All entries of the sender's failure domain.
    Domain {
        domain: Name,
        silent: Vec<SilentEntry>,
    },
    /// All entries except the receiver.
    Fleet {
        silent: Vec<SilentEntry>,
        /// Confirms the configuration, in reply to the receiver's last report.
        confirmation: Option<Confirmation>,
    },
}

/// An entry that is silent, and for how many milliseconds, or `None` if the sender has
/// never heard it.
pub(crate) type SilentEntry = (Name, Option<u64>);

/// What the sender states about itself, and the news that it passes on.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Status {
    pub(crate) from: Name,
    pub(crate) incarnation: u64,
    /// Milliseconds since the sender's process started.
    pub(crate) uptime_ms: u64,
    /// Wall-clock time in milliseconds since the Unix epoch: that of the sender, or
    /// of the entries that it sums up.
    #[serde(deserialize_with = "wire::unix_millis")]
    pub(crate) wall_ms: i64,
    /// Upstreams recently found to be leaving.
    pub(crate) leaving: Vec<UpstreamKey>,
    /// Upstreams whose registrations are missing, with the store's revision.
    pub(crate) gone: Vec<(UpstreamKey, u64)>,
    /// Request rates that upstreams state.
    pub(crate) rates: Vec<Report>,
    /// What is known of features of requests that crash upstreams.
    pub(crate) news: News,
    /// What began the sender's latest streams, in its reports.
    pub(crate) origins: Vec<Group>,
    /// Milliseconds since a holder of the lease was last known, 0 if the sender
    /// holds it.
    pub(crate) holder_age: Option<u64>,
    /// Version of the configuration in force at the sender, 0 if none.
    pub(crate) version: u64,
    /// Milliseconds since the sender's last current response of the store about
    /// upstreams, if it follows the store.
    pub(crate) store_age: Option<u64>,
}

/// Counts of the entries in a message's scope.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Counts {
    /// Quota units spent in the last window.
    pub(crate) spending: SpendingSum,
    /// Quota units that callers requested in the last second, by workspace.
    #[serde(deserialize_with = "wire::named_amounts")]
    pub(crate) requested: Vec<(Name, f64)>,
    /// Requests that upstreams started, by window and workspace.
    pub(crate) usage: Vec<WindowCounts>,
    /// Load caused at upstreams; `None` in digests between two that state it.
    pub(crate) loads: Option<LoadPart>,
    /// Engine time that callers recently requested, in milliseconds, by service.
    #[serde(deserialize_with = "wire::named_amounts")]
    pub(crate) demand: Vec<(Name, f64)>,
}

impl Datagram {
    /// Encodes the format version and the content as MessagePack.
    pub(crate) fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(&(FORMAT_VERSION, self)).expect("messages serialize to MessagePack")
    }

    /// Decodes a datagram. Returns `None` if it has another format version.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Option<Self>, rmp_serde::decode::Error> {
        // The version is the first element of an array of two.
        if bytes.get(1) != Some(&FORMAT_VERSION) {
            return Ok(None);
        }
        rmp_serde::from_slice::<(u8, Self)>(bytes).map(|(_, datagram)| Some(datagram))
    }
}

/// Encodes the silent entries of a roster.
pub(crate) fn encode_silent(silent: Vec<(Name, Option<Duration>)>) -> Vec<SilentEntry> {
    silent
        .into_iter()
        .map(|(name, duration)| (name, duration.map(|duration| duration.as_millis() as u64)))
        .collect()
}

/// Decodes what [`encode_silent`] encoded.
pub(crate) fn decode_silent(silent: Vec<SilentEntry>) -> Vec<(Name, Option<Duration>)> {
    silent
        .into_iter()
        .map(|(name, millis)| (name, millis.map(Duration::from_millis)))
        .collect()
}
