//! Validation and acceptance of completion and chat completion requests.

use std::rc::Rc;
use std::time::Duration;

use hyper::Request as HttpRequest;
use hyper::Response;
use lycheehaven_config::ServiceKind;
use lycheehaven_limits::Permit;
use lycheehaven_limits::Rejection;
use lycheehaven_net::Body;
use lycheehaven_net::Incoming;
use lycheehaven_net::json_response;
use lycheehaven_routing::Closed;
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
use crate::permits;
use crate::record::Record;
use crate::record::Request;
use crate::record::Shape;
use crate::relay;
use crate::respond;
use crate::shutdown;
use crate::shutdown::Work;
use crate::suspects;

/// Timeout of reading a request body.
pub(crate) const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Token limit of a request that states none.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// Largest token limit that a request may state.
const MAX_TOKENS_LIMIT: u64 = 1 << 20;

/// Quantile of the estimated answer length that admission charges.
const CHARGE_QUANTILE: f64 = 0.7;

/// Time over which callers return after a pause of all upstreams of a service.
const PAUSE_SPREAD: Duration = Duration::from_secs(1);

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// A validated request body.
struct Parsed {
    body: Map<String, Value>,
    service: Name,
    stream: bool,
    max_tokens: usize,
    prompt_tokens: u64,
}

/// Handles a completion request.
pub(crate) async fn handle(
    node: &Rc<Node>,
    workspace: Name,
    shape: Shape,
    request: HttpRequest<Incoming>,
) -> Result<Response<Body>, Failure> {
    let key = idempotency_key(&request)?;
    let limit = node.settings.streams.body_bytes;
    let body = request.into_body();
    let shutdown = &node.shutdown;
    let bytes = shutdown
        .read_body(body, limit, BODY_TIMEOUT, Duration::ZERO)
        .await?;
    let parsed = parse(node, shape, &bytes)?;
    let key = key.map(|key| Digest::of(&[workspace.as_bytes(), key.as_bytes()]));
    let body_text = serde_json::to_vec(&parsed.body).expect("JSON maps serialize");
    let digest = Digest::of(&[workspace.as_bytes(), parsed.service.as_bytes(), &body_text]);
    let stream = parsed.stream;
    let record = match find_by_key(node, key, digest)? {
        Some(record) => record,
        None => accept(node, workspace, shape, parsed, digest, key)?,
    };
    respond::answer(record, stream, 0).await
}

/// Answers with the declared model services as a list of models.
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

/// Returns the request's idempotency key, if it has one.
pub(crate) fn idempotency_key<B>(request: &HttpRequest<B>) -> Result<Option<String>, Failure> {
    let Some(value) = request.headers().get("idempotency-key") else {
        return Ok(None);
    };
    let key = value
        .to_str()
        .ok()
        .map(|key| key.trim_matches('"').to_owned());
    match key.filter(|key| (1..=MAX_KEY_BYTES).contains(&key.len())) {
        Some(key) => Ok(Some(key)),
        None => Err(Failure::new(
            ErrorKind::BadRequest,
            "malformed idempotency key",
        )),
    }
}

/// Returns this entry's record with the same idempotency key. Fails with
/// [`ErrorKind::KeyReused`] if the digest of its request is not `digest`.
pub(crate) fn find_by_key(
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
        let message = "the idempotency key belongs to a different request";
        return Err(Failure::new(ErrorKind::KeyReused, message));
    }
    Ok(Some(record))
}

fn parse(node: &Node, shape: Shape, bytes: &[u8]) -> Result<Parsed, Failure> {
    let bad_request = |message: String| Failure::new(ErrorKind::BadRequest, message);
    let body: Map<String, Value> = serde_json::from_slice(bytes)
        .map_err(|cause| bad_request(format!("the body must be a JSON object: {cause}")))?;
    let model = body.get("model").and_then(Value::as_str);
    let model = model.ok_or_else(|| bad_request("model: must be the name of a service".into()))?;
    let declared = node.declared();
    let service = declared.services.get_key_value(model);
    let service = service.filter(|(_, service)| service.kind == ServiceKind::Model);
    let (service, _) = service
        .ok_or_else(|| Failure::new(ErrorKind::NotFound, format!("no model service {model:?}")))?;
    check_prompt(shape, &body).map_err(bad_request)?;
    let stream = match body.get("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(stream)) => *stream,
        Some(_) => return Err(bad_request("stream: must be true or false".into())),
    };
    let max_tokens = max_tokens(&body).map_err(bad_request)?;
    if body.get("n").is_some_and(|n| *n != json!(1)) {
        return Err(bad_request("n: must be 1".into()));
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
            .ok_or_else(|| "prompt: must be a string".into());
    }
    let messages = body.get("messages").and_then(Value::as_array);
    let messages = messages.filter(|messages| !messages.is_empty());
    let messages = messages.ok_or("messages: must be an array of at least one message")?;
    let is_text = |message: &Value, key| message.get(key).is_some_and(Value::is_string);
    let valid = messages
        .iter()
        .all(|m| is_text(m, "role") && is_text(m, "content"));
    if valid {
        Ok(())
    } else {
        Err("messages: each must have role and content as strings".into())
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
            .ok_or_else(|| format!("max_tokens: must be 1 to {MAX_TOKENS_LIMIT}"))?,
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
    check_available(node, &parsed.service, Work::Completion)?;
    let features = suspects::features(digest, &parsed.service, &parsed.body);
    if let Some(failure) = suspects::refusal(node, &features, false) {
        return Err(failure);
    }
    let expected = expected_tokens(node, &workspace, &parsed);
    let permit = admit(node, &workspace, expected)?;
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
    let record = insert_record(node, request, replica, permit);
    relay::spawn(node, &record);
    Ok(record)
}

/// Returns whether work for a service can be expected to end before this entry stops. A
/// completion goes on at a peer.
pub(crate) fn can_end(node: &Node, service: &Name, work: Work) -> bool {
    let goes_on = work == Work::Completion && node.choose_replica(service, None).is_some();
    let expected = match goes_on {
        true => Duration::ZERO,
        false => node.shutdown.expected(service, work),
    };
    node.shutdown.can_end(expected)
}

/// Fails if the work can't end before this entry stops, or if the service has no upstream
/// that is not leaving.
pub(crate) fn check_available(node: &Node, service: &Name, work: Work) -> Result<(), Failure> {
    if !can_end(node, service, work) {
        return Err(shutdown::not_run());
    }
    let upstreams = node.upstreams.borrow();
    let available = upstreams
        .iter()
        .any(|upstream| upstream.service == *service && !upstream.leaving);
    if !available {
        return Err(Failure::new(
            ErrorKind::NoUpstream,
            format!("service {service} has no available upstream"),
        ));
    }
    match upstreams.closed(service, node.now()) {
        None => Ok(()),
        Some(Closed::Limited(wait)) => Err(permits::limited(node, service, wait)),
        Some(Closed::Paused(pause)) => {
            let message =
                format!("all upstreams of service {service} want no requests for a while");
            let spread = PAUSE_SPREAD.mul_f64(node.random() as f64 / u64::MAX as f64);
            Err(Failure::new(ErrorKind::Overloaded, message).retry_after(pause + spread))
        }
    }
}

/// Admits a request that is expected to generate `tokens` tokens, if the limits
/// of the workspace allow it.
pub(crate) fn admit(node: &Node, workspace: &Name, tokens: f64) -> Result<Permit, Failure> {
    let declared = node.declared();
    let limits = declared.workspaces.get(workspace);
    let limits = limits.ok_or_else(|| {
        Failure::new(
            ErrorKind::Unauthorized,
            "the workspace has been removed from the configuration",
        )
    })?;
    let now = node.now();
    node.demand_tracker
        .borrow_mut()
        .record_request(workspace, now);
    let fraction = node
        .demand_tracker
        .borrow()
        .limit_fraction(workspace, node.topology(), now);
    let admitted = node
        .limiter
        .borrow_mut()
        .admit(workspace, limits, fraction, tokens, now);
    admitted.map_err(|rejection| {
        let (kind, message) = match rejection {
            Rejection::Rate(_) => (ErrorKind::RateLimited, "request rate limit exceeded"),
            Rejection::Tokens(_) => (ErrorKind::RateLimited, "token rate limit exceeded"),
            Rejection::Concurrency(_) => (
                ErrorKind::RateLimited,
                "limit of concurrent requests exceeded",
            ),
            Rejection::Overload(_) => (
                ErrorKind::Overloaded,
                "no capacity is left for this request",
            ),
        };
        Failure::new(kind, message).retry_after(rejection.retry_after())
    })
}

/// Returns a new identifier that contains the names of this entry and of the
/// peer that holds the replica.
pub(crate) fn new_id(node: &Node, replica: Option<&str>) -> RequestId {
    let random = uuid::Uuid::new_v4().simple().to_string();
    RequestId::new(&node.settings.name, replica, &random)
}

/// Adds a new record to the node's tables and queues it for replication.
pub(crate) fn insert_record(
    node: &Rc<Node>,
    request: Request,
    replica: Option<Name>,
    permit: Permit,
) -> Rc<Record> {
    let shape = match request.shape {
        Shape::Completions => "completions",
        Shape::Chat => "chat",
        Shape::Plain => "plain",
    };
    node.metrics.requests.get_or_create(&kind(shape)).inc();
    let record = Rc::new(Record::new(request, Stream::new(), node.clock.clone()));
    *record.replica.borrow_mut() = replica;
    *record.permit.borrow_mut() = Some(permit);
    let id = record.request.id.clone();
    if let Some(key) = record.request.key {
        node.by_key.borrow_mut().insert(key, id.clone());
    }
    node.records.borrow_mut().insert(id, record.clone());
    node.replicator.enqueue(node, &record);
    record
}

fn expected_tokens(node: &Node, workspace: &Name, parsed: &Parsed) -> f64 {
    let estimators = node.length_estimators.borrow();
    let known = estimators.get(&(workspace.clone(), parsed.service.clone()));
    let declared = parsed.max_tokens;
    known.map_or(declared, |estimator| {
        estimator.estimate(CHARGE_QUANTILE, 0, declared)
    }) as f64
}
