//! When a host asks for the operator's document, and by which question.
//!
//! A host that reads the store asks in each round whether its version still stands. The
//! others hear that from their peers, and ask the store when they have heard nothing for
//! too long. Whoever knows that it lacks a text reads it at once.

use std::time::Duration;

use super::backoff::Backoff;

/// Time between the beginnings of two rounds. Withdrawn routes must stop within
/// two seconds, also where the word of a peer that has read something new is lost:
/// its round, one's own, and an answer that is lost fit in.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(600);
/// Age of the proof past which a host that hears nothing from its peers asks the store:
/// a reader's round and its own. A reader with a slow link may be reading a new text.
const UNHEARD: Duration = Duration::from_millis(1_300);
/// Shortest time between two looks at the age.
const LEAST: Duration = Duration::from_millis(50);
/// Pause while the store answers this host nothing. The listing asks again sooner, and its
/// first answer ends the pause.
const AWAY: Duration = Duration::from_millis(1_200);

plain! {
    /// What a host knows of its document.
    #[derive(Copy, Eq)]
    pub struct Status {
        /// Whether it reads the store for others.
        pub is_reader: bool,
        /// Whether it lacks a text that is known to stand.
        pub is_behind: bool,
        /// Age of its proof, if there is one.
        pub age: Option<Duration>,
    }
}

plain! {
    /// What is to be done next.
    #[derive(Copy, Eq)]
    pub enum Step {
        /// Nothing for that long.
        Wait(Duration),
        /// Ask whether the version still stands.
        Revalidate,
        /// Read the text.
        Fetch,
    }
}

plain! {
    /// Why a question brought nothing.
    #[derive(Copy, Eq)]
    pub enum Failure {
        /// The store refused it, or was not reached.
        Refused,
        /// Its answer was lost.
        Lost,
    }
}

/// One host's questions, one after the other.
#[derive(Debug, Default)]
pub struct Schedule {
    backoff: Backoff,
    /// Whether the last question for the version got no answer.
    unanswered: bool,
}

impl Schedule {
    /// What is to be done now.
    pub fn step(&self, status: Status) -> Step {
        let age = status.age.unwrap_or(Duration::MAX);
        if status.is_behind {
            return Step::Fetch;
        }
        if !status.is_reader && age < UNHEARD {
            return Step::Wait((UNHEARD - age).max(LEAST));
        }
        // The question for the version is a change to the store, whose answers may be lost
        // one after the other; a read is answered, if with the whole text.
        match self.unanswered {
            true => Step::Fetch,
            false => Step::Revalidate,
        }
    }

    /// The question was answered after `took`; the pause before the next look.
    pub fn answered(&mut self, took: Duration) -> Duration {
        self.backoff.reset();
        self.unanswered = false;
        ROUND_INTERVAL.saturating_sub(took)
    }

    /// The question brought nothing; the pause before the next one, spread by a draw.
    /// `is_away`: the store answers this host nothing at all.
    pub fn failed(&mut self, step: Step, failure: Failure, is_away: bool, draw: u32) -> Duration {
        self.unanswered = step == Step::Revalidate && failure == Failure::Lost;
        let pause = self.backoff.pause(draw);
        match is_away {
            true => pause.max(AWAY),
            false => pause,
        }
    }
}
