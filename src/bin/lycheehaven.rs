//! The daemon that runs on every entry VM.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use eyre::Result;
use eyre::WrapErr;
use getopts::Options;
use lycheehaven_config::Settings;

const USAGE: &str = "Usage: lycheehaven [--check] FILE
       lycheehaven [--check] gateway FILE

The first form runs an entry with lycheehaven's own API. The second runs a
gateway, whose routes the platform's operator declares.";

/// Delay before invalid settings of a gateway are read again.
const SETTINGS_RETRY: Duration = Duration::from_secs(1);

/// Exit code for invalid arguments or settings.
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
    let path = Path::new(file);
    if check {
        return match lycheehaven_gateway::Settings::load(path) {
            Ok(_) => print(&format!("{file}: settings are valid")),
            Err(cause) => settings_error(&cause.to_string()),
        };
    }
    if let Err(cause) = lycheehaven_logs::start(log::LevelFilter::Info) {
        return exit_code(Err(cause));
    }
    let settings = wait_for_settings(path);
    log::set_max_level(settings.log_level.parse().unwrap_or(log::LevelFilter::Info));
    exit_code(run(lycheehaven_gateway::run(settings, file.into())))
}

/// Reads the settings until they are valid. The platform writes them, and it would
/// only restart a process that exits.
fn wait_for_settings(path: &Path) -> lycheehaven_gateway::Settings {
    loop {
        match lycheehaven_gateway::Settings::load(path) {
            Ok(settings) => return settings,
            Err(cause) => {
                let cause = cause.to_string();
                log::error!(target: "lycheehaven", cause = cause.as_str(); "the settings are invalid; waiting for valid ones");
            }
        }
        std::thread::sleep(SETTINGS_RETRY);
    }
}

fn entry(file: &str, check: bool) -> ExitCode {
    let settings = match Settings::load(Path::new(file)) {
        Ok(settings) => settings,
        Err(cause) => return settings_error(&cause.to_string()),
    };
    if check {
        return print(&format!("{file}: settings are valid"));
    }
    if let Err(cause) = lycheehaven_logs::start(log::LevelFilter::Info) {
        return exit_code(Err(cause));
    }
    exit_code(run(lycheehaven_entry::run(settings)))
}

fn exit_code(result: Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("lycheehaven: {cause:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(daemon: impl Future<Output = Result<()>>) -> Result<()> {
    let runtime = compio::runtime::Runtime::new().wrap_err("creating the event loop")?;
    runtime.block_on(daemon)
}

fn settings_error(cause: &str) -> ExitCode {
    eprintln!("{cause}");
    ExitCode::from(EXIT_USAGE)
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
