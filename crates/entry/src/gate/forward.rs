//! Passing one request on to a runner, and on to another where that is allowed.
//!
//! Once a byte of a request may have left, only the runner's own statement that
//! it did not run allows a second runner or a refusal that says "not run".
//! Everything else may have run: a reset, a closed connection, silence.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_ENCODING;
use hyper::http::response;
use hyper::{Request, Response, StatusCode};
use radishstair_core::error::{Kind, Refusal};
use radishstair_core::gate::fleet::{Key, Sign};
use radishstair_core::gate::route::Mode;
use radishstair_core::time::Moment;
use tokio::time::timeout;

use super::Shared;
use super::dialect::{Mark, Pass};
use super::job::{Job, Tries};
use super::reply::{self, Body};
use crate::upstream::pool::{self, Pool};
use crate::upstream::{self, Exchange, Failure, Kept};

/// Most bytes of a plain answer, which is held until it is whole.
const ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Runners tried without reaching one, before the caller is told so.
const UNREACHABLE: u32 = 4;
/// Longest time to read a refusal to its end, so that its connection serves on.
const DRAIN: Duration = Duration::from_millis(50);

/// A place on a runner; dropping it gives the place back.
#[derive(Debug)]
pub struct Slot {
    shared: Arc<Shared>,
    /// The runner.
    pub key: Key,
    /// Its id.
    pub id: String,
    address: SocketAddr,
    work: u64,
    held: u64,
    among: u32,
}

impl Slot {
    /// The runner has read the prompt.
    pub fn read(&mut self) {
        self.shared.state().fleet.read(self.key, self.work);
        self.work = 0;
    }

    /// Tells of the runner's health.
    pub fn sign(&self, sign: Sign) {
        let now = self.shared.now();
        self.shared.state().fleet.sign(now, self.key, sign);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.shared.state().fleet.end(self.key, self.work, self.held);
    }
}

/// A runner's answer whose head has come.
#[derive(Debug)]
pub struct Opened {
    /// Place on the runner.
    pub slot: Slot,
    /// Connection, to be given back once the answer was read whole.
    pub kept: Kept,
    /// Head.
    pub parts: response::Parts,
    /// Body.
    pub body: Incoming,
}

enum Attempt {
    Opened(Box<Opened>),
    Unreachable,
    NotRun,
    Broken,
    Late,
    Refused(Refusal),
}

/// Passes requests on.
#[derive(Debug)]
pub struct Forwarder {
    /// Shared state.
    pub shared: Arc<Shared>,
    /// Idle connections to runners.
    pub pool: Arc<Pool>,
}

impl Forwarder {
    /// Has a plain request run and returns its whole answer.
    ///
    /// # Errors
    ///
    /// The refusal that the caller gets.
    pub async fn plain(&self, job: &Job, tries: &mut Tries) -> Result<Response<Body>, Refusal> {
        let mut failure = None;
        loop {
            let opened = match self.seek(job, None, tries).await {
                Ok(opened) => opened,
                Err(refusal) => return failure.ok_or(refusal),
            };
            let Some((parts, body)) = self.collect(job, opened).await else {
                tries.ran = true;
                if self.may_repeat(job, tries) {
                    continue;
                }
                return failure.ok_or_else(|| self.failed(job));
            };
            let answer = reply::whole(&parts, body);
            // A service's own failure of a repeatable request may pass at
            // another runner: one in seven does on the users' look-ups.
            if parts.status.is_server_error() && job.admission.route.mode == Mode::Repeatable {
                tries.ran = true;
                if self.may_repeat(job, tries) {
                    failure = Some(answer);
                    continue;
                }
            }
            return Ok(answer);
        }
    }

    /// Finds a runner that answers; `after` is the event from which a stream
    /// goes on.
    ///
    /// # Errors
    ///
    /// The refusal that the caller gets.
    pub async fn seek(&self, job: &Job, after: Option<u64>, tries: &mut Tries) -> Result<Opened, Refusal> {
        loop {
            let now = self.shared.now();
            if job.is_over(now) {
                return Err(self.over(job, tries));
            }
            let Some(slot) = self.pick(now, job, &tries.tried) else {
                tries.among = 0;
                return Err(self.refusal(job, tries, Kind::NoRunner));
            };
            let key = slot.key;
            tries.tried.push(key);
            tries.last = Some(slot.id.clone());
            tries.among = slot.among;
            match self.attempt(job, after, slot, tries).await {
                Attempt::Opened(opened) => return Ok(*opened),
                Attempt::Unreachable => {
                    tries.unreachable += 1;
                    if tries.unreachable >= UNREACHABLE {
                        return Err(self.refusal(job, tries, Kind::NoRunner));
                    }
                }
                Attempt::NotRun => {
                    if !self.may_repeat(job, tries) {
                        return Err(self.refusal(job, tries, Kind::Overloaded));
                    }
                }
                Attempt::Broken => {
                    tries.ran = true;
                    if !self.may_repeat(job, tries) {
                        return Err(self.failed(job));
                    }
                }
                Attempt::Late => {
                    return Err(self.over(job, tries));
                }
                Attempt::Refused(_) if tries.ran => return Err(self.failed(job)),
                Attempt::Refused(refusal) => return Err(self.timed(job, refusal)),
            }
        }
    }

    /// Whether the request may be sent to one more runner.
    ///
    /// One that runs at most once and may have run must not; anything less
    /// strict would post an entry twice.
    pub fn may_repeat(&self, job: &Job, tries: &Tries) -> bool {
        let reason = self.barred(job, tries);
        if let Some(reason) = reason {
            tracing::info!(
                event = "not-repeated",
                request = job.head.id,
                reason,
                sent = tries.sent,
                ran = tries.ran
            );
        }
        reason.is_none()
    }

    /// Why the request may not be sent once more.
    fn barred(&self, job: &Job, tries: &Tries) -> Option<&'static str> {
        let now = self.shared.now();
        if tries.ran && job.once() {
            return Some("may-have-run");
        }
        if job.is_over(now) {
            return Some("time-over");
        }
        if tries.sent >= job.admission.route.attempts {
            return Some("attempts-spent");
        }
        let left = self.shared.state().may_repeat(now, &job.admission.service);
        (!left).then_some("budget-spent")
    }

    fn pick(&self, now: Moment, job: &Job, tried: &[Key]) -> Option<Slot> {
        let demand = job.demand(rand::random());
        let mut state = self.shared.state();
        let choice = state.place(now, &demand, tried)?;
        let listed = &state.fleet.get(choice.key)?.listed;
        let (id, address) = (listed.id.clone(), listed.address);
        drop(state);
        Some(Slot {
            shared: self.shared.clone(),
            key: choice.key,
            id,
            address,
            work: choice.work,
            held: demand.held(),
            among: choice.among,
        })
    }

    async fn attempt(&self, job: &Job, after: Option<u64>, slot: Slot, tries: &mut Tries) -> Attempt {
        let now = self.shared.now();
        let limit = job.left(now).unwrap_or(pool::CONNECT);
        let taken = self.pool.take(now, slot.address, job.once(), limit).await;
        let line = match taken {
            Ok(taken) => taken,
            Err(err) => {
                tracing::info!(event = "runner-unreachable", request = job.head.id, runner = slot.id, reason = %format!("{err:#}"));
                slot.sign(Sign::Unreachable);
                return Attempt::Unreachable;
            }
        };
        // The last look before the bytes leave: connecting may have taken long,
        // the process may have been frozen, the runner may have begun to leave.
        let now = self.shared.now();
        if job.is_over(now) {
            return Attempt::Late;
        }
        let allowed = self.shared.state().may_send(now, &job.admission, &job.ask());
        if let Err(refusal) = allowed {
            return Attempt::Refused(refusal);
        }
        if !self.is_listed(&slot) {
            return Attempt::Unreachable;
        }
        let request = self.request(now, job, after, &slot);
        tries.sent += 1;
        let exchange = upstream::exchange(line, slot.address, request);
        let sent = match job.left(now) {
            Some(left) => timeout(left, exchange).await,
            None => Ok(exchange.await),
        };
        match sent {
            Ok(Ok(exchange)) => self.judge(job, slot, exchange).await,
            Ok(Err(Failure::NotSent)) => {
                tries.sent -= 1;
                Attempt::Unreachable
            }
            Ok(Err(Failure::Broken)) => {
                slot.sign(Sign::Broken);
                tracing::info!(
                    event = "runner-broke-off",
                    request = job.head.id,
                    runner = slot.id
                );
                Attempt::Broken
            }
            Err(_) => {
                slot.sign(Sign::Broken);
                tries.ran = true;
                Attempt::Late
            }
        }
    }

    /// Sorts an answer by its head.
    async fn judge(&self, job: &Job, slot: Slot, exchange: Exchange) -> Attempt {
        let (response, kept) = exchange.split();
        let (parts, body) = response.into_parts();
        let mark = self.shared.dialect.mark(&parts);
        if mark.not_run || parts.status == StatusCode::MISDIRECTED_REQUEST {
            let sign = match parts.status {
                StatusCode::MISDIRECTED_REQUEST => Sign::Replaced,
                _ => Sign::Full,
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
            return Attempt::NotRun;
        }
        if !is_own(job, &parts, &mark) {
            slot.sign(Sign::Broken);
            tracing::warn!(
                event = "answer-not-own",
                request = job.head.id,
                runner = slot.id,
                status = parts.status.as_u16(),
                answers = mark.id,
                signed = mark.signed
            );
            return Attempt::Broken;
        }
        Attempt::Opened(Box::new(Opened {
            slot,
            kept,
            parts,
            body,
        }))
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
            slot.sign(Sign::Broken);
            tracing::info!(
                event = "answer-not-whole",
                request = job.head.id,
                runner = slot.id
            );
            return None;
        };
        slot.sign(match parts.status.is_server_error() {
            true => Sign::Failed,
            false => Sign::Sound,
        });
        self.give(&slot, kept);
        Some((parts, body.to_bytes()))
    }

    /// Gives a connection back whose answer was read to its end.
    pub fn give(&self, slot: &Slot, kept: Kept) {
        kept.give(&self.pool, self.shared.now());
        self.tell_idle(slot);
    }

    /// Lets placement know whether a new connection would be needed.
    fn tell_idle(&self, slot: &Slot) {
        let idle = self.pool.next(slot.address);
        self.shared.state().fleet.idle(slot.key, idle);
    }

    fn is_listed(&self, slot: &Slot) -> bool {
        let state = self.shared.state();
        state.fleet.get(slot.key).is_some_and(|runner| runner.is_listed())
    }

    fn request(&self, now: Moment, job: &Job, after: Option<u64>, slot: &Slot) -> Request<Full<Bytes>> {
        let pass = Pass {
            instance: &slot.id,
            left: job.left(now),
            rank: job.is_stream().then_some(job.admission.rank),
            customer: job.admission.customer.as_deref(),
            after: after.or(job.head.last_event),
        };
        let mut request = Request::new(Full::new(job.body.clone()));
        *request.method_mut() = job.parts.method.clone();
        *request.uri_mut() = job.parts.uri.clone();
        *request.headers_mut() = self.shared.dialect.pass(&job.parts, &pass);
        request
    }

    /// The time is over.
    fn over(&self, job: &Job, tries: &Tries) -> Refusal {
        match tries.ran {
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
        if tries.ran {
            return self.failed(job);
        }
        self.timed(job, Refusal::new(kind))
    }

    /// Tells when to come back.
    fn timed(&self, job: &Job, refusal: Refusal) -> Refusal {
        let left = job.left(self.shared.now());
        refusal.after(come_back(left, rand::random()))
    }
}

/// Longest time to come back after a refusal: runners that rest or boot serve
/// again about then.
const COME_BACK: Duration = Duration::from_millis(900);
/// Part of the caller's time left after which it comes back at the latest;
/// callers heed up to a third.
const COME_BACK_PART: f64 = 0.28;

/// When a refused caller comes back: spread over the second half of the span,
/// so that those refused together do not return together.
pub fn come_back(left: Option<Duration>, draw: u32) -> Duration {
    let part = left.unwrap_or(COME_BACK).mul_f64(COME_BACK_PART);
    let spread = 0.5 + 0.5 * f64::from(draw) / f64::from(u32::MAX);
    part.min(COME_BACK).mul_f64(spread)
}

/// Whether an answer is the runner's answer to this very request.
///
/// An extra answer may come late, where the next request's is expected; passed
/// on, a caller would get somebody else's data. Statuses that promise "not run"
/// are not passed on without the runner's own statement of it.
fn is_own(job: &Job, parts: &response::Parts, mark: &Mark) -> bool {
    let promises = matches!(parts.status.as_u16(), 408 | 421 | 429 | 503);
    let named = mark.id.as_deref() == Some(job.head.id.as_str());
    let encoded = parts.headers.contains_key(CONTENT_ENCODING);
    named && mark.signed && !promises && !encoded
}
