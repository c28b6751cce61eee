//! Message types of the model engines' HTTP API.
//!
//! Completion requests have the same format as those of callers, with an additional
//! member `continuation` that holds a [`Continuation`] and resumes a partly
//! delivered output.

use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;

use lycheehaven_types::wire;
use serde::Deserialize;
use serde::Serialize;

/// Number of prompt words in one block of an engine's prefix cache.
pub const BLOCK_WORDS: usize = 32;

/// The point from which an engine continues an output.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Continuation {
    /// Identifier of the request, the same for all attempts.
    pub request: String,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Number of tokens delivered by earlier attempts.
    pub offset: usize,
    /// Text of those tokens.
    pub prior: String,
    /// Priority from 0 (lowest) to 1 (highest).
    pub priority: f64,
}

/// One server-sent event of an engine's response.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Chunk {
    /// Position of the token within the whole output, from 0.
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

/// An engine's report of its load.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Streams in the batch.
    #[serde(deserialize_with = "wire::small_count")]
    pub running: u32,
    /// Streams waiting for room in the batch.
    #[serde(deserialize_with = "wire::small_count")]
    pub waiting: u32,
    /// Prompt tokens not yet computed.
    #[serde(deserialize_with = "wire::count")]
    pub prefill_tokens: u64,
    /// Duration of the last step, in microseconds.
    #[serde(deserialize_with = "wire::count")]
    pub step_us: u64,
    /// Prompt tokens computed per millisecond.
    #[serde(deserialize_with = "wire::amount")]
    pub prefill_rate: f64,
    /// Largest number of streams in the batch.
    #[serde(deserialize_with = "wire::small_count")]
    pub batch_limit: u32,
    /// KV cache tokens in use.
    #[serde(deserialize_with = "wire::count")]
    pub kv_used: u64,
    /// Capacity of the KV cache, in tokens.
    #[serde(deserialize_with = "wire::count")]
    pub kv_limit: u64,
    /// KV cache tokens that the engine's network link transfers per millisecond.
    #[serde(deserialize_with = "wire::amount")]
    pub link_rate: f64,
    /// Tokens generated since the engine started.
    #[serde(deserialize_with = "wire::count")]
    pub generated: u64,
    /// Tokens computed again after streams were resumed.
    #[serde(deserialize_with = "wire::count")]
    pub recomputed: u64,
    /// Model in memory, empty while loading.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Adapters in memory.
    pub adapters: Vec<String>,
    /// Highest fencing token seen in an order.
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

/// Events of an engine's prefix cache from a position on.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Position of the next request for events.
    pub next: u64,
    /// Whether events between the requested position and the first of these were
    /// lost.
    pub gap: bool,
    /// The events.
    pub events: Vec<CacheEvent>,
}

/// A request to an engine to fetch a stream's KV cache from another engine.
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
    /// Prompt and output tokens that it covers.
    pub tokens: u64,
}

/// An order to an engine to load a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelOrder {
    /// Fencing token of the lease under which the order is issued.
    pub fence: u64,
    /// Model to load.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Adapters to load.
    pub adapters: Vec<String>,
}

/// Returns the hashes of the prefixes of `prompt` that end at a block boundary,
/// shortest first.
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

/// Returns the parts of a prompt that other prompts may share: the messages of a chat or
/// the paragraphs of a text, without the last.
pub fn shared_parts(body: &serde_json::Map<String, serde_json::Value>) -> Vec<String> {
    let mut parts: Vec<String> = match body.get("messages").and_then(|value| value.as_array()) {
        Some(messages) => messages.iter().map(ToString::to_string).collect(),
        None => {
            let text = prompt_text(body);
            text.split("\n\n").map(str::to_owned).collect()
        }
    };
    parts.pop();
    parts
}

fn block_hasher() -> impl Hasher {
    std::hash::DefaultHasher::new()
}

/// Returns the prompt of a completions or chat body. The messages of a chat are
/// written as `role: content` and joined by newlines.
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
