//! Copies of running streams, and their continuation at the runners that hold them.
//!
//! The decisions are those of [`Run`] and of [`copy`].

use std::net::SocketAddr;
use std::sync::Arc;

use radishstair_core::id::digest;
use radishstair_core::proxy::fleet::Key;
use radishstair_core::proxy::latency::Conditions;
use radishstair_core::proxy::run::copy::{self, Denial, Holder};
use radishstair_core::proxy::run::{Action, Answer, Event, Run, Stop};
use radishstair_core::retry::Fault;
use radishstair_core::time::Moment;

use super::super::Shared;
use super::super::adapter::Memory;
use super::super::forward::{AttemptError, Forwarder};
use super::super::job::{AttemptLog, Job};
use super::super::slot::Slot;
use super::segment::{Progress, Segment};
use super::takeover::record_silence;

/// A KV cache from which a request continues.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handle {
    /// Address of the runner that names it.
    pub address: SocketAddr,
    /// Id of it at that runner.
    pub id: String,
}

impl Handle {
    /// The same for the request's headers.
    pub fn memory(&self) -> Memory<'_> {
        Memory {
            address: self.address,
            handle: &self.id,
        }
    }
}

/// A copy of a running stream; dropping it releases its load.
#[derive(Debug)]
pub struct Copied {
    shared: Arc<Shared>,
    /// Runner that holds it.
    pub holder: Holder,
}

impl Drop for Copied {
    fn drop(&mut self) {
        self.shared
            .state()
            .fleet
            .finish_copy(self.holder.key, self.holder.kv_tokens);
        self.shared.load_changed.notify_one();
    }
}

impl Segment {
    /// Runner that holds the copy of this run.
    pub(super) fn holder(&self) -> Option<Key> {
        self.response.slot.copy.as_ref().map(|copy| copy.holder.key)
    }
}

impl Forwarder {
    /// Chooses the runner to which a request's KV cache is copied; `None` if it is not copied.
    pub(in super::super) fn place_copy(&self, now: Moment, job: &Job, slot: &Slot) -> Option<Copied> {
        if !self.shared.settings.load().streams.copies || !job.is_at_most_once() || !job.is_stream() {
            return None;
        }
        let stream = copy::Stream {
            source: slot.key,
            version: slot.software.version,
            way: slot.way,
            prompt_tokens: job.metadata.prompt_tokens,
            kv_tokens: slot.kv_tokens,
            hash: digest(job.metadata.id.as_bytes()),
        };
        let placed = self.shared.state().place_copy(now, &job.admission, &stream);
        match placed {
            Ok(holder) => {
                self.shared.metrics.count_copy("requested");
                self.shared.load_changed.notify_one();
                tracing::info!(
                    event = "stream-copied",
                    request = job.metadata.id,
                    runner = slot.id,
                    holder = %holder.address,
                    tokens = holder.kv_tokens
                );
                Some(Copied {
                    shared: self.shared.clone(),
                    holder,
                })
            }
            Err(Denial::NotOffered) => None,
            Err(Denial::TooLarge) => {
                self.shared.metrics.count_copy("too-large");
                None
            }
            Err(Denial::NoRoom) => {
                self.shared.metrics.count_copy("no-room");
                tracing::info!(
                    event = "stream-not-copied",
                    request = job.metadata.id,
                    runner = slot.id,
                    reason = "no-room"
                );
                None
            }
        }
    }

    /// Decides what follows as a segment has broken off or is silent. A retry is taken if the stream continues.
    pub(super) fn on_stop(
        &self,
        job: &Job,
        run: &mut Run,
        progress: &Progress,
        segment: &Segment,
        log: &mut AttemptLog,
    ) -> Action {
        let stop = match progress {
            // A silence of a resumable stream has ended; the runners that were asked have failed.
            Progress::Silent if job.is_at_most_once() => Stop::Silent,
            _ => Stop::Broken,
        };
        let last_event = segment.events.last_event;
        let may_continue = last_event.is_some() && self.may_continue(job, run, log);
        run.on_event(Event::Stopped {
            stop,
            last_event,
            may_continue,
        })
    }

    /// Whether the runner that holds the copy may be sent the request; takes a retry from the budget then.
    fn may_continue(&self, job: &Job, run: &Run, log: &mut AttemptLog) -> bool {
        let Some(holder) = run.holder() else {
            return false;
        };
        let Some(version) = log.origin.version() else {
            tracing::info!(
                event = "not-continued",
                request = job.metadata.id,
                reason = "version-unknown"
            );
            return false;
        };
        let now = self.shared.now();
        let service = &job.admission.service;
        let way = self.way(now, service);
        if job.is_expired(now) {
            return false;
        }
        let mut state = self.shared.state();
        let is_allowed = state.fleet.may_continue_at(now, holder, service, version, way);
        let may_continue = is_allowed && (log.has_paid || state.take_retry(now, service));
        drop(state);
        log.has_paid |= may_continue;
        if !may_continue {
            let reason = if is_allowed {
                "budget-spent"
            } else {
                "holder-unavailable"
            };
            tracing::info!(event = "not-continued", request = job.metadata.id, reason);
        }
        may_continue
    }

    /// Closes a segment and continues the stream from its copy; if that fails, resumes it where its route allows it.
    pub(super) async fn continue_from_copy(
        &self,
        job: &Job,
        run: &mut Run,
        mut segment: Segment,
        last_event: u64,
        progress: &Progress,
        log: &mut AttemptLog,
    ) -> Option<Segment> {
        let copy = segment.response.slot.copy.take();
        let result = progress.attempt_result();
        if matches!(progress, Progress::Silent) {
            record_silence(job, &segment.response.slot, log, Some(last_event));
        }
        log.history.record_run();
        // Two runners never work on one request, so the connection is closed first.
        segment.abandon(job, result);
        let continued = match copy {
            Some(copy) => self.continue_at(job, copy, last_event, log).await,
            None => Err(Answer::Failed),
        };
        let answer = match &continued {
            Ok(next) => Answer::Continued(next.holder()),
            Err(answer) => *answer,
        };
        self.shared.metrics.count_continuation("copy", outcome(answer));
        run.on_event(Event::Answered(answer));
        match continued {
            Ok(next) => Some(next),
            Err(_) => self.resume_run(job, run, Some(last_event), log).await,
        }
    }

    /// Resumes a stream with a new prefill; `None` if it cannot be resumed.
    pub(super) async fn resume_run(
        &self,
        job: &Job,
        run: &mut Run,
        last_event: Option<u64>,
        log: &mut AttemptLog,
    ) -> Option<Segment> {
        let next = self.resume(job, last_event, log).await;
        run.on_event(match &next {
            Some(next) => Event::Resumed(next.holder()),
            None => Event::Over,
        });
        next
    }

    /// Sends the request to the runner that holds the copy.
    async fn continue_at(
        &self,
        job: &Job,
        copy: Copied,
        last_event: u64,
        log: &mut AttemptLog,
    ) -> Result<Segment, Answer> {
        // A request that has crashed its runner may crash the next one as well.
        self.hold_back(job, log).await;
        let slot = self.slot_at_holder(job, copy, log).ok_or(Answer::Failed)?;
        let (runner, software) = (slot.id.clone(), slot.software.label.clone());
        let sent = self.send(job, Some(last_event), slot, log).await;
        log.has_paid = matches!(sent, Err(AttemptError::Failed(Fault::Unreachable)));
        let (answer, status) = match sent {
            Ok(response) if response.parts.status.is_success() => {
                let mut next = Segment::new(response, job, Some(last_event));
                next.response.slot.finish_resumed_prefill();
                tracing::info!(
                    event = "stream-continued",
                    request = job.metadata.id,
                    runner,
                    software,
                    from = "copy",
                    last = last_event
                );
                return Ok(next);
            }
            Ok(response) => (Answer::Failed, Some(response.parts.status.as_u16())),
            Err(AttemptError::Failed(Fault::NotRun)) => (Answer::Refused, Some(503)),
            Err(_) => (Answer::Failed, None),
        };
        tracing::info!(
            event = "continuation-refused",
            request = job.metadata.id,
            runner,
            from = "copy",
            status
        );
        Err(answer)
    }

    /// Reservation at the runner that holds the copy, which becomes part of it; `None` if the runner may not be sent
    /// the request any more.
    fn slot_at_holder(&self, job: &Job, copy: Copied, log: &AttemptLog) -> Option<Slot> {
        let now = self.shared.now();
        let service = &job.admission.service;
        let way = self.way(now, service);
        let Holder { key, kv_tokens, .. } = copy.holder;
        let version = log.origin.version()?;
        let mut state = self.shared.state();
        if !state.fleet.may_continue_at(now, key, service, version, way) {
            return None;
        }
        let listed = state.fleet.get(key)?.listed.clone();
        state.fleet.start_request(now, key, 0, kv_tokens);
        drop(state);
        Some(Slot {
            shared: self.shared.clone(),
            key,
            id: listed.id,
            software: listed.software,
            address: listed.address,
            way,
            relay: None,
            prefill_us: 0,
            kv_tokens,
            conditions: Conditions::default(),
            placed_at: now,
            sent_at: None,
            cache_source: None,
            continue_from: Some(Handle {
                address: listed.address,
                id: job.metadata.id.clone(),
            }),
            copy: None,
        })
    }
}

fn outcome(answer: Answer) -> &'static str {
    match answer {
        Answer::Continued(_) => "continued",
        Answer::Refused => "refused",
        Answer::Failed => "failed",
    }
}
