//! Names and identifiers.

use std::fmt;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde::Deserialize;
use serde::Serialize;

/// A shared immutable name: of a service, workspace, failure domain or VM.
pub type Name = Arc<str>;

/// Identifies one run of a process or VM among those that share a name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Generates the incarnation of a process that starts at `wall`: the
    /// milliseconds since the Unix epoch, followed by the low 20 bits of
    /// `random`.
    pub fn generate(wall: SystemTime, random: u64) -> Self {
        let millis = wall
            .duration_since(UNIX_EPOCH)
            .map_or(0, |time| time.as_millis() as u64);
        Self((millis << 20) | (random & 0xf_ffff))
    }
}

/// A 128-bit hash of bytes chosen by a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub u128);

const FNV_OFFSET: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
const FNV_PRIME: u128 = 0x0000_0000_0100_0000_0000_0000_0000_013b;

impl Digest {
    /// Hashes `parts` with 128-bit FNV-1a. Each part is prefixed with its
    /// length, so that moving a byte from one part to the next changes the
    /// result.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hash = FNV_OFFSET;
        for part in parts {
            for byte in part.len().to_le_bytes().iter().chain(part.iter()) {
                hash = (hash ^ u128::from(*byte)).wrapping_mul(FNV_PRIME);
            }
        }
        Self(hash)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Identifier of an accepted request, in the form `owner.replica.random`.
///
/// `owner` is the entry that accepted the request and `replica` the peer that
/// holds a copy of its record (`-` for none), so that any entry can find the
/// record. The random part has 122 bits and can't be guessed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestId(Name);

impl RequestId {
    /// Builds an identifier from its three parts.
    pub fn new(owner: &str, replica: Option<&str>, random: &str) -> Self {
        Self(format!("{owner}.{}.{random}", replica.unwrap_or("-")).into())
    }

    /// Parses an identifier received from a caller or a peer: three non-empty
    /// parts, 200 bytes at most.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('.');
        let non_empty = parts.by_ref().take(3).all(|part| !part.is_empty());
        let complete = text.split('.').count() == 3;
        (non_empty && complete && text.len() <= 200).then(|| Self(text.into()))
    }

    /// Returns the entry that accepted the request.
    pub fn owner(&self) -> &str {
        self.part(0)
    }

    /// Returns the peer that held the record's first replica, if any.
    pub fn replica(&self) -> Option<&str> {
        Some(self.part(1)).filter(|part| *part != "-")
    }

    /// Returns the identifier as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    fn part(&self, index: usize) -> &str {
        self.0.split('.').nth(index).unwrap_or_default()
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Orders `names` by rendezvous hash for `key`, best first. Every process that
/// knows the same names computes the same order.
pub fn rendezvous_order<'a>(key: &str, names: impl Iterator<Item = &'a Name>) -> Vec<&'a Name> {
    let mut scored: Vec<(u64, &Name)> = names.map(|name| (weight(key, name), name)).collect();
    scored.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(b.1)));
    scored.into_iter().map(|(_, name)| name).collect()
}

fn weight(key: &str, name: &str) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    key.hash(&mut hasher);
    name.hash(&mut hasher);
    // FxHasher leaves little entropy in the low bits; the final mix spreads it.
    let mixed = hasher.finish().wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 32)
}
