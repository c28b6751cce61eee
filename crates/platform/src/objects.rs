//! The object API.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use hyper::body::Bytes;
use hyper::header::ETAG;
use lycheehaven_net::HttpClient;
use lycheehaven_net::Reply;
use serde::Deserialize;
use serde::Serialize;

/// Version of an object; greater is newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version(pub u64);

/// An object at one version.
#[derive(Debug, Clone)]
pub struct Object {
    /// Version of the content.
    pub version: Version,
    /// Content, at most a megabyte.
    pub body: Bytes,
}

/// An object's key and version in a listing.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedObject {
    /// Key.
    pub key: String,
    /// Version.
    pub version: Version,
}

/// What must hold for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The object does not exist.
    Absent,
    /// The object is at this version.
    At(Version),
}

/// What became of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutOutcome {
    /// It took effect and made this version.
    Written(Version),
    /// The condition did not hold.
    Conflict,
    /// No answer came, so it may have taken effect.
    Uncertain,
}

/// What a watch saw.
#[derive(Debug, Clone)]
pub enum WatchOutcome {
    /// The object changed.
    Changed(Object),
    /// Nothing changed while waiting.
    Unchanged,
    /// The version is too old to watch from; read the object instead.
    Gone,
}

/// The platform gave no usable answer.
#[derive(Debug, Clone)]
pub struct Unavailable(pub String);

impl fmt::Display for Unavailable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the platform can't be reached: {}", self.0)
    }
}

impl std::error::Error for Unavailable {}

/// Client of the object API.
#[derive(Debug, Clone)]
pub struct ObjectApi {
    caller: HttpClient,
    addr: SocketAddr,
    timeout: Duration,
}

impl ObjectApi {
    /// Creates a client whose calls end after `timeout`.
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        Self {
            caller: HttpClient::new(),
            addr,
            timeout,
        }
    }

    /// Reads an object; `None` if there is none.
    pub async fn get(&self, key: &str) -> Result<Option<Object>, Unavailable> {
        let path = format!("/objects/{key}");
        let reply = self
            .call(Method::GET, &path, &[], Bytes::new(), self.timeout)
            .await?;
        match reply.status {
            200 => object_of(reply).map(Some),
            404 => Ok(None),
            status => Err(Unavailable(format!("status {status} to a read"))),
        }
    }

    /// Writes an object if `condition` holds.
    pub async fn put(&self, key: &str, condition: Condition, body: impl Into<Bytes>) -> PutOutcome {
        let header = match condition {
            Condition::Absent => ("if-none-match", "*".to_owned()),
            Condition::At(version) => ("if-match", version.0.to_string()),
        };
        let path = format!("/objects/{key}");
        let reply = self
            .call(Method::PUT, &path, &[header], body.into(), self.timeout)
            .await;
        match reply {
            Ok(reply) if reply.status == 200 => {
                version_of(&reply).map_or(PutOutcome::Uncertain, PutOutcome::Written)
            }
            Ok(reply) if reply.status == 412 => PutOutcome::Conflict,
            _ => PutOutcome::Uncertain,
        }
    }

    /// Deletes an object; deleting an absent one succeeds.
    pub async fn delete(&self, key: &str) -> Result<(), Unavailable> {
        let path = format!("/objects/{key}");
        let reply = self
            .call(Method::DELETE, &path, &[], Bytes::new(), self.timeout)
            .await?;
        match reply.status {
            200 | 204 | 404 => Ok(()),
            status => Err(Unavailable(format!("status {status} to a delete"))),
        }
    }

    /// Lists the objects whose keys start with `prefix`.
    pub async fn list(&self, prefix: &str) -> Result<Vec<ListedObject>, Unavailable> {
        let path = format!("/objects?prefix={prefix}");
        let reply = self
            .call(Method::GET, &path, &[], Bytes::new(), self.timeout)
            .await?;
        reply.json().map_err(|cause| Unavailable(cause.to_string()))
    }

    /// Waits up to `wait` for the object to be newer than `from`.
    pub async fn watch(
        &self,
        key: &str,
        from: Version,
        wait: Duration,
    ) -> Result<WatchOutcome, Unavailable> {
        let path = format!("/watch/{key}?from={}&wait_ms={}", from.0, wait.as_millis());
        let reply = self
            .call(Method::GET, &path, &[], Bytes::new(), wait + self.timeout)
            .await?;
        match reply.status {
            200 => object_of(reply).map(WatchOutcome::Changed),
            204 => Ok(WatchOutcome::Unchanged),
            410 => Ok(WatchOutcome::Gone),
            status => Err(Unavailable(format!("status {status} to a watch"))),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: Bytes,
        wait: Duration,
    ) -> Result<Reply, Unavailable> {
        let reply = self
            .caller
            .call_with_headers(method, self.addr, path, headers, body, wait)
            .await;
        reply.map_err(|cause| Unavailable(cause.to_string()))
    }
}

fn version_of(reply: &Reply) -> Option<Version> {
    let text = reply.headers.get(ETAG)?.to_str().ok()?;
    text.trim_matches('"').parse().ok().map(Version)
}

fn object_of(reply: Reply) -> Result<Object, Unavailable> {
    let version =
        version_of(&reply).ok_or_else(|| Unavailable("an object without a version".into()))?;
    Ok(Object {
        version,
        body: reply.body,
    })
}
