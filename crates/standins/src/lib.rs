//! Small stand-ins for the systems around lycheehaven, for tests, experiments
//! and the quickstart.
//!
//! Each server runs on a thread of its own with its own event loop, and can be
//! killed at any moment as if its VM vanished. State that tests drive or
//! inspect sits behind a mutex in the handle. The example target `standin`
//! runs each of them as a separate process.

mod caller;
mod cluster;
mod engine;
mod engine_api;
mod measure;
mod platform;
mod platform_api;
mod process;
mod proxy;
mod server;
mod service;

pub use caller::Client;
pub use caller::Received;
pub use caller::TokenStream;
pub use cluster::Cluster;
pub use cluster::OPERATOR_KEY;
pub use cluster::OTHER_KEY;
pub use cluster::WORKSPACE_KEY;
pub use cluster::any_port;
pub use cluster::wait_until;
pub use engine::EngineParams;
pub use engine::EngineState;
pub use engine::Execution;
pub use engine::answer_token;
pub use engine::whole_answer;
pub use engine_api::Engine;
pub use measure::Usage;
pub use platform::CallCounts;
pub use platform::PlatformState;
pub use platform_api::Platform;
pub use process::EntryProcess;
pub use proxy::Fault;
pub use proxy::Proxy;
pub use server::ServerThread;
pub use service::Call;
pub use service::PlainService;
pub use service::ServiceState;
