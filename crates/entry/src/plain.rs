//! Calls of plain services, with claims for calls that are not repeatable.

use std::rc::Rc;
use std::time::Duration;

use hyper::Request as HttpRequest;
use hyper::Response;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use lycheehaven_claims::Claim;
use lycheehaven_claims::ClaimReply;
use lycheehaven_claims::ClaimState;
use lycheehaven_claims::KeyError;
use lycheehaven_claims::ShardId;
use lycheehaven_claims::parse_key;
use lycheehaven_config::Service;
use lycheehaven_config::ServiceKind;
use lycheehaven_limits::Permit;
use lycheehaven_net::Body;
use lycheehaven_net::Incoming;
use lycheehaven_net::Panicked;
use lycheehaven_net::RequestError;
use lycheehaven_net::bytes_response;
use lycheehaven_net::catch_panic;
use lycheehaven_net::sleep_ms;
use lycheehaven_net::spawn_detached;
use lycheehaven_streams::Event;
use lycheehaven_types::Digest;
use lycheehaven_types::ErrorKind;
use lycheehaven_types::Failure;
use lycheehaven_types::Name;
use lycheehaven_types::Outcome;
use lycheehaven_upstream::plain::PlainCall;
use lycheehaven_upstream::plain::PlainResponse;

use crate::calls;
use crate::claim_shards;
use crate::claim_status::query_holder;
use crate::claim_status::release_claim;
use crate::complete;
use crate::front::SERVICES_PREFIX;
use crate::node::Node;
use crate::record::ReaderGuard;
use crate::record::Record;
use crate::record::Request;
use crate::record::Shape;
use crate::relay;
use crate::replicate;
use crate::respond::REQUEST_ID_HEADER;
use crate::shutdown;
use crate::shutdown::Work;
use crate::wire::ClaimStatus;

/// Claims attempted per call while the previous holders answer that they have
/// not run it.
const CLAIM_ATTEMPTS: usize = 4;

/// Period of deleting claim objects whose idempotency keys have expired.
const CLAIM_GC_PERIOD_MS: u64 = 10_000;

/// A call that must run at most once.
struct OnceCall {
    call: PlainCall,
    shard: ShardId,
    key: Digest,
}

/// Handles `/v1/services/{service}/{path}`.
pub(crate) async fn handle(
    node: &Rc<Node>,
    workspace: Name,
    request: HttpRequest<Incoming>,
) -> Result<Response<Body>, Failure> {
    let key = complete::idempotency_key(&request)?;
    let (name, service, path) = resolve_service(node, &request)?;
    let method = request.method().as_str().to_owned();
    let content_type = request
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|v| v.to_str().ok());
    let content_type = content_type.map(str::to_owned);
    let limit = node.settings.streams.body_bytes;
    let bare_path = path.split('?').next().unwrap_or_default();
    let work = match service.is_repeatable(&method, bare_path) {
        true => Work::Repeatable,
        false => Work::Once,
    };
    let (body, expected) = (request.into_body(), node.shutdown.expected(&name, work));
    let shutdown = &node.shutdown;
    let body = shutdown
        .read_body(body, limit, complete::BODY_TIMEOUT, expected)
        .await?
        .to_vec();
    let call = PlainCall {
        method,
        path,
        content_type,
        body,
        key,
    };
    if work == Work::Repeatable {
        complete::check_available(node, &name, work)?;
        let _place = Place::obtain(node, &workspace)?;
        let answer = calls::run_repeatable(node, &name, &call).await;
        return answer.map(|answer| response_of(&answer));
    }
    let record = accept_once(node, workspace, name, call)?;
    await_answer(&record).await
}

/// Place of a repeatable call among the requests in flight, until it is dropped: the call's
/// task ends early when its caller leaves.
struct Place<'a> {
    node: &'a Node,
    permit: Permit,
}

impl<'a> Place<'a> {
    fn obtain(node: &'a Node, workspace: &Name) -> Result<Self, Failure> {
        let permit = complete::admit(node, workspace, 0.0)?;
        Ok(Self { node, permit })
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut limiter = self.node.limiter.borrow_mut();
        limiter.release(&self.permit, 0.0);
    }
}

fn resolve_service(
    node: &Node,
    request: &HttpRequest<Incoming>,
) -> Result<(Name, Service, String), Failure> {
    let target = request
        .uri()
        .path_and_query()
        .map_or("", |target| target.as_str());
    let rest = target.strip_prefix(SERVICES_PREFIX).unwrap_or_default();
    let (name, path) = rest.split_at(rest.find(['/', '?']).unwrap_or(rest.len()));
    let declared = node.declared();
    let service = declared.services.get_key_value(name);
    let service = service.filter(|(_, service)| service.kind == ServiceKind::Plain);
    let (name, service) = service
        .ok_or_else(|| Failure::new(ErrorKind::NotFound, format!("no plain service {name:?}")))?;
    // Services may normalize such paths in different ways, so that a call could
    // evade the rules declared for its path.
    let ambiguous = path.contains("//") || path.contains("/.") || path.contains('%');
    if !path.starts_with('/') || ambiguous {
        let message = "the path must start with / and must not contain //, /. or percent signs";
        return Err(Failure::new(ErrorKind::BadRequest, message));
    }
    Ok((name.clone(), service.clone(), path.to_owned()))
}

fn accept_once(
    node: &Rc<Node>,
    workspace: Name,
    service: Name,
    call: PlainCall,
) -> Result<Rc<Record>, Failure> {
    let text = call.key.clone().ok_or_else(|| {
        let message = "this call is not repeatable and requires an Idempotency-Key (UUIDv7)";
        Failure::new(ErrorKind::KeyRequired, message)
    })?;
    let retention = node.settings.timing.claim_retention();
    let (key, shard) =
        parse_key(&workspace, &text, retention, node.clock.wall()).map_err(key_failure)?;
    let parts = [call.method.as_bytes(), call.path.as_bytes(), &call.body];
    let digest = Digest::of(&[&[workspace.as_bytes(), service.as_bytes()], &parts[..]].concat());
    if let Some(record) = complete::find_by_key(node, Some(key), digest)?
        && !is_worth_retrying(&record)
    {
        return Ok(record);
    }
    complete::check_available(node, &service, Work::Once)?;
    let permit = complete::admit(node, &workspace, 0.0)?;
    let replica = node.choose_replica(&service, None);
    let request = Request {
        id: complete::new_id(node, replica.as_deref()),
        workspace,
        service,
        shape: Shape::Plain,
        body: serde_json::Map::new(),
        digest,
        key: Some(key),
        prompt_tokens: 0,
        max_tokens: 0,
        created: node.wall_millis() / 1000,
    };
    let record = complete::insert_record(node, request, replica, permit.clone());
    let once = OnceCall { call, shard, key };
    // Runs in its own task, so that the call continues if the caller
    // disconnects.
    spawn_detached(run_once(node.clone(), record.clone(), once, permit));
    Ok(record)
}

/// Returns whether the earlier call with the same key failed without having
/// run, or because an earlier claim held it.
fn is_worth_retrying(record: &Record) -> bool {
    record
        .failure()
        .is_some_and(|failure| failure.kind.outcome() == Outcome::NotRun)
        || (record.is_over()
            && record
                .failure()
                .is_some_and(|f| f.kind == ErrorKind::ClaimHeld))
}

fn key_failure(error: KeyError) -> Failure {
    let kind = match error {
        KeyError::Malformed | KeyError::Future => ErrorKind::BadRequest,
        KeyError::Expired => ErrorKind::KeyExpired,
    };
    Failure::new(kind, error.to_string())
}

async fn run_once(node: Rc<Node>, record: Rc<Record>, once: OnceCall, permit: Permit) {
    let task = claim_and_send(&node, &record, &once);
    // Whether the call was sent is not known after a panic.
    let result = catch_panic(task)
        .await
        .unwrap_or_else(|Panicked| Err(relay::panic_failure(true)));
    match result {
        Ok(answer) => {
            *record.answer.borrow_mut() = Some(answer);
            record.handle(Event::Begin {
                upstream: record.request.service.clone(),
                software: Name::default(),
            });
            let attempt = record.stream.borrow().attempt();
            record.handle(Event::Finish {
                attempt,
                offset: 0,
                reason: "stop".into(),
            });
            // The answer is complete without its replica.
            let _ = catch_panic(replicate::replicate_now(&node, &record)).await;
        }
        Err(failure) => record.fail(failure.kind, failure.message),
    }
    record.permit.borrow_mut().take();
    node.limiter.borrow_mut().release(&permit, 0.0);
    record.answer_ready.set(true);
    record.touch();
    record.changed.notify_waiters();
}

async fn claim_and_send(
    node: &Rc<Node>,
    record: &Rc<Record>,
    once: &OnceCall,
) -> Result<PlainResponse, Failure> {
    for _ in 0..CLAIM_ATTEMPTS {
        let claim = Claim {
            key: once.key,
            request: record.request.digest,
            holder: node.holder(),
            nonce: node.random(),
            state: ClaimState::Held,
        };
        node.claim_shards.begin(claim.nonce, record);
        let reply = claim_shards::claim(node, once.shard, claim.clone()).await;
        let held = match reply {
            ClaimReply::Granted => return send_claimed(node, record, once, claim).await,
            ClaimReply::Held(held) => held,
            ClaimReply::Unavailable => {
                node.claim_shards.end(claim.nonce);
                let message =
                    "the claim could not be committed because the platform is unreachable";
                return Err(Failure::new(ErrorKind::ClaimUnavailable, message));
            }
        };
        node.claim_shards.end(claim.nonce);
        if held.request != claim.request {
            let message = "the idempotency key belongs to a different request";
            return Err(Failure::new(ErrorKind::KeyReused, message));
        }
        // It may run there.
        record.is_sent.set(true);
        match query_holder(node, once.shard, held).await {
            ClaimStatus::Answered(answer) => return Ok(answer),
            ClaimStatus::NotRun => {
                record.is_sent.set(false);
                claim_shards::evict_shard(node, once.shard);
            }
            ClaimStatus::Running | ClaimStatus::Unknown => break,
        }
    }
    let message = "an earlier claim holds this call and its answer is not available";
    Err(Failure::new(ErrorKind::ClaimHeld, message))
}

/// Sends a claimed call. From the first attempt on, the claim counts as sent.
/// It is released only if no byte was sent to any upstream.
async fn send_claimed(
    node: &Rc<Node>,
    record: &Rc<Record>,
    once: &OnceCall,
    claim: Claim,
) -> Result<PlainResponse, Failure> {
    let until = node.now() + node.settings.timing.claim_retention() + Duration::from_secs(300);
    node.claim_shards.mark_sent(claim.nonce, until);
    for _ in 0..calls::UPSTREAM_ATTEMPTS {
        let subject = record.request.id.as_str();
        let service = &record.request.service;
        if record.is_over() || !complete::can_end(node, service, Work::Once) {
            break;
        }
        let Some(target) = calls::choose(node, service, subject) else {
            break;
        };
        // It may have run from here on, and must not run again: its upstream has the
        // whole time of the request to answer.
        let left = node.time_left(record.accepted);
        let sending = calls::send(node, &target, &once.call, subject);
        record.is_sent.set(true);
        let failure = match compio::time::timeout(left, sending).await {
            Ok(Err(RequestError::NotSent(_))) => {
                record.is_sent.set(false);
                continue;
            }
            Ok(Ok(answer)) => {
                node.claim_shards.end(claim.nonce);
                return Ok(answer);
            }
            Ok(Err(RequestError::Uncertain(cause))) => Failure::new(ErrorKind::UpstreamLost, cause),
            Err(_) => calls::deadline_failure(true),
        };
        node.claim_shards.end(claim.nonce);
        log::warn!(
            target: "lycheehaven",
            request = subject, vm = &*target.vm, cause = failure.message.as_str();
            "a call that may run only once has no answer"
        );
        return Err(failure);
    }
    node.claim_shards.unmark_sent(claim.nonce);
    node.claim_shards.end(claim.nonce);
    release_claim(node, once.shard, claim).await;
    let service = &record.request.service;
    Err(calls::unavailable(node, service, Work::Once))
}

/// Answers a call that has not ended when the work of this entry ends. The task of the
/// call goes on, to release a claim that it obtains.
pub(crate) fn end_open_call(record: &Record) {
    if record.request.shape != Shape::Plain || record.answer_ready.get() {
        return;
    }
    let failure = shutdown::not_ended(record.is_sent.get());
    record.fail(failure.kind, failure.message);
    record.answer_ready.set(true);
    record.changed.notify_waiters();
}

/// Waits for the answer of a call. Fails with [`ErrorKind::Moved`] if a peer
/// has taken over the record.
pub(crate) async fn await_answer(record: &Rc<Record>) -> Result<Response<Body>, Failure> {
    let _guard = ReaderGuard::waiter(record);
    record
        .wait_until(|record| record.answer_ready.get() || record.handed_over.get())
        .await;
    if let Some(failure) = record.failure() {
        return Err(failure);
    }
    let answer = record.answer.borrow().clone();
    let Some(answer) = answer else {
        let message = format!("fetch the answer at /v1/requests/{}", record.request.id);
        return Err(Failure::new(ErrorKind::Moved, message));
    };
    let mut response = response_of(&answer);
    let id = HeaderValue::from_str(record.request.id.as_str()).expect("identifiers are ASCII");
    response.headers_mut().insert(REQUEST_ID_HEADER, id);
    Ok(response)
}

fn response_of(answer: &PlainResponse) -> Response<Body> {
    let status = if (200..600).contains(&answer.status) {
        answer.status
    } else {
        502
    };
    let mut response = bytes_response(status, "application/octet-stream", answer.body.clone());
    let content_type = answer
        .content_type
        .as_deref()
        .and_then(|t| HeaderValue::from_str(t).ok());
    if let Some(value) = content_type {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    response
}

/// Periodically deletes claim objects whose idempotency keys have expired, in
/// the shards that this entry owns.
pub(crate) async fn collect_expired_claims(node: Rc<Node>) {
    let retention = node.settings.timing.claim_retention();
    while !node.stop.is_cancelled() {
        sleep_ms(CLAIM_GC_PERIOD_MS).await;
        node.claim_shards.expire_sent(node.now());
        for shard in claim_shards::owned_shards(&node) {
            let prefix = format!("claims/{shard}/");
            let Ok(entries) = node.objects.list(&prefix).await else {
                break;
            };
            let ids = entries
                .iter()
                .filter_map(|entry| ShardId::parse(&entry.key));
            for id in ids.filter(|id| id.is_expired(retention, node.clock.wall())) {
                let _ = node.objects.delete(&id.object_key()).await;
            }
        }
    }
}
