//! Identification of a stream.

use lycheehaven_types::Digest;
use serde::Deserialize;
use serde::Serialize;

/// Bits of a key. Each fits into a number of any JSON decoder, and among a million streams
/// that are recorded at once, one that isn't is mistaken with a probability of 4e-9.
const KEY_BITS: u32 = 48;

/// Hash of a stream's workspace and of the identifier of the attempt that brought its first
/// event. Both are chosen by callers and of any length, so only the hash is kept. The same
/// identifier in another workspace is another stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Returns the key of the stream that attempt `id` began.
    pub fn new(workspace: Option<&str>, id: &[u8]) -> Self {
        let workspace = workspace.unwrap_or_default();
        let digest = Digest::of(&[workspace.as_bytes(), id]).0;
        let folded = (digest >> u64::BITS) as u64 ^ digest as u64;
        Self(mix(folded) >> (u64::BITS - KEY_BITS))
    }
}

/// Spreads a difference in any bit over all of them (the finalizer of SplitMix64). Those of
/// the digests of similar texts are alike.
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
