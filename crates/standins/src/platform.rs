//! State of the stand-in platform: objects, VMs, reclaim notices and faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_platform::Condition;
use lycheehaven_platform::Notice;
use lycheehaven_platform::PutOutcome;
use lycheehaven_platform::Version;
use lycheehaven_platform::Vm;
use lycheehaven_platform::VmSpec;
use lycheehaven_platform::VmState;
use lycheehaven_types::Incarnation;
use lycheehaven_types::Name;
use serde::Serialize;
use tokio::sync::Notify;

/// A recorded reclaim notice.
#[derive(Debug, Clone)]
pub(crate) struct NoticeRecord {
    pub(crate) domain: Name,
    pub(crate) vm: Name,
    pub(crate) incarnation: Incarnation,
    pub(crate) deadline: Instant,
}

/// Faults that the platform simulates.
#[derive(Debug, Clone, Default)]
pub struct PlatformFaults {
    /// Whether every call is refused.
    pub outage: bool,
    /// Delay added to each call.
    pub delay: Duration,
    /// Delay between a write's effect and its response.
    pub write_delay: Duration,
    /// Number of next writes that take effect but get no response.
    pub lose_responses: u32,
    /// Whether the VM list is served from a snapshot.
    pub stale_vms: bool,
    /// Number of next VM creations that are refused.
    pub refuse_creations: u32,
    /// Whether watches are refused as if their version were too old.
    pub watch_gone: bool,
}

/// Number of calls since the start, by kind.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallCounts {
    /// Object reads and listings.
    pub reads: u64,
    /// Object writes and deletions.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Calls to the cloud API.
    pub cloud: u64,
}

/// State of the stand-in platform.
#[derive(Debug, Default)]
pub struct PlatformState {
    /// Active faults.
    pub faults: PlatformFaults,
    /// Call counts.
    pub counts: CallCounts,
    /// Specifications of created VMs, in order.
    pub created: Vec<VmSpec>,
    /// Texts that another writer added to the VM list and to the notices.
    pub odd_entries: Vec<Vec<u8>>,
    addr_overrides: BTreeMap<(Name, SocketAddr), SocketAddr>,
    /// Bytes of model weights that the store serves per millisecond.
    pub weight_rate: u64,
    /// Time at which the weights requested so far are served.
    pub(crate) weight_free: Option<Instant>,
    pub(crate) changed: Arc<Notify>,
    pub(crate) notices: Vec<NoticeRecord>,
    objects: BTreeMap<String, (u64, Vec<u8>)>,
    revision: u64,
    vms: BTreeMap<Name, Vm>,
    vm_revision: u64,
    vm_snapshot: Option<(u64, Vec<Vm>)>,
    incarnations: u64,
}

impl PlatformState {
    /// Returns the version and body of an object.
    pub fn object(&self, key: &str) -> Option<(Version, &[u8])> {
        self.objects
            .get(key)
            .map(|(version, body)| (Version(*version), body.as_slice()))
    }

    /// Returns the keys and versions of the objects under `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<(String, Version)> {
        let matching = self
            .objects
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        matching
            .map(|(key, (version, _))| (key.clone(), Version(*version)))
            .collect()
    }

    /// Writes an object if `condition` holds.
    pub fn put(&mut self, key: &str, condition: Condition, body: Vec<u8>) -> PutOutcome {
        let current = self.objects.get(key).map(|(version, _)| *version);
        let holds = match condition {
            Condition::Absent => current.is_none(),
            Condition::At(version) => current == Some(version.0),
        };
        if !holds {
            return PutOutcome::Conflict;
        }
        self.revision += 1;
        self.objects.insert(key.into(), (self.revision, body));
        self.changed.notify_waiters();
        PutOutcome::Written(Version(self.revision))
    }

    /// Deletes an object.
    pub fn delete(&mut self, key: &str) {
        self.objects.remove(key);
        self.changed.notify_waiters();
    }

    /// Adds a live VM and returns its incarnation.
    pub fn add_vm(
        &mut self,
        name: &str,
        domain: &str,
        service: &str,
        addr: SocketAddr,
    ) -> Incarnation {
        self.incarnations += 1;
        let incarnation = Incarnation(self.incarnations);
        let vm = Vm {
            name: name.into(),
            incarnation,
            domain: domain.into(),
            class: "standard".into(),
            service: service.into(),
            addr,
            state: VmState::Live,
            software: Name::default(),
        };
        self.vms.insert(vm.name.clone(), vm);
        self.vm_list_changed();
        incarnation
    }

    /// Sets the version of the software that a VM runs.
    pub fn set_software(&mut self, name: &str, software: &str) {
        if let Some(vm) = self.vms.get_mut(name) {
            vm.software = software.into();
        }
        self.vm_list_changed();
    }

    /// Removes a VM from the list.
    pub fn remove_vm(&mut self, name: &str) {
        self.vms.remove(name);
        self.vm_list_changed();
    }

    /// Issues a notice that the VM will be reclaimed after `time_left`. If `listed`,
    /// the VM list shows the VM as leaving too.
    pub fn reclaim(&mut self, name: &str, time_left: Duration, listed: bool) {
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        self.notices.push(NoticeRecord {
            domain: vm.domain.clone(),
            vm: vm.name.clone(),
            incarnation: vm.incarnation,
            deadline: Instant::now() + time_left,
        });
        if listed {
            vm.state = VmState::Leaving;
        }
        self.vm_list_changed();
    }

    /// Returns the VM list and its revision as shown to entries of failure domain
    /// `viewer`.
    pub fn vm_list(&self, viewer: &str) -> (u64, Vec<Vm>) {
        let (revision, mut vms) = match &self.vm_snapshot {
            Some(snapshot) if self.faults.stale_vms => snapshot.clone(),
            _ => (self.vm_revision, self.vms.values().cloned().collect()),
        };
        for vm in &mut vms {
            if let Some(addr) = self.addr_overrides.get(&(Name::from(viewer), vm.addr)) {
                vm.addr = *addr;
            }
        }
        (revision, vms)
    }

    /// Replaces address `real` by `shown` in the VM lists of entries of failure
    /// domain `viewer`.
    pub fn override_addr(&mut self, viewer: &str, real: SocketAddr, shown: SocketAddr) {
        self.addr_overrides.insert((viewer.into(), real), shown);
        self.vm_list_changed();
    }

    /// Takes a snapshot of the VM list, and serves it instead of the current list
    /// if `stale`.
    pub fn set_vm_list_stale(&mut self, stale: bool) {
        self.vm_snapshot = Some((self.vm_revision, self.vms.values().cloned().collect()));
        self.faults.stale_vms = stale;
    }

    /// Returns the VM named `name`, if it is listed.
    pub fn vm(&self, name: &str) -> Option<&Vm> {
        self.vms.get(name)
    }

    /// Appends the odd entries to the list that ends the JSON text `body`.
    pub(crate) fn with_odd_entries(&self, body: &impl Serialize) -> Vec<u8> {
        let mut text = serde_json::to_vec(body).expect("lists serialize to JSON");
        if self.odd_entries.is_empty() {
            return text;
        }
        text.truncate(text.len() - b"]}".len());
        for entry in &self.odd_entries {
            if text.last() != Some(&b'[') {
                text.push(b',');
            }
            text.extend_from_slice(entry);
        }
        text.extend_from_slice(b"]}");
        text
    }

    pub(crate) fn notices_after(&self, domain: &str, from: usize) -> Vec<Notice> {
        let now = Instant::now();
        let matching = self
            .notices
            .iter()
            .skip(from)
            .filter(|notice| &*notice.domain == domain);
        matching
            .map(|notice| Notice {
                vm: notice.vm.clone(),
                incarnation: notice.incarnation,
                left_ms: notice.deadline.saturating_duration_since(now).as_millis() as u64,
            })
            .collect()
    }

    fn vm_list_changed(&mut self) {
        self.vm_revision += 1;
        self.changed.notify_waiters();
    }
}
