//! Reads the events of a run, and moves the stream to another upstream while the run is
//! silent.

use std::time::Duration;

use futures_util::FutureExt;
use futures_util::select_biased;
use http_body_util::BodyExt;
use hyper::body::Bytes;
use hyper::body::Frame;
use lycheehaven_catalog::Upstream;
use lycheehaven_dispatch::MAX_OVERLAP;

use super::Input;
use super::Relay;
use super::Run;
use crate::attempt;
use crate::attempt::Outcome;
use crate::attempt::ResumePoint;
use crate::attempt::UpstreamResponse;
use crate::elsewhere::Ask;
use crate::elsewhere::Ending;
use crate::elsewhere::Raced;
use crate::elsewhere::SilentRun;
use crate::elsewhere::Stage;

/// What a read of a response's body returns.
type Read = Option<Result<Frame<Bytes>, hyper::Error>>;

/// Which of two runs of a stream was heard first.
enum First {
    Silent(Read),
    Other(Read),
    Neither,
}

impl Relay {
    /// Waits for bytes of the run. While it is silent, other upstreams are asked to go on
    /// with the stream.
    pub(super) async fn read(&mut self) -> Input {
        loop {
            let now = self.node.now();
            let remaining = self.job.schedule.until_deadline(now);
            if remaining.is_zero() {
                return Input::Broken("the request's deadline passed".into());
            }
            let until_ask = self.silence.until_ask(now);
            let may_ask = self.may_resume();
            let Some(run) = &mut self.run else {
                return Input::End;
            };
            let wait = if may_ask {
                until_ask.min(remaining)
            } else {
                remaining
            };
            if let Ok(read) = compio::time::timeout(wait, run.body.frame()).await {
                return self.receive(read);
            }
            let is_due = self.silence.until_ask(self.node.now()).is_zero();
            if may_ask
                && is_due
                && let Some(input) = self.ask_elsewhere().await
            {
                return input;
            }
        }
    }

    fn receive(&mut self, read: Read) -> Input {
        match read {
            None => {
                self.end_silence(Ending::WentOn, None);
                Input::End
            }
            Some(Err(cause)) => Input::Broken(cause.to_string()),
            Some(Ok(frame)) => {
                self.end_silence(Ending::WentOn, None);
                Input::Bytes(frame.into_data().unwrap_or_default())
            }
        }
    }

    /// Records that the silence of the run ends, if there was one.
    pub(super) fn end_silence(&mut self, ending: Ending, other: Option<&str>) {
        let now = self.node.now();
        let silent = self.silence.end(now);
        let Some(run) = &self.run else {
            return;
        };
        if matches!(ending, Ending::WentOn) {
            run.load_guard.activity().record(now);
        }
        self.report_silence(run, silent, ending, other);
    }

    fn report_silence(
        &self,
        run: &Run,
        silent: Option<Duration>,
        ending: Ending,
        other: Option<&str>,
    ) {
        let Some(silent) = silent else {
            return;
        };
        let silent_run = SilentRun {
            node: &self.node,
            job: &self.job,
            key: &run.key,
            activity: run.load_guard.activity(),
            stage: Stage::Events,
        };
        silent_run.end(silent, ending, other);
    }

    /// Asks another upstream to go on with the stream. Returns what to do, or `None` if
    /// the run is still silent.
    async fn ask_elsewhere(&mut self) -> Option<Input> {
        if self.state.is_moving() {
            if self.state.has_moved() {
                return Some(Input::Broken("the run was moved".into()));
            }
            self.silence.postpone(self.node.now());
            return None;
        }
        let resume = self.resume_point();
        let Run {
            key,
            body,
            load_guard,
            ..
        } = self.run.as_mut()?;
        let silent_run = SilentRun {
            node: &self.node,
            job: &self.job,
            key,
            activity: load_guard.activity(),
            stage: Stage::Events,
        };
        let raced = silent_run
            .race(
                &mut self.silence,
                &mut self.tries,
                resume,
                body.frame(),
                |read| matches!(read, Some(Err(_))),
            )
            .await;
        let (raced, first) = match raced {
            Raced::Accepted(response) => self.await_first_event(response).await,
            raced => (raced, Bytes::new()),
        };
        let raced = if self.state.is_moving() {
            self.withdraw(raced)
        } else {
            raced
        };
        match raced {
            Raced::Stayed => None,
            Raced::Heard(read) => Some(self.receive(read)),
            Raced::Accepted(response) => self.move_to(response, first),
            Raced::GivenUp(ask) => Some(
                self.follow_ask(ask, Ending::GivenUp, "the upstream hangs")
                    .await,
            ),
            Raced::Lost(read, ask) => {
                let cause = match read {
                    Some(Err(cause)) => cause.to_string(),
                    _ => "the connection broke".to_owned(),
                };
                Some(self.follow_ask(ask, Ending::Broke, &cause).await)
            }
        }
    }

    /// Reads what follows from the silent run and from another upstream that has accepted
    /// the request, for as long as both may work. The silent run is kept if it goes on, or
    /// if the other one has no event left. Returns the first bytes of the other one.
    async fn await_first_event(
        &mut self,
        mut response: Box<UpstreamResponse>,
    ) -> (Raced<Read>, Bytes) {
        let Some(run) = &mut self.run else {
            return (Raced::Accepted(response), Bytes::new());
        };
        let until = response.run.sent + MAX_OVERLAP;
        let wait = until.saturating_duration_since(self.node.now());
        let first = select_biased! {
            read = run.body.frame().fuse() => First::Silent(read),
            read = response.response.body_mut().frame().fuse() => First::Other(read),
            () = compio::time::sleep(wait).fuse() => First::Neither,
        };
        match first {
            First::Silent(Some(Err(_))) | First::Neither => {
                (Raced::Accepted(response), Bytes::new())
            }
            First::Other(Some(Ok(frame))) => {
                let bytes = frame.into_data().unwrap_or_default();
                (Raced::Accepted(response), bytes)
            }
            First::Silent(read) => {
                self.dismiss(&response);
                (Raced::Heard(read), Bytes::new())
            }
            First::Other(None | Some(Err(_))) => {
                self.dismiss(&response);
                self.silence.postpone(self.node.now());
                (Raced::Stayed, Bytes::new())
            }
        }
    }

    /// Counts a run at another upstream that the stream does not go on with.
    fn dismiss(&mut self, response: &UpstreamResponse) {
        let key = &response.upstream.key;
        self.job.sends.add(key);
        self.tries.add(key);
    }

    /// Cancels what was asked for, as a move of the run has begun meanwhile.
    fn withdraw(&mut self, raced: Raced<Read>) -> Raced<Read> {
        match raced {
            Raced::Stayed | Raced::Heard(_) => return raced,
            Raced::Accepted(response) => self.dismiss(&response),
            Raced::GivenUp(ask) => ask.cancel(&self.job, &mut self.tries),
            Raced::Lost(read, ask) => {
                ask.cancel(&self.job, &mut self.tries);
                return Raced::Heard(read);
            }
        }
        self.silence.postpone(self.node.now());
        Raced::Stayed
    }

    /// Returns the time that the stream has taken so far.
    pub(super) fn done(&self) -> Duration {
        let now = self.node.now();
        now.saturating_duration_since(self.state.started)
    }

    pub(super) fn resume_point(&self) -> ResumePoint {
        ResumePoint {
            last_event: self.continuity.last(),
            kv_source: None,
            done: self.done(),
        }
    }

    /// Goes on with another upstream that has accepted the request and has sent `first` of its
    /// body, and cancels the silent run.
    fn move_to(&mut self, response: Box<UpstreamResponse>, first: Bytes) -> Option<Input> {
        let now = self.node.now();
        let left = self.state.upstream.borrow().clone();
        let other = response.upstream.key.clone();
        self.job.sends.add(&other);
        self.tries.add(&other);
        let silent = self.silence.clone().end(now);
        let run = self.run.take()?;
        if !self.adopt_run(&other, Outcome::Responded(response)) {
            self.run = Some(run);
            self.silence.postpone(now);
            return None;
        }
        self.report_silence(&run, silent, Ending::Moved, Some(&other.id));
        self.record_left(run, &left);
        Some(Input::Bytes(first))
    }

    /// Cancels the run and waits for another upstream that was asked.
    async fn follow_ask(&mut self, mut ask: Ask, ending: Ending, cause: &str) -> Input {
        let key = ask.target.upstream.key.clone();
        self.end_silence(ending, Some(&key.id));
        if let Some(silent) = self.run.take() {
            let upstream = self.state.upstream.borrow().clone();
            self.state.end_run();
            self.record_left(silent, &upstream);
        }
        let outcome = ask.outcome().await;
        self.job.sends.record_run(&key, &outcome);
        self.tries.record(&key, &outcome);
        if self.adopt_run(&key, outcome) {
            return Input::Bytes(Bytes::new());
        }
        Input::Broken(cause.to_owned())
    }

    /// Cancels a run that the stream has left, and finds out whether its upstream is down.
    fn record_left(&self, run: Run, upstream: &Upstream) {
        let (progress, info) = (run.progress(), run.info);
        drop(run);
        attempt::record_disconnect(&self.node, &self.job, upstream, info, progress);
    }
}
