//! Times of a planned stop.
//!
//! A stopping host goes on serving until the load balancer has noticed that it stops. From then on it passes a request on
//! only if the request's deadline falls before the end of the stop, and refuses the others, which have not run and can go
//! to another host. What is in flight at the end gets its final answer, so that no connection ends without one.

use std::time::Duration;

use crate::time::Moment;

/// Time for which a stopping host still accepts connections. The load balancer checks
/// readiness once a second and stops sending callers after two failures, with some delay.
const ACCEPT_TIME: Duration = Duration::from_millis(2_700);
/// Part of the grace period reserved for the last answers, for publishing the last counts and releasing the lease.
const RESERVE: Duration = Duration::from_millis(1_100);

plain! {
    /// Schedule of a planned stop.
    #[derive(Copy, Eq)]
    pub struct Schedule {
        /// When the host stops accepting connections and requests that may last longer than the stop.
        pub accept_end: Moment,
        /// When requests in flight get their final answer.
        pub end: Moment,
    }
}

impl Schedule {
    /// Schedule of a stop that was requested at `began` and must be over within `grace`.
    pub fn new(began: Moment, grace: Duration) -> Self {
        let accept_time = ACCEPT_TIME.min(grace / 2);
        Self {
            accept_end: began + accept_time,
            end: began + grace.saturating_sub(RESERVE).max(accept_time),
        }
    }

    /// Whether a request with this deadline may be passed on at `now`.
    pub fn may_begin(&self, now: Moment, deadline: Option<Moment>) -> bool {
        !now.reached(self.accept_end) || deadline.is_some_and(|deadline| self.end.reached(deadline))
    }
}
