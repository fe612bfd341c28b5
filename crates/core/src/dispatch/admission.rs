//! Early rejection by estimated wait, and reserved retry times.

use std::time::Duration;

use rand::RngExt;

use super::{Dispatcher, Submission};
use crate::error::{Kind, Refusal};
use crate::time::Moment;

/// Minimum decayed starts for an estimate from the start rate.
const MIN_STARTS: f64 = 3.0;
/// Upper bound of an estimated wait, in seconds.
const MAX_WAIT_S: f64 = 3_600.0;
/// Share of a queue's start rate that is reserved for retries.
const RESERVED_SHARE: f64 = 0.4;
/// Furthest ahead that a retry time is reserved.
const MAX_RESERVED_AHEAD: Duration = Duration::from_secs(300);
/// Shortest retry delay.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest retry delay before jitter and reservations.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Waiting calls at one host from which unprotected tiers are refused.
const MAX_WAITING: usize = 4_096;

impl Dispatcher {
    /// Refuses a call that is expected to miss its target, estimated from the start rate of its
    /// queue and of those that go first.
    pub(super) fn reject_early(
        &mut self,
        now: Moment,
        at: usize,
        submission: &Submission,
    ) -> Option<Refusal> {
        if submission.reserved && self.policy.reserves_retries() {
            return None;
        }
        let tier = self.tier(at);
        let (patience, protected) = (tier.patience, tier.protected);
        let limit = match self.policy.rejects_by_target() {
            true => tier.target.mul_f64(self.policy.target_fraction()).min(patience),
            false => patience,
        };
        let wait = self.estimate_wait(now, at, &submission.customer, limit);
        let too_long = self.policy.rejects_early() && wait.is_some_and(|wait| wait > limit);
        if !too_long && (protected || self.waiting < MAX_WAITING) {
            return None;
        }
        let excess = wait.unwrap_or(limit).saturating_sub(limit / 2);
        if let Some(delay) = self.reserve_retry(now, at, &submission.customer, excess) {
            return Some(Refusal::new(Kind::Overloaded).reserve(delay));
        }
        Some(Refusal::new(Kind::Overloaded).retry_after(self.retry_delay(excess)))
    }

    fn estimate_wait(&self, now: Moment, at: usize, customer: &str, limit: Duration) -> Option<Duration> {
        let priority = self.tier(at).priority;
        let goes_first = |other: &usize| *other != at && self.tier(*other).priority < priority;
        let ahead: usize = self
            .overlapping(at)
            .filter(goes_first)
            .map(|other| self.queues[other].len())
            .sum();
        let reserved = self.queues[at].reserved_until(now + limit);
        let ahead_in_queue = self.queues[at].calls_ahead(customer) + reserved;
        let starts: f64 = self
            .overlapping(at)
            .filter(|other| self.tier(*other).priority <= priority)
            .map(|other| self.queues[other].starts())
            .sum();
        // With so few starts there is no rate; only the oldest wait is known.
        if starts < MIN_STARTS {
            let target = self.tier(at).target;
            let stalled = self.stalled_for(now, at).filter(|stalled| *stalled > target);
            return stalled.map(|stalled| stalled * 2);
        }
        if ahead + ahead_in_queue == 0 {
            return Some(Duration::ZERO);
        }
        let mut wait = (ahead + ahead_in_queue) as f64 * self.counted_s / starts;
        // Customers with short queues keep overtaking one with a long queue for as long as they
        // send calls. The customer's own start rate includes that effect.
        let (own_waiting, own_starts) = (
            self.queues[at].len_for(customer),
            self.queues[at].starts_for(customer),
        );
        if self.policy.defers_late() && own_waiting > 0 && own_starts >= 1.0 {
            wait = wait.max(own_waiting as f64 * self.counted_s / own_starts);
        }
        Some(Duration::from_secs_f64(wait.min(MAX_WAIT_S)))
    }

    /// How long the oldest call of a queue has waited, if the queue has had too few starts for a
    /// rate.
    ///
    /// A host whose zone peers occupy every slot may start nothing for seconds. Each new call
    /// would wait until it is late and be deferred, the next one would find no call ahead of it,
    /// and no caller would get a retry time. So a call that has not started by its target is
    /// expected to wait as long again. Half of the target, the limit used elsewhere, would
    /// reject too early: a host that has just started may have two long calls running and no
    /// start rate yet.
    fn stalled_for(&self, now: Moment, at: usize) -> Option<Duration> {
        let queue = &self.queues[at];
        let few_starts = self.policy.yields_to_peers() && queue.starts() < MIN_STARTS;
        let oldest = queue.oldest_since().filter(|_| few_starts);
        oldest.map(|since| now.since(since))
    }

    /// Reserves a retry time for this customer in a share of the queue's start rate.
    ///
    /// Callers that retry into a queue as full as before would be refused again and again. So
    /// each gets a time of its own, and new calls are refused a little earlier to keep that
    /// capacity free. Nothing is reserved further ahead than `MAX_RESERVED_AHEAD`.
    fn reserve_retry(
        &mut self,
        now: Moment,
        at: usize,
        customer: &str,
        min_delay: Duration,
    ) -> Option<Duration> {
        let starts = self.queues[at].starts();
        if !self.policy.reserves_retries() {
            return None;
        }
        let starts_per_s = match starts < MIN_STARTS {
            true => 1.0 / self.stalled_for(now, at)?.max(MIN_RETRY_AFTER).as_secs_f64(),
            false => starts / self.counted_s,
        };
        let starts_per_s = starts_per_s * RESERVED_SHARE;
        let min_delay = min_delay.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        let due = self.queues[at].reserve(now + min_delay, customer, starts_per_s);
        let delay = now.until(due);
        (delay <= MAX_RESERVED_AHEAD).then_some(delay)
    }

    /// A retry delay with jitter, so that callers do not retry at the same time.
    pub(super) fn retry_delay(&mut self, min_delay: Duration) -> Duration {
        let jitter = self.rng.random_range(1.0..1.5);
        min_delay.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER).mul_f64(jitter)
    }
}
