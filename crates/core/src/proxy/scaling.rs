//! Number of runners to order in each zone, on-demand and reclaimable.
//!
//! Two numbers are computed. The first is what the traffic needs: it follows from the measured
//! prefill time and from the number of concurrent requests. The second is the
//! [capacity](super::capacity) to keep available, which depends on what may be lost: reclaimable runners cost a fraction of the
//! price, but a whole zone of them may be reclaimed with seconds of notice, and at times none are
//! available anywhere.
//!
//! While reclaimable runners are cheap, most runners are reclaimable: as many as the peak of the
//! last half minute needs, plus a reserve, so that the other zones can carry the traffic if one
//! is lost. On-demand runners are ordered if reclaimable ones are not available and the present
//! ones cannot carry the current traffic, cheapest zones first.

use std::collections::VecDeque;
use std::time::Duration;

use super::capacity::{Load, Policy};
use super::fleet::Fleet;
use super::route::{Scaling, Service, Table};
use super::services::Services;
use crate::target::Targets;
use crate::time::Moment;

/// Relative price from which reclaimable runners are not worth the risk of losing them.
const MAX_RECLAIMABLE_PRICE: f64 = 0.7;
/// Time for which a peak counts as current traffic: bursts come in series on bad days, and
/// runners take four seconds to boot.
const PEAK_WINDOW: Duration = Duration::from_secs(8);
/// Time for which a peak counts for the reclaimable runners on standby.
const STANDBY_WINDOW: Duration = Duration::from_secs(30);
/// Minimum time for which all runners found at the start count as needed, since the earlier traffic
/// is unknown.
const INITIAL_HOLD: Duration = Duration::from_secs(15);
/// Time for which they count as needed if no traffic begins.
const IDLE_HOLD: Duration = Duration::from_secs(60);
/// Time from the start of traffic until its rate is known; the window over which hosts measure it.
const MEASURING_TIME: Duration = Duration::from_secs(2);
/// Pause before an order that was refused or lost is sent again; it doubles with each refusal.
const RETRY_PAUSE: Duration = Duration::from_millis(1_500);
/// Maximum of that pause.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(6);
/// Maximum number of consecutive refusals that is counted.
const MAX_REFUSALS: u32 = 8;
/// Time after the usual boot time from which an ordered runner is no longer expected.
const BOOT_GRACE: Duration = Duration::from_millis(1_500);
/// Time after which a standing order is repeated: an order whose answer was lost may be carried
/// out late and override a newer one.
const REPEAT_INTERVAL: Duration = Duration::from_secs(15);
/// Timeout of an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(3);

plain! {
    /// Number of runners of one kind to run.
    #[derive(Eq)]
    pub struct Order {
        /// Name of the service.
        pub service: String,
        /// Availability zone.
        pub zone: String,
        /// Whether the runners are reclaimable.
        pub reclaimable: bool,
        /// Desired number of runners.
        pub count: u32,
    }
}

plain! {
    /// Kind of runners that an order is for.
    #[derive(Eq, PartialOrd, Ord)]
    struct Kind {
        service: String,
        zone: String,
        reclaimable: bool,
    }
}

/// Maximum over a sliding time window.
#[derive(Clone, Debug, Default)]
struct SlidingMax {
    /// Values that no later value exceeds, oldest first.
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

impl SlidingMax {
    fn push(&mut self, now: Moment, value: u32, span: Duration) -> u32 {
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

/// Peaks of a service's load.
#[derive(Clone, Debug, Default)]
struct Peak {
    /// Prefill work, in thousandths of a runner that only prefills.
    current: SlidingMax,
    standby: SlidingMax,
    /// Requests that run or wait.
    running: SlidingMax,
    start: Option<Start>,
}

plain! {
    /// State at the planner's first tick for a service, and the traffic after it.
    #[derive(Copy)]
    struct Start {
        /// Time of that tick.
        at: Moment,
        /// Number of runners that count as needed until the load is known.
        runners: u32,
        /// When traffic was first measured, if that was before the runners found were given up.
        traffic_since: Option<Moment>,
    }
}

impl Start {
    /// Number of runners that count as needed: those of the start until runners ordered for the
    /// measured traffic can have booted.
    fn needed(&mut self, now: Moment, boot_time: Duration, has_traffic: bool) -> u32 {
        let is_idle = self.traffic_since.is_none() && now.since(self.at) < IDLE_HOLD;
        if is_idle && has_traffic {
            self.traffic_since = Some(now);
        }
        let is_held = match self.traffic_since {
            None => is_idle,
            Some(since) => now.since(self.at) < INITIAL_HOLD || now.since(since) < MEASURING_TIME + boot_time,
        };
        if is_held { self.runners } else { 0 }
    }
}

plain! {
    /// Number of runners that a service needs.
    #[derive(Copy)]
    struct Needed {
        /// To carry the current traffic under high load.
        current: u32,
        /// To keep available for usual bursts and the loss of a zone.
        standby: u32,
    }
}

plain! {
    /// Runners of a zone that accept new requests.
    struct Zone {
        name: String,
        reclaimable: u32,
        on_demand: u32,
        running: u32,
    }
}

impl Zone {
    fn of(now: Moment, fleet: &Fleet, service: &str, name: &str) -> Self {
        let mut zone = Self {
            name: name.to_string(),
            reclaimable: 0,
            on_demand: 0,
            running: 0,
        };
        let runners = fleet.runners().map(|(_, runner)| runner);
        let of_service = runners.filter(|runner| {
            let listed = &runner.listed;
            listed.service == service && listed.zone == name && runner.is_listed(now)
        });
        for runner in of_service {
            zone.running = zone.running.saturating_add(runner.running());
            match runner.listed.reclaimable {
                true => zone.reclaimable += 1,
                false => zone.on_demand += 1,
            }
        }
        zone
    }
}

plain! {
    /// State of an order besides its count.
    #[derive(Copy, Default)]
    struct Progress {
        /// Consecutive refusals.
        refusals: u32,
        /// When an order that increased the count was last accepted, while its runners boot.
        raised_at: Option<Moment>,
        /// Number of runners at the last tick.
        last_count: u32,
    }
}

/// Orders of the host that holds the ordering duty.
#[derive(Debug, Default)]
pub struct Planner {
    policy: Policy,
    targets: Targets<Kind, Progress>,
    peaks: Services<Peak>,
    /// When the order was sent that has no answer yet.
    pending_since: Option<Moment>,
}

impl Planner {
    /// A planner that keeps capacity ready by this policy.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// Next order to send, while this host holds the duty.
    ///
    /// `prefill_rate` returns the prefill work that is sent to a service, in microseconds per
    /// second.
    pub fn tick(
        &mut self,
        now: Moment,
        table: &Table,
        fleet: &Fleet,
        prefill_rate: impl Fn(&str) -> u64,
    ) -> Option<Order> {
        if self
            .pending_since
            .is_some_and(|since| now.since(since) < ORDER_TIMEOUT)
        {
            return None;
        }
        for service in table.services() {
            if let Some(scaling) = &service.scaling {
                self.plan(now, service, scaling, fleet, prefill_rate(&service.name));
            }
        }
        let target = self.targets.due(now, Some(REPEAT_INTERVAL))?;
        self.pending_since = Some(now);
        let pause = RETRY_PAUSE * 2u32.saturating_pow(target.extra.refusals);
        target.next_attempt = now + pause.min(MAX_RETRY_PAUSE);
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

    /// Records whether an order was accepted.
    pub fn record_result(&mut self, now: Moment, order: &Order, accepted: bool) {
        if self.pending_since.take().is_none() {
            return;
        }
        let target = self
            .targets
            .entry(Kind::new(&order.service, &order.zone, order.reclaimable));
        if !accepted {
            target.extra.refusals = (target.extra.refusals + 1).min(MAX_REFUSALS);
            return;
        }
        target.extra.refusals = 0;
        if target.accepted.is_none_or(|have| have < order.count) {
            target.extra.raised_at = Some(now);
        }
        // If the target has changed since, the new one is due at once.
        if target.desired == order.count {
            target.accept(now, order.count);
        }
    }

    /// Sets the targets of one service.
    fn plan(&mut self, now: Moment, service: &Service, scaling: &Scaling, fleet: &Fleet, prefill_rate: u64) {
        let Some(price) = scaling.reclaimable_price else {
            return;
        };
        // Orders for an evacuated zone stay as they are. The other zones replace its runners.
        let zones: Vec<Zone> = by_price(scaling)
            .into_iter()
            .filter(|name| !fleet.is_evacuated(name))
            .map(|name| Zone::of(now, fleet, &service.name, name))
            .collect();
        if zones.is_empty() {
            return;
        }
        let needed = self.needed(now, service, scaling, &zones, price, prefill_rate);
        let count = zones.len() as u32;
        let is_cheap = price < MAX_RECLAIMABLE_PRICE;
        let (per_zone, mut missing, zone_count) = if is_cheap {
            let per_zone = needed.standby.div_ceil(count);
            let missing = self.missing(now, service, scaling, &zones, needed.current);
            // Spread over at least two zones, if there are, as one may be cut off next.
            (
                per_zone.clamp(scaling.minimum, scaling.maximum),
                missing,
                count.min(2),
            )
        } else {
            (0, needed.standby.max(scaling.minimum * count), count)
        };
        let zone_limit = missing.div_ceil(zone_count);
        for zone in zones {
            // A zone's maximum holds for both kinds together; reclaimable runners that are
            // present must not be given up for on-demand ones.
            let room = scaling.maximum.saturating_sub(zone.reclaimable);
            let on_demand = missing.min(zone_limit).min(room);
            missing -= on_demand;
            let reclaimable_count = per_zone.min(scaling.maximum - on_demand);
            for (reclaimable, wanted) in [(false, on_demand), (true, reclaimable_count)] {
                let kind = Kind::new(&service.name, &zone.name, reclaimable);
                self.targets.entry(kind).set_desired(wanted);
            }
        }
    }

    /// Number of runners needed beyond the reclaimable ones.
    ///
    /// Runners that are booting are counted, but until they are up, on-demand runners that are
    /// present are kept.
    fn missing(
        &mut self,
        now: Moment,
        service: &Service,
        scaling: &Scaling,
        zones: &[Zone],
        current: u32,
    ) -> u32 {
        let expected = zones
            .iter()
            .map(|zone| self.expected(now, service, scaling, zone));
        let after_boot = current.saturating_sub(expected.sum());
        let present: u32 = zones.iter().map(|zone| zone.reclaimable).sum();
        let on_demand: u32 = zones.iter().map(|zone| zone.on_demand).sum();
        after_boot.max(current.saturating_sub(present).min(on_demand))
    }

    /// Reclaimable runners of a zone that are present or booting.
    fn expected(&mut self, now: Moment, service: &Service, scaling: &Scaling, zone: &Zone) -> u32 {
        let target = self.targets.entry(Kind::new(&service.name, &zone.name, true));
        // Some were reclaimed, and runners ordered before may be among them.
        let was_reclaimed = zone.reclaimable < target.extra.last_count;
        target.extra.last_count = zone.reclaimable;
        let ordered = target.accepted.unwrap_or(0);
        let is_booting = |raised_at: &Moment| now.since(*raised_at) < scaling.boot_time + BOOT_GRACE;
        target.extra.raised_at = target.extra.raised_at.filter(is_booting);
        if was_reclaimed || zone.reclaimable >= ordered {
            target.extra.raised_at = None;
        }
        match target.extra.raised_at {
            Some(_) => ordered,
            None => zone.reclaimable,
        }
    }

    /// Number of runners needed for the recent peaks.
    fn needed(
        &mut self,
        now: Moment,
        service: &Service,
        scaling: &Scaling,
        zones: &[Zone],
        price: f64,
        prefill_rate: u64,
    ) -> Needed {
        let found: u32 = zones.iter().map(|zone| zone.on_demand + zone.reclaimable).sum();
        let running = zones
            .iter()
            .fold(0, |sum: u32, zone| sum.saturating_add(zone.running));
        let slots = service.engine.map_or(u32::MAX, |engine| engine.slots.max(1));
        let policy = self.policy;
        let peak = self.peaks.get_or_default(&service.name);
        let prefill_permille = (prefill_rate / 1_000) as u32;
        let load = |prefill_permille, running| Load {
            prefill: f64::from(prefill_permille) / 1e3,
            slots: f64::from(running) / f64::from(slots),
        };
        let current = load(peak.current.push(now, prefill_permille, PEAK_WINDOW), running);
        let standby = load(
            peak.standby.push(now, prefill_permille, STANDBY_WINDOW),
            peak.running.push(now, running, STANDBY_WINDOW),
        );
        let (count, has_traffic) = (zones.len() as u32, prefill_rate > 0);
        let start = peak.start.get_or_insert(Start {
            at: now,
            runners: policy.initial(found, has_traffic, count, price),
            traffic_since: None,
        });
        let initial = start.needed(now, scaling.boot_time, has_traffic);
        Needed {
            current: current.minimum().ceil() as u32,
            standby: (policy.standby(current, standby, count, price).ceil() as u32).max(initial),
        }
    }
}

/// Zones in order of price, cheapest first.
fn by_price(scaling: &Scaling) -> Vec<&String> {
    let mut zones: Vec<(&String, f64)> = scaling
        .zone_prices
        .iter()
        .map(|(zone, price)| (zone, *price))
        .collect();
    zones.sort_by(|a, b| a.1.total_cmp(&b.1));
    zones.into_iter().map(|(zone, _)| zone).collect()
}
