//! Streams: whole events as they come, and going on at another runner.
//!
//! A resumable stream that breaks off goes on after the last event that was
//! passed on, inside the same answer. The former run is closed first, by
//! dropping its connection, so that two runners never work on one stream.

use std::sync::Arc;

use async_stream::stream;
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use hyper::http::response;
use radishstair_core::error::{Kind, Refusal};
use radishstair_core::retry::Fault;

use super::events::Events;
use super::forward::{Forwarder, Halt};
use super::job::{Job, Tries};
use super::reply::{self, Body, Cut};
use super::slot::Slot;
use crate::in_flight::InFlightGuard;
use crate::upstream::attempts::{self, Attempts};

mod segment;

use segment::{Progress, Segment};

/// Tells how a stream ended, also when its caller left.
struct Closing {
    forwarder: Arc<Forwarder>,
    job: Arc<Job>,
    runs: u32,
    events: usize,
    outcome: &'static str,
    _flight: InFlightGuard,
}

impl Drop for Closing {
    fn drop(&mut self) {
        let shared = &self.forwarder.shared;
        let now = shared.now();
        let route = &self.job.admission.route.name;
        shared.metrics.count_request(route, self.outcome);
        tracing::info!(
            event = "stream-ended",
            request = self.job.head.id,
            route,
            outcome = self.outcome,
            runs = self.runs,
            events = self.events,
            after_ms = now.since(self.job.arrived).as_millis() as u64
        );
    }
}

/// What a stream begins with.
enum Begun {
    /// Its first events.
    Stream(Box<Segment>, Events),
    /// A runner's failure, whole.
    Failure(Response<Body>),
}

/// A stream that waits for its first event.
struct Begin<'a> {
    forwarder: &'a Forwarder,
    job: &'a Job,
    tries: &'a mut Tries,
    /// A runner's own failure, passed on if no other runner does better.
    failure: Option<Response<Body>>,
}

impl Attempts for Begin<'_> {
    type Permit = Slot;
    type Answer = Begun;
    type Error = Refusal;

    async fn acquire(&mut self) -> Result<Slot, Refusal> {
        self.forwarder.place(self.job, self.tries)
    }

    async fn attempt(&mut self, slot: Slot) -> Result<Begun, Halt> {
        let opened = self.forwarder.open(self.job, None, slot, self.tries).await?;
        if !opened.parts.status.is_success() {
            let collected = self.forwarder.collect(self.job, opened).await;
            let (parts, body) = collected.ok_or(Halt::Failed(Fault::MayHaveRun))?;
            let answer = reply::whole(&parts, body);
            if !parts.status.is_server_error() {
                return Ok(Begun::Failure(answer));
            }
            // A runner's own failure may pass at another runner.
            self.failure = Some(answer);
            return Err(Halt::Failed(Fault::MayHaveRun));
        }
        let mut segment = Segment::new(opened, None);
        match segment.next(self.job, &self.forwarder.shared).await {
            Progress::Events(events) => Ok(Begun::Stream(Box::new(segment), events)),
            Progress::End => Ok(Begun::Stream(Box::new(segment), Events::default())),
            Progress::Broken => {
                segment.abandon(self.job);
                Err(Halt::Failed(Fault::MayHaveRun))
            }
            Progress::Over => Err(Halt::Final(Kind::UpstreamTimeout.into())),
        }
    }

    fn record_failure(&mut self, fault: Fault) -> Option<Refusal> {
        self.forwarder.fail(self.job, self.tries, fault)
    }
}

/// A stream that goes on after the event `last`.
struct Resume<'a> {
    forwarder: &'a Forwarder,
    job: &'a Job,
    tries: &'a mut Tries,
    last: u64,
}

impl Attempts for Resume<'_> {
    type Permit = Slot;
    type Answer = Segment;
    type Error = Refusal;

    async fn acquire(&mut self) -> Result<Slot, Refusal> {
        self.forwarder.place(self.job, self.tries)
    }

    async fn attempt(&mut self, slot: Slot) -> Result<Segment, Halt> {
        let after = Some(self.last);
        let opened = self.forwarder.open(self.job, after, slot, self.tries).await?;
        match opened.parts.status.is_success() {
            true => Ok(Segment::new(opened, after)),
            false => Err(Halt::Failed(Fault::MayHaveRun)),
        }
    }

    fn record_failure(&mut self, fault: Fault) -> Option<Refusal> {
        self.forwarder.fail(self.job, self.tries, fault)
    }
}

impl Forwarder {
    /// Has a stream run; the answer's body goes on as long as the runner does.
    ///
    /// # Errors
    ///
    /// The refusal that the caller gets, if no runner came to its first event.
    pub async fn forward_stream(
        self: Arc<Self>,
        job: Arc<Job>,
        tries: &mut Tries,
        flight: InFlightGuard,
    ) -> Result<Response<Body>, Refusal> {
        let mut begin = Begin {
            forwarder: &self,
            job: &job,
            tries,
            failure: None,
        };
        let begun = match attempts::run(&mut begin).await {
            Ok(begun) => begun,
            Err(refusal) => return begin.failure.ok_or(refusal),
        };
        let (mut segment, events) = match begun {
            Begun::Stream(segment, events) => (*segment, events),
            Begun::Failure(answer) => return Ok(answer),
        };
        self.started(&job, &mut segment);
        let parts = segment.opened.parts.clone();
        let closing = Closing {
            forwarder: self.clone(),
            job,
            runs: 1,
            events: 0,
            outcome: "left",
            _flight: flight,
        };
        let tries = tries.clone();
        Ok(answer(&parts, self.body(closing, segment, events, tries)))
    }

    fn started(&self, job: &Job, segment: &mut Segment) {
        segment.opened.slot.read();
        self.shared.count_start(job.admission.customer.as_deref());
        let waited = self.shared.now().since(job.arrived);
        self.shared
            .metrics
            .observe_first_answer(&job.admission.route.name, waited);
    }

    fn body(self: Arc<Self>, closing: Closing, segment: Segment, first: Events, mut tries: Tries) -> Body {
        let pieces = stream! {
            // Whole, so that it is dropped (and logged) with the stream.
            let mut closing = closing;
            let job = closing.job.clone();
            let mut segment = segment;
            closing.events += first.ids.len();
            if !first.bytes.is_empty() {
                yield Ok(Frame::data(first.bytes));
            }
            segment.rest(self.shared.now());
            loop {
                match segment.next(&job, &self.shared).await {
                    Progress::Events(events) => {
                        closing.events += events.ids.len();
                        segment.tell(self.shared.now(), &events);
                        yield Ok(Frame::data(events.bytes));
                    }
                    Progress::End => {
                        closing.outcome = "ok";
                        segment.finish(&self);
                        return;
                    }
                    Progress::Broken => {
                        let last = segment.abandon(&job);
                        match self.resume(&job, last, &mut tries).await {
                            Some(next) => segment = next,
                            None => {
                                closing.outcome = "broken";
                                yield Err(Cut);
                                return;
                            }
                        }
                        closing.runs += 1;
                    }
                    Progress::Over => {
                        closing.outcome = "over";
                        yield Err(Cut);
                        return;
                    }
                }
            }
        };
        BodyExt::boxed_unsync(StreamBody::new(pieces))
    }

    /// Another runner that goes on after `last`; none if the stream may not go on.
    async fn resume(&self, job: &Job, last: Option<u64>, tries: &mut Tries) -> Option<Segment> {
        let last = last?;
        if self.fail(job, tries, Fault::MayHaveRun).is_some() {
            return None;
        }
        let mut resume = Resume {
            forwarder: self,
            job,
            tries,
            last,
        };
        let mut segment = attempts::run(&mut resume).await.ok()?;
        tracing::info!(
            event = "stream-resumed",
            request = job.head.id,
            runner = segment.opened.slot.id,
            last
        );
        segment.opened.slot.read_again();
        Some(segment)
    }
}

fn answer(parts: &response::Parts, body: Body) -> Response<Body> {
    let mut answer = reply::whole(parts, Bytes::new());
    *answer.body_mut() = body;
    answer
}
