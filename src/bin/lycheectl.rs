//! The operators' command-line client.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(cause) => {
            eprintln!("lycheectl: creating the event loop: {cause}");
            return ExitCode::FAILURE;
        }
    };
    let code = runtime.block_on(lycheehaven_ctl::run(&args));
    ExitCode::from(code as u8)
}
