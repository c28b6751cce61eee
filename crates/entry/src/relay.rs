//! The attempts of an accepted request at model engines.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::select;
use lycheehaven_net::sleep_ms;
use lycheehaven_routing::Query;
use lycheehaven_streams::Event;
use lycheehaven_streams::EventOutcome;
use lycheehaven_streams::InterruptCause;
use lycheehaven_streams::Phase;
use lycheehaven_streams::UpstreamLoss;
use lycheehaven_types::ErrorKind;
use lycheehaven_types::Incarnation;
use lycheehaven_types::Name;
use lycheehaven_upstream::EngineEvent;
use lycheehaven_upstream::EngineStream;
use lycheehaven_upstream::StreamError;
use lycheehaven_upstream::protocol::Continuation;
use lycheehaven_upstream::protocol::prefix_blocks;
use lycheehaven_upstream::protocol::prompt_text;

use crate::metrics::kind;
use crate::node::Node;
use crate::record::Record;
use crate::suspects;

/// Wait before upstreams are looked at again when none could be used.
const RETRY_MS: u64 = 50;

/// Time after which a request that was never sent is refused.
const UNSENT_LIMIT: Duration = Duration::from_secs(3);

/// Tokens beyond the point of an earlier crash after which a suspect counts as
/// harmless for its company.
const PROBATION_TOKENS: usize = 8;

/// Where an attempt goes.
struct Target {
    vm: Name,
    incarnation: Incarnation,
    addr: SocketAddr,
    alone: bool,
}

/// Facts about the prompt that every attempt needs.
struct Prompt {
    blocks: Vec<u64>,
    tokens: u64,
}

/// Runs attempts until the answer is complete, given up or given away.
pub(crate) async fn drive(node: Rc<Node>, record: Rc<Record>) {
    let prompt = Prompt {
        blocks: prefix_blocks(&prompt_text(&record.request.body)),
        tokens: record.request.prompt_tokens,
    };
    while !record.is_over() && !record.given.get() {
        if !wait_for_reader(&node, &record).await {
            return;
        }
        if let Some(target) = pick(&node, &record, &prompt).await {
            run_attempt(&node, &record, &prompt, &target).await;
        }
    }
    finish(&node, &record);
}

/// Waits until tokens are wanted; `false` if nobody came for them in time and
/// the record was dropped.
async fn wait_for_reader(node: &Node, record: &Record) -> bool {
    let keep = Duration::from_millis(node.settings.streams.keep_ms);
    let limit = node.settings.streams.unread_tokens;
    while record.unread() >= limit && !record.given.get() {
        let steered = record.steer.notified();
        let idle = compio::time::timeout(keep, steered).await.is_err();
        if idle && !record.is_attended() {
            record.abandon(ErrorKind::DeadlineWithin, "nobody came back for the answer");
            finish(node, record);
            return false;
        }
    }
    true
}

/// Chooses the next attempt's upstream. `None` if the caller should look at
/// the record's state again.
async fn pick(node: &Rc<Node>, record: &Rc<Record>, prompt: &Prompt) -> Option<Target> {
    if give_up(node, record) {
        return None;
    }
    let redirect = record.redirect.borrow_mut().take();
    let wanted = redirect.and_then(|redirect| redirect.target);
    if let Some(target) = wanted.and_then(|vm| target_of(node, &vm, false)) {
        return Some(target);
    }
    let alone = node.suspicion.borrow().is_suspect(record.request.digest);
    let Some(vm) = choose(node, record, prompt, alone) else {
        sleep_ms(RETRY_MS).await;
        return None;
    };
    let target = target_of(node, &vm, alone)?;
    if alone && !reserve(node, record, &vm).await {
        sleep_ms(RETRY_MS + node.draw() % RETRY_MS).await;
        return None;
    }
    Some(target)
}

/// Reserves an upstream for a suspect. The reservation stands before the peers
/// are asked, so that of two entries that choose the same upstream at least one
/// sees the other's.
async fn reserve(node: &Rc<Node>, record: &Record, vm: &Name) -> bool {
    node.table.borrow_mut().add_suspect(vm);
    let free = suspects::may_try(node, record, vm).await;
    if !free {
        node.table.borrow_mut().remove_suspect(vm);
    }
    free
}

fn give_up(node: &Node, record: &Record) -> bool {
    let digest = record.request.digest;
    if node.suspicion.borrow().is_quarantined(digest, node.now()) {
        record.abandon(ErrorKind::Quarantined, "the request has crashed upstreams");
        return true;
    }
    let age = node.now().duration_since(record.accepted);
    let sent = record.stream.borrow().attempt() > 0;
    if age >= Duration::from_millis(node.settings.streams.deadline_ms) {
        let outcome = if sent {
            ErrorKind::DeadlineWithin
        } else {
            ErrorKind::DeadlineBefore
        };
        record.abandon(outcome, "the request was not answered before its deadline");
        return true;
    }
    let unopened = record.stream.borrow().attempt() == record.stream.borrow().failed_starts();
    if unopened && age >= UNSENT_LIMIT {
        record.abandon(
            ErrorKind::NoUpstream,
            "no upstream of the service can be reached",
        );
        return true;
    }
    false
}

fn choose(node: &Node, record: &Record, prompt: &Prompt, alone: bool) -> Option<Name> {
    let request = &record.request;
    let query = Query {
        service: &request.service,
        domain: &node.settings.domain,
        tokens: prompt.tokens + record.length() as u64,
        blocks: &prompt.blocks,
        avoid: &[],
        alone,
    };
    node.choose(&query, request.id.as_str())
        .map(|choice| choice.vm)
}

fn target_of(node: &Node, vm: &Name, alone: bool) -> Option<Target> {
    let table = node.table.borrow();
    let upstream = table.get(vm).filter(|upstream| !upstream.leaving)?;
    Some(Target {
        vm: vm.clone(),
        incarnation: upstream.id.incarnation,
        addr: upstream.addr,
        alone,
    })
}

async fn run_attempt(node: &Rc<Node>, record: &Rc<Record>, prompt: &Prompt, target: &Target) {
    record.handle(Event::Begin(target.vm.clone()));
    *record.moving.borrow_mut() = None;
    let attempt = record.stream.borrow().attempt();
    let start = record.length();
    node.metrics.attempts.inc();
    let tokens = prompt.tokens + start as u64;
    node.table
        .borrow_mut()
        .record_open(&target.vm, tokens, &prompt.blocks);
    let mut probation = Probation {
        target,
        limit: start + PROBATION_TOKENS,
        open: target.alone,
    };
    let end = attempt_once(node, record, target, attempt, &mut probation).await;
    let early = probation.open || record.length() <= start;
    probation.end(node);
    node.table.borrow_mut().record_close(&target.vm);
    if let Some(end) = end {
        settle(node, record, target, attempt, end, early).await;
    }
}

/// Counts a suspect at its upstream until it has got past its last crash.
struct Probation<'a> {
    target: &'a Target,
    limit: usize,
    open: bool,
}

impl Probation<'_> {
    fn pass(&mut self, node: &Node, length: usize) {
        if self.open && length >= self.limit {
            self.end(node);
        }
    }

    fn end(&mut self, node: &Node) {
        if std::mem::take(&mut self.open) {
            node.table.borrow_mut().remove_suspect(&self.target.vm);
        }
    }
}

/// How an attempt ended without completing the answer.
enum End {
    Stream(StreamError),
    Moved,
    Unread,
}

async fn attempt_once(
    node: &Rc<Node>,
    record: &Rc<Record>,
    target: &Target,
    attempt: u32,
    probation: &mut Probation<'_>,
) -> Option<End> {
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
    let opened = node
        .engines
        .open(target.addr, path, &record.request.body, &continuation)
        .await;
    let mut stream = match opened {
        Ok(stream) => stream,
        Err(cause) => return Some(End::Stream(cause)),
    };
    node.table.borrow_mut().record_success(&target.vm);
    loop {
        if record.redirect.borrow().is_some() || record.given.get() {
            return Some(End::Moved);
        }
        if record.unread() >= node.settings.streams.unread_tokens
            && !pause_until_read(node, record, target).await
        {
            return Some(End::Unread);
        }
        let event = select! {
            event = stream.next().fuse() => event,
            () = record.steer.notified().fuse() => continue,
        };
        let applied = match event {
            Ok(event) => apply_batch(node, record, attempt, event, &mut stream),
            Err(cause) => return Some(End::Stream(cause)),
        };
        if !applied {
            return Some(End::Stream(StreamError::Broken(
                "tokens were skipped".into(),
            )));
        }
        probation.pass(node, record.length());
        if record.is_over() {
            return None;
        }
    }
}

/// Applies an event and those that arrived with it; `false` after a gap.
fn apply_batch(
    node: &Rc<Node>,
    record: &Rc<Record>,
    attempt: u32,
    first: EngineEvent,
    stream: &mut EngineStream,
) -> bool {
    let before = record.length();
    let mut event = Some(first);
    while let Some(next) = event {
        let verdict = record.handle(match next {
            EngineEvent::Token { offset, text } => Event::Token {
                attempt,
                offset,
                text,
            },
            EngineEvent::Finish(reason) => Event::Finish { attempt, reason },
        });
        if verdict == EventOutcome::Gap {
            return false;
        }
        event = stream.take_ready();
    }
    let length = record.length();
    node.metrics.tokens.inc_by((length - before) as u64);
    if before == 0 && length > 0 {
        let age = node.now().duration_since(record.accepted);
        node.metrics.first_token.observe(age.as_secs_f64());
    }
    node.replicator.grown(node, record);
    true
}

/// Pauses the stream at its engine until the caller has read half of what was
/// ahead; `false` if that takes longer than an engine is held.
async fn pause_until_read(node: &Rc<Node>, record: &Rc<Record>, target: &Target) -> bool {
    let id = record.request.id.as_str();
    let limit = node.settings.streams.unread_tokens;
    let _ = node.engines.set_paused(target.addr, id, true).await;
    let resumed = async {
        loop {
            let steered = record.steer.notified();
            if record.unread() <= limit / 2 || record.redirect.borrow().is_some() {
                return;
            }
            steered.await;
        }
    };
    let hold = Duration::from_millis(node.settings.streams.pause_ms);
    if compio::time::timeout(hold, resumed).await.is_err() {
        return false;
    }
    let _ = node.engines.set_paused(target.addr, id, false).await;
    true
}

async fn settle(
    node: &Rc<Node>,
    record: &Rc<Record>,
    target: &Target,
    attempt: u32,
    end: End,
    early: bool,
) {
    let subject = record.request.id.as_str();
    let cause = match end {
        End::Moved => InterruptCause::Moved,
        End::Unread => {
            count_recomputed(node, record, "unread");
            InterruptCause::Unread
        }
        End::Stream(StreamError::Connect(_)) => {
            node.table
                .borrow_mut()
                .record_failure(&target.vm, node.now());
            InterruptCause::NotStarted
        }
        End::Stream(StreamError::Refused(status, message)) if (400..429).contains(&status) => {
            record.abandon(
                ErrorKind::BadRequest,
                format!("the upstream refused it: {message}"),
            );
            return;
        }
        End::Stream(StreamError::Refused(..)) => {
            node.table
                .borrow_mut()
                .record_failure(&target.vm, node.now());
            InterruptCause::NotStarted
        }
        End::Stream(cause) => {
            let reason = cause.to_string();
            node.decisions
                .note(node.wall_millis(), "lost", subject, &target.vm, reason);
            count_recomputed(node, record, "lost");
            node.table
                .borrow_mut()
                .record_failure(&target.vm, node.now());
            blame(node, record, target, early).await;
            InterruptCause::ConnectionLost
        }
    };
    record.handle(Event::Interrupt { attempt, cause });
}

/// Blames the request for the loss of its upstream, unless the upstream still
/// accepts connections or was leaving.
async fn blame(node: &Rc<Node>, record: &Rc<Record>, target: &Target, early: bool) {
    let leaving = node
        .leaving
        .borrow()
        .contains(&target.vm, target.incarnation);
    if leaving || node.engines.is_reachable(target.addr).await {
        return;
    }
    let loss = UpstreamLoss {
        vm: target.vm.clone(),
        incarnation: target.incarnation,
    };
    let digest = record.request.digest;
    node.suspicion
        .borrow_mut()
        .record(digest, &loss, early, node.now());
    suspects::tell_verdict(node, digest).await;
}

/// Counts what the next attempt computes again. A request without a token yet
/// may never have been computed.
pub(crate) fn count_recomputed(node: &Node, record: &Record, cause: &str) {
    if record.length() > 0 {
        let tokens = record.request.prompt_tokens + record.length() as u64;
        node.metrics
            .recomputed
            .get_or_create(&kind(cause))
            .inc_by(tokens);
    }
}

fn finish(node: &Node, record: &Record) {
    let length = record.length();
    if let Some(ticket) = record.ticket.borrow_mut().take() {
        node.limiter.borrow_mut().release(&ticket, length as f64);
    }
    if record.given.get() {
        return;
    }
    record.touch();
    if let Some(failure) = record.failure() {
        node.metrics
            .failures
            .get_or_create(&kind(failure.kind.name()))
            .inc();
    } else if matches!(record.stream.borrow().phase(), Phase::Finished(_)) {
        node.suspicion.borrow_mut().clear(record.request.digest);
    }
    let key = (
        record.request.workspace.clone(),
        record.request.service.clone(),
    );
    node.expectations
        .borrow_mut()
        .entry(key)
        .or_default()
        .observe(length);
}
