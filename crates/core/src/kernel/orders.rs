//! Service of the kernel for the ordering duty.
//!
//! It applies for the lease of the duty and, while it holds the lease, lets
//! the planner order runners.

use std::sync::Arc;

use super::pending::Pending;
use super::{Action, Event, ORDERS, Outbox, Status};
use crate::config::view::View;
use crate::id::Incarnation;
use crate::lease::Lease;
use crate::order::{Planner, Step};
use crate::peer::{Heartbeat, ZoneSummary};
use crate::store::{Answer, Token};
use crate::time::Moment;

/// Lease of the duty and planner of the orders.
#[derive(Debug)]
pub struct Service {
    lease: Lease,
    planner: Planner,
    candidate: bool,
    view: Arc<View>,
    summaries: Vec<ZoneSummary>,
    pending_lease: Pending,
    pending_planner: Pending,
}

impl Service {
    /// Creates the service without the duty.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            lease: Lease::new(incarnation, ORDERS),
            planner: Planner::default(),
            candidate: false,
            view: Arc::default(),
            summaries: Vec::new(),
            pending_lease: Pending::default(),
            pending_planner: Pending::default(),
        }
    }

    /// Handles an event.
    pub fn handle(&mut self, now: Moment, event: &Event, outbox: &mut Outbox) {
        match event {
            Event::Tick => {
                let call = self.lease.tick(now, self.candidate);
                self.pending_lease.send(ORDERS, call, outbox);
                let grant = self.lease.grant(now);
                let step = self
                    .planner
                    .tick(now, grant, &self.view.document.pools, &self.summaries);
                self.apply(step, outbox);
            }
            Event::StoreAnswer(token, answer) => self.on_store_answer(now, *token, answer, outbox),
            Event::OrderAnswer(accepted) => self.planner.on_order_answer(now, *accepted),
            Event::Membership(membership) => self.candidate = membership.orders_candidate,
            Event::View(view) => self.view = view.clone(),
            Event::ZoneSummaries(summaries) => self.summaries = summaries.clone(),
            Event::Stop => self.lease.release(now),
            _ => {}
        }
    }

    fn on_store_answer(&mut self, now: Moment, token: Token, answer: &Answer, outbox: &mut Outbox) {
        if self.pending_lease.accept(token) {
            let call = self.lease.on_answer(now, answer);
            self.pending_lease.send(ORDERS, call, outbox);
        } else if self.pending_planner.accept(token) {
            let step = self.planner.on_store_answer(now, self.lease.grant(now), answer);
            self.apply(step, outbox);
        }
    }

    fn apply(&mut self, step: Option<Step>, outbox: &mut Outbox) {
        match step {
            Some(Step::Store(call)) => self.pending_planner.send(ORDERS, Some(call), outbox),
            Some(Step::Order(grant, order)) => outbox.push_action(Action::Order(grant, order)),
            None => {}
        }
    }

    /// Adds nothing to a heartbeat.
    pub fn fill_heartbeat(&mut self, _now: Moment, _address: &str, _heartbeat: &mut Heartbeat) {}

    /// Adds the duty to the status, if this process holds it.
    pub fn add_status(&self, now: Moment, status: &mut Status) {
        if let Some(grant) = self.lease.grant(now) {
            status.duties.push((ORDERS.into(), grant.fence));
        }
    }
}
