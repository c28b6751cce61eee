//! Client of the platform's store.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::select;
use hyper::Method;
use hyper::body::Bytes;
use lycheehaven_adapter::store;
use lycheehaven_adapter::store::Changes;
use lycheehaven_adapter::store::Object;
use lycheehaven_adapter::store::ReadConsistency;
use lycheehaven_adapter::store::Unreadable;
use lycheehaven_net::CallError;
use lycheehaven_net::HttpClient;
use lycheehaven_net::Reply;
use lycheehaven_types::Clock;
use lycheehaven_types::era_of;
use prometheus_client::metrics::counter::Counter;
use serde::Serialize;

use crate::era::EraTracker;

/// Time limit for a call, beyond the long-poll time of a watch.
pub(crate) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(900);

/// Largest number of pages that one list may have.
const MAX_PAGES: usize = 64;

/// Names of unreadable objects in one log line.
const MAX_LOGGED_NAMES: usize = 5;

/// Characters of such a name that are logged.
const MAX_LOGGED_CHARS: usize = 80;

/// Why a call to the store failed.
#[derive(Debug)]
pub(crate) enum StoreError {
    /// No response arrived; a write may have taken effect.
    NoResponse(CallError),
    /// The store refused the call with this status; a write had no effect.
    Refused(u16),
    /// The response is from before the store went back to an older copy.
    Outdated,
    /// The response can't be decoded, or a list has more than [`MAX_PAGES`] pages.
    Undecodable,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoResponse(cause) => write!(f, "no response from the store: {cause}"),
            Self::Refused(status) => write!(f, "the store refused the call with status {status}"),
            Self::Outdated => f.write_str("the response is from before the store went back"),
            Self::Undecodable => f.write_str("the store's response can't be decoded"),
        }
    }
}

/// The result of a conditional write.
#[derive(Debug)]
pub(crate) enum WriteOutcome {
    /// The write took effect and created this revision.
    Applied(u64),
    /// The condition did not hold; the write had no effect.
    Conflict,
}

/// The result of a watch.
#[derive(Debug)]
pub(crate) enum WatchOutcome {
    /// The changes in order, possibly none.
    Changes(Changes),
    /// The store has discarded the history after the watched revision, so the kind
    /// must be listed again.
    HistoryGone,
    /// An object that can't be named has changed, so the kind must be listed again.
    Unknown,
}

/// A client of the platform's store.
pub(crate) struct Store {
    client: HttpClient,
    addr: SocketAddr,
    clock: Rc<dyn Clock>,
    era: EraTracker,
    unreadable_objects: Counter,
}

impl Store {
    pub(crate) fn new(
        addr: SocketAddr,
        clock: Rc<dyn Clock>,
        era: EraTracker,
        unreadable_objects: Counter,
    ) -> Self {
        Self {
            client: HttpClient::new().with_header("content-type", "application/json"),
            addr,
            clock,
            era,
            unreadable_objects,
        }
    }

    /// Returns what is known of the store's era.
    pub(crate) fn era(&self) -> &EraTracker {
        &self.era
    }

    /// Whether a revision is of the present era.
    pub(crate) fn is_present(&self, revision: u64) -> bool {
        era_of(revision) == self.era.latest()
    }

    /// Returns all objects of a kind, and the revision to watch from.
    pub(crate) async fn list(&self, kind: &str) -> Result<(Vec<Object>, u64), StoreError> {
        let mut objects: Vec<Object> = Vec::new();
        let mut first = None;
        for _ in 0..MAX_PAGES {
            let after = objects.last().map(|object| object.name.clone());
            let path = store::list_path(kind, after.as_deref());
            let reply = self.get(&path, Duration::ZERO).await?;
            let page = store::decode_page(&check_status(reply)?.body, self.era.latest());
            let page = page.ok_or(StoreError::Undecodable)?;
            self.record_unreadable(kind, &page.unreadable);
            // Changes made during the listing are later than the first page's
            // revision.
            let revision = *first.get_or_insert(page.revision);
            if !self.is_present(revision) {
                return Err(StoreError::Outdated);
            }
            // The list continues after a name.
            if page.more && page.items.is_empty() {
                return Err(StoreError::Undecodable);
            }
            objects.extend(page.items);
            if !page.more {
                return Ok((objects, revision));
            }
        }
        Err(StoreError::Undecodable)
    }

    /// Returns an object, or `None` if it does not exist.
    pub(crate) async fn read(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        let reply = self
            .get(&store::object_path(kind, name), Duration::ZERO)
            .await?;
        if reply.status == 404 {
            return Ok(None);
        }
        let object = store::decode_object(&check_status(reply)?.body, self.era.latest());
        object.map(Some).ok_or(StoreError::Undecodable)
    }

    /// Waits up to `wait` for changes after `revision`.
    pub(crate) async fn watch(
        &self,
        kind: &str,
        revision: u64,
        wait: Duration,
        consistency: ReadConsistency,
    ) -> Result<WatchOutcome, StoreError> {
        if !self.is_present(revision) {
            return Ok(WatchOutcome::HistoryGone);
        }
        let path = store::watch_path(kind, revision, wait.as_millis() as u64, consistency);
        // A store that went back need not end a watch on what it no longer has.
        let reply = select! {
            reply = self.get(&path, wait).fuse() => reply?,
            () = self.era.rise().fuse() => return Ok(WatchOutcome::HistoryGone),
        };
        // The number of the revision may have been given out again.
        if store::is_history_gone(reply.status) || !self.is_present(revision) {
            return Ok(WatchOutcome::HistoryGone);
        }
        let changes = store::decode_changes(&check_status(reply)?.body, self.era.latest());
        let changes = changes.ok_or(StoreError::Undecodable)?;
        self.record_unreadable(kind, &changes.unreadable);
        if changes.unreadable.unnamed > 0 {
            return Ok(WatchOutcome::Unknown);
        }
        Ok(WatchOutcome::Changes(changes))
    }

    /// Creates an object, unless one with the same name exists.
    pub(crate) async fn create(
        &self,
        kind: &str,
        name: &str,
        spec: &impl Serialize,
    ) -> Result<WriteOutcome, StoreError> {
        let body = store::write_body(name, None, spec);
        let path = store::list_path(kind, None);
        self.write(Method::POST, &path, body).await
    }

    /// Replaces an object, if it is at `revision` where one is given.
    pub(crate) async fn replace(
        &self,
        kind: &str,
        name: &str,
        revision: Option<u64>,
        spec: &impl Serialize,
    ) -> Result<WriteOutcome, StoreError> {
        if revision.is_some_and(|revision| !self.is_present(revision)) {
            return Ok(WriteOutcome::Conflict);
        }
        let body = store::write_body(name, revision, spec);
        let path = store::object_path(kind, name);
        self.write(Method::PUT, &path, body).await
    }

    /// Deletes an object.
    pub(crate) async fn delete(&self, kind: &str, name: &str) -> Result<(), StoreError> {
        let path = store::object_path(kind, name);
        let reply = self
            .call(Method::DELETE, &path, Bytes::new(), RESPONSE_TIMEOUT)
            .await?;
        if reply.status == 404 {
            return Ok(());
        }
        check_status(reply).map(|_| ())
    }

    fn record_unreadable(&self, kind: &str, unreadable: &Unreadable) {
        if unreadable.is_empty() {
            return;
        }
        self.unreadable_objects.inc_by(unreadable.count() as u64);
        let names: Vec<String> = unreadable
            .names
            .iter()
            .map(|name| short_name(name))
            .collect();
        let shown = names.len().min(MAX_LOGGED_NAMES);
        log::warn!(target: "lycheehaven",
            kind = kind, count = unreadable.count(), unnamed = unreadable.unnamed,
            names = names[..shown].join(" ").as_str();
            "can't read objects in the store; treating them as empty");
    }

    async fn write(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<WriteOutcome, StoreError> {
        let reply = self
            .call(method, path, body.into(), RESPONSE_TIMEOUT)
            .await?;
        // A missing object violates the condition as well.
        if reply.status == 409 || reply.status == 404 {
            return Ok(WriteOutcome::Conflict);
        }
        let object = store::decode_object(&check_status(reply)?.body, self.era.latest());
        let object = object.ok_or(StoreError::Undecodable)?;
        Ok(WriteOutcome::Applied(object.revision))
    }

    async fn get(&self, path: &str, wait: Duration) -> Result<Reply, StoreError> {
        self.call(Method::GET, path, Bytes::new(), wait + RESPONSE_TIMEOUT)
            .await
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<Reply, StoreError> {
        let reply = self
            .client
            .call(method, self.addr, path, body, wait)
            .await
            .map_err(StoreError::NoResponse)?;
        let era = store::stated_era(&reply.headers);
        if !self.era.record(era, self.clock.now()) {
            return Err(StoreError::Outdated);
        }
        Ok(reply)
    }
}

fn check_status(reply: Reply) -> Result<Reply, StoreError> {
    if reply.is_success() {
        Ok(reply)
    } else {
        Err(StoreError::Refused(reply.status))
    }
}

/// Returns the first characters of a name, which another writer may have chosen.
fn short_name(name: &str) -> String {
    name.chars().take(MAX_LOGGED_CHARS).collect()
}
