//! Placement of upstreams under a lease, without I/O.
//!
//! One entry of each failure domain holds the domain's lease and keeps the
//! declared upstreams there. [`LeaseClient`] says when the lease may be relied
//! on; its fencing number goes with every order. [`reconcile`] compares what is
//! declared with what runs and says what to order. Orders are declarative, so
//! a stray or repeated one is repaired by the next comparison.

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
