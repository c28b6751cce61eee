//! Idempotency keys and the objects that store their claims.

use std::fmt;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use lycheehaven_types::Digest;
use serde::Deserialize;
use serde::Serialize;

/// Number of shards over which claims are spread.
pub const SHARD_COUNT: u64 = 16;

/// Range of key timestamps whose claims share an object.
pub const BUCKET_SPAN: Duration = Duration::from_secs(10);

/// Tolerated clock skew: a key's timestamp may lie this far in the future.
const CLOCK_SKEW: Duration = Duration::from_secs(60);

/// Identifies the object that stores the claim of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ShardId {
    /// Bucket of the key's timestamp, counted in [`BUCKET_SPAN`]s from the Unix
    /// epoch.
    pub bucket: u64,
    /// Shard of the key.
    pub shard: u64,
}

impl ShardId {
    /// Returns the key of the object in the platform's object store.
    pub fn object_key(&self) -> String {
        format!("claims/{}/{}", self.shard, self.bucket)
    }

    /// Parses a key formatted by [`ShardId::object_key`].
    pub fn parse(object_key: &str) -> Option<Self> {
        let (shard, bucket) = object_key.strip_prefix("claims/")?.split_once('/')?;
        Some(Self {
            bucket: bucket.parse().ok()?,
            shard: shard.parse().ok()?,
        })
    }

    /// Returns whether all keys of this object have expired at every entry: they
    /// are older than `keep`, with an allowance for clock skew.
    pub fn is_expired(&self, keep: Duration, wall: SystemTime) -> bool {
        let end = BUCKET_SPAN.as_millis() as u64 * (self.bucket + 1);
        // A key is refused once it is older than `keep`. Twice the skew covers entries
        // whose clocks are behind this one's.
        let expiry = end + (keep + CLOCK_SKEW * 2).as_millis() as u64;
        expiry <= unix_millis(wall)
    }
}

/// Reason why a key is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyError {
    /// The key is not a UUID of version 7.
    Malformed,
    /// The claims of its time are no longer kept.
    Expired,
    /// Its timestamp lies too far in the future.
    Future,
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "the idempotency key is not a UUID of version 7",
            Self::Expired => "the idempotency key is older than the retention period of claims",
            Self::Future => "the idempotency key's timestamp lies in the future",
        })
    }
}

impl std::error::Error for KeyError {}

/// Validates a key of `workspace` and returns its digest and the object that
/// stores its claim. The digest covers the workspace, so that equal keys of two
/// workspaces do not collide.
///
/// # Errors
/// If the key is malformed, older than `keep`, or too far in the future.
pub fn parse_key(
    workspace: &str,
    key: &str,
    keep: Duration,
    wall: SystemTime,
) -> Result<(Digest, ShardId), KeyError> {
    let time = uuid_timestamp(key).ok_or(KeyError::Malformed)?;
    let now = unix_millis(wall);
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

fn uuid_timestamp(key: &str) -> Option<u64> {
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

fn unix_millis(wall: SystemTime) -> u64 {
    wall.duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}
