//! Connections to upstreams: taken from the pool, opened, and returned to it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lycheehaven_adapter::upstream::ResponseHead;
use lycheehaven_catalog::Upstream;
use lycheehaven_catalog::UpstreamKey;
use lycheehaven_channels::Connection;

use crate::attempt::Job;
use crate::node::Node;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which an idle connection is kept if the upstream announces no idle
/// timeout.
const DEFAULT_IDLE: Duration = Duration::from_secs(5);

/// Fraction of the upstream's announced idle timeout for which an idle
/// connection is kept.
const IDLE_FRACTION: f64 = 0.7;

/// Longest idle time after which a connection is reused for a request that must
/// not be repeated. If the upstream closes an idle connection while a request is
/// being sent on it, the request may or may not have run.
const SAFE_REUSE_IDLE: Duration = Duration::from_millis(1500);

/// Takes an idle connection from the pool, or opens a new one if none is
/// suitable or `force_new` is set. A connection on which the same request was refused is
/// not suitable: a copy of that refusal could not be told from another one.
pub(crate) async fn acquire(
    node: &Rc<Node>,
    job: &Job,
    upstream: &Upstream,
    force_new: bool,
) -> Result<Connection, String> {
    let now = node.now();
    if !force_new {
        let pooled = node.pool.borrow_mut().take(&upstream.key, now);
        let reusable = pooled
            .filter(|(_, idle)| job.route.repeatable() || *idle < SAFE_REUSE_IDLE)
            .filter(|(connection, _)| !was_refused_on(job, connection));
        if let Some((connection, _)) = reusable {
            return Ok(connection);
        }
    }
    open(node, &upstream.key, upstream.addr).await
}

fn was_refused_on(job: &Job, connection: &Connection) -> bool {
    let id = job.head.id.as_ref();
    id.is_some_and(|id| connection.refusals().contains(id))
}

/// Opens a connection. A failure marks the upstream as down.
pub(crate) async fn open(
    node: &Node,
    key: &UpstreamKey,
    addr: SocketAddr,
) -> Result<Connection, String> {
    let count = node.pool.borrow_mut().connection_count(key);
    let result = Connection::open(addr, CONNECT_TIMEOUT, count).await;
    node.metrics.connections.inc();
    if let Err(cause) = &result {
        node.loads.borrow_mut().start_backoff(key, node.now());
        node.mark_down(key, cause);
    }
    result
}

/// Returns a connection that carried no request, or none since it was opened, to the pool.
pub(crate) fn put_back(node: &Node, key: &UpstreamKey, connection: Connection) {
    let now = node.now();
    let mut pool = node.pool.borrow_mut();
    pool.put(key, connection, DEFAULT_IDLE, now);
}

/// Returns a connection whose response is complete to the pool, unless the
/// upstream closes it, or a copy of that response could be taken for the next one.
pub(crate) fn recycle(node: &Node, key: &UpstreamKey, head: &ResponseHead, connection: Connection) {
    if head.closing || head.id.is_none() || !connection.refusals().allow_reuse() {
        return;
    }
    let keep_idle = head
        .idle_timeout
        .map_or(DEFAULT_IDLE, |idle| idle.mul_f64(IDLE_FRACTION));
    let now = node.now();
    node.pool.borrow_mut().put(key, connection, keep_idle, now);
}
