//! The loop that acquires and renews the lease for the duties.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use lycheehaven_adapter::store::Object;
use lycheehaven_net::sleep_ms;
use lycheehaven_placement::Lease;
use lycheehaven_placement::LeaseAction;
use lycheehaven_placement::LeaseClient;
use lycheehaven_placement::LeaseEvent;
use serde::Deserialize;

use crate::node::Node;
use crate::store::StoreError;
use crate::store::WriteOutcome;

/// Kind and name of the lease in the store.
const LEASE: (&str, &str) = ("lycheehaven-leases", "duties");

/// Interval between renewals, or between checks for a holder, in milliseconds.
const RENEWAL_INTERVAL_MS: u64 = 900;

/// Time since a holder was last known after which this entry reads the lease from
/// the store.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(1200);

/// A handle to the lease, shared with the duties.
pub(crate) struct LeaseHandle {
    node: Rc<Node>,
    client: RefCell<LeaseClient>,
}

impl LeaseHandle {
    pub(crate) fn new(node: &Rc<Node>) -> Rc<Self> {
        let holder = format!("{}/{}", node.settings.name, node.incarnation);
        let vm = node.settings.name.clone();
        let duration = Duration::from_millis(node.settings.bounds.lease_ms + LEASE_MARGIN_MS);
        Rc::new(Self {
            node: node.clone(),
            client: RefCell::new(LeaseClient::new(holder.into(), duration).with_vm(vm)),
        })
    }

    /// Returns the fencing token while this entry holds the lease.
    pub(crate) fn fence(&self) -> Option<u64> {
        self.client.borrow().fence(self.node.now())
    }

    /// Renews the lease, or acquires it once there is no holder, until the process
    /// ends.
    pub(crate) async fn run(self: Rc<Self>) {
        loop {
            if self.should_poll() {
                self.poll().await;
            }
            let fence = self.fence();
            if self.node.holds_lease.replace(fence.is_some()) != fence.is_some() {
                log::info!(target: "lycheehaven", held = fence.is_some(), fence = fence.unwrap_or(0); "this entry acquired or lost the lease");
            }
            sleep_ms(RENEWAL_INTERVAL_MS).await;
        }
    }

    /// Whether to read the lease from the store. It is read by the entry that holds
    /// it, and while no peer is known to hold it by the entries that may acquire it:
    /// those that follow the store.
    fn should_poll(&self) -> bool {
        if self.node.stopping.get() {
            return false;
        }
        if self.node.holds_lease.get() {
            return true;
        }
        let may_acquire = self.node.roster.borrow().is_loaded() && self.node.follows_store();
        let holder_known = self
            .node
            .holder_age(self.node.now())
            .is_some_and(|age| age < HOLDER_TIMEOUT);
        may_acquire && !holder_known
    }

    /// Reads the lease from the store and renews or acquires it if possible.
    async fn poll(&self) {
        let read = self.node.store.read(LEASE.0, LEASE.1).await;
        self.note_era();
        let event = match read {
            Ok(object) => match object.map(decode).transpose() {
                Ok(loaded) => LeaseEvent::Loaded(loaded),
                Err(cause) => {
                    log::error!(target: "lycheehaven", cause = cause.as_str(); "can't decode the lease in the store; not acquiring it");
                    return;
                }
            },
            Err(cause) => {
                self.log_failure(&cause);
                LeaseEvent::NoAnswer
            }
        };
        let action = self.client.borrow_mut().handle(event, self.node.now());
        if let Some(LeaseAction::Write(revision, lease)) = action {
            let event = self.write(revision, &lease).await;
            self.note_era();
            self.client.borrow_mut().handle(event, self.node.now());
        }
    }

    /// Gives the lease up if the store has gone back to an older copy.
    fn note_era(&self) {
        let era = self.node.store.era();
        let mut client = self.client.borrow_mut();
        match era.lost_before() {
            Some(_) => client.begin_era(era.latest(), self.node.now()),
            None => client.start_in_era(era.latest()),
        }
    }

    async fn write(&self, revision: Option<u64>, lease: &Lease) -> LeaseEvent {
        let store = &self.node.store;
        let result = match revision {
            None => store.create(LEASE.0, LEASE.1, lease).await,
            Some(_) => store.replace(LEASE.0, LEASE.1, revision, lease).await,
        };
        match result {
            Ok(WriteOutcome::Applied(revision)) => LeaseEvent::Written(revision),
            Ok(WriteOutcome::Conflict) => LeaseEvent::Conflict,
            Err(cause) => {
                self.log_failure(&cause);
                LeaseEvent::NoAnswer
            }
        }
    }

    fn log_failure(&self, cause: &StoreError) {
        let cause = cause.to_string();
        log::info!(target: "lycheehaven", cause = cause.as_str(); "can't read or write the lease in the store; retrying");
    }
}

/// Margin by which the lease is longer than the configured time within which two
/// holders must not alternate, in milliseconds.
const LEASE_MARGIN_MS: u64 = 300;

fn decode(object: Object) -> Result<(u64, Lease), String> {
    let lease = Lease::deserialize(&object.spec).map_err(|cause| cause.to_string())?;
    Ok((object.revision, lease))
}
