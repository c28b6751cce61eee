//! Admission of requests.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_config::Workspace;
use lycheehaven_types::HashMap;
use lycheehaven_types::Name;

/// Seconds of its rate that a workspace may save up.
const BURST_SECONDS: f64 = 2.0;

/// Part of the capacity at which shares begin to matter.
const CONTENDED: f64 = 0.75;

/// Why a request is not admitted, and when to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// The workspace's request rate is used up.
    Rate(Duration),
    /// The workspace's token rate is used up.
    Tokens(Duration),
    /// The workspace has too many requests in flight.
    Concurrency(Duration),
    /// The entry is full, or the workspace is beyond its share of a busy entry.
    Overload(Duration),
}

/// An admitted request, to be given back when it ends.
#[derive(Debug, Clone, PartialEq)]
pub struct Permit {
    workspace: Name,
    tokens: f64,
}

#[derive(Debug)]
struct Account {
    requests: Bucket,
    tokens: Bucket,
    open: u32,
    share: f64,
}

#[derive(Debug)]
struct Bucket {
    level: f64,
    updated: Option<Instant>,
}

/// Admits requests within this entry's part of each workspace's limits.
#[derive(Debug)]
pub struct Limiter {
    accounts: HashMap<Name, Account>,
    capacity: u32,
    open: u32,
}

impl Limiter {
    /// Admits at most `capacity` requests at once.
    pub fn new(capacity: u32) -> Self {
        Self {
            accounts: HashMap::default(),
            capacity,
            open: 0,
        }
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.open
    }

    /// Admits a request that probably generates `tokens`, or says why not.
    /// `part` is this entry's part of the workspace's limits.
    pub fn admit(
        &mut self,
        name: &Name,
        limits: &Workspace,
        part: f64,
        tokens: f64,
        now: Instant,
    ) -> Result<Permit, Rejection> {
        self.check_capacity(name, limits)?;
        let account = self
            .accounts
            .entry(name.clone())
            .or_insert_with(Account::new);
        account.share = limits.share;
        // An entry may always run one request, however small its part is.
        let concurrent = (limits.concurrent * part).max(1.0);
        if f64::from(account.open) + 1.0 > concurrent {
            return Err(Rejection::Concurrency(Duration::from_secs(1)));
        }
        account.requests.refill(limits.rate * part, now);
        account.tokens.refill(limits.tokens * part, now);
        if account.requests.level < 1.0 {
            return Err(Rejection::Rate(wait_for(
                1.0 - account.requests.level,
                limits.rate * part,
            )));
        }
        // Tokens may go into debt by one request, because the length of an
        // answer is known only at its end.
        if account.tokens.level <= 0.0 {
            let wait = wait_for(1.0 - account.tokens.level, limits.tokens * part);
            return Err(Rejection::Tokens(wait));
        }
        account.requests.level -= 1.0;
        account.tokens.level -= tokens;
        account.open += 1;
        self.open += 1;
        Ok(Permit {
            workspace: name.clone(),
            tokens,
        })
    }

    /// Ends a request that generated `tokens` in truth.
    pub fn release(&mut self, ticket: &Permit, tokens: f64) {
        self.open = self.open.saturating_sub(1);
        if let Some(account) = self.accounts.get_mut(&ticket.workspace) {
            account.open = account.open.saturating_sub(1);
            account.tokens.level += ticket.tokens - tokens;
        }
    }

    /// While the entry is busy, a workspace beyond its share of the capacity is
    /// refused, so that the others find room.
    fn check_capacity(&self, name: &Name, limits: &Workspace) -> Result<(), Rejection> {
        let full = self.open >= self.capacity;
        let contended = f64::from(self.open) >= f64::from(self.capacity) * CONTENDED;
        let open = self.accounts.get(name).map_or(0, |account| account.open);
        let active = self
            .accounts
            .iter()
            .filter(|(other, account)| account.open > 0 && *other != name);
        let total: f64 = limits.share + active.map(|(_, account)| account.share).sum::<f64>();
        let fair = f64::from(self.capacity) * limits.share / total;
        let beyond = contended && f64::from(open) >= fair;
        if full || beyond {
            return Err(Rejection::Overload(Duration::from_secs(1)));
        }
        Ok(())
    }
}

impl Rejection {
    /// When to come back.
    pub fn retry_after(self) -> Duration {
        match self {
            Self::Rate(wait)
            | Self::Tokens(wait)
            | Self::Concurrency(wait)
            | Self::Overload(wait) => wait,
        }
    }
}

impl Account {
    fn new() -> Self {
        Self {
            requests: Bucket::new(),
            tokens: Bucket::new(),
            open: 0,
            share: 1.0,
        }
    }
}

impl Bucket {
    fn new() -> Self {
        Self {
            level: 0.0,
            updated: None,
        }
    }

    fn refill(&mut self, rate: f64, now: Instant) {
        let limit = (rate * BURST_SECONDS).max(1.0);
        let gained = match self.updated {
            Some(updated) => now.duration_since(updated).as_secs_f64() * rate,
            None => limit,
        };
        self.level = (self.level + gained).min(limit);
        self.updated = Some(now);
    }
}

fn wait_for(missing: f64, rate: f64) -> Duration {
    Duration::from_secs_f64((missing / rate.max(1e-6)).clamp(0.05, 60.0))
}
