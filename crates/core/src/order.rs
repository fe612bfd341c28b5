//! Orders for runners: the target count for each pool and zone.
//!
//! An order states a target count, not an increment, so a repeated or late
//! order changes nothing further. Before an order is sent, it is written to
//! the store as an intent, from which the next holder of the duty reads which
//! orders may have been sent.

use std::time::Duration;

use crate::config::Pool;
use crate::lease::Grant;
use crate::peer::{Demand, ZoneSummary};
use crate::store::{Answer, Call, Entry};
use crate::target::Targets;
use crate::time::Moment;

/// Store prefix of intents.
pub const PREFIX: &str = "order/";
/// Part of the slots that should be in use.
const TARGET_UTILIZATION_PERCENT: u32 = 70;
/// Time for which the target must be lower before runners are released.
const SCALE_DOWN_DELAY: Duration = Duration::from_secs(60);
/// Age above which a zone's summary is ignored.
const MAX_SUMMARY_AGE_MS: u64 = 15_000;
/// Wait after a failed step before the intents are read again.
const RETRY_DELAY: Duration = Duration::from_secs(5);
/// Time after which a missing answer counts as lost and planning restarts.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

record! {
    /// A target for one pool in one zone.
    pub struct Order {
        /// Pool of the runners.
        pub pool: String,
        /// Availability zone.
        pub zone: String,
        /// Target count of runners.
        pub count: u32,
        /// Fencing number of the sender's lease.
        pub fence: u64,
    }
}

impl Order {
    fn pool_zone(&self) -> PoolZone {
        PoolZone {
            pool: self.pool.clone(),
            zone: self.zone.clone(),
        }
    }
}

plain! {
    /// Key of a target.
    #[derive(Eq, PartialOrd, Ord)]
    struct PoolZone {
        pool: String,
        zone: String,
    }
}

plain! {
    /// State of a target besides its counts.
    #[derive(Default)]
    struct IntentState {
        /// Version of the intent in the store; 0 if there is none.
        version: u64,
        /// Time since which fewer runners would suffice.
        lower_since: Option<Moment>,
    }
}

plain! {
    enum State {
        Idle,
        Reading { since: Moment },
        Ready,
        WritingIntent { since: Moment, order: Order },
        Sending { since: Moment, order: Order },
    }
}

plain! {
    /// I/O that the planner requests.
    pub enum Step {
        /// Send a request to the store.
        Store(Call),
        /// Send an order to the ordering interface if the grant still covers
        /// the time of sending.
        Order(Grant, Order),
    }
}

/// Plans and sends orders while this process holds the duty.
#[derive(Debug)]
pub struct Planner {
    state: State,
    targets: Targets<PoolZone, IntentState>,
    next_read: Moment,
}

impl Default for Planner {
    fn default() -> Self {
        Self {
            state: State::Idle,
            targets: Targets::default(),
            next_read: Moment::default(),
        }
    }
}

impl Planner {
    /// Next step, if one is due. Without a grant, the planner is reset.
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
        self.abandon_stale_step(now);
        match &self.state {
            State::Idle if now.reached(self.next_read) => {
                self.state = State::Reading { since: now };
                Some(Step::Store(Call::Range {
                    prefix: PREFIX.into(),
                    after: String::new(),
                    limit: 1_000,
                }))
            }
            State::Ready => {
                self.update_targets(now, pools, summaries);
                self.write_intent(now, grant)
            }
            _ => None,
        }
    }

    /// Handles the store's answer to the last step.
    pub fn on_store_answer(&mut self, now: Moment, grant: Option<Grant>, answer: &Answer) -> Option<Step> {
        match (std::mem::replace(&mut self.state, State::Ready), answer) {
            (State::Reading { .. }, Answer::Found(entries)) => {
                self.recover_intents(entries);
                None
            }
            (State::WritingIntent { order, .. }, Answer::Written(version)) => {
                self.targets.entry(order.pool_zone()).extra.version = *version;
                // Last check before the order is sent: a holder that was
                // suspended while the intent was written must not send it.
                let grant = grant.filter(|grant| grant.covers(now) && grant.fence == order.fence)?;
                self.state = State::Sending {
                    since: now,
                    order: order.clone(),
                };
                Some(Step::Order(grant, order))
            }
            // After a conflicting intent, a lost answer or an outage of the
            // store, the intents are read again.
            _ => {
                *self = Self::default();
                self.next_read = now + RETRY_DELAY;
                None
            }
        }
    }

    /// Handles the ordering interface's answer to the last order.
    pub fn on_order_answer(&mut self, now: Moment, accepted: bool) {
        let State::Sending { order, .. } = std::mem::replace(&mut self.state, State::Ready) else {
            return;
        };
        if accepted {
            self.targets.entry(order.pool_zone()).accept(now, order.count);
        } else {
            *self = Self::default();
            self.next_read = now + RETRY_DELAY;
        }
    }

    fn update_targets(&mut self, now: Moment, pools: &[Pool], summaries: &[ZoneSummary]) {
        for pool in pools.iter().filter(|pool| pool.most > 0) {
            for summary in summaries
                .iter()
                .filter(|summary| summary.timestamp_ms + MAX_SUMMARY_AGE_MS >= now.wall_ms)
            {
                let demand = summary.demands.iter().find(|demand| demand.pool == pool.name);
                let required_runners = demand.map_or(pool.least, |demand| required_runners(pool, demand));
                self.set_target(
                    now,
                    pool,
                    &summary.zone,
                    required_runners.clamp(pool.least, pool.most),
                );
            }
        }
    }

    fn set_target(&mut self, now: Moment, pool: &Pool, zone: &str, required_runners: u32) {
        let target = self.targets.entry(PoolZone {
            pool: pool.name.clone(),
            zone: zone.to_string(),
        });
        let accepted = target.accepted.unwrap_or(0);
        if target.accepted.is_none() || required_runners >= accepted {
            target.set_desired(required_runners);
            target.extra.lower_since = None;
            return;
        }
        // Runners take long to start, so they are released only after the
        // demand has been low for some time.
        let since = *target.extra.lower_since.get_or_insert(now);
        if now.since(since) >= SCALE_DOWN_DELAY {
            target.set_desired(required_runners);
            target.extra.lower_since = None;
        }
    }

    fn write_intent(&mut self, now: Moment, grant: Grant) -> Option<Step> {
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
        self.state = State::WritingIntent { since: now, order };
        Some(Step::Store(call))
    }

    fn recover_intents(&mut self, entries: &[Entry]) {
        self.targets = Targets::default();
        for entry in entries {
            if let Ok(order) = serde_json::from_str::<Order>(&entry.value) {
                let target = self.targets.entry(order.pool_zone());
                // The order may not have been sent, so it is sent again.
                target.extra.version = entry.version;
                target.set_desired(order.count);
            }
        }
    }

    fn abandon_stale_step(&mut self, now: Moment) {
        let since = match &self.state {
            State::Idle | State::Ready => return,
            State::Reading { since } | State::WritingIntent { since, .. } | State::Sending { since, .. } => {
                *since
            }
        };
        if now.since(since) >= ANSWER_TIMEOUT {
            *self = Self::default();
        }
    }
}

fn required_runners(pool: &Pool, demand: &Demand) -> u32 {
    let slots_per_runner = match demand.runners {
        0 => return pool.least.max(1),
        runners => (demand.slots / runners).max(1),
    };
    let calls = demand.running + demand.waiting;
    (calls * 100).div_ceil(slots_per_runner * TARGET_UTILIZATION_PERCENT)
}
