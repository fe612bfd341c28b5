//! The ordering duty as a service of the kernel.

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

/// Lease and plans.
#[derive(Debug)]
pub struct Service {
    lease: Lease,
    planner: Planner,
    candidate: bool,
    view: Arc<View>,
    summaries: Vec<ZoneSummary>,
    lease_request: Pending,
    planner_request: Pending,
}

impl Service {
    /// Not in charge.
    pub fn new(me: Incarnation) -> Self {
        Self {
            lease: Lease::new(me, ORDERS),
            planner: Planner::default(),
            candidate: false,
            view: Arc::default(),
            summaries: Vec::new(),
            lease_request: Pending::default(),
            planner_request: Pending::default(),
        }
    }

    /// Takes an event in.
    pub fn handle(&mut self, now: Moment, event: &Event, outbox: &mut Outbox) {
        match event {
            Event::Tick => {
                let call = self.lease.tick(now, self.candidate);
                self.lease_request.send(ORDERS, call, outbox);
                let grant = self.lease.grant(now);
                let step = self
                    .planner
                    .tick(now, grant, &self.view.document.pools, &self.summaries);
                self.act(step, outbox);
            }
            Event::StoreAnswer(token, answer) => self.stored(now, *token, answer, outbox),
            Event::OrderAnswer(accepted) => self.planner.on_order_answer(now, *accepted),
            Event::Membership(membership) => self.candidate = membership.orders_candidate,
            Event::View(view) => self.view = view.clone(),
            Event::ZoneSummaries(summaries) => self.summaries = summaries.clone(),
            Event::Stop => self.lease.release(now),
            _ => {}
        }
    }

    fn stored(&mut self, now: Moment, token: Token, answer: &Answer, outbox: &mut Outbox) {
        if self.lease_request.accept(token) {
            let call = self.lease.on_answer(now, answer);
            self.lease_request.send(ORDERS, call, outbox);
        } else if self.planner_request.accept(token) {
            let step = self.planner.on_store_answer(now, self.lease.grant(now), answer);
            self.act(step, outbox);
        }
    }

    fn act(&mut self, step: Option<Step>, outbox: &mut Outbox) {
        match step {
            Some(Step::Store(call)) => self.planner_request.send(ORDERS, Some(call), outbox),
            Some(Step::Order(grant, order)) => outbox.push_action(Action::Order(grant, order)),
            None => {}
        }
    }

    /// Adds nothing to a heartbeat.
    pub fn fill_heartbeat(&mut self, _now: Moment, _address: &str, _beat: &mut Heartbeat) {}

    /// Adds to the status.
    pub fn add_status(&self, now: Moment, status: &mut Status) {
        if let Some(grant) = self.lease.grant(now) {
            status.duties.push((ORDERS.into(), grant.fence));
        }
    }
}
