//! Stand-in plain service: price lookups and calls that are not repeatable.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use futures_util::StreamExt;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::header::CONTENT_LENGTH;
use lycheehaven_net::Body;
use lycheehaven_net::Incoming;
use lycheehaven_net::bytes_response;
use lycheehaven_net::json_response;
use lycheehaven_net::read_body;
use serde_json::json;
use tokio_util::sync::CancellationToken;

use crate::server::ServerThread;
use crate::server::serve_forever;

/// A call that the service ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// HTTP method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Idempotency key, if given.
    pub key: Option<String>,
    /// Body.
    pub body: Vec<u8>,
}

/// State of the stand-in plain service.
#[derive(Debug, Default)]
pub struct ServiceState {
    /// Calls that ran, in order.
    pub calls: Vec<Call>,
    /// Prices by item.
    pub prices: BTreeMap<String, u64>,
    /// Delay before each response.
    pub delay: Duration,
    /// Pause in the middle of the body of each response.
    pub body_pause: Duration,
}

impl ServiceState {
    /// Returns the number of calls that ran with idempotency key `key`.
    pub fn run_count(&self, key: &str) -> usize {
        self.calls
            .iter()
            .filter(|call| call.key.as_deref() == Some(key))
            .count()
    }
}

/// A running plain service.
#[derive(Debug)]
pub struct PlainService {
    state: Arc<Mutex<ServiceState>>,
    server: ServerThread,
}

impl PlainService {
    /// Starts on `addr`.
    pub fn start(addr: SocketAddr) -> Self {
        let state = Arc::new(Mutex::new(ServiceState::default()));
        let shared = state.clone();
        let server = ServerThread::start(addr, CancellationToken::new(), move |listener| {
            serve_forever(listener, move |request| handle(shared.clone(), request))
        });
        Self { state, server }
    }

    /// Returns the address of the service.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Locks the state, to modify or inspect it.
    pub fn state(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().expect("the lock is not poisoned")
    }

    /// Stops the service and aborts its connections.
    pub fn kill(&mut self) {
        self.server.kill();
    }
}

async fn handle(state: Arc<Mutex<ServiceState>>, request: Request<Incoming>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let Ok(body) = read_body(body, 1 << 20, Duration::from_secs(10)).await else {
        return bytes_response(400, "text/plain", "body can't be read");
    };
    let key = parts
        .headers
        .get("idempotency-key")
        .and_then(|value| value.to_str().ok());
    let call = Call {
        method: parts.method.to_string(),
        path: parts.uri.path().to_owned(),
        key: key.map(str::to_owned),
        body: body.to_vec(),
    };
    // The call counts as run once it is received, before the response is sent.
    let (response, delay, body_pause) = {
        let mut state = state.lock().expect("the lock is not poisoned");
        let number = state.calls.len() + 1;
        let response = run(&state, &parts.method, &call.path, number);
        state.calls.push(call);
        (response, state.delay, state.body_pause)
    };
    if !delay.is_zero() {
        compio::time::sleep(delay).await;
    }
    match body_pause.is_zero() {
        true => response,
        false => pause_within(response, body_pause),
    }
}

/// Returns a response whose body is sent in two halves, `pause` apart.
fn pause_within(response: Response<Body>, pause: Duration) -> Response<Body> {
    let (mut parts, body) = response.into_parts();
    let Body::Full(Some(mut bytes)) = body else {
        return Response::from_parts(parts, body);
    };
    parts.headers.remove(CONTENT_LENGTH);
    let rest = bytes.split_off(bytes.len() / 2);
    let halves = futures_util::stream::iter([(bytes, Duration::ZERO), (rest, pause)]);
    let chunks = halves.then(|(half, wait)| async move {
        compio::time::sleep(wait).await;
        Ok(half)
    });
    Response::from_parts(parts, Body::Chunks(Box::pin(chunks)))
}

fn run(state: &ServiceState, method: &Method, path: &str, number: usize) -> Response<Body> {
    if let Some(item) = path.strip_prefix("/price/") {
        return match state.prices.get(item) {
            Some(price) => json_response(200, &json!({"item": item, "price": price})),
            None => json_response(404, &json!({"item": item})),
        };
    }
    if method == Method::POST {
        return json_response(200, &json!({"path": path, "number": number}));
    }
    bytes_response(404, "text/plain", "no such path")
}
