//! Size and prompt of a generation, as declared by the caller.

use lycheehaven_types::Name;

/// One part of a prompt, which other requests may share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the part.
    pub id: Name,
    /// Number of its tokens.
    pub tokens: u64,
}

/// Size of a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenCount {
    /// Number of prompt tokens.
    pub prompt: u64,
    /// Maximum number of answer tokens.
    pub output: u64,
}
