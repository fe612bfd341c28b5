//! Runners that have fallen silent amid an answer.
//!
//! They keep their requests, and get new ones. But a stream that has lost its pace at one of them does not go
//! on at another one.

use std::time::Duration;

use super::{Fleet, Key, Runner};
use crate::time::Moment;

/// Time after which a runner that was not heard since may be asked to go on with a stream again.
const STALL_MEMORY: Duration = Duration::from_secs(5);

impl Fleet {
    /// Records that a runner has been silent amid an answer for long.
    pub fn record_stall(&mut self, now: Moment, key: Key) {
        if let Some(runner) = self.get_mut(key) {
            runner.stalled_at = Some(now);
        }
    }

    /// Records that a runner has begun an answer or sent an event.
    pub fn record_output(&mut self, key: Key) {
        if let Some(runner) = self.get_mut(key) {
            runner.stalled_at = None;
        }
    }

    /// Runners of a service that would not go on with a stream at once: stalled ones, and those without a free
    /// slot.
    pub fn busy(&self, now: Moment, service: &str) -> Vec<Key> {
        let is_busy = |runner: &Runner| {
            runner.listed.service == service
                && (runner.is_stalled(now) || runner.running() >= runner.listed.slots)
        };
        let busy = self.runners().filter(|(_, runner)| is_busy(runner));
        busy.map(|(key, _)| key).collect()
    }
}

impl Runner {
    fn is_stalled(&self, now: Moment) -> bool {
        self.stalled_at.is_some_and(|at| now.since(at) < STALL_MEMORY)
    }
}
