//! Pauses of a stream: the longest one between two events, and what caused it.
//!
//! A pause counts from one receipt of events to the next. Time in which the caller does not take what was received
//! is left out: the host reads nothing from the runner meanwhile, so it cannot know whether the runner was late.

use std::time::Duration;

use crate::time::Moment;

plain! {
    /// What caused the longest pause of a stream.
    #[derive(Copy, Eq)]
    pub enum Cause {
        /// The stream had fewer than two events.
        None,
        /// The runner that sent both events.
        Runner,
        /// The stream was moved to another runner.
        Move,
        /// The runner broke off or fell silent, and the stream continued elsewhere.
        Break,
    }
}

impl Cause {
    /// Name in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Cause::None => "none",
            Cause::Runner => "runner",
            Cause::Move => "move",
            Cause::Break => "break",
        }
    }
}

plain! {
    /// Record of the pauses of one stream.
    #[derive(Copy, Eq)]
    pub struct Pauses {
        arrived: Moment,
        /// Time from the request's arrival to its first event.
        first: Option<Duration>,
        /// Start of the current pause, later by the time in which the caller did not read.
        since: Moment,
        /// When something was last received and handed to the caller.
        handed_at: Moment,
        /// Cause of the current pause.
        current: Cause,
        longest: Option<Duration>,
        cause: Cause,
    }
}

impl Pauses {
    /// Starts the record of a stream whose request arrived at `arrived`.
    pub fn new(arrived: Moment) -> Self {
        Self {
            arrived,
            first: None,
            since: arrived,
            handed_at: arrived,
            current: Cause::Runner,
            longest: None,
            cause: Cause::None,
        }
    }

    /// Records the receipt of this many events from a runner. Comments are no events and end no pause.
    pub fn on_received(&mut self, now: Moment, events: usize) {
        self.handed_at = now;
        if events == 0 {
            return;
        }
        match self.first {
            None => self.first = Some(now.since(self.arrived)),
            Some(_) => self.end_pause(now.since(self.since)),
        }
        // Events that were received together have no pause between them.
        if events > 1 && self.longest.is_none() {
            (self.longest, self.cause) = (Some(Duration::ZERO), Cause::Runner);
        }
        self.since = now;
        self.current = Cause::Runner;
    }

    fn end_pause(&mut self, pause: Duration) {
        if self.longest.is_none_or(|longest| pause > longest) {
            (self.longest, self.cause) = (Some(pause), self.current);
        }
    }

    /// Records that the caller has taken what was last received. The time since then is no pause.
    pub fn on_taken(&mut self, now: Moment) {
        self.since = self.since + now.since(self.handed_at);
        self.handed_at = now;
    }

    /// Records that the stream continues on another runner, which is the cause of the current pause. Of several
    /// causes in one pause, the last one counts.
    pub fn on_continuation(&mut self, cause: Cause) {
        self.current = cause;
    }

    /// Time from the request's arrival to its first event; `None` if there was none.
    pub fn first(&self) -> Option<Duration> {
        self.first
    }

    /// Longest time between two events; `None` if there were fewer than two.
    pub fn longest(&self) -> Option<Duration> {
        self.longest
    }

    /// Cause of the longest pause.
    pub fn cause(&self) -> Cause {
        self.cause
    }

    /// Whether the longest pause exceeds what the route allows.
    pub fn is_stalled(&self, allowed_gap: Option<Duration>) -> bool {
        let longest = self.longest.unwrap_or_default();
        allowed_gap.is_some_and(|allowed_gap| longest > allowed_gap)
    }
}
