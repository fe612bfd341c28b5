//! Schedule of a host's requests for the operator's document.
//!
//! A host that reads the store asks in each round whether its version is still the newest. Other
//! hosts get this confirmation from their peers, and ask the store if it is missing for too long.
//! A newer text is read as soon as it is known to exist.

use std::time::Duration;

use super::backoff::Backoff;

/// Time in addition to one round of a reader and one of its own after which a host without
/// confirmations from its peers asks the store. A reader with a slow link may still be reading a
/// new text.
const UNCONFIRMED_MARGIN: Duration = Duration::from_millis(100);
/// Minimum time between two checks of the age.
const MIN_WAIT: Duration = Duration::from_millis(50);
/// Pause while the store does not answer this host at all. The listing retries sooner, and its
/// first answer ends the pause.
const OUTAGE_PAUSE: Duration = Duration::from_millis(1_200);

plain! {
    /// State of a host's copy of the document.
    #[derive(Copy, Eq)]
    pub struct Status {
        /// Whether the host reads the store on behalf of others.
        pub is_reader: bool,
        /// Whether the host has no data yet, and is asking its peers for it.
        pub is_starting: bool,
        /// Whether a newer text is known to exist but has not been read.
        pub is_behind: bool,
        /// Time since the copy was confirmed to be current; `None` if it never was.
        pub age: Option<Duration>,
        /// Time between the starts of two rounds.
        pub round_interval: Duration,
    }
}

plain! {
    /// Next action of the I/O layer.
    #[derive(Copy, Eq)]
    pub enum Step {
        /// Wait for this long.
        Wait(Duration),
        /// Ask the store whether the version is still current.
        Revalidate,
        /// Read the text.
        Fetch,
    }
}

plain! {
    /// Why a request failed.
    #[derive(Copy, Eq)]
    pub enum Failure {
        /// The store refused the request or could not be reached.
        Refused,
        /// The answer was lost.
        Lost,
    }
}

/// Sequence of one host's requests.
#[derive(Debug, Default)]
pub struct Schedule {
    backoff: Backoff,
    /// Whether the last request to revalidate got no answer.
    unanswered: bool,
}

impl Schedule {
    /// Next action for the given state.
    pub fn step(&self, status: Status) -> Step {
        if status.is_starting && status.age.is_none() {
            return Step::Wait(MIN_WAIT);
        }
        let age = status.age.unwrap_or(Duration::MAX);
        if status.is_behind {
            return Step::Fetch;
        }
        let max_unconfirmed_age = status.round_interval * 2 + UNCONFIRMED_MARGIN;
        if !status.is_reader && age < max_unconfirmed_age {
            return Step::Wait((max_unconfirmed_age - age).max(MIN_WAIT));
        }
        // Revalidation is a write to the store, and the answers to several writes in a row may be
        // lost. A read gets an answer, though with the whole text.
        match self.unanswered {
            true => Step::Fetch,
            false => Step::Revalidate,
        }
    }

    /// Records an answer that came after `took`; returns the pause before the next step.
    pub fn answered(&mut self, round_interval: Duration, took: Duration) -> Duration {
        self.backoff.reset();
        self.unanswered = false;
        round_interval.saturating_sub(took)
    }

    /// Records a failed request; returns the pause before the next one, with jitter from `draw`.
    /// `is_away` is true if the store does not answer this host at all.
    pub fn failed(&mut self, step: Step, failure: Failure, is_away: bool, draw: u32) -> Duration {
        self.unanswered = step == Step::Revalidate && failure == Failure::Lost;
        let pause = self.backoff.pause(draw);
        match is_away {
            true => pause.max(OUTAGE_PAUSE),
            false => pause,
        }
    }
}
