//! HTTP client with pooled connections and a timeout per call.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use hyper::HeaderMap;
use hyper::Method;
use hyper::body::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest body of a response. The platform's objects and pages are about 1 MB.
const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;

/// Why a call returned no response. The request may have taken effect.
#[derive(Debug)]
pub enum CallError {
    /// No complete response arrived before the timeout.
    Timeout,
    /// The connection failed, or the status was not 2xx where that is required.
    Transport(String),
    /// The response could not be decoded.
    Decode(String),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Timeout => f.write_str("no response before the timeout"),
            Self::Transport(cause) => write!(f, "connection failed: {cause}"),
            Self::Decode(cause) => write!(f, "response can't be decoded: {cause}"),
        }
    }
}

impl std::error::Error for CallError {}

/// A complete response.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Reply {
    /// Returns whether the status is 2xx.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Decodes a JSON body.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(|cause| CallError::Decode(cause.to_string()))
    }

    /// Decodes a MessagePack body.
    pub fn msgpack<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        rmp_serde::from_slice(&self.body).map_err(|cause| CallError::Decode(cause.to_string()))
    }
}

/// Makes calls over pooled connections. Clones are cheap and share the pool.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: cyper::Client,
    headers: Vec<(&'static str, String)>,
}

impl HttpClient {
    /// Creates a client that ignores the environment's proxy variables.
    pub fn new() -> Self {
        let client = cyper::Client::builder()
            .no_proxy()
            .build()
            .expect("a client without TLS always builds");
        Self {
            client,
            headers: Vec::new(),
        }
    }

    /// Sends `value` as header `name` with every call.
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Sends one request and reads the complete response within `timeout`.
    pub async fn call(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        body: impl Into<Bytes>,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        self.call_with_headers(method, addr, path, &[], body, timeout)
            .await
    }

    /// Like [`HttpClient::call`], with additional headers.
    #[allow(clippy::too_many_arguments)]
    pub async fn call_with_headers(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        headers: &[(&str, String)],
        body: impl Into<Bytes>,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        let reply = self.send(method, addr, path, headers, body.into());
        match compio::time::timeout(timeout, reply).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(cause)) => Err(CallError::Transport(cause)),
            Err(_) => Err(CallError::Timeout),
        }
    }

    /// Posts a JSON value and decodes the JSON response, whose status must be
    /// 2xx.
    pub async fn post_json<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        value: &impl Serialize,
        timeout: Duration,
    ) -> Result<T, CallError> {
        let body = serde_json::to_vec(value).expect("requests serialize to JSON");
        let reply = self.call(Method::POST, addr, path, body, timeout).await?;
        expect_success(reply)?.json()
    }

    /// Gets a JSON value; the status must be 2xx.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<T, CallError> {
        let reply = self
            .call(Method::GET, addr, path, Bytes::new(), timeout)
            .await?;
        expect_success(reply)?.json()
    }

    /// Posts a MessagePack value and decodes the MessagePack response, whose
    /// status must be 2xx.
    pub async fn post_msgpack<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        value: &impl Serialize,
        timeout: Duration,
    ) -> Result<T, CallError> {
        let body = rmp_serde::to_vec(value).expect("messages serialize to MessagePack");
        let reply = self.call(Method::POST, addr, path, body, timeout).await?;
        expect_success(reply)?.msgpack()
    }

    async fn send(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        headers: &[(&str, String)],
        body: Bytes,
    ) -> Result<Reply, String> {
        let text = |cause: cyper::Error| cause.to_string();
        let mut request = self
            .client
            .request(method, format!("http://{addr}{path}"))
            .map_err(text)?;
        for (name, value) in &self.headers {
            request = request.header(*name, value.as_str()).map_err(text)?;
        }
        for (name, value) in headers {
            request = request.header(*name, value.as_str()).map_err(text)?;
        }
        let response = request.body(body).send().await.map_err(text)?;
        let status = response.status().as_u16();
        let headers = response.headers().clone();
        let body = read_reply(response).await?;
        Ok(Reply {
            status,
            headers,
            body,
        })
    }
}

/// Reads the body of a response of at most [`MAX_REPLY_BYTES`].
async fn read_reply(response: cyper::Response) -> Result<Bytes, String> {
    let mut chunks = response.bytes_stream();
    let mut body = Vec::new();
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk.map_err(|cause| cause.to_string())?;
        if body.len() + chunk.len() > MAX_REPLY_BYTES {
            return Err(format!(
                "the response is larger than {MAX_REPLY_BYTES} bytes"
            ));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.into())
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

fn expect_success(reply: Reply) -> Result<Reply, CallError> {
    if reply.is_success() {
        return Ok(reply);
    }
    let text = String::from_utf8_lossy(&reply.body);
    Err(CallError::Transport(format!(
        "status {}: {text}",
        reply.status
    )))
}
