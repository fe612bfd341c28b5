//! Membership by heartbeats.
//!
//! All hosts of a zone exchange heartbeats with each other. Between zones only
//! a few delegates of each zone do; they are chosen by rendezvous hashing over
//! the live members. Member records are sent only when the digests of two
//! hosts differ. A suspected failure changes routing only: everything on which
//! hosts must agree goes through the store.

use std::time::Duration;

use crate::id::{self, Incarnation};
use crate::peer::{Demand, Heartbeat, Member, ZoneSummary};
use crate::time::Moment;

/// Interval between two rounds of heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a heartbeat after which a zone peer counts as gone.
pub const FAILURE_TIMEOUT: Duration = Duration::from_secs(6);
/// Time for which the record of a gone member is kept.
pub const GONE_RETENTION: Duration = Duration::from_secs(600);
/// Interval between two summaries of a zone from its delegates.
pub const SUMMARY_INTERVAL: Duration = Duration::from_secs(3);
/// Hosts of a zone that exchange heartbeats with other zones.
pub const DELEGATES_PER_ZONE: usize = 2;
/// Age of a change up to which a member record is sent at the first mismatch
/// of digests.
const RECENT_CHANGE: Duration = Duration::from_secs(15);
/// Heartbeats with a mismatch of digests after which all records are sent.
const MAX_MISMATCHES: u32 = 3;

plain! {
    /// Identity of a process.
    pub struct Identity {
        /// Incarnation.
        pub incarnation: Incarnation,
        /// Host name.
        pub host: String,
        /// Availability zone.
        pub zone: String,
        /// Address at which peers reach the process.
        pub address: String,
    }
}

plain! {
    /// Another process, as this one sees it.
    pub struct Peer {
        /// Its member record.
        pub member: Member,
        /// Configuration version in force there, by its last heartbeat.
        pub config_version: u64,
        /// Time of its last heartbeat to this process.
        pub last_heartbeat: Option<Moment>,
        changed: Moment,
        digest: u64,
        digest_mismatches: u32,
    }
}

/// The members as this process sees them.
#[derive(Debug)]
pub struct Members {
    local: Member,
    seeds: Vec<String>,
    peers: Vec<Peer>,
    summaries: Vec<ZoneSummary>,
    next_heartbeats: Moment,
    digest: u64,
    config_version: u64,
    demands: Vec<Demand>,
    unaware_addresses: Vec<String>,
    next_summary_at: Moment,
    is_summary_round: bool,
}

impl Members {
    /// Creates a list of this process alone, with addresses to contact first.
    pub fn new(identity: &Identity, seeds: Vec<String>) -> Self {
        let member = Member {
            incarnation: identity.incarnation.0,
            host: identity.host.clone(),
            zone: identity.zone.clone(),
            address: identity.address.clone(),
            epoch: 1,
            gone: false,
        };
        let mut members = Self {
            local: member,
            seeds,
            peers: Vec::new(),
            summaries: Vec::new(),
            next_heartbeats: Moment::default(),
            digest: 0,
            config_version: 0,
            demands: Vec::new(),
            unaware_addresses: Vec::new(),
            next_summary_at: Moment::default(),
            is_summary_round: false,
        };
        members.digest = members.compute_digest();
        members
    }

    /// Addresses for the next round of heartbeats; empty if it is not yet due.
    pub fn heartbeat_targets(&mut self, now: Moment) -> Vec<String> {
        if !now.reached(self.next_heartbeats) {
            return Vec::new();
        }
        self.next_heartbeats = now + HEARTBEAT_INTERVAL;
        self.expire_peers(now);
        self.is_summary_round = self.is_delegate() && now.reached(self.next_summary_at);
        if self.is_summary_round {
            self.next_summary_at = now + SUMMARY_INTERVAL;
            self.update_own_summary(now);
        }
        let mut addresses: Vec<String> = self
            .zone_peers()
            .chain(self.remote_delegates())
            .map(|peer| peer.member.address.clone())
            .collect();
        addresses.append(&mut self.unaware_addresses);
        addresses.extend(
            self.seeds
                .iter()
                .filter(|seed| self.is_unknown_address(seed))
                .cloned(),
        );
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Adds the membership fields to a heartbeat to an address.
    pub fn fill_heartbeat(&mut self, now: Moment, address: &str, heartbeat: &mut Heartbeat) {
        heartbeat.sender = self.local.clone();
        heartbeat.member_digest = self.digest;
        let Some(index) = self
            .peers
            .iter()
            .position(|peer| peer.member.address == address && !peer.member.gone)
        else {
            heartbeat.members = self.member_updates(now, true);
            return;
        };
        let digests_match = self.peers[index].digest == self.digest;
        self.peers[index].digest_mismatches = if digests_match {
            0
        } else {
            self.peers[index].digest_mismatches + 1
        };
        if digests_match {
            // A receiver with the same records has this one, too.
            heartbeat.sender = Member {
                incarnation: self.local.incarnation,
                epoch: self.local.epoch,
                ..Member::default()
            };
        } else {
            let all = self.peers[index].digest_mismatches > MAX_MISMATCHES;
            heartbeat.members = self.member_updates(now, all);
        }
        if self.is_summary_round {
            heartbeat.summaries = self.summaries_for(&self.peers[index]);
        }
    }

    /// Summaries of all zones for a zone peer; that of the own zone for a
    /// delegate of another one. Only the latter includes the demand, which the
    /// holder of the ordering duty needs.
    fn summaries_for(&self, peer: &Peer) -> Vec<ZoneSummary> {
        if peer.member.zone != self.local.zone {
            let own = self
                .summaries
                .iter()
                .filter(|summary| summary.zone == self.local.zone);
            return own.cloned().collect();
        }
        let without_demands = |summary: &ZoneSummary| ZoneSummary {
            demands: Vec::new(),
            ..summary.clone()
        };
        self.summaries.iter().map(without_demands).collect()
    }

    /// Restores the texts of the sender's record that were left out; false if
    /// this host has no record of the sender.
    pub fn restore_sender(&self, heartbeat: &mut Heartbeat) -> bool {
        if !heartbeat.sender.address.is_empty() {
            return true;
        }
        let Some(index) = self.find(Incarnation(heartbeat.sender.incarnation)) else {
            return false;
        };
        let stored = &self.peers[index].member;
        heartbeat.sender = Member {
            epoch: heartbeat.sender.epoch,
            gone: heartbeat.sender.gone,
            ..stored.clone()
        };
        true
    }

    /// Updates peers and summaries from a heartbeat.
    pub fn on_heartbeat(&mut self, now: Moment, heartbeat: &Heartbeat) {
        for member in heartbeat.members.iter().chain(std::iter::once(&heartbeat.sender)) {
            self.merge(now, member);
        }
        self.replace_previous_run(now, &heartbeat.sender);
        if let Some(index) = self.find(Incarnation(heartbeat.sender.incarnation)) {
            self.schedule_unaware_peer(index);
            let peer = &mut self.peers[index];
            peer.last_heartbeat = Some(now);
            peer.config_version = heartbeat.config_version;
            peer.digest = heartbeat.member_digest;
        }
        for summary in &heartbeat.summaries {
            self.merge_summary(summary);
        }
        self.digest = self.compute_digest();
    }

    /// Sets the configuration version in force here, for the zone's summary.
    pub fn set_config_version(&mut self, version: u64) {
        self.config_version = version;
    }

    /// Sets the demand for this zone's runners, for the zone's summary.
    pub fn set_demands(&mut self, demands: Vec<Demand>) {
        self.demands = demands;
    }

    /// Hash of all member records.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Marks this process as gone and makes the next heartbeats due at once.
    pub fn announce_leave(&mut self) {
        self.local.gone = true;
        self.local.epoch += 1;
        self.next_heartbeats = Moment::default();
        self.digest = self.compute_digest();
    }

    /// Peers that are not gone.
    pub fn live_peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.iter().filter(|peer| !peer.member.gone)
    }

    /// Live peers of this zone.
    pub fn zone_peers(&self) -> impl Iterator<Item = &Peer> {
        self.live_peers()
            .filter(|peer| peer.member.zone == self.local.zone)
    }

    /// Records of all peers, including those that are gone.
    pub fn all_members(&self) -> Vec<Member> {
        self.peers.iter().map(|peer| peer.member.clone()).collect()
    }

    /// Last summary of each zone.
    pub fn summaries(&self) -> &[ZoneSummary] {
        &self.summaries
    }

    /// Rank of this process for an item among the live hosts of its zone, from
    /// 0 for the highest weight.
    pub fn zone_rank(&self, item: &str) -> usize {
        let item = id::digest(item.as_bytes());
        let own_weight = id::rendezvous_weight(item, self.local.incarnation);
        self.zone_peers()
            .filter(|peer| id::rendezvous_weight(item, peer.member.incarnation) > own_weight)
            .count()
    }

    /// Whether this process is one of the `count` highest-ranked delegates of
    /// all zones for an item. Only delegates qualify, because they receive the
    /// heartbeats of other zones directly.
    pub fn is_leading_delegate(&self, item: &str, count: usize) -> bool {
        let item = id::digest(item.as_bytes());
        let own_weight = id::rendezvous_weight(item, self.local.incarnation);
        let ranks_higher = |peer: &&Peer| id::rendezvous_weight(item, peer.member.incarnation) > own_weight;
        let is_delegate = |peer: &&Peer| self.delegate_rank(peer) < DELEGATES_PER_ZONE;
        self.is_delegate() && self.live_peers().filter(ranks_higher).filter(is_delegate).count() < count
    }

    /// The `count` zone peers with the highest weights for an item, highest
    /// first.
    pub fn zone_owners(&self, item: u64, count: usize) -> Vec<Incarnation> {
        let mut ranked: Vec<(u64, Incarnation)> = self
            .zone_peers()
            .map(|peer| {
                (
                    id::rendezvous_weight(item, peer.member.incarnation),
                    Incarnation(peer.member.incarnation),
                )
            })
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.truncate(count);
        ranked.into_iter().map(|(_, owner)| owner).collect()
    }

    /// Index of this process among all live ones, by incarnation.
    pub fn member_index(&self) -> usize {
        let is_lower = |peer: &&Peer| peer.member.incarnation < self.local.incarnation;
        self.live_peers().filter(is_lower).count()
    }

    /// The other zones, each with the addresses of its delegates by rank.
    pub fn delegates(&self) -> Vec<(String, Vec<String>)> {
        let other_zones = self
            .live_peers()
            .filter(|peer| peer.member.zone != self.local.zone);
        let mut ranked: Vec<(&str, usize, &str)> = other_zones
            .map(|peer| {
                (
                    peer.member.zone.as_str(),
                    self.delegate_rank(peer),
                    peer.member.address.as_str(),
                )
            })
            .filter(|(_, rank, _)| *rank < DELEGATES_PER_ZONE)
            .collect();
        ranked.sort_unstable();
        let zones = ranked.chunk_by(|a, b| a.0 == b.0);
        let addresses =
            |zone: &[(&str, usize, &str)]| zone.iter().map(|(.., address)| address.to_string()).collect();
        zones
            .map(|zone| (zone[0].0.to_string(), addresses(zone)))
            .collect()
    }

    fn is_delegate(&self) -> bool {
        self.zone_rank(&self.local.zone) < DELEGATES_PER_ZONE
    }

    /// Delegates of the other zones, if this process is a delegate itself.
    fn remote_delegates(&self) -> impl Iterator<Item = &Peer> {
        let is_delegate = self.is_delegate();
        self.live_peers()
            .filter(move |peer| is_delegate && peer.member.zone != self.local.zone)
            .filter(|peer| self.delegate_rank(peer) < DELEGATES_PER_ZONE)
    }

    /// Rank of a peer among the live hosts of its zone for the choice of
    /// delegates.
    fn delegate_rank(&self, peer: &Peer) -> usize {
        let item = id::digest(peer.member.zone.as_bytes());
        let weight = id::rendezvous_weight(item, peer.member.incarnation);
        let local_is_higher = peer.member.zone == self.local.zone
            && id::rendezvous_weight(item, self.local.incarnation) > weight;
        usize::from(local_is_higher)
            + self
                .live_peers()
                .filter(|other| other.member.zone == peer.member.zone)
                .filter(|other| id::rendezvous_weight(item, other.member.incarnation) > weight)
                .count()
    }

    fn merge(&mut self, now: Moment, member: &Member) {
        if member.incarnation == self.local.incarnation {
            // Peers took this process for dead, such as after a suspension.
            // A higher epoch refutes that; otherwise this host would receive
            // no more heartbeats and fall behind.
            if member.gone && !self.local.gone && member.epoch >= self.local.epoch {
                self.local.epoch = member.epoch + 1;
            }
            return;
        }
        match self
            .peers
            .binary_search_by(|peer| peer.member.incarnation.cmp(&member.incarnation))
        {
            Ok(index) => {
                let peer = &mut self.peers[index];
                let is_newer = member.epoch > peer.member.epoch;
                if is_newer || (member.epoch == peer.member.epoch && member.gone && !peer.member.gone) {
                    peer.member = member.clone();
                    peer.changed = now;
                }
            }
            Err(index) => self.peers.insert(
                index,
                Peer {
                    member: member.clone(),
                    config_version: 0,
                    last_heartbeat: Some(now),
                    changed: now,
                    digest: 0,
                    digest_mismatches: 0,
                },
            ),
        }
    }

    /// Schedules a heartbeat to a peer that sends heartbeats although it is
    /// marked as gone. Such a peer was suspended or partitioned and does not
    /// have that record of itself. Without a heartbeat that includes it, the
    /// peer would never refute the record and never receive heartbeats again.
    fn schedule_unaware_peer(&mut self, index: usize) {
        let member = &self.peers[index].member;
        if member.gone && !self.unaware_addresses.contains(&member.address) {
            self.unaware_addresses.push(member.address.clone());
        }
    }

    /// Marks the earlier process at the sender's address as gone. This is done
    /// for the sender of a heartbeat only: a record that another host passed
    /// on may itself be that of the earlier process.
    fn replace_previous_run(&mut self, now: Moment, member: &Member) {
        if member.gone {
            return;
        }
        let previous = self.peers.iter_mut().filter(|peer| {
            !peer.member.gone
                && peer.member.address == member.address
                && peer.member.incarnation != member.incarnation
        });
        for peer in previous {
            peer.member.gone = true;
            peer.changed = now;
        }
    }

    fn expire_peers(&mut self, now: Moment) {
        let zone = self.local.zone.clone();
        for peer in self.peers.iter_mut().filter(|peer| !peer.member.gone) {
            let is_silent = peer
                .last_heartbeat
                .is_none_or(|received| now.since(received) >= FAILURE_TIMEOUT);
            if is_silent && peer.member.zone == zone {
                peer.member.gone = true;
                peer.changed = now;
            }
        }
        self.peers
            .retain(|peer| !(peer.member.gone && now.since(peer.changed) >= GONE_RETENTION));
        self.digest = self.compute_digest();
    }

    fn update_own_summary(&mut self, now: Moment) {
        let lowest = self
            .zone_peers()
            .map(|peer| peer.config_version)
            .min()
            .unwrap_or(self.config_version);
        let summary = ZoneSummary {
            zone: self.local.zone.clone(),
            config_version: lowest.min(self.config_version),
            hosts: self.zone_peers().count() as u32 + u32::from(!self.local.gone),
            timestamp_ms: now.wall_ms,
            demands: self.demands.clone(),
        };
        self.merge_summary(&summary);
    }

    fn merge_summary(&mut self, summary: &ZoneSummary) {
        match self
            .summaries
            .binary_search_by(|stored| stored.zone.cmp(&summary.zone))
        {
            Ok(index) if self.summaries[index].timestamp_ms < summary.timestamp_ms => {
                self.summaries[index] = summary.clone()
            }
            Ok(_) => {}
            Err(index) => self.summaries.insert(index, summary.clone()),
        }
    }

    fn member_updates(&self, now: Moment, all: bool) -> Vec<Member> {
        self.peers
            .iter()
            .filter(|peer| all || now.since(peer.changed) < RECENT_CHANGE)
            .map(|peer| peer.member.clone())
            .collect()
    }

    fn is_unknown_address(&self, seed: &str) -> bool {
        seed != self.local.address && !self.live_peers().any(|peer| peer.member.address == seed)
    }

    fn find(&self, incarnation: Incarnation) -> Option<usize> {
        self.peers
            .binary_search_by(|peer| peer.member.incarnation.cmp(&incarnation.0))
            .ok()
    }

    fn compute_digest(&self) -> u64 {
        let member_hash = |member: &Member| {
            id::rendezvous_weight(member.incarnation, member.epoch * 2 + u64::from(member.gone))
        };
        self.peers
            .iter()
            .map(|peer| member_hash(&peer.member))
            .fold(member_hash(&self.local), |sum, hash| sum.wrapping_add(hash))
    }
}
