//! One chat completion on its way: attempts at runners, and what the caller
//! has so far.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use radishstair_core::config::view::Route;
use radishstair_core::dispatch::{Outcome, Seek, Start};
use radishstair_core::error::{Kind, Ran, Refusal};
use radishstair_core::id::Call;
use radishstair_core::kernel::{Event, Reply};
use radishstair_core::runner;
use radishstair_core::usage::Item;
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};

use super::{Piece, Usage};
use crate::flight::Flight;
use crate::front::sse::Splitter;
use crate::handle::Handle;
use crate::metrics::Class;
use crate::upstream::pool::Pool;
use crate::upstream::{self, Exchange, Failure, Kept, Outgoing, leaves};

/// Runners tried for one request.
const TRIES: usize = 3;
/// Longest silence of a runner within a stream.
const SILENCE: Duration = Duration::from_secs(20);

/// Longest wait for the end of a body whose stream has ended.
const END: Duration = Duration::from_millis(50);

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
    pub _flight: Flight,
}

/// How an attempt at one runner ended.
enum Attempt {
    Whole,
    CallerGone,
    Failed(Refusal),
}

impl Job {
    /// Runs it to its end, whatever that is.
    pub async fn run(self, head: Head, pieces: Pieces) {
        let class = Class {
            class: self.route.class.clone(),
        };
        let mut state = Progress {
            head: Some(head),
            usage: Usage::default(),
        };
        let mut avoid = Vec::new();
        let mut outcome = Attempt::Failed(Kind::NoRunner.into());
        for attempt in 0..TRIES {
            let start = match self.seek(&mut state, &pieces, &avoid).await {
                Ok(Some(start)) => start,
                Ok(None) => {
                    outcome = Attempt::CallerGone;
                    break;
                }
                Err(refusal) => {
                    outcome = Attempt::Failed(refusal);
                    break;
                }
            };
            if attempt > 0 && state.usage.tokens > 0 {
                self.handle.metrics.resumed.get_or_create(&class).inc();
            }
            avoid.push(start.runner);
            outcome = self.attempt(&start, &mut state, &pieces).await;
            match &outcome {
                Attempt::Failed(refusal) if refusal.kind != Kind::KeyWithdrawn => {}
                _ => break,
            }
        }
        self.finish(outcome, state, &pieces).await;
    }

    /// Asks for a runner; `None` when the caller went away meanwhile.
    async fn seek(
        &self,
        state: &mut Progress,
        pieces: &Pieces,
        avoid: &[runner::Key],
    ) -> Result<Option<Start>, Refusal> {
        let call = self.handle.call();
        let seek = Seek {
            call,
            tier: self.route.tier.clone(),
            customer: self.customer.clone(),
            key: self.key.clone(),
            class: self.route.class.clone(),
            pools: self.route.pools.clone(),
            tokens: self.limit.saturating_sub(state.usage.tokens).max(1),
            prefix: Some(self.prefix),
            avoid: avoid.to_vec(),
            promised: self.promised,
        };
        let reply = self.handle.ask(call, Event::Seek(seek));
        tokio::select! {
            reply = reply => match reply {
                Ok(Reply::Start(start)) => Ok(Some(start)),
                Ok(Reply::Refused(refusal)) => Err(refusal),
                _ => Err(Kind::Stopping.into()),
            },
            () = state.caller_gone(pieces) => {
                self.handle.tell(Event::Forget(call));
                Ok(None)
            }
        }
    }

    async fn attempt(&self, start: &Start, state: &mut Progress, pieces: &Pieces) -> Attempt {
        let before = state.usage.tokens;
        let began = Instant::now();
        let attempt = self.stream(start, state, pieces).await;
        let tokens = state.usage.tokens - before;
        let outcome = match &attempt {
            Attempt::Whole => Outcome::Whole {
                tokens,
                pace: began.elapsed().as_secs_f64() * 1_000.0 / f64::from(tokens.max(1)),
            },
            Attempt::CallerGone => Outcome::Dropped { tokens },
            Attempt::Failed(refusal) => match refusal.kind {
                Kind::KeyWithdrawn => Outcome::Dropped { tokens },
                Kind::NoRunner => Outcome::Refused,
                _ => Outcome::Broken { tokens },
            },
        };
        self.release(start.call, outcome);
        attempt
    }

    fn release(&self, call: Call, outcome: Outcome) {
        self.handle.tell(Event::Release { call, outcome });
    }

    async fn stream(&self, start: &Start, state: &mut Progress, pieces: &Pieces) -> Attempt {
        let outgoing = Outgoing {
            path: "/v1/chat/completions".into(),
            id: self.id.clone(),
            body: self.upstream_body(state.usage.tokens),
        };
        let now = self.handle.clock.now();
        let sent = tokio::select! {
            sent = upstream::send(&self.pool, now, start, &outgoing, false) => sent,
            () = state.caller_gone(pieces) => return Attempt::CallerGone,
        };
        let (answer, kept) = match sent.map(Exchange::split) {
            Ok(answer) => answer,
            Err(Failure::NotSent) => return Attempt::Failed(Kind::NoRunner.into()),
            Err(Failure::Broken) => return Attempt::Failed(Kind::UpstreamBroken.into()),
        };
        if leaves(&answer) {
            self.handle.tell(Event::Leaving(start.name.clone()));
        }
        if answer.status() != hyper::StatusCode::OK {
            let detail = format!("the runner answered {}", answer.status());
            return Attempt::Failed(Refusal::new(Kind::UpstreamBroken).detail(detail));
        }
        let mut body = answer.into_body();
        let attempt = self.relay(start, &mut body, state, pieces).await;
        if matches!(attempt, Attempt::Whole) {
            self.keep(body, kept).await;
        }
        attempt
    }

    /// Gives the connection back if nothing follows the stream's end.
    async fn keep(&self, mut body: Incoming, kept: Kept) {
        if let Ok(None) = tokio::time::timeout(END, body.frame()).await {
            kept.give(&self.pool, self.handle.clock.now());
        }
    }

    async fn relay(
        &self,
        start: &Start,
        body: &mut Incoming,
        state: &mut Progress,
        pieces: &Pieces,
    ) -> Attempt {
        let mut splitter = Splitter::default();
        let mut finished = false;
        loop {
            let frame = tokio::select! {
                frame = tokio::time::timeout(SILENCE, body.frame()) => frame,
                () = state.caller_gone(pieces) => return Attempt::CallerGone,
            };
            let bytes = match frame {
                Err(_) => return Attempt::Failed(Kind::UpstreamTimeout.into()),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(_) => return Attempt::Failed(Kind::UpstreamBroken.into()),
            };
            if !splitter.push(&bytes) {
                return Attempt::Failed(Kind::UpstreamBroken.into());
            }
            while let Some(event) = splitter.next_event() {
                if &event[..] == b"[DONE]" {
                    return match finished {
                        true => Attempt::Whole,
                        false => Attempt::Failed(Kind::UpstreamBroken.into()),
                    };
                }
                let Some(chunk) = self.chunk(&event) else {
                    return Attempt::Failed(Kind::UpstreamCrossed.into());
                };
                finished |= chunk.finished;
                if !self.handle.view.load().key_stands(&self.key) {
                    return Attempt::Failed(Kind::KeyWithdrawn.into());
                }
                state.advance(self, start, &chunk);
                if pieces.send(Piece::Event(event)).await.is_err() {
                    return Attempt::CallerGone;
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

    async fn finish(&self, outcome: Attempt, mut state: Progress, pieces: &Pieces) {
        let whole = matches!(outcome, Attempt::Whole);
        let name = match &outcome {
            Attempt::Whole => "ok",
            Attempt::CallerGone => "caller-gone",
            Attempt::Failed(refusal) => refusal.kind.name(),
        };
        self.handle.metrics.request(&self.route.class, name);
        if state.usage.tokens > 0 || whole {
            self.handle.tell(Event::Count(Item {
                customer: self.customer.clone(),
                class: self.route.class.clone(),
                prompt: state.usage.prompt,
                tokens: u64::from(state.usage.tokens),
                whole,
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
            Attempt::Whole => {
                let _ = pieces.send(Piece::End(state.usage)).await;
            }
            Attempt::CallerGone => {}
            Attempt::Failed(refusal) => match state.head.take() {
                Some(head) => {
                    let refusal = self.handle.sign(refusal, &self.customer, &self.route.class);
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
    fn advance(&mut self, job: &Job, start: &Start, chunk: &Chunk) {
        if let Some(head) = self.head.take() {
            let _ = head.send(Ok(start.name.clone()));
            let class = Class {
                class: job.route.class.clone(),
            };
            job.handle
                .metrics
                .first
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
