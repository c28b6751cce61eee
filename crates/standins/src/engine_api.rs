//! HTTP API of the stand-in model engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use lycheehaven_net::Body;
use lycheehaven_net::HttpClient;
use lycheehaven_net::Incoming;
use lycheehaven_net::bytes_response;
use lycheehaven_net::json_response;
use lycheehaven_net::read_body;
use lycheehaven_upstream::protocol::Continuation;
use lycheehaven_upstream::protocol::ImportRequest;
use lycheehaven_upstream::protocol::KvCache;
use lycheehaven_upstream::protocol::ModelOrder;
use lycheehaven_upstream::protocol::prompt_text;
use serde_json::Map;
use serde_json::Value;
use tokio_util::sync::CancellationToken;

use crate::engine::EngineParams;
use crate::engine::EngineState;
use crate::engine::Generation;
use crate::engine::SilentAt;
use crate::engine::crash_offset;
use crate::engine::natural_length;
use crate::platform_api::number;
use crate::server::ServerThread;
use crate::server::serve_forever;

/// Token limit of requests without `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// Number of events buffered per stream before its generation pauses.
const OUTPUT_BUFFER_EVENTS: usize = 64;

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    state: Arc<Mutex<EngineState>>,
    server: ServerThread,
}

impl Engine {
    /// Starts an engine on `addr`.
    pub fn start(addr: SocketAddr, params: EngineParams) -> Self {
        let state = Arc::new(Mutex::new(EngineState::new(params)));
        let token = CancellationToken::new();
        let api = Api {
            state: state.clone(),
            client: None,
        };
        let stop = token.clone();
        let server = ServerThread::start(addr, token, move |listener| async move {
            // The client is bound to the event loop of the thread that creates
            // it.
            let api = Api {
                client: Some(HttpClient::new()),
                ..api
            };
            compio::runtime::spawn(run_steps(api.state.clone(), stop)).detach();
            serve_forever(listener, move |request| {
                let api = api.clone();
                async move { api.handle(request).await }
            })
            .await;
        });
        Self { state, server }
    }

    /// Returns the address of the engine.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Locks the state, to modify or inspect it.
    pub fn state(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().expect("the lock is not poisoned")
    }

    /// Returns whether the engine was neither killed nor crashed.
    pub fn is_running(&self) -> bool {
        self.server.is_running()
    }

    /// Stops the engine and aborts its connections.
    pub fn kill(&mut self) {
        self.server.kill();
    }
}

async fn run_steps(state: Arc<Mutex<EngineState>>, stop: CancellationToken) {
    loop {
        let step = state.lock().expect("the lock is not poisoned").step();
        match step {
            Some(step) => compio::time::sleep(step).await,
            None => return stop.cancel(),
        }
    }
}

#[derive(Clone)]
struct Api {
    state: Arc<Mutex<EngineState>>,
    client: Option<HttpClient>,
}

impl Api {
    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().expect("the lock is not poisoned")
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        if let Some(id) = path.strip_prefix("/v1/kv/export/") {
            return match self.lock().export(id) {
                Some(tokens) => json_response(200, &KvCache { tokens }),
                None => bytes_response(404, "text/plain", "no such stream"),
            };
        }
        if let Some(rest) = path.strip_prefix("/v1/streams/") {
            let (id, action) = rest.rsplit_once('/').unwrap_or((rest, ""));
            let status = match action {
                "pause" | "resume" if self.lock().set_paused(id, action == "pause") => 200,
                _ => 404,
            };
            return bytes_response(status, "text/plain", "");
        }
        match (request.method(), path.as_str()) {
            (&Method::GET, "/v1/load") => json_response(200, &self.lock().published_load()),
            (&Method::GET, "/v1/cache_events") => {
                let from = number(&request, "from");
                json_response(200, &self.lock().published_events(from))
            }
            (&Method::POST, "/v1/completions" | "/v1/chat/completions") => {
                self.complete(request).await
            }
            (&Method::POST, "/v1/kv/import") => self.import(request).await,
            (&Method::POST, "/v1/orders") => self.order(request).await,
            _ => bytes_response(404, "text/plain", "no such path"),
        }
    }

    async fn complete(&self, request: Request<Incoming>) -> Response<Body> {
        let Some(body) = read_json::<Map<String, Value>>(request).await else {
            return bytes_response(400, "text/plain", "invalid body");
        };
        let continuation = body.get("continuation").cloned().unwrap_or_default();
        let Ok(continuation) = serde_json::from_value::<Continuation>(continuation) else {
            return bytes_response(400, "text/plain", "invalid continuation");
        };
        let prompt = prompt_text(&body);
        let limit = body
            .get("max_tokens")
            .and_then(Value::as_u64)
            .unwrap_or(DEFAULT_MAX_TOKENS);
        let natural = natural_length(&prompt);
        let (sender, stream) = Body::channel(OUTPUT_BUFFER_EVENTS);
        let words = prompt.split_whitespace().count();
        let software = self.lock().params.software.clone();
        let generation = Generation {
            software,
            request: continuation.request,
            attempt: continuation.attempt,
            crash_at: crash_offset(&prompt),
            offset: continuation.offset,
            length: natural.min(limit as usize),
            finish: if natural <= limit as usize {
                "stop"
            } else {
                "length"
            },
            prefill: 0,
            context: (words + continuation.offset) as u64,
            priority: continuation.priority,
            exported: false,
            paused: false,
            unsent: None,
            output: sender,
            prompt,
        };
        self.lock().admit(generation);
        loop {
            // The lock must not be held while the task sleeps.
            let silence = self.lock().silence();
            match silence {
                Some((SilentAt::Head, rest)) => compio::time::sleep(rest).await,
                _ => break,
            }
        }
        let mut response = bytes_response(200, "text/event-stream", "");
        *response.body_mut() = stream;
        response
    }

    async fn import(&self, request: Request<Incoming>) -> Response<Body> {
        let Some(import) = read_json::<ImportRequest>(request).await else {
            return bytes_response(400, "text/plain", "invalid import request");
        };
        let client = self.client.clone().expect("running engine has a client");
        let path = format!("/v1/kv/export/{}", import.request);
        let timeout = Duration::from_secs(5);
        let Ok(cache) = client
            .get_json::<KvCache>(import.source, &path, timeout)
            .await
        else {
            return bytes_response(502, "text/plain", "the source returned no KV cache");
        };
        let rate = self.lock().params.link_rate.max(0.001);
        compio::time::sleep(Duration::from_secs_f64(cache.tokens as f64 / rate / 1e3)).await;
        self.lock().imported.insert(import.request, cache.tokens);
        json_response(200, &cache)
    }

    async fn order(&self, request: Request<Incoming>) -> Response<Body> {
        let Some(order) = read_json::<ModelOrder>(request).await else {
            return bytes_response(400, "text/plain", "invalid order");
        };
        let load_time = {
            let mut state = self.lock();
            if state.params.fenced && order.fence < state.model.fence {
                return bytes_response(409, "text/plain", "outdated fencing token");
            }
            state.orders.push(order.clone());
            state.params.load_time
        };
        compio::time::sleep(load_time).await;
        self.lock().model = order;
        json_response(200, &true)
    }
}

async fn read_json<T: serde::de::DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    let body = read_body(request.into_body(), 8 << 20, Duration::from_secs(10))
        .await
        .ok()?;
    serde_json::from_slice(&body).ok()
}
