//! Streams: whole events as they come, and going on at another runner.
//!
//! A resumable stream that breaks off goes on after the last event that was
//! passed on, inside the same answer. The former run is closed first, by
//! dropping its connection, so that two runners never work on one stream.

use std::sync::Arc;
use std::time::Duration;

use async_stream::stream;
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use hyper::header::CONTENT_LENGTH;
use hyper::http::response;
use radishstair_core::error::{Kind, Refusal};
use radishstair_core::gate::fleet::Sign;
use tokio::time::timeout;

use super::events::{Cutter, Events};
use super::forward::{Forwarder, Opened};
use super::job::{Job, Tries};
use super::reply::{self, Body, Cut};
use crate::flight::Flight;

/// A runner's part in a stream.
struct Run {
    opened: Opened,
    cutter: Cutter,
    last: Option<u64>,
    framed: bool,
}

enum Piece {
    Events(Events),
    End,
    Broken,
}

impl Run {
    fn new(opened: Opened, last: Option<u64>) -> Self {
        let headers = &opened.parts.headers;
        let framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key("transfer-encoding");
        Self {
            opened,
            cutter: Cutter::default(),
            last,
            framed,
        }
    }

    /// The next whole events.
    async fn next(&mut self) -> Piece {
        loop {
            let Some(frame) = self.opened.body.frame().await else {
                return self.end();
            };
            let Ok(frame) = frame else {
                return Piece::Broken;
            };
            let Some(bytes) = frame.data_ref() else {
                continue;
            };
            let Some(events) = self.cutter.push(bytes) else {
                return Piece::Broken;
            };
            if events.bytes.is_empty() {
                continue;
            }
            if !self.follows(&events.ids) {
                return Piece::Broken;
            }
            return Piece::Events(events);
        }
    }

    /// Without a length or chunks only a whole event tells the end from a break.
    fn end(&self) -> Piece {
        match self.cutter.is_empty() {
            true => Piece::End,
            false => Piece::Broken,
        }
    }

    /// Whether events follow the last one without a gap.
    ///
    /// A runner that goes on elsewhere than asked would give the caller a piece
    /// twice or leave one out.
    fn follows(&mut self, ids: &[u64]) -> bool {
        for id in ids {
            if self.last.is_some_and(|last| *id != last + 1) {
                return false;
            }
            self.last = Some(*id);
        }
        true
    }
}

/// Tells how a stream ended, also when its caller left.
struct Trail {
    forwarder: Arc<Forwarder>,
    job: Arc<Job>,
    runs: u32,
    events: usize,
    outcome: &'static str,
    _flight: Flight,
}

impl Drop for Trail {
    fn drop(&mut self) {
        let shared = &self.forwarder.shared;
        let now = shared.now();
        let route = &self.job.admission.route.name;
        shared.metrics.request(route, self.outcome);
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

impl Forwarder {
    /// Has a stream run; the answer's body goes on as long as the runner does.
    ///
    /// # Errors
    ///
    /// The refusal that the caller gets, if no runner came to its first event.
    pub async fn stream(
        self: Arc<Self>,
        job: Arc<Job>,
        tries: &mut Tries,
        flight: Flight,
    ) -> Result<Response<Body>, Refusal> {
        let mut failure = None;
        loop {
            let opened = match self.seek(&job, None, tries).await {
                Ok(opened) => opened,
                Err(refusal) => return failure.ok_or(refusal),
            };
            if !opened.parts.status.is_success() {
                let answer = self.failure(&job, opened).await?;
                tries.ran = true;
                // A runner's own failure may pass at another runner.
                if answer.status().is_server_error() && self.may_repeat(&job, tries) {
                    failure = Some(answer);
                    continue;
                }
                return Ok(answer);
            }
            let mut run = Run::new(opened, None);
            let piece = self.next(&job, &mut run).await;
            let events = match piece {
                Some(Piece::Events(events)) => events,
                Some(Piece::End) => Events::default(),
                Some(Piece::Broken) => {
                    tries.ran = true;
                    run.opened.slot.sign(Sign::Broken);
                    tracing::info!(
                        event = "stream-broken",
                        request = job.head.id,
                        runner = run.opened.slot.id,
                        events = 0
                    );
                    drop(run);
                    if self.may_repeat(&job, tries) {
                        continue;
                    }
                    return Err(Refusal::new(Kind::UpstreamBroken));
                }
                None => return Err(Refusal::new(Kind::UpstreamTimeout)),
            };
            self.started(&job, &mut run);
            let parts = run.opened.parts.clone();
            let trail = Trail {
                forwarder: self.clone(),
                job,
                runs: 1,
                events: 0,
                outcome: "left",
                _flight: flight,
            };
            return Ok(answer(&parts, self.body(trail, run, events, tries.clone())));
        }
    }

    fn started(&self, job: &Job, run: &mut Run) {
        run.opened.slot.read();
        self.shared.count_start(job.admission.customer.as_deref());
        let waited = self.shared.now().since(job.arrived);
        self.shared.metrics.first_after(&job.admission.route.name, waited);
    }

    /// A runner's failure, passed on whole.
    async fn failure(&self, job: &Job, opened: Opened) -> Result<Response<Body>, Refusal> {
        match self.collect(job, opened).await {
            Some((parts, body)) => Ok(reply::whole(&parts, body)),
            None => Err(Refusal::new(Kind::UpstreamBroken)),
        }
    }

    /// The next piece, or `None` when the caller's time is over.
    ///
    /// A resumable stream whose runner falls silent counts as broken, to go on
    /// elsewhere: a runner behind a cut sends no reset, and probes take seconds
    /// to show it. A silence after which another runner would not help, or that
    /// no other may end, is waited out.
    async fn next(&self, job: &Job, run: &mut Run) -> Option<Piece> {
        let left = job.left(self.shared.now()).unwrap_or(FOREVER);
        let patience = patience(job, run).unwrap_or(FOREVER);
        match timeout(left.min(patience), run.next()).await {
            Ok(piece) => Some(piece),
            Err(_) if patience < left => Some(Piece::Broken),
            Err(_) => None,
        }
    }

    fn body(self: Arc<Self>, trail: Trail, run: Run, first: Events, mut tries: Tries) -> Body {
        let pieces = stream! {
            // Whole, so that it is dropped (and logged) with the stream.
            let mut trail = trail;
            let job = trail.job.clone();
            let mut run = run;
            trail.events += first.ids.len();
            if !first.bytes.is_empty() {
                yield Ok(Frame::data(first.bytes));
            }
            loop {
                match self.next(&job, &mut run).await {
                    Some(Piece::Events(events)) => {
                        trail.events += events.ids.len();
                        yield Ok(Frame::data(events.bytes));
                    }
                    Some(Piece::End) => {
                        trail.outcome = "ok";
                        self.finish(run);
                        return;
                    }
                    Some(Piece::Broken) => {
                        run.opened.slot.sign(Sign::Broken);
                        tracing::info!(
                            event = "stream-broken",
                            request = job.head.id,
                            runner = run.opened.slot.id,
                            last = run.last
                        );
                        let last = run.last;
                        drop(run);
                        tries.ran = true;
                        match self.resume(&job, last, &mut tries).await {
                            Some(next) => run = next,
                            None => {
                                trail.outcome = "broken";
                                yield Err(Cut);
                                return;
                            }
                        }
                        trail.runs += 1;
                    }
                    None => {
                        trail.outcome = "over";
                        yield Err(Cut);
                        return;
                    }
                }
            }
        };
        BodyExt::boxed_unsync(StreamBody::new(pieces))
    }

    /// Another runner that goes on after `last`.
    async fn resume(&self, job: &Job, last: Option<u64>, tries: &mut Tries) -> Option<Run> {
        let last = last?;
        if !self.may_repeat(job, tries) {
            return None;
        }
        let opened = self.seek(job, Some(last), tries).await.ok()?;
        if !opened.parts.status.is_success() {
            return None;
        }
        tracing::info!(
            event = "stream-resumed",
            request = job.head.id,
            runner = opened.slot.id,
            last
        );
        let mut run = Run::new(opened, Some(last));
        run.opened.slot.read();
        Some(run)
    }

    fn finish(&self, run: Run) {
        let Opened { slot, kept, .. } = run.opened;
        slot.sign(Sign::Sound);
        if run.framed {
            self.give(&slot, kept);
        }
    }
}

/// Shortest silence that ends a resumable stream's run: an engine under load
/// pauses for most of a second.
const SILENCE: Duration = Duration::from_millis(1_500);
/// The same in pauses that the operator allows.
const SILENCE_GAPS: u32 = 2;
/// No limit.
const FOREVER: Duration = Duration::from_secs(24 * 3_600);

/// Longest silence of a run that another one could follow.
fn patience(job: &Job, run: &Run) -> Option<Duration> {
    run.last.filter(|_| !job.once())?;
    let gap = job.admission.route.gap?;
    Some((gap * SILENCE_GAPS).max(SILENCE))
}

fn answer(parts: &response::Parts, body: Body) -> Response<Body> {
    let mut answer = reply::whole(parts, Bytes::new());
    *answer.body_mut() = body;
    answer
}
