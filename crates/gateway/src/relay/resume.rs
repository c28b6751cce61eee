//! Continues streams without a run at other upstreams.

use std::time::Duration;

use lycheehaven_catalog::UpstreamKey;
use tokio_util::sync::CancellationToken;

use super::Relay;
use crate::attempt;
use crate::attempt::Outcome;
use crate::pick;
use crate::pick::Unpicked;
use crate::quarantine;
use crate::quarantine::Permission;
use crate::schedule::TOO_LATE;
use crate::serve;
use crate::serve::MAX_UNREACHABLE_UPSTREAMS;

/// Range of the time after which upstreams are chosen again if none took a stream whose
/// run this entry has ended; it doubles each time.
const RETRY_BACKOFF: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(1));

/// How long a stream without a run waits for an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Patience {
    /// Not at all: the upstream broke off, and the caller may resume elsewhere.
    None,
    /// Until the deadline, as this entry has ended the run.
    UntilDeadline,
}

/// The result of one attempt to continue a stream.
enum Resumed {
    Running,
    Unreachable,
    Failed,
}

/// Why a stream can't go on now.
enum Hindrance {
    /// It must not run any more.
    Final(String),
    /// No upstream may get it now.
    Passing(String),
}

impl Relay {
    /// Continues the stream from its last event at an upstream that was not tried,
    /// without a KV cache.
    pub(super) async fn resume(&mut self, cause: &str, patience: Patience) -> Result<(), String> {
        let mut refused = Vec::new();
        let mut unreachable = 0;
        let mut backoff = RETRY_BACKOFF.0;
        while self.may_resume() && !self.job.remaining(self.node.now()).is_zero() {
            match self.resume_once(&mut refused, patience).await {
                Ok(Resumed::Running) => return Ok(()),
                Ok(Resumed::Failed) => {}
                Ok(Resumed::Unreachable) => {
                    unreachable += 1;
                    if patience == Patience::None && unreachable >= MAX_UNREACHABLE_UPSTREAMS {
                        break;
                    }
                }
                Err(Hindrance::Passing(_)) if patience == Patience::UntilDeadline => {
                    let remaining = self.job.remaining(self.node.now());
                    compio::time::sleep(backoff.min(remaining)).await;
                    backoff = (backoff * 2).min(RETRY_BACKOFF.1);
                    refused.clear();
                }
                Err(Hindrance::Final(reason) | Hindrance::Passing(reason)) => {
                    return Err(format!("{cause}; {reason}"));
                }
            }
        }
        Err(cause.to_owned())
    }

    /// Sends the stream to one upstream, which is added to `refused`. A refusal counts as a
    /// send only if nothing is waited for.
    async fn resume_once(
        &mut self,
        refused: &mut Vec<UpstreamKey>,
        patience: Patience,
    ) -> Result<Resumed, Hindrance> {
        let now = self.node.now();
        let (node, job) = (&self.node, &self.job);
        if !job.schedule.may_go_on(self.done(), now) {
            return Err(Hindrance::Final(TOO_LATE.into()));
        }
        let permission = quarantine::check(node, &job.features)
            .map_err(|failure| Hindrance::Final(failure.message))?;
        let excluded = [&self.tries.tried[..], refused].concat();
        let mut target =
            pick::pick_target(node, job, &excluded, permission, now).map_err(hindrance)?;
        if !self.tries.pay(node, &job.service) {
            let reason = "the retry budget of the service is exhausted";
            return Err(Hindrance::Passing(reason.into()));
        }
        if permission == Permission::Trial {
            serve::begin_trial(&self.node, &self.job, &mut target);
        }
        let resume = self.resume_point();
        let deadline = self.job.schedule.deadline;
        let key = &target.upstream.key;
        refused.push(key.clone());
        let written = CancellationToken::new();
        let (node, job) = (&self.node, &self.job);
        let outcome =
            attempt::send_uncounted(node, job, &target, &resume, deadline, &written).await;
        match patience {
            Patience::None => job.sends.record(key, &resume, &outcome),
            Patience::UntilDeadline => job.sends.record_run(key, &outcome),
        }
        self.tries.record(key, &outcome);
        let is_unreachable = matches!(outcome, Outcome::Unreachable(_));
        Ok(match self.adopt_run(key, outcome) {
            true => Resumed::Running,
            false if is_unreachable => Resumed::Unreachable,
            false => Resumed::Failed,
        })
    }
}

/// An upstream with other software never continues the stream, so nothing is waited for.
fn hindrance(unpicked: Unpicked) -> Hindrance {
    let reason = unpicked.message().to_owned();
    match unpicked {
        Unpicked::SoftwareGone => Hindrance::Final(reason),
        Unpicked::Ineligible(_)
        | Unpicked::SoftwareUnlisted
        | Unpicked::Excluded
        | Unpicked::Overloaded(_) => Hindrance::Passing(reason),
    }
}
