//! Reports panics as log lines, and counts them.

use std::panic::PanicHookInfo;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

static PANICS: AtomicU64 = AtomicU64::new(0);

/// Returns the number of panics since the start of the process.
pub fn panics() -> u64 {
    PANICS.load(Ordering::Relaxed)
}

/// Makes each panic a log line with its place and message. Without it, a panic is a text
/// on standard error that holds no time.
pub(crate) fn report_panics() {
    std::panic::set_hook(Box::new(report));
}

fn report(info: &PanicHookInfo<'_>) {
    let count = PANICS.fetch_add(1, Ordering::Relaxed) + 1;
    let place = info.location().map(ToString::to_string);
    log::error!(
        target: "lycheehaven",
        place = place.as_deref().unwrap_or("-"),
        cause = info.payload_as_str().unwrap_or("-"),
        panics = count;
        "a task panicked"
    );
}
