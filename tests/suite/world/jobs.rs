//! Sending of orders and reports: the last check of the lease, the transit, and
//! receivers that ignore fencing numbers.

use radishstair_core::kernel::Event;
use rand::RngExt;

use super::{Broken, Job, Task, World};

impl World {
    pub(super) fn schedule_job(&mut self, at: usize, serial: u64, job: Job) {
        if self.rng.random_bool(self.faults.freeze) {
            // Frozen between the decision and the send.
            let duration_ms = self.rng.random_range(1_000..25_000);
            self.pause(at, duration_ms);
        }
        let delay = self.rng.random_range(0..=self.faults.delay_ms);
        self.schedule(delay, Task::Job(at, serial, job));
    }

    /// Checks the lease a last time, then sends the job to the receiver.
    pub(super) fn send_job(&mut self, at: usize, serial: u64, job: Job) {
        let (Job::Order(grant, _) | Job::Report(grant, _)) = &job;
        if self.broken != Broken::Grant && !grant.covers(self.moment(at)) {
            self.send_event(at, 0, refused(&job));
            return;
        }
        let transit = self.rng.random_range(0..=self.faults.transit_ms);
        self.schedule(transit, Task::Arrive(at, serial, job));
    }

    pub(super) fn arrive(&mut self, at: usize, serial: u64, job: Job) {
        let sender = self.nodes[at].incarnation;
        let reachable = !self.store_down && !self.nodes[at].cut_store;
        if !reachable || self.nodes[at].serial != serial {
            // If the sender was killed during the transit, the message still arrives.
            if self.nodes[at].serial == serial {
                self.send_event(at, 0, refused(&job));
                return;
            }
        }
        match &job {
            Job::Order(_, order) => self.received.orders.push((self.now, sender, order.clone())),
            Job::Report(grant, window) => {
                self.received
                    .reports
                    .push((self.now, sender, grant.fence, window.clone()))
            }
        }
        if self.nodes[at].serial != serial {
            return;
        }
        let lost = self.rng.random_bool(self.faults.lose_answer);
        let event = match &job {
            _ if lost => refused(&job),
            Job::Order(..) => Event::OrderAnswer(true),
            Job::Report(..) => Event::ReportAnswer(true),
        };
        self.send_event(at, 0, event);
    }
}

fn refused(job: &Job) -> Event {
    match job {
        Job::Order(..) => Event::OrderAnswer(false),
        Job::Report(..) => Event::ReportAnswer(false),
    }
}
