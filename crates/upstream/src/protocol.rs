//! Shapes of the model engines' HTTP API.
//!
//! Completions follow the shape that language-model clients speak; the
//! [`Continuation`] member `continuation` resumes an answer part-way.

use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Words of a prompt that share one entry in an engine's prefix cache.
pub const BLOCK_WORDS: usize = 32;

/// Continues an answer from tokens that were already delivered.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Continuation {
    /// Identifier of the request, the same for all attempts.
    pub request: String,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Tokens delivered by earlier attempts.
    pub offset: usize,
    /// Text of those tokens.
    pub prior: String,
    /// Priority from 0 (least) to 1.
    pub priority: f64,
}

/// One server-sent event of an engine's answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Chunk {
    /// Position of the token within the whole answer, from 0.
    pub offset: usize,
    /// The generated choices; engines send exactly one.
    pub choices: Vec<ChunkChoice>,
}

/// A choice within a [`Chunk`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// The token's text.
    pub text: String,
    /// Set on the last chunk, whose text is empty.
    pub finish_reason: Option<String>,
}

/// An engine's own account of its load.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Streams in the batch.
    pub running: u32,
    /// Streams waiting for room in the batch.
    pub waiting: u32,
    /// Prompt tokens not yet computed.
    pub prefill_tokens: u64,
    /// Duration of the last step, in microseconds.
    pub step_us: u64,
    /// Prompt tokens computed in a millisecond.
    pub prefill_rate: f64,
    /// Streams that fit the batch.
    pub batch_limit: u32,
    /// KV cache tokens in use.
    pub kv_used: u64,
    /// KV cache tokens in all.
    pub kv_limit: u64,
    /// KV cache tokens that the engine's link moves in a millisecond.
    pub link_rate: f64,
    /// Tokens generated since the start.
    pub generated: u64,
    /// Tokens computed again after a resumption.
    pub recomputed: u64,
    /// Model in memory, empty while loading.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Adapters in memory.
    pub adapters: Vec<String>,
    /// Highest fencing number seen in an order.
    pub fence: u64,
}

/// A change of an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Hash of the prefix that ends with the block.
    pub block: u64,
    /// Whether the block was added rather than evicted.
    pub added: bool,
}

/// Cache events after a position.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Position to ask from next.
    pub next: u64,
    /// Whether events before the first of these were lost.
    pub gap: bool,
    /// The events.
    pub events: Vec<CacheEvent>,
}

/// Orders an engine to fetch a stream's KV cache from another engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ImportRequest {
    /// Engine that holds the KV cache.
    pub source: SocketAddr,
    /// Identifier of the request.
    pub request: String,
}

/// A stream's exported KV cache.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KvCache {
    /// Prompt and answer tokens that it covers.
    pub tokens: u64,
}

/// Orders an engine to hold a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelOrder {
    /// Fencing number of the lease under which the order is given.
    pub fence: u64,
    /// Model to load.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Adapters to load.
    pub adapters: Vec<String>,
}

/// Hashes of the prefixes of `prompt` that end at whole blocks, shortest first.
pub fn prefix_blocks(prompt: &str) -> Vec<u64> {
    let mut hasher = block_hasher();
    let mut blocks = Vec::new();
    for (index, word) in prompt.split_whitespace().enumerate() {
        word.hash(&mut hasher);
        if (index + 1) % BLOCK_WORDS == 0 {
            blocks.push(hasher.finish());
        }
    }
    blocks
}

fn block_hasher() -> impl Hasher {
    std::hash::DefaultHasher::new()
}

/// The prompt of a completions or chat body, with roles and contents of chat
/// messages joined by newlines.
pub fn prompt_text(body: &serde_json::Map<String, serde_json::Value>) -> String {
    if let Some(prompt) = body.get("prompt").and_then(|value| value.as_str()) {
        return prompt.to_owned();
    }
    let Some(messages) = body.get("messages").and_then(|value| value.as_array()) else {
        return String::new();
    };
    let lines = messages.iter().map(|message| {
        let part = |key: &str| {
            message
                .get(key)
                .and_then(|value| value.as_str())
                .unwrap_or("")
        };
        format!("{}: {}", part("role"), part("content"))
    });
    lines.collect::<Vec<_>>().join("\n")
}
