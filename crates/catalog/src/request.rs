//! What callers say of a generation's size and prompt.

use lycheehaven_types::Name;

/// One part of a prompt that other requests may share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the part.
    pub id: Name,
    /// Tokens in it.
    pub tokens: u64,
}

/// Size of a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenCount {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Most tokens of the answer.
    pub output: u64,
}
