//! Stand-ins for the systems around lycheehaven, for tests, experiments and the
//! quickstart.
//!
//! Each server has its own thread and event loop and can be killed at any time,
//! as if its VM was lost. State that tests modify or inspect is behind a mutex
//! in the handle. The example target `standin` runs each server as a separate
//! process.

mod client;
mod cluster;
mod cut_response;
mod engine;
mod engine_api;
mod entry_process;
mod platform;
mod platform_api;
mod process_usage;
mod proxy;
mod raw_server;
mod server;
mod service;
mod window;

pub use client::Client;
pub use client::Received;
pub use client::TokenStream;
pub use cluster::Cluster;
pub use cluster::OPERATOR_KEY;
pub use cluster::OTHER_WORKSPACE_KEY;
pub use cluster::WORKSPACE_KEY;
pub use cluster::ephemeral_addr;
pub use cluster::wait_until;
pub use cut_response::Cut;
pub use cut_response::CutFraming;
pub use cut_response::CutResponse;
pub use engine::EngineParams;
pub use engine::EngineState;
pub use engine::Execution;
pub use engine::SilentAt;
pub use engine::answer_token;
pub use engine::full_answer;
pub use engine::software_answer;
pub use engine_api::Engine;
pub use entry_process::EntryProcess;
pub use platform::CallCounts;
pub use platform::PlatformState;
pub use platform_api::Platform;
pub use process_usage::ProcessUsage;
pub use proxy::Fault;
pub use proxy::Proxy;
pub use raw_server::RawRequest;
pub use raw_server::RawServer;
pub use raw_server::connect_with_buffer;
pub use raw_server::read_request;
pub use raw_server::reset_on_close;
pub use raw_server::write_endlessly;
pub use server::ServerThread;
pub use service::Call;
pub use service::PlainService;
pub use service::ServiceState;
pub use window::most_in_window;
