//! Callers of an entry that stops, who send their bodies late and read meanwhile.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_standins::WORKSPACE_KEY;
use lycheehaven_standins::wait_until;
use serde_json::json;

/// Longest wait of a caller.
pub(crate) const CALLER_TIMEOUT: Duration = Duration::from_secs(15);

/// What a caller asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Kind {
    Repeatable,
    Once,
    Buffered,
    Stream,
}

pub(crate) const KINDS: [Kind; 4] = [Kind::Repeatable, Kind::Once, Kind::Buffered, Kind::Stream];

/// How a request ended, as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// The whole answer.
    Served,
    /// An answer that says that the request did not run, and when to return.
    Refused,
    /// An answer, or the end of a stream, that says where the rest is.
    Moved,
    /// Another whole answer, or the end of a stream with its reason.
    Failed,
    /// No answer, or a part of one.
    Cut,
}

/// A request of the test. Its marker is part of what its upstream receives.
#[derive(Debug, Clone)]
pub(crate) struct Late {
    pub(crate) kind: Kind,
    pub(crate) marker: String,
    pub(crate) body_end: Duration,
    head: String,
    body: String,
}

/// Returns a request of `kind` whose body ends `body_end` after the signal.
pub(crate) fn late(kind: Kind, addr: SocketAddr, marker: &str, body_end: Duration) -> Late {
    let stream = kind == Kind::Stream;
    let (line, body) = match kind {
        Kind::Repeatable => (
            format!("GET /v1/services/hinnalaud/price/{marker}"),
            "{}".into(),
        ),
        Kind::Once => (
            format!("POST /v1/services/hinnalaud/quote/{marker}"),
            "{}".into(),
        ),
        Kind::Buffered | Kind::Stream => (
            "POST /v1/completions".to_owned(),
            json!({"model": "poleer-llm", "prompt": marker, "stream": stream}).to_string(),
        ),
    };
    let key = uuid::Uuid::now_v7();
    let length = body.len();
    let head = format!(
        "{line} HTTP/1.1\r\nHost: {addr}\r\nAuthorization: Bearer {WORKSPACE_KEY}\r\n\
         Idempotency-Key: {key}\r\nContent-Length: {length}\r\n\r\n"
    );
    Late {
        kind,
        marker: marker.into(),
        body_end,
        head,
        body,
    }
}

/// Returns a fetch of the answer to the request `id`.
pub(crate) fn fetch(kind: Kind, addr: SocketAddr, id: &str) -> Late {
    let accept = match kind {
        Kind::Stream => "Accept: text/event-stream\r\nLast-Event-ID: 0\r\n",
        _ => "",
    };
    let head = format!(
        "GET /v1/requests/{id} HTTP/1.1\r\nHost: {addr}\r\n\
         Authorization: Bearer {WORKSPACE_KEY}\r\n{accept}Content-Length: 1\r\n\r\n"
    );
    Late {
        kind,
        marker: id.into(),
        body_end: Duration::ZERO,
        head,
        body: " ".into(),
    }
}

/// Reads until the answer is whole, the connection ends or `until` passes. Returns whether
/// the connection may go on.
fn read_until(stream: &mut TcpStream, received: &mut Vec<u8>, until: Instant) -> bool {
    let mut buffer = [0; 4096];
    while !is_whole(received) {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        stream
            .set_read_timeout(Some(left))
            .expect("a time that is left");
        match stream.read(&mut buffer) {
            Ok(0) => return false,
            Ok(length) => received.extend_from_slice(&buffer[..length]),
            Err(cause) if cause.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
    }
    false
}

fn is_whole(received: &[u8]) -> bool {
    let text = String::from_utf8_lossy(received);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    match length.and_then(|length| length.parse::<usize>().ok()) {
        Some(length) => body.len() >= length,
        None => body.ends_with("0\r\n\r\n"),
    }
}

/// Sends a request whose body ends late, as a caller that reads meanwhile.
pub(crate) fn send(addr: SocketAddr, request: &Late, signal: Instant) -> String {
    let mut received = Vec::new();
    let Ok(mut stream) = TcpStream::connect(addr) else {
        return String::new();
    };
    let (first, last) = request.body.split_at(request.body.len() - 1);
    let begin = format!("{}{first}", request.head);
    if stream.write_all(begin.as_bytes()).is_err() {
        return String::new();
    }
    if read_until(&mut stream, &mut received, signal + request.body_end)
        && stream.write_all(last.as_bytes()).is_ok()
    {
        read_until(&mut stream, &mut received, signal + CALLER_TIMEOUT);
    }
    String::from_utf8_lossy(&received).into_owned()
}

/// Returns how a request ended.
pub(crate) fn end_of(received: &str) -> End {
    let status = received.split(' ').nth(1).unwrap_or_default();
    let is_refusal = received.contains("\"outcome\":\"not_run\"");
    let has_time = received.to_lowercase().contains("\r\nretry-after: ");
    match status {
        _ if !is_whole(received.as_bytes()) => End::Cut,
        "200" if received.contains("event: moved") => End::Moved,
        "200" if received.contains("event: ") => End::Failed,
        "200" => End::Served,
        "503" if is_refusal && has_time => End::Refused,
        "503" if received.contains("\"kind\":\"moved\"") => End::Moved,
        _ => End::Failed,
    }
}

/// Sends requests at the same time and returns what their callers receive.
pub(crate) async fn send_all(addr: SocketAddr, requests: &[Late], signal: Instant) -> Vec<String> {
    let threads: Vec<_> = requests
        .iter()
        .cloned()
        .map(|request| std::thread::spawn(move || send(addr, &request, signal)))
        .collect();
    wait_until("the callers to end", || {
        threads.iter().all(std::thread::JoinHandle::is_finished)
    })
    .await;
    let joined = threads.into_iter().map(std::thread::JoinHandle::join);
    joined
        .map(|received| received.expect("the caller does not panic"))
        .collect()
}
