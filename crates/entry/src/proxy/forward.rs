//! Forwarding of one request to a runner.
//!
//! Once a byte of a request may have been sent, the request counts as possibly
//! run, even if the connection is then reset, closed or silent. Only the
//! runner's own statement that the request did not run allows the refusal to
//! say "not run", or a request that runs at most once to be sent to a second
//! runner. The retries are in [`buffered`](super::buffered) for buffered requests and in
//! [`stream`](super::stream) for streams.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::header::CONTENT_ENCODING;
use hyper::http::response;
use hyper::{Method, Request, StatusCode};
use radishstair_core::error::{Kind, Refusal, Repeat};
use radishstair_core::proxy::crash::End;
use radishstair_core::proxy::fleet::notice::Answer;
use radishstair_core::proxy::fleet::{AttemptResult, Runner, Way};
use radishstair_core::proxy::origin::Origin;
use radishstair_core::proxy::placement::{Choice, Demand};
use radishstair_core::proxy::relay::Tried;
use radishstair_core::proxy::{Placement, State};
use radishstair_core::retry::Fault;
use radishstair_core::time::Moment;
use tokio::time::timeout;

use super::Shared;
use super::adapter::{Forwarding, Provenance};
use super::body::{self, ReadFailure};
use super::client::Client;
use super::crashes;
use super::held::{Held, HeldBody};
use super::job::{AttemptLog, Job};
use super::reply::{self, retry_after, retry_after_wait};
use super::slot::Slot;
use super::stream::copies::Handle;
use crate::upstream::attempts;
use crate::upstream::connection::has_marked_end;
use crate::upstream::pool::Pool;
use crate::upstream::{self, Exchange, Failure, ResponseConnection};

/// Time limit for reading a refusal to its end, so that its connection can be reused.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(50);

/// A runner's response whose head was received.
#[derive(Debug)]
pub struct RunnerResponse {
    /// Reservation on the runner.
    pub slot: Slot,
    /// Connection, to be returned to the pool once the body was read completely.
    pub connection: ResponseConnection,
    /// When the head was received.
    pub head_at: Moment,
    /// Status and headers.
    pub parts: response::Parts,
    /// Body, not yet read.
    pub body: Incoming,
}

/// Why an attempt at a runner brought no response.
pub type AttemptError = attempts::AttemptError<Refusal>;

/// Forwards requests to runners.
#[derive(Debug)]
pub struct Forwarder {
    /// State shared by all threads.
    pub shared: Arc<Shared>,
    /// Idle connections to runners.
    pub pool: Arc<Pool>,
    /// Client for the platform's store, for requests that need an answer of it.
    pub store: Arc<Client>,
}

impl Forwarder {
    /// Reserves a slot on the best runner that has not been tried yet.
    ///
    /// # Errors
    ///
    /// The refusal for the caller, if the deadline has passed or no runner is left.
    pub fn reserve_slot(&self, job: &Job, log: &mut AttemptLog) -> Result<Slot, Refusal> {
        let now = self.shared.now();
        if job.is_expired(now) {
            return Err(self.deadline_refusal(job, log));
        }
        // Neither a request that may have run nor a stream that has begun is refused for being late.
        let has_begun = log.history.may_have_run() || log.origin != Origin::New;
        let capacity = self.shared.settings.load().capacity.policy();
        let patience = if has_begun {
            None
        } else {
            job.patience(now, capacity)
        };
        let service = &job.admission.service;
        let mut demand = job.demand(log, self.way(now, service), rand::random());
        let placement = {
            let excluded = [log.history.tried(), log.avoided.as_slice()].concat();
            let tried = Tried {
                all: &excluded,
                unreached: &log.unreached,
            };
            let is_relayed = |state: &State| self.has_relay(state, now, service);
            self.shared
                .state()
                .place_on_way(now, &mut demand, tried, patience, is_relayed)
        };
        if placement != Placement::NoRunner && !demand.is_counted {
            log.counted += 1;
        }
        let kind = match placement {
            Placement::Placed(choice) => {
                log.candidates = choice.candidates;
                if let Some(slot) = self.slot(now, &demand, &choice) {
                    log.history.record_choice(slot.key);
                    log.last_runner = Some(slot.id.clone());
                    log.last_software = Some(slot.software.label.clone());
                    return Ok(slot);
                }
                Kind::NoRunner
            }
            Placement::Overloaded { candidates } => {
                log.candidates = candidates;
                Kind::Overloaded
            }
            Placement::NoRunner => {
                log.candidates = 0;
                self.missing_runner(now, log)
            }
        };
        Err(self.refusal(job, log, kind))
    }

    /// Why there is no runner for a request.
    fn missing_runner(&self, now: Moment, log: &AttemptLog) -> Kind {
        let is_left = |version| self.shared.state().fleet.is_version_left(now, version);
        match log.origin.version() {
            Some(version) if !is_left(version) => Kind::VersionGone,
            _ => Kind::NoRunner,
        }
    }

    /// Records a failed attempt; returns the refusal if no further attempt is allowed.
    pub fn record_failure(&self, job: &Job, log: &mut AttemptLog, fault: Fault) -> Option<Refusal> {
        let now = self.shared.now();
        let (history, has_paid) = (&mut log.history, &mut log.has_paid);
        let budget =
            || std::mem::take(has_paid) || self.shared.state().take_retry(now, &job.admission.service);
        let reason = history.record_failure(&job.retry_rule(), fault, job.is_expired(now), budget)?;
        tracing::info!(
            event = "not-repeated",
            request = job.metadata.id,
            reason = reason.name(),
            sent = log.history.sends(),
            ran = log.history.may_have_run()
        );
        Some(match fault {
            Fault::Unreachable | Fault::OtherRunner => self.refusal(job, log, Kind::NoRunner),
            Fault::NotRun => self.refusal(job, log, Kind::Overloaded),
            Fault::MayHaveRun => self.upstream_refusal(job),
        })
    }

    /// Slot on a chosen runner.
    fn slot(&self, placed_at: Moment, demand: &Demand, choice: &Choice) -> Option<Slot> {
        let state = self.shared.state();
        let listed = &state.fleet.get(choice.key)?.listed;
        let (id, address, software) = (listed.id.clone(), listed.address, listed.software.clone());
        let cache_source = choice.source.and_then(|key| state.fleet.get(key));
        let cache_source = cache_source.map(|runner| runner.listed.address);
        drop(state);
        if demand.prompt_tokens > 0 {
            self.shared.load_changed.notify_one();
        }
        Some(Slot {
            shared: self.shared.clone(),
            key: choice.key,
            id,
            software,
            address,
            way: demand.way,
            relay: None,
            prefill_us: choice.prefill_us,
            kv_tokens: demand.kv_tokens(),
            conditions: choice.conditions,
            placed_at,
            sent_at: None,
            cache_source,
            continue_from: None,
            copy: None,
        })
    }

    /// Sends a request to a runner and waits for the head of its response.
    ///
    /// `after` is the event after which a stream is resumed.
    ///
    /// # Errors
    ///
    /// Whether another runner may be tried, or the refusal for the caller.
    pub async fn send(
        &self,
        job: &Job,
        after: Option<u64>,
        mut slot: Slot,
        log: &mut AttemptLog,
    ) -> Result<RunnerResponse, AttemptError> {
        let connection = match self.connect(job, &mut slot).await {
            Ok(connection) => connection,
            Err(fault) => {
                if slot.way == Way::Direct {
                    log.unreached.push(slot.key);
                }
                return Err(AttemptError::Failed(fault));
            }
        };
        // Last check before bytes are sent: connecting may have taken long, the
        // process may have been suspended, the runner may have started to drain.
        let now = self.shared.now();
        self.check_before_send(now, job, after, &slot, log)?;
        slot.copy = self.place_copy(now, job, &slot);
        let request = self.build_request(now, job, after, &slot);
        slot.sent_at = Some(now);
        // A request that continues from its KV cache counts as the same run.
        let is_new_run = slot.continue_from.is_none();
        if is_new_run {
            log.history.record_send();
        }
        let relay = connection.relay();
        slot.relay = relay;
        let exchange = upstream::exchange(connection, slot.address, &job.metadata.id, request);
        let exchanged = async {
            tokio::select! {
                biased;
                result = exchange => result,
                () = self.wait_for_path_loss(job, &slot, relay) => Err(Failure::MaybeSent),
            }
        };
        let result = match job.time_left(now) {
            Some(time_left) => timeout(time_left, exchanged).await,
            None => Ok(exchanged.await),
        };
        match result {
            Ok(Ok(exchange)) => self.check_response(job, slot, exchange).await,
            Ok(Err(Failure::NotSent)) => {
                if is_new_run {
                    log.history.revert_send();
                }
                tracing::info!(
                    event = "request-not-sent",
                    request = job.metadata.id,
                    runner = slot.id
                );
                Err(AttemptError::Failed(Fault::Unreachable))
            }
            Ok(Err(Failure::MaybeSent)) => {
                slot.record_attempt(AttemptResult::Broken);
                slot.suspect_path();
                crashes::record_end(job, &slot, End::Broken, None);
                tracing::info!(
                    event = "runner-broke-off",
                    request = job.metadata.id,
                    runner = slot.id,
                    parts = job.logged_parts(),
                    content = job.logged_content()
                );
                Err(AttemptError::Failed(Fault::MayHaveRun))
            }
            Err(_) => {
                slot.record_attempt(AttemptResult::Broken);
                log.history.record_run();
                Err(AttemptError::Final(self.deadline_refusal(job, log)))
            }
        }
    }

    /// Checks that the request may still be sent to this runner.
    ///
    /// A stream that has begun here (`after` is its last event) goes on in a planned stop: its caller loses nothing by it.
    fn check_before_send(
        &self,
        now: Moment,
        job: &Job,
        after: Option<u64>,
        slot: &Slot,
        log: &AttemptLog,
    ) -> Result<(), AttemptError> {
        if job.is_expired(now) {
            return Err(AttemptError::Final(self.deadline_refusal(job, log)));
        }
        if after.is_none() && !self.shared.may_begin(now, job.deadline) {
            return Err(AttemptError::Final(self.stop_refusal(job, log)));
        }
        let allowed = crashes::check(&self.shared, job, log.probe.filter(|_| log.history.sends() == 0))
            .and_then(|()| {
                let state = self.shared.state();
                state.may_send(now, &job.admission, &job.request_head())
            });
        if let Err(refusal) = allowed {
            return Err(AttemptError::Final(match log.history.may_have_run() {
                true => self.upstream_refusal(job),
                false => self.with_retry_after(job, refusal),
            }));
        }
        match self.may_use(now, job, slot, log.origin) {
            true => Ok(()),
            false => {
                self.log_withheld(now, job, slot);
                Err(AttemptError::Failed(Fault::Unreachable))
            }
        }
    }

    /// Logs that a request is not sent to the runner that was chosen for it, if the runner has asked this host to wait.
    fn log_withheld(&self, now: Moment, job: &Job, slot: &Slot) {
        let state = self.shared.state();
        let is_held = state
            .fleet
            .get(slot.key)
            .is_some_and(|runner| runner.is_held_off(now));
        drop(state);
        if is_held {
            self.shared.metrics.count_withheld("moved");
            tracing::info!(
                event = "request-withheld",
                request = job.metadata.id,
                runner = slot.id
            );
        }
    }

    /// Classifies a response by its head.
    ///
    /// Nothing of a response that names another request is used: not its status, not what the runner says in it
    /// about itself, nor the time at which it was read, as it may have been sent much earlier. The connection of
    /// such a response is closed.
    async fn check_response(
        &self,
        job: &Job,
        slot: Slot,
        exchange: Exchange,
    ) -> Result<RunnerResponse, AttemptError> {
        let now = self.shared.now();
        let (response, connection) = exchange.split();
        let (parts, body) = response.into_parts();
        let provenance = self.shared.adapter.parse_response(&parts);
        if provenance.request_id.as_deref() != Some(job.metadata.id.as_str()) {
            return Err(reject_answer(job, &slot, &parts, &provenance, &connection));
        }
        slot.record_response(now);
        let answer = answer_kind(&parts, &provenance);
        slot.record_notices(now, job, answer, &provenance.notices);
        if provenance.not_run || parts.status == StatusCode::MISDIRECTED_REQUEST {
            let fault = self.record_refusal(job, &slot, &parts, &provenance, &connection);
            // The connection leads to another runner, whose first answer a copy of this one could precede.
            if fault != Fault::OtherRunner {
                self.drain(&slot, connection, body).await;
            }
            return Err(AttemptError::Failed(fault));
        }
        if !is_usable(&parts, &provenance) {
            return Err(reject_answer(job, &slot, &parts, &provenance, &connection));
        }
        Ok(RunnerResponse {
            slot,
            connection,
            head_at: now,
            parts,
            body,
        })
    }

    /// Records that a runner has refused a request without running it.
    fn record_refusal(
        &self,
        job: &Job,
        slot: &Slot,
        parts: &response::Parts,
        provenance: &Provenance,
        connection: &ResponseConnection,
    ) -> Fault {
        let (attempt, fault) = match parts.status {
            StatusCode::MISDIRECTED_REQUEST => (AttemptResult::Replaced, Fault::OtherRunner),
            _ => (AttemptResult::Full, Fault::NotRun),
        };
        // A runner that has no copy may have room for other requests.
        if slot.continue_from.is_none() || attempt == AttemptResult::Replaced {
            slot.record_attempt(attempt);
        }
        tracing::info!(
            event = "runner-refused",
            request = job.metadata.id,
            runner = slot.id,
            status = parts.status.as_u16(),
            address = %slot.address,
            relay = slot.relay.map(tracing::field::display),
            connection = connection.connection().number(),
            exchange = connection.connection().carried().count(),
            after_us = slot.sent_for_us(self.shared.now()),
            wait_ms = provenance.notices.hold_off.wait_ms()
        );
        fault
    }

    /// Reads a buffered response to its end; `None` if that fails.
    pub(super) async fn read_response(
        &self,
        job: &Job,
        response: RunnerResponse,
    ) -> Option<(response::Parts, HeldBody<Held>)> {
        let RunnerResponse {
            mut slot,
            connection,
            head_at,
            parts,
            body,
        } = response;
        slot.finish_prefill();
        self.shared.count_usage(job.admission.customer.as_deref());
        let may_be_empty = job.parts.method == Method::HEAD || has_marked_end(&parts);
        let read = body::read_answer(&self.shared, job, body).await;
        let body = match read {
            // The runner may have ended after the head.
            Ok(body) if body.is_end_stream() && !may_be_empty => Err(ReadFailure::Runner),
            read => read,
        };
        let body = match body {
            Ok(body) => body,
            Err(failure) => {
                if failure == ReadFailure::Runner {
                    slot.record_attempt(AttemptResult::Broken);
                    crashes::record_end(job, &slot, End::Broken, Some(head_at));
                }
                tracing::info!(
                    event = "answer-not-whole",
                    request = job.metadata.id,
                    runner = slot.id,
                    memory_full = failure == ReadFailure::NoMemory,
                    content = job.logged_content()
                );
                return None;
            }
        };
        slot.record_attempt(match parts.status.is_server_error() {
            true => AttemptResult::Failed,
            false => AttemptResult::Succeeded,
        });
        crashes::record_answer(&self.shared, job);
        self.return_connection(&slot, connection);
        Some((parts, body))
    }

    /// Returns a connection to the pool once its response was read to the end.
    pub fn return_connection(&self, slot: &Slot, connection: ResponseConnection) {
        connection.release(&self.pool, self.shared.now());
        self.update_idle(slot);
    }

    /// Reads a refusal to its end and returns its connection to the pool; closes it if that takes too long.
    async fn drain(&self, slot: &Slot, connection: ResponseConnection, body: Incoming) {
        let drained = timeout(DRAIN_TIMEOUT, Limited::new(body, 64 * 1024).collect()).await;
        if matches!(drained, Ok(Ok(_))) {
            self.return_connection(slot, connection);
        }
    }

    /// Updates the runner's idle connection, so that placement can avoid a new one.
    fn update_idle(&self, slot: &Slot) {
        let idle = self.pool.peek(slot.address);
        self.shared.state().fleet.set_idle(slot.key, idle);
    }

    /// Whether the runner still takes the request, and has the version that began the stream.
    fn may_use(&self, now: Moment, job: &Job, slot: &Slot, origin: Origin) -> bool {
        let state = self.shared.state();
        let is_of_version = |runner: &Runner| match origin.version() {
            Some(version) => runner.known_version() == Some(version),
            None => runner.may_begin(job.is_stream()),
        };
        state.fleet.get(slot.key).is_some_and(is_of_version)
            && state.fleet.may_send(now, slot.key, slot.placed_at)
    }

    fn build_request(&self, now: Moment, job: &Job, after: Option<u64>, slot: &Slot) -> Request<Full<Bytes>> {
        let forwarding = Forwarding {
            runner_id: &slot.id,
            time_left: job.time_left(now),
            rank: job.is_stream().then_some(job.admission.rank),
            customer: job.admission.customer.as_deref(),
            resume_after: after.or(job.metadata.last_event),
            cache_source: slot.cache_source,
            copy_to: slot.copy.as_ref().map(|copy| copy.holder.address),
            continue_from: slot.continue_from.as_ref().map(Handle::memory),
        };
        let mut request = Request::new(Full::new(job.body.clone()));
        *request.method_mut() = job.parts.method.clone();
        *request.uri_mut() = job.parts.uri.clone();
        *request.headers_mut() = self.shared.adapter.forwarded_headers(&job.parts, &forwarding);
        request
    }

    /// Refusal for a request whose deadline has passed.
    fn deadline_refusal(&self, job: &Job, log: &AttemptLog) -> Refusal {
        match log.history.may_have_run() {
            true => Refusal::new(Kind::UpstreamTimeout),
            false => self.refusal(job, log, Kind::Late),
        }
    }

    /// Refusal for a request that does not begin, or goes on no longer, as this host stops.
    pub fn stop_refusal(&self, job: &Job, log: &AttemptLog) -> Refusal {
        match log.history.may_have_begun() {
            true => self.upstream_refusal(job),
            false => reply::stop_refusal(rand::random()),
        }
    }

    /// Refusal for a request that may have run.
    fn upstream_refusal(&self, job: &Job) -> Refusal {
        match job.is_expired(self.shared.now()) {
            true => Refusal::new(Kind::UpstreamTimeout),
            false => Refusal::new(Kind::UpstreamBroken),
        }
    }

    /// Refusal of the given kind if the request has not run, else an upstream failure.
    fn refusal(&self, job: &Job, log: &AttemptLog, kind: Kind) -> Refusal {
        if log.history.may_have_run() {
            return self.upstream_refusal(job);
        }
        self.with_retry_after(job, Refusal::new(kind))
    }

    /// Time until one of a service's runners takes requests of this host again, if all have asked to wait.
    fn wait_for_runners(&self, now: Moment, service: &str) -> Duration {
        let state = self.shared.state();
        let next = state.fleet.next_send_if_all_restricted(now, service);
        next.map(|next| now.until(next)).unwrap_or_default()
    }

    /// Adds the time after which the caller may retry.
    fn with_retry_after(&self, job: &Job, refusal: Refusal) -> Refusal {
        if refusal.repeat == Repeat::Never {
            return refusal;
        }
        let now = self.shared.now();
        let wait = self.wait_for_runners(now, &job.admission.service);
        if !wait.is_zero() {
            self.shared.metrics.count_withheld("refused");
        }
        let soonest = retry_after(job.time_left(now), rand::random());
        refusal.retry_after(soonest.max(retry_after_wait(wait, rand::random())))
    }
}

/// Kind of a response, as far as what the runner says about itself depends on it.
fn answer_kind(parts: &response::Parts, provenance: &Provenance) -> Answer {
    match parts.status {
        StatusCode::MISDIRECTED_REQUEST => Answer::Misdirected,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Answer::Rejected,
        _ if provenance.not_run => Answer::Rejected,
        _ => Answer::Other,
    }
}

/// Rejects an answer that names another request, or that a caller cannot use.
///
/// A surplus response may arrive late, in place of the next request's. The request was sent, so it may have run.
fn reject_answer(
    job: &Job,
    slot: &Slot,
    parts: &response::Parts,
    provenance: &Provenance,
    connection: &ResponseConnection,
) -> AttemptError {
    slot.record_attempt(AttemptResult::Broken);
    tracing::warn!(
        event = "answer-not-own",
        request = job.metadata.id,
        runner = slot.id,
        status = parts.status.as_u16(),
        connection = connection.connection().number(),
        exchange = connection.connection().carried().count(),
        after_us = slot.sent_for_us(slot.shared.now()),
        answers = provenance.request_id,
        signed = provenance.signed
    );
    AttemptError::Failed(Fault::MayHaveRun)
}

/// Whether a response to this request may be forwarded.
///
/// Statuses that promise "not run" are not accepted without the runner's own statement of it.
fn is_usable(parts: &response::Parts, provenance: &Provenance) -> bool {
    let promises_not_run = matches!(parts.status.as_u16(), 408 | 421 | 429 | 503);
    let is_encoded = parts.headers.contains_key(CONTENT_ENCODING);
    provenance.signed && !promises_not_run && !is_encoded
}
