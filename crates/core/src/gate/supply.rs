//! How many runners are ordered for each zone, dependable and reclaimable.
//!
//! Reclaimable runners cost a fraction and vanish by zone with seconds of
//! notice. So most are cheap, and more of them than would be paid for
//! otherwise. While those that are there cannot carry the flow of work,
//! dependable ones are ordered in their place, in the cheapest zones first.

use std::time::Duration;

use super::fleet::Fleet;
use super::route::{Scaling, Table};
use crate::time::Moment;

/// Reclaimable runners of a zone.
const RECLAIMABLE: u32 = 6;
/// Most dependable runners of a zone.
const COVER: u32 = 6;
/// Work of one runner, in prompt tokens a second: two fifths of what an engine
/// of the users' sites reads, as the rest of its time goes to generating, and as
/// prompts that come together must not wait for each other. At a third the
/// standard days' worth was 0.006 lower, for 0.01 more of the requests served.
const FLOW: u64 = 26_000;
/// How long a peak of the flow counts: bursts come in series on bad days, and
/// runners take four seconds to boot.
const HOLD: Duration = Duration::from_secs(8);
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
    /// Most runners that a service's flow needed lately.
    struct Peak {
        service: String,
        needed: u32,
        since: Moment,
    }
}

/// Orders that were sent, while in charge.
#[derive(Debug, Default)]
pub struct Planner {
    targets: Vec<Target>,
    peaks: Vec<Peak>,
    sending: Option<(Moment, usize)>,
}

impl Planner {
    /// The next order to send, while in charge.
    ///
    /// `flow` tells what work a service gets, in prompt tokens a second.
    pub fn tick(
        &mut self,
        now: Moment,
        table: &Table,
        fleet: &Fleet,
        flow: impl Fn(&str) -> u64,
    ) -> Option<Order> {
        if self.sending.is_some_and(|(since, _)| now.since(since) < PATIENCE) {
            return None;
        }
        for service in table.services() {
            if let Some(scaling) = &service.scaling {
                self.plan(now, scaling, fleet, &service.name, flow(&service.name));
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

    /// Sets the targets of one service.
    fn plan(&mut self, now: Moment, scaling: &Scaling, fleet: &Fleet, service: &str, flow: u64) {
        if scaling.cheap.is_none() {
            return;
        }
        let zones: Vec<&String> = by_price(scaling);
        let cheap: u32 = zones.iter().map(|zone| reclaimable(fleet, service, zone)).sum();
        let needed = self.needed(now, service, flow);
        let mut lacking = needed.saturating_sub(cheap);
        for zone in zones {
            let dependable = lacking.min(COVER).min(scaling.most);
            lacking -= dependable;
            let order = |reclaimable, count| Order {
                service: service.to_string(),
                zone: zone.clone(),
                reclaimable,
                count,
            };
            let wanted = RECLAIMABLE.min(scaling.most - dependable);
            self.want(order(false, dependable));
            self.want(order(true, wanted));
        }
    }

    /// Runners that the highest flow of the last seconds needs.
    fn needed(&mut self, now: Moment, service: &str, flow: u64) -> u32 {
        let needed = flow.div_ceil(FLOW) as u32;
        let found = self.peaks.iter().position(|peak| peak.service == service);
        let at = found.unwrap_or_else(|| {
            self.peaks.push(Peak {
                service: service.to_string(),
                needed: 0,
                since: now,
            });
            self.peaks.len() - 1
        });
        let peak = &mut self.peaks[at];
        if needed >= peak.needed || now.since(peak.since) >= HOLD {
            peak.needed = needed;
            peak.since = now;
        }
        peak.needed
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

/// Zones, the cheapest first.
fn by_price(scaling: &Scaling) -> Vec<&String> {
    let mut zones: Vec<(&String, f64)> = scaling
        .prices
        .iter()
        .map(|(zone, price)| (zone, *price))
        .collect();
    zones.sort_by(|a, b| a.1.total_cmp(&b.1));
    zones.into_iter().map(|(zone, _)| zone).collect()
}

/// Reclaimable runners of a service in a zone that take new work.
fn reclaimable(fleet: &Fleet, service: &str, zone: &str) -> u32 {
    let runners = fleet.all().map(|(_, runner)| runner);
    let own = runners.filter(|runner| runner.listed.service == service && runner.listed.zone == zone);
    own.filter(|runner| runner.listed.reclaimable && runner.is_listed())
        .count() as u32
}
