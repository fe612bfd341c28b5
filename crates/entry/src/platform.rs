//! Threads that make blocking calls to the platform.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crossbeam::channel::Receiver;
use radishstair_core::claim;
use radishstair_core::kernel::{Event, calls};
use radishstair_core::lease::Grant;
use radishstair_core::order::Order;
use radishstair_core::store::{Call, Token};
use radishstair_core::usage::report::SealedWindow;
use radishstair_wire::platform::{Client, Report};

use crate::handle::Handle;

/// Threads for short calls; watches of the store have one of their own.
pub const WORKER_THREADS: usize = 6;
/// Time between two reads of the platform's runner list.
const RUNNER_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which one store lease is used for new keys.
const LEASE_REUSE: Duration = Duration::from_secs(3_600);

/// A call to the platform.
#[derive(Debug)]
pub enum Job {
    /// A call to the key-value store.
    Store(Token, Call),
    /// A usage report, sent under a duty lease.
    Report(Grant, SealedWindow),
    /// An order for runners, sent under a duty lease.
    Order(Grant, Order),
}

/// The store lease with which time-stamped claims and tombstones expire.
#[derive(Debug, Default)]
pub struct RecordLease(Mutex<Option<(u64, Instant)>>);

impl RecordLease {
    /// The lease for a write, if its key needs one; granted anew after [`LEASE_REUSE`].
    fn lease_for(&self, client: &Client, call: &Call) -> Option<u64> {
        let Call::CompareAndSwap { key, .. } = call else {
            return None;
        };
        if !key.starts_with(claim::TIMESTAMPED_PREFIX) && !key.starts_with(calls::TOMBSTONE_PREFIX) {
            return None;
        }
        let mut current = self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if current.is_none_or(|(_, granted_at)| granted_at.elapsed() >= LEASE_REUSE) {
            *current = client
                .grant_lease(claim::LEASE_TTL + LEASE_REUSE)
                .map(|id| (id, Instant::now()));
        }
        current.map(|(id, _)| id)
    }
}

/// Carries out jobs until the channel is closed.
pub fn run_worker(handle: &Arc<Handle>, client: &Client, record_lease: &RecordLease, jobs: &Receiver<Job>) {
    for job in jobs {
        let event = match job {
            Job::Store(token, call) => {
                let answer = client.call_store(&call, record_lease.lease_for(client, &call));
                count_call(handle, call.name(), answer.outcome());
                Event::StoreAnswer(token, answer)
            }
            Job::Report(grant, sealed_window) => {
                Event::ReportAnswer(send_report(handle, client, grant, sealed_window))
            }
            Job::Order(grant, order) => Event::OrderAnswer(send_order(handle, client, grant, &order)),
        };
        handle.notify(event);
    }
}

/// Sends a usage report if the duty lease still covers this moment.
///
/// The job may have waited in the queue, or the process may have been paused.
/// Without this check, a process that lost the duty would still send reports.
fn send_report(handle: &Handle, client: &Client, grant: Grant, sealed_window: SealedWindow) -> bool {
    let report = Report {
        sender: handle.incarnation.to_string(),
        fence: grant.fence,
        number: sealed_window.number,
        window: sealed_window.window,
        lines: sealed_window.lines,
    };
    if !grant.covers(handle.clock.now()) {
        tracing::warn!(
            event = "report-withheld",
            window = report.window,
            fence = grant.fence
        );
        return false;
    }
    let accepted = client.send_report(&report);
    count_call(handle, "report", if accepted { "ok" } else { "lost" });
    tracing::info!(
        event = "usage-reported",
        window = report.window,
        number = report.number,
        fence = report.fence,
        accepted
    );
    accepted
}

/// Sends an order if the duty lease still covers this moment.
fn send_order(handle: &Handle, client: &Client, grant: Grant, order: &Order) -> bool {
    if !grant.covers(handle.clock.now()) {
        tracing::warn!(
            event = "order-withheld",
            pool = order.pool,
            zone = order.zone,
            fence = grant.fence
        );
        return false;
    }
    let accepted = client.send_order(order);
    count_call(handle, "order", if accepted { "ok" } else { "lost" });
    tracing::info!(
        event = "ordered",
        pool = order.pool,
        zone = order.zone,
        count = order.count,
        fence = order.fence,
        accepted
    );
    accepted
}

/// Polls the runner list until the process ends.
pub fn poll_runners(handle: &Arc<Handle>, client: &Client) {
    let mut revision = 0;
    loop {
        match client.runners(revision) {
            Ok(list) => {
                revision = list.revision;
                if let Some(runners) = list.runners {
                    tracing::info!(event = "runners-listed", revision, runners = runners.len());
                    handle.notify(Event::RunnerList(runners));
                }
                count_call(handle, "hosts", "ok");
            }
            // The last list remains in use while the platform is unreachable.
            Err(_) => count_call(handle, "hosts", "lost"),
        }
        std::thread::sleep(RUNNER_POLL_INTERVAL);
    }
}

fn count_call(handle: &Handle, call: &'static str, outcome: &'static str) {
    handle.metrics.count_platform_call(call, outcome);
}
