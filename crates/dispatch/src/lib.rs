//! Selection of an upstream for a request, without I/O.
//!
//! [`LoadTracker`] holds the known load of each upstream: this entry's own requests,
//! the requests that peers report, the load that the upstream reports with its
//! responses, and its recent failures. [`Pauses`] holds which upstreams asked for no
//! requests, and [`eligible()`] returns those that may get one at all. Of these [`choose()`]
//! selects one: it weighs the load against the prompt parts that an upstream has cached.
//! [`Activity`] holds when an upstream was last heard, and [`Silence`] decides whether a
//! run that is silent goes on elsewhere.

mod activity;
mod choose;
mod eligible;
mod load;
mod load_tracker;
mod pauses;
mod prefix_cache;
mod silence;
mod stop_times;

pub use activity::Activity;
pub use choose::Choice;
pub use choose::CostModel;
pub use choose::Query;
pub use choose::TrialQuery;
pub use choose::choose;
pub use eligible::Ineligible;
pub use eligible::eligible;
pub use load::Load;
pub use load::LoadPart;
pub use load::LoadReport;
pub use load::PRIORITY_LEVELS;
pub use load_tracker::LoadTracker;
pub use load_tracker::ObservedLoad;
pub use pauses::Pause;
pub use pauses::Pauses;
pub use silence::Candidate;
pub use silence::MAX_OVERLAP;
pub use silence::SOUND_PAUSE;
pub use silence::STREAM_SILENCE;
pub use silence::Silence;
pub use silence::Verdict;
pub use silence::is_silent;
pub use stop_times::StopTimes;
