//! What becomes of a request's body whose answer is given before its end.

/// Most bytes of a body that are read behind its answer.
const MAX_REST_BYTES: u64 = 256 * 1024;

/// The state of a request's body when its answer is given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnsweredBody {
    /// Whether the handler has read the body to its end, or there is none.
    pub is_read: bool,
    /// Whether the body is malformed or has taken too long.
    pub has_failed: bool,
    /// Length of the body, if it is declared.
    pub declared: Option<u64>,
    /// Bytes of it that were not received, if that is known.
    pub due: Option<u64>,
    /// Whether the client may wait to be asked for the body.
    pub is_expected: bool,
    /// Whether the connection ends behind the answer in any case.
    pub is_last: bool,
}

/// What becomes of the rest of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyRest {
    /// There is none, and the connection is used on.
    Nothing,
    /// It is read and discarded behind the answer, and the connection is used on.
    Read,
    /// The answer says that the connection closes, and no byte behind it is a request.
    Close,
}

impl AnsweredBody {
    /// Decides what becomes of the rest.
    pub fn rest(&self) -> BodyRest {
        if self.is_read {
            return BodyRest::Nothing;
        }
        if self.is_last || self.has_failed {
            return BodyRest::Close;
        }
        match self.due {
            // Where the body ends depends on bytes that were not checked.
            None => BodyRest::Close,
            Some(0) => BodyRest::Read,
            // A client that was not asked for the body need not send it.
            Some(due) if self.is_expected && self.declared == Some(due) => BodyRest::Close,
            Some(due) if due > MAX_REST_BYTES => BodyRest::Close,
            Some(_) => BodyRest::Read,
        }
    }
}
