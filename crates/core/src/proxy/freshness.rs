//! Freshness that a belief was the newest at some moment.
//!
//! Only an answer of the store proves anything, and only for the moment before
//! the question left: an open watch may have been cut without a sign, and an
//! answer may have lain in a frozen process.

use std::time::Duration;

use crate::time::Moment;

plain! {
    /// When the belief was last known to be the newest.
    #[derive(Copy, Default)]
    pub struct Freshness {
        as_of: Option<Moment>,
    }
}

impl Freshness {
    /// The store answered a question that left at `sent`.
    pub fn renew(&mut self, sent: Moment) {
        if self.as_of.is_none_or(|have| have < sent) {
            self.as_of = Some(sent);
        }
    }

    /// Whether the proof is younger than `bound`.
    pub fn is_within(&self, now: Moment, bound: Duration) -> bool {
        self.as_of.is_some_and(|as_of| now.since(as_of) < bound)
    }

    /// Age, if there ever was a proof.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.as_of.map(|as_of| now.since(as_of))
    }
}
