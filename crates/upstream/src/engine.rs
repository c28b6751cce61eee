//! Client of one model engine.

use std::collections::VecDeque;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use http_body_util::BodyExt;
use http_body_util::BodyStream;
use hyper::Method;
use hyper::Request;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use lycheehaven_net::Body;
use lycheehaven_net::CallError;
use lycheehaven_net::HttpClient;
use lycheehaven_net::RequestError;
use lycheehaven_net::SseParser;
use lycheehaven_net::send_unpooled;
use serde_json::Map;
use serde_json::Value;

use crate::protocol::CacheEvents;
use crate::protocol::Chunk;
use crate::protocol::Continuation;
use crate::protocol::ImportRequest;
use crate::protocol::LoadReport;
use crate::protocol::ModelOrder;

/// Bytes of one event that are still taken for an event.
const EVENT_LIMIT: usize = 1 << 20;

/// Something that an engine said about a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineEvent {
    /// A generated token.
    Token {
        /// Position within the whole answer.
        offset: usize,
        /// Text.
        text: String,
    },
    /// The answer is complete.
    Finish(String),
}

/// Why a stream gives no further events.
#[derive(Debug)]
pub enum StreamError {
    /// The engine could not be connected to.
    Connect(String),
    /// The engine refused the request with this status.
    Refused(u16, String),
    /// The connection broke, or the engine ended it before the answer's end.
    Broken(String),
    /// The engine fell silent.
    Timeout,
}

impl fmt::Display for StreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(cause) => write!(f, "engine can't be connected to: {cause}"),
            Self::Refused(status, message) => write!(f, "engine answered {status}: {message}"),
            Self::Broken(cause) => write!(f, "stream broke: {cause}"),
            Self::Timeout => f.write_str("engine fell silent"),
        }
    }
}

impl std::error::Error for StreamError {}

/// An open token stream. Dropping it makes the engine cancel the request.
#[derive(Debug)]
pub struct EngineStream {
    body: BodyStream<Incoming>,
    parser: SseParser,
    ready: VecDeque<EngineEvent>,
    silence: Duration,
}

impl EngineStream {
    /// Waits for the next event.
    pub async fn next(&mut self) -> Result<EngineEvent, StreamError> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Ok(event);
            }
            let frame = compio::time::timeout(self.silence, self.body.next()).await;
            match frame {
                Err(_) => return Err(StreamError::Timeout),
                Ok(None) => return Err(StreamError::Broken("ended early".into())),
                Ok(Some(Err(cause))) => return Err(StreamError::Broken(cause.to_string())),
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        self.parse(&data)?;
                    }
                }
            }
        }
    }

    /// Takes an event that has already arrived.
    pub fn take_ready(&mut self) -> Option<EngineEvent> {
        self.ready.pop_front()
    }

    fn parse(&mut self, data: &Bytes) -> Result<(), StreamError> {
        self.parser.push(data);
        while let Some(text) = self.parser.next_data() {
            if text != "[DONE]" {
                self.ready.push_back(parse_chunk(&text)?);
            }
        }
        if self.parser.pending() > EVENT_LIMIT {
            return Err(StreamError::Broken("event without end".into()));
        }
        Ok(())
    }
}

fn parse_chunk(text: &str) -> Result<EngineEvent, StreamError> {
    let chunk: Chunk = serde_json::from_str(text)
        .map_err(|cause| StreamError::Broken(format!("unreadable chunk: {cause}")))?;
    let Chunk { offset, choices } = chunk;
    match choices.into_iter().next() {
        Some(choice) => match choice.finish_reason {
            Some(reason) => Ok(EngineEvent::Finish(reason)),
            None => Ok(EngineEvent::Token {
                offset,
                text: choice.text,
            }),
        },
        None => Err(StreamError::Broken("chunk without a choice".into())),
    }
}

/// Client of model engines.
#[derive(Debug, Clone)]
pub struct EngineClient {
    caller: HttpClient,
    connect: Duration,
    silence: Duration,
}

impl EngineClient {
    /// Creates a client. `connect` bounds connecting and short calls, `silence`
    /// the wait for the next token.
    pub fn new(connect: Duration, silence: Duration) -> Self {
        Self {
            caller: HttpClient::new(),
            connect,
            silence,
        }
    }

    /// Opens a token stream at `path` for the caller's `body`.
    pub async fn open(
        &self,
        addr: SocketAddr,
        path: &str,
        body: &Map<String, Value>,
        continuation: &Continuation,
    ) -> Result<EngineStream, StreamError> {
        let request = build_request(addr, path, body, continuation);
        let response = send_unpooled(addr, request, self.connect, self.silence)
            .await
            .map_err(|cause| match cause {
                RequestError::NotSent(cause) => StreamError::Connect(cause),
                RequestError::Uncertain(cause) => StreamError::Broken(cause),
            })?;
        let status = response.status().as_u16();
        if status != 200 {
            let bytes = response.into_body().collect().await;
            let bytes = bytes.map(|bytes| bytes.to_bytes()).unwrap_or_default();
            let message = String::from_utf8_lossy(&bytes[..bytes.len().min(200)]).into_owned();
            return Err(StreamError::Refused(status, message));
        }
        Ok(EngineStream {
            body: BodyStream::new(response.into_body()),
            parser: SseParser::default(),
            ready: VecDeque::new(),
            silence: self.silence,
        })
    }

    /// Whether the engine accepts connections.
    pub async fn is_reachable(&self, addr: SocketAddr) -> bool {
        let connecting = compio::net::TcpStream::connect(addr);
        matches!(
            compio::time::timeout(self.connect, connecting).await,
            Ok(Ok(_))
        )
    }

    /// Reads the engine's load.
    pub async fn load(&self, addr: SocketAddr) -> Result<LoadReport, CallError> {
        self.caller.get_json(addr, "/v1/load", self.connect).await
    }

    /// Reads the engine's cache events from position `from`.
    pub async fn cache_events(
        &self,
        addr: SocketAddr,
        from: u64,
    ) -> Result<CacheEvents, CallError> {
        let path = format!("/v1/cache_events?from={from}");
        self.caller.get_json(addr, &path, self.connect).await
    }

    /// Makes the engine at `target` import a stream's KV cache within `wait`.
    pub async fn import(
        &self,
        target: SocketAddr,
        order: &ImportRequest,
        wait: Duration,
    ) -> Result<(), CallError> {
        let _: Value = self
            .caller
            .post_json(target, "/v1/kv/import", order, wait)
            .await?;
        Ok(())
    }

    /// Pauses a stream, keeping its KV cache, or lets it go on.
    pub async fn set_paused(
        &self,
        addr: SocketAddr,
        request: &str,
        paused: bool,
    ) -> Result<(), CallError> {
        let action = if paused { "pause" } else { "resume" };
        let path = format!("/v1/streams/{request}/{action}");
        self.caller
            .call(Method::POST, addr, &path, Bytes::new(), self.connect)
            .await
            .map(|_| ())
    }

    /// Orders the engine to hold a model. `false` if the fencing number is old.
    pub async fn order(&self, addr: SocketAddr, order: &ModelOrder) -> Result<bool, CallError> {
        let body = serde_json::to_vec(order).expect("orders serialize to JSON");
        let reply = self
            .caller
            .call(Method::POST, addr, "/v1/orders", body, self.connect)
            .await?;
        match reply.status {
            200 => Ok(true),
            409 => Ok(false),
            status => Err(CallError::Transport(format!("status {status} to an order"))),
        }
    }
}

fn build_request(
    addr: SocketAddr,
    path: &str,
    body: &Map<String, Value>,
    continuation: &Continuation,
) -> Request<Body> {
    let mut body = body.clone();
    body.insert("stream".into(), Value::Bool(true));
    let continuation = serde_json::to_value(continuation).expect("continuations serialize");
    body.insert("continuation".into(), continuation);
    let bytes = serde_json::to_vec(&body).expect("JSON serializes");
    Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(HOST, addr.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Body::full(bytes))
        .expect("request parts are valid")
}
