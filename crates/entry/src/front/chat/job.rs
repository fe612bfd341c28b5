//! One chat completion on its way: attempts at runners, and what the caller
//! has so far.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use radishstair_core::config::view::Route;
use radishstair_core::dispatch::{Assignment, Outcome, Submission};
use radishstair_core::error::{Kind, Ran, Refusal};
use radishstair_core::id::CallId;
use radishstair_core::kernel::{Event, Reply};
use radishstair_core::retry::{Fault, History, Rule};
use radishstair_core::runner;
use radishstair_core::usage::Record;
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};

use super::{Piece, Usage};
use crate::front::sse::Splitter;
use crate::handle::Handle;
use crate::in_flight::InFlightGuard;
use crate::metrics::Class;
use crate::upstream::attempts::{self, AttemptError, Attempts};
use crate::upstream::pool::Pool;
use crate::upstream::{self, Exchange, Failure, ResponseConnection, RunnerRequest, has_leaving_notice};

/// Runners tried for one request.
const TRIES: u32 = 3;
/// Longest silence of a runner within a stream.
const SILENCE: Duration = Duration::from_secs(20);

/// Longest wait for the end of a body whose stream has ended.
const TAIL: Duration = Duration::from_millis(50);

type Pieces = mpsc::Sender<Piece>;
type Head = oneshot::Sender<Result<String, Refusal>>;

/// One request on its way.
pub struct Job {
    pub handle: Arc<Handle>,
    pub pool: Arc<Pool>,
    pub id: String,
    pub body: Value,
    pub route: Route,
    pub customer: String,
    pub key: String,
    pub prefix: u64,
    pub promised: bool,
    pub limit: u32,
    pub began: Instant,
    pub _flight: InFlightGuard,
}

/// Why an answer is not whole.
#[derive(Debug)]
enum End {
    CallerGone,
    Refused(Refusal),
}

impl<T: Into<Refusal>> From<T> for End {
    fn from(refusal: T) -> Self {
        End::Refused(refusal.into())
    }
}

/// A request that goes from runner to runner until its answer is whole; each goes on
/// after what the caller has.
struct Chat<'a> {
    job: &'a Job,
    state: &'a mut Progress,
    pieces: &'a Pieces,
    tries: History<runner::Key>,
    /// How the last attempt ended.
    last: Refusal,
}

impl Chat<'_> {
    /// Generating may be repeated.
    const RULE: Rule = Rule {
        at_most_once: false,
        max_attempts: TRIES,
        max_unreachable: TRIES,
    };
}

impl Attempts for Chat<'_> {
    type Permit = Assignment;
    type Answer = ();
    type Error = End;

    async fn acquire(&mut self) -> Result<Assignment, End> {
        let start = self.job.seek(self.state, self.pieces, self.tries.tried()).await;
        let start = start.map_err(|end| match end {
            End::CallerGone => End::CallerGone,
            End::Refused(refusal) => End::Refused(self.tries.adjust_refusal(refusal)),
        })?;
        if !self.tries.tried().is_empty() && self.state.usage.tokens > 0 {
            let class = self.job.class();
            self.job
                .handle
                .metrics
                .resumed_streams
                .get_or_create(&class)
                .inc();
        }
        self.tries.record_choice(start.runner);
        Ok(start)
    }

    async fn attempt(&mut self, start: Assignment) -> Result<(), AttemptError<End>> {
        self.tries.record_send();
        let refusal = match self.job.attempt(&start, self.state, self.pieces).await {
            Ok(()) => return Ok(()),
            Err(End::Refused(refusal)) if refusal.kind != Kind::KeyWithdrawn => refusal,
            Err(end) => return Err(AttemptError::Final(end)),
        };
        let fault = match refusal.kind {
            Kind::NoRunner => {
                self.tries.revert_send();
                Fault::Unreachable
            }
            _ => Fault::MayHaveRun,
        };
        self.last = refusal;
        Err(AttemptError::Failed(fault))
    }

    fn record_failure(&mut self, fault: Fault) -> Option<End> {
        let bar = self.tries.record_failure(&Self::RULE, fault, false, || true)?;
        tracing::info!(event = "not-repeated", id = self.job.id, reason = bar.name());
        Some(End::Refused(self.last.clone()))
    }
}

impl Job {
    /// Runs it to its end, whatever that is.
    pub async fn run(self, head: Head, pieces: Pieces) {
        let mut state = Progress {
            head: Some(head),
            usage: Usage::default(),
        };
        let mut chat = Chat {
            job: &self,
            state: &mut state,
            pieces: &pieces,
            tries: History::default(),
            last: Kind::NoRunner.into(),
        };
        let outcome = attempts::run(&mut chat).await;
        self.finish(outcome, state, &pieces).await;
    }

    fn class(&self) -> Class {
        Class {
            class: self.route.class.clone(),
        }
    }

    /// Asks for a runner.
    async fn seek(
        &self,
        state: &mut Progress,
        pieces: &Pieces,
        avoid: &[runner::Key],
    ) -> Result<Assignment, End> {
        let call = self.handle.next_call_id();
        let seek = Submission {
            call,
            tier: self.route.tier.clone(),
            customer: self.customer.clone(),
            key: self.key.clone(),
            class: self.route.class.clone(),
            pools: self.route.pools.clone(),
            max_tokens: self.limit.saturating_sub(state.usage.tokens).max(1),
            prefix_hash: Some(self.prefix),
            avoid: avoid.to_vec(),
            reserved: self.promised,
        };
        let reply = self.handle.request(call, Event::Acquire(seek));
        tokio::select! {
            reply = reply => match reply {
                Ok(Reply::Start(start)) => Ok(start),
                Ok(Reply::Refused(refusal)) => Err(refusal.into()),
                _ => Err(Kind::Stopping.into()),
            },
            () = state.caller_gone(pieces) => {
                self.handle.notify(Event::Cancel(call));
                Err(End::CallerGone)
            }
        }
    }

    async fn attempt(&self, start: &Assignment, state: &mut Progress, pieces: &Pieces) -> Result<(), End> {
        let before = state.usage.tokens;
        let began = Instant::now();
        let attempt = self.stream(start, state, pieces).await;
        let tokens = state.usage.tokens - before;
        let outcome = match &attempt {
            Ok(()) => Outcome::Completed {
                tokens,
                ms_per_token: began.elapsed().as_secs_f64() * 1_000.0 / f64::from(tokens.max(1)),
            },
            Err(End::CallerGone) => Outcome::Cancelled { tokens },
            Err(End::Refused(refusal)) => match refusal.kind {
                Kind::KeyWithdrawn => Outcome::Cancelled { tokens },
                Kind::NoRunner => Outcome::ConnectionRefused,
                _ => Outcome::Failed { tokens },
            },
        };
        self.release(start.call, outcome);
        attempt
    }

    fn release(&self, call: CallId, outcome: Outcome) {
        self.handle.notify(Event::Release { call, outcome });
    }

    async fn stream(&self, start: &Assignment, state: &mut Progress, pieces: &Pieces) -> Result<(), End> {
        let outgoing = RunnerRequest {
            path: "/v1/chat/completions".into(),
            id: self.id.clone(),
            body: self.upstream_body(state.usage.tokens),
        };
        let now = self.handle.clock.now();
        let sent = tokio::select! {
            sent = upstream::send(&self.pool, now, start, &outgoing, false) => sent,
            () = state.caller_gone(pieces) => return Err(End::CallerGone),
        };
        let (answer, kept) = sent.map(Exchange::split).map_err(|failure| match failure {
            Failure::NotSent => Kind::NoRunner,
            Failure::MaybeSent => Kind::UpstreamBroken,
        })?;
        if has_leaving_notice(&answer) {
            self.handle.notify(Event::RunnerLeaving(start.name.clone()));
        }
        if answer.status() != hyper::StatusCode::OK {
            let detail = format!("the runner answered {}", answer.status());
            return Err(Refusal::new(Kind::UpstreamBroken).detail(detail).into());
        }
        let mut body = answer.into_body();
        self.relay(start, &mut body, state, pieces).await?;
        self.keep(body, kept).await;
        Ok(())
    }

    /// Gives the connection back if nothing follows the stream's end.
    async fn keep(&self, mut body: Incoming, kept: ResponseConnection) {
        if let Ok(None) = tokio::time::timeout(TAIL, body.frame()).await {
            kept.release(&self.pool, self.handle.clock.now());
        }
    }

    async fn relay(
        &self,
        start: &Assignment,
        body: &mut Incoming,
        state: &mut Progress,
        pieces: &Pieces,
    ) -> Result<(), End> {
        let mut splitter = Splitter::default();
        let mut finished = false;
        loop {
            let frame = tokio::select! {
                frame = tokio::time::timeout(SILENCE, body.frame()) => frame,
                () = state.caller_gone(pieces) => return Err(End::CallerGone),
            };
            let bytes = match frame {
                Err(_) => return Err(Kind::UpstreamTimeout.into()),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(_) => return Err(Kind::UpstreamBroken.into()),
            };
            if !splitter.push(&bytes) {
                return Err(Kind::UpstreamBroken.into());
            }
            while let Some(event) = splitter.next_event() {
                if &event[..] == b"[DONE]" {
                    return match finished {
                        true => Ok(()),
                        false => Err(Kind::UpstreamBroken.into()),
                    };
                }
                let Some(chunk) = self.chunk(&event) else {
                    return Err(Kind::UpstreamCrossed.into());
                };
                finished |= chunk.finished;
                if !self.handle.view.load().is_key_valid(&self.key) {
                    return Err(Kind::KeyWithdrawn.into());
                }
                state.advance(self, start, &chunk);
                if pieces.send(Piece::Event(event)).await.is_err() {
                    return Err(End::CallerGone);
                }
            }
        }
    }

    /// Reads a chunk; `None` when it belongs to another request, which a
    /// confused runner may send and which must not reach this caller.
    fn chunk(&self, event: &Bytes) -> Option<Chunk> {
        let value: Value = serde_json::from_slice(event).ok()?;
        if value.get("id")?.as_str()? != self.id {
            return None;
        }
        let choice = value.get("choices")?.get(0)?;
        let usage = value
            .get("usage")
            .and_then(|usage| usage.get("prompt_tokens")?.as_u64());
        Some(Chunk {
            text: choice
                .get("delta")
                .and_then(|delta| delta.get("content"))
                .is_some(),
            finished: choice.get("finish_reason").is_some_and(Value::is_string),
            prompt: usage,
        })
    }

    fn upstream_body(&self, tokens: u32) -> Bytes {
        let mut body = self.body.clone();
        if let Some(object) = body.as_object_mut() {
            object.insert("stream".into(), Value::Bool(true));
            object.insert("resume_from".into(), tokens.into());
            object.remove("metadata");
        }
        body.to_string().into()
    }

    async fn finish(&self, outcome: Result<(), End>, mut state: Progress, pieces: &Pieces) {
        let whole = outcome.is_ok();
        let name = match &outcome {
            Ok(()) => "ok",
            Err(End::CallerGone) => "caller-gone",
            Err(End::Refused(refusal)) => refusal.kind.name(),
        };
        self.handle.metrics.count_request(&self.route.class, name);
        if state.usage.tokens > 0 || whole {
            self.handle.notify(Event::RecordUsage(Record {
                customer: self.customer.clone(),
                class: self.route.class.clone(),
                prompt_tokens: state.usage.prompt,
                output_tokens: u64::from(state.usage.tokens),
                completed: whole,
            }));
        }
        tracing::info!(
            event = "request",
            id = self.id,
            class = self.route.class,
            customer = self.customer,
            outcome = name,
            tokens = state.usage.tokens,
            ms = self.began.elapsed().as_millis() as u64
        );
        match outcome {
            Ok(()) => {
                let _ = pieces.send(Piece::End(state.usage)).await;
            }
            Err(End::CallerGone) => {}
            Err(End::Refused(refusal)) => match state.head.take() {
                Some(head) => {
                    let refusal = self
                        .handle
                        .sign_reservation(refusal, &self.customer, &self.route.class);
                    let _ = head.send(Err(refusal));
                }
                None => {
                    // Some of it ran, whatever the last attempt says.
                    let refusal = Refusal {
                        ran: Ran::Ran,
                        ..refusal
                    };
                    let _ = pieces.send(Piece::Broken(refusal)).await;
                }
            },
        }
    }
}

struct Chunk {
    text: bool,
    finished: bool,
    prompt: Option<u64>,
}

/// What the caller has so far.
struct Progress {
    head: Option<Head>,
    usage: Usage,
}

impl Progress {
    fn advance(&mut self, job: &Job, start: &Assignment, chunk: &Chunk) {
        if let Some(head) = self.head.take() {
            let _ = head.send(Ok(start.name.clone()));
            let class = Class {
                class: job.route.class.clone(),
            };
            job.handle
                .metrics
                .first_answer
                .get_or_create(&class)
                .observe(job.began.elapsed().as_secs_f64());
        }
        if chunk.text {
            self.usage.tokens += 1;
            let class = Class {
                class: job.route.class.clone(),
            };
            job.handle.metrics.tokens.get_or_create(&class).inc();
        }
        if let Some(prompt) = chunk.prompt {
            self.usage.prompt = prompt;
        }
    }

    /// Resolves when nobody waits for the answer any more.
    async fn caller_gone(&mut self, pieces: &Pieces) {
        match &mut self.head {
            Some(head) => head.closed().await,
            None => pieces.closed().await,
        }
    }
}
