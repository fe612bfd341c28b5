//! Foretelling waits: refusing early, and promising times to come back.

use std::time::Duration;

use rand::RngExt;

use super::{Dispatcher, Submission};
use crate::error::{Kind, Refusal};
use crate::time::Moment;

/// Starts that must have been seen before a wait is foretold.
const MIN_STARTS: f64 = 3.0;
/// Longest wait that is foretold, in seconds.
const MAX_WAIT_S: f64 = 3_600.0;
/// Part of a lane's pace that is kept for callers that come back.
const RESERVED_SHARE: f64 = 0.4;
/// Longest time ahead that is promised.
const MAX_RESERVED_AHEAD: Duration = Duration::from_secs(300);
/// Earliest time to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Latest time to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Most calls that wait at one host.
const MAX_WAITING: usize = 4_096;

impl Dispatcher {
    /// Refuses a call that would miss its target, by the rate at which
    /// its lane and those before it have been starting.
    pub(super) fn reject_early(&mut self, now: Moment, at: usize, seek: &Submission) -> Option<Refusal> {
        if seek.reserved && self.policy.reserves_retries() {
            return None;
        }
        let tier = self.tier(at);
        let (patience, protected) = (tier.patience, tier.protected);
        let limit = match self.policy.rejects_by_target() {
            true => tier.target.mul_f64(self.policy.target_fraction()).min(patience),
            false => patience,
        };
        let wait = self.estimate_wait(now, at, &seek.customer, limit);
        let hopeless = self.policy.rejects_early() && wait.is_some_and(|wait| wait > limit);
        if !hopeless && (protected || self.waiting < MAX_WAITING) {
            return None;
        }
        let over = wait.unwrap_or(limit).saturating_sub(limit / 2);
        if let Some(after) = self.reserve_retry(now, at, &seek.customer, over) {
            return Some(Refusal::new(Kind::Overloaded).reserve(after));
        }
        Some(Refusal::new(Kind::Overloaded).retry_after(self.retry_delay(over)))
    }

    fn estimate_wait(&self, now: Moment, at: usize, customer: &str, limit: Duration) -> Option<Duration> {
        let priority = self.tier(at).priority;
        let before = |other: &usize| *other != at && self.tier(*other).priority < priority;
        let ahead: usize = self
            .overlapping(at)
            .filter(before)
            .map(|other| self.queues[other].len())
            .sum();
        let due = self.queues[at].reserved_until(now + limit);
        let own = self.queues[at].calls_ahead(customer) + due;
        let starts: f64 = self
            .overlapping(at)
            .filter(|other| self.tier(*other).priority <= priority)
            .map(|other| self.queues[other].starts())
            .sum();
        // Before a few starts only what has waited tells anything.
        if starts < MIN_STARTS {
            let late = self.tier(at).target;
            let stuck = self.stalled_for(now, at).filter(|stuck| *stuck > late);
            return stuck.map(|stuck| stuck * 2);
        }
        if ahead + own == 0 {
            return Some(Duration::ZERO);
        }
        let mut wait = (ahead + own) as f64 * self.counted_s / starts;
        // Customers with short queues overtake one with a long queue for as
        // long as they keep coming: its own pace tells what that comes to.
        let (queued, pace) = (
            self.queues[at].len_for(customer),
            self.queues[at].starts_for(customer),
        );
        if self.policy.defers_late() && queued > 0 && pace >= 1.0 {
            wait = wait.max(queued as f64 * self.counted_s / pace);
        }
        Some(Duration::from_secs_f64(wait.min(MAX_WAIT_S)))
    }

    /// How long the oldest call of a lane has waited, where the lane has hardly
    /// started any.
    ///
    /// A host whose mates hold every slot sees no start for seconds. Each new call
    /// waited until it was late and was then set aside, so that the next one seemed to
    /// have nobody before it, and nobody was told to come back. What has not begun by
    /// its target is foretold to take as long again. Half of the target, as elsewhere,
    /// says too little: a host that has just started has two long calls and no pace.
    fn stalled_for(&self, now: Moment, at: usize) -> Option<Duration> {
        let lane = &self.queues[at];
        let hardly = self.policy.yields_to_peers() && lane.starts() < MIN_STARTS;
        let oldest = lane.oldest_since().filter(|_| hardly);
        oldest.map(|since| now.since(since))
    }

    /// A time at which a part of the lane's pace is free for this customer.
    ///
    /// Callers that come back to a queue as full as before would be refused
    /// again and again; so each is told a time of its own, and fresh calls are
    /// refused a little earlier to keep that room. Past the longest time
    /// nothing is promised.
    fn reserve_retry(&mut self, now: Moment, at: usize, customer: &str, least: Duration) -> Option<Duration> {
        let starts = self.queues[at].starts();
        if !self.policy.reserves_retries() {
            return None;
        }
        let pace = match starts < MIN_STARTS {
            true => 1.0 / self.stalled_for(now, at)?.max(MIN_RETRY_AFTER).as_secs_f64(),
            false => starts / self.counted_s,
        };
        let pace = pace * RESERVED_SHARE;
        let least = least.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        let due = self.queues[at].reserve(now + least, customer, pace);
        let after = now.until(due);
        (after <= MAX_RESERVED_AHEAD).then_some(after)
    }

    /// A time to come back, spread so that callers do not return together.
    pub(super) fn retry_delay(&mut self, least: Duration) -> Duration {
        let spread = self.rng.random_range(1.0..1.5);
        least.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER).mul_f64(spread)
    }
}
