//! One runner's part in a stream: whole events, in order.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::header::CONTENT_LENGTH;
use radishstair_core::proxy::fleet::Sign;
use radishstair_core::time::Moment;
use tokio::time::timeout;

use super::super::Shared;
use super::super::events::{Events, Splitter};
use super::super::forward::{Forwarder, Opened};
use super::super::job::Job;

/// Shortest silence that ends a resumable stream's run: an engine under load
/// pauses for most of a second.
const SILENCE: Duration = Duration::from_millis(1_500);
/// The same in pauses that the operator allows.
const SILENCE_GAPS: u32 = 2;
/// No limit.
const FOREVER: Duration = Duration::from_secs(24 * 3_600);

/// A runner's part in a stream.
pub struct Segment {
    /// The runner's answer.
    pub opened: Opened,
    /// Id of the last event that came.
    pub last: Option<u64>,
    splitter: Splitter,
    framed: bool,
    /// When the last event came.
    came: Option<Moment>,
}

/// What comes of waiting for a run.
pub enum Progress {
    /// Whole events.
    Events(Events),
    /// The stream is whole.
    End,
    /// The runner broke off, or has been silent for too long.
    Broken,
    /// The caller's time is over.
    Over,
}

impl Segment {
    /// A run whose answer has begun; `last` is the event after which it goes on.
    pub fn new(opened: Opened, last: Option<u64>) -> Self {
        let headers = &opened.parts.headers;
        let framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key("transfer-encoding");
        Self {
            opened,
            splitter: Splitter::default(),
            last,
            framed,
            came: None,
        }
    }

    /// The next piece.
    ///
    /// A resumable stream whose runner falls silent counts as broken, to go on
    /// elsewhere: a runner behind a cut sends no reset, and probes take seconds
    /// to show it. A silence after which another runner would not help, or that
    /// no other may end, is waited out.
    ///
    /// A host that is told to stop waits for all: a stream that it moved could find no other
    /// runner, and a stop must cut nobody whose runner is only slow.
    pub async fn next(&mut self, job: &Job, shared: &Shared) -> Progress {
        loop {
            let left = job.left(shared.now()).unwrap_or(FOREVER);
            let patience = self.patience(job).unwrap_or(FOREVER);
            match timeout(left.min(patience), self.events()).await {
                Ok(piece) => return piece,
                Err(_) if patience >= left => return Progress::Over,
                Err(_) if shared.is_stopping() => {}
                Err(_) => return Progress::Broken,
            }
        }
    }

    /// Longest silence of a run that another one could follow.
    fn patience(&self, job: &Job) -> Option<Duration> {
        self.last.filter(|_| !job.once())?;
        let gap = job.admission.route.gap?;
        Some((gap * SILENCE_GAPS).max(SILENCE))
    }

    /// The next whole events.
    async fn events(&mut self) -> Progress {
        loop {
            let Some(frame) = self.opened.body.frame().await else {
                return self.end();
            };
            let Ok(frame) = frame else {
                return Progress::Broken;
            };
            let Some(bytes) = frame.data_ref() else {
                continue;
            };
            let Some(events) = self.splitter.push(bytes) else {
                return Progress::Broken;
            };
            if events.bytes.is_empty() {
                continue;
            }
            if !self.follows(&events.ids) {
                return Progress::Broken;
            }
            return Progress::Events(events);
        }
    }

    /// Without a length or chunks only a whole event tells the end from a break.
    fn end(&self) -> Progress {
        match self.splitter.is_empty() {
            true => Progress::End,
            false => Progress::Broken,
        }
    }

    /// Whether events follow the last one without a gap.
    ///
    /// A runner that goes on elsewhere than asked would give the caller a piece
    /// twice or leave one out.
    fn follows(&mut self, ids: &[u64]) -> bool {
        for id in ids {
            if self.last.is_some_and(|last| *id != last + 1) {
                return false;
            }
            self.last = Some(*id);
        }
        true
    }

    /// An event came at `now`, after which pauses count.
    pub fn rest(&mut self, now: Moment) {
        self.came = Some(now);
    }

    /// Lets placement know how long the pause before events was. Several that came together
    /// waited somewhere else.
    pub fn tell(&mut self, now: Moment, events: &Events) {
        if let (Some(came), 1) = (self.came, events.ids.len()) {
            self.opened.slot.event(now.since(came));
        }
        self.came = Some(now);
    }

    /// Closes a run that broke off; the event after which another one goes on.
    ///
    /// Dropping it closes its connection, so that two runners never work on one stream.
    pub fn abandon(self, job: &Job) -> Option<u64> {
        self.opened.slot.sign(Sign::Broken);
        tracing::info!(
            event = "stream-broken",
            request = job.head.id,
            runner = self.opened.slot.id,
            last = self.last
        );
        self.last
    }

    /// Ends a run that came to its end; its connection serves on.
    pub fn finish(self, forwarder: &Forwarder) {
        let Opened { slot, kept, .. } = self.opened;
        slot.sign(Sign::Sound);
        if self.framed {
            forwarder.give(&slot, kept);
        }
    }
}
