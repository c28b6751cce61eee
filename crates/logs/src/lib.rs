//! Structured log lines that never block the event loop.
//!
//! [`start`] installs a log4rs appender that writes JSON lines to standard
//! output without waiting for the reader. Lines beyond [`LINES_PER_SECOND`] of
//! one severity, and lines for which a pipe has no room, are dropped. The next
//! line that is written reports how many were dropped. A panic is a line as well.

mod appender;
mod encode;
mod panics;
mod rate;

pub use appender::dropped_lines;
pub use encode::MAX_LINE_BYTES;
pub use encode::encode;
pub use panics::panics;
pub use rate::LINES_PER_SECOND;
pub use rate::LineBudget;

use eyre::Result;
use eyre::WrapErr;
use log::LevelFilter;
use log4rs::config::Appender;
use log4rs::config::Root;

/// Starts logging to standard output from `level` upwards, of panics too.
///
/// # Errors
/// If a logger is already installed.
pub fn start(level: LevelFilter) -> Result<()> {
    let appender = appender::LineAppender::new();
    let config = log4rs::Config::builder()
        .appender(Appender::builder().build("out", Box::new(appender)))
        .build(Root::builder().appender("out").build(level))
        .wrap_err("building the log configuration")?;
    log4rs::init_config(config).wrap_err("starting logging")?;
    panics::report_panics();
    Ok(())
}
