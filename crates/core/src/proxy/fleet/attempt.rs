//! What attempts at runners show, and the backoff after failures.

use std::time::Duration;

use super::runner::Backoff;
use super::{AttemptResult, Fleet, Key, Runner};
use crate::time::Moment;

/// Backoff after the first failure to reach a runner.
const MIN_BACKOFF: Duration = Duration::from_millis(400);
/// Maximum backoff; a runner that has recovered gets requests again within this time.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Backoff of a runner that refused a request because it was full.
const FULL_BACKOFF: Duration = Duration::from_millis(150);
/// Answers in a row that end early and indicate a fault of the runner: on some days one in fifty does.
const BROKEN_IN_A_ROW: u32 = 3;

impl Fleet {
    /// Records the result of an attempt at a runner through a peer, sent at `sent`.
    pub fn record_relayed_attempt(&mut self, now: Moment, key: Key, sent: Moment, result: AttemptResult) {
        let Some(runner) = self.get_mut(key) else {
            return;
        };
        match result {
            AttemptResult::Succeeded | AttemptResult::Failed => {
                runner.relayed = Backoff::default();
                runner.record_result(result == AttemptResult::Failed);
            }
            AttemptResult::Full => {
                runner.relayed.retry_at = runner.relayed.retry_at.max(now + FULL_BACKOFF);
                self.record_rejection(now, key);
            }
            AttemptResult::Replaced => runner.replaced = true,
            AttemptResult::Unreachable => {
                runner.belief.doubt_unreachable(now);
                runner.relayed.extend(now);
            }
            AttemptResult::PathLost => {
                runner.belief.doubt(now);
                runner.path_lost_at = Some(now);
                runner.relayed.extend(now);
            }
            AttemptResult::Broken => {
                runner.belief.doubt(now);
                runner.record_result(true);
                runner.relayed.record_broken(now, sent);
            }
            AttemptResult::Silent => {
                runner.record_result(true);
                runner.relayed.record_broken(now, sent);
                self.doubt_silent(now, key);
            }
        }
    }

    /// Records the result of an attempt at a runner.
    ///
    /// The list lags seconds behind a crash. Without the backoff, each request would try the dead
    /// runner again.
    pub fn record_attempt(&mut self, now: Moment, key: Key, result: AttemptResult) {
        let Some(runner) = self.get_mut(key) else {
            return;
        };
        let zone = runner.listed.zone.clone();
        match result {
            AttemptResult::Succeeded | AttemptResult::Failed => {
                runner.failures = 0;
                runner.record_result(result == AttemptResult::Failed);
                self.avoided_zones.retain(|(have, _)| *have != zone);
                self.confirm(now, key);
            }
            AttemptResult::Full => {
                runner.retry_at = runner.retry_at.max(now + FULL_BACKOFF);
                self.record_rejection(now, key);
            }
            AttemptResult::Replaced => runner.replaced = true,
            AttemptResult::Unreachable | AttemptResult::PathLost => {
                if result == AttemptResult::PathLost {
                    runner.path_lost_at = Some(now);
                }
                runner.belief.doubt_unreachable(now);
                runner.retry_at = now + backoff(runner.failures);
                runner.failures = (runner.failures + 1).min(5);
                self.doubt_unreachable(now, key);
                self.record_unreachable(now, &zone);
            }
            AttemptResult::Broken => {
                runner.belief.doubt(now);
                runner.record_broken(now);
            }
            AttemptResult::Silent => {
                runner.record_broken(now);
                self.doubt_silent(now, key);
            }
        }
    }
}

impl Runner {
    /// Counts an answer that ended early.
    fn record_broken(&mut self, now: Moment) {
        self.record_result(true);
        self.failures = (self.failures + 1).min(5);
        if let Some(failures) = self.failures.checked_sub(BROKEN_IN_A_ROW) {
            self.retry_at = now + backoff(failures);
        }
    }
}

/// Pause after this many failures in a row, not counting the last one.
fn backoff(failures: u32) -> Duration {
    (MIN_BACKOFF * 2u32.saturating_pow(failures)).min(MAX_BACKOFF)
}

impl Backoff {
    /// Adds a failure.
    fn extend(&mut self, now: Moment) {
        self.retry_at = now + backoff(self.failures);
        self.failures = (self.failures + 1).min(5);
    }

    /// Counts an answer that ended early, to a request that was sent at `sent`. Those that were under way together count
    /// once, as the peer that relays them may have ended.
    fn record_broken(&mut self, now: Moment, sent: Moment) {
        if !sent.reached(self.broken_at) {
            return;
        }
        self.broken_at = now;
        self.failures = (self.failures + 1).min(5);
        if let Some(failures) = self.failures.checked_sub(BROKEN_IN_A_ROW) {
            self.retry_at = now + backoff(failures);
        }
    }
}
