//! The lease of a failure domain.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::Name;
use serde::Deserialize;
use serde::Serialize;

/// Part of the lease for which its holder relies on it. The rest covers clocks
/// that run at different speeds and an order on its way.
const RELIABLE_PART: f64 = 0.6;

/// The lease object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Entry, with its incarnation, that holds the lease.
    pub holder: Name,
    /// Grows by one with each change of the holder.
    pub fence: u64,
    /// Grows by one with each renewal.
    pub renewal: u64,
}

/// What happened.
#[derive(Debug)]
pub enum LeaseEvent {
    /// It is time to look at the lease.
    Tick,
    /// The object was read: its version and content, or that there is none.
    Loaded(Option<(u64, Lease)>),
    /// The write took effect and made this version.
    Written(u64),
    /// The write's condition did not hold.
    Conflict,
    /// A read or write gave no answer.
    NoAnswer,
}

/// What to do.
#[derive(Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the object.
    Load,
    /// Write the object if it is at this version, or absent.
    Write(Option<u64>, Lease),
}

/// Keeps or waits for a lease. Time is the process's own monotonic clock: a
/// challenger waits until it has itself seen the lease unchanged for its whole
/// length, and the holder counts from before its renewal was sent.
#[derive(Debug)]
pub struct LeaseClient {
    me: Name,
    length: Duration,
    seen: Option<(u64, Lease, Instant)>,
    absent: bool,
    writing: Option<(Lease, Instant)>,
    valid_from: Option<Instant>,
    uncertain: bool,
    vm: Option<Name>,
}

impl LeaseClient {
    /// A keeper that has not looked yet. `me` names this run of the entry.
    pub fn new(me: Name, length: Duration) -> Self {
        Self {
            me,
            length,
            seen: None,
            absent: false,
            writing: None,
            valid_from: None,
            uncertain: false,
            vm: None,
        }
    }

    /// Takes the lease over at once from an earlier run on the same VM, which
    /// has ended: its holder's name is `vm`, a slash and the run.
    pub fn with_vm(mut self, vm: Name) -> Self {
        self.vm = Some(vm);
        self
    }

    fn succeeds(&self, holder: &str) -> bool {
        let former = holder.split_once('/').map(|(vm, _)| vm);
        former.is_some() && former == self.vm.as_deref()
    }

    /// The fencing number, if the lease may be relied on at `now`.
    pub fn fence(&self, now: Instant) -> Option<u64> {
        let from = self.valid_from?;
        let (_, lease, _) = self
            .seen
            .as_ref()
            .filter(|(_, lease, _)| lease.holder == self.me)?;
        let reliable = now.duration_since(from) < self.length.mul_f64(RELIABLE_PART);
        reliable.then_some(lease.fence)
    }

    /// Applies an event.
    pub fn handle(&mut self, event: LeaseEvent, now: Instant) -> Option<LeaseAction> {
        match event {
            // A holder that knows the object's version renews without a read.
            LeaseEvent::Tick if !self.uncertain && self.fence(now).is_some() => self.attempt(now),
            LeaseEvent::Tick => Some(LeaseAction::Load),
            LeaseEvent::Loaded(object) => {
                self.uncertain = false;
                self.observe(object, now);
                self.attempt(now)
            }
            LeaseEvent::Written(version) => {
                let (lease, started) = self.writing.take()?;
                self.seen = Some((version, lease, now));
                self.valid_from = Some(started);
                None
            }
            LeaseEvent::Conflict | LeaseEvent::NoAnswer => {
                // A lost answer is settled by the next read: a renewal that
                // took effect shows this entry as the holder.
                self.writing = None;
                self.uncertain = true;
                None
            }
        }
    }

    fn observe(&mut self, object: Option<(u64, Lease)>, now: Instant) {
        self.absent = object.is_none();
        let Some((version, lease)) = object else {
            self.seen = None;
            return;
        };
        let unchanged = self
            .seen
            .as_ref()
            .is_some_and(|(known, ..)| *known == version);
        if !unchanged {
            self.seen = Some((version, lease, now));
        }
    }

    fn attempt(&mut self, now: Instant) -> Option<LeaseAction> {
        let (condition, lease) = match &self.seen {
            None => (
                None,
                Lease {
                    holder: self.me.clone(),
                    fence: 1,
                    renewal: 0,
                },
            ),
            Some((version, lease, _)) if lease.holder == self.me => (
                Some(*version),
                Lease {
                    renewal: lease.renewal + 1,
                    ..lease.clone()
                },
            ),
            Some((version, lease, since)) => {
                let lapsed = now.duration_since(*since) >= self.length;
                if !lapsed && !self.succeeds(&lease.holder) {
                    return None;
                }
                let fence = lease.fence + 1;
                (
                    Some(*version),
                    Lease {
                        holder: self.me.clone(),
                        fence,
                        renewal: 0,
                    },
                )
            }
        };
        self.writing = Some((lease.clone(), now));
        Some(LeaseAction::Write(condition, lease))
    }
}
