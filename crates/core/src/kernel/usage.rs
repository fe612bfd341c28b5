//! Usage service of the kernel.
//!
//! It counts the usage of this process, exchanges copies of it with peers, and
//! collects and reports the usage of all zones while this process holds the
//! reporting duty.

use std::time::Duration;

use super::pending::Pending;
use super::{Action, Event, Membership, Outbox, Reply, Status, USAGE};
use crate::config::Settings;
use crate::id::{CallId, Incarnation};
use crate::lease::Lease;
use crate::peer::{Collect, Collected, Heartbeat};
use crate::store::{Answer, Token};
use crate::time::Moment;
use crate::usage::Meter;
use crate::usage::gather::Collection;
use crate::usage::report::{Effect, Reporter};

/// Time that the first delegate of a zone has to answer before the second one
/// is asked.
const SECOND_DELEGATE_DELAY: Duration = Duration::from_millis(1_800);

/// Meter of this process, lease of the reporting duty, and reporter.
#[derive(Debug)]
pub struct Service {
    meter: Meter,
    lease: Lease,
    reporter: Reporter,
    membership: Membership,
    window_length: Duration,
    grace: Duration,
    pending_lease: Pending,
    pending_report: Pending,
    collections: Vec<Collection>,
    zone: String,
    answered_zones: Vec<String>,
    second_round: Option<(Moment, Collect)>,
}

impl Service {
    /// Creates the service with nothing counted and without the duty.
    pub fn new(incarnation: Incarnation, zone: &str, now: Moment) -> Self {
        let settings = Settings::default();
        Self {
            meter: Meter::new(incarnation, now, settings.usage_window),
            lease: Lease::new(incarnation, USAGE),
            reporter: Reporter::default(),
            membership: Membership::default(),
            window_length: settings.usage_window,
            grace: settings.usage_grace,
            pending_lease: Pending::default(),
            pending_report: Pending::default(),
            collections: Vec::new(),
            zone: zone.to_string(),
            answered_zones: Vec::new(),
            second_round: None,
        }
    }

    /// Handles an event.
    pub fn handle(&mut self, now: Moment, event: &Event, outbox: &mut Outbox) {
        match event {
            Event::Tick => self.tick(now, outbox),
            Event::RecordUsage(record) => self.meter.record(now, record),
            Event::Heartbeat(heartbeat) => self.on_heartbeat(heartbeat),
            Event::Collect(call, request) if request.whole_zone => {
                self.start_collection(now, Some(*call), request, outbox)
            }
            Event::Collect(call, request) => {
                let answer = self.collect_own(now, request);
                outbox.reply(*call, Reply::Collected(answer));
            }
            Event::Collected(answer) => self.on_collected(answer),
            Event::StoreAnswer(token, answer) => self.on_store_answer(now, *token, answer, outbox),
            Event::ReportAnswer(accepted) => {
                let call = self.reporter.on_reported(now, *accepted);
                self.pending_report.send(USAGE, call, outbox);
            }
            Event::Membership(membership) => {
                self.membership = membership.clone();
                self.meter.retain_replicas(|replica| {
                    membership.live_peers.iter().any(|(live, _)| *live == replica)
                });
            }
            Event::View(view) => {
                self.window_length = view.document.settings.usage_window;
                self.grace = view.document.settings.usage_grace;
                self.meter.set_length(self.window_length);
            }
            Event::Stop => self.lease.release(now),
            Event::Drained => self.meter.flush(now),
            _ => {}
        }
    }

    fn tick(&mut self, now: Moment, outbox: &mut Outbox) {
        self.meter.tick(now);
        self.finish_collections(now, outbox);
        self.ask_second_delegates(now, outbox);
        let call = self.lease.tick(now, self.membership.usage_candidate);
        self.pending_lease.send(USAGE, call, outbox);
        let grant = self.lease.grant(now);
        match self.reporter.tick(now, grant, self.window_length, self.grace) {
            Some(Effect::Store(call)) => self.pending_report.send(USAGE, Some(call), outbox),
            Some(Effect::Collect(request)) => self.collect(now, request, outbox),
            Some(Effect::Report(grant, sealed)) => outbox.push_action(Action::Report(grant, sealed)),
            None => {}
        }
    }

    /// Requests usage from the first delegate of each zone, and collects that
    /// of the own zone as a delegate would. The second delegate is asked after
    /// [`SECOND_DELEGATE_DELAY`], because the first may be suspended or gone.
    fn collect(&mut self, now: Moment, request: Collect, outbox: &mut Outbox) {
        let first_delegates = self
            .membership
            .delegates
            .iter()
            .filter_map(|(_, addresses)| addresses.first());
        for address in first_delegates {
            outbox.push_action(Action::Collect(address.clone(), request.clone()));
        }
        self.answered_zones.clear();
        self.start_collection(now, None, &request, outbox);
        self.second_round = Some((now + SECOND_DELEGATE_DELAY, request));
    }

    fn ask_second_delegates(&mut self, now: Moment, outbox: &mut Outbox) {
        let Some((_, request)) = self.second_round.take_if(|(due, _)| now.reached(*due)) else {
            return;
        };
        let unanswered = self
            .membership
            .delegates
            .iter()
            .filter(|(zone, _)| !self.answered_zones.contains(zone));
        for address in unanswered.filter_map(|(_, addresses)| addresses.get(1)) {
            outbox.push_action(Action::Collect(address.clone(), request.clone()));
        }
    }

    fn start_collection(
        &mut self,
        now: Moment,
        call: Option<CallId>,
        request: &Collect,
        outbox: &mut Outbox,
    ) {
        let request = Collect {
            whole_zone: false,
            ..request.clone()
        };
        let own = self.collect_own(now, &request);
        self.collections.push(Collection::new(now, call, own));
        for address in &self.membership.zone_peers {
            outbox.push_action(Action::Collect(address.clone(), request.clone()));
        }
    }

    fn collect_own(&mut self, now: Moment, request: &Collect) -> Collected {
        let live = &self.membership.live_peers;
        self.meter.collect(now, request, |source| {
            live.iter().any(|(peer, _)| *peer == source)
        })
    }

    fn on_collected(&mut self, answer: &Collected) {
        match &answer.zone_usage {
            Some(zone_usage) => {
                self.answered_zones.push(zone_usage.zone.clone());
                self.reporter.on_collected(zone_usage);
            }
            // The answer names the chunks that it covers, so it can be added
            // to every open collection, whichever one it was sent for.
            None => self
                .collections
                .iter_mut()
                .for_each(|collection| collection.add_answer(answer.clone())),
        }
    }

    fn finish_collections(&mut self, now: Moment, outbox: &mut Outbox) {
        while self
            .collections
            .first()
            .is_some_and(|collection| collection.is_due(now))
        {
            let collection = self.collections.remove(0);
            let call = collection.call;
            let zone_usage = collection.into_zone_usage(&self.zone);
            match call {
                None => self.reporter.on_collected(&zone_usage),
                Some(call) => {
                    let answer = Collected {
                        sources: Vec::new(),
                        zone_usage: Some(zone_usage),
                    };
                    outbox.reply(call, Reply::Collected(answer));
                }
            }
        }
    }

    fn on_store_answer(&mut self, now: Moment, token: Token, answer: &Answer, outbox: &mut Outbox) {
        if self.pending_lease.accept(token) {
            let call = self.lease.on_answer(now, answer);
            self.pending_lease.send(USAGE, call, outbox);
        } else if self.pending_report.accept(token) {
            let call = self.reporter.on_answer(now, answer);
            self.pending_report.send(USAGE, call, outbox);
        }
    }

    fn on_heartbeat(&mut self, heartbeat: &Heartbeat) {
        for chunk in &heartbeat.usage_chunks {
            self.meter.insert(chunk.clone());
        }
        if heartbeat.acked_chunk > 0 {
            self.meter
                .acknowledge(Incarnation(heartbeat.sender.incarnation), heartbeat.acked_chunk);
        }
    }

    /// Acknowledges the receiver's chunks that are stored here, and adds the
    /// chunks that the receiver is to store.
    pub fn fill_heartbeat(&mut self, _now: Moment, address: &str, heartbeat: &mut Heartbeat) {
        let Some((peer, _)) = self
            .membership
            .live_peers
            .iter()
            .find(|(_, known)| known == address)
        else {
            return;
        };
        heartbeat.acked_chunk = self.meter.contiguous_until(*peer);
        if self.membership.usage_replicas.contains(peer) {
            heartbeat.usage_chunks = self.meter.unacknowledged(*peer);
        }
    }

    /// Adds the chunk count, and the duty if it is held, to the status.
    pub fn add_status(&self, now: Moment, status: &mut Status) {
        status.chunks = self.meter.chunk_count();
        if let Some(grant) = self.lease.grant(now) {
            status.duties.push((USAGE.into(), grant.fence));
        }
    }
}
