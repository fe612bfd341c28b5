//! Forwarding of event streams, with resumption on another runner.
//!
//! Only complete events are forwarded. A resumable stream that breaks off is
//! resumed after the last forwarded event, within the same response. If its
//! runner only falls silent, the module `takeover` decides which runner goes on.

use std::sync::Arc;
use std::time::Duration;

use async_stream::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use radishstair_core::error::{Kind, Refusal};
use radishstair_core::proxy::fleet::AttemptResult;
use radishstair_core::proxy::origin::Origin;
use radishstair_core::proxy::pause::{Cause, Pauses};
use radishstair_core::proxy::run::{Action, Run};
use radishstair_core::retry::Fault;

use super::events::Events;
use super::forward::{AttemptError, Forwarder};
use super::job::{AttemptLog, Job};
use super::origins;
use super::reply::{self, Body, Truncated};
use super::slot::Slot;
use crate::in_flight::InFlightGuard;
use crate::upstream::attempts::{self, Attempts};

pub(super) mod copies;
mod segment;
mod takeover;

use segment::{Progress, Segment};
use takeover::Outcome;

/// Logs the end of a stream when dropped, also if the caller disconnects.
struct EndLog {
    forwarder: Arc<Forwarder>,
    job: Arc<Job>,
    segments: u32,
    events: usize,
    pauses: Pauses,
    outcome: &'static str,
    _flight: InFlightGuard,
}

impl EndLog {
    /// Records events from a runner, before they are passed on.
    fn record_received(&mut self, events: &Events) {
        self.events += events.ids.len();
        let now = self.forwarder.shared.now();
        self.pauses.on_received(now, events.ids.len());
    }

    /// Records that the caller has taken what was passed on.
    fn record_taken(&mut self) {
        self.pauses.on_taken(self.forwarder.shared.now());
    }

    /// Records that the stream continues on another runner.
    fn record_continuation(&mut self, cause: Cause) {
        self.segments += 1;
        self.pauses.on_continuation(cause);
    }
}

impl Drop for EndLog {
    fn drop(&mut self) {
        let shared = &self.forwarder.shared;
        let now = shared.now();
        let route = &self.job.admission.route;
        shared.metrics.count_request(&route.name, self.outcome);
        shared.metrics.pauses.observe(route, &self.pauses);
        let as_ms = |duration: Duration| duration.as_millis() as u64;
        tracing::info!(
            event = "stream-ended",
            request = self.job.metadata.id,
            route = route.name,
            outcome = self.outcome,
            runs = self.segments,
            events = self.events,
            first_ms = self.pauses.first().map(as_ms),
            pause_ms = self.pauses.longest().map(as_ms),
            pause_by = self.pauses.cause().name(),
            after_ms = as_ms(now.since(self.job.arrived))
        );
    }
}

/// Start of a response to a stream request.
enum StartOutcome {
    /// A stream and its first events.
    Stream(Box<Segment>, Events),
    /// A runner's error response, complete.
    Failure(Response<Body>),
}

/// Attempts at starting a stream, up to its first event.
struct StreamStart<'a> {
    forwarder: &'a Forwarder,
    job: &'a Job,
    log: &'a mut AttemptLog,
    /// Last server error of a runner, forwarded if no other runner succeeds.
    failure: Option<Response<Body>>,
}

impl Attempts for StreamStart<'_> {
    type Permit = Slot;
    type Answer = StartOutcome;
    type Error = Refusal;

    async fn acquire(&mut self) -> Result<Slot, Refusal> {
        self.forwarder.acquire_slot(self.job, self.log).await
    }

    async fn attempt(&mut self, slot: Slot) -> Result<StartOutcome, AttemptError> {
        let response = self.forwarder.send(self.job, None, slot, self.log).await?;
        if !response.parts.status.is_success() {
            let collected = self.forwarder.read_response(self.job, response).await;
            let (parts, body) = collected.ok_or(AttemptError::Failed(Fault::MayHaveRun))?;
            let reply = reply::from_runner(&parts, body.boxed_unsync());
            if !parts.status.is_server_error() {
                return Ok(StartOutcome::Failure(reply));
            }
            // A request that failed with a server error may succeed on another runner.
            self.failure = Some(reply);
            return Err(AttemptError::Failed(Fault::MayHaveRun));
        }
        let mut segment = Segment::new(response, self.job, None);
        match segment.next(self.job, &self.forwarder.shared).await {
            Progress::Events(events) => Ok(StartOutcome::Stream(Box::new(segment), events)),
            Progress::Complete => Ok(StartOutcome::Stream(Box::new(segment), Events::default())),
            progress @ (Progress::Broken | Progress::Silent) => {
                segment.abandon(self.job, progress.attempt_result());
                Err(AttemptError::Failed(Fault::MayHaveRun))
            }
            Progress::TimedOut => Err(AttemptError::Final(Kind::UpstreamTimeout.into())),
        }
    }

    fn record_failure(&mut self, fault: Fault) -> Option<Refusal> {
        self.forwarder.record_failure(self.job, self.log, fault)
    }
}

/// Attempts at resuming a stream after its last event.
struct Resume<'a> {
    forwarder: &'a Forwarder,
    job: &'a Job,
    log: &'a mut AttemptLog,
    last_event: u64,
}

impl Attempts for Resume<'_> {
    type Permit = Slot;
    type Answer = Segment;
    type Error = Refusal;

    async fn acquire(&mut self) -> Result<Slot, Refusal> {
        self.forwarder.acquire_slot(self.job, self.log).await
    }

    async fn attempt(&mut self, slot: Slot) -> Result<Segment, AttemptError> {
        let after = Some(self.last_event);
        let response = self.forwarder.send(self.job, after, slot, self.log).await?;
        match response.parts.status.is_success() {
            true => Ok(Segment::new(response, self.job, after)),
            false => Err(AttemptError::Failed(Fault::MayHaveRun)),
        }
    }

    fn record_failure(&mut self, fault: Fault) -> Option<Refusal> {
        self.forwarder.record_failure(self.job, self.log, fault)
    }
}

impl Forwarder {
    /// Forwards a stream request; the response's body lasts as long as the stream.
    ///
    /// # Errors
    ///
    /// The refusal for the caller, if no runner has sent a first event.
    pub async fn forward_stream(
        self: Arc<Self>,
        job: Arc<Job>,
        log: &mut AttemptLog,
        flight: InFlightGuard,
    ) -> Result<Response<Body>, Refusal> {
        let mut start = StreamStart {
            forwarder: &self,
            job: &job,
            log,
            failure: None,
        };
        let outcome = match attempts::run(&mut start).await {
            Ok(outcome) => outcome,
            Err(refusal) => return start.failure.ok_or(refusal),
        };
        let (mut segment, events) = match outcome {
            StartOutcome::Stream(segment, events) => (*segment, events),
            StartOutcome::Failure(reply) => return Ok(reply),
        };
        self.record_start(&job, &mut segment);
        if log.origin == Origin::New && !events.ids.is_empty() {
            log.origin = origins::begin(&self.shared, &job, &segment.response.slot).await;
        }
        let parts = segment.response.parts.clone();
        let end_log = EndLog {
            forwarder: self.clone(),
            pauses: Pauses::new(job.arrived),
            job,
            segments: 1,
            events: 0,
            outcome: "left",
            _flight: flight,
        };
        let log = log.clone();
        Ok(reply::from_runner(
            &parts,
            self.response_body(end_log, segment, events, log),
        ))
    }

    fn record_start(&self, job: &Job, segment: &mut Segment) {
        segment.response.slot.finish_prefill();
        self.shared.count_usage(job.admission.customer.as_deref());
        let waited = self.shared.now().since(job.arrived);
        self.shared
            .metrics
            .observe_first_answer(&job.admission.route.name, waited);
    }

    fn response_body(
        self: Arc<Self>,
        end_log: EndLog,
        segment: Segment,
        first: Events,
        mut log: AttemptLog,
    ) -> Body {
        let frames = stream! {
            // Moved into the stream, so that it is dropped (and logged) with it.
            let mut end_log = end_log;
            let job = end_log.job.clone();
            let mut segment = segment;
            end_log.record_received(&first);
            if !first.bytes.is_empty() {
                yield Ok(Frame::data(first.bytes));
                end_log.record_taken();
            }
            segment.start_timing(self.shared.now());
            let mut run = Run::new(segment.holder());
            let stop_end = self.shared.wait_for_stop_end();
            tokio::pin!(stop_end);
            loop {
                let next = tokio::select! {
                    biased;
                    next = segment.next(&job, &self.shared) => next,
                    () = &mut stop_end => {
                        end_log.outcome = "stopped";
                        yield Err(Truncated);
                        return;
                    }
                };
                let progress = match next {
                    Progress::Silent if !job.is_at_most_once() => match self.outlast_silence(&job, &mut segment, &mut log).await {
                        Outcome::First(progress) => {
                            segment.skip_pause();
                            progress
                        }
                        Outcome::Other(next, events) => {
                            segment.abandon(&job, AttemptResult::Silent);
                            segment = *next;
                            record_resumption(&job, &mut segment);
                            end_log.record_continuation(Cause::Break);
                            Progress::Events(events)
                        }
                    },
                    progress => progress,
                };
                match progress {
                    Progress::Events(events) => {
                        end_log.record_received(&events);
                        segment.record_pause(self.shared.now(), &events);
                        if !events.bytes.is_empty() {
                            yield Ok(Frame::data(events.bytes));
                            end_log.record_taken();
                        }
                    }
                    Progress::Complete => {
                        end_log.outcome = "ok";
                        segment.finish(&self, &job, log.probe);
                        return;
                    }
                    progress @ (Progress::Broken | Progress::Silent) => {
                        let next = match self.on_stop(&job, &mut run, &progress, &segment, &mut log) {
                            Action::Wait => continue,
                            Action::Continue { last_event, .. } => {
                                self.continue_from_copy(&job, &mut run, segment, last_event, &progress, &mut log).await
                            }
                            Action::Resume | Action::End => {
                                let last_event = segment.abandon(&job, progress.attempt_result());
                                self.resume_run(&job, &mut run, last_event, &mut log).await
                            }
                        };
                        match next {
                            Some(next) => segment = next,
                            None => {
                                end_log.outcome = "broken";
                                yield Err(Truncated);
                                return;
                            }
                        }
                        end_log.record_continuation(Cause::Break);
                    }
                    Progress::TimedOut => {
                        end_log.outcome = "over";
                        yield Err(Truncated);
                        return;
                    }
                }
            }
        };
        BodyExt::boxed_unsync(StreamBody::new(frames))
    }

    /// Resumes the stream on another runner; `None` if it cannot be resumed.
    async fn resume(&self, job: &Job, last_event: Option<u64>, log: &mut AttemptLog) -> Option<Segment> {
        let last_event = last_event?;
        if log.origin == Origin::Unknown && !job.is_at_most_once() {
            tracing::info!(
                event = "not-resumed",
                request = job.metadata.id,
                reason = "version-unknown"
            );
            return None;
        }
        if self.record_failure(job, log, Fault::MayHaveRun).is_some() {
            return None;
        }
        let mut resume = Resume {
            forwarder: self,
            job,
            log,
            last_event,
        };
        let mut segment = match attempts::run(&mut resume).await {
            Ok(segment) => segment,
            Err(refusal) => {
                let reason = refusal.kind.name();
                tracing::info!(event = "not-resumed", request = job.metadata.id, reason);
                return None;
            }
        };
        record_resumption(job, &mut segment);
        Some(segment)
    }
}

fn record_resumption(job: &Job, segment: &mut Segment) {
    let slot = &mut segment.response.slot;
    tracing::info!(
        event = "stream-resumed",
        request = job.metadata.id,
        runner = slot.id,
        software = slot.software.label,
        last = segment.events.last_event
    );
    slot.finish_resumed_prefill();
}
