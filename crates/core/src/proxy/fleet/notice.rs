//! What runners say about themselves in their answers.
//!
//! An answer may carry notices beside its content. Each binds this host as follows; another process that answers at
//! a runner's address says nothing about the runner.
//!
//! | notice | in which answers | what it changes | until |
//! |---|---|---|---|
//! | [brittle](super::brittle) | all | what all hosts send to the service | an answer without it |
//! | [rate] | all; a rejection may leave it out | what all hosts send to the runner | an answer without it |
//! | [leaving](super::leaving) | all | no host sends it new requests | the end of its process |
//! | [hold-off](super::holdoff) | rejections | what this host sends to the runner | its latest end |

use std::time::Duration;

use super::{Fleet, Key, holdoff, rate};
use crate::time::Moment;

/// Minimum time between two log lines about one notice of a runner that cannot be read.
const MALFORMED_INTERVAL: Duration = Duration::from_secs(60);

plain! {
    /// Notices in the head of one answer.
    #[derive(Copy, Default)]
    pub struct Notices {
        /// Rejections within a second that the runner bears; `None` if it does not say that it is brittle.
        pub max_rejections: Option<u32>,
        /// Rate of requests that it takes.
        pub rate: rate::Notice,
        /// For how long it wants nothing from this host.
        pub hold_off: holdoff::Notice,
        /// Whether it shuts down.
        pub is_leaving: bool,
    }
}

plain! {
    /// Kind of an answer, as far as its notices depend on it.
    #[derive(Copy, Eq)]
    pub enum Answer {
        /// Another process answered at the runner's address.
        Misdirected,
        /// The runner turned the request away, or failed as if it were full.
        Rejected,
        /// Any other answer of the runner.
        Other,
    }
}

plain! {
    /// What the notices of an answer have changed.
    #[derive(Copy, Default)]
    pub struct Changes {
        /// Rejections within a second that the runners of the service bear, if it was not known that they are brittle.
        pub brittle: Option<u32>,
        /// Change of the rate that the runner takes.
        pub rate: Option<rate::Change>,
        /// Change of the time for which it wants nothing from this host.
        pub hold_off: Option<holdoff::Change>,
        /// Whether it was not known that the runner shuts down.
        pub has_begun_to_leave: bool,
    }
}

plain! {
    /// When this host last had to say that it cannot read a notice.
    #[derive(Copy, Default)]
    pub(super) struct Malformed(Option<Moment>);
}

impl Malformed {
    /// Records a notice that cannot be read; returns whether to say so.
    pub(super) fn record(&mut self, now: Moment) -> bool {
        if self.0.is_some_and(|at| now.since(at) < MALFORMED_INTERVAL) {
            return false;
        }
        self.0 = Some(now);
        true
    }
}

impl Fleet {
    /// Records the notices of an answer to a request that was sent at `sent`.
    pub fn record_notices(
        &mut self,
        now: Moment,
        key: Key,
        sent: Moment,
        answer: Answer,
        notices: &Notices,
    ) -> Changes {
        let mut changes = Changes::default();
        if answer == Answer::Misdirected {
            return changes;
        }
        changes.has_begun_to_leave = notices.is_leaving && self.record_leaving(key);
        changes.brittle = self.record_brittle_notice(now, key, notices.max_rejections);
        if answer == Answer::Other || notices.rate != rate::Notice::Absent {
            changes.rate = self.record_rate(now, key, notices.rate);
        }
        changes.hold_off = match answer {
            Answer::Other => self.record_acceptance(key, sent),
            Answer::Rejected | Answer::Misdirected => self.record_hold_off(now, key, notices.hold_off),
        };
        changes
    }

    fn record_brittle_notice(&mut self, now: Moment, key: Key, max_rejections: Option<u32>) -> Option<u32> {
        let service = &self.get(key)?.listed.service;
        let was_brittle = self.is_brittle(now, service);
        if max_rejections.is_some() || was_brittle {
            self.record_brittle(now, key, max_rejections);
        }
        max_rejections.filter(|_| !was_brittle)
    }
}
