//! Client of the entries' operator API.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use lycheehaven_net::HttpClient;
use lycheehaven_net::Reply;
use serde_json::Value;

use crate::output::ExitCode;

/// Timeout of a call to one entry.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Error of a command, with its exit code.
#[derive(Debug)]
pub(crate) struct CtlError {
    pub(crate) code: ExitCode,
    pub(crate) message: String,
}

impl CtlError {
    pub(crate) fn new(code: ExitCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
        }
    }

    pub(crate) fn usage(message: impl Into<String>) -> Self {
        Self::new(ExitCode::Usage, message)
    }
}

/// Calls the operator API of the entries, one after another after failures.
#[derive(Debug)]
pub(crate) struct Client {
    http: HttpClient,
    entries: Vec<SocketAddr>,
}

impl Client {
    pub(crate) fn new(entries: Vec<SocketAddr>, key: &str) -> Self {
        let http = HttpClient::new().with_header("authorization", format!("Bearer {key}"));
        Self { http, entries }
    }

    pub(crate) async fn get(&self, path: &str) -> Result<Value, CtlError> {
        self.call(Method::GET, path, Vec::new()).await
    }

    pub(crate) async fn post(&self, path: &str, body: &Value) -> Result<Value, CtlError> {
        let body = serde_json::to_vec(body).expect("JSON serializes");
        self.call(Method::POST, path, body).await
    }

    /// Posts to the first entry only, for calls that concern one entry and must not
    /// reach another if the first one does not respond.
    pub(crate) async fn post_to_first(&self, path: &str, body: &Value) -> Result<Value, CtlError> {
        let body = serde_json::to_vec(body).expect("JSON serializes");
        let first = &self.entries[..self.entries.len().min(1)];
        self.call_any(first, Method::POST, path, body).await
    }

    /// Calls the entries in turn until one responds with a status other than 503
    /// and 504. A call may be sent to several entries: reads have no effect, and
    /// entries recognize a repeated patch by its writer.
    async fn call(&self, method: Method, path: &str, body: Vec<u8>) -> Result<Value, CtlError> {
        self.call_any(&self.entries, method, path, body).await
    }

    async fn call_any(
        &self,
        entries: &[SocketAddr],
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Value, CtlError> {
        let mut last = CtlError::usage("no entry address given");
        for addr in entries {
            let reply = self
                .http
                .call(method.clone(), *addr, path, body.clone(), TIMEOUT)
                .await;
            match reply {
                Ok(reply) if reply.status == 503 || reply.status == 504 => last = refused(&reply),
                Ok(reply) => return decode(&reply),
                Err(cause) => {
                    last = CtlError::new(ExitCode::NoAnswer, format!("{addr}: {cause}"));
                }
            }
        }
        Err(last)
    }
}

fn decode(reply: &Reply) -> Result<Value, CtlError> {
    if !reply.is_success() {
        return Err(refused(reply));
    }
    reply
        .json()
        .map_err(|cause| CtlError::new(ExitCode::NoAnswer, cause.to_string()))
}

fn refused(reply: &Reply) -> CtlError {
    let body: Value = reply.json().unwrap_or_default();
    let error = &body["error"];
    let kind = error["kind"].as_str().unwrap_or("error");
    let message = error["message"].as_str().unwrap_or("no message");
    let code = if error["outcome"] == "unknown" {
        ExitCode::NoAnswer
    } else {
        ExitCode::Refused
    };
    CtlError::new(code, format!("{kind}: {message}"))
}
