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
use crate::usage::gather::Collection;
use crate::usage::report::{Effect, Reporter};

/// Wait for the first delegates before the second ones are asked.
const SECOND: Duration = Duration::from_millis(1_800);

/// Meter, lease and reporter.
#[derive(Debug)]
pub struct Service {
    meter: Meter,
    lease: Lease,
    reporter: Reporter,
    standing: Standing,
    length: Duration,
    grace: Duration,
    lease_request: Pending,
    report_request: Pending,
    gathers: Vec<Collection>,
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
            standing: Standing::default(),
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
    pub fn handle(&mut self, now: Moment, event: &Event, out: &mut Outbox) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::RecordUsage(item) => self.meter.record(now, item),
            Event::Heartbeat(beat) => self.hear(beat),
            Event::Collect(call, ask) if ask.zone => self.gather(now, Some(*call), ask, out),
            Event::Collect(call, ask) => {
                let answer = self.sum_up(now, ask);
                out.reply(*call, Reply::Collected(answer));
            }
            Event::Collected(answer) => self.collected(answer),
            Event::StoreAnswer(token, answer) => self.stored(now, *token, answer, out),
            Event::ReportAnswer(accepted) => {
                let call = self.reporter.on_reported(now, *accepted);
                self.report_request.send(USAGE, call, out);
            }
            Event::Membership(standing) => {
                self.standing = standing.clone();
                self.meter
                    .retain_replicas(|keeper| standing.live_peers.iter().any(|(live, _)| *live == keeper));
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

    fn tick(&mut self, now: Moment, out: &mut Outbox) {
        self.meter.tick(now);
        self.finish_gathers(now, out);
        self.ask_seconds(now, out);
        let call = self.lease.tick(now, self.standing.usage_candidate);
        self.lease_request.send(USAGE, call, out);
        let grant = self.lease.grant(now);
        match self.reporter.tick(now, grant, self.length, self.grace) {
            Some(Effect::Store(call)) => self.report_request.send(USAGE, Some(call), out),
            Some(Effect::Collect(ask)) => self.collect(now, ask, out),
            Some(Effect::Report(grant, seal)) => out.push_action(Action::Report(grant, seal)),
            None => {}
        }
    }

    /// Asks one delegate a zone; the second one later, as the first may be
    /// frozen or gone, and answers for the own zone as its delegates do.
    fn collect(&mut self, now: Moment, ask: Collect, out: &mut Outbox) {
        let firsts = self
            .standing
            .delegates
            .iter()
            .filter_map(|(_, addresses)| addresses.first());
        for address in firsts {
            out.push_action(Action::Collect(address.clone(), ask.clone()));
        }
        self.answered.clear();
        self.gather(now, None, &ask, out);
        self.second = Some((now + SECOND, ask));
    }

    fn ask_seconds(&mut self, now: Moment, out: &mut Outbox) {
        let Some((_, ask)) = self.second.take_if(|(due, _)| now.reached(*due)) else {
            return;
        };
        let silent = self
            .standing
            .delegates
            .iter()
            .filter(|(zone, _)| !self.answered.contains(zone));
        for address in silent.filter_map(|(_, addresses)| addresses.get(1)) {
            out.push_action(Action::Collect(address.clone(), ask.clone()));
        }
    }

    fn gather(&mut self, now: Moment, call: Option<CallId>, ask: &Collect, out: &mut Outbox) {
        let ask = Collect {
            zone: false,
            ..ask.clone()
        };
        let own = self.sum_up(now, &ask);
        self.gathers.push(Collection::new(now, call, own));
        for address in &self.standing.zone_peers {
            out.push_action(Action::Collect(address.clone(), ask.clone()));
        }
    }

    fn sum_up(&mut self, now: Moment, ask: &Collect) -> Collected {
        let live = &self.standing.live_peers;
        self.meter
            .collect(now, ask, |source| live.iter().any(|(have, _)| *have == source))
    }

    fn collected(&mut self, answer: &Collected) {
        match &answer.zone_usage {
            Some(bundle) => {
                self.answered.push(bundle.zone.clone());
                self.reporter.on_collected(bundle);
            }
            // Whichever collection a mate answers, a sum says what is in it.
            None => self
                .gathers
                .iter_mut()
                .for_each(|gather| gather.add_answer(answer.clone())),
        }
    }

    fn finish_gathers(&mut self, now: Moment, out: &mut Outbox) {
        while self.gathers.first().is_some_and(|gather| gather.is_due(now)) {
            let gather = self.gathers.remove(0);
            let call = gather.call;
            let bundle = gather.into_bundle(&self.zone);
            match call {
                None => self.reporter.on_collected(&bundle),
                Some(call) => {
                    let answer = Collected {
                        sources: Vec::new(),
                        zone_usage: Some(bundle),
                    };
                    out.reply(call, Reply::Collected(answer));
                }
            }
        }
    }

    fn stored(&mut self, now: Moment, token: Token, answer: &Answer, out: &mut Outbox) {
        if self.lease_request.accept(token) {
            let call = self.lease.on_answer(now, answer);
            self.lease_request.send(USAGE, call, out);
        } else if self.report_request.accept(token) {
            let call = self.reporter.on_answer(now, answer);
            self.report_request.send(USAGE, call, out);
        }
    }

    fn hear(&mut self, beat: &Heartbeat) {
        for chunk in &beat.usage_chunks {
            self.meter.insert(chunk.clone());
        }
        if beat.acked_chunk > 0 {
            self.meter
                .acknowledge(Incarnation(beat.sender.incarnation), beat.acked_chunk);
        }
    }

    /// Adds to a heartbeat.
    pub fn compose(&mut self, _now: Moment, address: &str, beat: &mut Heartbeat) {
        let Some((peer, _)) = self.standing.live_peers.iter().find(|(_, have)| have == address) else {
            return;
        };
        beat.acked_chunk = self.meter.contiguous_until(*peer);
        if self.standing.usage_replicas.contains(peer) {
            beat.usage_chunks = self.meter.unacknowledged(*peer);
        }
    }

    /// Adds to the status.
    pub fn describe(&self, now: Moment, status: &mut Status) {
        status.chunks = self.meter.chunk_count();
        if let Some(grant) = self.lease.grant(now) {
            status.duties.push((USAGE.into(), grant.fence));
        }
    }
}
