//! A caller of the public API.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use compio::net::TcpStream;
use futures_util::StreamExt;
use http_body_util::BodyStream;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use lycheehaven_net::Body;
use lycheehaven_net::CallError;
use lycheehaven_net::HttpClient;
use lycheehaven_net::Reply;
use lycheehaven_net::RequestError;
use lycheehaven_net::send_over;
use serde_json::Value;
use serde_json::json;
use socket2::SockRef;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// Size of the kernel's buffer for what a caller has not read, which accounts for twice as
/// much. A size that is set does not grow with the data.
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;

/// A caller that authenticates with a workspace's bearer key.
#[derive(Debug, Clone)]
pub struct Client {
    key: String,
    http: HttpClient,
}

/// The part of a streamed answer that a caller has received.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Received {
    /// Identifier of the request.
    pub id: String,
    /// Text of all tokens.
    pub text: String,
    /// Value of the last event's `id` field, which counts the tokens received.
    pub tokens: usize,
    /// Finish reason, if the answer is complete.
    pub finish: Option<String>,
    /// Kind of the error event or error response, if one was received.
    pub error: Option<String>,
    /// Whether the entry announced that the answer moved to another entry.
    pub moved: bool,
}

/// A streamed answer that is being received.
pub struct TokenStream {
    /// Received part of the answer.
    pub received: Received,
    /// Size of all events received on this connection.
    pub bytes: usize,
    body: BodyStream<Incoming>,
    buffer: String,
}

/// Sends a request over a new connection with a receive buffer of a fixed size.
async fn send(
    addr: SocketAddr,
    request: Request<Body>,
) -> Result<Response<Incoming>, RequestError> {
    let connecting = compio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
    let stream = connecting
        .map_err(|_| RequestError::NotSent("connection attempt timed out".into()))?
        .map_err(|cause| RequestError::NotSent(cause.to_string()))?;
    SockRef::from(&stream)
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .map_err(|cause| RequestError::NotSent(cause.to_string()))?;
    send_over(stream, request, RESPONSE_TIMEOUT).await
}

impl Client {
    /// Creates a caller with bearer key `key`.
    pub fn new(key: &str) -> Self {
        let http = HttpClient::new().with_header("authorization", format!("Bearer {key}"));
        Self {
            key: key.into(),
            http,
        }
    }

    /// Starts a streamed completion.
    pub async fn stream(
        &self,
        addr: SocketAddr,
        prompt: &str,
    ) -> Result<TokenStream, RequestError> {
        let body = json!({
            "model": "poleer-llm", "prompt": prompt, "stream": true, "max_tokens": 100_000,
        });
        let request = self
            .request(addr, Method::POST, "/v1/completions")
            .header("content-type", "application/json")
            .body(Body::full(
                serde_json::to_vec(&body).expect("JSON serializes"),
            ))
            .expect("request parts are valid");
        let response = send(addr, request).await?;
        Ok(TokenStream::new(response, Received::default()))
    }

    /// Resumes a streamed answer after the last received token.
    pub async fn resume(
        &self,
        addr: SocketAddr,
        received: &Received,
    ) -> Result<TokenStream, RequestError> {
        let path = format!("/v1/requests/{}", received.id);
        let request = self
            .request(addr, Method::GET, &path)
            .header("accept", "text/event-stream")
            .header("last-event-id", received.tokens.to_string())
            .body(Body::full(""))
            .expect("request parts are valid");
        let response = send(addr, request).await?;
        let received = Received {
            moved: false,
            error: None,
            finish: None,
            ..received.clone()
        };
        Ok(TokenStream::new(response, received))
    }

    /// Receives a streamed completion to its end, resuming through the next of
    /// `entries` whenever the connection breaks or the answer moves. Gives up
    /// after `RESPONSE_TIMEOUT`.
    pub async fn stream_to_end(&self, entries: &[SocketAddr], prompt: &str) -> Received {
        let deadline = Instant::now() + RESPONSE_TIMEOUT;
        let mut received = Received::default();
        for addr in entries.iter().cycle() {
            if Instant::now() > deadline {
                return received;
            }
            let opened = if received.id.is_empty() {
                self.stream(*addr, prompt).await
            } else {
                self.resume(*addr, &received).await
            };
            if let Ok(mut stream) = opened {
                while stream.next().await {}
                let error = stream.received.error.as_deref();
                let unknown = error == Some("unknown_request");
                let responded = error.is_some() || !stream.received.id.is_empty();
                if responded && !unknown {
                    received = stream.received;
                }
            }
            if received.finish.is_some() || received.error.is_some() {
                return received;
            }
            compio::time::sleep(Duration::from_millis(20)).await;
        }
        received
    }

    /// Requests a completion that is not streamed.
    pub async fn complete(&self, addr: SocketAddr, prompt: &str) -> Result<Reply, CallError> {
        let body = json!({"model": "poleer-llm", "prompt": prompt, "max_tokens": 100_000});
        let body = serde_json::to_vec(&body).expect("JSON serializes");
        self.http
            .call(
                Method::POST,
                addr,
                "/v1/completions",
                body,
                RESPONSE_TIMEOUT,
            )
            .await
    }

    /// Calls a plain service, with idempotency key `key` if given.
    pub async fn call(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> Result<Reply, CallError> {
        let path = format!("/v1/services/{path}");
        let headers: Vec<(&str, String)> = key
            .map(|key| ("idempotency-key", key.to_owned()))
            .into_iter()
            .collect();
        self.http
            .call_with_headers(
                method,
                addr,
                &path,
                &headers,
                body.to_owned(),
                RESPONSE_TIMEOUT,
            )
            .await
    }

    fn request(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
    ) -> hyper::http::request::Builder {
        Request::builder()
            .method(method)
            .uri(path)
            .header("host", addr.to_string())
            .header("authorization", format!("Bearer {}", self.key))
    }
}

impl TokenStream {
    fn new(response: Response<Incoming>, mut received: Received) -> Self {
        if response.status() == 200 {
            let id = response
                .headers()
                .get("x-request-id")
                .and_then(|v| v.to_str().ok());
            received.id = id.unwrap_or_default().to_owned();
        }
        Self {
            received,
            bytes: 0,
            body: BodyStream::new(response.into_body()),
            buffer: String::new(),
        }
    }

    /// Receives more of the answer. Returns `false` at its end, or if the
    /// connection breaks before.
    pub async fn next(&mut self) -> bool {
        if self.received.finish.is_some() || self.received.error.is_some() || self.received.moved {
            return false;
        }
        let frame = compio::time::timeout(RESPONSE_TIMEOUT, self.body.next()).await;
        match frame {
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    self.buffer.push_str(&String::from_utf8_lossy(&data));
                    self.parse();
                }
                true
            }
            _ => {
                // An error response is a JSON body without event framing.
                if let Ok(value) = serde_json::from_str::<Value>(&self.buffer) {
                    self.received.error = value["error"]["kind"].as_str().map(str::to_owned);
                }
                false
            }
        }
    }

    /// Receives until at least `count` tokens have arrived or the stream ends.
    pub async fn receive(&mut self, count: usize) {
        while self.received.tokens < count && self.next().await {}
    }

    fn parse(&mut self) {
        while let Some(end) = self.buffer.find("\n\n") {
            let event: String = self.buffer.drain(..end + 2).collect();
            self.bytes += event.len();
            self.apply(&event);
        }
    }

    fn apply(&mut self, event: &str) {
        let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
        let data = field("data: ").unwrap_or_default();
        let value: Value = serde_json::from_str(data).unwrap_or_default();
        match field("event: ") {
            Some("error") => {
                self.received.error = value["error"]["kind"].as_str().map(str::to_owned);
                return;
            }
            Some("moved") => {
                self.received.moved = true;
                return;
            }
            _ => {}
        }
        let choice = &value["choices"][0];
        self.received
            .text
            .push_str(choice["text"].as_str().unwrap_or_default());
        if let Some(tokens) = field("id: ").and_then(|text| text.parse().ok()) {
            self.received.tokens = tokens;
        }
        if let Some(reason) = choice["finish_reason"].as_str() {
            self.received.finish = Some(reason.to_owned());
        }
    }
}
