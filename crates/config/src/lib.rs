//! Per-process settings and the system-wide declared configuration.
//!
//! [`Settings`] belong to one process and come from a TOML file, which is
//! validated before anything starts. [`DeclaredConfig`] is what operators
//! declare for the whole system. It is stored in the platform's object API
//! under a configuration number and changes only by a [`Patch`] against that
//! number.

mod check;
mod declared_config;
mod patch;
mod settings;

pub use check::Problem;
pub use check::SettingsError;
pub use declared_config::AcceptedPatch;
pub use declared_config::CallRule;
pub use declared_config::DeclaredConfig;
pub use declared_config::Service;
pub use declared_config::ServiceKind;
pub use declared_config::Workspace;
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
