//! Duties that one host at a time performs for all: usage reports and orders for runners.
//!
//! The holder is elected by a lease, a record in the store that the holder renews.

use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use radishstair_core::lease::{Grant, Lease, Timing};
use radishstair_core::proxy::report::{self, Reporter};
use radishstair_core::proxy::scaling::Planner;
use radishstair_core::proxy::usage::Window;
use radishstair_core::store::Entry;
use radishstair_core::time::Moment;
use tokio::sync::{mpsc, oneshot};

use super::Shared;
use super::call::{self, WRITE_TIMEOUT};
use super::client::{Client, Outcome};
use super::collector;
use super::records::{KEY_PREFIX, Records, Snapshot};

/// Time between steps in which due work is done.
const STEP_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of orders in one step, so that the lease is renewed in time.
const MAX_ORDERS_PER_STEP: usize = 4;
/// Time after its start for which a process does not apply for the lease: its previous
/// run may have held it, and the holder must not change twice within one lease term.
const CANDIDACY_DELAY: Duration = Duration::from_secs(4);
/// Time for which the duty must be vacant before a host applies that does not read the store
/// itself. Those that do apply at once, so that hundreds of hosts do not apply for one lease.
const STANDBY_DELAY: Duration = Duration::from_secs(2);

/// Performs the duties while this host holds the lease.
#[derive(Debug)]
pub struct Duty {
    shared: Arc<Shared>,
    store: Arc<Client>,
    /// Client for the platform's control API, which receives usage reports and orders.
    control_api: Client,
    started_at: Moment,
    lease: Lease,
    reporter: Reporter,
    planner: Planner,
    records: Records,
    is_holder: bool,
    /// Since when the duty has been vacant.
    vacant_since: Option<Moment>,
}

impl Duty {
    /// Creates the state of a host that does not hold the lease.
    pub fn new(shared: Arc<Shared>, store: Arc<Client>, counts: collector::Queue) -> Self {
        let settings = shared.settings.load();
        let timing = Timing::fenced(Duration::from_millis(settings.bounds.lease_ms));
        let planner = Planner::new(settings.capacity.policy());
        drop(settings);
        Self {
            started_at: shared.now(),
            lease: Lease::with_timing(shared.incarnation, format!("{KEY_PREFIX}duty"), timing),
            records: Records::new(shared.clone(), store.clone(), counts),
            shared,
            store,
            control_api: Client::default(),
            reporter: Reporter::default(),
            planner,
            is_holder: false,
            vacant_since: None,
        }
    }

    /// Runs until `stop` is signalled; then publishes the last counts and releases the lease.
    pub async fn run(mut self, snapshots: &mut mpsc::Receiver<Snapshot>, stop: &mut oneshot::Receiver<()>) {
        self.records.announce().await;
        loop {
            // The hosts of a zone hand over their counts at nearly the same time, so that they are
            // collected in one call.
            let pause = STEP_INTERVAL.min(self.records.until_publish());
            tokio::select! {
                snapshot = snapshots.recv() => match snapshot {
                    Some(snapshot) => self.apply(snapshot),
                    None => return,
                },
                () = tokio::time::sleep(pause) => {}
                _ = &mut *stop => break,
            }
            self.step().await;
        }
        self.records.publish_end().await;
        self.release().await;
    }

    /// Renews the lease, publishes this run's records and, as holder, does the work that is due.
    async fn step(&mut self) {
        if self.shared.is_stopping() {
            self.release().await;
        } else {
            self.renew().await;
        }
        // Waiting for a collector would delay the holder's work.
        self.records.publish(!self.is_holder).await;
        let Some(grant) = self.grant() else {
            self.reporter.stand_down();
            self.planner = Planner::new(self.shared.settings.load().capacity.policy());
            return;
        };
        if self.shared.settings.load().duties.usage {
            self.records.read_counts().await;
            self.report_usage(grant).await;
        }
        if self.shared.settings.load().duties.orders {
            for _ in 0..MAX_ORDERS_PER_STEP {
                if !self.send_order(grant).await {
                    break;
                }
            }
        }
        self.records.remove_forgotten().await;
    }

    fn apply(&mut self, snapshot: Snapshot) {
        let now = self.shared.now();
        let duty = format!("{KEY_PREFIX}duty");
        let duty = snapshot.entries.iter().find(|entry| entry.key == duty);
        self.lease.observe_read(now, duty);
        let sealed: Vec<Entry> = snapshot
            .entries
            .iter()
            .filter(|entry| entry.key.starts_with(report::SEALED_PREFIX))
            .cloned()
            .collect();
        self.reporter.load_sealed(&sealed);
        self.records.apply(&snapshot);
        self.update_holder();
    }

    /// Finds out to which host usage records are sent.
    fn update_holder(&self) {
        let holder = self.lease.observed_holder();
        let state = self.shared.state();
        let record = holder.and_then(|holder| state.ledger.record(holder));
        *self.shared.duty_holder() = record.and_then(|record| record.peer.parse().ok());
    }

    fn grant(&self) -> Option<Grant> {
        self.lease.grant(self.shared.now())
    }

    async fn renew(&mut self) {
        let now = self.shared.now();
        let is_candidate = self.is_candidate(now);
        let mut next_call = self.lease.tick(now, is_candidate);
        while let Some(call) = next_call {
            let answer = call::send(&self.shared, &self.store, &call, WRITE_TIMEOUT)
                .await
                .answer;
            next_call = self.lease.on_answer(self.shared.now(), &answer);
        }
        self.log_change();
    }

    /// Whether this host applies for the lease if the duty is vacant.
    fn is_candidate(&mut self, now: Moment) -> bool {
        let is_vacant = self.lease.may_take_over(now);
        self.vacant_since = self.vacant_since.or(Some(now)).filter(|_| is_vacant);
        let delay = if self.shared.is_reader() {
            Duration::ZERO
        } else {
            STANDBY_DELAY
        };
        let is_vacant_long = self.vacant_since.is_none_or(|since| now.since(since) >= delay);
        now.since(self.started_at) >= CANDIDACY_DELAY && is_vacant_long
    }

    async fn release(&mut self) {
        let now = self.shared.now();
        self.lease.release(now);
        while let Some(call) = self.lease.tick(self.shared.now(), false) {
            let answer = call::send(&self.shared, &self.store, &call, WRITE_TIMEOUT)
                .await
                .answer;
            self.lease.on_answer(self.shared.now(), &answer);
        }
        self.log_change();
    }

    /// Logs when this host gains or loses the lease.
    fn log_change(&mut self) {
        let grant = self.grant();
        if grant.is_some() != self.is_holder {
            self.is_holder = grant.is_some();
            tracing::info!(
                event = "duty",
                held = self.is_holder,
                fence = grant.map(|grant| grant.fence)
            );
        }
    }

    /// Seals the usage windows that are due, and reports them.
    async fn report_usage(&mut self, grant: Grant) {
        let now = self.shared.now();
        let wall_clock_ms = self.shared.wall_clock_ms(now);
        let mut step = {
            let state = self.shared.state();
            let schedule = report::Schedule {
                length_s: state.bounds.usage_window_s,
                due_s: state.bounds.usage_due_s,
            };
            self.reporter
                .tick(now, wall_clock_ms, schedule, grant, &state.ledger)
        };
        while let Some(next) = step {
            step = match next {
                report::Step::Store(call) => {
                    let answer = call::send(&self.shared, &self.store, &call, WRITE_TIMEOUT)
                        .await
                        .answer;
                    self.reporter.answer(self.shared.now(), &answer)
                }
                report::Step::Report(grant, window) => {
                    let accepted = self.send_report(grant, &window).await;
                    self.reporter.record_result(self.shared.now(), accepted);
                    None
                }
            };
        }
    }

    async fn send_report(&mut self, grant: Grant, window: &Window) -> bool {
        let host = self.shared.settings.load().host.clone();
        let request = self.shared.adapter.usage_request(&host, grant.fence, window);
        let status = self.send(grant, request).await;
        tracing::info!(
            event = "usage-reported",
            window = window.number,
            customers = window.counts.len(),
            fence = grant.fence,
            status
        );
        status == Some(StatusCode::OK.as_u16())
    }

    /// Sends one order; returns whether it was accepted.
    async fn send_order(&mut self, grant: Grant) -> bool {
        let now = self.shared.now();
        let (order, flow) = {
            let state = self.shared.state();
            let Some(table) = state.table.clone() else {
                return false;
            };
            let order = self.planner.tick(now, &table, &state.fleet, |service| {
                state.prefill_rate(now, service).total_us
            });
            let flow = order
                .as_ref()
                .map(|order| state.prefill_rate(now, &order.service).total_us);
            (order, flow)
        };
        let Some(order) = order else {
            return false;
        };
        let host = self.shared.settings.load().host.clone();
        let request = self.shared.adapter.order_request(&host, grant.fence, &order);
        let status = self.send(grant, request).await;
        tracing::info!(
            event = "ordered",
            flow,
            service = order.service,
            zone = order.zone,
            reclaimable = order.reclaimable,
            count = order.count,
            fence = grant.fence,
            status
        );
        let accepted = status == Some(StatusCode::OK.as_u16());
        self.planner.record_result(self.shared.now(), &order, accepted);
        accepted
    }

    /// Sends a request under the lease; returns the status, if there was a response.
    ///
    /// The process may have been suspended since the grant was checked, so it is checked
    /// again right before sending, and the send is bounded to end with the grant.
    async fn send(&mut self, grant: Grant, request: hyper::Request<bytes::Bytes>) -> Option<u16> {
        if !grant.covers(self.shared.now()) {
            return None;
        }
        let address = self.shared.settings.load().desk;
        let outcome = self.control_api.send(address, request, grant.max_send).await;
        let (label, status) = match outcome {
            Outcome::Response(status, _) if status.is_success() => ("ok", Some(status.as_u16())),
            Outcome::Response(status, _) => ("refused", Some(status.as_u16())),
            Outcome::NotSent => ("refused", None),
            Outcome::Lost { .. } => ("lost", None),
        };
        self.shared.metrics.count_platform_call("duty", label);
        if status == Some(StatusCode::CONFLICT.as_u16()) {
            tracing::warn!(event = "duty-refused", fence = grant.fence);
        }
        status
    }
}
