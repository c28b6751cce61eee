//! Calls that must not arrive late.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::body::Bytes;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use lycheehaven_channels::Connection;
use lycheehaven_net::Body;
use lycheehaven_net::read_body;

/// Longest answer that is read.
const MAX_ANSWER: usize = 64 * 1024;

/// The answer to a call.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: Bytes,
}

impl Answer {
    pub(crate) fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// Posts a JSON body on a connection of its own and reads the answer within
/// `wait`. A call that gets no answer in time is reset, so that what the
/// network still holds of it is not delivered when a partition heals.
///
/// # Errors
/// Why there is no answer; the call may have taken effect.
pub(crate) async fn post_once(
    addr: SocketAddr,
    path: &str,
    headers: &[(&'static str, String)],
    body: Vec<u8>,
    wait: Duration,
) -> Result<Answer, String> {
    let request = build(addr, path, headers, body)?;
    match compio::time::timeout(wait, exchange(addr, request, wait)).await {
        Ok(result) => result,
        Err(_) => Err("no answer in time".into()),
    }
}

fn build(
    addr: SocketAddr,
    path: &str,
    headers: &[(&'static str, String)],
    body: Vec<u8>,
) -> Result<Request<Body>, String> {
    let mut fields = HeaderMap::new();
    let mut insert = |name: HeaderName, text: &str| -> Result<(), String> {
        let value = HeaderValue::from_str(text).map_err(|cause| cause.to_string())?;
        fields.insert(name, value);
        Ok(())
    };
    insert(HOST, &addr.to_string())?;
    insert(CONTENT_TYPE, "application/json")?;
    for (name, text) in headers {
        insert(HeaderName::from_static(name), text)?;
    }
    let mut request = Request::new(Body::full(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = path.parse().map_err(|_| format!("{path} is no path"))?;
    *request.headers_mut() = fields;
    Ok(request)
}

async fn exchange(
    addr: SocketAddr,
    request: Request<Body>,
    wait: Duration,
) -> Result<Answer, String> {
    let mut connection = Connection::open(addr, wait, Rc::new(Cell::new(0))).await?;
    let response = connection
        .send(request)
        .await
        .map_err(|cause| cause.to_string())?;
    let status = response.status().as_u16();
    let body = read_body(response.into_body(), MAX_ANSWER, wait)
        .await
        .map_err(|cause| cause.message)?;
    Ok(Answer { status, body })
}
