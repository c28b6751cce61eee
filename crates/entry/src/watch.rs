//! Loops that watch the platform.

use std::rc::Rc;
use std::time::Duration;

use lycheehaven_net::sleep_ms;
use lycheehaven_platform::Version;
use lycheehaven_platform::VmState;
use lycheehaven_platform::WatchOutcome;
use lycheehaven_types::Incarnation;
use lycheehaven_types::Name;

use crate::config_store;
use crate::evacuate;
use crate::evacuate::NoticeOrigin;
use crate::metrics::kind;
use crate::node::Node;
use crate::wire::LeavingNotice;

/// Pause after the first failed call; doubles up to [`RETRY_LIMIT_MS`].
const RETRY_START_MS: u64 = 100;

/// Longest pause after a failed call.
const RETRY_LIMIT_MS: u64 = 2000;

/// Assumed time until the reclaim of a leaving VM whose notice has not arrived.
pub(crate) const DEFAULT_NOTICE: Duration = Duration::from_secs(10);

/// Watches the configuration object and puts each new configuration in force.
pub(crate) async fn follow_config(node: Rc<Node>) {
    let wait = Duration::from_millis(node.settings.timing.watch_ms);
    let mut from = Version(0);
    let mut backoff = Backoff::new();
    while !node.stop.is_cancelled() {
        node.metrics
            .platform_calls
            .get_or_create(&kind("watch"))
            .inc();
        let seen = match node
            .objects
            .watch(config_store::CONFIG_KEY, from, wait)
            .await
        {
            Ok(WatchOutcome::Changed(object)) => {
                // One that is unusable is not read again; the next one is waited for.
                from = object.version;
                config_store::decode(&node, &object).map(Some)
            }
            Ok(WatchOutcome::Unchanged) => Ok(None),
            Ok(WatchOutcome::Gone) => config_store::read(&node).await,
            Err(cause) => Err(cause),
        };
        match seen {
            Ok(Some((declared, version))) => {
                from = version;
                node.adopt_config(declared);
                backoff.reset();
            }
            Ok(None) => backoff.wait_if_repeated().await,
            Err(_) => backoff.wait().await,
        }
    }
}

/// Polls the VM list.
pub(crate) async fn follow_vms(node: Rc<Node>) {
    while !node.stop.is_cancelled() {
        let known = node.vm_revision.get();
        if let Ok(Some(list)) = node.cloud.vms(&node.settings.domain, known).await {
            let leaving = list.vms.iter().filter(|vm| vm.state == VmState::Leaving);
            let notices = leaving
                .map(|vm| leaving_notice(&vm.name, vm.incarnation, DEFAULT_NOTICE))
                .collect();
            // Evacuation acts only on VMs that are not marked as leaving yet,
            // and adopt_vms marks them.
            evacuate::handle_leaving(&node, notices, NoticeOrigin::Shared);
            node.adopt_vms(list.vms, list.revision);
        }
        sleep_ms(node.settings.timing.vm_poll_ms).await;
    }
}

/// Watches the reclaim notices of this failure domain.
pub(crate) async fn follow_notices(node: Rc<Node>) {
    let wait = Duration::from_millis(node.settings.timing.watch_ms);
    let mut next = 0;
    let mut backoff = Backoff::new();
    while !node.stop.is_cancelled() {
        match node.cloud.notices(&node.settings.domain, next, wait).await {
            Ok(batch) => {
                next = batch.next;
                backoff.reset();
                let notices = batch.notices.iter().map(|notice| LeavingNotice {
                    vm: notice.vm.clone(),
                    incarnation: notice.incarnation,
                    left_ms: notice.left_ms,
                });
                evacuate::handle_leaving(&node, notices.collect(), NoticeOrigin::Direct);
            }
            Err(_) => backoff.wait().await,
        }
    }
}

/// Returns a notice for a leaving VM.
pub(crate) fn leaving_notice(
    vm: &Name,
    incarnation: Incarnation,
    time_left: Duration,
) -> LeavingNotice {
    LeavingNotice {
        vm: vm.clone(),
        incarnation,
        left_ms: time_left.as_millis() as u64,
    }
}

/// Exponential backoff between failed calls.
struct Backoff {
    millis: u64,
    idle: u32,
}

impl Backoff {
    fn new() -> Self {
        Self {
            millis: RETRY_START_MS,
            idle: 0,
        }
    }

    fn reset(&mut self) {
        *self = Self::new();
    }

    async fn wait(&mut self) {
        sleep_ms(self.millis).await;
        self.millis = (self.millis * 2).min(RETRY_LIMIT_MS);
    }

    /// Pauses from the second unchanged response in a row on, so that a platform
    /// that responds to watches immediately is not called in a tight loop.
    async fn wait_if_repeated(&mut self) {
        self.idle += 1;
        if self.idle > 1 {
            sleep_ms(RETRY_START_MS).await;
        }
    }
}
