//! The two kinds of configuration.
//!
//! [`Settings`] belong to one process and come from a TOML file that is checked
//! whole before anything starts. [`Declared`] is what operators declare for the
//! whole system; it lives in the platform's object API under a number, and
//! changes only by a [`Patch`] against that number.

mod check;
mod declared;
mod patch;
mod settings;

pub use check::Problem;
pub use check::SettingsError;
pub use declared::CallRule;
pub use declared::Change;
pub use declared::Declared;
pub use declared::Service;
pub use declared::ServiceKind;
pub use declared::Workspace;
pub use patch::Patch;
pub use patch::PatchError;
pub use settings::DrainSettings;
pub use settings::EvacuationPolicy;
pub use settings::PlacementPolicy;
pub use settings::PlacementSettings;
pub use settings::PlatformSettings;
pub use settings::RoutingPolicy;
pub use settings::RoutingSettings;
pub use settings::Settings;
pub use settings::StreamSettings;
pub use settings::TimingSettings;
