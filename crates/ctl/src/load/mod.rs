//! `lycheectl load`: an open-loop load run from a scenario.
//!
//! Requests begin at times drawn from the scenario's seed, however long earlier
//! ones take, and latencies count from those times, so that a slow system can't
//! hide behind the load it holds back.

mod report;
mod request;
mod scenario;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;

use crate::client::CtlError;
use crate::load::report::Report;
use crate::load::request::Sample;
use crate::load::scenario::Arrival;
use crate::load::scenario::Scenario;
use crate::output::ExitCode;

/// Options of a load run.
pub(crate) struct LoadOptions {
    /// Entries, which requests go to in turn.
    pub(crate) entries: Vec<SocketAddr>,
    /// Replaces the scenario's seed.
    pub(crate) seed: Option<u64>,
    /// File that the history is written to.
    pub(crate) history: Option<String>,
    /// Whether to print JSON.
    pub(crate) json: bool,
}

/// Runs the scenario in `file` and prints its report.
pub(crate) async fn run(file: &str, options: &LoadOptions) -> Result<ExitCode, CtlError> {
    let scenario = Scenario::load(Path::new(file)).map_err(CtlError::usage)?;
    let seed = options.seed.unwrap_or(scenario.seed);
    let arrivals = scenario.arrivals(seed);
    let start = Instant::now();
    let requests = arrivals.iter().map(|arrival| {
        let addr = options.entries[arrival.index % options.entries.len()];
        begin(&scenario, arrival, addr, start)
    });
    let samples: Vec<Sample> = join_all(requests).await;
    let report = Report::new(&scenario, seed, &arrivals, &samples, start.elapsed());
    if let Some(path) = &options.history {
        std::fs::write(path, report::history(&samples))
            .map_err(|cause| CtlError::usage(format!("{path}: {cause}")))?;
    }
    report.print(options.json);
    Ok(ExitCode::Done)
}

async fn begin(scenario: &Scenario, arrival: &Arrival, addr: SocketAddr, start: Instant) -> Sample {
    compio::time::sleep(arrival.at.saturating_sub(start.elapsed())).await;
    let due = start + arrival.at;
    let mix = &scenario.mix[arrival.mix];
    let limit = Duration::from_secs(scenario.patience_s);
    request::send(mix, arrival, addr, start, due, limit).await
}
