//! Clients of the platform's APIs.
//!
//! [`ObjectApi`] stores all durable state as versioned objects with conditional
//! updates and watches. [`CloudApi`] lists, creates and deletes VMs, and delivers
//! reclaim notices. [`PutOutcome`] and [`CreateOutcome`] state whether a write took
//! effect, or that this is unknown.

mod cloud;
mod lists;
mod objects;

pub use cloud::CloudApi;
pub use cloud::CreateOutcome;
pub use cloud::Notice;
pub use cloud::Notices;
pub use cloud::Vm;
pub use cloud::VmList;
pub use cloud::VmSpec;
pub use cloud::VmState;
pub use objects::Condition;
pub use objects::ListedObject;
pub use objects::Object;
pub use objects::ObjectApi;
pub use objects::PutOutcome;
pub use objects::Unavailable;
pub use objects::Version;
pub use objects::WatchOutcome;
