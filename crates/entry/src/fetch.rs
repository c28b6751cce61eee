//! Fetching and resuming a request's answer from any entry.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use http_body_util::BodyStream;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::ACCEPT;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use lycheehaven_net::Body;
use lycheehaven_net::send_unpooled;
use lycheehaven_net::spawn_detached;
use lycheehaven_types::ErrorKind;
use lycheehaven_types::Failure;
use lycheehaven_types::Name;
use lycheehaven_types::RequestId;

use crate::node::Node;
use crate::node::PEER_KEY_HEADER;
use crate::plain;
use crate::record::Record;
use crate::record::Shape;
use crate::replicate;
use crate::respond;

/// Header by which an entry names the workspace to a peer.
pub(crate) const WORKSPACE_HEADER: &str = "x-workspace";

/// Timeout of connecting to a peer.
const CONNECT_WAIT: Duration = Duration::from_millis(500);

/// Timeout of a peer's answer headers; a whole answer may take this long.
const ANSWER_WAIT: Duration = Duration::from_secs(600);

/// Timeout of a streamed answer's headers, which need no token.
const STREAM_WAIT: Duration = Duration::from_secs(2);

/// What a caller wants of an answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Want {
    /// Whether token by token.
    pub(crate) stream: bool,
    /// Tokens that the caller already has.
    pub(crate) from: usize,
}

impl Want {
    /// Reads `Accept` and `Last-Event-ID`.
    pub(crate) fn of<B>(request: &Request<B>) -> Result<Self, Failure> {
        let header = |name: &str| request.headers().get(name).and_then(|v| v.to_str().ok());
        let from = match header("last-event-id") {
            None => None,
            Some(text) => Some(text.parse::<usize>().map_err(|_| {
                Failure::new(
                    ErrorKind::BadRequest,
                    "Last-Event-ID: accepted is a token count",
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
    let want = Want::of(request)?;
    let id = RequestId::parse(id).ok_or_else(unknown)?;
    if let Some(response) = local(node, &workspace, &id, want).await {
        return response;
    }
    for addr in holders(node, &id) {
        if let Some(response) = forward(node, &workspace, &id, want, addr).await {
            return Ok(response);
        }
    }
    // The owner can't be reached, so its replica continues the answer.
    if let Some(record) = replicate::adopt(node, &id) {
        return serve(&workspace, record, want).await;
    }
    Err(unknown())
}

/// Answers from this entry's own records. `None` if it holds none.
pub(crate) async fn local(
    node: &Rc<Node>,
    workspace: &Name,
    id: &RequestId,
    want: Want,
) -> Option<Result<Response<Body>, Failure>> {
    let record = node.records.borrow().get(id).cloned();
    let record = record.filter(|record| !record.given.get())?;
    Some(serve(workspace, record, want).await)
}

/// Answers a peer that found the owner unreachable or does not know it.
pub(crate) async fn local_or_adopt(
    node: &Rc<Node>,
    workspace: &Name,
    id: &RequestId,
    want: Want,
) -> Result<Response<Body>, Failure> {
    if let Some(response) = local(node, workspace, id, want).await {
        return response;
    }
    let record = replicate::adopt(node, id).ok_or_else(unknown)?;
    serve(workspace, record, want).await
}

/// A workspace that guesses another's identifier learns nothing from the answer.
async fn serve(
    workspace: &Name,
    record: Rc<Record>,
    want: Want,
) -> Result<Response<Body>, Failure> {
    if record.request.workspace != *workspace {
        return Err(unknown());
    }
    if record.request.shape == Shape::Plain {
        return plain::await_answer(&record).await;
    }
    if want.from > record.length() {
        let message = format!(
            "Last-Event-ID: the answer has {} tokens so far",
            record.length()
        );
        return Err(Failure::new(ErrorKind::BadRequest, message));
    }
    respond::answer(record, want.stream, want.from).await
}

/// Peers that may hold the record: its owner, its first replica, then everyone.
fn holders(node: &Node, id: &RequestId) -> Vec<SocketAddr> {
    let now = node.now();
    let peers = node.peers.borrow();
    let named = [Some(id.owner()), id.replica()];
    let mut names: Vec<Name> = named.into_iter().flatten().map(Name::from).collect();
    names.extend(
        peers
            .alive(now)
            .into_iter()
            .map(|member| member.digest.name.clone()),
    );
    let mut seen = lycheehaven_types::HashSet::default();
    names.retain(|name| *name != node.settings.name && seen.insert(name.clone()));
    // A dead owner is not waited for; its replica is asked at once.
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
    want: Want,
    addr: SocketAddr,
) -> Option<Response<Body>> {
    let mut request = Request::builder()
        .uri(format!("/peer/requests/{id}"))
        .header(HOST, addr.to_string())
        .header(PEER_KEY_HEADER, &node.settings.peer_key)
        .header(WORKSPACE_HEADER, &**workspace)
        .body(Body::full(""))
        .ok()?;
    if want.stream {
        let headers = request.headers_mut();
        headers.insert(ACCEPT, HeaderValue::from_static("text/event-stream"));
        headers.insert("last-event-id", HeaderValue::from(want.from));
    }
    let wait = if want.stream {
        STREAM_WAIT
    } else {
        ANSWER_WAIT
    };
    let response = send_unpooled(addr, request, CONNECT_WAIT, wait)
        .await
        .ok()?;
    if response.status() == 404 {
        return None;
    }
    let (parts, incoming) = response.into_parts();
    let (mut sender, body) = Body::channel(1);
    spawn_detached(async move {
        let mut frames = BodyStream::new(incoming);
        while let Some(frame) = frames.next().await {
            let data = match frame {
                Ok(frame) => frame.into_data().map(Ok),
                Err(cause) => Ok(Err(std::io::Error::other(cause))),
            };
            let Ok(data) = data else { continue };
            if sender.send(data).await.is_err() {
                return;
            }
        }
    });
    let mut forwarded = Response::from_parts(parts, body);
    forwarded
        .headers_mut()
        .remove(hyper::header::TRANSFER_ENCODING);
    forwarded.headers_mut().remove(hyper::header::CONNECTION);
    Some(forwarded)
}

fn unknown() -> Failure {
    Failure::new(
        ErrorKind::UnknownRequest,
        "no such request of this workspace",
    )
}
