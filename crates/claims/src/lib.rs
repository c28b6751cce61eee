//! At-most-once claims on the platform's conditional updates.
//!
//! An idempotency key is a UUID of version 7, whose time says which object its
//! claim lives in: claims are spread over [`SHARD_COUNT`] shards and one object per
//! shard and [`BUCKET_SPAN`] of time, so that an object stops growing by itself and
//! is deleted whole once its keys are too old to be accepted. A [`Shard`]
//! commits all claims that wait as one conditional update. That update alone
//! decides; who performs it only saves conflicts.
//!
//! A claim is never freed by a timeout. Only the process that holds it can
//! record that the request was not sent.

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
