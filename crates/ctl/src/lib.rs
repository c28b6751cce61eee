//! The operators' command-line client.
//!
//! [`run`] parses the command, calls one entry's operator API and prints a
//! table or, with `--json`, the answer itself. Exit codes tell a refusal from
//! an answer that never came; see [`ExitCode`].

mod client;
mod command;
mod config_cmd;
mod load;
mod output;
mod show;
mod verify;

pub use command::run;
pub use output::ExitCode;
