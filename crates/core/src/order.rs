//! How many runners each zone should have, and the orders that say so.
//!
//! An order is a target count, not an increment, so one that is repeated or
//! arrives late does no more than restate it. The intent is written to the
//! store before the order is sent; a successor finds there what may be in the
//! air.

use std::time::Duration;

use crate::config::Pool;
use crate::lease::Grant;
use crate::peer::{Demand, ZoneSummary};
use crate::store::{Answer, Call, Entry};
use crate::target::Targets;
use crate::time::Moment;

/// Store prefix of intents.
pub const PREFIX: &str = "order/";
/// Part of the slots that should be busy, in percent.
const FILL: u32 = 70;
/// How long less must be wanted before runners are released.
const RELEASE: Duration = Duration::from_secs(60);
/// Age past which a zone's summary says nothing.
const SUMMARY_AGE: u64 = 15_000;
/// Pause after a failed step, and between restatements of one target.
const PAUSE: Duration = Duration::from_secs(5);
/// Wait for an answer before starting over.
const PATIENCE: Duration = Duration::from_secs(8);

record! {
    /// A target for one pool in one zone.
    pub struct Order {
        /// Pool.
        pub pool: String,
        /// Availability zone.
        pub zone: String,
        /// Runners wanted.
        pub count: u32,
        /// Fencing number of whoever orders.
        pub fence: u64,
    }
}

impl Order {
    fn place(&self) -> Place {
        Place {
            pool: self.pool.clone(),
            zone: self.zone.clone(),
        }
    }
}

plain! {
    /// What an order is for.
    #[derive(Eq, PartialOrd, Ord)]
    struct Place {
        pool: String,
        zone: String,
    }
}

plain! {
    /// What is kept of a target besides its numbers.
    #[derive(Default)]
    struct Kept {
        /// Version of its intent in the store.
        version: u64,
        /// Since when fewer runners would do.
        lower_since: Option<Moment>,
    }
}

plain! {
    enum State {
        Idle,
        Reading { since: Moment },
        Ready,
        Intending { since: Moment, order: Order },
        Sending { since: Moment, order: Order },
    }
}

plain! {
    /// What the shell is to do.
    pub enum Step {
        /// Ask the store.
        Store(Call),
        /// Send to the ordering interface while the grant covers it.
        Order(Grant, Order),
    }
}

/// Plans and sends orders while in charge.
#[derive(Debug)]
pub struct Planner {
    state: State,
    targets: Targets<Place, Kept>,
    next: Moment,
}

impl Default for Planner {
    fn default() -> Self {
        Self {
            state: State::Idle,
            targets: Targets::default(),
            next: Moment::default(),
        }
    }
}

impl Planner {
    /// Moves on while in charge; starts afresh when not.
    pub fn tick(
        &mut self,
        now: Moment,
        grant: Option<Grant>,
        pools: &[Pool],
        summaries: &[ZoneSummary],
    ) -> Option<Step> {
        let Some(grant) = grant else {
            *self = Self::default();
            return None;
        };
        self.give_up(now);
        match &self.state {
            State::Idle if now.reached(self.next) => {
                self.state = State::Reading { since: now };
                Some(Step::Store(Call::Range {
                    prefix: PREFIX.into(),
                    after: String::new(),
                    limit: 1_000,
                }))
            }
            State::Ready => {
                self.plan(now, pools, summaries);
                self.intend(now, grant)
            }
            _ => None,
        }
    }

    /// The store's answer.
    pub fn on_store_answer(&mut self, now: Moment, grant: Option<Grant>, answer: &Answer) -> Option<Step> {
        match (std::mem::replace(&mut self.state, State::Ready), answer) {
            (State::Reading { .. }, Answer::Found(entries)) => {
                self.recover(entries);
                None
            }
            (State::Intending { order, .. }, Answer::Written(version)) => {
                self.targets.entry(order.place()).extra.version = *version;
                // The last check before the order leaves: a holder paused
                // while the intent was written must not send it.
                let grant = grant.filter(|grant| grant.covers(now) && grant.fence == order.fence)?;
                self.state = State::Sending {
                    since: now,
                    order: order.clone(),
                };
                Some(Step::Order(grant, order))
            }
            // Somebody else's intent, a lost answer, an outage: read again.
            _ => {
                *self = Self::default();
                self.next = now + PAUSE;
                None
            }
        }
    }

    /// The ordering interface's answer.
    pub fn on_order_answer(&mut self, now: Moment, accepted: bool) {
        let State::Sending { order, .. } = std::mem::replace(&mut self.state, State::Ready) else {
            return;
        };
        if accepted {
            self.targets.entry(order.place()).accept(now, order.count);
        } else {
            *self = Self::default();
            self.next = now + PAUSE;
        }
    }

    fn plan(&mut self, now: Moment, pools: &[Pool], summaries: &[ZoneSummary]) {
        for pool in pools.iter().filter(|pool| pool.most > 0) {
            for summary in summaries
                .iter()
                .filter(|summary| summary.timestamp_ms + SUMMARY_AGE >= now.wall_ms)
            {
                let demand = summary.demands.iter().find(|demand| demand.pool == pool.name);
                let want = demand.map_or(pool.least, |demand| want(pool, demand));
                self.set(now, pool, &summary.zone, want.clamp(pool.least, pool.most));
            }
        }
    }

    fn set(&mut self, now: Moment, pool: &Pool, zone: &str, want: u32) {
        let target = self.targets.entry(Place {
            pool: pool.name.clone(),
            zone: zone.to_string(),
        });
        let have = target.accepted.unwrap_or(0);
        if target.accepted.is_none() || want >= have {
            target.set_desired(want);
            target.extra.lower_since = None;
            return;
        }
        // Runners take long to start: release only after steady low demand.
        let since = *target.extra.lower_since.get_or_insert(now);
        if now.since(since) >= RELEASE {
            target.set_desired(want);
            target.extra.lower_since = None;
        }
    }

    fn intend(&mut self, now: Moment, grant: Grant) -> Option<Step> {
        let target = self.targets.due(now, None)?;
        let order = Order {
            pool: target.key.pool.clone(),
            zone: target.key.zone.clone(),
            count: target.desired,
            fence: grant.fence,
        };
        let call = Call::CompareAndSwap {
            key: format!("{PREFIX}{}/{}", order.pool, order.zone),
            expect: target.extra.version,
            value: serde_json::to_string(&order).ok()?,
        };
        self.state = State::Intending { since: now, order };
        Some(Step::Store(call))
    }

    fn recover(&mut self, entries: &[Entry]) {
        self.targets = Targets::default();
        for entry in entries {
            if let Ok(order) = serde_json::from_str::<Order>(&entry.value) {
                let target = self.targets.entry(order.place());
                // Not known whether it was sent: it will be stated once more.
                target.extra.version = entry.version;
                target.set_desired(order.count);
            }
        }
    }

    fn give_up(&mut self, now: Moment) {
        let since = match &self.state {
            State::Idle | State::Ready => return,
            State::Reading { since } | State::Intending { since, .. } | State::Sending { since, .. } => {
                *since
            }
        };
        if now.since(since) >= PATIENCE {
            *self = Self::default();
        }
    }
}

fn want(pool: &Pool, demand: &Demand) -> u32 {
    let each = match demand.runners {
        0 => return pool.least.max(1),
        runners => (demand.slots / runners).max(1),
    };
    let calls = demand.running + demand.waiting;
    (calls * 100).div_ceil(each * FILL)
}
