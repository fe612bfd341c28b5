//! What a host tells the others of its load and caches, and what it learns from them.

use super::State;
use super::fleet::Key;
use super::gossip::update::{Leaving, Update};
use super::gossip::{self, CachedPrefix, HoldOff, Packet, PrefillRate, RateLimit};
use super::reach::short_hash;
use crate::id::{Incarnation, digest};
use crate::time::Moment;

/// Maximum number of prefixes in one packet.
const MAX_ANNOUNCED: usize = 256;

impl State {
    /// Queues a prefix for the next packet to the other hosts.
    pub(super) fn announce(&mut self, prefix: u64, key: Key) {
        let Some(runner) = self.fleet.get(key).map(|runner| runner.hash) else {
            return;
        };
        let cached = CachedPrefix { prefix, runner };
        if self.announcements.len() < MAX_ANNOUNCED && !self.announcements.contains(&cached) {
            self.announcements.push(cached);
            self.announced.add(&[cached]);
        }
    }

    /// Next packet to the other hosts.
    pub fn packet(&mut self, now: Moment, me: Incarnation, sequence: u64) -> Packet {
        // The packet includes all changes.
        self.fleet.take_changed().for_each(drop);
        let reach = self.reach.report(now);
        Packet {
            reached: reach.reached,
            lost: reach.lost,
            brittle: self.fleet.brittle_services(now).map(short_hash).collect(),
            limits: self.rate_limits(now),
            hold_offs: self.hold_offs(now),
            prefixes: std::mem::take(&mut self.announcements),
            ..gossip::packet(me, sequence, &self.fleet, self.meter.rates(now))
        }
    }

    fn rate_limits(&self, now: Moment) -> Vec<RateLimit> {
        let reports = self.fleet.rate_reports(now).into_iter();
        reports.map(RateLimit::from).collect()
    }

    fn hold_offs(&self, now: Moment) -> Vec<HoldOff> {
        let reports = self.fleet.hold_off_reports(now).into_iter();
        reports.map(HoldOff::from).collect()
    }

    fn apply_hold_offs(&mut self, now: Moment, hold_offs: &[HoldOff]) {
        for hold_off in hold_offs {
            self.fleet.apply_hold_off_report(now, (*hold_off).into());
        }
    }

    /// Summary of this zone's load for the other zones.
    pub fn summary(&mut self, now: Moment, sequence: u64) -> Packet {
        let zone = self.fleet.zone.clone();
        let mut summary = Packet {
            incarnation: digest(zone.as_bytes()),
            sequence,
            summary: true,
            zone,
            prefixes: self.announced.take(),
            limits: self.rate_limits(now),
            ..Packet::default()
        };
        let own = gossip::packet(Incarnation(0), 0, &self.fleet, self.meter.rates(now));
        self.peers.add_to(now, &mut summary);
        gossip::summary::add(&mut summary, &own);
        gossip::summary::limit(&mut summary);
        summary
    }

    /// Changes of this host's load since the last packet or update; `None` without changes.
    pub fn update(&mut self, now: Moment, me: Incarnation, report: u64, number: u32) -> Option<Update> {
        let loads: Vec<gossip::Load> = self.fleet.take_changed().map(gossip::Load::of).collect();
        let reach = &self.reach;
        let unreachable = self
            .fleet
            .take_unreachable_if(|service, failed_at| reach.is_heard_since(service, failed_at));
        let rejected = self.fleet.take_rejections();
        let hold_offs = match self.fleet.take_hold_off_news() {
            true => self.hold_offs(now),
            false => Vec::new(),
        };
        let leaving = self.fleet.take_leaving().into_iter().map(Leaving::from);
        let update = Update {
            incarnation: me.0,
            report,
            number,
            loads,
            unreachable,
            rejected,
            leaving: leaving.collect(),
            hold_offs,
        };
        let has_news = !update.loads.is_empty() || update.concerns_all_zones();
        has_news.then_some(update)
    }

    /// Applies a change of another host's load, and what it could not reach.
    pub fn receive_update(&mut self, now: Moment, update: Update) {
        for runner in &update.unreachable {
            if let Some(key) = self.fleet.find_by_hash(*runner) {
                self.fleet
                    .record_report(now, key, Incarnation(update.incarnation));
            }
        }
        for runner in &update.rejected {
            if let Some(key) = self.fleet.find_by_hash(*runner) {
                self.fleet.record_rejection_report(now, key);
            }
        }
        self.apply_hold_offs(now, &update.hold_offs);
        for leaving in &update.leaving {
            self.fleet.apply_leaving_report((*leaving).into());
        }
        self.peers.update(now, update, &mut self.fleet);
    }

    /// Prefill work that all hosts send to a service.
    pub fn prefill_rate(&self, now: Moment, service: &str) -> PrefillRate {
        let others = self.peers.prefill_rate(service);
        let own = self.meter.rates(now);
        let own = own.iter().find(|rate| rate.service == others.service);
        own.map_or(others, |own| others.plus(own))
    }

    /// Applies a packet from another host.
    pub fn receive(&mut self, now: Moment, me: Incarnation, packet: Packet) {
        if let Ok(record) = serde_json::from_slice(&packet.record) {
            self.ledger.receive(now, record);
        }
        if packet.record_only {
            return;
        }
        for brittle in &packet.brittle {
            self.fleet
                .record_brittle_report(now, |service| short_hash(service) == *brittle);
        }
        let reports = packet.limits.iter().map(|limit| (*limit).into());
        self.fleet.apply_rate_reports(now, reports);
        self.apply_hold_offs(now, &packet.hold_offs);
        if packet.zone == self.fleet.zone {
            self.announced.add(&packet.prefixes);
        }
        for cached in &packet.prefixes {
            if let Some(key) = self.fleet.find_by_hash(cached.runner) {
                self.prefixes.record(now, cached.prefix, key);
            }
        }
        self.peers.receive(now, me, packet, &mut self.fleet, self.hosts);
    }
}
