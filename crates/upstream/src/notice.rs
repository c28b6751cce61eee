//! What responses say of the upstreams that sent them.

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::RETRY_AFTER;
use lycheehaven_types::RetryAfter;
use lycheehaven_types::StatedRate;

/// Header with which an upstream states in each response that it is leaving.
pub const LEAVING_HEADER: &str = "x-upstream-leaving";

/// Header in which an upstream states how many requests a second it takes from all
/// entries together.
pub const RATE_HEADER: &str = "x-upstream-request-rate";

/// What a response says of the upstream that sent it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UpstreamNotice {
    /// Whether the upstream is leaving.
    pub leaving: bool,
    /// Time for which the upstream wants no requests from this entry.
    pub pause: Option<RetryAfter>,
    /// Requests a second that the upstream takes from all entries together.
    pub rate: Option<StatedRate>,
}

impl UpstreamNotice {
    /// Decodes the notice in a response.
    pub fn of(status: StatusCode, headers: &HeaderMap) -> Self {
        let pause = headers
            .get(RETRY_AFTER)
            .filter(|_| status == StatusCode::SERVICE_UNAVAILABLE)
            .map(|value| RetryAfter::parse(value.to_str().unwrap_or_default()));
        let rates = headers.get_all(RATE_HEADER).iter();
        Self {
            leaving: headers
                .get(LEAVING_HEADER)
                .is_some_and(|value| value == "1"),
            pause,
            rate: StatedRate::parse(rates.map(|value| value.to_str().ok())),
        }
    }
}
