//! Helpers shared by the measuring examples.

use std::path::Path;

use lycheehaven_config::Settings;

/// Runs an entry in this process, which an example started as its child.
pub(crate) fn run_entry(file: &Path) {
    let settings = Settings::load(file).expect("generated settings are valid");
    lycheehaven_logs::start(log::LevelFilter::Info).expect("logging starts");
    let runtime = compio::runtime::Runtime::new().expect("event loop can be created");
    runtime
        .block_on(lycheehaven_entry::run(settings))
        .expect("entry runs");
}

/// Prints a line of a table.
#[allow(clippy::print_stdout)]
pub(crate) fn print_line(text: impl AsRef<str>) {
    println!("{}", text.as_ref());
}
