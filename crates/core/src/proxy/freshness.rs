//! Age of data read from the store.
//!
//! Only an answer of the store confirms that data is current, and only as of the moment before
//! the request was sent: a watch may have been cut off without notice, and an answer may have
//! waited in a frozen process.

use std::time::Duration;

use crate::time::Moment;

plain! {
    /// Moment as of which the data was last confirmed to be current.
    #[derive(Copy, Default)]
    pub struct Freshness {
        as_of: Option<Moment>,
    }
}

impl Freshness {
    /// Records that the data was current as of `sent`: the moment at which this host or a peer sent
    /// the request that the store answered, or an earlier one.
    pub fn renew(&mut self, sent: Moment) {
        if self.as_of.is_none_or(|have| have < sent) {
            self.as_of = Some(sent);
        }
    }

    /// Whether the last confirmation is younger than `bound`.
    pub fn is_within(&self, now: Moment, bound: Duration) -> bool {
        self.as_of.is_some_and(|as_of| now.since(as_of) < bound)
    }

    /// Time since the last confirmation; `None` if there was none.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.as_of.map(|as_of| now.since(as_of))
    }
}
