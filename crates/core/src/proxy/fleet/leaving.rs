//! Runners that shut down.
//!
//! A runner tells the store, its answers say so, and other hosts report that theirs do. What comes first binds, and
//! only a new process of the runner takes it back. From then on the runner gets no new requests; the time that it still
//! has is for those that it has begun.

use super::{Fleet, Key, Runner, Stage};
use crate::time::Moment;

/// Maximum number of runners in one report to other hosts.
const MAX_REPORTED: usize = 128;

plain! {
    /// A runner whose answers to a host say that it shuts down.
    #[derive(Copy, Eq)]
    pub struct Report {
        /// Hash of the runner's id.
        pub runner: u64,
        /// Start of its process in milliseconds since the Unix epoch; 0 if unknown.
        pub started_ms: u64,
    }
}

plain! {
    /// What answers say about a runner's process.
    #[derive(Copy, Default, Eq)]
    pub(super) struct State {
        /// Whether an answer to this host, or to another one, has said that it shuts down.
        is_announced: bool,
        /// Whether the other hosts have yet to be told.
        is_unreported: bool,
    }
}

impl Runner {
    /// Whether it is known to shut down, by the store or by an answer.
    pub fn is_shutting_down(&self) -> bool {
        self.listed.stage == Stage::Draining || self.leaving.is_announced
    }

    /// Whether it is listed, and shutting down.
    pub fn is_leaving(&self, now: Moment) -> bool {
        self.is_present(now) && self.is_shutting_down()
    }
}

impl Fleet {
    /// Records that an answer to this host says that a runner shuts down; returns whether that was not known.
    pub fn record_leaving(&mut self, key: Key) -> bool {
        let Some(runner) = self.get_mut(key).filter(|runner| !runner.leaving.is_announced) else {
            return false;
        };
        let is_new = !runner.is_shutting_down();
        runner.leaving = State {
            is_announced: true,
            is_unreported: true,
        };
        is_new
    }

    /// Applies what the answers to another host have said; returns whether that was not known. A report about a
    /// former process of the runner changes nothing.
    pub fn apply_leaving_report(&mut self, report: Report) -> bool {
        let key = self.find_by_hash(report.runner);
        let Some(runner) = key.and_then(|key| self.get_mut(key)) else {
            return false;
        };
        if runner.listed.started_ms != report.started_ms {
            return false;
        }
        let is_new = !runner.is_shutting_down();
        runner.leaving.is_announced = true;
        is_new
    }

    /// Runners of which the other hosts have not been told that their answers say so; they count as told from now on.
    pub fn take_leaving(&mut self) -> Vec<Report> {
        let unreported = self
            .arena
            .iter_mut()
            .filter(|runner| runner.leaving.is_unreported);
        let reports = unreported.take(MAX_REPORTED).map(|runner| {
            runner.leaving.is_unreported = false;
            Report {
                runner: runner.hash,
                started_ms: runner.listed.started_ms,
            }
        });
        reports.collect()
    }
}
