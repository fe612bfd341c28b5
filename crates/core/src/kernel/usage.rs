//! Usage as a service of the kernel.

use std::time::Duration;

use super::pending::Pending;
use super::{Action, Event, Outbox, Reply, Standing, Status, USAGE};
use crate::config::Settings;
use crate::id::{CallId, Incarnation};
use crate::lease::Lease;
use crate::peer::{Collect, Collected, Heartbeat};
use crate::store::{Answer, Token};
use crate::time::Moment;
use crate::usage::Meter;
use crate::usage::gather::Gather;
use crate::usage::report::{Reporter, Step};

/// Wait for the first delegates before the second ones are asked.
const SECOND: Duration = Duration::from_millis(1_800);

/// Meter, lease and reporter.
#[derive(Debug)]
pub struct Service {
    meter: Meter,
    lease: Lease,
    reporter: Reporter,
    membership: Standing,
    length: Duration,
    grace: Duration,
    lease_request: Pending,
    report_request: Pending,
    gathers: Vec<Gather>,
    zone: String,
    answered: Vec<String>,
    second: Option<(Moment, Collect)>,
}

impl Service {
    /// Nothing counted, not in charge.
    pub fn new(me: Incarnation, zone: &str, now: Moment) -> Self {
        let settings = Settings::default();
        Self {
            meter: Meter::new(me, now, settings.usage_window),
            lease: Lease::new(me, USAGE),
            reporter: Reporter::default(),
            membership: Standing::default(),
            length: settings.usage_window,
            grace: settings.usage_grace,
            lease_request: Pending::default(),
            report_request: Pending::default(),
            gathers: Vec::new(),
            zone: zone.to_string(),
            answered: Vec::new(),
            second: None,
        }
    }

    /// Takes an event in.
    pub fn handle(&mut self, now: Moment, event: &Event, outbox: &mut Outbox) {
        match event {
            Event::Tick => self.tick(now, outbox),
            Event::RecordUsage(item) => self.meter.count(now, item),
            Event::Heartbeat(heartbeat) => self.hear(heartbeat),
            Event::Collect(call, ask) if ask.zone => self.gather(now, Some(*call), ask, outbox),
            Event::Collect(call, ask) => {
                let answer = self.sum_up(now, ask);
                outbox.reply(*call, Reply::Collected(answer));
            }
            Event::Collected(answer) => self.collected(answer),
            Event::StoreAnswer(token, answer) => self.stored(now, *token, answer, outbox),
            Event::ReportAnswer(accepted) => {
                let call = self.reporter.reported(now, *accepted);
                self.report_request.send(USAGE, call, outbox);
            }
            Event::Membership(membership) => {
                self.membership = membership.clone();
                self.meter
                    .retain_keepers(|keeper| membership.live_peers.iter().any(|(live, _)| *live == keeper));
            }
            Event::View(view) => {
                self.length = view.document.settings.usage_window;
                self.grace = view.document.settings.usage_grace;
                self.meter.set_length(self.length);
            }
            Event::Stop => self.lease.release(now),
            Event::Drained => self.meter.flush(now),
            _ => {}
        }
    }

    fn tick(&mut self, now: Moment, outbox: &mut Outbox) {
        self.meter.tick(now);
        self.finish_gathers(now, outbox);
        self.ask_seconds(now, outbox);
        let call = self.lease.tick(now, self.membership.usage_candidate);
        self.lease_request.send(USAGE, call, outbox);
        let grant = self.lease.grant(now);
        match self.reporter.tick(now, grant, self.length, self.grace) {
            Some(Step::Store(call)) => self.report_request.send(USAGE, Some(call), outbox),
            Some(Step::Collect(ask)) => self.collect(now, ask, outbox),
            Some(Step::Report(grant, seal)) => outbox.push_action(Action::Report(grant, seal)),
            None => {}
        }
    }

    /// Asks one delegate a zone; the second one later, as the first may be
    /// frozen or gone, and answers for the own zone as its delegates do.
    fn collect(&mut self, now: Moment, ask: Collect, outbox: &mut Outbox) {
        let firsts = self
            .membership
            .delegates
            .iter()
            .filter_map(|(_, addresses)| addresses.first());
        for address in firsts {
            outbox.push_action(Action::Collect(address.clone(), ask.clone()));
        }
        self.answered.clear();
        self.gather(now, None, &ask, outbox);
        self.second = Some((now + SECOND, ask));
    }

    fn ask_seconds(&mut self, now: Moment, outbox: &mut Outbox) {
        let Some((_, ask)) = self.second.take_if(|(due, _)| now.reached(*due)) else {
            return;
        };
        let silent = self
            .membership
            .delegates
            .iter()
            .filter(|(zone, _)| !self.answered.contains(zone));
        for address in silent.filter_map(|(_, addresses)| addresses.get(1)) {
            outbox.push_action(Action::Collect(address.clone(), ask.clone()));
        }
    }

    fn gather(&mut self, now: Moment, call: Option<CallId>, ask: &Collect, outbox: &mut Outbox) {
        let ask = Collect {
            zone: false,
            ..ask.clone()
        };
        let own = self.sum_up(now, &ask);
        self.gathers.push(Gather::new(now, call, own));
        for address in &self.membership.zone_peers {
            outbox.push_action(Action::Collect(address.clone(), ask.clone()));
        }
    }

    fn sum_up(&mut self, now: Moment, ask: &Collect) -> Collected {
        let live = &self.membership.live_peers;
        self.meter
            .collect(now, ask, |source| live.iter().any(|(have, _)| *have == source))
    }

    fn collected(&mut self, answer: &Collected) {
        match &answer.zone_usage {
            Some(bundle) => {
                self.answered.push(bundle.zone.clone());
                self.reporter.collected(bundle);
            }
            // Whichever collection a mate answers, a sum says what is in it.
            None => self
                .gathers
                .iter_mut()
                .for_each(|gather| gather.add(answer.clone())),
        }
    }

    fn finish_gathers(&mut self, now: Moment, outbox: &mut Outbox) {
        while self.gathers.first().is_some_and(|gather| gather.is_over(now)) {
            let gather = self.gathers.remove(0);
            let call = gather.call;
            let bundle = gather.bundle(&self.zone);
            match call {
                None => self.reporter.collected(&bundle),
                Some(call) => {
                    let answer = Collected {
                        sources: Vec::new(),
                        zone_usage: Some(bundle),
                    };
                    outbox.reply(call, Reply::Collected(answer));
                }
            }
        }
    }

    fn stored(&mut self, now: Moment, token: Token, answer: &Answer, outbox: &mut Outbox) {
        if self.lease_request.accept(token) {
            let call = self.lease.on_answer(now, answer);
            self.lease_request.send(USAGE, call, outbox);
        } else if self.report_request.accept(token) {
            let call = self.reporter.answer(now, answer);
            self.report_request.send(USAGE, call, outbox);
        }
    }

    fn hear(&mut self, heartbeat: &Heartbeat) {
        for chunk in &heartbeat.usage_chunks {
            self.meter.keep(chunk.clone());
        }
        if heartbeat.acked_chunk > 0 {
            self.meter
                .confirm(Incarnation(heartbeat.sender.incarnation), heartbeat.acked_chunk);
        }
    }

    /// Adds to a heartbeat.
    pub fn fill_heartbeat(&mut self, _now: Moment, address: &str, heartbeat: &mut Heartbeat) {
        let Some((peer, _)) = self
            .membership
            .live_peers
            .iter()
            .find(|(_, have)| have == address)
        else {
            return;
        };
        heartbeat.acked_chunk = self.meter.kept(*peer);
        if self.membership.usage_replicas.contains(peer) {
            heartbeat.usage_chunks = self.meter.offer(*peer);
        }
    }

    /// Adds to the status.
    pub fn add_status(&self, now: Moment, status: &mut Status) {
        status.chunks = self.meter.size();
        if let Some(grant) = self.lease.grant(now) {
            status.duties.push((USAGE.into(), grant.fence));
        }
    }
}
