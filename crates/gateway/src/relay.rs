//! Passes the events of a stream on, across a change of upstream.

use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use futures_util::stream::unfold;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use lycheehaven_adapter::upstream::ResponseHead;
use lycheehaven_catalog::UpstreamKey;
use lycheehaven_channels::Connection;
use lycheehaven_net::Body;
use lycheehaven_net::CountGuard;
use lycheehaven_net::SseSplitter;

use crate::attempt;
use crate::attempt::Answered;
use crate::attempt::Job;
use crate::attempt::Outcome;
use crate::attempt::Resume;
use crate::attempt::Target;
use crate::attempt::Ticket;
use crate::evacuate;
use crate::evacuate::Moved;
use crate::evacuate::StreamState;
use crate::node::Node;
use crate::serve;

/// Longest pause in a resumable stream before it goes on at another upstream.
const STALL: Duration = Duration::from_millis(1500);

/// The run that the events come from.
struct Run {
    key: UpstreamKey,
    body: Incoming,
    head: ResponseHead,
    connection: Connection,
    ticket: Ticket,
}

impl Run {
    /// The head of an answer, and the run that it begins.
    fn begin(answered: Answered) -> (Parts, Self) {
        let (parts, body) = answered.response.into_parts();
        let run = Self {
            key: answered.upstream.key,
            body,
            head: answered.head,
            connection: answered.connection,
            ticket: answered.ticket,
        };
        (parts, run)
    }
}

struct Relay {
    node: Rc<Node>,
    job: Rc<Job>,
    run: Option<Run>,
    splitter: SseSplitter,
    ready: VecDeque<Bytes>,
    last_event: Option<u64>,
    tried: Vec<UpstreamKey>,
    arrivals: u32,
    /// Tokens in one event.
    stride: u64,
    state: Rc<StreamState>,
    number: u64,
    _open: CountGuard,
}

/// What came from the upstream.
enum Input {
    Bytes(Bytes),
    End,
    Broken(String),
}

/// Starts to relay a stream once its first event is in.
///
/// # Errors
/// Why there was no event; the request has run.
pub(crate) async fn start(
    node: &Rc<Node>,
    job: &Rc<Job>,
    answered: Answered,
    arrivals: u32,
) -> Result<Response<Body>, String> {
    let state = StreamState::new(job, &answered.upstream, node.now());
    let number = node.streams.borrow_mut().add(state.clone());
    let (parts, run) = Run::begin(answered);
    let mut relay = Relay {
        node: node.clone(),
        job: job.clone(),
        tried: vec![run.key.clone()],
        run: Some(run),
        splitter: SseSplitter::default(),
        ready: VecDeque::new(),
        last_event: job.head.last_event,
        arrivals,
        stride: stride(node, job),
        state,
        number,
        _open: CountGuard::new(node.open.clone()),
    };
    relay.fill().await?;
    let stream = unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.next().await {
            Ok(Some(bytes)) => Some((Ok(bytes), Some(relay))),
            Ok(None) => None,
            Err(cause) => Some((Err(io::Error::other(cause)), None)),
        }
    });
    let body = Body::Chunks(Box::pin(stream));
    Ok(serve::answer(parts.status, &parts.headers, body))
}

/// Tokens in one event of the service's streams.
fn stride(node: &Node, job: &Job) -> u64 {
    evacuate::engine_spec(node, &job.service).map_or(1, |engine| u64::from(engine.event_tokens))
}

impl Relay {
    /// The next bytes for the caller; `None` at the end of the stream.
    async fn next(&mut self) -> Result<Option<Bytes>, String> {
        if self.ready.is_empty() {
            self.fill().await?;
        }
        Ok(self.join_ready())
    }

    /// Joins events that came together, to write them at once.
    fn join_ready(&mut self) -> Option<Bytes> {
        if self.ready.len() <= 1 {
            return self.ready.pop_front();
        }
        let joined: Vec<u8> = self.ready.drain(..).flatten().collect();
        Some(joined.into())
    }

    /// Reads until an event is whole or the stream ends.
    async fn fill(&mut self) -> Result<(), String> {
        while self.ready.is_empty() && self.run.is_some() {
            match self.read().await {
                Input::Bytes(bytes) => self.take(&bytes),
                Input::End => self.end().await?,
                Input::Broken(cause) => self.go_on(cause).await?,
            }
        }
        Ok(())
    }

    async fn read(&mut self) -> Input {
        let now = self.node.now();
        let left = self.job.left(now);
        if left.is_zero() {
            return Input::Broken("the time is up".into());
        }
        let stall = if self.may_resume() {
            left.min(STALL)
        } else {
            left
        };
        let Some(run) = &mut self.run else {
            return Input::End;
        };
        match compio::time::timeout(stall, run.body.frame()).await {
            Err(_) => Input::Broken("the stream paused too long".into()),
            Ok(None) => Input::End,
            Ok(Some(Err(cause))) => Input::Broken(cause.to_string()),
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(bytes) => Input::Bytes(bytes),
                Err(_) => Input::Bytes(Bytes::new()),
            },
        }
    }

    fn take(&mut self, bytes: &[u8]) {
        let events = self.splitter.push(bytes);
        self.count_written(events.len());
        for event in events {
            if event.id.is_some() {
                self.last_event = event.id;
            }
            self.ready.push_back(event.bytes);
        }
    }

    fn count_written(&self, events: usize) {
        let written = events as u64 * self.stride;
        self.state.written.set(self.state.written.get() + written);
        let work = self.node.policy.decode_ms(written);
        let now = self.node.now();
        let service = &self.job.service;
        self.node.demand.borrow_mut().add(service, work, now);
    }

    /// Handles the end of the upstream's answer. A run that was moved ends
    /// here too, but not its stream.
    async fn end(&mut self) -> Result<(), String> {
        match self.state.take_move().await {
            None | Some(Moved::Failed) => {
                self.finish();
                Ok(())
            }
            Some(moved) => {
                self.run = None;
                self.splitter.take_rest();
                if self.follow(moved).await {
                    return Ok(());
                }
                self.resume("the moved run could not go on").await
            }
        }
    }

    fn finish(&mut self) {
        if !self.splitter.is_empty() {
            self.ready.push_back(self.splitter.take_rest());
        }
        self.node.streams.borrow_mut().remove(self.number, true);
        if let Some(run) = self.run.take() {
            drop(run.ticket);
            attempt::recycle(&self.node, &run.key, &run.head, run.connection);
        }
    }

    fn may_resume(&self) -> bool {
        self.job.route.resumable && self.arrivals < self.job.route.max_attempts
    }

    /// Continues a broken stream at another upstream.
    async fn go_on(&mut self, cause: String) -> Result<(), String> {
        let broken = self.run.take().is_some();
        self.splitter.take_rest();
        if let Some(moved) = self.state.take_move().await {
            if self.follow(moved).await {
                return Ok(());
            }
        } else if broken {
            let upstream = self.state.upstream.borrow().clone();
            attempt::note_break(&self.node, &self.job, &upstream);
        }
        let result = self.resume(&cause).await;
        log::info!(
            target: "lycheehaven",
            request = self.job.id(),
            route = &*self.job.route.name,
            last_event = self.last_event.unwrap_or(0),
            cause = cause.as_str(),
            resumed = result.is_ok();
            "the stream broke off"
        );
        result
    }

    /// Goes on where the run's memory was moved to.
    async fn follow(&mut self, moved: Moved) -> bool {
        let (target, memory) = match moved {
            Moved::To(target, memory) => ((*target).clone(), memory),
            Moved::Stopped(memory) => {
                let target = Target {
                    upstream: self.state.upstream.borrow().clone(),
                    unread: 0,
                    expected: Duration::ZERO,
                };
                (target, memory)
            }
            Moved::Failed => return false,
        };
        let resume = Resume {
            last_event: self.last_event,
            memory: Some(memory),
        };
        let outcome = attempt::send(&self.node, &self.job, &target, &resume, self.job.until).await;
        self.accept(outcome)
    }

    /// Takes over the answer of another run.
    fn accept(&mut self, outcome: Outcome) -> bool {
        let Outcome::Answered(answered) = outcome else {
            return false;
        };
        if !answered.response.status().is_success() {
            return false;
        }
        answered.ticket.answered();
        *self.state.upstream.borrow_mut() = answered.upstream.clone();
        let (_, run) = Run::begin(*answered);
        self.tried.push(run.key.clone());
        self.run = Some(run);
        true
    }

    async fn resume(&mut self, cause: &str) -> Result<(), String> {
        while self.may_resume() && self.job.left(self.node.now()) > Duration::ZERO {
            let now = self.node.now();
            let target = serve::pick(&self.node, &self.job, &self.tried, now)
                .map_err(|failure| failure.message)?;
            let members = self.node.members.borrow().count();
            let service = &self.job.service;
            if !self
                .node
                .budget
                .borrow_mut()
                .try_take(service, members, now)
            {
                return Err(format!("{cause}; the retry budget is used up"));
            }
            self.tried.push(target.upstream.key.clone());
            self.arrivals += 1;
            let resume = Resume {
                last_event: self.last_event,
                memory: None,
            };
            let outcome =
                attempt::send(&self.node, &self.job, &target, &resume, self.job.until).await;
            if self.accept(outcome) {
                return Ok(());
            }
        }
        Err(cause.to_owned())
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.node.streams.borrow_mut().remove(self.number, false);
    }
}
