//! `lycheectl load`: an open-loop load run from a scenario.
//!
//! Requests start at times drawn from the scenario's seed, regardless of how long
//! earlier ones take, and latencies count from those times. A slow system thus
//! cannot reduce the load it is measured under (coordinated omission).

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
    /// Entries, which receive the requests in turn.
    pub(crate) entries: Vec<SocketAddr>,
    /// Overrides the scenario's seed.
    pub(crate) seed: Option<u64>,
    /// File to which the history is written.
    pub(crate) history: Option<String>,
    /// Whether to print the report as JSON.
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
        send_when_due(&scenario, arrival, addr, start)
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

async fn send_when_due(
    scenario: &Scenario,
    arrival: &Arrival,
    addr: SocketAddr,
    start: Instant,
) -> Sample {
    compio::time::sleep(arrival.at.saturating_sub(start.elapsed())).await;
    let due = start + arrival.at;
    let mix = &scenario.mix[arrival.mix];
    let timeout = Duration::from_secs(scenario.patience_s);
    request::send(mix, arrival, addr, start, due, timeout).await
}
