//! When a request must have ended: at its deadline, or before this process stops.
//!
//! Each decision to begin or repeat work asks the request's [`Schedule`]. What still waits
//! when the work must have ended is ended at [`work_over`], a stream that has begun at
//! [`streams_over`].

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_adapter::caller::RequestHead;
use lycheehaven_catalog::Route;
use lycheehaven_catalog::RouteKind;
use lycheehaven_dispatch::StopTimes;
use lycheehaven_types::ErrorKind;
use lycheehaven_types::Failure;
use lycheehaven_types::Name;
use lycheehaven_types::WorkTimes;

use crate::evacuate::DEFAULT_TOKEN_INTERVAL;
use crate::node::Node;

/// Deadline of a request that does not specify one.
pub(crate) const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// Range of the time after which a request may return that was refused as this process
/// stops. Other entries take it at once.
const RETRY_AFTER_MS: std::ops::Range<u64> = 50..250;

/// Interval at which what is expected is looked at again while a body is read.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The planned stop of this process, once it is requested.
#[derive(Debug, Default)]
pub(crate) struct PlannedStop(Cell<Option<StopTimes>>);

impl PlannedStop {
    /// Records the request to stop. Later ones change nothing.
    pub(crate) fn request(&self, now: Instant, grace: Duration) {
        if self.0.get().is_none() {
            self.0.set(Some(StopTimes::new(now, grace)));
        }
    }

    /// Returns when the process stops.
    pub(crate) fn times(&self) -> Option<StopTimes> {
        self.0.get()
    }
}

/// The time that a request has, and the time that it is expected to take.
#[derive(Debug, Clone)]
pub(crate) struct Schedule {
    stop: Rc<PlannedStop>,
    /// When the caller or the route ends it.
    pub(crate) deadline: Instant,
    route: Name,
    work_times: Rc<RefCell<WorkTimes<Name>>>,
    /// Time that is assumed while nothing is known of the route.
    assumed: Duration,
}

impl Schedule {
    pub(crate) fn new(node: &Node, route: &Route, head: &RequestHead, received: Instant) -> Self {
        let deadline = head.deadline.unwrap_or(DEFAULT_DEADLINE);
        let timeout = if route.timeout.is_zero() {
            deadline
        } else {
            route.timeout
        };
        Self {
            stop: node.stop.clone(),
            deadline: received + deadline.min(timeout),
            route: route.name.clone(),
            work_times: node.work_times.clone(),
            assumed: assumed_time(route, head),
        }
    }

    /// Returns the time until the request must have ended, zero once it must.
    pub(crate) fn remaining(&self, now: Instant) -> Duration {
        let stop = self.stop.times();
        let end = stop.map_or(self.deadline, |stop| stop.work_end().min(self.deadline));
        end.saturating_duration_since(now)
    }

    /// Returns the time until the request's own deadline.
    pub(crate) fn until_deadline(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Returns whether the request can be expected to end in time if it begins now.
    pub(crate) fn may_begin(&self, now: Instant) -> bool {
        self.may_go_on(Duration::ZERO, now)
    }

    /// Returns whether the rest of a request of which `done` is done can be expected to
    /// end in time if another run of it begins now.
    pub(crate) fn may_go_on(&self, done: Duration, now: Instant) -> bool {
        let Some(stop) = self.stop.times() else {
            return true;
        };
        let expected = self.expected(now).saturating_sub(done);
        stop.may_begin(expected, self.deadline, now)
    }

    /// Returns the time that the whole request is expected to take.
    fn expected(&self, now: Instant) -> Duration {
        let work_times = self.work_times.borrow();
        work_times.expected(&self.route, self.assumed, now)
    }

    /// Checks that the request can be expected to end in time if it begins now.
    ///
    /// # Errors
    /// Returns the failure that tells the caller to go elsewhere.
    pub(crate) fn check(&self, now: Instant) -> Result<(), Failure> {
        match self.may_begin(now) {
            true => Ok(()),
            false => Err(refusal("the request is not expected to end in time")),
        }
    }

    /// Returns once the request can no longer be expected to end in time.
    pub(crate) async fn latest_start(&self, node: &Node) {
        node.stop_requested.cancelled().await;
        while self.may_begin(node.now()) {
            let Some(stop) = self
                .stop
                .times()
                .filter(|stop| stop.work_end() < self.deadline)
            else {
                return std::future::pending().await;
            };
            let now = node.now();
            let wait = stop.until_latest_start(self.expected(now), now);
            compio::time::sleep(wait.min(RECHECK_INTERVAL)).await;
        }
    }
}

/// Returns how long a request is assumed to take from its send to the end of the answer.
fn assumed_time(route: &Route, head: &RequestHead) -> Duration {
    match (route.kind, head.tokens) {
        (RouteKind::Streaming, Some(tokens)) => {
            let output = head.output_hint.unwrap_or(tokens.output);
            let output = u32::try_from(output).unwrap_or(u32::MAX);
            route.target_latency + DEFAULT_TOKEN_INTERVAL.saturating_mul(output)
        }
        _ => route.target_latency,
    }
}

/// Returns once the work on all requests must have ended whose answers have not begun.
pub(crate) async fn work_over(node: &Node) {
    reached(node, StopTimes::work_end).await;
}

/// Returns once streams must have ended.
pub(crate) async fn streams_over(node: &Node) {
    reached(node, StopTimes::stream_end).await;
}

/// Returns at an instant of the planned stop.
async fn reached(node: &Node, instant: impl Fn(&StopTimes) -> Instant) {
    node.stop_requested.cancelled().await;
    while let Some(times) = node.stop.times() {
        let wait = instant(&times).saturating_duration_since(node.now());
        if wait.is_zero() {
            return;
        }
        compio::time::sleep(wait).await;
    }
}

/// Returns the failure of a request that is open when the work must have ended. `written`
/// tells whether it was written to an upstream.
pub(crate) fn cut_failure(written: bool) -> Failure {
    match written {
        true => Failure::new(ErrorKind::UpstreamLost, CUT_CAUSE),
        false => refusal("the request was not sent in time"),
    }
}

/// Why what is open is ended when the work must have ended.
pub(crate) const CUT_CAUSE: &str = "the entry stops, and the upstream has not answered before";

/// Why no further run of a request begins.
pub(crate) const TOO_LATE: &str = "the entry stops before another run is expected to end";

fn refusal(cause: &str) -> Failure {
    let wait = Duration::from_millis(rand::random_range(RETRY_AFTER_MS));
    Failure::new(ErrorKind::Draining, format!("the entry stops: {cause}")).retry_after(wait)
}
