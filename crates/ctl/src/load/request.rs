//! One request of a load run.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use futures_util::StreamExt;
use http_body_util::BodyExt;
use http_body_util::BodyStream;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use lycheehaven_history::Ending;
use lycheehaven_net::Body;
use lycheehaven_net::SseParser;
use lycheehaven_net::send_unpooled;
use serde_json::Value;
use serde_json::json;

use crate::load::scenario::Arrival;
use crate::load::scenario::Kind;
use crate::load::scenario::Mix;

/// Timeout of a connection attempt to an entry.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Measurements of one request.
#[derive(Debug)]
pub(crate) struct Sample {
    /// Index of its kind in the mix.
    pub(crate) mix: usize,
    /// Identifier of this send in the history.
    pub(crate) send: String,
    /// Idempotency key.
    pub(crate) key: Option<String>,
    /// Due time and end, in milliseconds from the start of the run.
    pub(crate) span: (u64, u64),
    /// Result.
    pub(crate) ending: Ending,
    /// Whether it was refused and did not run.
    pub(crate) refused: bool,
    /// Milliseconds from the due time to the first token or, if the answer is not
    /// a stream, to the whole answer.
    pub(crate) first: Option<u64>,
    /// Milliseconds between successive events.
    pub(crate) gaps: Vec<u64>,
    /// Number of events read.
    pub(crate) events: usize,
}

/// Sends a request and reads its answer, or as much of it as `mix` declares, within
/// `timeout`.
pub(crate) async fn send(
    mix: &Mix,
    arrival: &Arrival,
    addr: SocketAddr,
    start: Instant,
    due: Instant,
    timeout: Duration,
) -> Sample {
    let key = (mix.kind == Kind::Once).then(|| uuid::Uuid::now_v7().to_string());
    let mut sample = Sample {
        mix: arrival.mix,
        send: format!("{}-{}", mix.name, arrival.index),
        key,
        span: (due.duration_since(start).as_millis() as u64, 0),
        ending: Ending::Unknown,
        refused: false,
        first: None,
        gaps: Vec::new(),
        events: 0,
    };
    let request = build(mix, arrival, addr, sample.key.as_deref());
    let exchange = async {
        if let Ok(response) = send_unpooled(addr, request, CONNECT_TIMEOUT, timeout).await {
            read(mix, response, due, &mut sample).await;
        }
    };
    let _ = compio::time::timeout(timeout, exchange).await;
    sample.span.1 = start.elapsed().as_millis() as u64;
    sample
}

fn build(mix: &Mix, arrival: &Arrival, addr: SocketAddr, key: Option<&str>) -> Request<Body> {
    let (method, path, body) = match mix.kind {
        Kind::Stream => (
            Method::POST,
            "/v1/completions".to_owned(),
            completion(mix, arrival),
        ),
        Kind::Lookup => (Method::GET, plain_path(mix), Vec::new()),
        Kind::Once => (Method::POST, plain_path(mix), mix.name.clone().into_bytes()),
    };
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", addr.to_string())
        .header("authorization", format!("Bearer {}", mix.key));
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    request
        .body(Body::full(body))
        .expect("the scenario yields valid requests")
}

fn plain_path(mix: &Mix) -> String {
    format!("/v1/services/{}{}", mix.service, mix.path)
}

fn completion(mix: &Mix, arrival: &Arrival) -> Vec<u8> {
    let shared = (0..mix.shared_words).map(|word| format!("{}{word}", mix.name));
    let own = (0..mix.own_words).map(|word| format!("{:x}{word}", arrival.draw));
    let prompt = shared.chain(own).collect::<Vec<_>>().join(" ");
    let body = json!({
        "model": mix.service, "prompt": prompt, "max_tokens": mix.max_tokens, "stream": true,
    });
    serde_json::to_vec(&body).expect("JSON serializes")
}

async fn read(mix: &Mix, response: Response<Incoming>, due: Instant, sample: &mut Sample) {
    let status = response.status().as_u16();
    let is_stream = mix.kind == Kind::Stream && status == 200;
    if is_stream {
        return read_stream(mix, response, due, sample).await;
    }
    let Ok(body) = response.into_body().collect().await else {
        return;
    };
    let body = body.to_bytes();
    sample.first = Some(due.elapsed().as_millis() as u64);
    if status < 400 {
        sample.ending = Ending::Whole(String::from_utf8_lossy(&body).into_owned());
        return;
    }
    let value: Value = serde_json::from_slice(&body).unwrap_or_default();
    sample.ending = match value["error"]["outcome"].as_str() {
        Some("not_run") => Ending::NotRun,
        Some("ran") => Ending::Ran,
        _ => Ending::Unknown,
    };
    sample.refused = sample.ending == Ending::NotRun;
}

async fn read_stream(mix: &Mix, response: Response<Incoming>, due: Instant, sample: &mut Sample) {
    let mut body = BodyStream::new(response.into_body());
    let mut parser = SseParser::default();
    let mut last = due;
    let mut text = String::new();
    while let Some(Ok(frame)) = body.next().await {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        parser.push(&data);
        while let Some(event) = parser.next_data() {
            if event == "[DONE]" {
                sample.ending = Ending::Whole(text);
                return;
            }
            let value: Value = serde_json::from_str(&event).unwrap_or_default();
            text.push_str(value["choices"][0]["text"].as_str().unwrap_or_default());
            let waited = last.elapsed().as_millis() as u64;
            last = Instant::now();
            match sample.first {
                None => sample.first = Some(waited),
                Some(_) => sample.gaps.push(waited),
            }
            sample.events += 1;
            if mix.read_tokens.is_some_and(|limit| sample.events >= limit) {
                // The caller has read enough and closes the connection.
                sample.ending = Ending::Whole(text);
                return;
            }
        }
    }
}
