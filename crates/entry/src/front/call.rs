//! Plain calls: repeatable ones, and those that run at most once.

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
use radishstair_core::error::{Execution, Kind, Refusal, Repeat};
use radishstair_core::id::{Incarnation, digest};
use radishstair_core::kernel::{Event, Reply};
use radishstair_core::peer::{Forward, Forwarded};
use radishstair_core::runner;
use radishstair_core::ticket::Ticket;
use radishstair_core::usage::Record;
use radishstair_wire::http;

use super::{Body, MAX_BODY_BYTES, authenticate, header, issue_tickets, read_body, refusal_response};
use crate::handle::Handle;
use crate::metrics::ClassLabel;
use crate::peers::dialer::Dialer;
use crate::upstream::attempts;
use crate::upstream::connection::has_marked_end;
use crate::upstream::pool::Pool;
use crate::upstream::{self, Exchange, Failure, Notices, RunnerRequest};

mod answer;
mod guard;
mod plain;

use answer::{from_owner, replay, response, to_peer, to_record};
use guard::{QueuedCall, RunningCall};
use plain::CallAttempts;

/// Longest wait for the complete answer of a runner.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest wait for the owner to answer a forwarded call.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(40);
/// Longest wait for another request with the same idempotency key.
const DUPLICATE_TIMEOUT: Duration = Duration::from_secs(35);
/// Header with a new ticket, sent with a refusal that closed the former key.
const NEXT_KEY: &str = "next-idempotency-key";

/// Serves the plain calls of callers, and those that peers forward to this host.
#[derive(Debug)]
pub struct Service {
    /// Shared state.
    pub handle: Arc<Handle>,
    /// Idle connections, for calls that may be repeated.
    pub pool: Arc<Pool>,
    /// Connections to peers that own idempotency keys.
    pub dialer: Dialer,
}

/// An admitted call.
#[derive(Clone, Debug)]
struct Job {
    route: Route,
    path: String,
    customer: String,
    key: String,
    body: Bytes,
    version: u64,
    reserved: bool,
}

/// The complete answer of a runner.
struct RunnerResponse {
    runner: String,
    status: u16,
    body: Bytes,
}

impl Service {
    /// Serves one call.
    ///
    /// # Errors
    ///
    /// When it is refused.
    pub async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<Body>, Refusal> {
        let view = self.handle.view.load_full();
        let header_key = idempotency_key_of(&request)?;
        let has_key = header_key.is_some();
        let admitted = self.admit(&view, request).await;
        // An earlier request with the same key may have run at another host.
        // So a refusal here leaves the outcome open; only the owner of the key
        // can decide it.
        let job = admitted.map_err(|refusal| {
            if has_key {
                with_outcome_unknown(refusal)
            } else {
                refusal
            }
        })?;
        let started = Instant::now();
        let class = job.route.class.clone();
        let answer = match (&job.route.mode, header_key) {
            (Mode::Once, None) => Err(Kind::MissingIdempotencyKey.into()),
            (Mode::Once, Some(header_key)) => {
                // Runs in a task of its own. From the first request on, the
                // record of the key says that the call is running; if the
                // caller's disconnect cancelled it, the record would stay in
                // that state forever.
                let flight = self.handle.track_request();
                let service = self.clone();
                let task = tokio::spawn(async move {
                    let answer = service.run_at_most_once(job, header_key).await;
                    drop(flight);
                    answer
                });
                task.await.unwrap_or_else(|_| Err(Kind::UpstreamBroken.into()))
            }
            _ => self.run_repeatable(&job).await,
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
            .get_or_create(&ClassLabel { class: class.clone() })
            .observe(started.elapsed().as_secs_f64());
        tracing::info!(
            event = "request",
            class,
            outcome,
            ms = started.elapsed().as_millis() as u64
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
        let body = read_body(request).await?;
        check_json(&body).map_err(|err| Refusal::new(Kind::BadRequest).detail(err.to_string()))?;
        let customer = view.document.customers[caller.customer.index()].name.clone();
        Ok(Job {
            reserved: self.handle.has_reservation(token.as_deref(), &customer, &class),
            customer,
            key: view.document.keys[caller.key].name.clone(),
            version: view.version,
            route,
            path,
            body,
        })
    }

    async fn run_repeatable(&self, job: &Job) -> Result<Response<Body>, Refusal> {
        let mut attempts = CallAttempts::new(self, job, false);
        let answer = attempts::run(&mut attempts).await?;
        Ok(self.record_answer(job, answer))
    }

    fn record_answer(&self, job: &Job, answer: RunnerResponse) -> Response<Body> {
        self.record_usage(job);
        response(&answer.runner, answer.status, answer.body)
    }

    async fn run_at_most_once(&self, job: Job, header_key: String) -> Result<Response<Body>, Refusal> {
        let customer = job.customer.clone();
        let answer = match self.begin(&job, &header_key).await {
            Verdict::Forward(owner) => self.forward_to_owner(&job, header_key, owner).await,
            verdict => self.resolve(&job, verdict).await,
        };
        match answer {
            Err(refusal) if refusal.ran == Execution::NotRun && refusal.repeat == Repeat::NewKey => {
                Ok(self.with_next_key(&refusal, customer).await)
            }
            other => other,
        }
    }

    /// The response for a refusal that closed the key, with a new ticket.
    async fn with_next_key(&self, refusal: &Refusal, customer: String) -> Response<Body> {
        let mut answer = refusal_response(refusal);
        let next = issue_tickets(&self.handle, customer, 1)
            .await
            .ok()
            .and_then(|tickets| tickets.into_iter().next());
        if let Some(value) = next.and_then(|next| HeaderValue::from_str(&next).ok()) {
            answer.headers_mut().insert(NEXT_KEY, value);
        }
        answer
    }

    /// Asks this host's records how to handle a request with an idempotency key.
    async fn begin(&self, job: &Job, header_key: &str) -> Verdict {
        let call = self.handle.next_call_id();
        let event = Event::BeginCall {
            call,
            customer: job.customer.clone(),
            idempotency_key: header_key.to_string(),
            body_hash: digest(&[job.path.as_bytes(), b"\n", &job.body].concat()),
        };
        let mut reply = self.handle.request(call, event);
        let reply = match tokio::time::timeout(DUPLICATE_TIMEOUT, &mut reply).await {
            Ok(reply) => reply.ok(),
            Err(_) => {
                // A verdict that arrived just now must be acted on, or the call
                // would be recorded as running forever. A later one fails to
                // send on the closed channel, and the control thread reverts it.
                reply.close();
                match reply.try_recv() {
                    Ok(reply) => Some(reply),
                    Err(_) => return Verdict::Refuse(Kind::InProgress.into()),
                }
            }
        };
        match reply {
            Some(Reply::Verdict(verdict)) => verdict,
            _ => Verdict::Refuse(with_outcome_unknown(Kind::Stopping.into())),
        }
    }

    async fn resolve(&self, job: &Job, verdict: Verdict) -> Result<Response<Body>, Refusal> {
        match verdict {
            Verdict::Run(key) => self.run_once(job, key).await,
            Verdict::Replay(answer) => replay(answer),
            Verdict::Refuse(refusal) => Err(refusal),
            Verdict::Wait | Verdict::Forward(_) => Err(Kind::InProgress.into()),
        }
    }

    /// Runs a call for which this task has the exclusive right to run it.
    async fn run_once(&self, job: &Job, key: Key) -> Result<Response<Body>, Refusal> {
        let mut attempts = CallAttempts::new(self, job, true);
        match attempts::run(&mut attempts).await {
            Ok(answer) => {
                self.finish(key, Completion::Ran(to_record(&answer)));
                Ok(self.record_answer(job, answer))
            }
            Err(refusal) if attempts.history.may_have_run() => {
                self.finish(key, Completion::Unknown);
                Err(refusal)
            }
            // No byte was sent.
            Err(refusal) => Err(self.finish_not_run(key, refusal)),
        }
    }

    fn finish_not_run(&self, key: Key, refusal: Refusal) -> Refusal {
        self.finish(key, Completion::NotRun);
        refusal
    }

    fn finish(&self, key: Key, end: Completion) {
        self.handle.notify(Event::EndCall { key, end });
    }

    /// Forwards a call to the owner of its key, the only host that may run it.
    async fn forward_to_owner(
        &self,
        job: &Job,
        header_key: String,
        owner: Incarnation,
    ) -> Result<Response<Body>, Refusal> {
        self.handle.metrics.forwarded_calls.inc();
        let key = record_key(&job.customer, &header_key);
        let Some(mut client) = self
            .handle
            .peer_address(owner)
            .and_then(|address| self.dialer.client(&address))
        else {
            return Err(self.owner_unreachable(owner, key).await);
        };
        let forward = Forward {
            customer: job.customer.clone(),
            api_key_name: job.key.clone(),
            class: job.route.class.clone(),
            idempotency_key: header_key,
            body: job.body.to_vec(),
            config_version: job.version,
        };
        match tokio::time::timeout(FORWARD_TIMEOUT, client.forward(forward)).await {
            Ok(Ok(answer)) => Ok(from_owner(answer.into_inner())),
            Ok(Err(_)) => Err(self.owner_unreachable(owner, key).await),
            Err(_) => Err(Kind::OwnerAway.into()),
        }
    }

    /// The refusal for the caller when the owner cannot be reached.
    async fn owner_unreachable(&self, owner: Incarnation, key: Key) -> Refusal {
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

    /// Serves a call that a peer forwarded because this process owns its key.
    pub async fn handle_forwarded(&self, forward: Forward) -> Forwarded {
        let _flight = self.handle.track_request();
        let answer = match self.admit_forwarded(&forward) {
            Ok(job) => {
                let verdict = self.begin(&job, &forward.idempotency_key).await;
                self.resolve(&job, verdict).await
            }
            Err(refusal) => Err(with_outcome_unknown(refusal)),
        };
        match answer {
            Ok(answer) => to_peer(answer).await,
            Err(refusal) => to_peer(refusal_response(&refusal)).await,
        }
    }

    /// Admits a forwarded call, which the peer admitted by its configuration.
    ///
    /// If this host's configuration is at least as new, a key that is
    /// withdrawn in it is refused all the same.
    fn admit_forwarded(&self, forward: &Forward) -> Result<Job, Refusal> {
        let view = self.handle.view.load_full();
        if !self.handle.keys_trusted.load(Ordering::SeqCst) {
            return Err(Kind::Stale.into());
        }
        if view.version >= forward.config_version && !view.is_key_valid(&forward.api_key_name) {
            return Err(Kind::KeyWithdrawn.into());
        }
        let caller = view
            .caller_by_name(&forward.api_key_name)
            .ok_or(Kind::OwnerAway)?;
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
            key: forward.api_key_name.clone(),
            body: forward.body.clone().into(),
            version: view.version,
            reserved: false,
            route,
        })
    }

    async fn acquire_runner(&self, job: &Job, avoid: &[runner::Key]) -> Result<Assignment, Refusal> {
        let call = self.handle.next_call_id();
        let submission = Submission {
            call,
            tier: job.route.tier.clone(),
            customer: job.customer.clone(),
            key: job.key.clone(),
            class: job.route.class.clone(),
            pools: job.route.pools.clone(),
            max_tokens: 1,
            prefix_hash: None,
            avoid: avoid.to_vec(),
            reserved: job.reserved,
        };
        let queued = QueuedCall {
            handle: &self.handle,
            call,
            done: false,
        };
        let sign = |refusal| {
            self.handle
                .sign_reservation(refusal, &job.customer, &job.route.class)
        };
        queued.wait(submission).await.map_err(sign)
    }

    /// Runs a call at one runner and releases the slot there.
    async fn run(
        &self,
        job: &Job,
        assignment: &Assignment,
        on_new_connection: bool,
    ) -> Result<RunnerResponse, (Failure, Refusal)> {
        let running = RunningCall {
            handle: &self.handle,
            call: assignment.call,
            outcome: Outcome::Cancelled { tokens: 0 },
        };
        let id = format!("call-{}-{}", self.handle.incarnation, assignment.call.0);
        let runner_request = RunnerRequest {
            path: job.path.clone(),
            id,
            body: job.body.clone(),
        };
        let exchange = tokio::time::timeout(
            ANSWER_TIMEOUT,
            self.exchange(assignment, &runner_request, on_new_connection),
        )
        .await;
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
        assignment: &Assignment,
        runner_request: &RunnerRequest,
        on_new_connection: bool,
    ) -> Result<RunnerResponse, (Failure, Refusal)> {
        let now = self.handle.clock.now();
        let sent = upstream::send(&self.pool, now, assignment, runner_request, on_new_connection).await;
        let (answer, connection) = sent.map(Exchange::split).map_err(|failure| match failure {
            Failure::NotSent => (failure, Kind::NoRunner.into()),
            Failure::MaybeSent => (failure, Kind::UpstreamBroken.into()),
        })?;
        let returned_id = answer
            .headers()
            .get(http::REQUEST_ID)
            .and_then(|id| id.to_str().ok());
        if returned_id != Some(runner_request.id.as_str()) {
            return Err((Failure::MaybeSent, Kind::UpstreamCrossed.into()));
        }
        Notices::of(&answer).notify(&self.handle, &assignment.name);
        let (parts, body) = answer.into_parts();
        let broken = || (Failure::MaybeSent, Kind::UpstreamBroken.into());
        let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
        let body = body.map_err(|_| broken())?.to_bytes();
        // If only the end of the connection marks the end of the body, the runner may have ended early.
        if !has_marked_end(&parts) && check_json(&body).is_err() {
            return Err(broken());
        }
        connection.release(&self.pool, self.handle.clock.now());
        Ok(RunnerResponse {
            runner: assignment.name.clone(),
            status: parts.status.as_u16(),
            body,
        })
    }

    fn record_usage(&self, job: &Job) {
        self.handle.notify(Event::RecordUsage(Record {
            customer: job.customer.clone(),
            class: job.route.class.clone(),
            prompt_tokens: 0,
            output_tokens: 0,
            completed: true,
        }));
    }
}

fn check_json(body: &[u8]) -> serde_json::Result<()> {
    serde_json::from_slice::<serde::de::IgnoredAny>(body).map(|_| ())
}

/// Changes a refusal of a call with an idempotency key to say that the outcome
/// is unknown. An invalid request stays "not run", as every host refuses it.
fn with_outcome_unknown(refusal: Refusal) -> Refusal {
    match refusal.kind {
        Kind::BadRequest | Kind::TooLarge | Kind::NotFound | Kind::MissingKey => refusal,
        _ if refusal.ran != Execution::NotRun => refusal,
        _ if refusal.repeat == Repeat::Never => Refusal {
            ran: Execution::Unknown,
            ..refusal
        },
        _ => refusal.outcome_unknown(),
    }
}

fn idempotency_key_of(request: &Request<Incoming>) -> Result<Option<String>, Refusal> {
    match request.headers().get(http::IDEMPOTENCY_KEY) {
        None => Ok(None),
        Some(value) => match value.to_str() {
            Ok(text) => Ok(Some(text.to_string())),
            Err(_) => Err(Kind::BadIdempotencyKey.into()),
        },
    }
}

fn record_key(customer: &str, header_key: &str) -> Key {
    match Ticket::parse(header_key) {
        Some(ticket) => Key::Ticket(ticket.number),
        None => Key::Claim(claim::digest(customer, header_key)),
    }
}
