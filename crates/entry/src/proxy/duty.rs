//! What one host does for all: usage reports and orders for runners.
//!
//! The duty is a record in the store that its holder renews.

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
use super::call::{self, WRITE};
use super::client::{Client, Outcome};
use super::records::{Own, PREFIX, Records};

/// Time between looks at what is due.
const TICK: Duration = Duration::from_millis(250);
/// Most orders of one step, so that the lease is renewed in time.
const ORDERS: usize = 4;
/// A process does not seek the duty in its first seconds: its former run may
/// have held it, and two changes of the holder within a lease are one too many.
const SETTLED: Duration = Duration::from_secs(4);

/// State of the duties.
#[derive(Debug)]
pub struct Duty {
    shared: Arc<Shared>,
    store: Arc<Client>,
    desk: Client,
    began: Moment,
    lease: Lease,
    reporter: Reporter,
    planner: Planner,
    records: Records,
    holds: bool,
}

impl Duty {
    /// A host that holds nothing yet.
    pub fn new(shared: Arc<Shared>, store: Arc<Client>) -> Self {
        let terms = Timing::fenced(Duration::from_millis(shared.settings.load().bounds.lease_ms));
        Self {
            began: shared.now(),
            lease: Lease::with_timing(shared.me, format!("{PREFIX}duty"), terms),
            records: Records::new(shared.clone(), store.clone()),
            shared,
            store,
            desk: Client::default(),
            reporter: Reporter::default(),
            planner: Planner::default(),
            holds: false,
        }
    }

    /// Runs until `stop` is told; then gives everything back.
    pub async fn run(mut self, mut own: mpsc::Receiver<Own>, mut stop: oneshot::Receiver<()>) {
        loop {
            tokio::select! {
                read = own.recv() => match read {
                    Some(read) => self.take(read),
                    None => return,
                },
                () = tokio::time::sleep(TICK) => {}
                _ = &mut stop => break,
            }
            self.step().await;
        }
        self.records.end().await;
        self.hand_back().await;
    }

    async fn step(&mut self) {
        if self.shared.is_stopping() {
            self.hand_back().await;
        } else {
            self.renew().await;
        }
        self.records.publish().await;
        let Some(grant) = self.grant() else {
            self.reporter.stand_down();
            self.planner = Planner::default();
            return;
        };
        if self.shared.settings.load().duties.usage {
            self.records.gather().await;
            self.report(grant).await;
        }
        if self.shared.settings.load().duties.orders {
            for _ in 0..ORDERS {
                if !self.order(grant).await {
                    break;
                }
            }
        }
        self.records.clean().await;
    }

    fn take(&mut self, own: Own) {
        let now = self.shared.now();
        let duty = format!("{PREFIX}duty");
        let duty = own.entries.iter().find(|entry| entry.key == duty);
        self.lease.observe_read(now, duty);
        let sealed: Vec<Entry> = own
            .entries
            .iter()
            .filter(|entry| entry.key.starts_with(report::SEALED_PREFIX))
            .cloned()
            .collect();
        self.reporter.load_sealed(&sealed);
        self.records.take(&own);
    }

    fn grant(&self) -> Option<Grant> {
        self.lease.grant(self.shared.now())
    }

    async fn renew(&mut self) {
        let now = self.shared.now();
        let candidate = now.since(self.began) >= SETTLED;
        let mut call = self.lease.tick(now, candidate);
        while let Some(next) = call {
            let answer = call::send(&self.shared, &self.store, &next, WRITE).await.answer;
            call = self.lease.on_answer(self.shared.now(), &answer);
        }
        self.tell();
    }

    async fn hand_back(&mut self) {
        let now = self.shared.now();
        self.lease.release(now);
        while let Some(call) = self.lease.tick(self.shared.now(), false) {
            let answer = call::send(&self.shared, &self.store, &call, WRITE).await.answer;
            self.lease.on_answer(self.shared.now(), &answer);
        }
        self.tell();
    }

    fn tell(&mut self) {
        let grant = self.grant();
        if grant.is_some() != self.holds {
            self.holds = grant.is_some();
            tracing::info!(
                event = "duty",
                held = self.holds,
                fence = grant.map(|grant| grant.fence)
            );
        }
    }

    async fn report(&mut self, grant: Grant) {
        let now = self.shared.now();
        let civil = self.shared.civil(now);
        let mut step = {
            let state = self.shared.state();
            let plan = report::Schedule {
                length_s: state.bounds.usage_window_s,
                due_s: state.bounds.usage_due_s,
            };
            self.reporter.tick(now, civil, plan, grant, &state.ledger)
        };
        while let Some(next) = step {
            step = match next {
                report::Step::Store(call) => {
                    let answer = call::send(&self.shared, &self.store, &call, WRITE).await.answer;
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

    /// Sends one order; whether it was accepted.
    async fn order(&mut self, grant: Grant) -> bool {
        let now = self.shared.now();
        let (order, flow) = {
            let state = self.shared.state();
            let Some(table) = state.table.clone() else {
                return false;
            };
            let order = self
                .planner
                .tick(now, &table, &state.fleet, |service| state.flow(now, service).rate);
            let flow = order.as_ref().map(|order| state.flow(now, &order.service).rate);
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

    /// Sends under the duty; the status, if one came.
    ///
    /// The process may have been frozen since the grant was looked at: the last
    /// look is right before the bytes leave, and the send ends with the grant.
    async fn send(&mut self, grant: Grant, request: hyper::Request<bytes::Bytes>) -> Option<u16> {
        if !grant.covers(self.shared.now()) {
            return None;
        }
        let address = self.shared.settings.load().desk;
        let asked = self.desk.send(address, request, grant.max_send).await;
        let (outcome, status) = match asked {
            Outcome::Response(status, _) if status.is_success() => ("ok", Some(status.as_u16())),
            Outcome::Response(status, _) => ("refused", Some(status.as_u16())),
            Outcome::NotSent => ("refused", None),
            Outcome::Lost { .. } => ("lost", None),
        };
        self.shared.metrics.count_platform_call("duty", outcome);
        if status == Some(StatusCode::CONFLICT.as_u16()) {
            tracing::warn!(event = "duty-refused", fence = grant.fence);
        }
        status
    }
}
