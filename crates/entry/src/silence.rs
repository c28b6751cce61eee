//! Runs at engines that send nothing.
//!
//! A run is left only for a target that is in hand. The order is: choose the target, see
//! that it accepts connections, obtain its permit, close the connection of the silent run,
//! send the next attempt. So two engines never work on one answer for longer than it takes
//! the close to arrive.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_util::FutureExt;
use futures_util::select;
use lycheehaven_streams::Silence;
use lycheehaven_streams::Verdict;
use lycheehaven_streams::silence_limit;

use crate::node::Node;
use crate::record::Record;
use crate::target::Prompt;
use crate::target::Target;
use crate::target::choose_successor;
use crate::target::release;

/// Longest time between two looks for a target of an overdue run.
const MAX_RECHECK: Duration = Duration::from_secs(1);

/// Outcome of a wait for an engine.
pub(crate) enum Waited<T> {
    /// The engine sent this.
    Received(T),
    /// The record has changed.
    Notified,
    /// The run is to be left for this target, or because the request is past its deadline.
    Leave(Option<Target>),
}

/// Watches the run of an attempt for silence.
pub(crate) struct RunWatch<'a> {
    pub(crate) node: &'a Rc<Node>,
    pub(crate) record: &'a Rc<Record>,
    pub(crate) prompt: &'a Prompt,
    pub(crate) target: &'a Target,
    /// When the engine was last heard of.
    heard: Cell<Instant>,
}

impl<'a> RunWatch<'a> {
    /// Begins to watch a run that is about to be sent.
    pub(crate) fn new(
        node: &'a Rc<Node>,
        record: &'a Rc<Record>,
        prompt: &'a Prompt,
        target: &'a Target,
    ) -> Self {
        Self {
            node,
            record,
            prompt,
            target,
            heard: Cell::new(node.now()),
        }
    }

    /// Waits for `step`, a message of the engine.
    pub(crate) async fn wait<T>(&self, step: impl Future<Output = T>) -> Waited<T> {
        let mut step = pin!(step);
        let mut overdue = false;
        loop {
            let mut notified = pin!(self.record.driver_notify.notified());
            select! {
                message = step.as_mut().fuse() => return self.received(message),
                () = notified.as_mut().fuse() => return Waited::Notified,
                () = compio::time::sleep(self.next_check(overdue)).fuse() => {}
            }
            overdue = self.verdict() == Verdict::Overdue;
            if !overdue {
                continue;
            }
            if self.time_left().is_zero() {
                return Waited::Leave(None);
            }
            let (node, record) = (self.node, self.record);
            let next = choose_successor(node, record, self.prompt, self.target).await;
            // The choice takes time in which the engine may have gone on, or the record
            // may have changed.
            let message = step.as_mut().now_or_never();
            match (message, next) {
                (Some(message), next) => {
                    next.iter().for_each(|target| release(node, target));
                    return self.received(message);
                }
                (None, Some(target)) => return Waited::Leave(Some(target)),
                (None, None) if notified.now_or_never().is_some() => return Waited::Notified,
                (None, None) => {}
            }
        }
    }

    /// Restarts the measuring of silence.
    pub(crate) fn restart(&self) {
        let now = self.node.now();
        self.heard.set(now);
        let mut upstreams = self.node.upstreams.borrow_mut();
        upstreams.record_heard(&self.target.vm, now);
    }

    /// Returns for how long the engine has sent nothing for this run.
    pub(crate) fn silence(&self) -> Duration {
        self.node.now().saturating_duration_since(self.heard.get())
    }

    fn received<T>(&self, message: T) -> Waited<T> {
        self.restart();
        Waited::Received(message)
    }

    /// Returns the limit of silence. It is the first one again from the deadline on, as no
    /// other attempt follows.
    fn limit(&self) -> Duration {
        let first = Duration::from_millis(self.node.settings.timing.silence_ms);
        if self.time_left().is_zero() {
            return first;
        }
        silence_limit(first, self.record.silent_attempts.get())
    }

    fn verdict(&self) -> Verdict {
        let upstreams = self.node.upstreams.borrow();
        let upstream = upstreams.get(&self.target.vm);
        let run = self.silence();
        let silence = Silence {
            run,
            upstream: upstream.map_or(run, |upstream| upstream.silence(self.node.now())),
        };
        silence.judge(self.limit())
    }

    fn time_left(&self) -> Duration {
        self.node.time_left(self.record.accepted)
    }

    /// Returns the time until the next look at the silence, at the latest the deadline.
    fn next_check(&self, overdue: bool) -> Duration {
        let check = match self.verdict() {
            Verdict::Wait(wait) => wait,
            Verdict::Overdue if overdue => self.limit().min(MAX_RECHECK),
            Verdict::Overdue => Duration::ZERO,
        };
        match self.time_left() {
            Duration::ZERO => check,
            left => check.min(left),
        }
    }
}
