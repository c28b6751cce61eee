//! Sends a request to an upstream and waits for the head of the response, patiently if
//! the upstream says nothing.

use std::rc::Rc;

use lycheehaven_dispatch::Activity;
use lycheehaven_dispatch::Silence;

use crate::attempt::Job;
use crate::attempt::Outcome;
use crate::attempt::ResumePoint;
use crate::attempt::Target;
use crate::attempt::UpstreamResponse;
use crate::elsewhere::Ask;
use crate::elsewhere::Ending;
use crate::elsewhere::Raced;
use crate::elsewhere::SilentRun;
use crate::elsewhere::Stage;
use crate::node::Node;
use crate::serve::Attempts;

/// Time without the head of a response after which another upstream is asked, as a
/// multiple of the route's target latency.
const SILENCE_FACTOR: u32 = 4;

/// Why an attempt ended that another one has replaced.
const LEFT: &str = "the upstream said nothing, and another one goes on";

/// Sends the request to `target`. If it may be repeated and nothing is heard for long,
/// other upstreams are asked, and the first one that begins to answer goes on. Returns the
/// last upstream and its outcome; the earlier ones are counted.
pub(crate) async fn attempt(
    node: &Rc<Node>,
    job: &Rc<Job>,
    target: Target,
    attempts: &mut Attempts,
) -> (Target, Outcome) {
    let mut attempt = Ask::send(node, job, target, ResumePoint::default());
    loop {
        let outcome = if job.route.repeatable() {
            let activity = node
                .loads
                .borrow_mut()
                .activity(&attempt.target.upstream.key);
            await_head(node, job, &mut attempt, &activity, attempts).await
        } else {
            Head::Outcome(attempt.outcome().await)
        };
        match outcome {
            Head::Outcome(outcome) => {
                let key = &attempt.target.upstream.key;
                job.sends.record(key, &ResumePoint::default(), &outcome);
                return (attempt.target, outcome);
            }
            Head::Other(response) => {
                let left = Outcome::Lost(LEFT.into());
                attempts.record(node, job, &attempt.target, &left);
                job.sends.add(&attempt.target.upstream.key);
                job.sends.add(&response.upstream.key);
                attempts.tries.add(&response.upstream.key);
                let target = Target {
                    upstream: response.upstream.clone(),
                    ..attempt.target
                };
                return (target, Outcome::Responded(response));
            }
            Head::Replaced(outcome, ask) => {
                attempts.record(node, job, &attempt.target, &outcome);
                let key = &attempt.target.upstream.key;
                job.sends.record(key, &ResumePoint::default(), &outcome);
                attempts.tries.tried.push(ask.target.upstream.key.clone());
                attempt = ask;
            }
        }
    }
}

/// What follows an attempt.
enum Head {
    /// Its own outcome.
    Outcome(Outcome),
    /// Another upstream has begun to answer.
    Other(Box<UpstreamResponse>),
    /// The attempt ended in this way, or is given up, for another one.
    Replaced(Outcome, Ask),
}

/// Waits for the outcome of a repeatable attempt.
async fn await_head(
    node: &Rc<Node>,
    job: &Rc<Job>,
    attempt: &mut Ask,
    activity: &Activity,
    attempts: &mut Attempts,
) -> Head {
    if let Some(outcome) = attempt.written().await {
        return Head::Outcome(outcome);
    }
    let now = node.now();
    let patience = job.route.target_latency.saturating_mul(SILENCE_FACTOR);
    let mut silence = Silence::new(patience.min(job.remaining(now)), now);
    let key = attempt.target.upstream.key.clone();
    let run = SilentRun {
        node,
        job,
        key: &key,
        activity,
        stage: Stage::Head,
    };
    let finish = |silence: &mut Silence, ending, other: Option<&str>| {
        if let Some(silent) = silence.end(node.now()) {
            run.end(silent, ending, other);
        }
    };
    loop {
        let wait = silence.until_ask(node.now());
        let raced = match compio::time::timeout(wait, attempt.outcome()).await {
            Ok(outcome) => Raced::Heard(outcome),
            Err(_) => {
                let resume = ResumePoint::default();
                let outcome = attempt.outcome();
                let tries = &mut attempts.tries;
                run.race(&mut silence, tries, resume, outcome, is_lost)
                    .await
            }
        };
        match raced {
            Raced::Stayed => {}
            Raced::Heard(outcome) => {
                let ending = if is_lost(&outcome) {
                    Ending::Broke
                } else {
                    Ending::WentOn
                };
                finish(&mut silence, ending, None);
                return Head::Outcome(outcome);
            }
            Raced::Accepted(response) => {
                finish(&mut silence, Ending::Moved, Some(&response.upstream.key.id));
                return Head::Other(response);
            }
            Raced::GivenUp(ask) => {
                let other = &ask.target.upstream.key.id;
                finish(&mut silence, Ending::GivenUp, Some(other));
                return Head::Replaced(Outcome::Lost(LEFT.into()), ask);
            }
            Raced::Lost(outcome, ask) => {
                let other = &ask.target.upstream.key.id;
                finish(&mut silence, Ending::Broke, Some(other));
                return Head::Replaced(outcome, ask);
            }
        }
    }
}

/// Whether an attempt gave no response for the caller.
fn is_lost(outcome: &Outcome) -> bool {
    !matches!(outcome, Outcome::Responded(_))
}
