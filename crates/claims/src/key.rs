//! Idempotency keys and the objects their claims live in.

use std::fmt;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use lycheehaven_types::Digest;
use serde::Deserialize;
use serde::Serialize;

/// Shards that claims are spread over.
pub const SHARD_COUNT: u64 = 16;

/// Span of key times whose claims share an object.
pub const BUCKET_SPAN: Duration = Duration::from_secs(10);

/// How far a key's time may lie in the future.
const CLOCK_SKEW: Duration = Duration::from_secs(60);

/// Names the object that holds the claim of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ShardId {
    /// Bucket of the key's time, counted from the Unix epoch.
    pub bucket: u64,
    /// Shard of the key.
    pub shard: u64,
}

impl ShardId {
    /// Key of the object in the platform.
    pub fn object_key(&self) -> String {
        format!("claims/{}/{}", self.shard, self.bucket)
    }

    /// Reverses [`ShardId::object_key`].
    pub fn parse(object_key: &str) -> Option<Self> {
        let (shard, bucket) = object_key.strip_prefix("claims/")?.split_once('/')?;
        Some(Self {
            bucket: bucket.parse().ok()?,
            shard: shard.parse().ok()?,
        })
    }

    /// Whether all keys of this object are older than `keep`.
    pub fn is_expired(&self, keep: Duration, wall: SystemTime) -> bool {
        let end = BUCKET_SPAN.as_millis() as u64 * (self.bucket + 1);
        // A key is refused once it is older than `keep`; another skew's worth
        // of time covers entries whose clocks are behind this one's.
        let expiry = end + (keep + CLOCK_SKEW * 2).as_millis() as u64;
        expiry <= millis(wall)
    }
}

/// Why a key is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyError {
    /// It is not a UUID of version 7.
    Malformed,
    /// Claims of its time are no longer kept.
    Expired,
    /// Its time lies in the future.
    Future,
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "the idempotency key is not a UUID of version 7",
            Self::Expired => "the idempotency key is older than claims are kept",
            Self::Future => "the idempotency key's time lies in the future",
        })
    }
}

impl std::error::Error for KeyError {}

/// Checks a key of `workspace` and finds its claim's object. The digest covers
/// the workspace, so that two of them can't meet in one key.
pub fn parse_key(
    workspace: &str,
    key: &str,
    keep: Duration,
    wall: SystemTime,
) -> Result<(Digest, ShardId), KeyError> {
    let time = uuid_time(key).ok_or(KeyError::Malformed)?;
    let now = millis(wall);
    if time > now + CLOCK_SKEW.as_millis() as u64 {
        return Err(KeyError::Future);
    }
    if time + (keep.as_millis() as u64) < now {
        return Err(KeyError::Expired);
    }
    let canonical = key.to_ascii_lowercase();
    let digest = Digest::of(&[workspace.as_bytes(), canonical.as_bytes()]);
    let shard = (digest.0 >> 64) as u64 % SHARD_COUNT;
    Ok((
        digest,
        ShardId {
            bucket: time / BUCKET_SPAN.as_millis() as u64,
            shard,
        },
    ))
}

fn uuid_time(key: &str) -> Option<u64> {
    let bytes = key.as_bytes();
    let dashes = [8, 13, 18, 23];
    let well_formed = bytes.len() == 36
        && bytes.iter().enumerate().all(|(index, byte)| {
            if dashes.contains(&index) {
                *byte == b'-'
            } else {
                byte.is_ascii_hexdigit()
            }
        });
    if !well_formed || bytes[14] != b'7' {
        return None;
    }
    let text = format!("{}{}", &key[..8], &key[9..13]);
    u64::from_str_radix(&text, 16).ok()
}

fn millis(wall: SystemTime) -> u64 {
    wall.duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}
