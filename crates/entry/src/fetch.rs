//! Fetching of a request's answer from any entry, whole or from a token on.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::select;
use http_body_util::BodyStream;
use hyper::Request;
use hyper::Response;
use hyper::header::ACCEPT;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use lycheehaven_net::Body;
use lycheehaven_net::BodySender;
use lycheehaven_net::Incoming;
use lycheehaven_net::failure_response;
use lycheehaven_net::send_unpooled;
use lycheehaven_net::spawn_detached;
use lycheehaven_types::ErrorKind;
use lycheehaven_types::Failure;
use lycheehaven_types::Name;
use lycheehaven_types::RequestId;
use lycheehaven_types::is_event_stream;

use crate::node::Node;
use crate::node::PEER_KEY_HEADER;
use crate::plain;
use crate::record::Record;
use crate::record::Shape;
use crate::replicate;
use crate::respond;

/// Header that carries the caller's workspace to a peer.
pub(crate) const WORKSPACE_HEADER: &str = "x-workspace";

/// Timeout of connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a peer's response headers, which are sent once the whole answer
/// is complete.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(600);

/// Timeout of the response headers of a streamed answer, which are sent before
/// any token.
const STREAM_TIMEOUT: Duration = Duration::from_secs(2);

/// Form in which a caller fetches an answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FetchOptions {
    /// Whether to stream the answer as events.
    pub(crate) stream: bool,
    /// Number of leading tokens that the caller already has.
    pub(crate) from: usize,
}

impl FetchOptions {
    /// Parses `Accept` and `Last-Event-ID`. A `Last-Event-ID` implies
    /// streaming.
    pub(crate) fn parse<B>(request: &Request<B>) -> Result<Self, Failure> {
        let header = |name: &str| request.headers().get(name).and_then(|v| v.to_str().ok());
        let from = match header("last-event-id") {
            None => None,
            Some(text) => Some(text.parse::<usize>().map_err(|_| {
                Failure::new(
                    ErrorKind::BadRequest,
                    "Last-Event-ID: must be a number of tokens",
                )
            })?),
        };
        let accepts = header("accept").is_some_and(|value| value.contains("text/event-stream"));
        Ok(Self {
            stream: accepts || from.is_some(),
            from: from.unwrap_or(0),
        })
    }
}

/// Answers `GET /v1/requests/{id}`.
pub(crate) async fn handle(
    node: &Rc<Node>,
    workspace: Name,
    id: &str,
    request: &Request<Incoming>,
) -> Result<Response<Body>, Failure> {
    let options = FetchOptions::parse(request)?;
    let id = RequestId::parse(id).ok_or_else(unknown_request)?;
    if let Some(response) = serve_local(node, &workspace, &id, options).await {
        return response;
    }
    for addr in candidates(node, &id) {
        if let Some(response) = forward(node, &workspace, &id, options, addr).await {
            return Ok(response);
        }
    }
    // No peer serves the record. If its replica is held here, the owner counts
    // as lost, and this entry continues the answer.
    if let Some(record) = replicate::adopt(node, &id) {
        return serve(&workspace, record, options).await;
    }
    Err(unknown_request())
}

/// Answers from a record of this entry. Returns `None` if there is none, or if
/// it was handed over.
pub(crate) async fn serve_local(
    node: &Rc<Node>,
    workspace: &Name,
    id: &RequestId,
    options: FetchOptions,
) -> Option<Result<Response<Body>, Failure>> {
    let record = node.records.borrow().get(id).cloned();
    let record = record.filter(|record| !record.handed_over.get())?;
    Some(serve(workspace, record, options).await)
}

/// Answers on behalf of a peer that does not have the record. Adopts the record
/// if only its replica is held here.
pub(crate) async fn serve_local_or_adopt(
    node: &Rc<Node>,
    workspace: &Name,
    id: &RequestId,
    options: FetchOptions,
) -> Result<Response<Body>, Failure> {
    if let Some(response) = serve_local(node, workspace, id, options).await {
        return response;
    }
    let record = replicate::adopt(node, id).ok_or_else(unknown_request)?;
    serve(workspace, record, options).await
}

/// Answers from a record. For a workspace other than the record's own, the
/// answer is the same as for an unknown identifier, so that guessing
/// identifiers reveals nothing.
async fn serve(
    workspace: &Name,
    record: Rc<Record>,
    options: FetchOptions,
) -> Result<Response<Body>, Failure> {
    if record.request.workspace != *workspace {
        return Err(unknown_request());
    }
    if record.request.shape == Shape::Plain {
        return plain::await_answer(&record).await;
    }
    if options.from > record.token_count() {
        let message = format!(
            "Last-Event-ID: exceeds the {} tokens of the answer so far",
            record.token_count()
        );
        return Err(Failure::new(ErrorKind::BadRequest, message));
    }
    respond::answer(record, options.stream, options.from).await
}

/// Returns the addresses of live peers that may hold the record: its owner, its
/// first replica, then all others.
fn candidates(node: &Node, id: &RequestId) -> Vec<SocketAddr> {
    let now = node.now();
    let peers = node.peers.borrow();
    let preferred = [Some(id.owner()), id.replica()];
    let mut names: Vec<Name> = preferred.into_iter().flatten().map(Name::from).collect();
    names.extend(
        peers
            .alive(now)
            .into_iter()
            .map(|member| member.digest.name.clone()),
    );
    let mut seen = lycheehaven_types::HashSet::default();
    names.retain(|name| *name != node.settings.name && seen.insert(name.clone()));
    // Dead peers are skipped instead of waiting for their timeouts.
    names.retain(|name| peers.is_alive(name, now));
    names
        .iter()
        .filter_map(|name| peers.address(name))
        .collect()
}

async fn forward(
    node: &Rc<Node>,
    workspace: &Name,
    id: &RequestId,
    options: FetchOptions,
    addr: SocketAddr,
) -> Option<Response<Body>> {
    let mut request = Request::builder()
        .uri(format!("/peer/requests/{id}"))
        .header(HOST, addr.to_string())
        .header(PEER_KEY_HEADER, &node.settings.peer_key)
        .header(WORKSPACE_HEADER, &**workspace)
        .body(Body::full(""))
        .ok()?;
    if options.stream {
        let headers = request.headers_mut();
        headers.insert(ACCEPT, HeaderValue::from_static("text/event-stream"));
        headers.insert("last-event-id", HeaderValue::from(options.from));
    }
    let timeout = if options.stream {
        STREAM_TIMEOUT
    } else {
        ANSWER_TIMEOUT
    };
    let response = select! {
        response = send_unpooled(addr, request, CONNECT_TIMEOUT, timeout).fuse() => response.ok()?,
        () = node.shutdown.work_end().fuse() => return Some(failure_response(&moved(id))),
    };
    if response.status() == 404 {
        return None;
    }
    let (parts, incoming) = response.into_parts();
    let content_type = parts.headers.get(CONTENT_TYPE);
    let is_stream = content_type
        .and_then(|value| value.to_str().ok())
        .is_some_and(is_event_stream);
    let (sender, body) = Body::channel(1);
    spawn_detached(pass_on(
        node.clone(),
        id.clone(),
        incoming,
        is_stream,
        sender,
    ));
    let mut forwarded = Response::from_parts(parts, body);
    forwarded
        .headers_mut()
        .remove(hyper::header::TRANSFER_ENCODING);
    forwarded.headers_mut().remove(hyper::header::CONNECTION);
    Some(forwarded)
}

/// Passes on a peer's response until it ends, or until this entry stops: then the caller is
/// told to fetch the rest elsewhere if it has whole events of a stream, and its connection
/// breaks if not.
async fn pass_on(
    node: Rc<Node>,
    id: RequestId,
    incoming: hyper::body::Incoming,
    is_stream: bool,
    mut sender: BodySender,
) {
    let mut frames = BodyStream::new(incoming);
    let mut is_between_events = is_stream;
    loop {
        let frame = select! {
            frame = frames.next().fuse() => frame,
            () = node.shutdown.work_end().fuse() => break,
        };
        let data = match frame {
            None => return,
            Some(Ok(frame)) => frame.into_data().map(Ok),
            Some(Err(cause)) => Ok(Err(io::Error::other(cause))),
        };
        let Ok(data) = data else { continue };
        let ends_event = data.as_ref().is_ok_and(|bytes| bytes.ends_with(b"\n\n"));
        select! {
            sent = sender.send(data).fuse() => match sent {
                Ok(()) => is_between_events = is_stream && ends_event,
                Err(_) => return,
            },
            () = node.shutdown.work_end().fuse() => break,
        }
    }
    log::warn!(
        target: "lycheehaven",
        request = id.as_str(), is_whole = is_between_events;
        "the answer of a peer is passed on no further"
    );
    let last = match is_between_events {
        true => Ok(respond::moved_event(&id).into()),
        false => Err(io::Error::other("this entry stops within an event")),
    };
    // The caller may have left.
    let _ = sender.send(last).await;
}

fn moved(id: &RequestId) -> Failure {
    let message = format!("fetch the answer at /v1/requests/{id}");
    Failure::new(ErrorKind::Moved, message)
}

fn unknown_request() -> Failure {
    Failure::new(
        ErrorKind::UnknownRequest,
        "no such request in this workspace",
    )
}
