//! The daemon of every entry VM.

use std::path::Path;
use std::process::ExitCode;

use eyre::Result;
use eyre::WrapErr;
use getopts::Options;
use lycheehaven_config::Settings;

const USAGE: &str = "Usage: lycheehaven [--check] FILE
       lycheehaven [--check] gateway FILE

The first form runs an entry with lycheehaven's own API. The second runs a
gateway, whose routes the platform's operator declares.";

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
    let check = matches.opt_present("check");
    match matches.free.as_slice() {
        [mode, file] if mode == "gateway" => gateway(file, check),
        [file] => entry(file, check),
        _ => usage_error("exactly one settings FILE is needed"),
    }
}

fn gateway(file: &str, check: bool) -> ExitCode {
    let settings = match lycheehaven_gateway::Settings::load(Path::new(file)) {
        Ok(settings) => settings,
        Err(cause) => {
            eprintln!("{cause}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if check {
        return print(&format!("{file}: settings are valid"));
    }
    let level = settings.log_level.parse().unwrap_or(log::LevelFilter::Info);
    finish(run(level, lycheehaven_gateway::run(settings, file.into())))
}

fn entry(file: &str, check: bool) -> ExitCode {
    let settings = match Settings::load(Path::new(file)) {
        Ok(settings) => settings,
        Err(cause) => {
            eprintln!("{cause}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if check {
        return print(&format!("{file}: settings are valid"));
    }
    let entry = lycheehaven_entry::run(settings);
    finish(run(log::LevelFilter::Info, entry))
}

fn finish(result: Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("lycheehaven: {cause:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(level: log::LevelFilter, daemon: impl Future<Output = Result<()>>) -> Result<()> {
    lycheehaven_logs::start(level)?;
    let runtime = compio::runtime::Runtime::new().wrap_err("creating the event loop")?;
    runtime.block_on(daemon)
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
