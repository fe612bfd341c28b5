//! When another runner takes over a stream whose runner has fallen silent.
//!
//! An engine that prefills long prompts sends nothing to its running streams for seconds, and then goes on.
//! A lost path, or a connection that has died without a reset, looks the same. So the silent runner, the first
//! one, keeps its connection until another runner has begun to answer, and the one that is heard first serves
//! the stream from then on. Whether another runner may be asked at all (attempts, retry budget, room) is found
//! out beforehand; while it may not, the host waits for the first one.
//!
//! Two runners may work on one stream for 400 ms. An engine runs a request from its first token on. The first
//! runner is therefore left at the first event of the other one, or [`MAX_OVERLAP`] after the head of its answer.

use std::time::Duration;

use crate::retry;
use crate::time::Moment;

/// Time between two checks whether another runner may be asked.
pub const ASK_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time between the head of another runner's answer and the end of the first runner's connection.
pub const MAX_OVERLAP: Duration = Duration::from_millis(300);
/// Longest wait for another runner to begin if a further one may be asked after it.
pub const MAX_OTHER_WAIT: Duration = Duration::from_millis(1_500);

plain! {
    /// Why no other runner takes the stream over now.
    #[derive(Copy, Eq)]
    pub enum Denial {
        /// The stream may not be sent again, for now or for good.
        Retry(retry::Denial),
        /// The version that began the stream is not known.
        VersionUnknown,
        /// This host is stopping; streams stay where they are.
        Stopping,
        /// No other runner has room.
        NoRunner,
        /// The stream may not be sent, as its key was withdrawn or its prompt is under quarantine.
        Refused,
        /// The other runner refused, failed or broke off.
        Failed,
        /// The other runner did not begin in time.
        Slow,
    }
}

impl Denial {
    /// Name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Denial::Retry(denial) => denial.name(),
            Denial::VersionUnknown => "version-unknown",
            Denial::Stopping => "stopping",
            Denial::NoRunner => "no-runner",
            Denial::Refused => "refused",
            Denial::Failed => "other-failed",
            Denial::Slow => "other-slow",
        }
    }

    /// Time after which another runner may be asked; `None` if none may for the rest of the silence.
    ///
    /// A runner that was asked in vain makes way for a further one at once; attempts and budget limit how many.
    pub fn ask_after(self) -> Option<Duration> {
        match self {
            Denial::Failed | Denial::Slow => Some(Duration::ZERO),
            Denial::Retry(retry::Denial::BudgetExhausted | retry::Denial::Unreachable) | Denial::NoRunner => {
                Some(ASK_INTERVAL)
            }
            Denial::Retry(
                retry::Denial::MayHaveRun | retry::Denial::TimedOut | retry::Denial::AttemptsExhausted,
            )
            | Denial::VersionUnknown
            | Denial::Stopping
            | Denial::Refused => None,
        }
    }
}

plain! {
    /// What happens to a silent stream, until one of the two runners is heard.
    #[derive(Copy, Eq)]
    pub enum Event {
        /// The first runner has broken off.
        FirstBroken,
        /// The stream is sent to another runner, or that one is to be waited for once more.
        OtherSent {
            /// Whether no further runner may be asked after it.
            is_last: bool,
        },
        /// The other runner could not be asked, or does not take the stream over.
        OtherDenied(Denial),
        /// Time has passed.
        Tick,
    }
}

plain! {
    /// What to do next.
    #[derive(Copy, Eq)]
    pub enum Action {
        /// Wait for the next event.
        Wait,
        /// Ask whether another runner may take over, and send it the stream.
        Ask,
        /// Close the connection to the other runner, which counts as denied.
        CloseOther,
        /// Neither runner is left.
        Broken,
    }
}

plain! {
    /// State of the other runner.
    #[derive(Copy, Eq)]
    enum Other {
        /// None is asked before this time.
        Idle(Moment),
        /// None is asked any more.
        Never,
        /// One is being chosen.
        Asked,
        /// One has the request, and may keep it until this time, if there is a limit.
        Sent(Option<Moment>),
    }
}

plain! {
    /// One silence of a stream.
    #[derive(Copy, Eq)]
    pub struct Takeover {
        other: Other,
        has_first: bool,
    }
}

impl Takeover {
    /// Begins with the silence of the first runner.
    pub fn new(now: Moment) -> Self {
        Self {
            other: Other::Idle(now),
            has_first: true,
        }
    }

    /// Whether the first runner has not broken off.
    pub fn has_first(&self) -> bool {
        self.has_first
    }

    /// When [`Event::Tick`] is due; `None` if only other events matter.
    pub fn next_tick(&self) -> Option<Moment> {
        match self.other {
            Other::Idle(at) => Some(at),
            Other::Sent(limit) => limit.filter(|_| self.has_first),
            Other::Never | Other::Asked => None,
        }
    }

    /// Decides what follows from an event.
    pub fn on_event(&mut self, now: Moment, event: Event) -> Action {
        match event {
            Event::FirstBroken => self.has_first = false,
            Event::OtherSent { is_last } => {
                self.other = Other::Sent((!is_last).then(|| now + MAX_OTHER_WAIT));
            }
            Event::OtherDenied(denial) => {
                let ask_after = denial.ask_after();
                self.other = ask_after.map_or(Other::Never, |pause| Other::Idle(now + pause));
                if self.has_first {
                    return Action::Wait;
                }
            }
            Event::Tick => {}
        }
        let is_due = self.next_tick().is_some_and(|at| now.reached(at));
        match self.other {
            Other::Idle(_) | Other::Never if !self.has_first => Action::Broken,
            Other::Idle(_) if is_due => {
                self.other = Other::Asked;
                Action::Ask
            }
            Other::Sent(_) if is_due => Action::CloseOther,
            Other::Idle(_) | Other::Never | Other::Asked | Other::Sent(_) => Action::Wait,
        }
    }
}
