//! State of the platform stand-in: objects, VMs, notices and faults.

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
use tokio::sync::Notify;

/// A reclaim notice as recorded.
#[derive(Debug, Clone)]
pub(crate) struct NoticeRecord {
    pub(crate) domain: Name,
    pub(crate) vm: Name,
    pub(crate) incarnation: Incarnation,
    pub(crate) deadline: Instant,
}

/// Faults that the platform shows.
#[derive(Debug, Clone, Default)]
pub struct PlatformFaults {
    /// Every call is refused.
    pub outage: bool,
    /// Time that each call takes longer.
    pub delay: Duration,
    /// Time from a write's effect to its answer.
    pub write_delay: Duration,
    /// Writes that will still take effect and give no answer.
    pub lose_answers: u32,
    /// The VM list stays as it was.
    pub stale_vms: bool,
    /// Creations that will still be refused.
    pub refuse_creations: u32,
    /// Watches answer that their version is gone.
    pub watch_gone: bool,
}

/// Calls counted since the start.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallCounts {
    /// Object reads and listings.
    pub reads: u64,
    /// Object writes and deletions.
    pub writes: u64,
    /// Watches begun.
    pub watches: u64,
    /// Calls of the cloud API.
    pub cloud: u64,
}

/// State of the platform stand-in.
#[derive(Debug, Default)]
pub struct PlatformState {
    /// Faults in force.
    pub faults: PlatformFaults,
    /// Calls so far.
    pub counts: CallCounts,
    /// Creations that took effect, in order.
    pub created: Vec<VmSpec>,
    views: BTreeMap<(Name, SocketAddr), SocketAddr>,
    /// Bytes of weights that the store hands out in a millisecond.
    pub weight_rate: u64,
    pub(crate) weight_free: Option<Instant>,
    pub(crate) changed: Arc<Notify>,
    pub(crate) notices: Vec<NoticeRecord>,
    objects: BTreeMap<String, (u64, Vec<u8>)>,
    revision: u64,
    vms: BTreeMap<Name, Vm>,
    vm_revision: u64,
    stale: Option<(u64, Vec<Vm>)>,
    incarnations: u64,
}

impl PlatformState {
    /// Reads an object.
    pub fn object(&self, key: &str) -> Option<(Version, &[u8])> {
        self.objects
            .get(key)
            .map(|(version, body)| (Version(*version), body.as_slice()))
    }

    /// Keys and versions of the objects under `prefix`.
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
        };
        self.vms.insert(vm.name.clone(), vm);
        self.touch_vms();
        incarnation
    }

    /// Removes a VM from the list.
    pub fn remove_vm(&mut self, name: &str) {
        self.vms.remove(name);
        self.touch_vms();
    }

    /// Announces that the VM will be reclaimed in `left`. With `listed`, the VM
    /// list says so too.
    pub fn reclaim(&mut self, name: &str, left: Duration, listed: bool) {
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        self.notices.push(NoticeRecord {
            domain: vm.domain.clone(),
            vm: vm.name.clone(),
            incarnation: vm.incarnation,
            deadline: Instant::now() + left,
        });
        if listed {
            vm.state = VmState::Leaving;
        }
        self.touch_vms();
    }

    /// The VM list as it would be shown to `viewer`.
    pub fn vm_list(&self, viewer: &str) -> (u64, Vec<Vm>) {
        let (revision, mut vms) = match &self.stale {
            Some(stale) if self.faults.stale_vms => stale.clone(),
            _ => (self.vm_revision, self.vms.values().cloned().collect()),
        };
        for vm in &mut vms {
            if let Some(addr) = self.views.get(&(Name::from(viewer), vm.addr)) {
                vm.addr = *addr;
            }
        }
        (revision, vms)
    }

    /// Shows `shown` instead of `real` to entries of failure domain `viewer`.
    pub fn override_addr(&mut self, viewer: &str, real: SocketAddr, shown: SocketAddr) {
        self.views.insert((viewer.into(), real), shown);
        self.touch_vms();
    }

    /// Freezes the VM list as it is now, or lets it move on.
    pub fn set_vm_list_stale(&mut self, stale: bool) {
        self.stale = Some((self.vm_revision, self.vms.values().cloned().collect()));
        self.faults.stale_vms = stale;
    }

    /// The name and specification's domain of a VM, if it is listed.
    pub fn vm(&self, name: &str) -> Option<&Vm> {
        self.vms.get(name)
    }

    pub(crate) fn notices_after(&self, domain: &str, from: usize) -> Vec<Notice> {
        let now = Instant::now();
        let fresh = self
            .notices
            .iter()
            .skip(from)
            .filter(|notice| &*notice.domain == domain);
        fresh
            .map(|notice| Notice {
                vm: notice.vm.clone(),
                incarnation: notice.incarnation,
                left_ms: notice.deadline.saturating_duration_since(now).as_millis() as u64,
            })
            .collect()
    }

    fn touch_vms(&mut self) {
        self.vm_revision += 1;
        self.changed.notify_waiters();
    }
}
