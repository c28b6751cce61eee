//! Messages between an entry that asks for a permit and the issuer.

use std::time::Duration;

use lycheehaven_types::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::statements::Report;

/// Time from an ask on within which the request has to be written. A process that was
/// paused meanwhile must not use the permit.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(400);

/// Asks for a permit for one request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// Number of the ask at the sender.
    pub number: u64,
    /// Entry that asks.
    pub from: Name,
    /// What the sender knows of the upstream.
    pub report: Report,
}

/// Answer of an issuer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Number of the ask.
    pub number: u64,
    /// `None` if a permit is issued, otherwise the milliseconds after which to ask again.
    pub wait_ms: Option<u64>,
    /// What the issuer knows of the upstream.
    pub report: Option<Report>,
}
