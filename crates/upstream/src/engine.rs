//! Client for model engines.

use std::collections::VecDeque;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::StreamExt;
use http_body_util::BodyStream;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use lycheehaven_net::Body;
use lycheehaven_net::CallError;
use lycheehaven_net::HttpClient;
use lycheehaven_net::RequestError;
use lycheehaven_net::SseParser;
use lycheehaven_net::connect;
use lycheehaven_net::exchange;
use lycheehaven_net::read_body;
use lycheehaven_net::yield_now;
use lycheehaven_types::is_event_stream;
use serde_json::Map;
use serde_json::Value;

use crate::notice::UpstreamNotice;
use crate::protocol::CacheEvents;
use crate::protocol::Chunk;
use crate::protocol::Continuation;
use crate::protocol::ImportRequest;
use crate::protocol::LoadReport;
use crate::protocol::ModelOrder;

/// Largest size of one event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Most frames that are handled together with the first one.
const MAX_READY_FRAMES: usize = 16;

/// Largest body of a refusal that is read.
const MAX_REFUSAL_BYTES: usize = 16 * 1024;

/// Largest part of a refusal that is passed on.
const MAX_MESSAGE_BYTES: usize = 200;

/// An event of a token stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineEvent {
    /// A generated token.
    Token {
        /// Position within the whole output, from 0.
        offset: usize,
        /// Text of the token.
        text: String,
    },
    /// The output is complete.
    Finish {
        /// Number of tokens of the whole output.
        offset: usize,
        /// Why it ended.
        reason: String,
    },
}

/// A response that refuses a request.
#[derive(Debug)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// Beginning of the body.
    pub message: String,
    /// What the response says of the engine.
    pub notice: UpstreamNotice,
}

/// Why a stream failed.
#[derive(Debug)]
pub enum StreamError {
    /// The connection to the engine could not be established.
    Connect(String),
    /// The engine refused the request.
    Refused(Refusal),
    /// The connection broke, or the stream ended early or was malformed.
    Broken(String),
}

impl fmt::Display for StreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(cause) => write!(f, "can't connect to the engine: {cause}"),
            Self::Refused(refusal) => {
                write!(f, "engine returned {}: {}", refusal.status, refusal.message)
            }
            Self::Broken(cause) => write!(f, "the stream from the engine broke: {cause}"),
        }
    }
}

impl std::error::Error for StreamError {}

/// An open token stream. Dropping it closes the connection, which makes the engine
/// cancel the request.
#[derive(Debug)]
pub struct EngineStream {
    body: BodyStream<Incoming>,
    parser: SseParser,
    ready: VecDeque<EngineEvent>,
    /// Why the stream ends after the events that are ready.
    end: Option<StreamError>,
    notice: UpstreamNotice,
}

impl EngineStream {
    /// Returns what the head of the response says of the engine.
    pub fn notice(&self) -> UpstreamNotice {
        self.notice
    }

    /// Waits for the next event for as long as the connection lasts. Dropping the future
    /// loses nothing.
    ///
    /// # Errors
    /// Returns an error if the stream breaks.
    pub async fn next(&mut self) -> Result<EngineEvent, StreamError> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Ok(event);
            }
            if let Some(end) = self.end.take() {
                return Err(end);
            }
            let frame = self.body.next().await;
            self.receive(frame);
            self.receive_ready().await;
        }
    }

    /// Receives what has arrived meanwhile, so that events that come fast are handled
    /// together.
    async fn receive_ready(&mut self) {
        for _ in 0..MAX_READY_FRAMES {
            // The connection's task passes on one frame at a time.
            yield_now().await;
            if self.end.is_some() {
                return;
            }
            let Some(frame) = self.body.next().now_or_never() else {
                return;
            };
            self.receive(frame);
        }
    }

    fn receive(&mut self, frame: Option<hyper::Result<Frame<Bytes>>>) {
        let received = match frame {
            None => Err(StreamError::Broken("the response ended early".into())),
            Some(Err(cause)) => Err(StreamError::Broken(cause.to_string())),
            Some(Ok(frame)) => frame.into_data().map_or(Ok(()), |data| self.parse(&data)),
        };
        self.end = received.err();
    }

    /// Returns the next event if it has already arrived.
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
        if self.parser.pending() > MAX_EVENT_BYTES {
            return Err(StreamError::Broken(
                "an event exceeds the size limit".into(),
            ));
        }
        Ok(())
    }
}

fn parse_chunk(text: &str) -> Result<EngineEvent, StreamError> {
    let chunk: Chunk = serde_json::from_str(text)
        .map_err(|cause| StreamError::Broken(format!("can't decode a chunk: {cause}")))?;
    let Chunk { offset, choices } = chunk;
    match choices.into_iter().next() {
        Some(choice) => match choice.finish_reason {
            Some(reason) => Ok(EngineEvent::Finish { offset, reason }),
            None => Ok(EngineEvent::Token {
                offset,
                text: choice.text,
            }),
        },
        None => Err(StreamError::Broken("a chunk has no choice".into())),
    }
}

/// A client for model engines.
#[derive(Debug, Clone)]
pub struct EngineClient {
    client: HttpClient,
    connect_timeout: Duration,
}

impl EngineClient {
    /// Creates a client. `connect_timeout` limits connecting and short calls.
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            client: HttpClient::new(),
            connect_timeout,
        }
    }

    /// Opens a token stream at `path` for the caller's `body`, continued from
    /// `continuation`. Waits for the response for as long as the connection lasts;
    /// dropping the future closes it, which makes the engine cancel the request.
    ///
    /// # Errors
    /// Returns an error if the engine can't be reached or refuses the request.
    pub async fn open(
        &self,
        addr: SocketAddr,
        path: &str,
        body: &Map<String, Value>,
        continuation: &Continuation,
    ) -> Result<EngineStream, StreamError> {
        let request = build_request(addr, path, body, continuation);
        let failed = |cause| match cause {
            RequestError::NotSent(cause) => StreamError::Connect(cause),
            RequestError::Uncertain(cause) => StreamError::Broken(cause),
        };
        let stream = connect(addr, self.connect_timeout).await.map_err(failed)?;
        let response = exchange(stream, request).await.map_err(failed)?;
        let status = response.status().as_u16();
        let notice = UpstreamNotice::of(response.status(), response.headers());
        if status != 200 {
            return Err(StreamError::Refused(Refusal {
                status,
                message: self.refusal_message(response).await,
                notice,
            }));
        }
        if declares_other_content(response.headers()) {
            let cause = "the response is declared as something else than events";
            return Err(StreamError::Broken(cause.into()));
        }
        Ok(EngineStream {
            body: BodyStream::new(response.into_body()),
            parser: SseParser::default(),
            ready: VecDeque::new(),
            end: None,
            notice,
        })
    }

    /// Returns the beginning of a refusal's body, or why it can't be read.
    async fn refusal_message(&self, response: Response<Incoming>) -> String {
        let body = read_body(
            response.into_body(),
            MAX_REFUSAL_BYTES,
            self.connect_timeout,
        );
        match body.await {
            Ok(bytes) => {
                let beginning = &bytes[..bytes.len().min(MAX_MESSAGE_BYTES)];
                String::from_utf8_lossy(beginning).into_owned()
            }
            Err(failure) => failure.message,
        }
    }

    /// Whether the engine accepts connections.
    pub async fn is_reachable(&self, addr: SocketAddr) -> bool {
        let connecting = compio::net::TcpStream::connect(addr);
        matches!(
            compio::time::timeout(self.connect_timeout, connecting).await,
            Ok(Ok(_))
        )
    }

    /// Reads the engine's load.
    pub async fn load(&self, addr: SocketAddr) -> Result<LoadReport, CallError> {
        self.client
            .get_json(addr, "/v1/load", self.connect_timeout)
            .await
    }

    /// Reads the events of the engine's prefix cache from position `from`.
    pub async fn cache_events(
        &self,
        addr: SocketAddr,
        from: u64,
    ) -> Result<CacheEvents, CallError> {
        let path = format!("/v1/cache_events?from={from}");
        self.client
            .get_json(addr, &path, self.connect_timeout)
            .await
    }

    /// Makes the engine at `target` import a stream's KV cache. Waits up to `wait` for
    /// its completion.
    pub async fn import(
        &self,
        target: SocketAddr,
        request: &ImportRequest,
        wait: Duration,
    ) -> Result<(), CallError> {
        let _: Value = self
            .client
            .post_json(target, "/v1/kv/import", request, wait)
            .await?;
        Ok(())
    }

    /// Pauses a stream, keeping its KV cache, or resumes it.
    pub async fn set_paused(
        &self,
        addr: SocketAddr,
        request: &str,
        paused: bool,
    ) -> Result<(), CallError> {
        let action = if paused { "pause" } else { "resume" };
        let path = format!("/v1/streams/{request}/{action}");
        self.client
            .call(
                Method::POST,
                addr,
                &path,
                Bytes::new(),
                self.connect_timeout,
            )
            .await
            .map(|_| ())
    }

    /// Orders the engine to load a model. Returns `false` if the engine has seen a
    /// newer fencing token.
    pub async fn order(&self, addr: SocketAddr, order: &ModelOrder) -> Result<bool, CallError> {
        let body = serde_json::to_vec(order).expect("orders serialize to JSON");
        let reply = self
            .client
            .call(Method::POST, addr, "/v1/orders", body, self.connect_timeout)
            .await?;
        match reply.status {
            200 => Ok(true),
            409 => Ok(false),
            status => Err(CallError::Transport(format!(
                "the engine responded to a model order with status {status}"
            ))),
        }
    }
}

/// Whether a response declares that it is no stream of events.
fn declares_other_content(headers: &HeaderMap) -> bool {
    headers
        .get(CONTENT_TYPE)
        .is_some_and(|value| !value.to_str().is_ok_and(is_event_stream))
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
