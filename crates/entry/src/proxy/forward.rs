//! Passing one request on to a runner.
//!
//! Once a byte of a request may have left, only the runner's own statement that
//! it did not run allows a second runner or a refusal that says "not run".
//! Everything else may have run: a reset, a closed connection, silence.
//! Plain requests and streams go from runner to runner as [`buffered`](super::buffered)
//! and [`stream`](super::stream) say.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_ENCODING;
use hyper::http::response;
use hyper::{Request, StatusCode};
use radishstair_core::error::{Kind, Refusal};
use radishstair_core::proxy::fleet::{Attempt, Key, Liveness};
use radishstair_core::retry::Fault;
use radishstair_core::time::Moment;
use tokio::time::timeout;

use super::Shared;
use super::adapter::{Forwarding, Provenance};
use super::job::{Job, Tries};
use super::reply::come_back;
use super::slot::Slot;
use crate::upstream::attempts::AttemptError;
use crate::upstream::connection::{self, Connection};
use crate::upstream::pool::{self, Pool};
use crate::upstream::{self, Exchange, Failure, ResponseConnection};

/// Most bytes of a plain answer, which is held until it is whole.
const ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Connections in a row that nobody answers before the path counts as cut: where three
/// packets in a hundred are lost, one in thirty gets no answer.
const MISSED: u32 = 2;
/// Longest time to read a refusal to its end, so that its connection serves on.
const DRAIN: Duration = Duration::from_millis(50);

/// A runner's answer whose head has come.
#[derive(Debug)]
pub struct Opened {
    /// Place on the runner.
    pub slot: Slot,
    /// Connection, to be given back once the answer was read whole.
    pub kept: ResponseConnection,
    /// Head.
    pub parts: response::Parts,
    /// Body.
    pub body: Incoming,
}

/// Why an attempt at a runner brought no answer.
pub type Halt = AttemptError<Refusal>;

/// Passes requests on.
#[derive(Debug)]
pub struct Forwarder {
    /// Shared state.
    pub shared: Arc<Shared>,
    /// Idle connections to runners.
    pub pool: Arc<Pool>,
}

impl Forwarder {
    /// A place at the best runner that was not tried yet.
    ///
    /// # Errors
    ///
    /// The refusal that the caller gets.
    pub fn place(&self, job: &Job, tries: &mut Tries) -> Result<Slot, Refusal> {
        let now = self.shared.now();
        if job.is_over(now) {
            return Err(self.over(job, tries));
        }
        let Some((slot, among)) = self.pick(now, job, tries.runs.tried()) else {
            tries.among = 0;
            return Err(self.refusal(job, tries, Kind::NoRunner));
        };
        tries.runs.record_choice(slot.key);
        tries.last = Some(slot.id.clone());
        tries.among = among;
        Ok(slot)
    }

    /// Takes note of a failed attempt; the refusal, if no other may follow.
    pub fn fail(&self, job: &Job, tries: &mut Tries, fault: Fault) -> Option<Refusal> {
        let now = self.shared.now();
        let budget = || self.shared.state().take_retry(now, &job.admission.service);
        let bar = tries
            .runs
            .record_failure(&job.rule(), fault, job.is_over(now), budget)?;
        tracing::info!(
            event = "not-repeated",
            request = job.head.id,
            reason = bar.name(),
            sent = tries.runs.sends(),
            ran = tries.runs.may_have_run()
        );
        Some(match fault {
            Fault::Unreachable => self.refusal(job, tries, Kind::NoRunner),
            Fault::NotRun => self.refusal(job, tries, Kind::Overloaded),
            Fault::MayHaveRun => self.failed(job),
        })
    }

    /// A place, and the number of runners that its runner was chosen among.
    fn pick(&self, now: Moment, job: &Job, tried: &[Key]) -> Option<(Slot, u32)> {
        let demand = job.demand(rand::random());
        let mut state = self.shared.state();
        let choice = state.place(now, &demand, tried)?;
        let listed = &state.fleet.get(choice.key)?.listed;
        let (id, address) = (listed.id.clone(), listed.address);
        let source = choice.source.and_then(|key| state.fleet.get(key));
        let source = source.map(|runner| runner.listed.address);
        drop(state);
        let slot = Slot {
            shared: self.shared.clone(),
            key: choice.key,
            id,
            address,
            work: choice.prefill_us,
            held: demand.kv_tokens(),
            outlook: choice.conditions,
            sent: None,
            source,
        };
        Some((slot, choice.candidates))
    }

    /// Sends a request to a runner, up to the head of its answer; `after` is the event
    /// from which a stream goes on.
    ///
    /// # Errors
    ///
    /// Whether another runner may follow, or the refusal that the caller gets.
    pub async fn open(
        &self,
        job: &Job,
        after: Option<u64>,
        mut slot: Slot,
        tries: &mut Tries,
    ) -> Result<Opened, Halt> {
        let line = self.connect(job, &slot).await?;
        // The last look before the bytes leave: connecting may have taken long,
        // the process may have been frozen, the runner may have begun to leave.
        let now = self.shared.now();
        self.look(now, job, &slot, tries)?;
        let request = self.request(now, job, after, &slot);
        slot.sent = Some(now);
        tries.runs.record_send();
        let exchange = upstream::exchange(line, slot.address, request);
        let answer = async {
            tokio::select! {
                biased;
                sent = exchange => sent,
                () = self.path_lost(job, &slot) => Err(Failure::MaybeSent),
            }
        };
        let sent = match job.left(now) {
            Some(left) => timeout(left, answer).await,
            None => Ok(answer.await),
        };
        match sent {
            Ok(Ok(exchange)) => self.judge(job, slot, exchange).await,
            Ok(Err(Failure::NotSent)) => {
                tries.runs.revert_send();
                Err(Halt::Failed(Fault::Unreachable))
            }
            Ok(Err(Failure::MaybeSent)) => {
                slot.sign(Attempt::Broken);
                tracing::info!(
                    event = "runner-broke-off",
                    request = job.head.id,
                    runner = slot.id
                );
                Err(Halt::Failed(Fault::MayHaveRun))
            }
            Err(_) => {
                slot.sign(Attempt::Broken);
                tries.runs.record_timeout();
                Err(Halt::Final(self.over(job, tries)))
            }
        }
    }

    /// Ends when the runner cannot be reached any more.
    ///
    /// Left to the kernel, the connection would end without a reset, and the request would
    /// reach the runner when the path is back, seconds after its caller was told that it
    /// failed.
    async fn path_lost(&self, job: &Job, slot: &Slot) {
        let sent = self.shared.now();
        loop {
            let now = self.shared.now();
            let silence = self.shared.state().fleet.liveness(now, slot.key, sent);
            match silence {
                Liveness::Recent(rest) => tokio::time::sleep(rest).await,
                Liveness::Silent if self.answers(slot).await => {}
                Liveness::Silent => {
                    slot.sign(Attempt::PathLost);
                    self.pool.remove(slot.address);
                    break;
                }
                Liveness::PathLost => break,
            }
        }
        tracing::info!(event = "path-lost", request = job.head.id, runner = slot.id);
    }

    /// Whether the runner takes a new connection, or refuses it; one that does is there.
    async fn answers(&self, slot: &Slot) -> bool {
        for _ in 0..MISSED {
            match Connection::connect(slot.address, pool::CONNECT_TIMEOUT).await {
                Ok(line) => {
                    self.pool.release(self.shared.now(), slot.address, line, None);
                    return true;
                }
                Err(err) if connection::is_connect_timeout(&err) => {}
                Err(_) => return true,
            }
        }
        false
    }

    async fn connect(&self, job: &Job, slot: &Slot) -> Result<Connection, Halt> {
        let now = self.shared.now();
        let limit = job.left(now).unwrap_or(pool::CONNECT_TIMEOUT);
        let taken = self.pool.acquire(now, slot.address, job.once(), limit).await;
        taken.map_err(|err| {
            tracing::info!(event = "runner-unreachable", request = job.head.id, runner = slot.id, reason = %format!("{err:#}"));
            slot.sign(Attempt::Unreachable);
            Halt::Failed(Fault::Unreachable)
        })
    }

    /// Whether the request may still leave for this runner.
    fn look(&self, now: Moment, job: &Job, slot: &Slot, tries: &Tries) -> Result<(), Halt> {
        if job.is_over(now) {
            return Err(Halt::Final(self.over(job, tries)));
        }
        let allowed = self.shared.state().may_send(now, &job.admission, &job.ask());
        if let Err(refusal) = allowed {
            return Err(Halt::Final(match tries.runs.may_have_run() {
                true => self.failed(job),
                false => self.timed(job, refusal),
            }));
        }
        match self.is_listed(slot) {
            true => Ok(()),
            false => Err(Halt::Failed(Fault::Unreachable)),
        }
    }

    /// Sorts an answer by its head.
    async fn judge(&self, job: &Job, slot: Slot, exchange: Exchange) -> Result<Opened, Halt> {
        let now = self.shared.now();
        self.shared.state().fleet.record_contact(now, slot.key);
        let (response, kept) = exchange.split();
        let (parts, body) = response.into_parts();
        let provenance = self.shared.adapter.parse_response(&parts);
        if provenance.not_run || parts.status == StatusCode::MISDIRECTED_REQUEST {
            let sign = match parts.status {
                StatusCode::MISDIRECTED_REQUEST => Attempt::Replaced,
                _ => Attempt::Full,
            };
            slot.sign(sign);
            tracing::info!(
                event = "runner-refused",
                request = job.head.id,
                runner = slot.id,
                status = parts.status.as_u16()
            );
            let drained = timeout(DRAIN, Limited::new(body, 64 * 1024).collect()).await;
            if matches!(drained, Ok(Ok(_))) {
                self.give(&slot, kept);
            }
            return Err(Halt::Failed(Fault::NotRun));
        }
        if !is_own(job, &parts, &provenance) {
            slot.sign(Attempt::Broken);
            tracing::warn!(
                event = "answer-not-own",
                request = job.head.id,
                runner = slot.id,
                status = parts.status.as_u16(),
                answers = provenance.request_id,
                signed = provenance.signed
            );
            return Err(Halt::Failed(Fault::MayHaveRun));
        }
        Ok(Opened {
            slot,
            kept,
            parts,
            body,
        })
    }

    /// Reads a plain answer to its end; `None` if it broke off.
    pub(super) async fn collect(&self, job: &Job, opened: Opened) -> Option<(response::Parts, Bytes)> {
        let Opened {
            mut slot,
            kept,
            parts,
            body,
        } = opened;
        slot.read();
        self.shared.count_start(job.admission.customer.as_deref());
        let whole = Limited::new(body, ANSWER_BYTES).collect();
        let left = job.left(self.shared.now()).unwrap_or(Duration::from_secs(3_600));
        let Ok(Ok(body)) = timeout(left, whole).await else {
            slot.sign(Attempt::Broken);
            tracing::info!(
                event = "answer-not-whole",
                request = job.head.id,
                runner = slot.id
            );
            return None;
        };
        slot.sign(match parts.status.is_server_error() {
            true => Attempt::Failed,
            false => Attempt::Succeeded,
        });
        self.give(&slot, kept);
        Some((parts, body.to_bytes()))
    }

    /// Gives a connection back whose answer was read to its end.
    pub fn give(&self, slot: &Slot, kept: ResponseConnection) {
        kept.release(&self.pool, self.shared.now());
        self.tell_idle(slot);
    }

    /// Lets placement know whether a new connection would be needed.
    fn tell_idle(&self, slot: &Slot) {
        let idle = self.pool.peek(slot.address);
        self.shared.state().fleet.set_idle(slot.key, idle);
    }

    fn is_listed(&self, slot: &Slot) -> bool {
        let state = self.shared.state();
        state.fleet.get(slot.key).is_some_and(|runner| runner.is_listed())
    }

    fn request(&self, now: Moment, job: &Job, after: Option<u64>, slot: &Slot) -> Request<Full<Bytes>> {
        let forwarding = Forwarding {
            runner_id: &slot.id,
            time_left: job.left(now),
            rank: job.is_stream().then_some(job.admission.rank),
            customer: job.admission.customer.as_deref(),
            resume_after: after.or(job.head.last_event),
            cache_source: slot.source,
        };
        let mut request = Request::new(Full::new(job.body.clone()));
        *request.method_mut() = job.parts.method.clone();
        *request.uri_mut() = job.parts.uri.clone();
        *request.headers_mut() = self.shared.adapter.forwarded_headers(&job.parts, &forwarding);
        request
    }

    /// The time is over.
    fn over(&self, job: &Job, tries: &Tries) -> Refusal {
        match tries.runs.may_have_run() {
            true => Refusal::new(Kind::UpstreamTimeout),
            false => self.refusal(job, tries, Kind::Late),
        }
    }

    fn failed(&self, job: &Job) -> Refusal {
        match job.is_over(self.shared.now()) {
            true => Refusal::new(Kind::UpstreamTimeout),
            false => Refusal::new(Kind::UpstreamBroken),
        }
    }

    /// A refusal that says "not run" if that is so.
    fn refusal(&self, job: &Job, tries: &Tries, kind: Kind) -> Refusal {
        if tries.runs.may_have_run() {
            return self.failed(job);
        }
        self.timed(job, Refusal::new(kind))
    }

    /// Tells when to come back.
    fn timed(&self, job: &Job, refusal: Refusal) -> Refusal {
        let left = job.left(self.shared.now());
        refusal.retry_after(come_back(left, rand::random()))
    }
}

/// Whether an answer is the runner's answer to this very request.
///
/// An extra answer may come late, where the next request's is expected; passed
/// on, a caller would get somebody else's data. Statuses that promise "not run"
/// are not passed on without the runner's own statement of it.
fn is_own(job: &Job, parts: &response::Parts, provenance: &Provenance) -> bool {
    let promises = matches!(parts.status.as_u16(), 408 | 421 | 429 | 503);
    let named = provenance.request_id.as_deref() == Some(job.head.id.as_str());
    let encoded = parts.headers.contains_key(CONTENT_ENCODING);
    named && provenance.signed && !promises && !encoded
}
