//! Threads that talk to the platform.

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

/// Threads for short calls.
pub const WORKERS: usize = 6;
/// Time between looks at the host list.
const LIST: Duration = Duration::from_secs(1);
/// Keys that come within this time share a lease.
const SHARE: Duration = Duration::from_secs(3_600);

/// Something to ask of the platform.
#[derive(Debug)]
pub enum Job {
    /// A call to the key-value service.
    Store(Token, Call),
    /// A usage report.
    Report(Grant, SealedWindow),
    /// An order.
    Order(Grant, Order),
}

/// The lease that time-stamped claims hang on.
#[derive(Debug, Default)]
pub struct Leases(Mutex<Option<(u64, Instant)>>);

impl Leases {
    /// A lease for the keys that need one.
    fn of(&self, client: &Client, call: &Call) -> Option<u64> {
        let Call::CompareAndSwap { key, .. } = call else {
            return None;
        };
        if !key.starts_with(claim::TIMESTAMPED_PREFIX) && !key.starts_with(calls::TOMBSTONE_PREFIX) {
            return None;
        }
        let mut held = self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if held.is_none_or(|(_, since)| since.elapsed() >= SHARE) {
            *held = client
                .grant_lease(claim::LEASE_TTL + SHARE)
                .map(|id| (id, Instant::now()));
        }
        held.map(|(id, _)| id)
    }
}

/// Carries out jobs until the line is closed.
pub fn work(handle: &Arc<Handle>, client: &Client, leases: &Leases, jobs: &Receiver<Job>) {
    for job in jobs {
        let event = match job {
            Job::Store(token, call) => {
                let answer = client.call_store(&call, leases.of(client, &call));
                count(handle, call.name(), answer.outcome());
                Event::StoreAnswer(token, answer)
            }
            Job::Report(grant, seal) => Event::ReportAnswer(report(handle, client, grant, seal)),
            Job::Order(grant, order) => Event::OrderAnswer(send_order(handle, client, grant, &order)),
        };
        handle.notify(event);
    }
}

/// Sends a report if the lease still covers it.
///
/// The job may have waited behind others, or the process may have been paused:
/// without this look a former reporter would still send.
fn report(handle: &Handle, client: &Client, grant: Grant, seal: SealedWindow) -> bool {
    let report = Report {
        sender: handle.incarnation.to_string(),
        fence: grant.fence,
        number: seal.number,
        window: seal.window,
        lines: seal.lines,
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
    count(handle, "report", if accepted { "ok" } else { "lost" });
    tracing::info!(
        event = "usage-reported",
        window = report.window,
        number = report.number,
        fence = report.fence,
        accepted
    );
    accepted
}

/// Sends an order if the lease still covers it.
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
    count(handle, "order", if accepted { "ok" } else { "lost" });
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

/// Reads the host list again and again.
pub fn watch_list(handle: &Arc<Handle>, client: &Client) {
    let mut revision = 0;
    loop {
        match client.runners(revision) {
            Ok(hosts) => {
                revision = hosts.revision;
                if let Some(runners) = hosts.runners {
                    tracing::info!(event = "runners-listed", revision, runners = runners.len());
                    handle.notify(Event::RunnerList(runners));
                }
                count(handle, "hosts", "ok");
            }
            // The last list stands while the platform is away.
            Err(_) => count(handle, "hosts", "lost"),
        }
        std::thread::sleep(LIST);
    }
}

fn count(handle: &Handle, call: &'static str, outcome: &'static str) {
    handle.metrics.count_platform_call(call, outcome);
}
