//! Numbers that were ordered: what is wanted, and what was accepted.
//!
//! An order is a target, not an increment: one that is repeated or comes late does no
//! more than restate it. So each thing has one number wanted and one that was accepted
//! last, and whatever differs is due.

use std::time::Duration;

use crate::time::Moment;

/// The number of one thing; `X` is what else its planner keeps of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Target<K, X> {
    /// The thing.
    pub key: K,
    /// Number wanted.
    pub desired: u32,
    /// Number that was accepted last; none if that is not known.
    pub accepted: Option<u32>,
    /// When it may be ordered next.
    pub next_attempt: Moment,
    /// What else is known.
    pub extra: X,
}

impl<K, X> Target<K, X> {
    /// Sets the number wanted; a new one need not wait for the pause of the old one.
    pub fn set_desired(&mut self, count: u32) {
        if self.desired != count {
            self.desired = count;
            self.next_attempt = Moment::default();
        }
    }

    /// Whether what is wanted was not accepted yet.
    pub fn is_unconfirmed(&self) -> bool {
        self.accepted != Some(self.desired)
    }

    /// An order for `count` was accepted.
    pub fn accept(&mut self, now: Moment, count: u32) {
        self.accepted = Some(count);
        self.next_attempt = now;
    }
}

/// All targets of a planner, sorted by what they are for.
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
    /// The target for a thing; a new one wants nothing.
    pub fn entry(&mut self, key: K) -> &mut Target<K, X> {
        let found = self.rows.binary_search_by(|have| have.key.cmp(&key));
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

    /// The first target that is due: one that differs from what was accepted, or one that
    /// was accepted `restate` ago.
    pub fn due(&mut self, now: Moment, restate: Option<Duration>) -> Option<&mut Target<K, X>> {
        let old = |target: &Target<K, X>| restate.is_some_and(|span| now.since(target.next_attempt) >= span);
        let due = |target: &&mut Target<K, X>| {
            now.reached(target.next_attempt) && (target.is_unconfirmed() || old(target))
        };
        self.rows.iter_mut().find(due)
    }
}
