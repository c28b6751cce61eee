//! Calls to the platform's store.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use hyper::body::Bytes;
use lycheehaven_adapter::store;
use lycheehaven_adapter::store::Changes;
use lycheehaven_adapter::store::Object;
use lycheehaven_adapter::store::ReadConsistency;
use lycheehaven_net::CallError;
use lycheehaven_net::HttpClient;
use lycheehaven_net::Reply;
use serde::Serialize;

/// Longest wait for an answer, beyond the time that a watch asks for.
const ANSWER_WAIT: Duration = Duration::from_millis(900);

/// Pages of one list that are read at most.
const MAX_PAGES: usize = 64;

/// Why a call to the store gave nothing.
#[derive(Debug)]
pub(crate) enum StoreError {
    /// No answer came; a write may have taken effect.
    NoAnswer(CallError),
    /// The store refused the call; nothing was done.
    Refused(u16),
    /// The answer can't be decoded.
    Unreadable,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoAnswer(cause) => write!(f, "no answer: {cause}"),
            Self::Refused(status) => write!(f, "refused with status {status}"),
            Self::Unreadable => f.write_str("the answer can't be decoded"),
        }
    }
}

/// What became of a conditional write.
#[derive(Debug)]
pub(crate) enum Written {
    /// It took effect and made this revision.
    Done(u64),
    /// The condition did not hold.
    Conflict,
}

/// What a watch returned.
#[derive(Debug)]
pub(crate) enum Watched {
    /// Changes, possibly none.
    Changes(Changes),
    /// The history is gone; the kind must be listed again.
    HistoryGone,
}

/// The client of the platform's store.
pub(crate) struct Store {
    caller: HttpClient,
    addr: SocketAddr,
}

impl Store {
    pub(crate) fn new(addr: SocketAddr) -> Self {
        Self {
            caller: HttpClient::new().with_header("content-type", "application/json"),
            addr,
        }
    }

    /// All objects of a kind, and the revision to watch from.
    pub(crate) async fn list(&self, kind: &str) -> Result<(Vec<Object>, u64), StoreError> {
        let mut objects: Vec<Object> = Vec::new();
        let mut first = None;
        for _ in 0..MAX_PAGES {
            let after = objects.last().map(|object| object.name.clone());
            let path = store::list_path(kind, after.as_deref());
            let reply = self.get(&path, Duration::ZERO).await?;
            let page = store::decode_page(&expect(reply)?.body).ok_or(StoreError::Unreadable)?;
            if page.unreadable > 0 {
                log::warn!(target: "lycheehaven", kind = kind, count = page.unreadable; "skipped unreadable objects");
            }
            // Changes during the listing are after the first page's revision.
            let revision = *first.get_or_insert(page.revision);
            let done = !page.more || page.items.is_empty();
            objects.extend(page.items);
            if done {
                return Ok((objects, revision));
            }
        }
        Err(StoreError::Unreadable)
    }

    /// One object, if it exists.
    pub(crate) async fn read(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        let reply = self
            .get(&store::object_path(kind, name), Duration::ZERO)
            .await?;
        if reply.status == 404 {
            return Ok(None);
        }
        let object = store::decode_object(&expect(reply)?.body);
        object.map(Some).ok_or(StoreError::Unreadable)
    }

    /// Waits up to `wait` for changes after `revision`.
    pub(crate) async fn watch(
        &self,
        kind: &str,
        revision: u64,
        wait: Duration,
        reading: ReadConsistency,
    ) -> Result<Watched, StoreError> {
        let path = store::watch_path(kind, revision, wait.as_millis() as u64, reading);
        let reply = self.get(&path, wait).await?;
        if store::is_history_gone(reply.status) {
            return Ok(Watched::HistoryGone);
        }
        let changes = store::decode_changes(&expect(reply)?.body).ok_or(StoreError::Unreadable)?;
        if changes.unreadable > 0 {
            log::warn!(target: "lycheehaven", kind = kind, count = changes.unreadable; "skipped unreadable changes");
        }
        Ok(Watched::Changes(changes))
    }

    /// Creates an object if none has its name.
    pub(crate) async fn create(
        &self,
        kind: &str,
        name: &str,
        spec: &impl Serialize,
    ) -> Result<Written, StoreError> {
        let body = store::write_body(name, None, spec);
        let path = store::list_path(kind, None);
        self.write(Method::POST, &path, body).await
    }

    /// Replaces an object, only at `revision` if given.
    pub(crate) async fn replace(
        &self,
        kind: &str,
        name: &str,
        revision: Option<u64>,
        spec: &impl Serialize,
    ) -> Result<Written, StoreError> {
        let body = store::write_body(name, revision, spec);
        let path = store::object_path(kind, name);
        self.write(Method::PUT, &path, body).await
    }

    /// Deletes an object.
    pub(crate) async fn delete(&self, kind: &str, name: &str) -> Result<(), StoreError> {
        let path = store::object_path(kind, name);
        let reply = self
            .call(Method::DELETE, &path, Bytes::new(), ANSWER_WAIT)
            .await?;
        if reply.status == 404 {
            return Ok(());
        }
        expect(reply).map(|_| ())
    }

    async fn write(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Written, StoreError> {
        let reply = self.call(method, path, body.into(), ANSWER_WAIT).await?;
        // An object that is missing contradicts the condition as well.
        if reply.status == 409 || reply.status == 404 {
            return Ok(Written::Conflict);
        }
        let object = store::decode_object(&expect(reply)?.body).ok_or(StoreError::Unreadable)?;
        Ok(Written::Done(object.revision))
    }

    async fn get(&self, path: &str, wait: Duration) -> Result<Reply, StoreError> {
        self.call(Method::GET, path, Bytes::new(), wait + ANSWER_WAIT)
            .await
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<Reply, StoreError> {
        self.caller
            .call(method, self.addr, path, body, wait)
            .await
            .map_err(StoreError::NoAnswer)
    }
}

fn expect(reply: Reply) -> Result<Reply, StoreError> {
    if reply.is_success() {
        Ok(reply)
    } else {
        Err(StoreError::Refused(reply.status))
    }
}
