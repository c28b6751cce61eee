//! At-most-once claims based on the platform's conditional updates.
//!
//! An idempotency key is a UUID of version 7. Claims are spread over
//! [`SHARD_COUNT`] shards, each with one object per [`BUCKET_SPAN`] of key
//! timestamps, so that an object stops growing and can be deleted once its keys
//! are too old to be accepted. A [`Shard`] commits all pending claims in one
//! conditional update. Only that update decides which claim holds a key;
//! assigning shards to entries merely reduces conflicts.
//!
//! A claim never times out. Only the process that holds it can record that the
//! request was not sent.

mod key;
mod shard;

pub use key::BUCKET_SPAN;
pub use key::KeyError;
pub use key::SHARD_COUNT;
pub use key::ShardId;
pub use key::parse_key;
pub use shard::Claim;
pub use shard::ClaimReply;
pub use shard::ClaimState;
pub use shard::Shard;
pub use shard::ShardAction;
pub use shard::ShardEvent;
pub use shard::Ticket;
