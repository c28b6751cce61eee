//! Admission control for requests.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_config::Workspace;
use lycheehaven_types::HashMap;
use lycheehaven_types::Name;

/// Burst that a workspace may accumulate, in seconds of its rate.
const BURST_SECONDS: f64 = 2.0;

/// Fraction of the capacity in use at which workspace shares are enforced.
const CONTENTION_THRESHOLD: f64 = 0.75;

/// Reason why a request is not admitted, with the time after which to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// The workspace's request rate is used up.
    Rate(Duration),
    /// The workspace's token rate is used up.
    Tokens(Duration),
    /// The workspace has too many requests in flight.
    Concurrency(Duration),
    /// The entry is at capacity, or it is contended and the workspace exceeds its
    /// share.
    Overload(Duration),
}

/// Permit of an admitted request, to be released when the request ends.
#[derive(Debug, Clone, PartialEq)]
pub struct Permit {
    workspace: Name,
    tokens: f64,
}

#[derive(Debug)]
struct WorkspaceState {
    requests: TokenBucket,
    tokens: TokenBucket,
    in_flight: u32,
    share: f64,
}

#[derive(Debug)]
struct TokenBucket {
    level: f64,
    updated: Option<Instant>,
}

/// Admits requests within this entry's fraction of each workspace's limits.
#[derive(Debug)]
pub struct Limiter {
    workspaces: HashMap<Name, WorkspaceState>,
    capacity: u32,
    in_flight: u32,
}

impl Limiter {
    /// Creates a limiter that admits at most `capacity` concurrent requests.
    pub fn new(capacity: u32) -> Self {
        Self {
            workspaces: HashMap::default(),
            capacity,
            in_flight: 0,
        }
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Admits a request that is expected to generate `tokens` tokens. `fraction` is
    /// this entry's fraction of the workspace's limits.
    ///
    /// # Errors
    /// Returns the limit that the request exceeds.
    pub fn admit(
        &mut self,
        name: &Name,
        limits: &Workspace,
        fraction: f64,
        tokens: f64,
        now: Instant,
    ) -> Result<Permit, Rejection> {
        self.check_capacity(name, limits)?;
        let state = self
            .workspaces
            .entry(name.clone())
            .or_insert_with(WorkspaceState::new);
        state.share = limits.share;
        // An entry may always run one request, however small its fraction is.
        let concurrent = (limits.concurrent * fraction).max(1.0);
        if f64::from(state.in_flight) + 1.0 > concurrent {
            return Err(Rejection::Concurrency(Duration::from_secs(1)));
        }
        state.requests.refill(limits.rate * fraction, now);
        state.tokens.refill(limits.tokens * fraction, now);
        if state.requests.level < 1.0 {
            return Err(Rejection::Rate(wait_for(
                1.0 - state.requests.level,
                limits.rate * fraction,
            )));
        }
        // One request may overdraw the token bucket, because the length of a
        // response is known only at its end.
        if state.tokens.level <= 0.0 {
            let wait = wait_for(1.0 - state.tokens.level, limits.tokens * fraction);
            return Err(Rejection::Tokens(wait));
        }
        state.requests.level -= 1.0;
        state.tokens.level -= tokens;
        state.in_flight += 1;
        self.in_flight += 1;
        Ok(Permit {
            workspace: name.clone(),
            tokens,
        })
    }

    /// Releases the permit of a request that actually generated `tokens` tokens.
    pub fn release(&mut self, permit: &Permit, tokens: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(state) = self.workspaces.get_mut(&permit.workspace) {
            state.in_flight = state.in_flight.saturating_sub(1);
            state.tokens.level += permit.tokens - tokens;
        }
    }

    /// Rejects requests at capacity. While the entry is contended, also rejects
    /// workspaces that exceed their share of the capacity, to leave room for others.
    fn check_capacity(&self, name: &Name, limits: &Workspace) -> Result<(), Rejection> {
        let full = self.in_flight >= self.capacity;
        let contended =
            f64::from(self.in_flight) >= f64::from(self.capacity) * CONTENTION_THRESHOLD;
        let in_flight = self.workspaces.get(name).map_or(0, |state| state.in_flight);
        let active = self
            .workspaces
            .iter()
            .filter(|(other, state)| state.in_flight > 0 && *other != name);
        let total: f64 = limits.share + active.map(|(_, state)| state.share).sum::<f64>();
        let fair = f64::from(self.capacity) * limits.share / total;
        let exceeds_share = contended && f64::from(in_flight) >= fair;
        if full || exceeds_share {
            return Err(Rejection::Overload(Duration::from_secs(1)));
        }
        Ok(())
    }
}

impl Rejection {
    /// Returns the time after which to retry.
    pub fn retry_after(self) -> Duration {
        match self {
            Self::Rate(wait)
            | Self::Tokens(wait)
            | Self::Concurrency(wait)
            | Self::Overload(wait) => wait,
        }
    }
}

impl WorkspaceState {
    fn new() -> Self {
        Self {
            requests: TokenBucket::new(),
            tokens: TokenBucket::new(),
            in_flight: 0,
            share: 1.0,
        }
    }
}

impl TokenBucket {
    fn new() -> Self {
        Self {
            level: 0.0,
            updated: None,
        }
    }

    fn refill(&mut self, rate: f64, now: Instant) {
        let limit = (rate * BURST_SECONDS).max(1.0);
        let added = match self.updated {
            Some(updated) => now.duration_since(updated).as_secs_f64() * rate,
            None => limit,
        };
        self.level = (self.level + added).min(limit);
        self.updated = Some(now);
    }
}

fn wait_for(missing: f64, rate: f64) -> Duration {
    Duration::from_secs_f64((missing / rate.max(1e-6)).clamp(0.05, 60.0))
}
