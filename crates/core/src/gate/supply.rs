//! How many runners are ordered for each zone, dependable and reclaimable.
//!
//! Reclaimable runners cost a fraction and vanish by zone with seconds of
//! notice. A few dependable ones carry the urgent work through such a minute;
//! the rest are cheap, and more of them than would be paid for otherwise.

use std::time::Duration;

use super::fleet::Fleet;
use super::route::{Scaling, Table};
use crate::time::Moment;

/// Dependable runners of a zone while reclaimable ones are there.
const DEPENDABLE: u32 = 1;
/// Reclaimable runners of a zone.
const RECLAIMABLE: u32 = 6;
/// Pause between two orders for the same thing that was refused or lost.
const AGAIN: Duration = Duration::from_millis(1_500);
/// Time after which an order that stands is said again: an order whose answer
/// was lost may be carried out late, over a newer one.
const RESTATE: Duration = Duration::from_secs(15);

plain! {
    /// A number of runners of one kind.
    #[derive(Eq)]
    pub struct Order {
        /// Service.
        pub service: String,
        /// Availability zone.
        pub zone: String,
        /// Whether runners that can be taken away are meant.
        pub reclaimable: bool,
        /// Runners wanted.
        pub count: u32,
    }
}

plain! {
    struct Target {
        order: Order,
        accepted: Option<u32>,
        next: Moment,
    }
}

/// Orders that were sent, while in charge.
#[derive(Debug, Default)]
pub struct Planner {
    targets: Vec<Target>,
    sending: Option<(Moment, usize)>,
}

/// Wait for one answer before it counts as lost.
const PATIENCE: Duration = Duration::from_secs(3);

impl Planner {
    /// The next order to send, while in charge.
    pub fn tick(&mut self, now: Moment, table: &Table, fleet: &Fleet) -> Option<Order> {
        if self.sending.is_some_and(|(since, _)| now.since(since) < PATIENCE) {
            return None;
        }
        for order in wanted(table, fleet) {
            self.want(order);
        }
        let due = |target: &Target| {
            let changed = target.accepted != Some(target.order.count);
            now.reached(target.next) && (changed || now.since(target.next) >= RESTATE)
        };
        let at = self.targets.iter().position(due)?;
        self.sending = Some((now, at));
        self.targets[at].next = now + AGAIN;
        Some(self.targets[at].order.clone())
    }

    /// What came of the order.
    pub fn ordered(&mut self, now: Moment, order: &Order, accepted: bool) {
        let Some((_, at)) = self.sending.take() else {
            return;
        };
        let Some(target) = self.targets.get_mut(at) else {
            return;
        };
        if accepted && target.order == *order {
            target.accepted = Some(order.count);
            target.next = now;
        }
    }

    fn want(&mut self, order: Order) {
        let key = |order: &Order| (order.service.clone(), order.zone.clone(), order.reclaimable);
        let found = self
            .targets
            .binary_search_by(|have| key(&have.order).cmp(&key(&order)));
        match found {
            Ok(at) => self.targets[at].order = order,
            Err(at) => self.targets.insert(
                at,
                Target {
                    order,
                    accepted: None,
                    next: Moment::default(),
                },
            ),
        }
    }
}

fn wanted(table: &Table, fleet: &Fleet) -> Vec<Order> {
    let mut orders = Vec::new();
    for service in table.services() {
        let Some(scaling) = &service.scaling else {
            continue;
        };
        for zone in scaling.prices.keys() {
            orders.extend(for_zone(scaling, fleet, &service.name, zone));
        }
    }
    orders
}

fn for_zone(scaling: &Scaling, fleet: &Fleet, service: &str, zone: &str) -> Vec<Order> {
    let _ = fleet;
    let order = |reclaimable, count| Order {
        service: service.to_string(),
        zone: zone.to_string(),
        reclaimable,
        count,
    };
    if scaling.cheap.is_none() {
        return Vec::new();
    }
    let dependable = DEPENDABLE.max(scaling.least).min(scaling.most);
    let reclaimable = RECLAIMABLE.min(scaling.most - dependable);
    vec![order(false, dependable), order(true, reclaimable)]
}
