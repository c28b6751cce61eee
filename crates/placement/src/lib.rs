//! Placement of upstreams under a lease, without I/O.
//!
//! In each failure domain one entry holds the domain's lease and maintains the
//! declared upstreams. [`LeaseClient`] acquires and renews the lease and returns its
//! fencing token while the lease may be relied on; every order carries that token.
//! [`reconcile()`] compares the declared services with the running VMs and returns the
//! orders that remove the difference. Orders are declarative, so the next comparison
//! corrects a delayed or repeated one.

mod lease;
mod reconcile;

pub use lease::Lease;
pub use lease::LeaseAction;
pub use lease::LeaseClient;
pub use lease::LeaseEvent;
pub use reconcile::Backoff;
pub use reconcile::ObservedVm;
pub use reconcile::Order;
pub use reconcile::VmMix;
pub use reconcile::reconcile;
