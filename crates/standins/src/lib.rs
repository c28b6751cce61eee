//! Small stand-ins for the systems around lycheehaven, for tests, experiments
//! and the quickstart.
//!
//! Each server runs on a thread of its own with its own event loop, and can be
//! killed at any moment as if its VM vanished. State that tests drive or
//! inspect sits behind a mutex in the handle. The example target `standin`
//! runs each of them as a separate process.

mod client;
mod cluster;
mod engine;
mod engine_api;
mod process_usage;
mod platform;
mod platform_api;
mod entry_process;
mod proxy;
mod server;
mod service;

pub use client::Client;
pub use client::Received;
pub use client::TokenStream;
pub use cluster::Cluster;
pub use cluster::OPERATOR_KEY;
pub use cluster::OTHER_WORKSPACE_KEY;
pub use cluster::WORKSPACE_KEY;
pub use cluster::ephemeral_addr;
pub use cluster::wait_until;
pub use engine::EngineParams;
pub use engine::EngineState;
pub use engine::Execution;
pub use engine::answer_token;
pub use engine::full_answer;
pub use engine_api::Engine;
pub use process_usage::ProcessUsage;
pub use platform::CallCounts;
pub use platform::PlatformState;
pub use platform_api::Platform;
pub use entry_process::EntryProcess;
pub use proxy::Fault;
pub use proxy::Proxy;
pub use server::ServerThread;
pub use service::Call;
pub use service::PlainService;
pub use service::ServiceState;
