//! Dispatch service of the kernel.
//!
//! It passes events to the dispatcher, keeps the list of waiting and of running
//! calls, and exchanges the load of this host with the peers of its zone.

use std::time::Duration;

use prost::Message;

use super::{Event, MEMBER, Outbox, Reply, Status};
use crate::dispatch::{Decision, Dispatcher, Outcome, Policy, Submission};
use crate::id::{CallId, Incarnation};
use crate::peer::{Demand, Heartbeat, HostLoad, QueuedCalls, ZoneSummary};
use crate::runner::Key;
use crate::time::Moment;

/// Bytes per second that a host may spend on sending its load to zone peers.
const LOAD_BYTES_PER_S: f64 = 4_000.0;
/// Longest time between two load messages.
const MAX_LOAD_INTERVAL_S: f64 = 10.0;
/// Age at which a peer's queue is discarded; longer than the largest interval
/// between its load messages.
const QUEUE_MAX_AGE: Duration = Duration::from_secs(12);

plain! {
    /// Calls that wait at a zone peer.
    struct PeerQueue {
        peer: Incarnation,
        received: Moment,
        waiting: Vec<QueuedCalls>,
    }
}

/// Dispatcher, with the calls that wait and the calls that it has started.
#[derive(Debug)]
pub struct Service {
    dispatcher: Dispatcher,
    zone: String,
    pending: Vec<(CallId, Submission)>,
    running: Vec<(CallId, Submission, Key)>,
    /// Sorted by peer.
    peer_queues: Vec<PeerQueue>,
    load: Option<HostLoad>,
    next_load: Moment,
    zone_peers: usize,
    next_summary: Moment,
}

impl Service {
    /// Creates the service without calls or runners.
    pub fn new(zone: &str, seed: u64, policy: Policy) -> Self {
        Self {
            dispatcher: Dispatcher::new(zone, seed, policy),
            zone: zone.to_string(),
            pending: Vec::new(),
            running: Vec::new(),
            peer_queues: Vec::new(),
            load: None,
            next_load: Moment::default(),
            zone_peers: 0,
            next_summary: Moment::default(),
        }
    }

    /// Handles an event.
    pub fn handle(&mut self, now: Moment, event: &Event, outbox: &mut Outbox) {
        let decisions = match event {
            Event::Tick => {
                self.peer_queues
                    .retain(|queue| now.since(queue.received) < QUEUE_MAX_AGE);
                self.update_waiting_peers();
                self.summarize(now, outbox);
                self.dispatcher.tick(now)
            }
            Event::HeartbeatRound {
                zone_peers,
                all_peers,
                own_index,
            } => {
                self.zone_peers = *zone_peers;
                self.dispatcher
                    .set_hosts(zone_peers + 1, all_peers + 1, *own_index);
                self.refresh_load(now);
                Vec::new()
            }
            Event::View(view) => self.dispatcher.set_view(view.clone()),
            Event::RunnerList(listings) => {
                self.dispatcher.runners.set_listings(listings.clone());
                self.dispatcher.tick(now)
            }
            Event::Acquire(submission) => {
                let index = self.pending.partition_point(|(call, _)| *call < submission.call);
                self.pending.insert(index, (submission.call, submission.clone()));
                self.dispatcher.submit(now, submission.clone())
            }
            Event::Release { call, outcome } => match self.take_running(*call) {
                Some((_, submission, runner)) => self.dispatcher.finish(now, &submission, runner, outcome),
                None => Vec::new(),
            },
            Event::Cancel(call) => self.cancel(now, *call),
            Event::RunnerLeaving(name) => {
                self.dispatcher.runners.mark_leaving(now, name);
                Vec::new()
            }
            Event::RunnerHoldOff(name, wait) => {
                self.dispatcher.runners.hold_off(now, name, *wait);
                Vec::new()
            }
            Event::Heartbeat(heartbeat) => {
                self.on_heartbeat(now, heartbeat);
                Vec::new()
            }
            _ => Vec::new(),
        };
        for decision in decisions {
            self.apply(decision, outbox);
        }
    }

    fn apply(&mut self, decision: Decision, outbox: &mut Outbox) {
        match decision {
            Decision::Start(start) => {
                if let Some(submission) = self.take_pending(start.call) {
                    let index = self.running.partition_point(|(call, ..)| *call < start.call);
                    self.running.insert(index, (start.call, submission, start.runner));
                }
                outbox.reply(start.call, Reply::Start(start));
            }
            Decision::Refuse(call, refusal) => {
                self.take_pending(call);
                outbox.reply(call, Reply::Refused(refusal));
            }
        }
    }

    /// Cancels a call that waits or runs. A caller may disconnect just as its
    /// call starts; without the release here, the runner's slot would stay
    /// occupied for ever.
    fn cancel(&mut self, now: Moment, call: CallId) -> Vec<Decision> {
        self.take_pending(call);
        self.dispatcher.cancel(call);
        match self.take_running(call) {
            Some((_, submission, runner)) => {
                self.dispatcher
                    .finish(now, &submission, runner, &Outcome::Cancelled { tokens: 0 })
            }
            None => Vec::new(),
        }
    }

    fn on_heartbeat(&mut self, now: Moment, heartbeat: &Heartbeat) {
        if heartbeat.sender.zone != self.zone {
            return;
        }
        let sender = Incarnation(heartbeat.sender.incarnation);
        for name in &heartbeat.leaving_runners {
            self.dispatcher.runners.mark_leaving(now, name);
        }
        if let Some(load) = &heartbeat.load {
            self.dispatcher.runners.set_peer_load(now, sender, load);
            let queue = PeerQueue {
                peer: sender,
                received: now,
                waiting: load.waiting.clone(),
            };
            match self.peer_queues.binary_search_by_key(&sender, |queue| queue.peer) {
                Ok(index) => self.peer_queues[index] = queue,
                Err(index) => self.peer_queues.insert(index, queue),
            }
        }
        if heartbeat.sender.gone {
            self.peer_queues.retain(|queue| queue.peer != sender);
        }
        self.update_waiting_peers();
    }

    fn update_waiting_peers(&mut self) {
        let waiting = self.peer_queues.iter().flat_map(|queue| &queue.waiting);
        let pools = waiting
            .filter(|waiting| waiting.count > 0)
            .map(|waiting| waiting.pool.as_str());
        self.dispatcher.set_waiting_peers(pools);
    }

    fn take_pending(&mut self, call: CallId) -> Option<Submission> {
        let index = self
            .pending
            .binary_search_by(|(entry, _)| entry.cmp(&call))
            .ok()?;
        Some(self.pending.remove(index).1)
    }

    fn take_running(&mut self, call: CallId) -> Option<(CallId, Submission, Key)> {
        let index = self
            .running
            .binary_search_by(|(entry, ..)| entry.cmp(&call))
            .ok()?;
        Some(self.running.remove(index))
    }

    /// Sends the demand of this zone to the membership service, for the zone's
    /// summary.
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
        let own = self
            .dispatcher
            .runners
            .iter()
            .filter(|runner| runner.listing.zone == self.zone);
        for runner in own {
            let demand = demand_for(&mut demands, &runner.listing.pool);
            demand.running += runner.running + runner.peer_running;
            if !runner.is_leaving(now) {
                demand.runners += 1;
                demand.slots += runner.listing.slots;
            }
        }
        let others = self
            .peer_queues
            .iter()
            .flat_map(|queue| queue.waiting.iter().cloned());
        for waiting in others.chain(self.queued_calls()) {
            demand_for(&mut demands, &waiting.pool).waiting += waiting.count;
        }
        demands
    }

    fn queued_calls(&self) -> Vec<QueuedCalls> {
        let waiting = self.dispatcher.waiting_by_pool().into_iter();
        waiting.map(|(pool, count)| QueuedCalls { pool, count }).collect()
    }

    /// Prepares the load for this round of heartbeats, if it is due. It is
    /// sent to every zone peer, so the interval grows with the size of the
    /// message and of the zone, to keep the cost within [`LOAD_BYTES_PER_S`].
    fn refresh_load(&mut self, now: Moment) {
        self.load = None;
        if !now.reached(self.next_load) {
            return;
        }
        let mut load = self.dispatcher.runners.local_load();
        load.waiting = self.queued_calls();
        let bytes = load.encoded_len() * self.zone_peers.max(1);
        let seconds = (bytes as f64 / LOAD_BYTES_PER_S).clamp(1.0, MAX_LOAD_INTERVAL_S);
        // Half a heartbeat interval less, so that the round at that time
        // still includes the load.
        self.next_load = now + Duration::from_secs_f64(seconds - 0.5);
        self.load = Some(load);
    }

    /// Adds the load and the leaving runners to a heartbeat.
    pub fn fill_heartbeat(&mut self, now: Moment, _address: &str, heartbeat: &mut Heartbeat) {
        heartbeat.load = self.load.clone();
        heartbeat.leaving_runners = self.dispatcher.runners.leaving_names(now);
    }

    /// Adds queue lengths and runner counts to the status.
    pub fn add_status(&self, now: Moment, status: &mut Status) {
        status.queue = self
            .dispatcher
            .waiting_by_tier()
            .map(|(name, len)| (name.to_string(), len))
            .collect();
        let available = self
            .dispatcher
            .runners
            .iter()
            .filter(|runner| runner.is_available(now))
            .count();
        status.runners = (self.dispatcher.runners.iter().count(), available);
    }
}

fn demand_for<'a>(demands: &'a mut Vec<Demand>, pool: &str) -> &'a mut Demand {
    let index = match demands.binary_search_by(|demand| demand.pool.as_str().cmp(pool)) {
        Ok(index) => index,
        Err(index) => {
            let new = Demand {
                pool: pool.to_string(),
                ..Demand::default()
            };
            demands.insert(index, new);
            index
        }
    };
    &mut demands[index]
}
