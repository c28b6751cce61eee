//! HTTP calls to plain services.

use std::net::SocketAddr;

use compio::net::TcpStream;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::body::Bytes;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use lycheehaven_net::Body;
use lycheehaven_net::RequestError;
use lycheehaven_net::collect_body;
use lycheehaven_net::exchange;
use serde::Deserialize;
use serde::Serialize;

use crate::notice::UpstreamNotice;

/// Largest response body of a plain service.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// A call to forward to a plain service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PlainCall {
    /// HTTP method.
    pub method: String,
    /// Path and query at the service.
    pub path: String,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Body.
    pub body: Vec<u8>,
    /// Idempotency key, forwarded so that the service can detect repeated calls.
    pub key: Option<String>,
}

/// The response of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Body.
    pub body: Vec<u8>,
}

/// The response of a plain service, and what it says of the service's VM.
#[derive(Debug)]
pub struct PlainReply {
    /// Response for the caller.
    pub response: PlainResponse,
    /// What the response says of the upstream.
    pub notice: UpstreamNotice,
}

/// Sends `call` over `stream`, a new connection to `addr`, once, and reads the whole
/// response. It waits for as long as the connection lasts; dropping the future closes it.
///
/// # Errors
/// Returns [`RequestError::NotSent`] only if no byte of the call was sent, and
/// [`RequestError::Uncertain`] if the service may have run it.
pub async fn send_once(
    stream: TcpStream,
    addr: SocketAddr,
    call: &PlainCall,
) -> Result<PlainReply, RequestError> {
    let request = build_request(addr, call).map_err(RequestError::NotSent)?;
    let response = exchange(stream, request).await?;
    let status = response.status().as_u16();
    let notice = UpstreamNotice::of(response.status(), response.headers());
    let content_type = content_type_text(response.headers());
    let body = response.into_body().map_err(std::io::Error::other);
    let body = collect_body(body, MAX_RESPONSE_BYTES)
        .await
        .map_err(|failure| RequestError::Uncertain(failure.message))?;
    let response = PlainResponse {
        status,
        content_type,
        body: body.to_vec(),
    };
    Ok(PlainReply { response, notice })
}

fn content_type_text(headers: &HeaderMap) -> Option<String> {
    headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned)
}

fn build_request(addr: SocketAddr, call: &PlainCall) -> Result<Request<Body>, String> {
    let method = Method::from_bytes(call.method.as_bytes()).map_err(|cause| cause.to_string())?;
    let mut request = Request::builder()
        .method(method)
        .uri(&call.path)
        .header(HOST, addr.to_string())
        .body(Body::full(Bytes::from(call.body.clone())))
        .map_err(|cause| cause.to_string())?;
    if let Some(text) = &call.content_type {
        let value = HeaderValue::from_str(text).map_err(|cause| cause.to_string())?;
        request.headers_mut().insert(CONTENT_TYPE, value);
    }
    if let Some(text) = &call.key {
        let value = HeaderValue::from_str(text).map_err(|cause| cause.to_string())?;
        request.headers_mut().insert("idempotency-key", value);
    }
    Ok(request)
}
