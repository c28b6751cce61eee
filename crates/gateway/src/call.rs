//! HTTP calls that must not take effect after their time limit.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use lycheehaven_channels::Connection;
use lycheehaven_net::Body;
use lycheehaven_net::read_body;

/// Largest response body that is read.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// The response to a call.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Reply {
    pub(crate) fn is_success(&self) -> bool {
        self.status.is_success()
    }
}

/// Posts a JSON body on a new connection and reads the response within `wait`.
/// If no response arrives in time, the connection is reset, so that data buffered
/// during a network partition is not delivered once the partition heals.
///
/// # Errors
/// Returns why there is no response. The call may have taken effect.
pub(crate) async fn post_once(
    addr: SocketAddr,
    path: &str,
    headers: &[(&'static str, String)],
    body: Vec<u8>,
    wait: Duration,
) -> Result<Reply, String> {
    let request = build_request(addr, path, headers, body)?;
    match compio::time::timeout(wait, exchange(addr, request, wait)).await {
        Ok(result) => result,
        Err(_) => Err("timed out waiting for the response".into()),
    }
}

fn build_request(
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
    *request.uri_mut() = path
        .parse()
        .map_err(|_| format!("{path} is not a valid path"))?;
    *request.headers_mut() = fields;
    Ok(request)
}

async fn exchange(
    addr: SocketAddr,
    request: Request<Body>,
    wait: Duration,
) -> Result<Reply, String> {
    let mut connection = Connection::open(addr, wait, Rc::new(Cell::new(0))).await?;
    let response = connection
        .send(request)
        .await
        .map_err(|cause| cause.to_string())?;
    let (parts, body) = response.into_parts();
    let body = read_body(body, MAX_RESPONSE_BYTES, wait)
        .await
        .map_err(|cause| cause.message)?;
    Ok(Reply {
        status: parts.status,
        headers: parts.headers,
        body,
    })
}
