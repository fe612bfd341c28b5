//! Runners that name the rate of requests which they take from all hosts together.

use std::time::Duration;

use super::{Fleet, Key};
use crate::time::Moment;

/// Limits of what a runner may name, in requests per second. A lower limit counts as the lowest, as a runner
/// that got nothing could not say that its limit has ended; a higher one counts as none.
const MIN_PER_S: f64 = 0.05;
const MAX_PER_S: f64 = 1e6;
/// Minimum time between two log lines about what a runner names and cannot be read.
const MALFORMED_INTERVAL: Duration = Duration::from_secs(60);

plain! {
    /// What an answer says about the rate that its runner takes.
    #[derive(Copy, Default)]
    pub enum Notice {
        /// Nothing: the runner has no limit.
        #[default]
        Absent,
        /// Requests per second from all hosts together.
        PerSecond(f64),
        /// Something that cannot be read, and changes nothing.
        Malformed,
    }
}

plain! {
    /// How a runner's limit has changed, in requests per second.
    #[derive(Copy)]
    pub enum Change {
        /// It has begun.
        Begun(f64),
        /// It is another one.
        Changed {
            /// Former limit.
            from: f64,
            /// New limit.
            to: f64,
        },
        /// It has ended.
        Ended,
        /// What the runner names cannot be read.
        Malformed,
    }
}

plain! {
    /// Rate that a runner takes.
    #[derive(Copy, Default)]
    pub(super) struct State {
        /// Requests per second; `None` if there is no limit.
        limit: Option<f64>,
        /// When this host last had to say that it cannot read what the runner names.
        malformed_at: Option<Moment>,
    }
}

impl State {
    /// Records what an answer says.
    fn record(&mut self, now: Moment, notice: Notice) -> Option<Change> {
        let limit = match notice {
            Notice::Absent => None,
            Notice::PerSecond(per_s) if per_s.is_nan() => return self.record_malformed(now),
            Notice::PerSecond(per_s) => (per_s < MAX_PER_S).then_some(per_s.max(MIN_PER_S)),
            Notice::Malformed => return self.record_malformed(now),
        };
        let former = std::mem::replace(&mut self.limit, limit);
        match (former, limit) {
            (None, Some(limit)) => Some(Change::Begun(limit)),
            (Some(from), Some(to)) if from != to => Some(Change::Changed { from, to }),
            (Some(_), None) => Some(Change::Ended),
            (Some(_), Some(_)) | (None, None) => None,
        }
    }

    fn record_malformed(&mut self, now: Moment) -> Option<Change> {
        if self
            .malformed_at
            .is_some_and(|at| now.since(at) < MALFORMED_INTERVAL)
        {
            return None;
        }
        self.malformed_at = Some(now);
        Some(Change::Malformed)
    }
}

impl Fleet {
    /// Records what an answer of a runner says about the rate that it takes; returns what has changed.
    pub fn record_rate(&mut self, now: Moment, key: Key, notice: Notice) -> Option<Change> {
        self.get_mut(key)?.rate.record(now, notice)
    }

    /// Number of runners with a limit.
    pub fn count_limited(&self) -> usize {
        let is_limited = |runner: &&super::Runner| runner.rate.limit.is_some();
        self.arena.iter().filter(is_limited).count()
    }
}
