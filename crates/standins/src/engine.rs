//! State of the stand-in model engine: batching, caches and streams.

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
use lycheehaven_types::Name;
use lycheehaven_upstream::protocol::CacheEvent;
use lycheehaven_upstream::protocol::CacheEvents;
use lycheehaven_upstream::protocol::LoadReport;
use lycheehaven_upstream::protocol::ModelOrder;
use lycheehaven_upstream::protocol::prefix_blocks;
use serde_json::json;

/// Parameters of a stand-in engine's behaviour.
#[derive(Debug, Clone)]
pub struct EngineParams {
    /// Duration of a step with an empty batch.
    pub step: Duration,
    /// Time that each stream in the batch adds to a step.
    pub step_per_stream: Duration,
    /// Prompt tokens computed per millisecond.
    pub prefill_rate: f64,
    /// Maximum number of streams in the batch.
    pub batch_limit: usize,
    /// KV cache size in tokens.
    pub kv_limit: u64,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// KV cache tokens that the link transfers per millisecond.
    pub link_rate: f64,
    /// Age of published load reports.
    pub load_lag: Duration,
    /// Delay before cache events are published.
    pub event_delay: Duration,
    /// One in this many cache events is lost; zero loses none.
    pub event_loss: u64,
    /// Whether orders with an outdated fencing token are refused.
    pub fenced: bool,
    /// Time to load a model.
    pub load_time: Duration,
    /// Model loaded at startup.
    pub model: String,
    /// Version of the model loaded at startup.
    pub version: String,
    /// Version of the engine's software, which its tokens show.
    pub software: Name,
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
            software: SOFTWARE.into(),
        }
    }
}

/// Software of an engine for which none is set.
const SOFTWARE: &str = "1";

/// Where an engine stops sending when it falls silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilentAt {
    /// Before the head of a response, and between two events of those that have begun.
    Head,
    /// Between two events.
    Event,
    /// Within an event.
    WithinEvent,
}

/// A time during which an engine sends nothing, although it keeps its streams.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Silence {
    pub(crate) at: SilentAt,
    pub(crate) until: Instant,
}

/// A request that the engine admitted.
#[derive(Debug, Clone)]
pub struct Execution {
    /// Identifier of the request.
    pub request: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// Offset at which the attempt began.
    pub offset: usize,
    /// Time of admission.
    pub time: Instant,
    /// Tokens that an earlier attempt computed and this one recomputes.
    pub recomputed: u64,
}

#[derive(Debug)]
pub(crate) struct Generation {
    pub(crate) request: String,
    pub(crate) attempt: u32,
    pub(crate) prompt: String,
    pub(crate) software: Name,
    pub(crate) offset: usize,
    pub(crate) length: usize,
    pub(crate) finish: &'static str,
    pub(crate) prefill: u64,
    pub(crate) context: u64,
    pub(crate) priority: f64,
    pub(crate) crash_at: Option<usize>,
    pub(crate) exported: bool,
    pub(crate) paused: bool,
    /// The rest of an event that was sent in part.
    pub(crate) unsent: Option<Bytes>,
    pub(crate) output: BodySender,
}

/// State of an engine.
#[derive(Debug)]
pub struct EngineState {
    /// Behaviour parameters.
    pub params: EngineParams,
    /// Admitted requests, in order.
    pub executions: Vec<Execution>,
    /// Accepted orders, in order.
    pub orders: Vec<ModelOrder>,
    /// Number of generated tokens.
    pub generated: u64,
    /// Number of tokens recomputed for resumed streams.
    pub recomputed: u64,
    /// Order whose model is loaded.
    pub model: ModelOrder,
    /// Whether generation is suspended.
    pub frozen: bool,
    pub(crate) silence: Option<Silence>,
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
            silence: None,
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

    /// Returns the number of streams in the batch or waiting for it.
    pub fn streams(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Stops sending for `duration`, then goes on where the engine stopped.
    pub fn fall_silent(&mut self, at: SilentAt, duration: Duration) {
        let until = Instant::now() + duration;
        self.silence = Some(Silence { at, until });
    }

    /// Returns the place and the rest of the silence, if the engine is silent.
    pub(crate) fn silence(&self) -> Option<(SilentAt, Duration)> {
        let silence = self.silence?;
        let rest = silence.until.checked_duration_since(Instant::now())?;
        Some((silence.at, rest))
    }

    /// Admits a generation; `context` tokens precede its first new token.
    pub(crate) fn admit(&mut self, mut generation: Generation) {
        let imported = self.imported.remove(&generation.request).unwrap_or(0);
        let cached = self.cached_tokens(&generation.prompt).max(imported);
        generation.prefill = generation.context.saturating_sub(cached);
        // If no token was generated yet, earlier attempts may have computed nothing.
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
        self.cache_prefix(&generation.prompt);
        let lower = self
            .waiting
            .iter()
            .position(|other| other.priority < generation.priority);
        let index = lower.unwrap_or(self.waiting.len());
        self.waiting.insert(index, generation);
    }

    /// Runs one step and returns its duration, or `None` if a request crashed
    /// the engine.
    pub(crate) fn step(&mut self) -> Option<Duration> {
        if self.frozen {
            return Some(self.params.step);
        }
        if let Some((at, _)) = self.silence() {
            if at == SilentAt::WithinEvent {
                self.running.iter_mut().for_each(emit_part);
            }
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

    /// Returns the published load report, which lags by `load_lag`.
    pub fn published_load(&self) -> LoadReport {
        let latest = Instant::now().checked_sub(self.params.load_lag);
        let report = self
            .reports
            .iter()
            .rev()
            .find(|(time, _)| latest.is_some_and(|latest| *time <= latest));
        report
            .or(self.reports.front())
            .map(|(_, report)| report.clone())
            .unwrap_or_default()
    }

    /// Returns the published cache events, which are delayed and have gaps.
    pub(crate) fn published_events(&self, from: u64) -> CacheEvents {
        let latest = Instant::now().checked_sub(self.params.event_delay);
        let visible = |time: &Instant| latest.is_some_and(|latest| *time <= latest);
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

    /// Pauses a stream and returns the number of tokens in its KV cache.
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
            let next = self.waiting.pop_front().expect("queue is not empty");
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

    fn cache_prefix(&mut self, prompt: &str) {
        let now = Instant::now();
        for block in prefix_blocks(prompt) {
            if self.cache.insert(block) {
                self.cache_order.push_back(block);
                self.events.push((now, CacheEvent { block, added: true }));
            }
        }
        while self.cache_order.len() > self.params.cache_blocks {
            let block = self.cache_order.pop_front().expect("queue is not empty");
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

/// Sends the first half of the next event, unless that was done.
fn emit_part(generation: &mut Generation) {
    let is_ready = generation.prefill == 0 && generation.offset < generation.length;
    if !is_ready || generation.unsent.is_some() {
        return;
    }
    let text = software_token(&generation.prompt, generation.offset, &generation.software);
    let mut event = token_event(generation.offset, &text);
    let rest = event.split_off(event.len() / 2);
    if generation.output.try_send(Ok(event)).is_ok() {
        generation.unsent = Some(rest);
    }
}

/// Sends the next token, or the final event. Returns whether the stream
/// continues.
fn emit(generation: &mut Generation) -> bool {
    if let Some(rest) = generation.unsent.take() {
        if let Err(refused) = generation.output.try_send(Ok(rest.clone())) {
            generation.unsent = Some(rest);
            return refused.is_full();
        }
        generation.offset += 1;
        generation.context += 1;
        return true;
    }
    if generation.offset >= generation.length {
        let _ = generation.output.try_send(Ok(finish_event(generation)));
        return false;
    }
    let text = software_token(&generation.prompt, generation.offset, &generation.software);
    match generation
        .output
        .try_send(Ok(token_event(generation.offset, &text)))
    {
        Ok(()) => {
            generation.offset += 1;
            generation.context += 1;
            true
        }
        // A full channel pauses the stream until its reader catches up.
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

/// Returns the token that every engine without software set generates at `offset` for `prompt`.
pub fn answer_token(prompt: &str, offset: usize) -> String {
    format!("t{offset}-{:04x} ", prompt_hash(prompt) & 0xffff)
}

/// Returns the token that an engine with this software generates.
fn software_token(prompt: &str, offset: usize, software: &str) -> String {
    let token = answer_token(prompt, offset);
    match software {
        SOFTWARE => token,
        other => format!("{}-{other} ", token.trim_end()),
    }
}

/// Returns the full answer of `length` tokens for `prompt`.
pub fn full_answer(prompt: &str, length: usize) -> String {
    software_answer(prompt, length, SOFTWARE)
}

/// Returns the full answer of engines with this software.
pub fn software_answer(prompt: &str, length: usize, software: &str) -> String {
    (0..length)
        .map(|offset| software_token(prompt, offset, software))
        .collect()
}

/// Returns the length of the answer in tokens: N if the prompt contains
/// `len=N`, else 20 to 59 depending on its hash.
pub(crate) fn natural_length(prompt: &str) -> usize {
    let requested = prompt
        .split_whitespace()
        .find_map(|word| word.strip_prefix("len="));
    let requested = requested.and_then(|text| text.parse().ok());
    requested.unwrap_or(20 + (prompt_hash(prompt) % 40) as usize)
}

/// Returns the offset N at which a prompt that contains `crash=N` crashes the
/// engine.
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
