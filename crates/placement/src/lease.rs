//! A lease held by one entry at a time.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::Name;
use lycheehaven_types::era_of;
use lycheehaven_types::revision;
use serde::Deserialize;
use serde::Serialize;

/// Fraction of the lease's length for which its holder relies on it. The rest
/// covers clocks that run at different rates and orders in transit.
const RELIABLE_FRACTION: f64 = 0.6;

/// The stored lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Name of the holder, which identifies one incarnation of an entry.
    pub holder: Name,
    /// Fencing token. It is greater than that of all earlier holders.
    pub fence: u64,
    /// Number of renewals by this holder.
    pub renewal: u64,
}

/// Input of [`LeaseClient`].
#[derive(Debug)]
pub enum LeaseEvent {
    /// It is time to renew or check the lease.
    Tick,
    /// The object was read: its version (a revision of [`lycheehaven_types::revision`] if
    /// the store may go back) and content, or `None` if it is absent.
    Loaded(Option<(u64, Lease)>),
    /// The write succeeded and produced this version.
    Written(u64),
    /// The write was rejected because its condition did not hold.
    Conflict,
    /// A read or write got no answer. The write may have taken effect.
    NoAnswer,
}

/// Output of [`LeaseClient`].
#[derive(Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the object.
    Load,
    /// Write the object, provided that it is at this version, or absent if
    /// `None`.
    Write(Option<u64>, Lease),
}

/// Acquires and renews a lease.
///
/// All times are those of the process's own monotonic clock: another entry takes
/// the lease over only after observing it unchanged for its whole length, and
/// the holder counts that length from before it sent the renewal.
#[derive(Debug)]
pub struct LeaseClient {
    own_name: Name,
    length: Duration,
    observed: Option<(u64, Lease, Instant)>,
    absent: bool,
    writing: Option<(Lease, Instant)>,
    valid_from: Option<Instant>,
    needs_read: bool,
    vm: Option<Name>,
    /// Era of the store, and the end of the time for which the lease of an earlier era
    /// may be relied on.
    era: u64,
    held_until: Option<Instant>,
}

impl LeaseClient {
    /// Creates a client that has not read the lease yet. `own_name` identifies this
    /// incarnation of the entry.
    pub fn new(own_name: Name, length: Duration) -> Self {
        Self {
            own_name,
            length,
            observed: None,
            absent: false,
            writing: None,
            valid_from: None,
            needs_read: false,
            vm: None,
            era: 0,
            held_until: None,
        }
    }

    /// Sets the era of a store that has not gone back since the first client of the lease
    /// was created.
    pub fn start_in_era(&mut self, era: u64) {
        self.era = era;
    }

    /// Takes note that the store went back to an older copy and so began `era`. The lease
    /// that it holds may be older than the last one, whose holder may rely on that for
    /// its length. Fencing tokens of this era are greater than those of earlier ones.
    pub fn begin_era(&mut self, era: u64, now: Instant) {
        if era > self.era {
            self.era = era;
            self.held_until = Some(now + self.length);
            self.observed = None;
            self.writing = None;
            self.valid_from = None;
            self.needs_read = true;
        }
    }

    /// Returns the fencing token of the holder that follows the one with `fence`, whose
    /// lease has this version. Once the store has gone back, the lease that it holds may
    /// be older than the last one, or may have been written on a condition of an earlier
    /// era. Versions grow through all of that, and so do tokens that exceed them.
    fn next_fence(&self, version: u64, fence: u64) -> u64 {
        match self.era {
            0 => fence.saturating_add(1),
            _ => fence.max(version).saturating_add(1),
        }
    }

    /// Lets the client take the lease over at once from an earlier incarnation on
    /// the same VM, which has ended. The name of such a holder is `vm`, a slash
    /// and the incarnation.
    pub fn with_vm(mut self, vm: Name) -> Self {
        self.vm = Some(vm);
        self
    }

    fn is_earlier_incarnation(&self, holder: &str) -> bool {
        let holder_vm = holder.split_once('/').map(|(vm, _)| vm);
        holder_vm.is_some() && holder_vm == self.vm.as_deref()
    }

    /// Returns the fencing token if this entry holds the lease and may rely on it
    /// at `now`.
    pub fn fence(&self, now: Instant) -> Option<u64> {
        let valid_from = self.valid_from?;
        let (_, lease, _) = self
            .observed
            .as_ref()
            .filter(|(_, lease, _)| lease.holder == self.own_name)?;
        let reliable = now.duration_since(valid_from) < self.length.mul_f64(RELIABLE_FRACTION);
        reliable.then_some(lease.fence)
    }

    /// Applies an event and returns the read or write to perform next, if any.
    pub fn handle(&mut self, event: LeaseEvent, now: Instant) -> Option<LeaseAction> {
        match event {
            // A holder that knows the object's version renews without reading it.
            LeaseEvent::Tick if !self.needs_read && self.fence(now).is_some() => {
                self.acquire_or_renew(now)
            }
            LeaseEvent::Tick => Some(LeaseAction::Load),
            LeaseEvent::Loaded(object) => {
                self.needs_read = false;
                self.observe(object, now);
                self.acquire_or_renew(now)
            }
            LeaseEvent::Written(version) => {
                let (lease, sent_at) = self.writing.take()?;
                self.observed = Some((version, lease, now));
                self.valid_from = Some(sent_at);
                None
            }
            LeaseEvent::Conflict | LeaseEvent::NoAnswer => {
                // The next read resolves a lost answer: if the renewal took
                // effect, the object names this entry as the holder.
                self.writing = None;
                self.needs_read = true;
                None
            }
        }
    }

    fn observe(&mut self, object: Option<(u64, Lease)>, now: Instant) {
        self.absent = object.is_none();
        let Some((version, lease)) = object else {
            self.observed = None;
            return;
        };
        let unchanged = self
            .observed
            .as_ref()
            .is_some_and(|(known, ..)| *known == version);
        if !unchanged {
            self.observed = Some((version, lease, now));
        }
    }

    fn acquire_or_renew(&mut self, now: Instant) -> Option<LeaseAction> {
        if self.held_until.is_some_and(|until| now < until) {
            return None;
        }
        let (condition, lease) = match &self.observed {
            None => (
                None,
                Lease {
                    holder: self.own_name.clone(),
                    fence: self.next_fence(revision(self.era, 0), 0),
                    renewal: 0,
                },
            ),
            Some((version, lease, _))
                if lease.holder == self.own_name && era_of(lease.fence) == self.era =>
            {
                (
                    Some(*version),
                    Lease {
                        renewal: lease.renewal.wrapping_add(1),
                        ..lease.clone()
                    },
                )
            }
            Some((version, lease, since)) => {
                let expired = now.duration_since(*since) >= self.length;
                if !expired && !self.is_earlier_incarnation(&lease.holder) {
                    return None;
                }
                let fence = self.next_fence(*version, lease.fence);
                (
                    Some(*version),
                    Lease {
                        holder: self.own_name.clone(),
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
