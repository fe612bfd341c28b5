//! Refusal of requests that would be late, while the runners have more work than they can do.
//!
//! An engine shares its time among all prompts that it was sent. Past its capacity, each further
//! prompt slows down all of its streams, until few of them end before their deadline. A host
//! therefore sends a runner only what the runner can begin in time. The other callers are told at
//! once when to come back, before any byte of their request has left.
//!
//! The less urgent a request, the shorter the queue that it may join, whatever its own target:
//! otherwise a long prompt with a long target would be sent while urgent ones with a short target
//! are refused. The most urgent requests of a service are not refused at all, as they overtake
//! queued work on the engines. A runner with little queued work gets every request, so that a wrong
//! estimate cannot refuse all callers.
//!
//! A prompt that takes half of the reduced target to prefill would then be refused at nearly any queue.
//! With standby capacity for bursts, the reduced target therefore limits the queue alone, and only the
//! request's own target has to hold its prefill as well.

use std::time::Duration;

/// Share of the target within which a request must be expected to begin.
const IN_TIME: f64 = 0.75;
/// Ratio of the targets of two levels of urgency that follow each other.
const LEVEL_RATIO: f64 = 0.75;
/// Share of the target of queued work up to which a runner gets every request.
const SHORT_QUEUE: f64 = 0.25;

plain! {
    /// One level of urgency among the streams to a service.
    #[derive(Copy)]
    pub struct Level {
        /// Priority of its routes.
        pub priority: u8,
        /// Longest target that counts for its requests; `None` if no route sets one.
        pub target: Option<Duration>,
        /// Whether its requests may be refused.
        pub is_refusable: bool,
    }
}

/// Levels of urgency, most urgent first, from the priority and target of each stream route to a
/// service. The streams of a single level are refused alike.
pub fn levels(routes: impl Iterator<Item = (u8, Option<Duration>)>) -> Vec<Level> {
    let mut routes: Vec<(u8, Option<Duration>)> = routes.collect();
    routes.sort_unstable_by_key(|(priority, _)| *priority);
    let groups: Vec<_> = routes.chunk_by(|a, b| a.0 == b.0).collect();
    let mut longest: Option<Duration> = None;
    let mut levels = Vec::with_capacity(groups.len());
    for (at, group) in groups.iter().enumerate() {
        let is_refusable = at > 0 || groups.len() == 1;
        let own = group.iter().filter_map(|(_, target)| *target).max();
        let reduced = longest.map(|target| target.mul_f64(LEVEL_RATIO));
        let target = [own, reduced].into_iter().flatten().min();
        levels.push(Level {
            priority: group[0].0,
            target,
            is_refusable,
        });
        if is_refusable {
            longest = target;
        }
    }
    levels
}

plain! {
    /// How long a request may wait for its first event.
    #[derive(Copy)]
    pub struct Patience {
        /// Time from its arrival within which the first event is in time.
        pub target: Duration,
        /// Target of its route, which has to hold its own prefill, if `target` limits the queue alone;
        /// `None` if `target` has to hold both.
        pub own_target: Option<Duration>,
        /// Time since its arrival.
        pub waited: Duration,
        /// Whether it may be refused.
        pub is_refusable: bool,
    }
}

impl Patience {
    /// Whether the request is expected to be in time at a runner on which the work ahead of it
    /// takes `queued`, and its own prefill `prefill`.
    pub fn suffices(&self, queued: Duration, prefill: Duration) -> bool {
        let left = |target: Duration, needed| target.mul_f64(IN_TIME).saturating_sub(self.waited + needed);
        let left = match self.own_target {
            None => left(self.target, prefill),
            Some(own_target) => left(own_target, prefill).min(left(self.target, Duration::ZERO)),
        };
        queued <= left.max(self.target.mul_f64(SHORT_QUEUE))
    }
}
