//! State of the model-engine stand-in: batching, caches and streams.

use std::collections::VecDeque;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;
use std::time::Instant;

use futures_channel::mpsc::TrySendError;
use hyper::body::Bytes;
use lycheehaven_net::BodySender;
use lycheehaven_types::HashMap;
use lycheehaven_types::HashSet;
use lycheehaven_upstream::protocol::CacheEvent;
use lycheehaven_upstream::protocol::CacheEvents;
use lycheehaven_upstream::protocol::LoadReport;
use lycheehaven_upstream::protocol::ModelOrder;
use lycheehaven_upstream::protocol::prefix_blocks;
use serde_json::json;

/// Behaviour of an engine.
#[derive(Debug, Clone)]
pub struct EngineParams {
    /// Duration of a step with an empty batch.
    pub step: Duration,
    /// Added to a step by each stream in the batch.
    pub step_per_stream: Duration,
    /// Prompt tokens computed in a millisecond.
    pub prefill_rate: f64,
    /// Streams in the batch.
    pub batch_limit: usize,
    /// KV cache size in tokens.
    pub kv_limit: u64,
    /// Blocks in the prefix cache.
    pub cache_blocks: usize,
    /// KV cache tokens that the link moves in a millisecond.
    pub link_rate: f64,
    /// Age of load reports.
    pub load_lag: Duration,
    /// Delay until cache events are published.
    pub event_delay: Duration,
    /// One in this many cache events is lost; zero loses none.
    pub event_loss: u64,
    /// Whether orders with an old fencing number are refused.
    pub fenced: bool,
    /// Time to load a model.
    pub load_time: Duration,
    /// Model in memory at the start.
    pub model: String,
    /// Version of the model in memory at the start.
    pub version: String,
}

impl Default for EngineParams {
    fn default() -> Self {
        Self {
            step: Duration::from_millis(2),
            step_per_stream: Duration::from_micros(50),
            prefill_rate: 50.0,
            batch_limit: 32,
            kv_limit: 400_000,
            cache_blocks: 2000,
            link_rate: 100.0,
            load_lag: Duration::from_millis(100),
            event_delay: Duration::from_millis(200),
            event_loss: 0,
            fenced: true,
            load_time: Duration::from_millis(50),
            model: "base".into(),
            version: "1".into(),
        }
    }
}

/// A request that the engine took on.
#[derive(Debug, Clone)]
pub struct Execution {
    /// Identifier of the request.
    pub request: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// Offset at which the attempt began.
    pub offset: usize,
    /// When it was taken on.
    pub time: Instant,
    /// Tokens that had been computed before and were computed again.
    pub recomputed: u64,
}

#[derive(Debug)]
pub(crate) struct Generation {
    pub(crate) request: String,
    pub(crate) attempt: u32,
    pub(crate) prompt: String,
    pub(crate) offset: usize,
    pub(crate) length: usize,
    pub(crate) finish: &'static str,
    pub(crate) prefill: u64,
    pub(crate) context: u64,
    pub(crate) priority: f64,
    pub(crate) crash_at: Option<usize>,
    pub(crate) exported: bool,
    pub(crate) paused: bool,
    pub(crate) output: BodySender,
}

/// State of an engine.
#[derive(Debug)]
pub struct EngineState {
    /// Behaviour.
    pub params: EngineParams,
    /// Requests taken on, in order.
    pub executions: Vec<Execution>,
    /// Orders obeyed, in order.
    pub orders: Vec<ModelOrder>,
    /// Tokens generated.
    pub generated: u64,
    /// Tokens computed again after a resumption.
    pub recomputed: u64,
    /// Model in memory; empty while loading.
    pub model: ModelOrder,
    /// Generation stops while set.
    pub frozen: bool,
    pub(crate) running: Vec<Generation>,
    pub(crate) waiting: VecDeque<Generation>,
    pub(crate) imported: HashMap<String, u64>,
    cache: HashSet<u64>,
    cache_order: VecDeque<u64>,
    events: Vec<(Instant, CacheEvent)>,
    reports: VecDeque<(Instant, LoadReport)>,
    last_step: Duration,
}

impl EngineState {
    pub(crate) fn new(params: EngineParams) -> Self {
        let model = ModelOrder {
            fence: 0,
            model: params.model.clone(),
            version: params.version.clone(),
            adapters: Vec::new(),
        };
        Self {
            params,
            executions: Vec::new(),
            orders: Vec::new(),
            generated: 0,
            recomputed: 0,
            model,
            frozen: false,
            running: Vec::new(),
            waiting: VecDeque::new(),
            imported: HashMap::default(),
            cache: HashSet::default(),
            cache_order: VecDeque::new(),
            events: Vec::new(),
            reports: VecDeque::new(),
            last_step: Duration::ZERO,
        }
    }

    /// Streams in the batch or waiting for it.
    pub fn streams(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Takes on a generation; `context` tokens precede its first new token.
    pub(crate) fn admit(&mut self, mut generation: Generation) {
        let moved = self.imported.remove(&generation.request).unwrap_or(0);
        let cached = self.cached_tokens(&generation.prompt).max(moved);
        generation.prefill = generation.context.saturating_sub(cached);
        // A request without a token yet may never have been computed.
        let resumed = generation.attempt > 1 && generation.offset > 0;
        let recomputed = if resumed { generation.prefill } else { 0 };
        self.recomputed += recomputed;
        self.executions.push(Execution {
            request: generation.request.clone(),
            attempt: generation.attempt,
            offset: generation.offset,
            time: Instant::now(),
            recomputed,
        });
        self.remember_prefix(&generation.prompt);
        let later = self
            .waiting
            .iter()
            .position(|other| other.priority < generation.priority);
        let index = later.unwrap_or(self.waiting.len());
        self.waiting.insert(index, generation);
    }

    /// Runs one step and says how long it takes; `None` means that a request
    /// crashed the engine.
    pub(crate) fn step(&mut self) -> Option<Duration> {
        if self.frozen {
            return Some(self.params.step);
        }
        self.fill_batch();
        let mut budget = (self.params.prefill_rate * self.params.step.as_secs_f64() * 1e3) as u64;
        budget = budget.max(1);
        let mut emitted = 0;
        let mut crashed = false;
        self.running.retain_mut(|generation| {
            if generation.output.is_closed() {
                return false;
            }
            let computed = generation.prefill.min(budget);
            generation.prefill -= computed;
            budget -= computed;
            if generation.prefill > 0 || generation.exported || generation.paused {
                return true;
            }
            crashed |= generation
                .crash_at
                .is_some_and(|at| generation.offset >= at);
            emitted += 1;
            emit(generation)
        });
        if crashed {
            return None;
        }
        self.generated += emitted;
        let streams = self.running.len() as u32;
        self.last_step = self.params.step + self.params.step_per_stream * streams;
        self.record_report();
        Some(self.last_step)
    }

    /// The load as published, which lags.
    pub fn published_load(&self) -> LoadReport {
        let limit = Instant::now().checked_sub(self.params.load_lag);
        let old = self
            .reports
            .iter()
            .rev()
            .find(|(time, _)| limit.is_some_and(|l| *time <= l));
        old.or(self.reports.front())
            .map(|(_, report)| report.clone())
            .unwrap_or_default()
    }

    /// Cache events as published, which come late and with gaps.
    pub(crate) fn published_events(&self, from: u64) -> CacheEvents {
        let limit = Instant::now().checked_sub(self.params.event_delay);
        let visible = |time: &Instant| limit.is_some_and(|limit| *time <= limit);
        let loss = self.params.event_loss;
        let mut result = CacheEvents {
            next: from,
            gap: false,
            events: Vec::new(),
        };
        for (index, (time, event)) in self.events.iter().enumerate().skip(from as usize) {
            if !visible(time) {
                break;
            }
            result.next = index as u64 + 1;
            if loss > 0 && (index as u64 + 1).is_multiple_of(loss) {
                result.gap = true;
            } else {
                result.events.push(*event);
            }
        }
        result
    }

    /// Pauses a stream and says how many tokens its KV cache covers.
    pub(crate) fn export(&mut self, request: &str) -> Option<u64> {
        let streams = self.running.iter_mut().chain(self.waiting.iter_mut());
        let mut matching = streams.filter(|generation| generation.request == request);
        let generation = matching.next()?;
        generation.exported = true;
        Some(generation.context.saturating_sub(generation.prefill))
    }

    pub(crate) fn set_paused(&mut self, request: &str, paused: bool) -> bool {
        let streams = self.running.iter_mut().chain(self.waiting.iter_mut());
        let mut found = false;
        for generation in streams.filter(|generation| generation.request == request) {
            generation.paused = paused;
            generation.exported &= paused;
            found = true;
        }
        found
    }

    fn fill_batch(&mut self) {
        let used: u64 = self
            .running
            .iter()
            .map(|generation| generation.context)
            .sum();
        let mut room = self.params.kv_limit.saturating_sub(used);
        while self.running.len() < self.params.batch_limit {
            let Some(next) = self.waiting.front() else {
                return;
            };
            if next.context > room && !self.running.is_empty() {
                return;
            }
            room = room.saturating_sub(next.context);
            let next = self.waiting.pop_front().expect("front was just seen");
            self.running.push(next);
        }
    }

    fn cached_tokens(&self, prompt: &str) -> u64 {
        let blocks = prefix_blocks(prompt);
        let hits = blocks
            .iter()
            .take_while(|block| self.cache.contains(block))
            .count();
        (hits * lycheehaven_upstream::protocol::BLOCK_WORDS) as u64
    }

    fn remember_prefix(&mut self, prompt: &str) {
        let now = Instant::now();
        for block in prefix_blocks(prompt) {
            if self.cache.insert(block) {
                self.cache_order.push_back(block);
                self.events.push((now, CacheEvent { block, added: true }));
            }
        }
        while self.cache_order.len() > self.params.cache_blocks {
            let block = self.cache_order.pop_front().expect("order is not empty");
            self.cache.remove(&block);
            self.events.push((
                now,
                CacheEvent {
                    block,
                    added: false,
                },
            ));
        }
    }

    fn record_report(&mut self) {
        let now = Instant::now();
        let due = self
            .reports
            .back()
            .is_none_or(|(time, _)| now.duration_since(*time) >= Duration::from_millis(10));
        if !due {
            return;
        }
        self.reports.push_back((now, self.load()));
        while self.reports.len() > 300 {
            self.reports.pop_front();
        }
    }

    fn load(&self) -> LoadReport {
        let streams = self.running.iter().chain(&self.waiting);
        LoadReport {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            prefill_tokens: streams.clone().map(|generation| generation.prefill).sum(),
            step_us: self.last_step.as_micros() as u64,
            prefill_rate: self.params.prefill_rate,
            batch_limit: self.params.batch_limit as u32,
            kv_used: streams.map(|generation| generation.context).sum(),
            kv_limit: self.params.kv_limit,
            link_rate: self.params.link_rate,
            generated: self.generated,
            recomputed: self.recomputed,
            model: self.model.model.clone(),
            version: self.model.version.clone(),
            adapters: self.model.adapters.clone(),
            fence: self.model.fence,
        }
    }
}

/// Sends the next token; `false` ends the stream.
fn emit(generation: &mut Generation) -> bool {
    if generation.offset >= generation.length {
        let _ = generation.output.try_send(Ok(finish_event(generation)));
        return false;
    }
    let text = answer_token(&generation.prompt, generation.offset);
    match generation
        .output
        .try_send(Ok(token_event(generation.offset, &text)))
    {
        Ok(()) => {
            generation.offset += 1;
            generation.context += 1;
            true
        }
        // A reader that is behind holds its stream back.
        Err(refused) => TrySendError::is_full(&refused),
    }
}

fn token_event(offset: usize, text: &str) -> Bytes {
    let chunk = json!({
        "object": "text_completion",
        "offset": offset,
        "choices": [{"index": 0, "text": text, "finish_reason": null}],
    });
    format!("data: {chunk}\n\n").into()
}

fn finish_event(generation: &Generation) -> Bytes {
    let chunk = json!({
        "object": "text_completion",
        "offset": generation.offset,
        "choices": [{"index": 0, "text": "", "finish_reason": generation.finish}],
    });
    format!("data: {chunk}\n\ndata: [DONE]\n\n").into()
}

/// The token that every engine generates at `offset` for `prompt`.
pub fn answer_token(prompt: &str, offset: usize) -> String {
    format!("t{offset}-{:04x} ", prompt_hash(prompt) & 0xffff)
}

/// The whole answer of `length` tokens for `prompt`.
pub fn full_answer(prompt: &str, length: usize) -> String {
    (0..length)
        .map(|offset| answer_token(prompt, offset))
        .collect()
}

/// Length of the answer: `len=N` within the prompt, else a hash of it.
pub(crate) fn natural_length(prompt: &str) -> usize {
    let declared = prompt
        .split_whitespace()
        .find_map(|word| word.strip_prefix("len="));
    let declared = declared.and_then(|text| text.parse().ok());
    declared.unwrap_or(20 + (prompt_hash(prompt) % 40) as usize)
}

/// Offset at which `crash=N` within the prompt crashes the engine.
pub(crate) fn crash_offset(prompt: &str) -> Option<usize> {
    let word = prompt
        .split_whitespace()
        .find_map(|word| word.strip_prefix("crash="))?;
    word.parse().ok()
}

fn prompt_hash(prompt: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    prompt.hash(&mut hasher);
    hasher.finish()
}
