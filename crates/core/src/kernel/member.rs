//! Membership as a service of the kernel.

use super::{Action, CALLS, CONFIG, DISPATCH, Event, ORDERS, Outbox, Standing, Status, USAGE, ZoneStatus};
use crate::config::service::WATCHERS;
use crate::id::Incarnation;
use crate::member::{Identity, Members};
use crate::peer::Heartbeat;
use crate::time::Moment;
use crate::usage::KEEPERS;

/// Hosts that seek each duty.
const CANDIDATES: usize = 3;

/// Members, and what they mean for the other services.
#[derive(Debug)]
pub struct Service {
    members: Members,
    me: Incarnation,
    digest: u64,
}

impl Service {
    /// Knows itself and some addresses.
    pub fn new(me: &Identity, seeds: Vec<String>) -> Self {
        Self {
            members: Members::new(me, seeds),
            me: me.incarnation,
            digest: 0,
        }
    }

    /// Takes an event in.
    pub fn handle(&mut self, now: Moment, event: &Event, outbox: &mut Outbox) {
        match event {
            Event::Tick => self.heartbeat(now, outbox),
            Event::Heartbeat(heartbeat) => self.members.on_heartbeat(now, heartbeat),
            Event::View(view) => self.members.set_config_version(view.version),
            Event::ZoneSummaries(own) => {
                if let Some(summary) = own.first() {
                    self.members.set_demands(summary.demands.clone());
                }
            }
            Event::Drained => self.members.announce_leave(),
            _ => {}
        }
        self.publish(outbox);
    }

    fn heartbeat(&mut self, now: Moment, outbox: &mut Outbox) {
        let due = self.members.heartbeat_targets(now);
        if due.is_empty() {
            return;
        }
        for address in due {
            outbox.push_action(Action::Heartbeat(address, Box::default()));
        }
        let round = Event::HeartbeatRound {
            zone_peers: self.members.zone_peers().count(),
            all_peers: self.members.live_peers().count(),
            own_index: self.members.member_index(),
        };
        outbox.post(DISPATCH, round);
        outbox.post(ORDERS, Event::ZoneSummaries(self.members.summaries().to_vec()));
    }

    fn publish(&mut self, outbox: &mut Outbox) {
        if self.digest == self.members.digest() {
            return;
        }
        self.digest = self.members.digest();
        let membership = Standing {
            watches_store: self.members.zone_rank(CONFIG) < WATCHERS,
            orders_candidate: self.members.is_leading_delegate(ORDERS, CANDIDATES),
            usage_candidate: self.members.is_leading_delegate(USAGE, CANDIDATES),
            usage_replicas: self.members.zone_owners(self.me.0, KEEPERS),
            zone_peers: self
                .members
                .zone_peers()
                .map(|peer| peer.member.address.clone())
                .collect(),
            delegates: self.members.delegates(),
            live_peers: self
                .members
                .live_peers()
                .map(|peer| (Incarnation(peer.member.incarnation), peer.member.address.clone()))
                .collect(),
        };
        for name in [CALLS, CONFIG, ORDERS, USAGE] {
            outbox.post(name, Event::Membership(membership.clone()));
        }
        outbox.push_action(Action::Members(self.members.all_members()));
    }

    /// Fills in what a heartbeat left out.
    pub fn restore_sender(&self, heartbeat: &mut Heartbeat) -> bool {
        self.members.restore_sender(heartbeat)
    }

    /// Adds to a heartbeat.
    pub fn fill_heartbeat(&mut self, now: Moment, address: &str, heartbeat: &mut Heartbeat) {
        self.members.fill_heartbeat(now, address, heartbeat);
    }

    /// Adds to the status.
    pub fn add_status(&self, now: Moment, status: &mut Status) {
        status.hosts = self.members.live_peers().count() + 1;
        status.zones = self
            .members
            .summaries()
            .iter()
            .map(|summary| ZoneStatus {
                zone: summary.zone.clone(),
                version: summary.version,
                hosts: summary.hosts,
                age_ms: now.wall_ms.saturating_sub(summary.timestamp_ms),
            })
            .collect();
    }
}
