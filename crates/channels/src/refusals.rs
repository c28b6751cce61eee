//! The refusals that came on a connection.

use hyper::header::HeaderValue;

/// Refusals after which a connection is not used again, so that what is remembered of it
/// is bounded.
const MAX_REFUSALS: usize = 64;

/// Identifiers of the requests that were refused on a connection.
///
/// An upstream may write a refusal once more when the next request is on its way. So a
/// response belongs to a request if it carries its identifier, and this request was not
/// refused on the same connection before. A response without identifier belongs to the
/// request that waits only if none came on the connection before, so a connection is not
/// kept after one.
#[derive(Debug, Default)]
pub struct Refusals {
    requests: Vec<HeaderValue>,
    has_unidentified: bool,
}

impl Refusals {
    /// Records that the request with this identifier was refused, `None` for a refusal
    /// that carries none.
    pub fn record(&mut self, request: Option<&HeaderValue>) {
        match request {
            Some(request) => self.requests.push(request.clone()),
            None => self.has_unidentified = true,
        }
    }

    /// Whether the request with this identifier was refused on the connection.
    pub fn contains(&self, request: &HeaderValue) -> bool {
        self.requests.contains(request)
    }

    /// Whether a response that carries the identifier `stated` belongs to `request`, which
    /// was sent on the connection and waits for its response.
    pub fn allow(&self, request: Option<&HeaderValue>, stated: Option<&HeaderValue>) -> bool {
        match stated {
            Some(stated) => request == Some(stated) && !self.contains(stated),
            None => !self.has_unidentified,
        }
    }

    /// Whether the connection may carry another request.
    pub fn allow_reuse(&self) -> bool {
        !self.has_unidentified && self.requests.len() < MAX_REFUSALS
    }
}
