//! Silent streams: waits until the runner goes on, or another one has taken the stream over.
//!
//! The decisions are those of [`Takeover`].

use std::future::{Future, pending};
use std::pin::pin;

use hyper::body::Incoming;
use radishstair_core::proxy::fleet::{AttemptResult, Key, Way};
use radishstair_core::proxy::origin::Origin;
use radishstair_core::proxy::takeover::{Action, Denial, Event, MAX_OVERLAP, Takeover};
use radishstair_core::retry::{self, Fault};
use radishstair_core::time::Moment;
use tokio::time::timeout;

use super::super::Shared;
use super::super::events::Events;
use super::super::forward::{AttemptError, Forwarder, RunnerResponse};
use super::super::job::{AttemptLog, Job};
use super::super::slot::Slot;
use super::segment::{EventReader, NO_LIMIT, Progress, Segment, record_break};

/// How the silence of a stream ended.
pub enum Outcome {
    /// The runner was heard, has broken off, or was silent until the deadline.
    First(Progress),
    /// Another runner has taken the stream over, with these first events.
    Other(Box<Segment>, Events),
}

/// The silent runner of a stream, while others are asked.
struct First<'a> {
    slot: &'a Slot,
    head_at: Moment,
    body: &'a mut Incoming,
    events: &'a mut EventReader,
    is_break_recorded: &'a mut bool,
    takeover: Takeover,
    last_denial: Option<Denial>,
}

/// What ended a wait.
enum Signal<T> {
    /// The first runner has sent something, or time is over.
    First(Progress),
    /// Something else is to be done.
    Action(Action),
    /// The other future has completed.
    Other(T),
}

impl First<'_> {
    /// Waits for the first runner and another future.
    async fn wait<T>(&mut self, shared: &Shared, job: &Job, other: impl Future<Output = T>) -> Signal<T> {
        let mut other = pin!(other);
        loop {
            let now = shared.now();
            let time_left = job.time_left(now).unwrap_or(NO_LIMIT);
            let tick = self.takeover.next_tick().map_or(NO_LIMIT, |at| now.until(at));
            let has_first = self.takeover.has_first();
            let event = tokio::select! {
                biased;
                progress = self.events.next(self.body), if has_first => match progress {
                    Progress::Broken => {
                        record_break(job, self.slot, self.head_at);
                        *self.is_break_recorded = true;
                        Event::FirstBroken
                    }
                    progress => return Signal::First(progress),
                },
                result = other.as_mut() => return Signal::Other(result),
                () = tokio::time::sleep(time_left.min(tick)) => Event::Tick,
            };
            let now = shared.now();
            if job.is_expired(now) {
                return Signal::First(Progress::TimedOut);
            }
            match self.takeover.on_event(now, event) {
                Action::Wait => {}
                Action::CloseOther if !shared.state().has_retry(now, &job.admission.service) => {
                    // No further runner could be asked, so this one is waited for once more.
                    self.takeover.on_event(now, Event::OtherSent { is_last: false });
                }
                action => return Signal::Action(action),
            }
        }
    }

    /// Records why no other runner takes over; returns whether the stream is broken.
    fn deny(&mut self, now: Moment, job: &Job, denial: Denial) -> bool {
        if self.last_denial != Some(denial) {
            tracing::info!(
                event = "takeover-denied",
                request = job.metadata.id,
                runner = self.slot.id,
                reason = denial.name()
            );
            self.last_denial = Some(denial);
        }
        self.takeover.on_event(now, Event::OtherDenied(denial)) == Action::Broken
    }

    /// Waits for the first events of another runner that has answered, for a short time only.
    async fn await_begin(&mut self, job: &Job, shared: &Shared, next: &mut Segment) -> Begin {
        let begin = timeout(MAX_OVERLAP, next.next(job, shared));
        match self.wait(shared, job, begin).await {
            Signal::First(progress) => Begin::First(progress),
            Signal::Other(Ok(Progress::Events(events))) => Begin::Other(events),
            Signal::Other(Ok(Progress::Broken)) => Begin::Broken,
            Signal::Other(_) | Signal::Action(_) => Begin::Other(Events::default()),
        }
    }
}

/// Who goes on after another runner has answered.
enum Begin {
    First(Progress),
    Other(Events),
    Broken,
}

impl Forwarder {
    /// Waits until the runner of a silent segment is heard, or another one has taken the stream over.
    pub(super) async fn outlast_silence(
        &self,
        job: &Job,
        segment: &mut Segment,
        log: &mut AttemptLog,
    ) -> Outcome {
        let (shared, silent_at) = (&*self.shared, self.shared.now());
        let Segment {
            response,
            events,
            is_break_recorded,
            ..
        } = segment;
        let RunnerResponse {
            slot, body, head_at, ..
        } = response;
        let slot = &*slot;
        record_silence(job, slot, log, events.last_event);
        let mut first = First {
            slot,
            head_at: *head_at,
            body,
            events,
            is_break_recorded,
            takeover: Takeover::new(silent_at),
            last_denial: None,
        };
        let progress = loop {
            match first.wait(shared, job, pending::<()>()).await {
                Signal::First(progress) => break progress,
                Signal::Action(Action::Ask) => {}
                Signal::Action(Action::Broken) => break Progress::Broken,
                Signal::Action(_) | Signal::Other(()) => continue,
            }
            let reserved = first.wait(shared, job, self.reserve_other(job, log)).await;
            log.avoided.clear();
            let other = match reserved {
                Signal::First(progress) => break progress,
                Signal::Action(_) => continue,
                Signal::Other(Ok(other)) => other,
                Signal::Other(Err(denial)) if first.deny(shared.now(), job, denial) => {
                    break Progress::Broken;
                }
                Signal::Other(Err(_)) => continue,
            };
            let other_key = other.key;
            let last_event = first.events.last_event;
            let is_last = log.history.sends() + 1 >= job.admission.route.attempts;
            first
                .takeover
                .on_event(shared.now(), Event::OtherSent { is_last });
            let send = self.send(job, last_event, other, log);
            let denial = match first.wait(shared, job, send).await {
                Signal::First(progress) => break progress,
                Signal::Other(Ok(response)) if response.parts.status.is_success() => {
                    log.has_paid = false;
                    let mut next = Segment::new(response, job, last_event);
                    match first.await_begin(job, shared, &mut next).await {
                        Begin::First(progress) => break progress,
                        Begin::Other(events) => {
                            shared.metrics.count_silence("taken-over");
                            return Outcome::Other(Box::new(next), events);
                        }
                        Begin::Broken => {
                            next.abandon(job, AttemptResult::Broken);
                            Denial::Failed
                        }
                    }
                }
                Signal::Other(Err(AttemptError::Final(_))) => Denial::Refused,
                Signal::Other(Err(AttemptError::Failed(
                    fault @ (Fault::Unreachable | Fault::OtherRunner),
                ))) => {
                    log.has_paid &= fault == Fault::Unreachable;
                    let rule = job.retry_rule();
                    let denial = log.history.record_failure(&rule, fault, false, || true);
                    denial.map_or(Denial::Failed, Denial::Retry)
                }
                Signal::Other(Ok(_) | Err(AttemptError::Failed(Fault::NotRun | Fault::MayHaveRun))) => {
                    log.has_paid = false;
                    Denial::Failed
                }
                Signal::Action(_) => {
                    log.has_paid = false;
                    shared.state().fleet.record_stall(shared.now(), other_key);
                    Denial::Slow
                }
            };
            if first.deny(shared.now(), job, denial) {
                break Progress::Broken;
            }
        };
        log_end(job, slot, silent_at, shared.now(), &progress);
        Outcome::First(progress)
    }

    /// Reserves a slot at another runner that may take a silent stream over now.
    async fn reserve_other(&self, job: &Job, log: &mut AttemptLog) -> Result<Slot, Denial> {
        if self.shared.is_stopping() {
            // A stream that a stopping host moved might find no other runner.
            return Err(Denial::Stopping);
        }
        if log.origin == Origin::Unknown {
            return Err(Denial::VersionUnknown);
        }
        let service = &job.admission.service;
        let now = self.shared.now();
        let denial = log.history.denial(&job.retry_rule(), job.is_expired(now), || {
            log.has_paid || self.shared.state().has_retry(now, service)
        });
        if let Some(denial) = denial {
            return Err(Denial::Retry(denial));
        }
        log.avoided = self.runners_to_avoid(now, service);
        let reserved = self.acquire_slot(job, log).await;
        let slot = reserved.map_err(|_| Denial::NoRunner)?;
        log.has_paid = log.has_paid || self.shared.state().take_retry(self.shared.now(), service);
        match log.has_paid {
            true => Ok(slot),
            false => Err(Denial::Retry(retry::Denial::BudgetExhausted)),
        }
    }

    /// Runners that would not go on with a stream at once: silent or full ones. Through a peer, which runners
    /// are silent is not known.
    fn runners_to_avoid(&self, now: Moment, service: &str) -> Vec<Key> {
        match self.way(now, service) {
            Way::Direct => self.shared.state().fleet.busy(now, service),
            Way::Relayed => Vec::new(),
        }
    }
}

/// Records that the runner of a stream has fallen silent.
pub(super) fn record_silence(job: &Job, slot: &Slot, log: &mut AttemptLog, last_event: Option<u64>) {
    let now = slot.shared.now();
    log.history.record_run();
    slot.record_attempt(AttemptResult::Silent);
    slot.shared.state().fleet.record_stall(now, slot.key);
    slot.suspect_path();
    tracing::info!(
        event = "stream-silent",
        request = job.metadata.id,
        runner = slot.id,
        software = slot.software.label,
        last = last_event,
        parts = job.logged_parts()
    );
}

fn log_end(job: &Job, slot: &Slot, silent_at: Moment, now: Moment, progress: &Progress) {
    let outcome = match progress {
        Progress::Events(_) | Progress::Complete => "went-on",
        Progress::Broken | Progress::Silent => "broken",
        Progress::TimedOut => "over",
    };
    slot.shared.metrics.count_silence(outcome);
    tracing::info!(
        event = "silence-ended",
        request = job.metadata.id,
        runner = slot.id,
        outcome,
        after_ms = now.since(silent_at).as_millis() as u64
    );
}
