//! The upstreams that may have run a request.

use std::cell::RefCell;

use lycheehaven_catalog::UpstreamKey;

use crate::attempt::Outcome;
use crate::attempt::ResumePoint;

/// The upstreams that a request was sent to, once for each send. It belongs to the request
/// and counts for all of its attempts, whether they begin, resume or move its run.
#[derive(Debug, Default)]
pub(crate) struct Sends {
    upstreams: RefCell<Vec<UpstreamKey>>,
}

impl Sends {
    /// Records the result of a send to `upstream`. A run that goes on with the KV cache of
    /// the one before is the same run.
    pub(crate) fn record(&self, upstream: &UpstreamKey, resume: &ResumePoint, outcome: &Outcome) {
        let is_sent = match outcome {
            Outcome::Unreachable(_) | Outcome::NoPermit(_) => false,
            Outcome::Refused(_) => resume.kv_source.is_none(),
            Outcome::Lost(_) => true,
            Outcome::Responded(response) => {
                resume.kv_source.is_none() || !response.response.status().is_success()
            }
        };
        if is_sent {
            self.add(upstream);
        }
    }

    /// Like [`Sends::record`] for a send that may be made again after a refusal, which is
    /// not counted.
    pub(crate) fn record_run(&self, upstream: &UpstreamKey, outcome: &Outcome) {
        if matches!(outcome, Outcome::Responded(_) | Outcome::Lost(_)) {
            self.add(upstream);
        }
    }

    /// Counts a send to `upstream` that may have run.
    pub(crate) fn add(&self, upstream: &UpstreamKey) {
        self.upstreams.borrow_mut().push(upstream.clone());
    }

    /// Returns the number of sends.
    pub(crate) fn count(&self) -> u32 {
        self.upstreams.borrow().len() as u32
    }

    /// Returns the upstreams, in order.
    pub(crate) fn upstreams(&self) -> Vec<UpstreamKey> {
        self.upstreams.borrow().clone()
    }
}
