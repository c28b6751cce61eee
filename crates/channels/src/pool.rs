//! Idle connections, by upstream.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::UpstreamKey;
use lycheehaven_types::HashMap;

use crate::connection::Connection;

struct Idle {
    connection: Connection,
    since: Instant,
    until: Instant,
}

/// Keeps idle connections and counts open ones. The connection that was used
/// last is taken first, because it is the least likely to have been closed by
/// the upstream.
#[derive(Default)]
pub struct Pool {
    idle: HashMap<UpstreamKey, Vec<Idle>>,
    open: HashMap<UpstreamKey, Rc<Cell<usize>>>,
}

impl Pool {
    /// Takes an idle connection, and tells how long it has been idle.
    pub fn take(&mut self, upstream: &UpstreamKey, now: Instant) -> Option<(Connection, Duration)> {
        let list = self.idle.get_mut(upstream)?;
        while let Some(idle) = list.pop() {
            if now < idle.until && idle.connection.is_ready() {
                let age = now.saturating_duration_since(idle.since);
                return Some((idle.connection, age));
            }
        }
        None
    }

    /// Keeps a connection whose answer is complete, for at most `keep`.
    pub fn put(
        &mut self,
        upstream: &UpstreamKey,
        connection: Connection,
        keep: Duration,
        now: Instant,
    ) {
        if connection.is_closed() {
            return;
        }
        let list = self.idle.entry(upstream.clone()).or_default();
        list.push(Idle {
            connection,
            since: now,
            until: now + keep,
        });
    }

    /// The count of open connections to an upstream, idle ones included.
    pub fn connection_count(&mut self, upstream: &UpstreamKey) -> Rc<Cell<usize>> {
        self.open.entry(upstream.clone()).or_default().clone()
    }

    /// Closes idle connections that have expired or were closed by the other
    /// side, and all to upstreams for which `keep` is false.
    pub fn sweep(&mut self, keep: impl Fn(&UpstreamKey) -> bool, now: Instant) {
        self.idle.retain(|upstream, list| {
            let kept = keep(upstream);
            list.retain(|idle| kept && now < idle.until && !idle.connection.is_closed());
            !list.is_empty()
        });
        self.open
            .retain(|upstream, count| count.get() > 0 || keep(upstream));
    }
}
