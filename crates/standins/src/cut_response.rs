//! A server whose responses stop at any byte, in every framing, by a close or a reset.

use std::io::Write;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream;

use crate::RawRequest;
use crate::RawServer;
use crate::reset_on_close;

/// Connections that are open at the same time.
const CONCURRENCY: usize = 16;

/// Time in which the client reads what was sent before the connection is reset.
const READ_TIME: Duration = Duration::from_millis(20);

/// Number of the first place, see [`Cut::number`].
const FIRST_NUMBER: u64 = 7_000_000;

/// How a response marks the end of its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutFraming {
    /// By a length.
    Length,
    /// By a final chunk.
    Chunked,
    /// By the close of the connection.
    UntilClose,
}

impl CutFraming {
    /// All framings.
    pub const ALL: [Self; 3] = [Self::Length, Self::Chunked, Self::UntilClose];
}

/// A whole response, of which a part is sent.
#[derive(Debug, Clone)]
pub struct CutResponse {
    bytes: Vec<u8>,
    /// Length of the head.
    head: usize,
    framing: CutFraming,
}

/// A place at which a response stops.
#[derive(Debug, Clone, Copy)]
pub struct Cut {
    /// Number of bytes that are sent.
    pub at: usize,
    /// Whether the connection is reset rather than closed.
    pub reset: bool,
}

impl CutResponse {
    /// Creates a response with status 200 and these header lines, whose body comes in these
    /// parts.
    pub fn new(framing: CutFraming, headers: &str, parts: &[impl AsRef<[u8]>]) -> Self {
        let parts = parts.iter().map(AsRef::as_ref);
        let length: usize = parts.clone().map(<[u8]>::len).sum();
        let declared = match framing {
            CutFraming::Length => format!("Content-Length: {length}\r\n"),
            CutFraming::Chunked => "Transfer-Encoding: chunked\r\n".into(),
            CutFraming::UntilClose => String::new(),
        };
        let mut bytes =
            format!("HTTP/1.1 200 OK\r\n{declared}{headers}Connection: close\r\n\r\n").into_bytes();
        let head = bytes.len();
        for part in parts {
            let [before, after] = match framing {
                CutFraming::Chunked => [format!("{:x}\r\n", part.len()), "\r\n".into()],
                CutFraming::Length | CutFraming::UntilClose => Default::default(),
            };
            bytes.extend_from_slice(before.as_bytes());
            bytes.extend_from_slice(part);
            bytes.extend_from_slice(after.as_bytes());
        }
        if framing == CutFraming::Chunked {
            bytes.extend_from_slice(b"0\r\n\r\n");
        }
        Self {
            bytes,
            head,
            framing,
        }
    }

    /// Returns the length of the head.
    pub fn head_length(&self) -> usize {
        self.head
    }

    /// Returns the place right after `text`, the last one if it is repeated.
    pub fn end_of(&self, text: &str) -> Option<usize> {
        let windows = self.bytes.windows(text.len());
        let mut found = windows
            .enumerate()
            .filter(|(_, bytes)| *bytes == text.as_bytes());
        found.next_back().map(|(at, _)| at + text.len())
    }

    /// Whether this stop can't be told from the end of the response.
    pub fn looks_whole(&self, cut: Cut) -> bool {
        self.framing == CutFraming::UntilClose && !cut.reset && cut.at >= self.head
    }

    /// Starts a server that stops this response at the place that a request names by
    /// [`Cut::number`], and sends it whole if a request names none.
    pub fn serve(&self) -> RawServer {
        let response = self.clone();
        RawServer::start(move |request, stream| {
            let cut = Cut::of(request);
            let end = cut.map_or(response.bytes.len(), |cut| cut.at);
            // The client may have closed the connection.
            let _ = stream.write_all(&response.bytes[..end]);
            if cut.is_some_and(|cut| cut.reset) {
                std::thread::sleep(READ_TIME);
                reset_on_close(stream);
            }
        })
    }

    /// Calls `check` with every place at which the response can stop, several at a time.
    pub async fn check_all<F: Future<Output = ()>>(&self, check: impl Fn(Cut) -> F) {
        let places = 0..self.bytes.len();
        let cuts = places.flat_map(|at| [false, true].map(|reset| Cut { at, reset }));
        let checks = stream::iter(cuts).map(check).buffer_unordered(CONCURRENCY);
        checks.collect::<Vec<()>>().await;
    }
}

impl Cut {
    /// Returns a number that names a place to the server, anywhere in a request. Other
    /// numbers there have fewer digits.
    pub fn number(self) -> u64 {
        FIRST_NUMBER + 2 * self.at as u64 + u64::from(self.reset)
    }

    /// Finds the place that a request names.
    fn of(request: &RawRequest) -> Option<Self> {
        let text = format!("{}{}", request.head, String::from_utf8_lossy(&request.body));
        let numbers = text.split(|letter: char| !letter.is_ascii_digit());
        let number = numbers
            .filter_map(|digits| digits.parse::<u64>().ok())
            .find(|number| *number >= FIRST_NUMBER)?;
        let code = number - FIRST_NUMBER;
        Some(Self {
            at: (code / 2) as usize,
            reset: code % 2 == 1,
        })
    }
}
