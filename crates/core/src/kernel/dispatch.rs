//! Dispatch as a service of the kernel.

use std::time::Duration;

use prost::Message;

use super::{Event, MEMBER, Outbox, Reply, Status};
use crate::dispatch::{Decision, Dispatch, Outcome, Policy, Seek};
use crate::id::{CallId, Incarnation};
use crate::peer::{Demand, Heartbeat, HostLoad, QueuedCalls, ZoneSummary};
use crate::runner::Key;
use crate::time::Moment;

/// Bytes a second that a host may spend on telling its zone mates its load.
const SHARES_BYTES: f64 = 4_000.0;
/// Longest time between two tellings, in seconds.
const SHARES_SELDOM: f64 = 10.0;
/// How long a mate's word of what waits there counts: the next one comes before.
const QUEUED: Duration = Duration::from_secs(12);

plain! {
    /// What waits at a zone mate.
    struct Queued {
        mate: Incarnation,
        heard: Moment,
        waiting: Vec<QueuedCalls>,
    }
}

/// The dispatcher, with the calls that it has started.
#[derive(Debug)]
pub struct Service {
    inner: Dispatch,
    zone: String,
    seeking: Vec<(CallId, Seek)>,
    running: Vec<(CallId, Seek, Key)>,
    /// Sorted by mate.
    queued: Vec<Queued>,
    shares: Option<HostLoad>,
    next_shares: Moment,
    zone_peers: usize,
    next_summary: Moment,
}

impl Service {
    /// Nothing to do yet.
    pub fn new(zone: &str, seed: u64, policy: Policy) -> Self {
        Self {
            inner: Dispatch::new(zone, seed, policy),
            zone: zone.to_string(),
            seeking: Vec::new(),
            running: Vec::new(),
            queued: Vec::new(),
            shares: None,
            next_shares: Moment::default(),
            zone_peers: 0,
            next_summary: Moment::default(),
        }
    }

    /// Takes an event in.
    pub fn handle(&mut self, now: Moment, event: &Event, outbox: &mut Outbox) {
        let decisions = match event {
            Event::Tick => {
                self.queued.retain(|queued| now.since(queued.heard) < QUEUED);
                self.tell_waiting_mates();
                self.summarize(now, outbox);
                self.inner.tick(now)
            }
            Event::HeartbeatRound {
                zone_peers,
                all_peers,
                own_index,
            } => {
                self.zone_peers = *zone_peers;
                self.inner.set_hosts(zone_peers + 1, all_peers + 1, *own_index);
                self.refresh_shares(now);
                Vec::new()
            }
            Event::View(view) => self.inner.set_view(view.clone()),
            Event::RunnerList(listed) => {
                self.inner.runners.list(listed.clone());
                self.inner.tick(now)
            }
            Event::Acquire(seek) => {
                let at = self.seeking.partition_point(|(call, _)| *call < seek.call);
                self.seeking.insert(at, (seek.call, seek.clone()));
                self.inner.seek(now, seek.clone())
            }
            Event::Release { call, outcome } => match self.take_running(*call) {
                Some((_, seek, runner)) => self.inner.release(now, &seek, runner, outcome),
                None => Vec::new(),
            },
            Event::Cancel(call) => self.forget(now, *call),
            Event::RunnerLeaving(name) => {
                self.inner.runners.leave(now, name);
                Vec::new()
            }
            Event::Heartbeat(heartbeat) => {
                self.hear(now, heartbeat);
                Vec::new()
            }
            _ => Vec::new(),
        };
        for decision in decisions {
            self.settle(decision, outbox);
        }
    }

    fn settle(&mut self, decision: Decision, outbox: &mut Outbox) {
        match decision {
            Decision::Start(start) => {
                if let Some(seek) = self.take_seeking(start.call) {
                    let at = self.running.partition_point(|(call, ..)| *call < start.call);
                    self.running.insert(at, (start.call, seek, start.runner));
                }
                outbox.reply(start.call, Reply::Start(start));
            }
            Decision::Refuse(call, refusal) => {
                self.take_seeking(call);
                outbox.reply(call, Reply::Refused(refusal));
            }
        }
    }

    /// The caller may go away in the moment in which its call starts; the
    /// runner's place is given back then, or it would stay taken for ever.
    fn forget(&mut self, now: Moment, call: CallId) -> Vec<Decision> {
        self.take_seeking(call);
        self.inner.forget(call);
        match self.take_running(call) {
            Some((_, seek, runner)) => {
                self.inner
                    .release(now, &seek, runner, &Outcome::Dropped { tokens: 0 })
            }
            None => Vec::new(),
        }
    }

    fn hear(&mut self, now: Moment, heartbeat: &Heartbeat) {
        if heartbeat.sender.zone != self.zone {
            return;
        }
        let peer = Incarnation(heartbeat.sender.incarnation);
        for name in &heartbeat.leaving_runners {
            self.inner.runners.leave(now, name);
        }
        if let Some(shares) = &heartbeat.load {
            self.inner.runners.hear(now, peer, shares);
            let queued = Queued {
                mate: peer,
                heard: now,
                waiting: shares.waiting.clone(),
            };
            match self.queued.binary_search_by_key(&peer, |queued| queued.mate) {
                Ok(at) => self.queued[at] = queued,
                Err(at) => self.queued.insert(at, queued),
            }
        }
        if heartbeat.sender.gone {
            self.queued.retain(|queued| queued.mate != peer);
        }
        self.tell_waiting_mates();
    }

    fn tell_waiting_mates(&mut self) {
        let waiting = self.queued.iter().flat_map(|queued| &queued.waiting);
        let pools = waiting
            .filter(|waiting| waiting.count > 0)
            .map(|waiting| waiting.pool.as_str());
        self.inner.set_waiting_mates(pools);
    }

    fn take_seeking(&mut self, call: CallId) -> Option<Seek> {
        let at = self.seeking.binary_search_by(|(have, _)| have.cmp(&call)).ok()?;
        Some(self.seeking.remove(at).1)
    }

    fn take_running(&mut self, call: CallId) -> Option<(CallId, Seek, Key)> {
        let at = self.running.binary_search_by(|(have, ..)| have.cmp(&call)).ok()?;
        Some(self.running.remove(at))
    }

    /// Tells the membership service the demand of this zone, for its summary.
    fn summarize(&mut self, now: Moment, outbox: &mut Outbox) {
        if !now.reached(self.next_summary) {
            return;
        }
        self.next_summary = now + crate::member::HEARTBEAT_INTERVAL;
        let summary = ZoneSummary {
            zone: self.zone.clone(),
            demands: self.demands(now),
            ..ZoneSummary::default()
        };
        outbox.post(MEMBER, Event::ZoneSummaries(vec![summary]));
    }

    fn demands(&self, now: Moment) -> Vec<Demand> {
        let mut demands: Vec<Demand> = Vec::new();
        let mine = self
            .inner
            .runners
            .iter()
            .filter(|runner| runner.listed.zone == self.zone);
        for runner in mine {
            let demand = demand(&mut demands, &runner.listed.pool);
            demand.running += runner.running + runner.others;
            if !runner.leaving(now) {
                demand.runners += 1;
                demand.slots += runner.listed.slots;
            }
        }
        let others = self
            .queued
            .iter()
            .flat_map(|queued| queued.waiting.iter().cloned());
        for waiting in others.chain(self.queue_by_pool()) {
            demand(&mut demands, &waiting.pool).waiting += waiting.count;
        }
        demands
    }

    fn queue_by_pool(&self) -> Vec<QueuedCalls> {
        let waiting = self.inner.waiting_by_pool().into_iter();
        waiting.map(|(pool, count)| QueuedCalls { pool, count }).collect()
    }

    /// Takes the shares for this round of heartbeats, if they are due. They go
    /// to every zone mate, so the larger they and the zone are, the more
    /// seldom: what they may cost is fixed.
    fn refresh_shares(&mut self, now: Moment) {
        self.shares = None;
        if !now.reached(self.next_shares) {
            return;
        }
        let mut shares = self.inner.runners.shares();
        shares.waiting = self.queue_by_pool();
        let bytes = shares.encoded_len() * self.zone_peers.max(1);
        let seconds = (bytes as f64 / SHARES_BYTES).clamp(1.0, SHARES_SELDOM);
        // Half a beat less, so that the round at that time still carries them.
        self.next_shares = now + Duration::from_secs_f64(seconds - 0.5);
        self.shares = Some(shares);
    }

    /// Adds to a heartbeat.
    pub fn fill_heartbeat(&mut self, now: Moment, _address: &str, heartbeat: &mut Heartbeat) {
        heartbeat.load = self.shares.clone();
        heartbeat.leaving_runners = self.inner.runners.news(now);
    }

    /// Adds to the status.
    pub fn add_status(&self, now: Moment, status: &mut Status) {
        status.queue = self
            .inner
            .queue()
            .map(|(name, len)| (name.to_string(), len))
            .collect();
        let open = self
            .inner
            .runners
            .iter()
            .filter(|runner| runner.open(now))
            .count();
        status.runners = (self.inner.runners.iter().count(), open);
    }
}

fn demand<'a>(demands: &'a mut Vec<Demand>, pool: &str) -> &'a mut Demand {
    let at = match demands.binary_search_by(|have| have.pool.as_str().cmp(pool)) {
        Ok(at) => at,
        Err(at) => {
            let new = Demand {
                pool: pool.to_string(),
                ..Demand::default()
            };
            demands.insert(at, new);
            at
        }
    };
    &mut demands[at]
}
