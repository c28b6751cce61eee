//! Acceptance of completions and chat completions.

use std::rc::Rc;
use std::time::Duration;

use hyper::Request as HttpRequest;
use hyper::Response;
use hyper::body::Incoming;
use lycheehaven_config::ServiceKind;
use lycheehaven_limits::Permit;
use lycheehaven_limits::Rejection;
use lycheehaven_net::Body;
use lycheehaven_net::json_response;
use lycheehaven_net::read_body;
use lycheehaven_net::spawn_detached;
use lycheehaven_streams::Stream;
use lycheehaven_types::Digest;
use lycheehaven_types::ErrorKind;
use lycheehaven_types::Failure;
use lycheehaven_types::Name;
use lycheehaven_types::RequestId;
use lycheehaven_upstream::protocol::prompt_text;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use crate::metrics::kind;
use crate::node::Node;
use crate::record::Record;
use crate::record::Request;
use crate::record::Shape;
use crate::relay;
use crate::respond;

/// Time for a request body to arrive.
pub(crate) const BODY_WAIT: Duration = Duration::from_secs(10);

/// Tokens generated where the caller states no bound.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// Largest bound that a caller may state.
const MAX_TOKENS_LIMIT: u64 = 1 << 20;

/// Quantile of learned lengths that admission charges.
const CHARGE_QUANTILE: f64 = 0.7;

/// Longest idempotency key.
const KEY_LIMIT: usize = 256;

/// A request as parsed.
struct Parsed {
    body: Map<String, Value>,
    service: Name,
    stream: bool,
    max_tokens: usize,
    prompt_tokens: u64,
}

/// Accepts a request and answers it.
pub(crate) async fn handle(
    node: &Rc<Node>,
    workspace: Name,
    shape: Shape,
    request: HttpRequest<Incoming>,
) -> Result<Response<Body>, Failure> {
    let key = idempotency_key(&request)?;
    let limit = node.settings.streams.body_bytes;
    let bytes = read_body(request.into_body(), limit, BODY_WAIT).await?;
    let parsed = parse(node, shape, &bytes)?;
    let key = key.map(|key| Digest::of(&[workspace.as_bytes(), key.as_bytes()]));
    let body_text = serde_json::to_vec(&parsed.body).expect("JSON serializes");
    let digest = Digest::of(&[workspace.as_bytes(), parsed.service.as_bytes(), &body_text]);
    let stream = parsed.stream;
    let record = match known_record(node, key, digest)? {
        Some(record) => record,
        None => accept(node, workspace, shape, parsed, digest, key)?,
    };
    respond::answer(record, stream, 0).await
}

/// Lists the declared model services in the shape of a model list.
pub(crate) fn list_models(node: &Node) -> Response<Body> {
    let declared = node.declared();
    let models = declared
        .services
        .iter()
        .filter(|(_, s)| s.kind == ServiceKind::Model);
    let data: Vec<Value> = models
        .map(|(name, _)| json!({"id": name, "object": "model", "owned_by": "lycheehaven"}))
        .collect();
    json_response(200, &json!({"object": "list", "data": data}))
}

/// The request's idempotency key, if it has one.
pub(crate) fn idempotency_key<B>(request: &HttpRequest<B>) -> Result<Option<String>, Failure> {
    let Some(value) = request.headers().get("idempotency-key") else {
        return Ok(None);
    };
    let key = value
        .to_str()
        .ok()
        .map(|key| key.trim_matches('"').to_owned());
    match key.filter(|key| (1..=KEY_LIMIT).contains(&key.len())) {
        Some(key) => Ok(Some(key)),
        None => Err(Failure::new(
            ErrorKind::BadRequest,
            "unreadable idempotency key",
        )),
    }
}

/// The record that the key already has at this entry.
pub(crate) fn known_record(
    node: &Node,
    key: Option<Digest>,
    digest: Digest,
) -> Result<Option<Rc<Record>>, Failure> {
    let Some(key) = key else { return Ok(None) };
    let Some(id) = node.by_key.borrow().get(&key).cloned() else {
        return Ok(None);
    };
    let Some(record) = node.records.borrow().get(&id).cloned() else {
        return Ok(None);
    };
    if record.request.digest != digest {
        let message = "the idempotency key was used for another request";
        return Err(Failure::new(ErrorKind::KeyReused, message));
    }
    Ok(Some(record))
}

fn parse(node: &Node, shape: Shape, bytes: &[u8]) -> Result<Parsed, Failure> {
    let bad = |message: String| Failure::new(ErrorKind::BadRequest, message);
    let body: Map<String, Value> = serde_json::from_slice(bytes)
        .map_err(|cause| bad(format!("the body is not a JSON object: {cause}")))?;
    let model = body.get("model").and_then(Value::as_str);
    let model = model.ok_or_else(|| bad("model: accepted is the name of a service".into()))?;
    let declared = node.declared();
    let service = declared.services.get_key_value(model);
    let service = service.filter(|(_, service)| service.kind == ServiceKind::Model);
    let (service, _) = service
        .ok_or_else(|| Failure::new(ErrorKind::NotFound, format!("no model service {model:?}")))?;
    check_prompt(shape, &body).map_err(bad)?;
    let stream = match body.get("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(stream)) => *stream,
        Some(_) => return Err(bad("stream: accepted is true or false".into())),
    };
    let max_tokens = max_tokens(&body).map_err(bad)?;
    if body.get("n").is_some_and(|n| *n != json!(1)) {
        return Err(bad("n: accepted is 1".into()));
    }
    let prompt_tokens = prompt_text(&body).split_whitespace().count() as u64;
    Ok(Parsed {
        service: service.clone(),
        stream,
        max_tokens,
        prompt_tokens,
        body,
    })
}

fn check_prompt(shape: Shape, body: &Map<String, Value>) -> Result<(), String> {
    if shape == Shape::Completions {
        let prompt = body.get("prompt").and_then(Value::as_str);
        return prompt
            .map(|_| ())
            .ok_or_else(|| "prompt: accepted is a string".into());
    }
    let messages = body.get("messages").and_then(Value::as_array);
    let messages = messages.filter(|messages| !messages.is_empty());
    let messages = messages.ok_or("messages: accepted is an array of at least one message")?;
    let is_text = |message: &Value, key| message.get(key).is_some_and(Value::is_string);
    let sound = messages
        .iter()
        .all(|m| is_text(m, "role") && is_text(m, "content"));
    if sound {
        Ok(())
    } else {
        Err("messages: each needs role and content as strings".into())
    }
}

fn max_tokens(body: &Map<String, Value>) -> Result<usize, String> {
    let stated = body
        .get("max_completion_tokens")
        .or_else(|| body.get("max_tokens"));
    let value = match stated {
        None | Some(Value::Null) => DEFAULT_MAX_TOKENS,
        Some(value) => value
            .as_u64()
            .filter(|v| (1..=MAX_TOKENS_LIMIT).contains(v))
            .ok_or_else(|| format!("max_tokens: accepted is 1 to {MAX_TOKENS_LIMIT}"))?,
    };
    Ok(value as usize)
}

fn accept(
    node: &Rc<Node>,
    workspace: Name,
    shape: Shape,
    parsed: Parsed,
    digest: Digest,
    key: Option<Digest>,
) -> Result<Rc<Record>, Failure> {
    check_open(node, &parsed.service)?;
    if node.suspicion.borrow().is_quarantined(digest, node.now()) {
        let message = "the request has crashed upstreams and is not run again";
        return Err(Failure::new(ErrorKind::Quarantined, message));
    }
    let expected = expected_tokens(node, &workspace, &parsed);
    let ticket = admit(node, &workspace, expected)?;
    let replica = node.choose_replica(&parsed.service, None);
    let request = Request {
        id: new_id(node, replica.as_deref()),
        workspace,
        service: parsed.service,
        shape,
        body: parsed.body,
        digest,
        key,
        prompt_tokens: parsed.prompt_tokens,
        max_tokens: parsed.max_tokens,
        created: node.wall_millis() / 1000,
    };
    let record = insert(node, request, replica, ticket);
    spawn_detached(relay::drive(node.clone(), record.clone()));
    Ok(record)
}

/// Refuses requests while this entry stops or the service has no upstream.
pub(crate) fn check_open(node: &Node, service: &str) -> Result<(), Failure> {
    if node.handing_over.get() {
        return Err(Failure::new(ErrorKind::Draining, "this entry is stopping"));
    }
    let table = node.table.borrow();
    let open = table
        .iter()
        .any(|upstream| &*upstream.service == service && !upstream.leaving);
    if open {
        return Ok(());
    }
    Err(Failure::new(
        ErrorKind::NoUpstream,
        format!("service {service} has no upstream"),
    ))
}

/// Admits a request within the workspace's limits.
pub(crate) fn admit(node: &Node, workspace: &Name, tokens: f64) -> Result<Permit, Failure> {
    let declared = node.declared();
    let limits = declared.workspaces.get(workspace);
    let limits =
        limits.ok_or_else(|| Failure::new(ErrorKind::Unauthorized, "the workspace was removed"))?;
    let now = node.now();
    node.shares.borrow_mut().record_request(workspace, now);
    let part = node
        .shares
        .borrow()
        .limit_fraction(workspace, node.topology(), now);
    let admitted = node
        .limiter
        .borrow_mut()
        .admit(workspace, limits, part, tokens, now);
    admitted.map_err(|refusal| {
        let (kind, message) = match refusal {
            Rejection::Rate(_) => (ErrorKind::RateLimited, "the request rate is used up"),
            Rejection::Tokens(_) => (ErrorKind::RateLimited, "the token rate is used up"),
            Rejection::Concurrency(_) => {
                (ErrorKind::RateLimited, "too many requests are in flight")
            }
            Rejection::Overload(_) => (ErrorKind::Overloaded, "the system is full"),
        };
        Failure::new(kind, message).retry_after(refusal.retry_after())
    })
}

/// A new identifier that names this entry and the replica's holder.
pub(crate) fn new_id(node: &Node, replica: Option<&str>) -> RequestId {
    let random = uuid::Uuid::new_v4().simple().to_string();
    RequestId::new(&node.settings.name, replica, &random)
}

/// Puts a new record where its readers and its driver find it.
pub(crate) fn insert(
    node: &Rc<Node>,
    request: Request,
    replica: Option<Name>,
    ticket: Permit,
) -> Rc<Record> {
    let shape = match request.shape {
        Shape::Completions => "completions",
        Shape::Chat => "chat",
        Shape::Plain => "plain",
    };
    node.metrics.requests.get_or_create(&kind(shape)).inc();
    let record = Rc::new(Record::new(request, Stream::new(), node.clock.clone()));
    *record.replica.borrow_mut() = replica;
    *record.ticket.borrow_mut() = Some(ticket);
    let id = record.request.id.clone();
    if let Some(key) = record.request.key {
        node.by_key.borrow_mut().insert(key, id.clone());
    }
    node.records.borrow_mut().insert(id, record.clone());
    node.replicator.grown(node, &record);
    record
}

fn expected_tokens(node: &Node, workspace: &Name, parsed: &Parsed) -> f64 {
    let expectations = node.expectations.borrow();
    let known = expectations.get(&(workspace.clone(), parsed.service.clone()));
    let declared = parsed.max_tokens;
    known.map_or(declared, |known| {
        known.estimate(CHARGE_QUANTILE, 0, declared)
    }) as f64
}
