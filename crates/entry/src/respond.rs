//! Responses to callers, streamed or whole.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use futures_util::stream;
use hyper::Response;
use hyper::body::Bytes;
use hyper::header::HeaderValue;
use lycheehaven_net::Body;
use lycheehaven_net::Panicked;
use lycheehaven_net::bytes_response;
use lycheehaven_net::catch_panic;
use lycheehaven_net::json_response;
use lycheehaven_streams::Phase;
use lycheehaven_types::ErrorKind;
use lycheehaven_types::Failure;
use lycheehaven_types::RequestId;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::record::ReaderGuard;
use crate::record::Record;
use crate::record::Shape;

/// Response header with the identifier of the request.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";

/// Period of the comments that keep an idle event stream open.
const KEEP_ALIVE_PERIOD: Duration = Duration::from_secs(10);

/// Longest wait for the replica to confirm a request before its answer begins.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(1500);

/// Responds with a stream of a record's tokens from index `from` on, or with
/// the whole answer.
pub(crate) async fn answer(
    record: Rc<Record>,
    stream: bool,
    from: usize,
) -> Result<Response<Body>, Failure> {
    wait_for_replica(&record).await;
    let mut response = if stream {
        stream_response(&record, from)
    } else {
        buffered_response(&record).await?
    };
    let id = HeaderValue::from_str(record.request.id.as_str()).expect("identifiers are ASCII");
    response.headers_mut().insert(REQUEST_ID_HEADER, id);
    Ok(response)
}

/// Waits until the replica has confirmed the request, so that a request
/// reported to the caller as accepted survives the loss of this entry. An
/// unreachable replica is replaced meanwhile.
async fn wait_for_replica(record: &Record) {
    let held = record.wait_until(|record| {
        let is_elsewhere = record.handed_over.get() || record.replica.borrow().is_none();
        record.request_replicated.get() || is_elsewhere || record.is_over()
    });
    let _ = compio::time::timeout(REPLICA_TIMEOUT, held).await;
}

fn stream_response(record: &Rc<Record>, from: usize) -> Response<Body> {
    let events = Events {
        guard: ReaderGuard::reader(record),
        sent: from,
        is_over: false,
    };
    let chunks = stream::unfold(events, |mut events| async move {
        let event = catch_panic(events.next()).await.unwrap_or_else(|Panicked| {
            events.is_over = true;
            let cause = "sending the events failed unexpectedly";
            Some(Err(io::Error::other(cause)))
        });
        event.map(|event| (event.map(Bytes::from), events))
    });
    let mut response = bytes_response(200, "text/event-stream", "");
    *response.body_mut() = Body::Chunks(Box::pin(chunks));
    response
}

/// The events of an answer, each produced once the connection has room for it.
struct Events {
    guard: ReaderGuard,
    /// Number of tokens in the events so far.
    sent: usize,
    is_over: bool,
}

impl Events {
    /// Returns the next event, or `None` after the end of the answer or once a peer has
    /// taken over the record.
    async fn next(&mut self) -> Option<io::Result<String>> {
        if self.is_over {
            return None;
        }
        let record = self.guard.record();
        record.advance_read(self.sent);
        let sent = self.sent;
        let progress = record.wait_until(|record| {
            record.visible_tokens() > sent || may_end(record) || record.handed_over.get()
        });
        let event = match compio::time::timeout(KEEP_ALIVE_PERIOD, progress).await {
            Err(_) => ": keep-alive\n\n".to_owned(),
            Ok(()) if record.visible_tokens() > sent => {
                let to = record.visible_tokens();
                let event = token_event(record, sent, to);
                self.sent = to;
                event
            }
            Ok(()) => {
                let event = match may_end(record) {
                    true => last_event(record),
                    false => moved_event(&record.request.id),
                };
                self.is_over = true;
                event
            }
        };
        Some(Ok(event))
    }
}

/// Returns whether the stream may end: the request has failed, or the answer is
/// complete and all of its tokens are visible.
fn may_end(record: &Record) -> bool {
    let stream = record.stream.borrow();
    match stream.phase() {
        Phase::Finished(_) => record.visible_tokens() == stream.tokens().len(),
        Phase::Failed(..) => true,
        Phase::Waiting | Phase::Running(_) => false,
    }
}

fn token_event(record: &Record, from: usize, to: usize) -> String {
    let stream = record.stream.borrow();
    let text = stream.tokens().slice(from, to);
    let data = chunk(record, Some(text), None);
    format!("id: {to}\ndata: {data}\n\n")
}

fn last_event(record: &Record) -> String {
    if let Some(failure) = record.failure() {
        let data = serde_json::to_string(&failure.body()).expect("errors serialize");
        return format!("event: error\ndata: {data}\n\n");
    }
    let data = chunk(record, None, Some(&finish_reason(record)));
    format!(
        "id: {}\ndata: {data}\n\ndata: [DONE]\n\n",
        record.token_count()
    )
}

/// Returns the event that tells the caller to fetch the rest of the answer from
/// another entry.
pub(crate) fn moved_event(id: &RequestId) -> String {
    let path = format!("/v1/requests/{id}");
    format!(
        "event: moved\nretry: 200\ndata: {}\n\n",
        json!({"resume": path})
    )
}

fn finish_reason(record: &Record) -> String {
    match record.stream.borrow().phase() {
        Phase::Finished(reason) => reason.clone(),
        _ => "stop".into(),
    }
}

/// Data of one event of a streamed answer.
#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [Choice<'a>; 1],
}

#[derive(Serialize)]
#[serde(untagged)]
enum Choice<'a> {
    Text {
        index: u32,
        text: &'a str,
        finish_reason: Option<&'a str>,
    },
    Chat {
        index: u32,
        delta: Delta<'a>,
        finish_reason: Option<&'a str>,
    },
}

#[derive(Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

fn chunk(record: &Record, text: Option<&str>, finish_reason: Option<&str>) -> String {
    let request = &record.request;
    let (object, choice) = match request.shape {
        Shape::Chat => {
            let delta = Delta { content: text };
            (
                "chat.completion.chunk",
                Choice::Chat {
                    index: 0,
                    delta,
                    finish_reason,
                },
            )
        }
        Shape::Completions | Shape::Plain => {
            let text = text.unwrap_or("");
            (
                "text_completion",
                Choice::Text {
                    index: 0,
                    text,
                    finish_reason,
                },
            )
        }
    };
    let chunk = Chunk {
        id: request.id.as_str(),
        object,
        created: request.created,
        model: &request.service,
        choices: [choice],
    };
    serde_json::to_string(&chunk).expect("chunks serialize to JSON")
}

async fn buffered_response(record: &Rc<Record>) -> Result<Response<Body>, Failure> {
    let _guard = ReaderGuard::waiter(record);
    record
        .wait_until(|record| may_end(record) || record.handed_over.get())
        .await;
    if let Some(failure) = record.failure() {
        return Err(failure);
    }
    if !may_end(record) {
        let message = format!("fetch the answer at /v1/requests/{}", record.request.id);
        return Err(Failure::new(ErrorKind::Moved, message));
    }
    Ok(json_response(200, &buffered_body(record)))
}

fn buffered_body(record: &Record) -> Value {
    let request = &record.request;
    let stream = record.stream.borrow();
    let text = stream.tokens().text();
    let finish = finish_reason(record);
    let (object, choice) = match request.shape {
        Shape::Chat => {
            let message = json!({"role": "assistant", "content": text});
            (
                "chat.completion",
                json!({"index": 0, "message": message, "finish_reason": finish}),
            )
        }
        Shape::Completions | Shape::Plain => (
            "text_completion",
            json!({"index": 0, "text": text, "finish_reason": finish}),
        ),
    };
    let completion = stream.tokens().len() as u64;
    json!({
        "id": request.id,
        "object": object,
        "created": request.created,
        "model": request.service,
        "choices": [choice],
        "usage": {
            "prompt_tokens": request.prompt_tokens,
            "completion_tokens": completion,
            "total_tokens": request.prompt_tokens + completion,
        },
    })
}
