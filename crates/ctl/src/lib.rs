//! The operators' command-line client.
//!
//! [`run`] parses the command, calls the operator API of an entry and prints a
//! table or, with `--json`, the answer itself. Exit codes distinguish a refusal
//! from a missing answer; see [`ExitCode`].

mod client;
mod command;
mod config_cmd;
mod load;
mod output;
mod show;
mod verify;

pub use command::run;
pub use output::ExitCode;
