//! One chat completion: its attempts at runners, and the progress of the
//! answer to the caller.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use radishstair_core::config::view::Route;
use radishstair_core::dispatch::{Assignment, Outcome, Submission};
use radishstair_core::error::{Execution, Kind, Refusal};
use radishstair_core::id::CallId;
use radishstair_core::kernel::{Event, Reply};
use radishstair_core::retry::{Fault, History, Rule};
use radishstair_core::runner;
use radishstair_core::usage::Record;
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};

use super::{ResponsePart, Usage};
use crate::front::sse::Splitter;
use crate::handle::Handle;
use crate::in_flight::InFlightGuard;
use crate::metrics::ClassLabel;
use crate::upstream::attempts::{self, AttemptError, Attempts};
use crate::upstream::pool::Pool;
use crate::upstream::{self, Exchange, Failure, Notices, ResponseConnection, RunnerRequest};

/// Attempts at runners for one request.
const MAX_ATTEMPTS: u32 = 3;
/// Longest time without data from a runner within a stream.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest wait for the end of the body after the stream's last event.
const BODY_END_TIMEOUT: Duration = Duration::from_millis(50);

type PartSender = mpsc::Sender<ResponsePart>;
type HeadSender = oneshot::Sender<Result<String, Refusal>>;

/// A chat completion in progress.
pub struct Job {
    pub handle: Arc<Handle>,
    pub pool: Arc<Pool>,
    pub id: String,
    pub body: Value,
    pub route: Route,
    pub customer: String,
    pub key: String,
    pub prefix: u64,
    pub reserved: bool,
    pub max_tokens: u32,
    pub started: Instant,
    pub _flight: InFlightGuard,
}

/// Why an answer is incomplete.
#[derive(Debug)]
enum Abort {
    CallerGone,
    Refused(Refusal),
}

impl<T: Into<Refusal>> From<T> for Abort {
    fn from(refusal: T) -> Self {
        Abort::Refused(refusal.into())
    }
}

/// A request that is tried at several runners until its answer is complete. Each
/// attempt resumes after the tokens that the caller already has.
struct ChatAttempts<'a> {
    job: &'a Job,
    progress: &'a mut Progress,
    parts: &'a PartSender,
    history: History<runner::Key>,
    /// Refusal of the last attempt.
    last_refusal: Refusal,
}

impl ChatAttempts<'_> {
    /// A generation may run more than once.
    const RULE: Rule = Rule {
        at_most_once: false,
        max_attempts: MAX_ATTEMPTS,
        max_unreachable: MAX_ATTEMPTS,
    };
}

impl Attempts for ChatAttempts<'_> {
    type Permit = Assignment;
    type Answer = ();
    type Error = Abort;

    async fn acquire(&mut self) -> Result<Assignment, Abort> {
        let assignment = self
            .job
            .acquire_runner(self.progress, self.parts, self.history.tried())
            .await;
        let assignment = assignment.map_err(|abort| match abort {
            Abort::CallerGone => Abort::CallerGone,
            Abort::Refused(refusal) => Abort::Refused(self.history.adjust_refusal(refusal)),
        })?;
        if !self.history.tried().is_empty() && self.progress.usage.tokens > 0 {
            let class = self.job.class();
            self.job
                .handle
                .metrics
                .resumed_streams
                .get_or_create(&class)
                .inc();
        }
        self.history.record_choice(assignment.runner);
        Ok(assignment)
    }

    async fn attempt(&mut self, assignment: Assignment) -> Result<(), AttemptError<Abort>> {
        self.history.record_send();
        let refusal = match self.job.attempt(&assignment, self.progress, self.parts).await {
            Ok(()) => return Ok(()),
            Err(Abort::Refused(refusal)) if refusal.kind != Kind::KeyWithdrawn => refusal,
            Err(abort) => return Err(AttemptError::Final(abort)),
        };
        let fault = match refusal.kind {
            Kind::NoRunner => {
                self.history.revert_send();
                Fault::Unreachable
            }
            _ => Fault::MayHaveRun,
        };
        self.last_refusal = refusal;
        Err(AttemptError::Failed(fault))
    }

    fn record_failure(&mut self, fault: Fault) -> Option<Abort> {
        let denial = self.history.record_failure(&Self::RULE, fault, false, || true)?;
        tracing::info!(event = "not-repeated", id = self.job.id, reason = denial.name());
        Some(Abort::Refused(self.last_refusal.clone()))
    }
}

impl Job {
    /// Runs the request until it is answered, refused or cancelled.
    pub async fn run(self, head: HeadSender, parts: PartSender) {
        let mut progress = Progress {
            head: Some(head),
            usage: Usage::default(),
        };
        let mut attempts = ChatAttempts {
            job: &self,
            progress: &mut progress,
            parts: &parts,
            history: History::default(),
            last_refusal: Kind::NoRunner.into(),
        };
        let outcome = attempts::run(&mut attempts).await;
        self.finish(outcome, progress, &parts).await;
    }

    fn class(&self) -> ClassLabel {
        ClassLabel {
            class: self.route.class.clone(),
        }
    }

    /// Acquires a slot at a runner; cancelled when the caller disconnects.
    async fn acquire_runner(
        &self,
        progress: &mut Progress,
        parts: &PartSender,
        avoid: &[runner::Key],
    ) -> Result<Assignment, Abort> {
        let call = self.handle.next_call_id();
        let submission = Submission {
            call,
            tier: self.route.tier.clone(),
            customer: self.customer.clone(),
            key: self.key.clone(),
            class: self.route.class.clone(),
            pools: self.route.pools.clone(),
            max_tokens: self.max_tokens.saturating_sub(progress.usage.tokens).max(1),
            prefix_hash: Some(self.prefix),
            avoid: avoid.to_vec(),
            reserved: self.reserved,
        };
        let reply = self.handle.request(call, Event::Acquire(submission));
        tokio::select! {
            reply = reply => match reply {
                Ok(Reply::Start(assignment)) => Ok(assignment),
                Ok(Reply::Refused(refusal)) => Err(refusal.into()),
                _ => Err(Kind::Stopping.into()),
            },
            () = progress.caller_gone(parts) => {
                self.handle.notify(Event::Cancel(call));
                Err(Abort::CallerGone)
            }
        }
    }

    async fn attempt(
        &self,
        assignment: &Assignment,
        progress: &mut Progress,
        parts: &PartSender,
    ) -> Result<(), Abort> {
        let before = progress.usage.tokens;
        let started = Instant::now();
        let attempt = self.stream(assignment, progress, parts).await;
        let tokens = progress.usage.tokens - before;
        let outcome = match &attempt {
            Ok(()) => Outcome::Completed {
                tokens,
                ms_per_token: started.elapsed().as_secs_f64() * 1_000.0 / f64::from(tokens.max(1)),
            },
            Err(Abort::CallerGone) => Outcome::Cancelled { tokens },
            Err(Abort::Refused(refusal)) => match refusal.kind {
                Kind::KeyWithdrawn => Outcome::Cancelled { tokens },
                Kind::NoRunner => Outcome::ConnectionRefused,
                _ => Outcome::Failed { tokens },
            },
        };
        self.release(assignment.call, outcome);
        attempt
    }

    fn release(&self, call: CallId, outcome: Outcome) {
        self.handle.notify(Event::Release { call, outcome });
    }

    async fn stream(
        &self,
        assignment: &Assignment,
        progress: &mut Progress,
        parts: &PartSender,
    ) -> Result<(), Abort> {
        let runner_request = RunnerRequest {
            path: "/v1/chat/completions".into(),
            id: self.id.clone(),
            body: self.request_body(progress.usage.tokens),
        };
        let now = self.handle.clock.now();
        let sent = tokio::select! {
            sent = upstream::send(&self.pool, now, assignment, &runner_request, false) => sent,
            () = progress.caller_gone(parts) => return Err(Abort::CallerGone),
        };
        let (answer, connection) = sent.map(Exchange::split).map_err(|failure| match failure {
            Failure::NotSent => Kind::NoRunner,
            Failure::MaybeSent => Kind::UpstreamBroken,
        })?;
        let notices = Notices::of(&answer);
        if answer.status() != hyper::StatusCode::OK {
            // Only events name the request that they answer.
            notices.notify(&self.handle, &assignment.name);
            let detail = format!("the runner answered {}", answer.status());
            return Err(Refusal::new(Kind::UpstreamBroken).detail(detail).into());
        }
        let mut body = answer.into_body();
        self.relay(assignment, &mut body, notices, progress, parts)
            .await?;
        self.return_connection(body, connection).await;
        Ok(())
    }

    /// Returns the connection to the pool if the body ends after the last event.
    async fn return_connection(&self, mut body: Incoming, connection: ResponseConnection) {
        if let Ok(None) = tokio::time::timeout(BODY_END_TIMEOUT, body.frame()).await {
            connection.release(&self.pool, self.handle.clock.now());
        }
    }

    async fn relay(
        &self,
        assignment: &Assignment,
        body: &mut Incoming,
        notices: Notices,
        progress: &mut Progress,
        parts: &PartSender,
    ) -> Result<(), Abort> {
        let mut notices = Some(notices);
        let mut splitter = Splitter::default();
        let mut finished = false;
        loop {
            let frame = tokio::select! {
                frame = tokio::time::timeout(IDLE_TIMEOUT, body.frame()) => frame,
                () = progress.caller_gone(parts) => return Err(Abort::CallerGone),
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
                let Some(chunk) = self.parse_chunk(&event) else {
                    return Err(Kind::UpstreamCrossed.into());
                };
                if let Some(notices) = notices.take() {
                    notices.notify(&self.handle, &assignment.name);
                }
                finished |= chunk.finished;
                if !self.handle.view.load().is_key_valid(&self.key) {
                    return Err(Kind::KeyWithdrawn.into());
                }
                progress.record_chunk(self, assignment, &chunk);
                if parts.send(ResponsePart::Event(event)).await.is_err() {
                    return Err(Abort::CallerGone);
                }
            }
        }
    }

    /// Parses a chunk; `None` if its id is another request's. A faulty runner
    /// may send such a chunk, and it must not reach this caller.
    fn parse_chunk(&self, event: &Bytes) -> Option<Chunk> {
        let value: Value = serde_json::from_slice(event).ok()?;
        if value.get("id")?.as_str()? != self.id {
            return None;
        }
        let choice = value.get("choices")?.get(0)?;
        let usage = value
            .get("usage")
            .and_then(|usage| usage.get("prompt_tokens")?.as_u64());
        Some(Chunk {
            has_text: choice
                .get("delta")
                .and_then(|delta| delta.get("content"))
                .is_some(),
            finished: choice.get("finish_reason").is_some_and(Value::is_string),
            prompt_tokens: usage,
        })
    }

    fn request_body(&self, tokens: u32) -> Bytes {
        let mut body = self.body.clone();
        if let Some(object) = body.as_object_mut() {
            object.insert("stream".into(), Value::Bool(true));
            object.insert("resume_from".into(), tokens.into());
            object.remove("metadata");
        }
        body.to_string().into()
    }

    async fn finish(&self, outcome: Result<(), Abort>, mut progress: Progress, parts: &PartSender) {
        let is_complete = outcome.is_ok();
        let name = match &outcome {
            Ok(()) => "ok",
            Err(Abort::CallerGone) => "caller-gone",
            Err(Abort::Refused(refusal)) => refusal.kind.name(),
        };
        self.handle.metrics.count_request(&self.route.class, name);
        if progress.usage.tokens > 0 || is_complete {
            self.handle.notify(Event::RecordUsage(Record {
                customer: self.customer.clone(),
                class: self.route.class.clone(),
                prompt_tokens: progress.usage.prompt_tokens,
                output_tokens: u64::from(progress.usage.tokens),
                completed: is_complete,
            }));
        }
        tracing::info!(
            event = "request",
            id = self.id,
            class = self.route.class,
            customer = self.customer,
            outcome = name,
            tokens = progress.usage.tokens,
            ms = self.started.elapsed().as_millis() as u64
        );
        match outcome {
            Ok(()) => {
                let _ = parts.send(ResponsePart::End(progress.usage)).await;
            }
            Err(Abort::CallerGone) => {}
            Err(Abort::Refused(refusal)) => match progress.head.take() {
                Some(head) => {
                    let refusal = self
                        .handle
                        .sign_reservation(refusal, &self.customer, &self.route.class);
                    let _ = head.send(Err(refusal));
                }
                None => {
                    // Part of the answer was sent, so it ran, even if the last
                    // attempt did not.
                    let refusal = Refusal {
                        ran: Execution::Ran,
                        ..refusal
                    };
                    let _ = parts.send(ResponsePart::Error(refusal)).await;
                }
            },
        }
    }
}

/// What an event of the runner's stream contains.
struct Chunk {
    has_text: bool,
    finished: bool,
    prompt_tokens: Option<u64>,
}

/// What was sent to the caller so far.
struct Progress {
    head: Option<HeadSender>,
    usage: Usage,
}

impl Progress {
    fn record_chunk(&mut self, job: &Job, assignment: &Assignment, chunk: &Chunk) {
        if let Some(head) = self.head.take() {
            let _ = head.send(Ok(assignment.name.clone()));
            let class = ClassLabel {
                class: job.route.class.clone(),
            };
            job.handle
                .metrics
                .first_answer
                .get_or_create(&class)
                .observe(job.started.elapsed().as_secs_f64());
        }
        if chunk.has_text {
            self.usage.tokens += 1;
            let class = ClassLabel {
                class: job.route.class.clone(),
            };
            job.handle.metrics.tokens.get_or_create(&class).inc();
        }
        if let Some(prompt) = chunk.prompt_tokens {
            self.usage.prompt_tokens = prompt;
        }
    }

    /// Resolves when the caller has disconnected.
    async fn caller_gone(&mut self, parts: &PartSender) {
        match &mut self.head {
            Some(head) => head.closed().await,
            None => parts.closed().await,
        }
    }
}
