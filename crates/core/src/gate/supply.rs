//! How many runners are ordered for each zone, dependable and reclaimable.
//!
//! Reclaimable runners cost a fraction and vanish by zone with seconds of
//! notice. So most are cheap, and more of them than would be paid for
//! otherwise; as soon as a zone loses its cheap ones, dependable ones are
//! ordered in their place, and given back once the cheap ones have returned.

use std::time::Duration;

use super::fleet::Fleet;
use super::route::{Scaling, Table};
use crate::time::Moment;

/// Dependable runners of a zone while its reclaimable ones are there.
const DEPENDABLE: u32 = 1;
/// Reclaimable runners of a zone.
const RECLAIMABLE: u32 = 6;
/// Most dependable runners ordered in the place of reclaimable ones.
const COVER: u32 = 5;
/// How long a zone's reclaimable runners must be there before the dependable
/// ones are given back: they are taken away in series on bad days.
const HOLD: Duration = Duration::from_secs(5);
/// Pause between two orders for the same thing that was refused or lost.
const AGAIN: Duration = Duration::from_millis(1_500);
/// Time after which an order that stands is said again: an order whose answer
/// was lost may be carried out late, over a newer one.
const RESTATE: Duration = Duration::from_secs(15);
/// Wait for one answer before it counts as lost.
const PATIENCE: Duration = Duration::from_secs(3);

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

impl Order {
    fn key(&self) -> (&str, &str, bool) {
        (&self.service, &self.zone, self.reclaimable)
    }
}

plain! {
    struct Target {
        order: Order,
        accepted: Option<u32>,
        next: Moment,
    }
}

plain! {
    /// Since when a zone's reclaimable runners are all there.
    struct Zone {
        service: String,
        zone: String,
        whole: Option<Moment>,
        /// Whether they ever were.
        before: bool,
    }
}

/// Orders that were sent, while in charge.
#[derive(Debug, Default)]
pub struct Planner {
    targets: Vec<Target>,
    zones: Vec<Zone>,
    sending: Option<(Moment, usize)>,
}

impl Planner {
    /// The next order to send, while in charge.
    pub fn tick(&mut self, now: Moment, table: &Table, fleet: &Fleet) -> Option<Order> {
        if self.sending.is_some_and(|(since, _)| now.since(since) < PATIENCE) {
            return None;
        }
        for service in table.services() {
            let Some(scaling) = &service.scaling else {
                continue;
            };
            for zone in scaling.prices.keys() {
                self.plan(now, scaling, fleet, &service.name, zone);
            }
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

    fn plan(&mut self, now: Moment, scaling: &Scaling, fleet: &Fleet, service: &str, zone: &str) {
        if scaling.cheap.is_none() {
            return;
        }
        let base = DEPENDABLE.max(scaling.least).min(scaling.most);
        let cheap = RECLAIMABLE.min(scaling.most - base);
        let there = Count::of(fleet, service, zone);
        let missing = cheap.saturating_sub(there.reclaimable);
        let cover = match (self.is_whole(now, service, zone, missing), there.leaving) {
            (true, _) => 0,
            (false, true) => missing.clamp(1, COVER),
            // Cheap ones are still booting: those that were found stay for so
            // long, but none is ordered for the wait.
            (false, false) if !self.was_whole(service, zone) => {
                there.dependable.saturating_sub(base).min(missing.clamp(1, COVER))
            }
            (false, false) => missing.clamp(1, COVER),
        };
        let dependable = (base + cover).min(scaling.most);
        let order = |reclaimable, count| Order {
            service: service.to_string(),
            zone: zone.to_string(),
            reclaimable,
            count,
        };
        self.want(order(false, dependable));
        self.want(order(true, cheap.min(scaling.most - dependable)));
    }

    /// Whether the zone's reclaimable runners were all there before.
    fn was_whole(&self, service: &str, zone: &str) -> bool {
        let mut zones = self.zones.iter();
        zones.any(|have| have.service == service && have.zone == zone && have.before)
    }

    /// Whether the zone's reclaimable runners have been there for long enough.
    fn is_whole(&mut self, now: Moment, service: &str, zone: &str, missing: u32) -> bool {
        let found = self
            .zones
            .iter()
            .position(|have| have.service == service && have.zone == zone);
        let at = found.unwrap_or_else(|| {
            self.zones.push(Zone {
                service: service.to_string(),
                zone: zone.to_string(),
                whole: None,
                before: false,
            });
            self.zones.len() - 1
        });
        let state = &mut self.zones[at];
        state.before |= missing == 0;
        state.whole = match missing {
            0 => state.whole.or(Some(now)),
            _ => None,
        };
        state.whole.is_some_and(|since| now.since(since) >= HOLD)
    }

    fn want(&mut self, order: Order) {
        let found = self
            .targets
            .binary_search_by(|have| have.order.key().cmp(&order.key()));
        match found {
            Ok(at) => {
                let target = &mut self.targets[at];
                if target.order != order {
                    // A new number need not wait for the pause of the old one.
                    target.next = Moment::default();
                    target.order = order;
                }
            }
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

/// Runners of a service in a zone.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    dependable: u32,
    reclaimable: u32,
    /// Whether reclaimable ones are being taken away.
    leaving: bool,
}

impl Count {
    fn of(fleet: &Fleet, service: &str, zone: &str) -> Self {
        let mut count = Self::default();
        let own = fleet.all().map(|(_, runner)| runner);
        for runner in own.filter(|runner| runner.listed.service == service && runner.listed.zone == zone) {
            match (runner.listed.reclaimable, runner.is_listed()) {
                (false, true) => count.dependable += 1,
                (true, true) => count.reclaimable += 1,
                (true, false) => count.leaving |= runner.is_leaving(),
                (false, false) => {}
            }
        }
        count
    }
}
