//! Calls of plain services, with claims for those that may not be repeated.

use std::rc::Rc;
use std::time::Duration;

use hyper::Request as HttpRequest;
use hyper::Response;
use hyper::body::Incoming;
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
use lycheehaven_net::RequestError;
use lycheehaven_net::bytes_response;
use lycheehaven_net::read_body;
use lycheehaven_net::sleep_ms;
use lycheehaven_net::spawn_detached;
use lycheehaven_routing::Query;
use lycheehaven_streams::Event;
use lycheehaven_types::Digest;
use lycheehaven_types::ErrorKind;
use lycheehaven_types::Failure;
use lycheehaven_types::Name;
use lycheehaven_types::Outcome;
use lycheehaven_upstream::plain::PlainCall;
use lycheehaven_upstream::plain::PlainResponse;
use lycheehaven_upstream::plain::send_once;

use crate::claimant;
use crate::complete;
use crate::front::SERVICES_PREFIX;
use crate::node::Node;
use crate::peer_client;
use crate::record::Attendance;
use crate::record::Record;
use crate::record::Request;
use crate::record::Shape;
use crate::replicate;
use crate::respond::REQUEST_ID_HEADER;
use crate::wire::ClaimQuery;
use crate::wire::ClaimStatus;

/// Upstreams tried for one call.
const TRIES: usize = 3;

/// Claims tried while earlier holders turn out not to have run the call.
const CLAIM_TRIES: usize = 4;

/// Period of deleting claim objects whose keys are no longer accepted.
const CLAIM_GARBAGE_MS: u64 = 10_000;

/// A call that may run at most once.
struct OnceCall {
    call: PlainCall,
    shard: ShardId,
    key: Digest,
}

/// Answers `/v1/services/{service}/{path}`.
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
    let body = read_body(request.into_body(), limit, complete::BODY_WAIT)
        .await?
        .to_vec();
    let bare_path = path.split('?').next().unwrap_or_default();
    let repeatable = service.is_repeatable(&method, bare_path);
    let call = PlainCall {
        method,
        path,
        content_type,
        body,
        key,
    };
    if repeatable {
        complete::check_open(node, &name)?;
        let ticket = complete::admit(node, &workspace, 0.0)?;
        let answer = run_repeatable(node, &name, &call).await;
        node.limiter.borrow_mut().release(&ticket, 0.0);
        return answer.map(|answer| response_of(&answer));
    }
    let record = accept_once(node, workspace, name, call)?;
    await_answer(&record).await
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
    // Paths that a service might read in two ways could dodge its call rules.
    let ambiguous = path.contains("//") || path.contains("/.") || path.contains('%');
    if !path.starts_with('/') || ambiguous {
        let message = "the path must start with / and be free of //, /. and percent signs";
        return Err(Failure::new(ErrorKind::BadRequest, message));
    }
    Ok((name.clone(), service.clone(), path.to_owned()))
}

/// Sends a repeatable call to one upstream after another. Every call reaches
/// an upstream: answers are never kept for later callers.
async fn run_repeatable(
    node: &Rc<Node>,
    service: &Name,
    call: &PlainCall,
) -> Result<PlainResponse, Failure> {
    let mut last = Failure::new(
        ErrorKind::NoUpstream,
        "no upstream of the service is usable",
    );
    for _ in 0..TRIES {
        let Some((vm, addr)) = choose(node, service, "call") else {
            break;
        };
        match send(node, addr, call).await {
            Ok(answer) => {
                node.table.borrow_mut().record_success(&vm);
                return Ok(answer);
            }
            Err(RequestError::NotSent(_)) => {
                node.table.borrow_mut().record_failure(&vm, node.now())
            }
            Err(RequestError::Uncertain(cause)) => {
                node.table.borrow_mut().record_failure(&vm, node.now());
                last = Failure::new(ErrorKind::UpstreamLost, cause);
            }
        }
    }
    Err(last)
}

fn accept_once(
    node: &Rc<Node>,
    workspace: Name,
    service: Name,
    call: PlainCall,
) -> Result<Rc<Record>, Failure> {
    let text = call.key.clone().ok_or_else(|| {
        let message = "this call may not be repeated, so it needs an Idempotency-Key (UUIDv7)";
        Failure::new(ErrorKind::KeyRequired, message)
    })?;
    let keep = node.settings.timing.claim_retention();
    let (key, shard) = parse_key(&workspace, &text, keep, node.clock.wall()).map_err(bad_key)?;
    let parts = [call.method.as_bytes(), call.path.as_bytes(), &call.body];
    let digest = Digest::of(&[&[workspace.as_bytes(), service.as_bytes()], &parts[..]].concat());
    if let Some(record) = complete::known_record(node, Some(key), digest)?
        && !is_worth_retrying(&record)
    {
        return Ok(record);
    }
    complete::check_open(node, &service)?;
    let ticket = complete::admit(node, &workspace, 0.0)?;
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
    let record = complete::insert(node, request, replica, ticket.clone());
    let once = OnceCall { call, shard, key };
    // A task of its own: the call goes on if the caller disconnects.
    spawn_detached(run_once(node.clone(), record.clone(), once, ticket));
    Ok(record)
}

/// Whether a key's earlier call failed without having run.
fn is_worth_retrying(record: &Record) -> bool {
    record
        .failure()
        .is_some_and(|failure| failure.kind.outcome() == Outcome::NotRun)
        || (record.is_over()
            && record
                .failure()
                .is_some_and(|f| f.kind == ErrorKind::ClaimHeld))
}

fn bad_key(error: KeyError) -> Failure {
    let kind = match error {
        KeyError::Malformed | KeyError::Future => ErrorKind::BadRequest,
        KeyError::Expired => ErrorKind::KeyExpired,
    };
    Failure::new(kind, error.to_string())
}

async fn run_once(node: Rc<Node>, record: Rc<Record>, once: OnceCall, ticket: Permit) {
    match claim_and_send(&node, &record, &once).await {
        Ok(answer) => {
            *record.answer.borrow_mut() = Some(answer);
            record.handle(Event::Begin(record.request.service.clone()));
            let attempt = record.stream.borrow().attempt();
            record.handle(Event::Finish {
                attempt,
                reason: "stop".into(),
            });
            replicate::push(&node, &record).await;
        }
        Err(failure) => record.abandon(failure.kind, failure.message),
    }
    record.ticket.borrow_mut().take();
    node.limiter.borrow_mut().release(&ticket, 0.0);
    record.settled.set(true);
    record.touch();
    record.changed.notify_waiters();
}

async fn claim_and_send(
    node: &Rc<Node>,
    record: &Rc<Record>,
    once: &OnceCall,
) -> Result<PlainResponse, Failure> {
    for _ in 0..CLAIM_TRIES {
        let claim = Claim {
            key: once.key,
            request: record.request.digest,
            holder: node.holder(),
            nonce: node.draw(),
            state: ClaimState::Held,
        };
        node.claimant.begin(claim.nonce, record);
        let reply = claimant::claim(node, once.shard, claim.clone()).await;
        let held = match reply {
            ClaimReply::Granted => return send_claimed(node, record, once, claim).await,
            ClaimReply::Held(held) => held,
            ClaimReply::Unavailable => {
                node.claimant.end(claim.nonce);
                let message = "claims can't be made while the platform is out of reach";
                return Err(Failure::new(ErrorKind::ClaimUnavailable, message));
            }
        };
        node.claimant.end(claim.nonce);
        if held.request != claim.request {
            let message = "the idempotency key was used for another request";
            return Err(Failure::new(ErrorKind::KeyReused, message));
        }
        match ask_holder(node, once.shard, held).await {
            ClaimStatus::Answered(answer) => return Ok(answer),
            ClaimStatus::NotRun => claimant::forget_shard(node, once.shard),
            ClaimStatus::Running | ClaimStatus::Unknown => break,
        }
    }
    let message = "the call was claimed elsewhere and its answer can't be had";
    Err(Failure::new(ErrorKind::ClaimHeld, message))
}

/// Sends a claimed call. From the first attempt on, the claim counts as sent;
/// it is given up only if no byte left for any upstream.
async fn send_claimed(
    node: &Rc<Node>,
    record: &Rc<Record>,
    once: &OnceCall,
    claim: Claim,
) -> Result<PlainResponse, Failure> {
    let until = node.now() + node.settings.timing.claim_retention() + Duration::from_secs(300);
    node.claimant.mark_sent(claim.nonce, until);
    for _ in 0..TRIES {
        let subject = record.request.id.as_str();
        let Some((vm, addr)) = choose(node, &record.request.service, subject) else {
            break;
        };
        match send(node, addr, &once.call).await {
            Ok(answer) => {
                node.table.borrow_mut().record_success(&vm);
                node.claimant.end(claim.nonce);
                return Ok(answer);
            }
            Err(RequestError::NotSent(_)) => {
                node.table.borrow_mut().record_failure(&vm, node.now())
            }
            Err(RequestError::Uncertain(cause)) => {
                node.table.borrow_mut().record_failure(&vm, node.now());
                node.claimant.end(claim.nonce);
                return Err(Failure::new(ErrorKind::UpstreamLost, cause));
            }
        }
    }
    node.claimant.unmark_sent(claim.nonce);
    node.claimant.end(claim.nonce);
    release(node, once.shard, claim).await;
    Err(Failure::new(
        ErrorKind::NoUpstream,
        "no upstream of the service could be connected to",
    ))
}

/// Records that an own claim's request was not and will not be sent.
async fn release(node: &Rc<Node>, shard: ShardId, claim: Claim) {
    let given_up = Claim {
        state: ClaimState::NotRun,
        ..claim
    };
    claimant::claim(node, shard, given_up).await;
}

/// Asks the holder of a claim, then every other live entry, what became of it.
async fn ask_holder(node: &Rc<Node>, shard: ShardId, claim: Claim) -> ClaimStatus {
    let query = ClaimQuery { claim, shard };
    let holder = query.claim.holder.clone();
    let name = holder.split('.').next().unwrap_or_default();
    if *name == *node.settings.name {
        return own_status(node, query).await;
    }
    let mut others = peer_client::live_addresses(node);
    others.sort_by_key(|(peer, _)| **peer != *name);
    for (_, addr) in others {
        loop {
            match peer_client::claim_status(node, addr, &query).await {
                Ok(ClaimStatus::Running) => {}
                Ok(ClaimStatus::Unknown) | Err(_) => break,
                Ok(status) => return status,
            }
        }
    }
    ClaimStatus::Unknown
}

/// Status of a claim of this entry, in this run or an earlier one.
async fn own_status(node: &Rc<Node>, query: ClaimQuery) -> ClaimStatus {
    loop {
        let again = ClaimQuery {
            claim: query.claim.clone(),
            shard: query.shard,
        };
        match claim_status(node, again).await {
            ClaimStatus::Running => {}
            status => return status,
        }
    }
}

/// Says what this entry knows of a claimed call. Only the holder itself, in the
/// run that made the claim, can say that the call was not sent.
pub(crate) async fn claim_status(node: &Rc<Node>, query: ClaimQuery) -> ClaimStatus {
    let claim = query.claim;
    let nonce = claim.nonce;
    if claim.holder == node.holder() {
        if let Some(record) = node.claimant.active(nonce) {
            let settled = record.wait_until(|record| record.settled.get());
            if compio::time::timeout(peer_client::STATUS_WAIT, settled)
                .await
                .is_err()
            {
                return ClaimStatus::Running;
            }
        }
        if !node.claimant.was_sent(nonce) && node.claimant.active(nonce).is_none() {
            release(node, query.shard, claim).await;
            return ClaimStatus::NotRun;
        }
    }
    let id = node.by_key.borrow().get(&claim.key).cloned();
    let record = id.and_then(|id| node.records.borrow().get(&id).cloned());
    let answer = record.and_then(|record| record.answer.borrow().clone());
    match answer.or_else(|| replicate::replicated_answer(node, claim.key)) {
        Some(answer) => ClaimStatus::Answered(answer),
        None => ClaimStatus::Unknown,
    }
}

/// Waits for a call's answer.
pub(crate) async fn await_answer(record: &Rc<Record>) -> Result<Response<Body>, Failure> {
    let _attendance = Attendance::waiter(record);
    record
        .wait_until(|record| record.settled.get() || record.given.get())
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

fn choose(node: &Node, service: &Name, subject: &str) -> Option<(Name, std::net::SocketAddr)> {
    let query = Query {
        service,
        domain: &node.settings.domain,
        tokens: 0,
        blocks: &[],
        avoid: &[],
        alone: false,
    };
    let choice = node.choose(&query, subject)?;
    let addr = node.table.borrow().get(&choice.vm)?.addr;
    Some((choice.vm, addr))
}

async fn send(
    node: &Node,
    addr: std::net::SocketAddr,
    call: &PlainCall,
) -> Result<PlainResponse, RequestError> {
    let connect = Duration::from_millis(node.settings.timing.connect_ms);
    let silence = Duration::from_millis(node.settings.timing.silence_ms);
    send_once(addr, call, connect, silence).await
}

/// Deletes claim objects whose keys are no longer accepted. Each entry looks
/// after the shards that it owns.
pub(crate) async fn collect_claims(node: Rc<Node>) {
    let keep = node.settings.timing.claim_retention();
    while !node.stop.is_cancelled() {
        sleep_ms(CLAIM_GARBAGE_MS).await;
        node.claimant.forget_sent(node.now());
        for shard in claimant::owned_shards(&node) {
            let prefix = format!("claims/{shard}/");
            let Ok(entries) = node.objects.list(&prefix).await else {
                break;
            };
            let ids = entries
                .iter()
                .filter_map(|entry| ShardId::parse(&entry.key));
            for id in ids.filter(|id| id.is_expired(keep, node.clock.wall())) {
                let _ = node.objects.delete(&id.object_key()).await;
            }
        }
    }
}
