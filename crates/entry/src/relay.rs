//! Execution of accepted requests: the attempts at model engines.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use lycheehaven_net::catch_panic;
use lycheehaven_net::spawn_detached;
use lycheehaven_quarantine::Progress;
use lycheehaven_streams::Event;
use lycheehaven_streams::EventOutcome;
use lycheehaven_streams::InterruptCause;
use lycheehaven_streams::Phase;
use lycheehaven_types::ErrorKind;
use lycheehaven_types::Failure;
use lycheehaven_upstream::EngineEvent;
use lycheehaven_upstream::EngineStream;
use lycheehaven_upstream::Refusal;
use lycheehaven_upstream::StreamError;
use lycheehaven_upstream::UpstreamNotice;
use lycheehaven_upstream::protocol::Continuation;
use lycheehaven_upstream::protocol::prefix_blocks;
use lycheehaven_upstream::protocol::prompt_text;

use crate::metrics::kind;
use crate::node::Node;
use crate::notice;
use crate::record::Record;
use crate::shutdown::Work;
use crate::silence::RunWatch;
use crate::silence::Waited;
use crate::suspects;
use crate::target::Prompt;
use crate::target::Target;
use crate::target::choose_target;
use crate::target::is_permitted;
use crate::target::release;

/// Tokens that a suspect must generate past the position of the previous crash
/// before it may share its upstream with other suspects.
const PROBATION_TOKENS: usize = 8;

/// Runs attempts in a task of its own, until the answer is complete, the request fails, or
/// a peer takes over the record. A panic of the task fails the request.
pub(crate) fn spawn(node: &Rc<Node>, record: &Rc<Record>) {
    let (node, record) = (node.clone(), record.clone());
    spawn_detached(async move {
        let task = drive(node.clone(), record.clone());
        if catch_panic(task).await.is_err() {
            let is_sent = record.stream.borrow().attempt() > 0;
            let failure = panic_failure(is_sent);
            record.fail(failure.kind, failure.message);
            finish_record(&node, &record);
        }
    });
}

/// Returns whether an upstream may have run the request of a record.
pub(crate) fn may_have_run(record: &Record) -> bool {
    let stream = record.stream.borrow();
    stream.attempt() > stream.failed_starts()
}

/// Returns the failure of a request whose task panicked. `is_sent` tells whether an upstream
/// may have run it.
pub(crate) fn panic_failure(is_sent: bool) -> Failure {
    let kind = match is_sent {
        true => ErrorKind::UpstreamLost,
        false => ErrorKind::Overloaded,
    };
    Failure::new(kind, "handling the request failed unexpectedly")
}

async fn drive(node: Rc<Node>, record: Rc<Record>) {
    let prompt = Prompt {
        blocks: prefix_blocks(&prompt_text(&record.request.body)),
        tokens: record.request.prompt_tokens,
    };
    let mut successor = None;
    while !record.is_over() && !record.handed_over.get() {
        if let Some(target) = successor.take() {
            successor = run_attempt(&node, &record, &prompt, &target).await;
            continue;
        }
        if !wait_for_reader(&node, &record).await {
            return;
        }
        if let Some(target) = choose_target(&node, &record, &prompt).await
            && is_permitted(&node, &target).await
        {
            // The work, or the request, may have ended meanwhile.
            if record.is_over() || node.shutdown.is_work_over() {
                release(&node, &target);
                continue;
            }
            successor = run_attempt(&node, &record, &prompt, &target).await;
        }
    }
    if let Some(target) = successor {
        release(&node, &target);
    }
    finish_record(&node, &record);
}

/// Waits while the limit of unread tokens is reached. Returns `false` if no
/// reader came in time; the request has then failed.
async fn wait_for_reader(node: &Node, record: &Record) -> bool {
    let retention = Duration::from_millis(node.settings.streams.keep_ms);
    let limit = node.settings.streams.unread_tokens;
    while record.unread_tokens() >= limit && !record.handed_over.get() {
        let notified = record.driver_notify.notified();
        let idle = compio::time::timeout(retention, notified).await.is_err();
        if idle && !record.has_readers() {
            record.fail(
                ErrorKind::DeadlineWithin,
                "no caller fetched the answer within the retention period",
            );
            finish_record(node, record);
            return false;
        }
    }
    true
}

/// Runs an attempt. Returns the target of the next one if it is in hand.
async fn run_attempt(
    node: &Rc<Node>,
    record: &Rc<Record>,
    prompt: &Prompt,
    target: &Target,
) -> Option<Target> {
    record.handle(Event::Begin {
        upstream: target.vm.clone(),
        software: target.software.clone(),
    });
    *record.moving_from.borrow_mut() = None;
    let attempt = record.stream.borrow().attempt();
    let start = record.token_count();
    node.metrics.attempts.inc();
    let tokens = prompt.tokens + start as u64;
    node.upstreams
        .borrow_mut()
        .record_open(&target.vm, tokens, &prompt.blocks, node.now());
    let mut probation = Probation {
        target,
        limit: start + PROBATION_TOKENS,
        active: target.suspect,
        proven: false,
    };
    record.attempted.set(node.now());
    let watch = RunWatch::new(node, record, prompt, target);
    let end = stream_attempt(&watch, attempt, &mut probation).await;
    let progress = match record.token_count().saturating_sub(start) {
        0 => Progress::Sent,
        tokens if tokens < PROBATION_TOKENS => Progress::Begun,
        _ => Progress::Proven,
    };
    probation.end(node);
    node.upstreams.borrow_mut().record_close(&target.vm);
    match end? {
        AttemptEnd::Silent(next) => {
            leave_silent(&watch, attempt, next.as_ref());
            next
        }
        end => {
            end_attempt(node, record, target, attempt, end, progress).await;
            None
        }
    }
}

/// Counts a request as a suspect at its upstream until it is past the position
/// of its previous crash.
struct Probation<'a> {
    target: &'a Target,
    limit: usize,
    active: bool,
    /// Whether the request is past the limit.
    proven: bool,
}

impl Probation<'_> {
    fn update(&mut self, node: &Node, record: &Record) {
        if record.token_count() < self.limit {
            return;
        }
        self.end(node);
        if !std::mem::replace(&mut self.proven, true) {
            suspects::record_proven(node, record);
        }
    }

    fn end(&mut self, node: &Node) {
        if std::mem::take(&mut self.active) {
            node.upstreams.borrow_mut().remove_suspect(&self.target.vm);
        }
    }
}

/// How an attempt ended before the answer was complete.
enum AttemptEnd {
    Stream(StreamError),
    Moved,
    Unread,
    /// The upstream sends nothing, and this one takes over, or the request is past its
    /// deadline.
    Silent(Option<Target>),
}

async fn stream_attempt(
    watch: &RunWatch<'_>,
    attempt: u32,
    probation: &mut Probation<'_>,
) -> Option<AttemptEnd> {
    let (node, record, target) = (watch.node, watch.record, watch.target);
    let continuation = {
        let stream = record.stream.borrow();
        Continuation {
            request: record.request.id.as_str().to_owned(),
            attempt,
            offset: stream.tokens().len(),
            prior: stream.tokens().text().to_owned(),
            priority: 0.5,
        }
    };
    let path = record.request.shape.path();
    let body = &record.request.body;
    let opening = node.engines.open(target.addr, path, body, &continuation);
    let mut opening = pin!(opening);
    let mut stream = loop {
        if is_redirected(record) {
            return Some(AttemptEnd::Moved);
        }
        match watch.wait(opening.as_mut()).await {
            Waited::Received(Ok(stream)) => break stream,
            Waited::Received(Err(cause)) => return Some(AttemptEnd::Stream(cause)),
            Waited::Notified => {}
            Waited::Leave(next) => return Some(AttemptEnd::Silent(next)),
        }
    };
    apply_notice(node, record, target, stream.notice());
    node.upstreams.borrow_mut().record_success(&target.vm);
    loop {
        if is_redirected(record) {
            return Some(AttemptEnd::Moved);
        }
        if record.unread_tokens() >= node.settings.streams.unread_tokens {
            if !pause_until_read(node, record, target).await {
                return Some(AttemptEnd::Unread);
            }
            watch.restart();
            continue;
        }
        let event = match watch.wait(stream.next()).await {
            Waited::Received(event) => event,
            Waited::Notified => continue,
            Waited::Leave(next) => return Some(AttemptEnd::Silent(next)),
        };
        let applied = match event {
            Ok(event) => apply_batch(node, record, attempt, event, &mut stream),
            Err(cause) => return Some(AttemptEnd::Stream(cause)),
        };
        if !applied {
            return Some(AttemptEnd::Stream(StreamError::Broken(
                "the upstream skipped tokens".into(),
            )));
        }
        probation.update(node, record);
        if record.is_over() {
            return None;
        }
    }
}

/// Returns whether the attempt must end, because the record goes on elsewhere.
fn is_redirected(record: &Record) -> bool {
    record.redirect.borrow().is_some() || record.handed_over.get()
}

/// Ends an attempt at an upstream that sends nothing. Its connection is closed.
fn leave_silent(watch: &RunWatch<'_>, attempt: u32, next: Option<&Target>) {
    let (node, record) = (watch.node, watch.record);
    let (vm, request) = (&watch.target.vm, record.request.id.as_str());
    let silence_ms = watch.silence().as_millis() as u64;
    let next = next.map_or("-", |target| &*target.vm);
    log::warn!(
        target: "lycheehaven",
        request = request, vm = &**vm, next = next, silence_ms = silence_ms;
        "the upstream sends nothing; its run is given up"
    );
    let reason = format!("silent for {silence_ms} ms, goes on at {next}");
    node.decisions
        .record(node.wall_millis(), "silent", request, vm, reason);
    count_recomputed(node, record, "silent");
    node.upstreams.borrow_mut().record_failure(vm, node.now());
    record
        .silent_attempts
        .set(record.silent_attempts.get().saturating_add(1));
    let cause = InterruptCause::ConnectionLost;
    record.handle(Event::Interrupt { attempt, cause });
}

/// Applies an event and those that arrived with it. Returns `false` if tokens
/// are missing.
fn apply_batch(
    node: &Rc<Node>,
    record: &Rc<Record>,
    attempt: u32,
    first: EngineEvent,
    stream: &mut EngineStream,
) -> bool {
    let before = record.token_count();
    let mut event = Some(first);
    while let Some(next) = event {
        let outcome = record.handle(match next {
            EngineEvent::Token { offset, text } => Event::Token {
                attempt,
                offset,
                text,
            },
            EngineEvent::Finish { offset, reason } => Event::Finish {
                attempt,
                offset,
                reason,
            },
        });
        if outcome == EventOutcome::Gap {
            return false;
        }
        event = stream.take_ready();
    }
    let length = record.token_count();
    node.metrics.tokens.inc_by((length - before) as u64);
    if before == 0 && length > 0 {
        let age = node.now().duration_since(record.accepted);
        node.metrics.first_token.observe(age.as_secs_f64());
    }
    node.replicator.enqueue(node, record);
    true
}

/// Pauses the stream at its engine until the caller has read half of the unread
/// tokens or the stream is redirected. Returns `false` if that takes longer
/// than the configured pause.
async fn pause_until_read(node: &Rc<Node>, record: &Rc<Record>, target: &Target) -> bool {
    let id = record.request.id.as_str();
    let limit = node.settings.streams.unread_tokens;
    let _ = node.engines.set_paused(target.addr, id, true).await;
    let resumed = async {
        loop {
            let notified = record.driver_notify.notified();
            if record.unread_tokens() <= limit / 2 || record.redirect.borrow().is_some() {
                return;
            }
            notified.await;
        }
    };
    let max_pause = Duration::from_millis(node.settings.streams.pause_ms);
    if compio::time::timeout(max_pause, resumed).await.is_err() {
        return false;
    }
    let _ = node.engines.set_paused(target.addr, id, false).await;
    true
}

async fn end_attempt(
    node: &Rc<Node>,
    record: &Rc<Record>,
    target: &Target,
    attempt: u32,
    end: AttemptEnd,
    progress: Progress,
) {
    let subject = record.request.id.as_str();
    let cause = match end {
        AttemptEnd::Moved | AttemptEnd::Silent(_) => InterruptCause::Moved,
        AttemptEnd::Unread => {
            count_recomputed(node, record, "unread");
            InterruptCause::Unread
        }
        AttemptEnd::Stream(StreamError::Connect(_)) => {
            node.upstreams
                .borrow_mut()
                .record_failure(&target.vm, node.now());
            InterruptCause::NotStarted
        }
        AttemptEnd::Stream(StreamError::Refused(refusal)) if rejects_request(&refusal) => {
            record.fail(
                ErrorKind::BadRequest,
                format!("the upstream refused the request: {}", refusal.message),
            );
            return;
        }
        AttemptEnd::Stream(StreamError::Refused(refusal)) => {
            apply_notice(node, record, target, refusal.notice);
            // An upstream that asks for a pause is not faulty.
            if refusal.notice.pause.is_none() {
                node.upstreams
                    .borrow_mut()
                    .record_failure(&target.vm, node.now());
            }
            InterruptCause::NotStarted
        }
        AttemptEnd::Stream(cause) => {
            let reason = cause.to_string();
            node.decisions
                .record(node.wall_millis(), "lost", subject, &target.vm, reason);
            count_recomputed(node, record, "lost");
            node.upstreams
                .borrow_mut()
                .record_failure(&target.vm, node.now());
            record_loss(node, record, target, progress).await;
            InterruptCause::ConnectionLost
        }
    };
    record.handle(Event::Interrupt { attempt, cause });
}

/// Whether no engine will run the request. An engine that did not run it because it is
/// another one or had no time says nothing of the request.
fn rejects_request(refusal: &Refusal) -> bool {
    let not_run = [StatusCode::REQUEST_TIMEOUT, StatusCode::MISDIRECTED_REQUEST]
        .map(|status| status.as_u16());
    (400..429).contains(&refusal.status) && !not_run.contains(&refusal.status)
}

/// Applies what a response says of the upstream of an attempt.
fn apply_notice(node: &Rc<Node>, record: &Record, target: &Target, notice: UpstreamNotice) {
    let request = record.request.id.as_str();
    let sent = record.attempted.get();
    notice::apply(node, &target.vm, target.incarnation, notice, sent, request);
}

/// Records the loss of an upstream against the request, unless the upstream
/// still accepts connections or was leaving.
async fn record_loss(node: &Rc<Node>, record: &Rc<Record>, target: &Target, progress: Progress) {
    let leaving = node
        .leaving_vms
        .borrow()
        .contains(&target.vm, target.incarnation);
    if leaving || node.engines.is_reachable(target.addr).await {
        return;
    }
    let upstream = (&target.vm, target.incarnation);
    suspects::record_loss(node, record, upstream, progress, target.suspect).await;
}

/// Counts the tokens that the next attempt recomputes. Nothing is counted
/// before the first token, because the prompt may not have been computed yet.
pub(crate) fn count_recomputed(node: &Node, record: &Record, cause: &str) {
    if record.token_count() > 0 {
        let tokens = record.request.prompt_tokens + record.token_count() as u64;
        node.metrics
            .recomputed_tokens
            .get_or_create(&kind(cause))
            .inc_by(tokens);
    }
}

fn finish_record(node: &Node, record: &Record) {
    let length = record.token_count();
    if let Some(permit) = record.permit.borrow_mut().take() {
        node.limiter.borrow_mut().release(&permit, length as f64);
    }
    if record.handed_over.get() {
        return;
    }
    record.touch();
    if let Some(failure) = record.failure() {
        node.metrics
            .failures
            .get_or_create(&kind(failure.kind.name()))
            .inc();
    } else if matches!(record.stream.borrow().phase(), Phase::Finished(_)) {
        suspects::record_answered(node, record);
        let (service, accepted) = (&record.request.service, record.accepted);
        node.shutdown
            .record_run(service, Work::Completion, accepted);
    }
    let key = (
        record.request.workspace.clone(),
        record.request.service.clone(),
    );
    node.length_estimators
        .borrow_mut()
        .entry(key)
        .or_default()
        .observe(length);
}
