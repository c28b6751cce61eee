//! The daemon of every entry VM.

use std::path::Path;
use std::process::ExitCode;

use eyre::Result;
use eyre::WrapErr;
use getopts::Options;
use lycheehaven_config::Settings;

const USAGE: &str = "Usage: lycheehaven [--check] FILE";

/// Exit code for bad arguments or settings.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optflag("c", "check", "check the settings file and exit");
    options.optflag("v", "version", "print the version");
    options.optflag("h", "help", "print this help");
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(cause) => return usage_error(&cause.to_string()),
    };
    if matches.opt_present("help") {
        return print(options.usage(USAGE).trim_end());
    }
    if matches.opt_present("version") {
        return print(concat!("lycheehaven ", env!("CARGO_PKG_VERSION")));
    }
    let [file] = matches.free.as_slice() else {
        return usage_error("exactly one settings FILE is needed");
    };
    let settings = match Settings::load(Path::new(file)) {
        Ok(settings) => settings,
        Err(cause) => {
            eprintln!("{cause}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if matches.opt_present("check") {
        return print(&format!("{file}: settings are valid"));
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("lycheehaven: {cause:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: Settings) -> Result<()> {
    lycheehaven_entry::start_logging(log::LevelFilter::Info)?;
    let runtime = compio::runtime::Runtime::new().wrap_err("creating the event loop")?;
    runtime.block_on(lycheehaven_entry::run(settings))
}

#[allow(clippy::print_stdout)]
fn print(text: &str) -> ExitCode {
    println!("{text}");
    ExitCode::SUCCESS
}

fn usage_error(message: &str) -> ExitCode {
    eprintln!("lycheehaven: {message}\n{USAGE}");
    ExitCode::from(EXIT_USAGE)
}
