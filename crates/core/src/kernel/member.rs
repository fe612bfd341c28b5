//! Membership service of the kernel.
//!
//! It sends the heartbeats and passes a new [`Membership`] to the other
//! services whenever the members change.

use super::{Action, CALLS, CONFIG, DISPATCH, Event, Membership, ORDERS, Outbox, Status, USAGE, ZoneStatus};
use crate::config::service::WATCHERS_PER_ZONE;
use crate::id::Incarnation;
use crate::member::{Identity, Members};
use crate::peer::Heartbeat;
use crate::time::Moment;
use crate::usage::CHUNK_REPLICAS;

/// Hosts that may apply for a duty.
const CANDIDATES_PER_DUTY: usize = 3;

/// Members of the deployment.
#[derive(Debug)]
pub struct Service {
    members: Members,
    incarnation: Incarnation,
    published_digest: u64,
}

impl Service {
    /// Creates the service, with the addresses of peers to contact first.
    pub fn new(identity: &Identity, seeds: Vec<String>) -> Self {
        Self {
            members: Members::new(identity, seeds),
            incarnation: identity.incarnation,
            published_digest: 0,
        }
    }

    /// Handles an event.
    pub fn handle(&mut self, now: Moment, event: &Event, outbox: &mut Outbox) {
        match event {
            Event::Tick => self.send_heartbeats(now, outbox),
            Event::Heartbeat(heartbeat) => self.members.on_heartbeat(now, heartbeat),
            Event::View(view) => self.members.set_config_version(view.version),
            Event::ZoneSummaries(summaries) => {
                if let Some(summary) = summaries.first() {
                    self.members.set_demands(summary.demands.clone());
                }
            }
            Event::Drained => self.members.announce_leave(),
            _ => {}
        }
        self.publish(outbox);
    }

    fn send_heartbeats(&mut self, now: Moment, outbox: &mut Outbox) {
        let addresses = self.members.heartbeat_targets(now);
        if addresses.is_empty() {
            return;
        }
        for address in addresses {
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
        if self.published_digest == self.members.digest() {
            return;
        }
        self.published_digest = self.members.digest();
        let membership = Membership {
            watches_store: self.members.zone_rank(CONFIG) < WATCHERS_PER_ZONE,
            orders_candidate: self.members.is_leading_delegate(ORDERS, CANDIDATES_PER_DUTY),
            usage_candidate: self.members.is_leading_delegate(USAGE, CANDIDATES_PER_DUTY),
            usage_replicas: self.members.zone_owners(self.incarnation.0, CHUNK_REPLICAS),
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

    /// Restores the texts that a heartbeat left out; false if its sender is
    /// unknown.
    pub fn restore_sender(&self, heartbeat: &mut Heartbeat) -> bool {
        self.members.restore_sender(heartbeat)
    }

    /// Adds the membership fields to a heartbeat.
    pub fn fill_heartbeat(&mut self, now: Moment, address: &str, heartbeat: &mut Heartbeat) {
        self.members.fill_heartbeat(now, address, heartbeat);
    }

    /// Adds hosts and zones to the status.
    pub fn add_status(&self, now: Moment, status: &mut Status) {
        status.hosts = self.members.live_peers().count() + 1;
        status.zones = self
            .members
            .summaries()
            .iter()
            .map(|summary| ZoneStatus {
                zone: summary.zone.clone(),
                version: summary.config_version,
                hosts: summary.hosts,
                age_ms: now.wall_ms.saturating_sub(summary.timestamp_ms),
            })
            .collect();
    }
}
