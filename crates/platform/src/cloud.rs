//! The cloud API: VM list, reclaim notices, creation and deletion of VMs.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use hyper::body::Bytes;
use lycheehaven_net::HttpClient;
use lycheehaven_types::Incarnation;
use lycheehaven_types::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::Unavailable;

/// State of a VM in the VM list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In use.
    Live,
    /// About to be reclaimed or stopped.
    Leaving,
}

/// A VM in the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name, reused when the VM is replaced.
    pub name: Name,
    /// Distinguishes the VM from earlier ones of the same name.
    pub incarnation: Incarnation,
    /// Failure domain.
    pub domain: Name,
    /// Machine class.
    pub class: Name,
    /// Service that it runs; entries run `lycheehaven`.
    pub service: Name,
    /// Address of what it runs; for entries, of the peer listener.
    pub addr: SocketAddr,
    /// State.
    pub state: VmState,
}

/// The VM list at one revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VmList {
    /// Grows with each change.
    pub revision: u64,
    /// All VMs.
    pub vms: Vec<Vm>,
}

/// Announcement that a VM will be reclaimed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Name of the VM.
    pub vm: Name,
    /// Incarnation of the VM.
    pub incarnation: Incarnation,
    /// Milliseconds until the reclaim, counted when the answer was made.
    pub left_ms: u64,
}

/// Notices after a position.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Notices {
    /// Position to ask from next.
    pub next: u64,
    /// The notices.
    pub notices: Vec<Notice>,
}

/// A VM to create.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmSpec {
    /// Name, derived from the purpose so that asking twice buys once.
    pub name: Name,
    /// Failure domain.
    pub domain: Name,
    /// Machine class.
    pub class: Name,
    /// Service to run.
    pub service: Name,
    /// Whether the VM can be reclaimed.
    pub reclaimable: bool,
}

/// What became of a creation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CreateOutcome {
    /// The VM exists.
    Created,
    /// The cloud has no such VM to give.
    Refused,
    /// No answer came, so the VM may exist.
    Uncertain,
}

/// Client of the cloud API.
#[derive(Debug, Clone)]
pub struct CloudApi {
    caller: HttpClient,
    addr: SocketAddr,
    timeout: Duration,
}

impl CloudApi {
    /// Creates a client whose calls end after `timeout`.
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        Self {
            caller: HttpClient::new(),
            addr,
            timeout,
        }
    }

    /// Reads the VM list as seen from failure domain `viewer`. `None` if it is
    /// still at revision `known`.
    pub async fn vms(&self, viewer: &str, known: u64) -> Result<Option<VmList>, Unavailable> {
        let path = format!("/vms?viewer={viewer}&known={known}");
        let reply = self
            .caller
            .call(Method::GET, self.addr, &path, Bytes::new(), self.timeout)
            .await
            .map_err(|cause| Unavailable(cause.to_string()))?;
        match reply.status {
            200 => reply
                .json()
                .map(Some)
                .map_err(|cause| Unavailable(cause.to_string())),
            304 => Ok(None),
            status => Err(Unavailable(format!("status {status} to a VM list"))),
        }
    }

    /// Waits up to `wait` for reclaim notices of `domain` from position `from`.
    pub async fn notices(
        &self,
        domain: &str,
        from: u64,
        wait: Duration,
    ) -> Result<Notices, Unavailable> {
        let path = format!(
            "/notices?domain={domain}&from={from}&wait_ms={}",
            wait.as_millis()
        );
        self.caller
            .get_json(self.addr, &path, wait + self.timeout)
            .await
            .map_err(|cause| Unavailable(cause.to_string()))
    }

    /// Creates a VM; creating one that exists succeeds.
    pub async fn create(&self, spec: &VmSpec) -> CreateOutcome {
        let body = serde_json::to_vec(spec).expect("VM specification serializes");
        let reply = self
            .caller
            .call(Method::POST, self.addr, "/vms", body, self.timeout)
            .await;
        match reply.map(|reply| reply.status) {
            Ok(200 | 201) => CreateOutcome::Created,
            Ok(409 | 503) => CreateOutcome::Refused,
            _ => CreateOutcome::Uncertain,
        }
    }

    /// Deletes a VM; deleting an absent one succeeds.
    pub async fn delete(&self, name: &str) -> Result<(), Unavailable> {
        let path = format!("/vms/{name}");
        let reply = self
            .caller
            .call(Method::DELETE, self.addr, &path, Bytes::new(), self.timeout)
            .await;
        reply
            .map(|_| ())
            .map_err(|cause| Unavailable(cause.to_string()))
    }
}
