//! Continues streams whose runs were moved.

use std::time::Duration;

use lycheehaven_catalog::UpstreamKey;

use super::Relay;
use crate::attempt;
use crate::attempt::Outcome;
use crate::attempt::ResumePoint;
use crate::attempt::Target;
use crate::evacuate::MoveOutcome;

/// Longest time for which a moved stream waits for the engine that holds its KV cache, if
/// it can go on without. Callers give up a stream without events after two seconds.
const MAX_KV_WAIT: Duration = Duration::from_millis(1500);

/// Time after which that engine is asked again if it did not run the request; it doubles
/// each time.
const RETRY_BACKOFF: Duration = Duration::from_millis(250);

impl Relay {
    /// Continues the stream where its KV cache is after a move.
    pub(super) async fn follow_move(&mut self, move_outcome: MoveOutcome) -> bool {
        let (target, kv_source) = match move_outcome {
            MoveOutcome::Transferred(target, kv_source) => ((*target).clone(), kv_source),
            MoveOutcome::Suspended(kv_source) => {
                let target = Target {
                    upstream: self.state.upstream.borrow().clone(),
                    uncached_tokens: 0,
                    expected_delay: Duration::ZERO,
                    trial: None,
                };
                (target, kv_source)
            }
            MoveOutcome::Failed => return false,
        };
        if !self.continuity.is_resumable() || !self.wait_for_pause(&target.upstream.key).await {
            return false;
        }
        let resume = ResumePoint {
            last_event: self.continuity.last(),
            kv_source: Some(kv_source),
            done: self.done(),
        };
        let outcome = self.send_moved(&target, &resume).await;
        self.adopt_run(&target.upstream.key, outcome)
    }

    /// Sends the rest of a moved stream to the engine that holds its KV cache. If the
    /// engine does not run it now, asks again if that is soon enough, and paid by the
    /// retry budget.
    async fn send_moved(&mut self, target: &Target, resume: &ResumePoint) -> Outcome {
        let began = self.node.now();
        let mut backoff = RETRY_BACKOFF;
        let deadline = self.job.schedule.deadline;
        let mut outcome = attempt::send(&self.node, &self.job, target, resume, deadline).await;
        loop {
            let is_refused = matches!(outcome, Outcome::Refused(_));
            let wait = match outcome {
                Outcome::NoPermit(wait) => wait,
                Outcome::Refused(_) => backoff,
                Outcome::Responded(_) | Outcome::Unreachable(_) | Outcome::Lost(_) => {
                    return outcome;
                }
            };
            backoff *= 2;
            let waited = self.node.now().saturating_duration_since(began) + wait;
            if waited > self.kv_patience() || !self.wait_for_pause(&target.upstream.key).await {
                return outcome;
            }
            compio::time::sleep(wait).await;
            if is_refused && !self.tries.pay(&self.node, &self.job.service) {
                continue;
            }
            outcome = attempt::send(&self.node, &self.job, target, resume, deadline).await;
            self.tries.is_paid &= matches!(outcome, Outcome::NoPermit(_));
        }
    }

    /// Returns the longest time for which the stream waits for its KV cache.
    fn kv_patience(&self) -> Duration {
        let remaining = self.job.remaining(self.node.now());
        if self.may_resume() {
            MAX_KV_WAIT.min(remaining)
        } else {
            remaining
        }
    }

    /// Waits until the pause of an upstream ends that holds the stream's KV cache.
    /// Returns whether it ends soon enough.
    async fn wait_for_pause(&self, key: &UpstreamKey) -> bool {
        let now = self.node.now();
        let Some(pause) = self.node.pauses.borrow().get(key, now) else {
            return true;
        };
        let wait = pause.remaining(now);
        if wait > self.kv_patience() {
            return false;
        }
        compio::time::sleep(wait).await;
        true
    }
}
