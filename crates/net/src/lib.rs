//! HTTP on compio, for both sides of a connection.
//!
//! [`serve`] runs an accept loop with bounded headers, bodies and connections.
//! [`HttpClient`] makes pooled calls with a timeout, for the platform and peers.
//! [`send_unpooled`] sends a request on a connection of its own and says whether
//! any byte of it can have reached the other side, which calls that may not be
//! repeated depend on.

mod body;
mod client;
mod sse_splitter;
mod unpooled;
mod server;
mod sse_parser;
mod tasks;

pub use body::Body;
pub use body::BodySender;
pub use body::ChunkStream;
pub use body::read_body;
pub use client::CallError;
pub use client::HttpClient;
pub use client::Reply;
pub use sse_splitter::SseEvent;
pub use sse_splitter::SseSplitter;
pub use unpooled::RequestError;
pub use unpooled::send_unpooled;
pub use server::Handler;
pub use server::ServerLimits;
pub use server::serve;
pub use sse_parser::SseParser;
pub use tasks::CountGuard;
pub use tasks::bind;
pub use tasks::sleep_ms;
pub use tasks::spawn_detached;

use hyper::Response;
use hyper::StatusCode;
use hyper::header::CACHE_CONTROL;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use lycheehaven_types::Failure;
use serde::Serialize;

/// Builds a JSON answer that no cache may keep.
pub fn json_response(status: u16, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).expect("answers serialize to JSON");
    bytes_response(status, "application/json", bytes)
}

/// Builds an answer of any content type that no cache may keep.
pub fn bytes_response(
    status: u16,
    content_type: &'static str,
    bytes: impl Into<hyper::body::Bytes>,
) -> Response<Body> {
    let mut response = Response::new(Body::full(bytes));
    *response.status_mut() = StatusCode::from_u16(status).expect("status is in range");
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}

/// Builds the answer that the error table gives for `failure`.
pub fn failure_response(failure: &Failure) -> Response<Body> {
    let mut response = json_response(failure.kind.status(), &failure.body());
    if let Some(wait) = failure.retry_delay() {
        // Retry-After counts whole seconds; rounding up never invites early.
        let seconds = wait.as_millis().div_ceil(1000).max(1) as u64;
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}
