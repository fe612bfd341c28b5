//! How many runners are ordered for each zone, dependable and reclaimable.
//!
//! Two figures are kept apart. What the flow needs follows from the time that runners
//! spend on reading, as they were seen to take, and from the requests that run at once.
//! What must be at hand follows from what can vanish: reclaimable runners cost a fraction and
//! go by zone with seconds of notice, at times while none are to be had anywhere.
//!
//! So most are reclaimable while they are cheap: as many as the highest flow of the last half
//! minute needs, and more, so that the other zones carry the flow when one is lost.
//! Dependable ones are ordered where reclaimable ones are not to be had and those that are
//! there cannot carry the flow of the moment, in the cheapest zones first.

use std::collections::VecDeque;
use std::time::Duration;

use super::fleet::Fleet;
use super::route::{Scaling, Service, Table};
use super::services::Services;
use crate::target::Targets;
use crate::time::Moment;

/// Part of a runner's time that goes to reading where all is well: the rest goes to
/// generating, and prompts that come together must not wait for each other.
const LOAD: f64 = 0.35;
/// The same where more runners cost more than the waiting: after a loss, until others boot.
const LOAD_TIGHT: f64 = 0.6;
/// Part of a runner's places that are taken where all is well.
const TAKEN: f64 = 0.6;
/// Reserve of reclaimable runners, in dependable ones' price for each one needed.
const RESERVE: f64 = 0.05;
/// Most reserve, as a part of those needed.
const RESERVE_MOST: f64 = 0.5;
/// Price of reclaimable runners, as a part of the full one, from which they are not worth
/// their vanishing.
const CHEAP: f64 = 0.7;
/// How long a peak of the flow counts: bursts come in series on bad days, and
/// runners take four seconds to boot.
const HOLD: Duration = Duration::from_secs(8);
/// How long a peak counts for the cheap runners at hand.
const HOLD_CHEAP: Duration = Duration::from_secs(30);
/// How long those that were found count as needed; the flow that they carried is not known.
const HOLD_FOUND: Duration = Duration::from_secs(15);
/// Pause between two orders for the same thing that was refused or lost.
const AGAIN: Duration = Duration::from_millis(1_500);
/// Longest pause; it doubles with each refusal.
const AGAIN_MOST: Duration = Duration::from_secs(6);
/// Refusals in a row that are told apart.
const REFUSED_MOST: u32 = 8;
/// Time beyond the usual boot after which a runner that was ordered is not expected any more.
const OVERDUE: Duration = Duration::from_millis(1_500);
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

impl Kind {
    fn new(service: &str, zone: &str, reclaimable: bool) -> Self {
        Self {
            service: service.to_string(),
            zone: zone.to_string(),
            reclaimable,
        }
    }
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

/// The highest flows of a service, in runners that do nothing but read, in thousandths.
#[derive(Clone, Debug, Default)]
struct Peak {
    urgent: High,
    usual: High,
    /// When this planner first looked, and the runners that were there.
    found: Option<(Moment, u32)>,
}

plain! {
    /// Runners that a service needs.
    #[derive(Copy)]
    struct Needed {
        /// To carry what comes now, at the worst.
        urgent: u32,
        /// To have at hand for the bursts of this day, and for the loss of a zone.
        usual: u32,
    }
}

plain! {
    /// Runners of a zone that take new work.
    struct Zone {
        name: String,
        cheap: u32,
        dependable: u32,
        running: u32,
    }
}

impl Zone {
    fn of(fleet: &Fleet, service: &str, name: &str) -> Self {
        let mut zone = Self {
            name: name.to_string(),
            cheap: 0,
            dependable: 0,
            running: 0,
        };
        let runners = fleet.runners().map(|(_, runner)| runner);
        let own = runners.filter(|runner| {
            let listed = &runner.listed;
            listed.service == service && listed.zone == name && runner.is_listed()
        });
        for runner in own {
            zone.running += runner.running();
            match runner.listed.reclaimable {
                true => zone.cheap += 1,
                false => zone.dependable += 1,
            }
        }
        zone
    }
}

plain! {
    /// What is known of an order besides its number.
    #[derive(Copy, Default)]
    struct Progress {
        /// Refusals in a row.
        refused: u32,
        /// When it was accepted last with a higher number, while those runners boot.
        rose: Option<Moment>,
        /// Runners that were there at the last look.
        seen: u32,
    }
}

/// Orders that were sent, while in charge.
#[derive(Debug, Default)]
pub struct Planner {
    targets: Targets<Kind, Progress>,
    peaks: Services<Peak>,
    /// When an order was sent whose answer has not come.
    sending: Option<Moment>,
}

impl Planner {
    /// The next order to send, while in charge.
    ///
    /// `flow` tells how much reading a service gets, in microseconds a second.
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
                self.plan(now, service, scaling, fleet, flow(&service.name));
            }
        }
        let target = self.targets.due(now, Some(RESTATE))?;
        self.sending = Some(now);
        let pause = AGAIN * 2u32.saturating_pow(target.extra.refused);
        target.next_attempt = now + pause.min(AGAIN_MOST);
        let Kind {
            service,
            zone,
            reclaimable,
        } = target.key.clone();
        Some(Order {
            service,
            zone,
            reclaimable,
            count: target.desired,
        })
    }

    /// What came of the order.
    pub fn record_result(&mut self, now: Moment, order: &Order, accepted: bool) {
        if self.sending.take().is_none() {
            return;
        }
        let target = self
            .targets
            .entry(Kind::new(&order.service, &order.zone, order.reclaimable));
        if !accepted {
            target.extra.refused = (target.extra.refused + 1).min(REFUSED_MOST);
            return;
        }
        target.extra.refused = 0;
        if target.accepted.is_none_or(|have| have < order.count) {
            target.extra.rose = Some(now);
        }
        // What is wanted may have changed since; that is due at once.
        if target.desired == order.count {
            target.accept(now, order.count);
        }
    }

    /// Sets the targets of one service.
    fn plan(&mut self, now: Moment, service: &Service, scaling: &Scaling, fleet: &Fleet, flow: u64) {
        let Some(price) = scaling.reclaimable_price else {
            return;
        };
        let zones: Vec<Zone> = by_price(scaling)
            .into_iter()
            .map(|name| Zone::of(fleet, &service.name, name))
            .collect();
        let needed = self.needed(now, service, &zones, price, flow);
        let count = zones.len() as u32;
        let is_cheap = price < CHEAP;
        let (each, mut lacking, parts) = if is_cheap {
            let each = needed.usual.div_ceil(count);
            let lacking = self.lacking(now, service, scaling, &zones, needed.urgent);
            // Not all in one zone, if there are others: it may be cut off next.
            (
                each.clamp(scaling.minimum, scaling.maximum),
                lacking,
                count.min(2),
            )
        } else {
            (0, needed.usual.max(scaling.minimum * count), count)
        };
        let most = lacking.div_ceil(parts);
        for zone in zones {
            // A zone's bound holds for both kinds together; cheap runners that
            // are there must not give way to dependable ones.
            let room = scaling.maximum.saturating_sub(zone.cheap);
            let dependable = lacking.min(most).min(room);
            lacking -= dependable;
            let cheap = each.min(scaling.maximum - dependable);
            for (reclaimable, wanted) in [(false, dependable), (true, cheap)] {
                let kind = Kind::new(&service.name, &zone.name, reclaimable);
                self.targets.entry(kind).set_desired(wanted);
            }
        }
    }

    /// Runners that reclaimable ones cannot make up for.
    ///
    /// Those that boot will carry their part; until they do, no dependable one that is there
    /// is given back for them.
    fn lacking(
        &mut self,
        now: Moment,
        service: &Service,
        scaling: &Scaling,
        zones: &[Zone],
        urgent: u32,
    ) -> u32 {
        let expected = zones
            .iter()
            .map(|zone| self.expected(now, service, scaling, zone));
        let after_boot = urgent.saturating_sub(expected.sum());
        let here: u32 = zones.iter().map(|zone| zone.cheap).sum();
        let dependable: u32 = zones.iter().map(|zone| zone.dependable).sum();
        after_boot.max(urgent.saturating_sub(here).min(dependable))
    }

    /// Reclaimable runners of a zone that are there or will be after a boot.
    fn expected(&mut self, now: Moment, service: &Service, scaling: &Scaling, zone: &Zone) -> u32 {
        let target = self.targets.entry(Kind::new(&service.name, &zone.name, true));
        // Some have vanished: what was ordered before may have gone with them.
        let vanished = zone.cheap < target.extra.seen;
        target.extra.seen = zone.cheap;
        let ordered = target.accepted.unwrap_or(0);
        let boots = |rose: &Moment| now.since(*rose) < scaling.boot_time + OVERDUE;
        target.extra.rose = target.extra.rose.filter(boots);
        if vanished || zone.cheap >= ordered {
            target.extra.rose = None;
        }
        match target.extra.rose {
            Some(_) => ordered,
            None => zone.cheap,
        }
    }

    /// Runners that the highest flow needed, lately and for longer.
    fn needed(&mut self, now: Moment, service: &Service, zones: &[Zone], price: f64, flow: u64) -> Needed {
        let found: u32 = zones.iter().map(|zone| zone.dependable + zone.cheap).sum();
        let running: u32 = zones.iter().map(|zone| zone.running).sum();
        let slots = service.engine.map_or(u32::MAX, |engine| engine.slots.max(1));
        let peak = self.peaks.get_or_default(&service.name);
        let reading = (flow / 1_000) as u32;
        let urgent = f64::from(peak.urgent.rise(now, reading, HOLD)) / 1e3;
        let usual = f64::from(peak.usual.rise(now, reading, HOLD_CHEAP)) / 1e3;
        // What was found was sized for the usual load by whoever came before.
        let (began, found) = *peak.found.get_or_insert((now, found));
        let found = if now.since(began) < HOLD_FOUND { found } else { 0 };
        let places = f64::from(running) / (f64::from(slots) * TAKEN);
        let reserve = 1.0 + (RESERVE / price.max(RESERVE)).min(RESERVE_MOST);
        let others = (zones.len() as f64 - 1.0).max(1.0);
        let after_loss = usual / LOAD_TIGHT * zones.len() as f64 / others;
        let wanted = (usual / LOAD * reserve).max(after_loss).max(places);
        Needed {
            urgent: (urgent / LOAD_TIGHT).max(places).ceil() as u32,
            usual: (wanted.ceil() as u32).max(found),
        }
    }
}

/// Zones, the cheapest first.
fn by_price(scaling: &Scaling) -> Vec<&String> {
    let mut zones: Vec<(&String, f64)> = scaling
        .zone_prices
        .iter()
        .map(|(zone, price)| (zone, *price))
        .collect();
    zones.sort_by(|a, b| a.1.total_cmp(&b.1));
    zones.into_iter().map(|(zone, _)| zone).collect()
}
