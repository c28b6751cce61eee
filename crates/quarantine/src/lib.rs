//! Finds what crashes upstreams, and decides which requests must not be sent.
//!
//! A request is recognized by its [`Feature`]s: the whole request, and each part of its
//! prompt that other requests may share. When an upstream goes down, every feature of
//! the requests that it was running may be the cause. Evidence tells them apart:
//!
//! - *Crashes.* A feature that crashes upstreams is in one crash after the other, at
//!   different upstreams and at different times. Crashes at the same time have a cause
//!   of their own, for example a failure domain, and count once.
//! - *Successes.* A feature of a request that was answered since is not the cause. A
//!   prompt part that many requests share is in many crashes by chance, and is cleared
//!   by the next answer.
//! - *Trials.* A feature with some crashes and no success since is suspect. Requests
//!   with it run one at a time, so that each outcome is clear and costs at most one
//!   upstream.
//!
//! Once chance no longer explains the crashes of a feature, it is quarantined at all
//! entries. After minutes a single request with it is let through: an answer lifts the
//! quarantine, and another crash prolongs it.
//!
//! [`Quarantine`] is the state of one entry. It does no I/O: the caller passes in what
//! happens to runs and what peers report, sends [`News`] to the peers, and stores the
//! [`Decision`]s.

mod admission;
mod crash;
mod decide;
mod decision;
mod error_rate;
mod exchange;
mod feature;
mod news;
mod quarantine;
mod rivals;
mod successes;
mod suspect;
mod trial;

pub use admission::Admission;
pub use crash::Progress;
pub use decision::Decision;
pub use feature::Feature;
pub use news::CrashReport;
pub use news::News;
pub use news::TrialReport;
pub use quarantine::BrokenRun;
pub use quarantine::Quarantine;
pub use suspect::LiftCall;
pub use suspect::Suspect;
pub use suspect::SuspectView;
