//! Ordered counts: the desired one, and the one accepted last.
//!
//! An order is a target, not an increment, so a repeated or late order only restates it.
//! Each key has a desired count and the count that was accepted last; an order is due
//! while the two differ.

use std::time::Duration;

use crate::time::Moment;

/// The target of one key; `X` is further state of its planner.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Target<K, X> {
    /// What the count is for.
    pub key: K,
    /// Desired count.
    pub desired: u32,
    /// Count that was accepted last; none if not known.
    pub accepted: Option<u32>,
    /// Earliest time of the next order.
    pub next_attempt: Moment,
    /// Further state of the planner.
    pub extra: X,
}

impl<K, X> Target<K, X> {
    /// Sets the desired count; a new one may be ordered immediately.
    pub fn set_desired(&mut self, count: u32) {
        if self.desired != count {
            self.desired = count;
            self.next_attempt = Moment::default();
        }
    }

    /// Whether the desired count was not accepted yet.
    pub fn is_unconfirmed(&self) -> bool {
        self.accepted != Some(self.desired)
    }

    /// Records that an order for `count` was accepted.
    pub fn accept(&mut self, now: Moment, count: u32) {
        self.accepted = Some(count);
        self.next_attempt = now;
    }
}

/// All targets of a planner, sorted by key.
#[derive(Clone, Debug, PartialEq)]
pub struct Targets<K, X> {
    rows: Vec<Target<K, X>>,
}

impl<K, X> Default for Targets<K, X> {
    fn default() -> Self {
        Self { rows: Vec::new() }
    }
}

impl<K: Ord, X: Default> Targets<K, X> {
    /// The target of a key, created with a desired count of 0 if there is none.
    pub fn entry(&mut self, key: K) -> &mut Target<K, X> {
        let found = self.rows.binary_search_by(|existing| existing.key.cmp(&key));
        let at = match found {
            Ok(at) => at,
            Err(at) => {
                let target = Target {
                    key,
                    desired: 0,
                    accepted: None,
                    next_attempt: Moment::default(),
                    extra: X::default(),
                };
                self.rows.insert(at, target);
                at
            }
        };
        &mut self.rows[at]
    }

    /// The first target for which an order is due: one that was not accepted yet, or was accepted
    /// at least `restate` ago.
    pub fn due(&mut self, now: Moment, restate: Option<Duration>) -> Option<&mut Target<K, X>> {
        let is_old = |target: &Target<K, X>| {
            restate.is_some_and(|interval| now.since(target.next_attempt) >= interval)
        };
        let due = |target: &&mut Target<K, X>| {
            now.reached(target.next_attempt) && (target.is_unconfirmed() || is_old(target))
        };
        self.rows.iter_mut().find(due)
    }
}
