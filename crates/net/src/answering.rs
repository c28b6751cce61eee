//! The answer to one request of a connection, and what becomes of the request's body.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Version;
use hyper::body::Body as _;
use hyper::body::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;
use hyper::header::CONNECTION;
use hyper::header::EXPECT;
use hyper::header::HeaderValue;
use tokio_util::sync::CancellationToken;

use crate::AnsweredBody;
use crate::Body;
use crate::BodyRest;
use crate::Handler;
use crate::Incoming;
use crate::OpenRequests;
use crate::incoming::BodyState;
use crate::incoming::RestReader;
use crate::open_requests::Activity;

/// Answers the requests of a connection.
pub(crate) struct Responder<H> {
    pub(crate) handler: H,
    pub(crate) activity: Rc<Activity>,
    /// Cancelled when the server stops.
    pub(crate) token: CancellationToken,
    pub(crate) open: OpenRequests,
    pub(crate) rest: Rc<RestReader>,
    /// Longest time until the rest of a body is received behind its answer.
    pub(crate) rest_wait: Duration,
}

impl<H: Handler> Responder<H> {
    /// Answers a request whose head was read.
    pub(crate) async fn respond(
        &self,
        request: Request<hyper::body::Incoming>,
    ) -> Response<FollowedBody> {
        let received = ReceivedRequest::new(&request);
        self.activity
            .begin_handling(request.headers(), received.declared);
        let (parts, body) = request.into_parts();
        let (body, state) = Incoming::new(body);
        let request = Request::from_parts(parts, body);
        let mut response = self.handler.handle(request).await;
        // A request behind the answer that announces the close isn't answered.
        let is_closing = self.token.is_cancelled() || self.open.is_closing();
        if is_closing && !self.activity.has_next() {
            set_close(&mut response);
        }
        self.end_body(&received, &state, &mut response);
        let is_refused = response.status().as_u16() >= 400;
        self.activity.begin_response(is_refused);
        let activity = self.activity.clone();
        response.map(|body| FollowedBody { body, activity })
    }

    /// Sees to the rest of the request's body, before the head of the answer is written.
    fn end_body(
        &self,
        received: &ReceivedRequest,
        state: &BodyState,
        response: &mut Response<Body>,
    ) {
        let answered = received.answered_body(response, state, self.activity.body_due());
        let rest = answered.rest();
        log_early_answer(&self.activity, response.status().as_u16(), &answered);
        self.activity.leave_body(rest == BodyRest::Close);
        match (rest, state.answer()) {
            (BodyRest::Nothing, _) | (BodyRest::Read, None) => {}
            (BodyRest::Read, Some(body)) => self.rest.begin(body, self.rest_wait),
            (BodyRest::Close, _) => set_close(response),
        }
    }
}

/// What the answer to a request depends on besides its body.
struct ReceivedRequest {
    declared: Option<u64>,
    is_expected: bool,
    is_last: bool,
}

impl ReceivedRequest {
    fn new(request: &Request<hyper::body::Incoming>) -> Self {
        let headers = request.headers();
        Self {
            declared: request.body().size_hint().exact(),
            is_expected: headers.contains_key(EXPECT),
            is_last: has_option(headers, "close")
                || request.version() < Version::HTTP_11 && !has_option(headers, "keep-alive"),
        }
    }

    fn answered_body(
        &self,
        response: &Response<Body>,
        state: &BodyState,
        due: Option<u64>,
    ) -> AnsweredBody {
        let is_late = response.status() == StatusCode::REQUEST_TIMEOUT;
        AnsweredBody {
            is_read: state.is_ended(),
            has_failed: state.has_failed() || is_late,
            declared: self.declared,
            due,
            is_expected: self.is_expected,
            is_last: self.is_last || has_option(response.headers(), "close"),
        }
    }
}

/// Returns whether the `Connection` headers contain `option`.
fn has_option(headers: &HeaderMap, option: &str) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case(option))
}

fn set_close(response: &mut Response<Body>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
}

/// Logs an answer that is given before the end of the request's body.
fn log_early_answer(activity: &Activity, status: u16, answered: &AnsweredBody) {
    let rest = answered.rest();
    if rest == BodyRest::Nothing || answered.due == Some(0) {
        return;
    }
    let open = activity.open_request();
    log::info!(
        target: "lycheehaven",
        request = open.as_ref().map_or("-", |open| open.id_text()),
        status = status,
        due_bytes = answered.due.map_or(-1, |due| due as i64),
        closes = rest == BodyRest::Close;
        "answered before the end of the request's body"
    );
}

/// The body of a response, which tells when it was passed on whole.
pub(crate) struct FollowedBody {
    body: Body,
    activity: Rc<Activity>,
}

impl hyper::body::Body for FollowedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for FollowedBody {
    fn drop(&mut self) {
        self.activity.end_response();
    }
}
