//! Client of the object API.

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

use crate::lists;

/// Version of an object. A greater version is newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version(pub u64);

/// An object at one version.
#[derive(Debug, Clone)]
pub struct Object {
    /// Version of the content.
    pub version: Version,
    /// Content, at most 1 MB.
    pub body: Bytes,
}

/// Key and version of an object in a list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedObject {
    /// Key of the object.
    pub key: String,
    /// Version of the object.
    pub version: Version,
}

/// Precondition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The object does not exist.
    Absent,
    /// The object is at this version.
    At(Version),
}

/// Outcome of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutOutcome {
    /// The write took effect and created this version.
    Written(Version),
    /// The condition did not hold, and nothing was written.
    Conflict,
    /// No usable response arrived, so the write may have taken effect.
    Uncertain,
}

/// Outcome of a watch.
#[derive(Debug, Clone)]
pub enum WatchOutcome {
    /// The object changed.
    Changed(Object),
    /// The object did not change while the watch waited.
    Unchanged,
    /// The version is too old to watch from; the object must be read instead.
    Gone,
}

/// The platform did not give a usable response. Contains the cause.
#[derive(Debug, Clone)]
pub struct Unavailable(pub String);

impl fmt::Display for Unavailable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the platform is unavailable: {}", self.0)
    }
}

impl std::error::Error for Unavailable {}

/// Client of the object API.
#[derive(Debug, Clone)]
pub struct ObjectApi {
    client: HttpClient,
    addr: SocketAddr,
    timeout: Duration,
}

impl ObjectApi {
    /// Creates a client whose calls time out after `timeout`.
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        Self {
            client: HttpClient::new(),
            addr,
            timeout,
        }
    }

    /// Reads an object. Returns `None` if it does not exist.
    pub async fn get(&self, key: &str) -> Result<Option<Object>, Unavailable> {
        let path = format!("/objects/{key}");
        let reply = self
            .call(Method::GET, &path, &[], Bytes::new(), self.timeout)
            .await?;
        match reply.status {
            200 => parse_object(reply).map(Some),
            404 => Ok(None),
            status => Err(Unavailable(format!(
                "reading an object failed with status {status}"
            ))),
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
                parse_version(&reply).map_or(PutOutcome::Uncertain, PutOutcome::Written)
            }
            Ok(reply) if reply.status == 412 => PutOutcome::Conflict,
            _ => PutOutcome::Uncertain,
        }
    }

    /// Deletes an object. Succeeds if the object does not exist.
    pub async fn delete(&self, key: &str) -> Result<(), Unavailable> {
        let path = format!("/objects/{key}");
        let reply = self
            .call(Method::DELETE, &path, &[], Bytes::new(), self.timeout)
            .await?;
        match reply.status {
            200 | 204 | 404 => Ok(()),
            status => Err(Unavailable(format!(
                "deleting an object failed with status {status}"
            ))),
        }
    }

    /// Lists the objects whose keys start with `prefix`.
    pub async fn list(&self, prefix: &str) -> Result<Vec<ListedObject>, Unavailable> {
        let path = format!("/objects?prefix={prefix}");
        let reply = self
            .call(Method::GET, &path, &[], Bytes::new(), self.timeout)
            .await?;
        match reply.status {
            200 => lists::decode_entries(Some(&reply.body), "objects"),
            status => Err(Unavailable(format!(
                "listing objects failed with status {status}"
            ))),
        }
    }

    /// Waits up to `wait` for a version of the object newer than `from`.
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
            200 => parse_object(reply).map(WatchOutcome::Changed),
            204 => Ok(WatchOutcome::Unchanged),
            410 => Ok(WatchOutcome::Gone),
            status => Err(Unavailable(format!(
                "watching an object failed with status {status}"
            ))),
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
            .client
            .call_with_headers(method, self.addr, path, headers, body, wait)
            .await;
        reply.map_err(|cause| Unavailable(cause.to_string()))
    }
}

fn parse_version(reply: &Reply) -> Option<Version> {
    let text = reply.headers.get(ETAG)?.to_str().ok()?;
    text.trim_matches('"').parse().ok().map(Version)
}

fn parse_object(reply: Reply) -> Result<Object, Unavailable> {
    let version = parse_version(&reply)
        .ok_or_else(|| Unavailable("the response has no object version".into()))?;
    Ok(Object {
        version,
        body: reply.body,
    })
}
