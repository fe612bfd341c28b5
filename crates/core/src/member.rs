//! Membership: who is there, by heartbeats.
//!
//! Hosts of one zone beat to each other; between zones only a few delegates
//! do, chosen by rendezvous hashing over the live members. Cards travel only
//! when two digests differ. Suspicion changes routing, never authority: what
//! must be agreed goes through the store.

use std::time::Duration;

use crate::id::{self, Incarnation};
use crate::peer::{Demand, Heartbeat, Member, ZoneSummary};
use crate::time::Moment;

/// How often to beat.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Silence after which a zone mate counts as gone.
pub const FAILURE_TIMEOUT: Duration = Duration::from_secs(6);
/// How long a card of one that is gone is kept.
pub const GONE_RETENTION: Duration = Duration::from_secs(600);
/// How often delegates say what their zone has in force.
pub const SUMMARY_INTERVAL: Duration = Duration::from_secs(3);
/// Hosts of a zone that speak for it to other zones.
pub const DELEGATES_PER_ZONE: usize = 2;
/// Cards that changed this recently are sent first.
const RECENT: Duration = Duration::from_secs(15);
/// Beats with a differing digest after which all cards are sent.
const PATIENCE: u32 = 3;

plain! {
    /// What this process says of itself.
    pub struct Identity {
        /// Incarnation.
        pub incarnation: Incarnation,
        /// Host name.
        pub host: String,
        /// Availability zone.
        pub zone: String,
        /// Address for peers.
        pub address: String,
    }
}

plain! {
    /// One other process.
    pub struct Peer {
        /// Its card.
        pub member: Member,
        /// Configuration version that it said was in force.
        pub version: u64,
        /// When it last beat here.
        pub last_heartbeat: Option<Moment>,
        changed: Moment,
        digest: u64,
        differs: u32,
    }
}

/// The members as this process sees them.
#[derive(Debug)]
pub struct Members {
    me: Member,
    seeds: Vec<String>,
    peers: Vec<Peer>,
    summaries: Vec<ZoneSummary>,
    next: Moment,
    digest: u64,
    version: u64,
    demands: Vec<Demand>,
    unaware: Vec<String>,
    next_summaries: Moment,
    sends_summaries: bool,
}

impl Members {
    /// Knows itself and some addresses to begin with.
    pub fn new(me: &Identity, seeds: Vec<String>) -> Self {
        let card = Member {
            incarnation: me.incarnation.0,
            host: me.host.clone(),
            zone: me.zone.clone(),
            address: me.address.clone(),
            epoch: 1,
            gone: false,
        };
        let mut members = Self {
            me: card,
            seeds,
            peers: Vec::new(),
            summaries: Vec::new(),
            next: Moment::default(),
            digest: 0,
            version: 0,
            demands: Vec::new(),
            unaware: Vec::new(),
            next_summaries: Moment::default(),
            sends_summaries: false,
        };
        members.digest = members.compute_digest();
        members
    }

    /// Addresses to beat to now; empty between beats.
    pub fn heartbeat_targets(&mut self, now: Moment) -> Vec<String> {
        if !now.reached(self.next) {
            return Vec::new();
        }
        self.next = now + HEARTBEAT_INTERVAL;
        self.expire(now);
        self.sends_summaries = self.is_delegate() && now.reached(self.next_summaries);
        if self.sends_summaries {
            self.next_summaries = now + SUMMARY_INTERVAL;
            self.summarize(now);
        }
        let mut addresses: Vec<String> = self
            .zone_peers()
            .chain(self.links())
            .map(|peer| peer.member.address.clone())
            .collect();
        addresses.append(&mut self.unaware);
        addresses.extend(self.seeds.iter().filter(|seed| self.unknown(seed)).cloned());
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Fills in a beat to an address.
    pub fn fill_heartbeat(&mut self, now: Moment, address: &str, beat: &mut Heartbeat) {
        beat.sender = self.me.clone();
        beat.member_digest = self.digest;
        let Some(at) = self
            .peers
            .iter()
            .position(|peer| peer.member.address == address && !peer.member.gone)
        else {
            beat.members = self.cards(now, true);
            return;
        };
        let same = self.peers[at].digest == self.digest;
        self.peers[at].differs = if same { 0 } else { self.peers[at].differs + 1 };
        if same {
            // Whoever knows the same cards knows this one.
            beat.sender = Member {
                incarnation: self.me.incarnation,
                epoch: self.me.epoch,
                ..Member::default()
            };
        } else {
            let all = self.peers[at].differs > PATIENCE;
            beat.members = self.cards(now, all);
        }
        if self.sends_summaries {
            beat.summaries = self.summaries_for(&self.peers[at]);
        }
    }

    /// Mates hear of all zones; other zones' delegates hear of this one, with
    /// its demand, which whoever is in charge of orders needs.
    fn summaries_for(&self, peer: &Peer) -> Vec<ZoneSummary> {
        if peer.member.zone != self.me.zone {
            let own = self
                .summaries
                .iter()
                .filter(|summary| summary.zone == self.me.zone);
            return own.cloned().collect();
        }
        let brief = |summary: &ZoneSummary| ZoneSummary {
            demands: Vec::new(),
            ..summary.clone()
        };
        self.summaries.iter().map(brief).collect()
    }

    /// Fills in the texts of a card that the sender left out; false when this
    /// host does not know the sender.
    pub fn restore_sender(&self, beat: &mut Heartbeat) -> bool {
        if !beat.sender.address.is_empty() {
            return true;
        }
        let Some(at) = self.find(Incarnation(beat.sender.incarnation)) else {
            return false;
        };
        let known = &self.peers[at].member;
        beat.sender = Member {
            epoch: beat.sender.epoch,
            gone: beat.sender.gone,
            ..known.clone()
        };
        true
    }

    /// Takes a beat in.
    pub fn on_heartbeat(&mut self, now: Moment, beat: &Heartbeat) {
        for card in beat.members.iter().chain(std::iter::once(&beat.sender)) {
            self.learn(now, card);
        }
        self.replace_former(now, &beat.sender);
        if let Some(at) = self.find(Incarnation(beat.sender.incarnation)) {
            self.note_unaware(at);
            let peer = &mut self.peers[at];
            peer.last_heartbeat = Some(now);
            peer.version = beat.version;
            peer.digest = beat.member_digest;
        }
        for summary in &beat.summaries {
            self.note(summary);
        }
        self.digest = self.compute_digest();
    }

    /// Version in force here, for the zone's summary.
    pub fn set_config_version(&mut self, version: u64) {
        self.version = version;
    }

    /// Demand for this zone's runners, for the zone's summary.
    pub fn set_demands(&mut self, demands: Vec<Demand>) {
        self.demands = demands;
    }

    /// Hash over the members; changes when they do.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Says that this process leaves.
    pub fn announce_leave(&mut self) {
        self.me.gone = true;
        self.me.epoch += 1;
        self.next = Moment::default();
        self.digest = self.compute_digest();
    }

    /// Every peer that is not gone.
    pub fn live_peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.iter().filter(|peer| !peer.member.gone)
    }

    /// Live peers of this zone.
    pub fn zone_peers(&self) -> impl Iterator<Item = &Peer> {
        self.live_peers().filter(|peer| peer.member.zone == self.me.zone)
    }

    /// All cards, gone ones too.
    pub fn all_members(&self) -> Vec<Member> {
        self.peers.iter().map(|peer| peer.member.clone()).collect()
    }

    /// What zones said of themselves.
    pub fn summaries(&self) -> &[ZoneSummary] {
        &self.summaries
    }

    /// Rank of this process for an item among the zone's live hosts; 0 first.
    pub fn zone_rank(&self, item: &str) -> usize {
        let item = id::digest(item.as_bytes());
        let mine = id::rendezvous_weight(item, self.me.incarnation);
        self.zone_peers()
            .filter(|peer| id::rendezvous_weight(item, peer.member.incarnation) > mine)
            .count()
    }

    /// Whether this process is among the first few delegates for an item;
    /// they hear the other zones first-hand.
    pub fn is_leading_delegate(&self, item: &str, count: usize) -> bool {
        let item = id::digest(item.as_bytes());
        let mine = id::rendezvous_weight(item, self.me.incarnation);
        let stronger = |peer: &&Peer| id::rendezvous_weight(item, peer.member.incarnation) > mine;
        let is_delegate = |peer: &&Peer| self.rank_abroad(peer) < DELEGATES_PER_ZONE;
        self.is_delegate() && self.live_peers().filter(stronger).filter(is_delegate).count() < count
    }

    /// The zone mates that own an item, strongest first.
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

    /// This process's place among all live ones, by incarnation.
    pub fn member_index(&self) -> usize {
        let before = |peer: &&Peer| peer.member.incarnation < self.me.incarnation;
        self.live_peers().filter(before).count()
    }

    /// The other zones and the addresses of their delegates, first ones first.
    pub fn delegates(&self) -> Vec<(String, Vec<String>)> {
        let abroad = self.live_peers().filter(|peer| peer.member.zone != self.me.zone);
        let mut ranked: Vec<(&str, usize, &str)> = abroad
            .map(|peer| {
                (
                    peer.member.zone.as_str(),
                    self.rank_abroad(peer),
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
        self.zone_rank(&self.me.zone) < DELEGATES_PER_ZONE
    }

    /// Delegates of the other zones, if this process is one of its own.
    fn links(&self) -> impl Iterator<Item = &Peer> {
        let is_delegate = self.is_delegate();
        self.live_peers()
            .filter(move |peer| is_delegate && peer.member.zone != self.me.zone)
            .filter(|peer| self.rank_abroad(peer) < DELEGATES_PER_ZONE)
    }

    /// Rank of a peer for speaking, among the hosts of its zone.
    fn rank_abroad(&self, peer: &Peer) -> usize {
        let item = id::digest(peer.member.zone.as_bytes());
        let weight = id::rendezvous_weight(item, peer.member.incarnation);
        let me =
            peer.member.zone == self.me.zone && id::rendezvous_weight(item, self.me.incarnation) > weight;
        usize::from(me)
            + self
                .live_peers()
                .filter(|other| other.member.zone == peer.member.zone)
                .filter(|other| id::rendezvous_weight(item, other.member.incarnation) > weight)
                .count()
    }

    fn learn(&mut self, now: Moment, card: &Member) {
        if card.incarnation == self.me.incarnation {
            // Believed dead after a pause: refute it, or nobody would beat
            // here and this host would fall behind.
            if card.gone && !self.me.gone && card.epoch >= self.me.epoch {
                self.me.epoch = card.epoch + 1;
            }
            return;
        }
        match self
            .peers
            .binary_search_by(|peer| peer.member.incarnation.cmp(&card.incarnation))
        {
            Ok(at) => {
                let peer = &mut self.peers[at];
                let newer = card.epoch > peer.member.epoch;
                if newer || (card.epoch == peer.member.epoch && card.gone && !peer.member.gone) {
                    peer.member = card.clone();
                    peer.changed = now;
                }
            }
            Err(at) => self.peers.insert(
                at,
                Peer {
                    member: card.clone(),
                    version: 0,
                    last_heartbeat: Some(now),
                    changed: now,
                    digest: 0,
                    differs: 0,
                },
            ),
        }
    }

    /// A peer that is believed gone beats: it was frozen or cut off and does
    /// not know. Without an answer that holds its card it would never learn,
    /// and stay a host that nobody tells anything.
    fn note_unaware(&mut self, at: usize) {
        let card = &self.peers[at].member;
        if card.gone && !self.unaware.contains(&card.address) {
            self.unaware.push(card.address.clone());
        }
    }

    /// A new process at a known address: its former self is gone. Only a
    /// direct heartbeat counts, as hearsay may be about the former self.
    fn replace_former(&mut self, now: Moment, card: &Member) {
        if card.gone {
            return;
        }
        let former = self.peers.iter_mut().filter(|peer| {
            !peer.member.gone
                && peer.member.address == card.address
                && peer.member.incarnation != card.incarnation
        });
        for peer in former {
            peer.member.gone = true;
            peer.changed = now;
        }
    }

    fn expire(&mut self, now: Moment) {
        let zone = self.me.zone.clone();
        for peer in self.peers.iter_mut().filter(|peer| !peer.member.gone) {
            let silent = peer
                .last_heartbeat
                .is_none_or(|heard| now.since(heard) >= FAILURE_TIMEOUT);
            if silent && peer.member.zone == zone {
                peer.member.gone = true;
                peer.changed = now;
            }
        }
        self.peers
            .retain(|peer| !(peer.member.gone && now.since(peer.changed) >= GONE_RETENTION));
        self.digest = self.compute_digest();
    }

    fn summarize(&mut self, now: Moment) {
        let lowest = self
            .zone_peers()
            .map(|peer| peer.version)
            .min()
            .unwrap_or(self.version);
        let summary = ZoneSummary {
            zone: self.me.zone.clone(),
            version: lowest.min(self.version),
            hosts: self.zone_peers().count() as u32 + u32::from(!self.me.gone),
            timestamp_ms: now.wall_ms,
            demands: self.demands.clone(),
        };
        self.note(&summary);
    }

    fn note(&mut self, summary: &ZoneSummary) {
        match self
            .summaries
            .binary_search_by(|have| have.zone.cmp(&summary.zone))
        {
            Ok(at) if self.summaries[at].timestamp_ms < summary.timestamp_ms => {
                self.summaries[at] = summary.clone()
            }
            Ok(_) => {}
            Err(at) => self.summaries.insert(at, summary.clone()),
        }
    }

    fn cards(&self, now: Moment, all: bool) -> Vec<Member> {
        self.peers
            .iter()
            .filter(|peer| all || now.since(peer.changed) < RECENT)
            .map(|peer| peer.member.clone())
            .collect()
    }

    fn unknown(&self, seed: &str) -> bool {
        seed != self.me.address && !self.live_peers().any(|peer| peer.member.address == seed)
    }

    fn find(&self, incarnation: Incarnation) -> Option<usize> {
        self.peers
            .binary_search_by(|peer| peer.member.incarnation.cmp(&incarnation.0))
            .ok()
    }

    fn compute_digest(&self) -> u64 {
        let of =
            |card: &Member| id::rendezvous_weight(card.incarnation, card.epoch * 2 + u64::from(card.gone));
        self.peers
            .iter()
            .map(|peer| of(&peer.member))
            .fold(of(&self.me), |sum, one| sum.wrapping_add(one))
    }
}
