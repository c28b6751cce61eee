//! Types shared by every other crate: names, identifiers, the clock and the
//! table of error kinds. This crate does no I/O.

mod clock;
mod error;
mod ids;
mod media_type;
pub mod raw_json;
mod request_rate;
mod retry_after;
mod revision;
mod sliding_sum;
mod stop_plan;

pub mod wire;
mod work_times;

pub use clock::Clock;
pub use clock::ManualClock;
pub use clock::SystemClock;
pub use error::ErrorBody;
pub use error::ErrorKind;
pub use error::Failure;
pub use error::Outcome;
pub use error::RetryAdvice;
pub use ids::Digest;
pub use ids::Incarnation;
pub use ids::Name;
pub use ids::RequestId;
pub use ids::rendezvous_order;
pub use media_type::is_event_stream;
pub use request_rate::RequestRate;
pub use request_rate::StatedRate;
pub use retry_after::MAX_PAUSE;
pub use retry_after::RetryAfter;
pub use revision::MAX_ERA;
pub use revision::checked_revision;
pub use revision::era_of;
pub use revision::number_of;
pub use revision::revision;
pub use sliding_sum::SlidingSum;
pub use stop_plan::StopPlan;
pub use wire::WireAmount;
pub use wire::WireCount;
pub use wire::WireDuration;
pub use work_times::RunNumber;
pub use work_times::WorkTimes;

/// Hash map with a fast, non-cryptographic hasher. Keys chosen by callers are
/// hashed to [`Digest`] before they are used here.
pub type HashMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with the hasher of [`HashMap`].
pub type HashSet<K> = rustc_hash::FxHashSet<K>;

/// The hasher of [`HashMap`].
pub type FastHasher = rustc_hash::FxHasher;
