//! One runner's segment of a stream: complete events, in order.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use radishstair_core::proxy::crash::{End, Suspect};
use radishstair_core::proxy::fleet::AttemptResult;
use radishstair_core::proxy::memory::Purpose;
use radishstair_core::time::Moment;
use tokio::time::timeout;

use super::super::Shared;
use super::super::crashes;
use super::super::events::{Events, MAX_EVENT_BYTES, Splitter};
use super::super::forward::{Forwarder, RunnerResponse};
use super::super::held::Held;
use super::super::job::Job;
use super::super::slot::Slot;
use crate::upstream::connection::has_marked_end;

/// Minimum silence after which a segment of a resumable stream counts as broken:
/// an engine under load pauses for most of a second.
const MIN_SILENCE: Duration = Duration::from_millis(1_500);
/// The same limit as a multiple of the operator's longest gap between events.
const SILENCE_GAP_MULTIPLE: u32 = 2;
/// Incomplete events up to this size, in bytes, are within the memory that is reserved for each request.
const SMALL_EVENT_BYTES: usize = 8 * 1024;
/// Time between two records that an answer runs on.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum wait for an event that shows that its runner lives: one that comes sooner may have been received before.
const MIN_EVENT_WAIT: Duration = Duration::from_millis(2);
/// Duration that stands for no limit.
pub const NO_LIMIT: Duration = Duration::from_secs(24 * 3_600);

/// A runner's segment of a stream.
pub struct Segment {
    /// The runner's response.
    pub response: RunnerResponse,
    /// Events of its body.
    pub events: EventReader,
    /// Whether it has been recorded that the runner has broken off.
    pub is_break_recorded: bool,
    /// Whether a length or chunks mark the end of the body.
    is_framed: bool,
    /// Time at which the last event arrived.
    last_arrival: Option<Moment>,
    /// When it was last recorded that the answer runs on; at first, when it began.
    progress_at: Moment,
}

/// Reads the events of one runner's response.
pub struct EventReader {
    splitter: Splitter,
    /// Memory for an incomplete event.
    held: Held,
    /// Whether it has been reserved.
    is_reserved: bool,
    /// Whether the body may end here: an event has come, or none need come.
    may_end: bool,
    /// Id of the last event received.
    pub last_event: Option<u64>,
}

/// Result of waiting for a segment.
pub enum Progress {
    /// Complete events.
    Events(Events),
    /// The stream has ended and is complete.
    Complete,
    /// The runner broke off.
    Broken,
    /// The runner was silent for too long.
    Silent,
    /// The deadline has passed.
    TimedOut,
}

impl Progress {
    /// Result of the attempt, if the segment has not ended in order.
    pub fn attempt_result(&self) -> AttemptResult {
        match self {
            Progress::Silent => AttemptResult::Silent,
            Progress::Events(_) | Progress::Complete | Progress::Broken | Progress::TimedOut => {
                AttemptResult::Broken
            }
        }
    }
}

impl Segment {
    /// Creates a segment from a response; `last_event` is the event after which it resumes.
    pub fn new(response: RunnerResponse, job: &Job, last_event: Option<u64>) -> Self {
        let is_framed = has_marked_end(&response.parts);
        let is_resumed = last_event.or(job.metadata.last_event).is_some();
        let held = Held::empty(response.slot.shared.memory.clone());
        Self {
            progress_at: response.head_at,
            response,
            events: EventReader {
                splitter: Splitter::default(),
                held,
                is_reserved: false,
                // What is left of a stream after its last event is empty.
                may_end: is_framed && is_resumed,
                last_event,
            },
            is_break_recorded: false,
            is_framed,
            last_arrival: None,
        }
    }

    /// Waits for the next events, the end of the segment, or a silence after which another runner may take
    /// the stream over: over a lost path no reset arrives, and keep-alive probes take seconds to detect it.
    pub async fn next(&mut self, job: &Job, shared: &Shared) -> Progress {
        let time_left = job.time_left(shared.now()).unwrap_or(NO_LIMIT);
        let silence_limit = self.silence_limit(job).unwrap_or(NO_LIMIT);
        let next = self.events.next(&mut self.response.body);
        let waiting_since = shared.now();
        match timeout(time_left.min(silence_limit), next).await {
            Ok(progress) => {
                if matches!(progress, Progress::Events(_)) {
                    self.record_progress(job, shared, waiting_since);
                }
                progress
            }
            Err(_) if silence_limit >= time_left => Progress::TimedOut,
            Err(_) => Progress::Silent,
        }
    }

    /// Records that the answer ran on after `waiting_since`, when the host began to wait for the event that has come.
    fn record_progress(&mut self, job: &Job, shared: &Shared, waiting_since: Moment) {
        let has_waited = shared.now().since(waiting_since) >= MIN_EVENT_WAIT;
        if has_waited && waiting_since.since(self.progress_at) >= PROGRESS_INTERVAL {
            self.progress_at = waiting_since;
            crashes::record_progress(shared, job, waiting_since, self.response.head_at);
        }
    }

    /// Longest silence of a segment that another one may follow; `None` if none may.
    fn silence_limit(&self, job: &Job) -> Option<Duration> {
        let may_follow = !job.is_at_most_once() || self.response.slot.copy.is_some();
        self.events.last_event.filter(|_| may_follow)?;
        let gap = job.admission.route.max_event_gap?;
        Some((gap * SILENCE_GAP_MULTIPLE).max(MIN_SILENCE))
    }

    /// Starts measuring pauses at an event that arrived at `now`.
    pub fn start_timing(&mut self, now: Moment) {
        self.last_arrival = Some(now);
    }

    /// Records the pause before an event, for placement.
    ///
    /// Several events that arrive together were delayed elsewhere and are not counted.
    pub fn record_pause(&mut self, now: Moment, events: &Events) {
        let last_arrival = self.last_arrival.filter(|_| events.ids.len() == 1);
        let pause = last_arrival.map(|last_arrival| now.since(last_arrival));
        self.response.slot.record_event(now, pause);
        self.last_arrival = Some(now);
    }

    /// Leaves the current pause out, as a runner's long silence is no measure of its pace.
    pub fn skip_pause(&mut self) {
        self.last_arrival = None;
    }

    /// Closes a broken or silent segment; returns the event after which the next one resumes.
    ///
    /// Dropping the segment closes its connection, so that two runners never work on one
    /// stream.
    pub fn abandon(self, job: &Job, result: AttemptResult) -> Option<u64> {
        if result == AttemptResult::Broken && !self.is_break_recorded {
            record_break(job, &self.response.slot, self.response.head_at);
        }
        let now = self.response.slot.shared.now();
        let silent_ms = self
            .last_arrival
            .map(|last_arrival| now.since(last_arrival).as_millis() as u64);
        let ended_by = match result {
            AttemptResult::Silent if !self.is_break_recorded => "host",
            _ => "runner",
        };
        tracing::info!(
            event = "stream-broken",
            request = job.metadata.id,
            runner = self.response.slot.id,
            software = self.response.slot.software.label,
            ended_by,
            silent_ms,
            last = self.events.last_event,
            parts = job.logged_parts(),
            content = job.logged_content()
        );
        self.events.last_event
    }

    /// Ends a complete segment; its connection is reused if the response was framed.
    pub fn finish(self, forwarder: &Forwarder, job: &Job, probe: Option<Suspect>) {
        let RunnerResponse {
            slot,
            connection,
            head_at,
            ..
        } = self.response;
        slot.record_attempt(AttemptResult::Succeeded);
        if self.is_framed {
            crashes::record_answer(&forwarder.shared, job);
            if let Some(part) = probe {
                crashes::lift(forwarder.shared.clone(), forwarder.store.clone(), part);
            }
            forwarder.return_connection(&slot, connection);
        } else {
            crashes::record_end(job, &slot, End::Unmarked, Some(head_at));
        }
    }
}

/// Records that a runner has broken off.
pub fn record_break(job: &Job, slot: &Slot, head_at: Moment) {
    slot.record_attempt(AttemptResult::Broken);
    crashes::record_end(job, slot, End::Broken, Some(head_at));
}

impl EventReader {
    /// Reads up to the next complete events. May be dropped and called again.
    pub async fn next(&mut self, body: &mut Incoming) -> Progress {
        loop {
            let Some(frame) = body.frame().await else {
                return self.on_eof();
            };
            let Ok(frame) = frame else {
                return Progress::Broken;
            };
            let Some(bytes) = frame.data_ref() else {
                continue;
            };
            let Some(events) = self.splitter.push(bytes) else {
                tracing::warn!(event = "event-too-long", last = self.last_event);
                return Progress::Broken;
            };
            if !self.reserve_pending() {
                tracing::warn!(event = "event-not-kept", last = self.last_event);
                return Progress::Broken;
            }
            if events.bytes.is_empty() {
                continue;
            }
            if !self.advance(&events.ids) {
                return Progress::Broken;
            }
            self.may_end = true;
            return Progress::Events(events);
        }
    }

    /// Reserves memory for an event that is still incomplete after a few reads; returns whether it was available.
    fn reserve_pending(&mut self) -> bool {
        if self.splitter.pending() > SMALL_EVENT_BYTES && !self.is_reserved {
            self.is_reserved = self.held.try_grow(Purpose::LargeAnswer, MAX_EVENT_BYTES as u64);
            return self.is_reserved;
        }
        true
    }

    /// Without a length or chunks, an incomplete event, or none at all, is the only sign of a break.
    fn on_eof(&self) -> Progress {
        match self.may_end && self.splitter.is_empty() {
            true => Progress::Complete,
            false => Progress::Broken,
        }
    }

    /// Advances past the given event ids; false, at the former event, if they leave a gap or repeat an event.
    ///
    /// A runner that resumes at another event than requested would repeat events to
    /// the caller or omit some.
    fn advance(&mut self, ids: &[u64]) -> bool {
        let mut last_event = self.last_event;
        for id in ids {
            if last_event.is_some_and(|last| last.checked_add(1) != Some(*id)) {
                return false;
            }
            last_event = Some(*id);
        }
        self.last_event = last_event;
        true
    }
}
