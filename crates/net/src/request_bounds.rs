//! Tells whether bytes received on a connection belong to the current request or to one
//! that its client has sent ahead.

/// Where the bytes that were received last are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Position {
    /// In or before a head: whether it has begun, and the bytes in its current line.
    Head { has_line: bool, column: usize },
    /// Behind a head that the server has not parsed yet.
    HeadEnd,
    /// In a body of which so many bytes are still due.
    Body(u64),
    /// In or behind a body of unknown size.
    Unknown,
}

impl Position {
    const START: Self = Self::Head {
        has_line: false,
        column: 0,
    };
}

/// Follows the bytes of a connection from request to request.
#[derive(Debug)]
pub(crate) struct RequestBounds {
    position: Position,
    /// Bytes received behind a head that the server has not parsed yet.
    pending: Vec<u8>,
}

impl Default for RequestBounds {
    fn default() -> Self {
        Self {
            position: Position::START,
            pending: Vec::new(),
        }
    }
}

impl RequestBounds {
    /// Records bytes that were received.
    pub(crate) fn record(&mut self, bytes: &[u8]) {
        let mut rest = bytes;
        while let Some((first, after)) = rest.split_first() {
            match self.position {
                Position::Head { has_line, column } => {
                    self.position = after_head_byte(*first, has_line, column);
                    rest = after;
                }
                Position::HeadEnd => {
                    self.pending.extend_from_slice(rest);
                    return;
                }
                Position::Body(left) => {
                    let size = left.min(rest.len() as u64);
                    rest = &rest[size as usize..];
                    self.position = after_body(left - size);
                }
                Position::Unknown => return,
            }
        }
    }

    /// Records that the server has parsed a head, whose body has `body_bytes`.
    pub(crate) fn begin_body(&mut self, body_bytes: Option<u64>) {
        self.position = match (self.position, body_bytes) {
            (Position::HeadEnd, Some(size)) => after_body(size),
            _ => Position::Unknown,
        };
        let pending = std::mem::take(&mut self.pending);
        self.record(&pending);
    }

    /// Begins anew behind a body of unknown size that has ended.
    pub(crate) fn end_unknown_body(&mut self) {
        if self.position == Position::Unknown {
            self.position = Position::START;
        }
    }

    /// Returns whether a byte of a request was received that the server has not parsed.
    /// Behind a body of unknown size, that can't be told.
    pub(crate) fn has_next(&self) -> bool {
        match self.position {
            Position::Head { has_line, .. } => has_line,
            Position::HeadEnd => true,
            Position::Body(_) | Position::Unknown => false,
        }
    }

    /// Returns the bytes of the current body that were not received yet, or `None` if its
    /// size is unknown.
    pub(crate) fn body_due(&self) -> Option<u64> {
        match self.position {
            Position::Head { .. } | Position::HeadEnd => Some(0),
            Position::Body(left) => Some(left),
            Position::Unknown => None,
        }
    }
}

/// Returns the position behind a byte of a head. Empty lines before it are skipped.
fn after_head_byte(byte: u8, has_line: bool, column: usize) -> Position {
    match byte {
        b'\r' => Position::Head { has_line, column },
        b'\n' if has_line && column == 0 => Position::HeadEnd,
        b'\n' => Position::Head {
            has_line,
            column: 0,
        },
        _ => Position::Head {
            has_line: true,
            column: column + 1,
        },
    }
}

fn after_body(left: u64) -> Position {
    match left {
        0 => Position::START,
        left => Position::Body(left),
    }
}
