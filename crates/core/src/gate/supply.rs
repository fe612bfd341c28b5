//! How many runners are ordered for each zone, dependable and reclaimable.
//!
//! Reclaimable runners cost a fraction and vanish by zone with seconds of
//! notice. So most are cheap, and more of them than would be paid for
//! otherwise: as many as the highest flow of the last half minute needs, and a
//! quarter more. While those that are there cannot carry the flow of the moment,
//! dependable ones are ordered besides, in the cheapest zones first.

use std::collections::VecDeque;
use std::time::Duration;

use super::fleet::Fleet;
use super::route::{Scaling, Table};
use crate::target::Targets;
use crate::time::Moment;

/// Reclaimable runners ordered for each one needed: they boot for four seconds,
/// and one zone's vanish at a time.
const HEADROOM: f64 = 1.25;
/// Work of one runner, in prompt tokens a second: two fifths of what an engine
/// of the users' sites reads, as the rest of its time goes to generating, and as
/// prompts that come together must not wait for each other. At a third the
/// standard days' worth was 0.006 lower, for 0.01 more of the requests served.
const FLOW: u64 = 26_000;
/// How long a peak of the flow counts: bursts come in series on bad days, and
/// runners take four seconds to boot.
const HOLD: Duration = Duration::from_secs(8);
/// How long a peak counts for the cheap runners at hand.
const HOLD_CHEAP: Duration = Duration::from_secs(30);
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

plain! {
    /// What an order is for.
    #[derive(Eq, PartialOrd, Ord)]
    struct Kind {
        service: String,
        zone: String,
        reclaimable: bool,
    }
}

/// The highest value of the last span of time.
#[derive(Clone, Debug, Default)]
struct High {
    /// Values that no later one exceeds, oldest first.
    values: VecDeque<(Moment, u32)>,
}

impl High {
    fn rise(&mut self, now: Moment, value: u32, span: Duration) -> u32 {
        while self.values.back().is_some_and(|(_, have)| *have <= value) {
            self.values.pop_back();
        }
        self.values.push_back((now, value));
        while self.values.front().is_some_and(|(at, _)| now.since(*at) >= span) {
            self.values.pop_front();
        }
        self.values.front().map_or(value, |(_, high)| *high)
    }
}

/// What the flow of a service needed.
#[derive(Clone, Debug)]
struct Peak {
    service: String,
    urgent: High,
    usual: High,
}

plain! {
    /// Runners that a service needs.
    #[derive(Copy)]
    struct Needed {
        /// To carry what comes now.
        urgent: u32,
        /// To have at hand for the bursts of this day.
        usual: u32,
    }
}

plain! {
    /// Runners of a zone that take new work.
    struct Zone {
        name: String,
        cheap: u32,
        dependable: u32,
    }
}

impl Zone {
    /// Runners needed for which a zone was sized; cheap ones have headroom.
    fn sized_for(&self) -> f64 {
        f64::from(self.dependable) + f64::from(self.cheap) / HEADROOM
    }

    fn of(fleet: &Fleet, service: &str, name: &str) -> Self {
        let mut zone = Self {
            name: name.to_string(),
            cheap: 0,
            dependable: 0,
        };
        let runners = fleet.all().map(|(_, runner)| runner);
        let own = runners.filter(|runner| {
            let listed = &runner.listed;
            listed.service == service && listed.zone == name && runner.is_listed()
        });
        for runner in own {
            match runner.listed.reclaimable {
                true => zone.cheap += 1,
                false => zone.dependable += 1,
            }
        }
        zone
    }
}

/// Orders that were sent, while in charge.
#[derive(Debug, Default)]
pub struct Planner {
    targets: Targets<Kind, ()>,
    peaks: Vec<Peak>,
    /// When an order was sent whose answer has not come.
    sending: Option<Moment>,
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
        if self.sending.is_some_and(|since| now.since(since) < PATIENCE) {
            return None;
        }
        for service in table.services() {
            if let Some(scaling) = &service.scaling {
                self.plan(now, scaling, fleet, &service.name, flow(&service.name));
            }
        }
        let target = self.targets.due(now, Some(RESTATE))?;
        self.sending = Some(now);
        target.next = now + AGAIN;
        let Kind {
            service,
            zone,
            reclaimable,
        } = target.key.clone();
        Some(Order {
            service,
            zone,
            reclaimable,
            count: target.want,
        })
    }

    /// What came of the order.
    pub fn ordered(&mut self, now: Moment, order: &Order, accepted: bool) {
        if self.sending.take().is_none() || !accepted {
            return;
        }
        let target = self.targets.of(Kind {
            service: order.service.clone(),
            zone: order.zone.clone(),
            reclaimable: order.reclaimable,
        });
        // What is wanted may have changed since; that is due at once.
        if target.want == order.count {
            target.accept(now, order.count);
        }
    }

    /// Sets the targets of one service.
    fn plan(&mut self, now: Moment, scaling: &Scaling, fleet: &Fleet, service: &str, flow: u64) {
        if scaling.cheap.is_none() {
            return;
        }
        let zones: Vec<Zone> = by_price(scaling)
            .into_iter()
            .map(|name| Zone::of(fleet, service, name))
            .collect();
        let found = zones.iter().map(Zone::sized_for).sum::<f64>();
        let peak = self.peak(now, service, flow, found as u32);
        let cheap: u32 = zones.iter().map(|zone| zone.cheap).sum();
        let mut lacking = peak.urgent.saturating_sub(cheap);
        let count = zones.len() as u32;
        // Not all in one zone: it may be cut off next.
        let most = lacking.div_ceil(2);
        for zone in zones {
            // A zone's bound holds for both kinds together; cheap runners that
            // are there must not give way to dependable ones.
            let room = scaling.most.saturating_sub(zone.cheap);
            let dependable = lacking.min(most).min(room);
            lacking -= dependable;
            let wanted = peak.usual.div_ceil(count).min(scaling.most - dependable);
            let kind = |reclaimable| Kind {
                service: service.to_string(),
                zone: zone.name.clone(),
                reclaimable,
            };
            self.targets.of(kind(false)).want(dependable);
            self.targets.of(kind(true)).want(wanted.max(scaling.least));
        }
    }

    /// Runners that the highest flow needed, lately and for longer.
    fn peak(&mut self, now: Moment, service: &str, flow: u64, found: u32) -> Needed {
        let known = self.peaks.iter().position(|peak| peak.service == service);
        let at = known.unwrap_or_else(|| {
            let mut peak = Peak {
                service: service.to_string(),
                urgent: High::default(),
                usual: High::default(),
            };
            // What is there was sized for the usual load by whoever came before.
            peak.usual.rise(now, found, HOLD_CHEAP);
            self.peaks.push(peak);
            self.peaks.len() - 1
        });
        let peak = &mut self.peaks[at];
        let needed = flow.div_ceil(FLOW) as u32;
        let usual = peak.usual.rise(now, needed, HOLD_CHEAP);
        Needed {
            urgent: peak.urgent.rise(now, needed, HOLD),
            usual: (f64::from(usual) * HEADROOM).ceil() as u32,
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
