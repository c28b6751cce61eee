//! HTTP on compio, for both sides of a connection.
//!
//! [`serve`] runs a server with bounded headers and connections, whose
//! [`OpenRequests`] tell what a stop has to wait for, and
//! [`read_body`] reads a bounded body. [`HttpClient`] makes calls with a timeout
//! over pooled connections, for the platform and peers. [`send_unpooled`] sends
//! a request on a new connection and reports whether any byte of it can have
//! reached the server, which calls that are not repeatable depend on. [`spawn_loop`] and
//! [`catch_panic`] see to it that a panic ends neither a loop nor a request without a trace.

mod answering;
mod body;
mod client;
mod continuity;
mod early_answer;
mod fair_stream;
mod framing;
mod incoming;
mod open_requests;
mod request_bounds;
mod server;
mod server_connection;
mod sse_event;
mod sse_parser;
mod sse_splitter;
mod supervise;
mod tasks;
mod unpooled;

pub use body::Body;
pub use body::BodySender;
pub use body::ChunkStream;
pub use body::collect_body;
pub use body::read_body;
pub use client::CallError;
pub use client::HttpClient;
pub use client::Reply;
pub use continuity::Continuity;
pub use continuity::Discontinuity;
pub use early_answer::AnsweredBody;
pub use early_answer::BodyRest;
pub use fair_stream::FairStream;
pub use framing::Framing;
pub use incoming::Incoming;
pub use open_requests::OpenRequest;
pub use open_requests::OpenRequests;
pub use open_requests::Phase;
pub use open_requests::RequestId;
pub use server::Handler;
pub use server::ServerLimits;
pub use server::serve;
pub use server::serve_counted;
pub use sse_event::SseContent;
pub use sse_event::SseEvent;
pub use sse_parser::SseParser;
pub use sse_splitter::SseSplitter;
pub use supervise::Panicked;
pub use supervise::catch_panic;
pub use supervise::spawn_loop;
pub use supervise::spawn_vital;
pub use tasks::CountGuard;
pub use tasks::bind;
pub use tasks::sleep_ms;
pub use tasks::spawn_detached;
pub use tasks::yield_now;
pub use unpooled::RequestError;
pub use unpooled::connect;
pub use unpooled::exchange;
pub use unpooled::send_over;
pub use unpooled::send_unpooled;

use hyper::Response;
use hyper::StatusCode;
use hyper::header::CACHE_CONTROL;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use lycheehaven_types::Failure;
use serde::Serialize;

/// Builds a JSON response that caches may not store.
pub fn json_response(status: u16, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).expect("responses serialize to JSON");
    bytes_response(status, "application/json", bytes)
}

/// Builds a response of any content type that caches may not store.
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

/// Builds the error response for `failure`, with a `Retry-After` header if a
/// retry can succeed.
pub fn failure_response(failure: &Failure) -> Response<Body> {
    let mut response = json_response(failure.kind.status(), &failure.body());
    if let Some(delay) = failure.retry_delay() {
        // Retry-After is in whole seconds; rounding up avoids early retries.
        let seconds = delay.as_millis().div_ceil(1000).max(1) as u64;
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}
