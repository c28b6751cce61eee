//! A pool of idle connections by upstream.

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
    expires: Instant,
}

/// Keeps idle connections and counts open ones. The most recently used connection
/// is reused first, because the upstream is least likely to have closed it.
#[derive(Default)]
pub struct Pool {
    idle: HashMap<UpstreamKey, Vec<Idle>>,
    open: HashMap<UpstreamKey, Rc<Cell<usize>>>,
}

impl Pool {
    /// Takes an idle connection. Returns it with the time it has been idle.
    pub fn take(&mut self, upstream: &UpstreamKey, now: Instant) -> Option<(Connection, Duration)> {
        let list = self.idle.get_mut(upstream)?;
        while let Some(idle) = list.pop() {
            if now < idle.expires && idle.connection.is_ready() {
                let age = now.saturating_duration_since(idle.since);
                return Some((idle.connection, age));
            }
        }
        None
    }

    /// Keeps a connection whose response is complete, for at most `max_idle`.
    pub fn put(
        &mut self,
        upstream: &UpstreamKey,
        connection: Connection,
        max_idle: Duration,
        now: Instant,
    ) {
        if connection.is_closed() {
            return;
        }
        let list = self.idle.entry(upstream.clone()).or_default();
        list.push(Idle {
            connection,
            since: now,
            expires: now + max_idle,
        });
    }

    /// Returns the counter of open connections to an upstream, including idle ones.
    pub fn connection_count(&mut self, upstream: &UpstreamKey) -> Rc<Cell<usize>> {
        self.open.entry(upstream.clone()).or_default().clone()
    }

    /// Closes idle connections that have expired or were closed by the upstream, and
    /// all idle connections to upstreams for which `keep` returns false.
    pub fn sweep(&mut self, keep: impl Fn(&UpstreamKey) -> bool, now: Instant) {
        self.idle.retain(|upstream, list| {
            let keep = keep(upstream);
            list.retain(|idle| keep && now < idle.expires && !idle.connection.is_closed());
            !list.is_empty()
        });
        self.open
            .retain(|upstream, count| count.get() > 0 || keep(upstream));
    }
}
