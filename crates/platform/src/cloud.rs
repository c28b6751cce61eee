//! Client of the cloud API: VM list, reclaim notices, creation and deletion of VMs.

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
use crate::lists;
use crate::lists::split_object;

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
    /// Name, which is reused when the VM is replaced.
    pub name: Name,
    /// Distinguishes the VM from earlier ones of the same name.
    pub incarnation: Incarnation,
    /// Failure domain.
    pub domain: Name,
    /// Machine class.
    pub class: Name,
    /// Service that the VM runs; entries run `lycheehaven`.
    pub service: Name,
    /// Address of the service; for entries, of the peer listener.
    pub addr: SocketAddr,
    /// State of the VM.
    pub state: VmState,
    /// Version of the service's software on the VM, empty if it is not stated.
    #[serde(default)]
    pub software: Name,
}

/// The VM list at one revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VmList {
    /// Revision, which increases with each change.
    pub revision: u64,
    /// All VMs.
    pub vms: Vec<Vm>,
}

impl VmList {
    /// Decodes a response. VMs that can't be read are left out.
    ///
    /// # Errors
    /// Returns an error if the response is no list of VMs.
    pub fn decode(body: &[u8]) -> Result<Self, Unavailable> {
        let members = split_object(body)?;
        Ok(Self {
            revision: lists::decode_member(&members, "revision")?,
            vms: lists::decode_entries(members.get("vms"), "VMs")?,
        })
    }
}

/// Notice that a VM will be reclaimed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Name of the VM.
    pub vm: Name,
    /// Incarnation of the VM.
    pub incarnation: Incarnation,
    /// Milliseconds until the reclaim, as of the time of the response.
    pub left_ms: u64,
}

/// Reclaim notices after a position.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Notices {
    /// Position from which to request next.
    pub next: u64,
    /// Notices, in order.
    pub notices: Vec<Notice>,
}

impl Notices {
    /// Decodes a response. Notices that can't be read are left out.
    ///
    /// # Errors
    /// Returns an error if the response is no list of notices.
    pub fn decode(body: &[u8]) -> Result<Self, Unavailable> {
        let members = split_object(body)?;
        Ok(Self {
            next: lists::decode_member(&members, "next")?,
            notices: lists::decode_entries(members.get("notices"), "notices")?,
        })
    }
}

/// Specification of a VM to create.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmSpec {
    /// Name, derived from the purpose of the VM so that repeating the request creates
    /// the VM only once.
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

/// Outcome of a request to create a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CreateOutcome {
    /// The VM exists.
    Created,
    /// The cloud has no capacity for such a VM.
    Refused,
    /// No usable response arrived, so the VM may exist.
    Uncertain,
}

/// Client of the cloud API.
#[derive(Debug, Clone)]
pub struct CloudApi {
    client: HttpClient,
    addr: SocketAddr,
    timeout: Duration,
}

impl CloudApi {
    /// Creates a client whose calls time out after `timeout`.
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        Self {
            client: HttpClient::new(),
            addr,
            timeout,
        }
    }

    /// Returns the VM list as seen from failure domain `viewer`, or `None` if it is
    /// still at revision `known`.
    pub async fn vms(&self, viewer: &str, known: u64) -> Result<Option<VmList>, Unavailable> {
        let path = format!("/vms?viewer={viewer}&known={known}");
        let reply = self
            .client
            .call(Method::GET, self.addr, &path, Bytes::new(), self.timeout)
            .await
            .map_err(|cause| Unavailable(cause.to_string()))?;
        match reply.status {
            200 => VmList::decode(&reply.body).map(Some),
            304 => Ok(None),
            status => Err(Unavailable(format!(
                "reading the VM list failed with status {status}"
            ))),
        }
    }

    /// Waits up to `wait` for reclaim notices in failure domain `domain` from position
    /// `from`.
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
        let reply = self
            .client
            .call(
                Method::GET,
                self.addr,
                &path,
                Bytes::new(),
                wait + self.timeout,
            )
            .await
            .map_err(|cause| Unavailable(cause.to_string()))?;
        match reply.status {
            200 => Notices::decode(&reply.body),
            status => Err(Unavailable(format!(
                "reading the notices failed with status {status}"
            ))),
        }
    }

    /// Creates a VM. Succeeds if the VM already exists.
    pub async fn create(&self, spec: &VmSpec) -> CreateOutcome {
        let body = serde_json::to_vec(spec).expect("a VM specification can be serialized");
        let reply = self
            .client
            .call(Method::POST, self.addr, "/vms", body, self.timeout)
            .await;
        match reply.map(|reply| reply.status) {
            Ok(200 | 201) => CreateOutcome::Created,
            Ok(409 | 503) => CreateOutcome::Refused,
            _ => CreateOutcome::Uncertain,
        }
    }

    /// Deletes a VM. Any response counts as a success, including that the VM does not
    /// exist.
    pub async fn delete(&self, name: &str) -> Result<(), Unavailable> {
        let path = format!("/vms/{name}");
        let reply = self
            .client
            .call(Method::DELETE, self.addr, &path, Bytes::new(), self.timeout)
            .await
            .map_err(|cause| Unavailable(cause.to_string()))?;
        // A VM that is already gone needs no deletion.
        if reply.is_success() || reply.status == 404 {
            return Ok(());
        }
        Err(Unavailable(format!("status {}", reply.status)))
    }
}
