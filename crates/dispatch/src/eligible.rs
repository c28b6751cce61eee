//! Which upstreams a request may be sent to at all.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::Directory;
use lycheehaven_catalog::Upstream;
use lycheehaven_permits::Waits;

use crate::pauses::Pause;
use crate::pauses::Pauses;

/// Why no upstream may get a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ineligible {
    /// No other upstream of the service is ready.
    NoneReady,
    /// All ready upstreams want no requests. The pause is the first to end.
    AllPaused(Pause),
    /// All ready upstreams want no requests, or limit them and take none before this
    /// time has passed.
    AllLimited(Duration),
}

/// Returns the upstreams of `service` that may get a request for which `suits` holds: those
/// that are ready, not leaving, not paused, and for which there may be a permit if they
/// limit their requests.
///
/// # Errors
/// Returns why there is none.
pub fn eligible<'a>(
    directory: &'a Directory,
    pauses: &Pauses,
    waits: &Waits,
    service: &'a str,
    suits: impl Fn(&Upstream) -> bool,
    now: Instant,
) -> Result<Vec<&'a Upstream>, Ineligible> {
    let ready: Vec<&Upstream> = directory
        .ready(service)
        .filter(|upstream| suits(upstream))
        .collect();
    let eligible: Vec<&Upstream> = ready
        .iter()
        .filter(|upstream| !pauses.is_paused(&upstream.key, now))
        .filter(|upstream| waits.remaining(&upstream.key, now).is_zero())
        .copied()
        .collect();
    if !eligible.is_empty() {
        return Ok(eligible);
    }
    let keys = || ready.iter().map(|upstream| &upstream.key);
    let wait = waits.shortest(keys(), now);
    Err(match (wait, pauses.first_to_end(keys(), now)) {
        (Some(wait), _) => Ineligible::AllLimited(wait),
        (None, Some(pause)) => Ineligible::AllPaused(pause),
        (None, None) => Ineligible::NoneReady,
    })
}
