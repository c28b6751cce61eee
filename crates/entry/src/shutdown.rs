//! The planned stop of this entry, as decisions about requests see it.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_util::FutureExt;
use futures_util::select;
use lycheehaven_net::Incoming;
use lycheehaven_net::read_body;
use lycheehaven_types::Clock;
use lycheehaven_types::ErrorKind;
use lycheehaven_types::Failure;
use lycheehaven_types::Name;
use lycheehaven_types::StopPlan;
use lycheehaven_types::WorkTimes;
use tokio::sync::Notify;

/// What a request asks of its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Work {
    /// A completion.
    Completion,
    /// A call that may run again.
    Repeatable,
    /// A call that may run only once.
    Once,
}

/// When this entry stops, and what can end before.
pub(crate) struct Shutdown {
    clock: Rc<dyn Clock>,
    plan: Cell<Option<StopPlan>>,
    changed: Notify,
    work_times: RefCell<WorkTimes<(Name, Work)>>,
}

impl Shutdown {
    /// Creates the state of an entry that does not stop.
    pub(crate) fn new(clock: Rc<dyn Clock>) -> Self {
        Self {
            clock,
            plan: Cell::new(None),
            changed: Notify::new(),
            work_times: RefCell::default(),
        }
    }

    /// Returns whether this entry stops.
    pub(crate) fn is_begun(&self) -> bool {
        self.plan.get().is_some()
    }

    /// Begins the stop, or lets the work end earlier than planned.
    pub(crate) fn end_work(&self, plan: StopPlan) {
        let earlier = self.plan.get().map_or(plan, |known| known.earlier(plan));
        self.plan.set(Some(earlier));
        self.changed.notify_waiters();
    }

    /// Ends the work now.
    pub(crate) fn end_work_now(&self) {
        self.end_work(StopPlan::new(self.clock.now()));
    }

    /// Waits until the stop begins.
    pub(crate) async fn begun(&self) {
        loop {
            let changed = self.changed.notified();
            if self.is_begun() {
                return;
            }
            changed.await;
        }
    }

    /// Returns the time until the work must have ended, once this entry stops.
    pub(crate) fn time_left(&self) -> Option<Duration> {
        let now = self.clock.now();
        let plan = self.plan.get()?;
        Some(plan.time_to_begin(now, Duration::ZERO))
    }

    /// Returns whether work that takes `expected` ends before this entry stops.
    pub(crate) fn can_end(&self, expected: Duration) -> bool {
        let now = self.clock.now();
        self.plan
            .get()
            .is_none_or(|plan| plan.can_end(now, expected))
    }

    /// Returns whether the work must have ended: what is open is handed over, or ends.
    pub(crate) fn is_work_over(&self) -> bool {
        !self.can_end(Duration::ZERO)
    }

    /// Waits until work that takes `expected` can no longer end before this entry stops.
    pub(crate) async fn too_late(&self, expected: Duration) {
        loop {
            let changed = self.changed.notified();
            let Some(plan) = self.plan.get() else {
                changed.await;
                continue;
            };
            let left = plan.time_to_begin(self.clock.now(), expected);
            if left.is_zero() {
                return;
            }
            select! {
                () = compio::time::sleep(left).fuse() => {}
                () = changed.fuse() => {}
            }
        }
    }

    /// Waits until the work must have ended.
    pub(crate) async fn work_end(&self) {
        self.too_late(Duration::ZERO).await;
    }

    /// Records work for a service that was answered.
    pub(crate) fn record_run(&self, service: &Name, work: Work, began: Instant) {
        let now = self.clock.now();
        let taken = now.saturating_duration_since(began);
        let mut work_times = self.work_times.borrow_mut();
        work_times.record(&(service.clone(), work), taken, now);
    }

    /// Returns the time that work for a service is expected to take.
    pub(crate) fn expected(&self, service: &Name, work: Work) -> Duration {
        let now = self.clock.now();
        let work_times = self.work_times.borrow();
        work_times.expected(&(service.clone(), work), Duration::ZERO, now)
    }

    /// Reads the body of a request for work that takes `expected`, as long as that can
    /// end before this entry stops.
    pub(crate) async fn read_body(
        &self,
        body: Incoming,
        limit: usize,
        timeout: Duration,
        expected: Duration,
    ) -> Result<hyper::body::Bytes, Failure> {
        select! {
            read = read_body(body, limit, timeout).fuse() => read,
            () = self.too_late(expected).fuse() => Err(not_run()),
        }
    }
}

/// Returns the failure of a request that was passed to no upstream.
pub(crate) fn not_run() -> Failure {
    let message = "this entry stops before the request can be expected to end";
    Failure::new(ErrorKind::Draining, message)
}

/// Returns the failure of a request that did not end before this entry. `is_sent` tells
/// whether an upstream may have run it.
pub(crate) fn not_ended(is_sent: bool) -> Failure {
    match is_sent {
        true => Failure::new(
            ErrorKind::UpstreamLost,
            "this entry stops before the upstream has answered",
        ),
        false => not_run(),
    }
}
