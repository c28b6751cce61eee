//! Which service and software began each stream that a caller may take up again, without
//! I/O.
//!
//! What two versions of an upstream's software write for one stream does not fit together.
//! So a stream that is taken up goes on only at the software that began it, which an entry
//! knows in one of two ways:
//!
//! - by a record: [`Origins`] holds those of this entry's streams, and what peers and the
//!   store say of others;
//! - without one: [`Served`] holds the software that may have begun streams which can still
//!   be taken up. A version is listed in the store before it gets its first stream, and
//!   stays listed until no stream of it can come back. If only one is listed, it began the
//!   stream.
//!
//! Records are written to the store only while several versions of a service are listed,
//! in the objects that [`Segments`] arranges. What neither way tells is unknown, and is never
//! guessed.

mod group;
mod origins;
mod segments;
mod served;
mod stream_key;

pub use group::Group;
pub use origins::Found;
pub use origins::MAX_RECORDS;
pub use origins::Origin;
pub use origins::Origins;
pub use segments::Segment;
pub use segments::Segments;
pub use served::LISTED_AFTER_END;
pub use served::Served;
pub use served::Situation;
pub use stream_key::StreamKey;
