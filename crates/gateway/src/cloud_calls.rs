//! Calls to the cloud by the holder of the lease.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lycheehaven_adapter::cloud;

use crate::call::post_once;
use crate::lease::LeaseHandle;
use crate::node::Node;

/// Time limit for a call to the cloud.
const CLOUD_TIMEOUT: Duration = Duration::from_millis(800);

/// Calls the cloud while this entry holds the lease.
pub(crate) struct CloudCalls {
    node: Rc<Node>,
    addr: SocketAddr,
    lease: Rc<LeaseHandle>,
}

impl CloudCalls {
    pub(crate) fn new(node: Rc<Node>, addr: SocketAddr, lease: Rc<LeaseHandle>) -> Self {
        Self { node, addr, lease }
    }

    /// Calls the cloud with the fencing token. Returns the status, or `None` if
    /// this entry lost the lease or no response arrived.
    pub(crate) async fn call(&self, path: &str, body: Vec<u8>) -> Option<u16> {
        let fence = self.lease.fence()?;
        let headers = cloud::holder_headers(&self.node.settings.name, fence);
        let result = post_once(self.addr, path, &headers, body, CLOUD_TIMEOUT).await;
        match result {
            Ok(reply) => Some(reply.status.as_u16()),
            Err(cause) => {
                log::warn!(target: "lycheehaven", path = path, cause = cause.as_str(); "call to the cloud failed");
                None
            }
        }
    }
}
