//! How the end of a response's body is marked.

use hyper::HeaderMap;
use hyper::header::CONTENT_LENGTH;
use hyper::header::TRANSFER_ENCODING;

/// How the end of a response's body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The body has a declared length.
    Length,
    /// The body ends with a final chunk.
    Chunked,
    /// The body ends when the connection is closed. A sender that fails closes the
    /// connection as well, so such a body may end early without an error.
    UntilClose,
}

impl Framing {
    /// Returns the framing that the headers of a response declare.
    pub fn of(headers: &HeaderMap) -> Self {
        if let Some(coding) = headers.get_all(TRANSFER_ENCODING).iter().next_back() {
            // Only a body whose last transfer coding is `chunked` marks its own end.
            let last = coding
                .to_str()
                .ok()
                .and_then(|text| text.rsplit(',').next());
            let chunked = last.is_some_and(|name| name.trim().eq_ignore_ascii_case("chunked"));
            return if chunked {
                Self::Chunked
            } else {
                Self::UntilClose
            };
        }
        if headers.contains_key(CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::UntilClose
        }
    }

    /// Returns a short name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "until_close",
        }
    }
}
