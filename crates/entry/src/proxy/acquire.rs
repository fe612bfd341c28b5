//! Waits before a request is sent to a runner: for room, and for news about what it may have crashed.

use std::time::Duration;

use radishstair_core::error::{Kind, Refusal};
use radishstair_core::proxy::waiting::Ticket;
use tokio::time::{Instant, timeout_at};

use super::Shared;
use super::forward::Forwarder;
use super::job::{AttemptLog, Job};
use super::slot::Slot;

/// Share of the target, and of the time left, for which a request waits for room at brittle runners.
const ROOM_WAIT_SHARE: f64 = 0.25;
/// Minimum time until a request that waits for such a runner tries again.
const MIN_WAIT: Duration = Duration::from_millis(10);
const MAX_ROOM_WAIT: Duration = Duration::from_millis(500);
/// Time for which a request that broke off is held back before it is sent again, if its prompt is not known to
/// be sound.
const UNPROVED_HOLD: Duration = Duration::from_millis(400);

/// Longest time for which a request is held back while hosts are asked about it, and time between two looks at
/// what they have said.
const MAX_SUSPECT_HOLD: Duration = Duration::from_secs(2);
const SUSPECT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A request that waits for room; dropping it lets the next one try.
struct Waiter<'a> {
    shared: &'a Shared,
    ticket: Ticket,
}

impl<'a> Waiter<'a> {
    fn join(shared: &'a Shared, job: &Job) -> Self {
        let ticket = shared.waiting().join(&job.admission.service, job.admission.rank);
        Self { shared, ticket }
    }

    fn is_first(&self) -> bool {
        self.shared.waiting().is_first(self.ticket)
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.shared.waiting().leave(self.ticket);
        // There may be room for the next one, too.
        self.shared.slot_released.notify_waiters();
    }
}

impl Forwarder {
    /// Reserves a slot as [`reserve_slot`](Self::reserve_slot) does. If the service's runners are brittle and
    /// have no room, or all have limits or have asked to wait and let this host send a request soon, waits a short
    /// time; the most urgent request goes first.
    ///
    /// # Errors
    ///
    /// The same.
    pub async fn acquire_slot(&self, job: &Job, log: &mut AttemptLog) -> Result<Slot, Refusal> {
        self.hold_back(job, log).await;
        let admission = &job.admission;
        let goes_behind = || {
            self.shared
                .waiting()
                .goes_behind(&admission.service, admission.rank)
        };
        if !(goes_behind() && self.may_wait(job)) {
            match self.reserve_slot(job, log) {
                Err(refusal) if refusal.kind == Kind::Overloaded && self.may_wait(job) => {}
                result => return result,
            }
        }
        let wait_until = Instant::now() + self.room_wait(job);
        let waiter = Waiter::join(&self.shared, job);
        loop {
            let released = self.shared.slot_released.notified();
            tokio::pin!(released);
            // Registered before the attempt, so that no release is missed in between.
            released.as_mut().enable();
            if waiter.is_first() {
                match self.reserve_slot(job, log) {
                    Err(refusal) if refusal.kind == Kind::Overloaded && self.may_wait(job) => {}
                    result => return result,
                }
            }
            let wake_at = self.next_send(job).filter(|_| waiter.is_first());
            let wake_at = wake_at.map_or(wait_until, |at| at.min(wait_until));
            if timeout_at(wake_at, released).await.is_err() && Instant::now() >= wait_until {
                // Whether there is room for it now or not, the request has waited long enough.
                return self.reserve_slot(job, log);
            }
        }
    }

    /// Holds a request back that may crash the next runner, while that is found out.
    pub(super) async fn hold_back(&self, job: &Job, log: &AttemptLog) {
        self.hold_unproved(job, log).await;
        self.hold_suspect(job).await;
    }

    /// Holds a request back that has broken off before, and that may crash the next runner as well: within this
    /// time its parts are found, if they are guilty. Requests whose parts were all answered lately do not wait.
    async fn hold_unproved(&self, job: &Job, log: &AttemptLog) {
        let now = self.shared.now();
        let is_proved = || self.shared.state().crashes.is_proved(now, &job.suspects);
        if log.history.may_have_run() && !is_proved() {
            let time_left = job.time_left(now).unwrap_or(UNPROVED_HOLD);
            tokio::time::sleep(UNPROVED_HOLD.min(time_left / 4)).await;
        }
    }

    /// Holds a request back while hosts are being asked whether it crashes runners. The check before it is sent
    /// refuses it if it does.
    async fn hold_suspect(&self, job: &Job) {
        let began = self.shared.now();
        let limit = job.time_left(began).unwrap_or(MAX_SUSPECT_HOLD) / 4;
        let give_up_at = began + limit.min(MAX_SUSPECT_HOLD);
        loop {
            let now = self.shared.now();
            let held_until = self.shared.state().crashes.held_until(now, &job.suspects);
            let Some(until) = held_until.filter(|_| !now.reached(give_up_at)) else {
                break;
            };
            let wait = now.until(until).min(now.until(give_up_at));
            tokio::time::sleep(wait.min(SUSPECT_CHECK_INTERVAL)).await;
        }
        let held_ms = self.shared.now().since(began).as_millis() as u64;
        if held_ms > 0 {
            tracing::info!(
                event = "suspect-held",
                request = job.metadata.id,
                content = job.logged_content(),
                held_ms
            );
        }
    }

    /// Whether there may soon be room for a request that has none now.
    fn may_wait(&self, job: &Job) -> bool {
        let now = self.shared.now();
        let service = &job.admission.service;
        let wait = self.room_wait(job);
        let state = self.shared.state();
        let next = || state.fleet.next_send_if_all_restricted(now, service);
        state.fleet.is_brittle(now, service) || next().is_some_and(|at| now.until(at) < wait)
    }

    /// When a runner that has named a limit or asked to wait may get a request of this host, after a short pause at
    /// the earliest.
    fn next_send(&self, job: &Job) -> Option<Instant> {
        let now = self.shared.now();
        let state = self.shared.state();
        let next = state.fleet.next_send(now, &job.admission.service)?;
        Some(Instant::now() + now.until(next).max(MIN_WAIT))
    }

    /// Longest wait for room at brittle runners.
    fn room_wait(&self, job: &Job) -> Duration {
        let time_left = job.time_left(self.shared.now()).unwrap_or(MAX_ROOM_WAIT);
        let target = job.admission.route.target_latency.unwrap_or(time_left);
        target.min(time_left).mul_f64(ROOM_WAIT_SHARE).min(MAX_ROOM_WAIT)
    }
}
