//! Plain calls: those that may be repeated, and those that may not.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use radishstair_core::at_most_once::{Completion, Key, Verdict};
use radishstair_core::claim;
use radishstair_core::config::Mode;
use radishstair_core::config::view::{Route, View};
use radishstair_core::dispatch::{Assignment, Outcome, Submission};
use radishstair_core::error::{Kind, Ran, Refusal, Repeat};
use radishstair_core::id::{Incarnation, digest};
use radishstair_core::kernel::{Event, Reply};
use radishstair_core::peer::{Forward, Forwarded};
use radishstair_core::runner;
use radishstair_core::ticket::Ticket;
use radishstair_core::usage::Record;
use radishstair_wire::http;

use super::{BODY_BYTES, Body, authenticate, header, issue, read, refused};
use crate::handle::Handle;
use crate::metrics::Class;
use crate::peers::dialer::Dialer;
use crate::upstream::attempts;
use crate::upstream::pool::Pool;
use crate::upstream::{self, Exchange, Failure, RunnerRequest, has_leaving_notice};

mod answer;
mod guard;
mod plain;

use answer::{from_owner, kept, replay, response, to_peer};
use guard::{Running, Waiting};
use plain::Plain;

/// Longest wait for a runner's answer.
const ANSWER: Duration = Duration::from_secs(30);
/// Longest wait for the owner of a call that was passed on.
const FORWARD: Duration = Duration::from_secs(40);
/// Longest wait for another copy of the same call.
const COPY: Duration = Duration::from_secs(35);
/// Carries a fresh ticket with a refusal that closed the former key.
const NEXT_KEY: &str = "next-idempotency-key";

/// Serves plain calls, its own callers' and its peers'.
#[derive(Debug)]
pub struct Caller {
    /// Shared state.
    pub handle: Arc<Handle>,
    /// Connections for calls that may be repeated.
    pub pool: Arc<Pool>,
    /// Connections to the owners of calls.
    pub dialer: Dialer,
}

/// One call, admitted.
#[derive(Clone, Debug)]
struct Job {
    route: Route,
    path: String,
    customer: String,
    key: String,
    body: Bytes,
    version: u64,
    promised: bool,
}

/// A runner's whole answer.
struct Answered {
    runner: String,
    status: u16,
    body: Bytes,
}

impl Caller {
    /// Serves one call.
    ///
    /// # Errors
    ///
    /// When it is refused.
    pub async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<Body>, Refusal> {
        let view = self.handle.view.load_full();
        let once = once_key(&request)?;
        let keyed = once.is_some();
        let admitted = self.admit(&view, request).await;
        // An earlier copy of the call may run elsewhere, so a refusal here
        // says nothing about the key; only its owner can close it.
        let job = admitted.map_err(|refusal| if keyed { unsettled(refusal) } else { refusal })?;
        let began = Instant::now();
        let class = job.route.class.clone();
        let answer = match (&job.route.mode, once) {
            (Mode::Once, None) => Err(Kind::MissingIdempotencyKey.into()),
            (Mode::Once, Some(once)) => {
                // Not bound to the caller's connection: the record says from
                // its first copy on that the call runs, so a task that ended
                // with its caller would leave it running for ever.
                let flight = self.handle.track_request();
                let caller = self.clone();
                let task = tokio::spawn(async move {
                    let answer = caller.once(job, once).await;
                    drop(flight);
                    answer
                });
                task.await.unwrap_or_else(|_| Err(Kind::UpstreamBroken.into()))
            }
            _ => self.repeatable(&job).await,
        };
        let outcome = match &answer {
            Ok(answer) if answer.status().is_success() => "ok",
            Ok(_) => "answered",
            Err(refusal) => refusal.kind.name(),
        };
        let metrics = &self.handle.metrics;
        metrics.count_request(&class, outcome);
        metrics
            .first_answer
            .get_or_create(&Class { class: class.clone() })
            .observe(began.elapsed().as_secs_f64());
        tracing::info!(
            event = "request",
            class,
            outcome,
            ms = began.elapsed().as_millis() as u64
        );
        answer
    }

    async fn admit(&self, view: &View, request: Request<Incoming>) -> Result<Job, Refusal> {
        let path = request.uri().path().to_string();
        let token = header(&request, http::RESERVATION_TOKEN);
        let class = view.class_for_path(&path).map(|class| class.name.clone());
        let class = class.ok_or_else(|| Refusal::new(Kind::NotFound).detail(&path))?;
        let caller = authenticate(&self.handle, view, &request)?;
        let route = view.route(&caller, &class, None)?;
        let body = read(request).await?;
        serde_json::from_slice::<serde::de::IgnoredAny>(&body)
            .map_err(|err| Refusal::new(Kind::BadRequest).detail(err.to_string()))?;
        let customer = view.document.customers[caller.customer.index()].name.clone();
        Ok(Job {
            promised: self.handle.has_reservation(token.as_deref(), &customer, &class),
            customer,
            key: view.document.keys[caller.key].name.clone(),
            version: view.version,
            route,
            path,
            body,
        })
    }

    async fn repeatable(&self, job: &Job) -> Result<Response<Body>, Refusal> {
        let mut plain = Plain::new(self, job, false);
        let answered = attempts::run(&mut plain).await?;
        Ok(self.answered(job, answered))
    }

    fn answered(&self, job: &Job, answered: Answered) -> Response<Body> {
        self.count(job);
        response(&answered.runner, answered.status, answered.body)
    }

    async fn once(&self, job: Job, once: String) -> Result<Response<Body>, Refusal> {
        let customer = job.customer.clone();
        let answer = match self.begin(&job, &once).await {
            Verdict::Forward(owner) => self.pass_on(&job, once, owner).await,
            verdict => self.settle(&job, verdict).await,
        };
        match answer {
            Err(refusal) if refusal.ran == Ran::NotRun && refusal.repeat == Repeat::NewKey => {
                Ok(self.with_next_key(&refusal, customer).await)
            }
            other => other,
        }
    }

    /// A refusal that closed the key, with a ticket to go on with.
    async fn with_next_key(&self, refusal: &Refusal, customer: String) -> Response<Body> {
        let mut answer = refused(refusal);
        let next = issue(&self.handle, customer, 1)
            .await
            .ok()
            .and_then(|tickets| tickets.into_iter().next());
        if let Some(value) = next.and_then(|next| HeaderValue::from_str(&next).ok()) {
            answer.headers_mut().insert(NEXT_KEY, value);
        }
        answer
    }

    /// Asks this process's records what to do with a copy.
    async fn begin(&self, job: &Job, once: &str) -> Verdict {
        let call = self.handle.next_call_id();
        let event = Event::BeginCall {
            call,
            customer: job.customer.clone(),
            idempotency_key: once.to_string(),
            body_hash: digest(&[job.path.as_bytes(), b"\n", &job.body].concat()),
        };
        let mut reply = self.handle.request(call, event);
        let reply = match tokio::time::timeout(COPY, &mut reply).await {
            Ok(reply) => reply.ok(),
            Err(_) => {
                // A verdict that comes in this moment must be acted on, or
                // the call would count as running for ever; one that comes
                // later finds the line closed and the control thread takes it
                // back.
                reply.close();
                match reply.try_recv() {
                    Ok(reply) => Some(reply),
                    Err(_) => return Verdict::Refuse(Kind::InProgress.into()),
                }
            }
        };
        match reply {
            Some(Reply::Verdict(verdict)) => verdict,
            _ => Verdict::Refuse(unsettled(Kind::Stopping.into())),
        }
    }

    async fn settle(&self, job: &Job, verdict: Verdict) -> Result<Response<Body>, Refusal> {
        match verdict {
            Verdict::Run(key) => self.run_once(job, key).await,
            Verdict::Replay(answer) => replay(answer),
            Verdict::Refuse(refusal) => Err(refusal),
            Verdict::Wait | Verdict::Forward(_) => Err(Kind::InProgress.into()),
        }
    }

    /// Runs a call whose record says that it is this task's alone to run.
    async fn run_once(&self, job: &Job, key: Key) -> Result<Response<Body>, Refusal> {
        let mut plain = Plain::new(self, job, true);
        match attempts::run(&mut plain).await {
            Ok(answered) => {
                self.end(key, Completion::Ran(kept(&answered)));
                Ok(self.answered(job, answered))
            }
            Err(refusal) if plain.tries.may_have_run() => {
                self.end(key, Completion::Unknown);
                Err(refusal)
            }
            // Not a byte went out.
            Err(refusal) => Err(self.void(key, refusal)),
        }
    }

    fn void(&self, key: Key, refusal: Refusal) -> Refusal {
        self.end(key, Completion::NotRun);
        refusal
    }

    fn end(&self, key: Key, end: Completion) {
        self.handle.notify(Event::EndCall { key, end });
    }

    /// Passes a call on to the one process that may run it.
    async fn pass_on(&self, job: &Job, once: String, owner: Incarnation) -> Result<Response<Body>, Refusal> {
        self.handle.metrics.forwarded_calls.inc();
        let key = owner_key(&job.customer, &once);
        let Some(mut client) = self
            .handle
            .peer_address(owner)
            .and_then(|address| self.dialer.client(&address))
        else {
            return Err(self.away(owner, key).await);
        };
        let forward = Forward {
            customer: job.customer.clone(),
            key: job.key.clone(),
            class: job.route.class.clone(),
            idempotency_key: once,
            body: job.body.to_vec(),
            version: job.version,
        };
        match tokio::time::timeout(FORWARD, client.forward(forward)).await {
            Ok(Ok(answer)) => Ok(from_owner(answer.into_inner())),
            Ok(Err(_)) => Err(self.away(owner, key).await),
            Err(_) => Err(Kind::OwnerAway.into()),
        }
    }

    /// What may be said when the owner cannot be asked.
    async fn away(&self, owner: Incarnation, key: Key) -> Refusal {
        let call = self.handle.next_call_id();
        match self
            .handle
            .request(call, Event::OwnerUnreachable { call, owner, key })
            .await
        {
            Ok(Reply::Verdict(Verdict::Refuse(refusal))) => match refusal.repeat {
                Repeat::SameKey => refusal.retry_after(Duration::from_secs(2)),
                _ => refusal,
            },
            _ => Kind::OwnerAway.into(),
        }
    }

    /// A call that a peer passed on to its owner, this process.
    pub async fn forwarded(&self, forward: Forward) -> Forwarded {
        let _flight = self.handle.track_request();
        let answer = match self.admit_forwarded(&forward) {
            Ok(job) => {
                let verdict = self.begin(&job, &forward.idempotency_key).await;
                self.settle(&job, verdict).await
            }
            Err(refusal) => Err(unsettled(refusal)),
        };
        match answer {
            Ok(answer) => to_peer(answer).await,
            Err(refusal) => to_peer(refused(&refusal)).await,
        }
    }

    /// The peer admitted the call by its own view. A key that this host, as
    /// new or newer, knows as withdrawn is refused all the same.
    fn admit_forwarded(&self, forward: &Forward) -> Result<Job, Refusal> {
        let view = self.handle.view.load_full();
        if !self.handle.keys_trusted.load(Ordering::SeqCst) {
            return Err(Kind::Stale.into());
        }
        if view.version >= forward.version && !view.is_key_valid(&forward.key) {
            return Err(Kind::KeyWithdrawn.into());
        }
        let caller = view.caller_by_name(&forward.key).ok_or(Kind::OwnerAway)?;
        if view.document.customers[caller.customer.index()].name != forward.customer {
            return Err(Kind::BadIdempotencyKey.into());
        }
        let route = view.route(&caller, &forward.class, None)?;
        let class = view
            .document
            .classes
            .get(&forward.class)
            .ok_or(Kind::UnknownClass)?;
        Ok(Job {
            path: class.path.clone(),
            customer: forward.customer.clone(),
            key: forward.key.clone(),
            body: forward.body.clone().into(),
            version: view.version,
            promised: false,
            route,
        })
    }

    async fn seek(&self, job: &Job, avoid: &[runner::Key]) -> Result<Assignment, Refusal> {
        let call = self.handle.next_call_id();
        let seek = Submission {
            call,
            tier: job.route.tier.clone(),
            customer: job.customer.clone(),
            key: job.key.clone(),
            class: job.route.class.clone(),
            pools: job.route.pools.clone(),
            max_tokens: 1,
            prefix_hash: None,
            avoid: avoid.to_vec(),
            reserved: job.promised,
        };
        let waiting = Waiting {
            handle: &self.handle,
            call,
            done: false,
        };
        let sign = |refusal| {
            self.handle
                .sign_reservation(refusal, &job.customer, &job.route.class)
        };
        waiting.wait(seek).await.map_err(sign)
    }

    /// Runs a call at one runner and gives the runner's place back.
    async fn run(&self, job: &Job, start: &Assignment, alone: bool) -> Result<Answered, (Failure, Refusal)> {
        let running = Running {
            handle: &self.handle,
            call: start.call,
            outcome: Outcome::Cancelled { tokens: 0 },
        };
        let id = format!("call-{}-{}", self.handle.incarnation, start.call.0);
        let outgoing = RunnerRequest {
            path: job.path.clone(),
            id,
            body: job.body.clone(),
        };
        let exchange = tokio::time::timeout(ANSWER, self.exchange(start, &outgoing, alone)).await;
        let result = exchange.unwrap_or_else(|_| Err((Failure::MaybeSent, Kind::UpstreamTimeout.into())));
        running.finish(match &result {
            Ok(_) => Outcome::Completed {
                tokens: 1,
                ms_per_token: 0.0,
            },
            Err((Failure::NotSent, _)) => Outcome::ConnectionRefused,
            Err((Failure::MaybeSent, _)) => Outcome::Failed { tokens: 0 },
        });
        result
    }

    async fn exchange(
        &self,
        start: &Assignment,
        outgoing: &RunnerRequest,
        alone: bool,
    ) -> Result<Answered, (Failure, Refusal)> {
        let now = self.handle.clock.now();
        let sent = upstream::send(&self.pool, now, start, outgoing, alone).await;
        let (answer, kept) = sent.map(Exchange::split).map_err(|failure| match failure {
            Failure::NotSent => (failure, Kind::NoRunner.into()),
            Failure::MaybeSent => (failure, Kind::UpstreamBroken.into()),
        })?;
        if has_leaving_notice(&answer) {
            self.handle.notify(Event::RunnerLeaving(start.name.clone()));
        }
        let named = answer
            .headers()
            .get(http::REQUEST_ID)
            .and_then(|id| id.to_str().ok());
        if named != Some(outgoing.id.as_str()) {
            return Err((Failure::MaybeSent, Kind::UpstreamCrossed.into()));
        }
        let status = answer.status().as_u16();
        let body = Limited::new(answer.into_body(), BODY_BYTES).collect().await;
        let body = body.map_err(|_| (Failure::MaybeSent, Kind::UpstreamBroken.into()))?;
        kept.release(&self.pool, self.handle.clock.now());
        Ok(Answered {
            runner: start.name.clone(),
            status,
            body: body.to_bytes(),
        })
    }

    fn count(&self, job: &Job) {
        self.handle.notify(Event::RecordUsage(Record {
            customer: job.customer.clone(),
            class: job.route.class.clone(),
            prompt_tokens: 0,
            output_tokens: 0,
            completed: true,
        }));
    }
}

/// Leaves open whether a keyed call ran. What is wrong with the request itself
/// is wrong wherever it went, so that stays "not run".
fn unsettled(refusal: Refusal) -> Refusal {
    match refusal.kind {
        Kind::BadRequest | Kind::TooLarge | Kind::NotFound | Kind::MissingKey => refusal,
        _ if refusal.ran != Ran::NotRun => refusal,
        _ if refusal.repeat == Repeat::Never => Refusal {
            ran: Ran::Unknown,
            ..refusal
        },
        _ => refusal.outcome_unknown(),
    }
}

fn once_key(request: &Request<Incoming>) -> Result<Option<String>, Refusal> {
    match request.headers().get(http::IDEMPOTENCY_KEY) {
        None => Ok(None),
        Some(value) => match value.to_str() {
            Ok(text) => Ok(Some(text.to_string())),
            Err(_) => Err(Kind::BadIdempotencyKey.into()),
        },
    }
}

fn owner_key(customer: &str, once: &str) -> Key {
    match Ticket::parse(once) {
        Some(ticket) => Key::Ticket(ticket.number),
        None => Key::Claim(claim::digest(customer, once)),
    }
}
