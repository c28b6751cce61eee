//! Chooses the upstream of an attempt, or tells why there is none.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::Directory;
use lycheehaven_catalog::Upstream;
use lycheehaven_catalog::UpstreamKey;
use lycheehaven_dispatch::Ineligible;
use lycheehaven_dispatch::Query;
use lycheehaven_dispatch::TrialQuery;
use lycheehaven_dispatch::choose;
use lycheehaven_dispatch::eligible;
use lycheehaven_fleet::Role;
use lycheehaven_permits::Refused;
use lycheehaven_permits::units_of;
use lycheehaven_types::ErrorKind;
use lycheehaven_types::Failure;
use lycheehaven_types::Name;

use crate::attempt::Job;
use crate::attempt::Target;
use crate::node::Node;
use crate::quarantine::Permission;

/// Upstreams considered for a request beside those that have its prompt cached, where
/// reports of load arrive late.
const SAMPLED_UPSTREAMS: usize = 3;

/// Smallest value of the `Retry-After` header, before jitter.
pub(crate) const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Largest value of the `Retry-After` header while all upstreams are overloaded,
/// before jitter.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1500);

/// Value of the `Retry-After` header while no upstream can be reached, before
/// jitter.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(700);

/// Why a request is refused if all upstreams of its service limit their requests.
const LIMITED: &str = "all upstreams of the service limit their requests and take no more now";

/// Why no upstream may get a request now.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Unpicked {
    /// None may get any request.
    Ineligible(Ineligible),
    /// None runs the software that began the stream.
    SoftwareGone,
    /// No ready upstream's software is listed yet as one that may begin streams.
    SoftwareUnlisted,
    /// All are excluded after failures, or have as many connections as they may.
    Excluded,
    /// The request would begin this much later than its target latency permits.
    Overloaded(Duration),
}

impl Unpicked {
    pub(crate) fn message(self) -> &'static str {
        match self {
            Self::Ineligible(Ineligible::AllLimited(_)) => LIMITED,
            Self::Ineligible(Ineligible::NoneReady) => "no upstream of the service is ready",
            Self::Ineligible(Ineligible::AllPaused(_)) => {
                "all upstreams of the service want no requests for a while"
            }
            Self::SoftwareGone => "no upstream runs the software that began the stream",
            Self::SoftwareUnlisted => "the software of the service's upstreams is not listed yet",
            Self::Excluded => "all upstreams of the service are excluded after failures",
            Self::Overloaded(_) => "all upstreams of the service are overloaded",
        }
    }

    /// Returns the failure for the caller, with a time to return.
    pub(crate) fn failure(self, node: &Node, service: &Name, now: Instant) -> Failure {
        let message = self.message();
        match self {
            Self::Ineligible(Ineligible::AllLimited(first)) => limited(node, service, first, now),
            Self::Ineligible(Ineligible::NoneReady)
            | Self::SoftwareGone
            | Self::SoftwareUnlisted
            | Self::Excluded => no_upstream(message),
            Self::Ineligible(Ineligible::AllPaused(pause)) => {
                let wait = pause.return_delay(rand::random(), now);
                Failure::new(ErrorKind::Overloaded, message).retry_after(wait)
            }
            Self::Overloaded(excess) => overloaded(message, excess),
        }
    }
}

/// Chooses a ready upstream that is not in `tried`, and for a stream that has begun one
/// that runs the software which began it.
///
/// # Errors
/// Returns why no upstream may get the request now.
pub(crate) fn pick_target(
    node: &Node,
    job: &Job,
    tried: &[UpstreamKey],
    permission: Permission,
    now: Instant,
) -> Result<Target, Unpicked> {
    pick_with_software(node, job, job.software.get(), tried, permission, now)
}

/// Chooses a ready upstream that is not in `tried` and runs `software`, if one is given.
///
/// # Errors
/// Returns why no upstream may get the request now.
pub(crate) fn pick_with_software(
    node: &Node,
    job: &Job,
    software: Option<&Name>,
    tried: &[UpstreamKey],
    permission: Permission,
    now: Instant,
) -> Result<Target, Unpicked> {
    let directory = node.directory.borrow();
    let served = node.served.borrow();
    let runs_software = |upstream: &Upstream| match software {
        Some(software) => upstream.software == *software,
        None => !job.route.may_be_taken_up() || served.may_begin_at(upstream),
    };
    check_software(&directory, job, software, runs_software)?;
    let pauses = node.pauses.borrow();
    let eligible = {
        let permits = node.permits.borrow();
        let waits = permits.waits();
        let suits = |upstream: &Upstream| !tried.contains(&upstream.key) && runs_software(upstream);
        eligible(&directory, &pauses, waits, &job.service, suits, now)
    };
    let candidates = eligible.map_err(|ineligible| {
        if tried.is_empty() && ineligible != Ineligible::NoneReady {
            count_demand(node, job, own_tokens(job), now);
        }
        Unpicked::Ineligible(ineligible)
    })?;
    let catalog = node.config.borrow().catalog().cloned();
    let service = catalog
        .as_ref()
        .and_then(|catalog| catalog.services.get(&job.service));
    let (index, entries) = {
        let roster = node.roster.borrow();
        (roster.index(), roster.count())
    };
    let max_connections = service.map_or(usize::MAX, |service| service.max_connections);
    let trial = (permission == Permission::Trial).then(|| TrialQuery {
        excluded: node.quarantine.borrow().trial_upstreams(now),
        wall_ms: node.wall_millis(),
    });
    let query = Query {
        prompt: &job.head.prompt,
        tokens: job.prompt_tokens(),
        kv_tokens: job.kv_tokens(),
        priority: job.priority,
        target_latency: job.route.target_latency,
        domain: &node.settings.domain,
        engine: service.and_then(|service| service.engine.as_ref()),
        draw: rand::random(),
        trial: trial.as_ref(),
        sample: (node.role.get() != Role::Mesh).then_some(SAMPLED_UPSTREAMS),
    };
    let mut pool = node.pool.borrow_mut();
    let available = candidates.into_iter().filter(|upstream| {
        let key = &upstream.key;
        let limit = units_of(max_connections, key, index, entries);
        pool.connection_count(key).get() < limit
    });
    let loads = node.loads.borrow();
    let choice = choose(available, &query, &loads, &node.cost_model, now);
    let choice = choice.ok_or(Unpicked::Excluded)?;
    if tried.is_empty() {
        count_demand(node, job, choice.uncached_tokens, now);
    }
    // A request that would miss its target latency would delay others as well.
    if let Some(excess) = choice.excess_wait(job.route.target_latency) {
        return Err(Unpicked::Overloaded(excess));
    }
    Ok(Target {
        upstream: choice.upstream.clone(),
        uncached_tokens: choice.uncached_tokens,
        expected_delay: choice.expected_delay,
        trial: None,
    })
}

/// Checks that a ready upstream has software that may run the request.
///
/// # Errors
/// Returns why none has.
fn check_software(
    directory: &Directory,
    job: &Job,
    software: Option<&Name>,
    may_run: impl Fn(&Upstream) -> bool,
) -> Result<(), Unpicked> {
    let mut ready = directory.ready(&job.service).peekable();
    let is_any_ready = ready.peek().is_some();
    if ready.any(may_run) {
        return Ok(());
    }
    Err(match software {
        Some(_) => Unpicked::SoftwareGone,
        None if is_any_ready => Unpicked::SoftwareUnlisted,
        None => Unpicked::Ineligible(Ineligible::NoneReady),
    })
}

/// Counts the engine time for the prompt tokens of a request that are not cached.
fn count_demand(node: &Node, job: &Job, uncached_tokens: u64, now: Instant) {
    let work = node.cost_model.prefill_ms(uncached_tokens);
    let mut demand = node.demand.borrow_mut();
    demand.add_request(&job.service, work, now);
}

/// Returns the prompt tokens that no other request shares.
fn own_tokens(job: &Job) -> u64 {
    job.head.prompt.last().map_or(0, |part| part.tokens)
}

/// Returns an overload failure with a `Retry-After` of about `wait`. The time has
/// jitter, so that callers do not retry simultaneously.
pub(crate) fn overloaded(message: &str, wait: Duration) -> Failure {
    let jitter: f64 = rand::random_range(0.75..1.25);
    let wait = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER).mul_f64(jitter);
    Failure::new(ErrorKind::Overloaded, message).retry_after(wait)
}

pub(crate) fn no_upstream(message: &str) -> Failure {
    let jitter: f64 = rand::random_range(0.75..1.25);
    Failure::new(ErrorKind::NoUpstream, message)
        .retry_after(NO_UPSTREAM_RETRY_AFTER.mul_f64(jitter))
}

/// Returns the failure of a request that no upstream takes as they limit their requests.
/// Callers return one after the other, as fast as the limits allow, and not before
/// `first`.
pub(crate) fn limited(node: &Node, service: &Name, first: Duration, now: Instant) -> Failure {
    let directory = node.directory.borrow();
    let upstreams = directory.ready(service).map(|upstream| &upstream.key);
    let entries = node.roster.borrow().count();
    let mut permits = node.permits.borrow_mut();
    let refused = Refused {
        service,
        entries,
        first,
        draw: rand::random(),
    };
    let wait = permits.book_return(&refused, upstreams, now);
    Failure::new(ErrorKind::Overloaded, LIMITED).retry_after(wait.max(MIN_RETRY_AFTER))
}
