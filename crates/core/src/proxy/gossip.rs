//! Load on runners as the hosts tell each other.
//!
//! Each host sends what it has on each runner, several times a second, to all
//! others. A packet replaces what it said before; a lost datagram costs one
//! interval. A host that falls silent is forgotten, as its requests end with it.

use std::time::Duration;

use prost::Message;

use super::fleet::{self, Fleet};
use crate::id::{Incarnation, digest};
use crate::time::Moment;

/// Time between packets where few hosts talk.
pub const INTERVAL: Duration = Duration::from_millis(200);
/// Hosts up to which the interval is kept; with more it slows down in proportion, so
/// that a host hears no more than 50 datagrams a second.
const FEW: u32 = 10;
/// Packets of which one goes to other zones as well, where there are more hosts.
const FAR_EVERY: u64 = 4;
/// Packets between two usage records.
const RECORD_EVERY: u64 = 5;
/// Packets to other zones between two usage records.
const RECORD_EVERY_FAR: u64 = 3;
/// Intervals after which a zone from whose hosts nothing comes may be cut off.
const QUIET: u32 = 3;
/// Intervals after which a silent host is forgotten.
const SILENT: u32 = 8;

/// What one host has on one runner.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Load {
    /// Hash of the runner's id.
    #[prost(fixed64, tag = "1")]
    pub runner: u64,
    /// Requests that run or wait there.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Time that it has yet to read, in microseconds.
    #[prost(uint64, tag = "5")]
    pub prefill_us: u64,
    /// Tokens that its requests hold in memory at their end.
    #[prost(uint64, tag = "4")]
    pub kv_tokens: u64,
}

/// Work that one host sends to a service.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Flow {
    /// Hash of the service's name.
    #[prost(fixed64, tag = "1")]
    pub service: u64,
    /// Reading time of the last seconds, in microseconds a second.
    #[prost(uint64, tag = "3")]
    pub rate: u64,
    /// Part of it for long prompts.
    #[prost(uint64, tag = "4")]
    pub long: u64,
}

impl Flow {
    /// Both together.
    pub fn plus(self, other: &Flow) -> Self {
        Self {
            service: self.service,
            rate: self.rate + other.rate,
            long: self.long + other.long,
        }
    }
}

/// A runner that reads the beginning of prompts about a subject.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct CachedPrefix {
    /// Id of the part that the prompts share.
    #[prost(fixed64, tag = "1")]
    pub prefix: u64,
    /// Hash of the runner's id.
    #[prost(fixed64, tag = "2")]
    pub runner: u64,
}

/// What one host has on all runners.
#[derive(Clone, PartialEq, Message)]
pub struct Packet {
    /// Who says it.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Rises with each; an older one that comes late says nothing.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Runners on which it has anything.
    #[prost(message, repeated, tag = "3")]
    pub loads: Vec<Load>,
    /// What it sends to each service.
    #[prost(message, repeated, tag = "5")]
    pub flows: Vec<Flow>,
    /// Its usage record, in some of its packets.
    #[prost(bytes = "vec", tag = "4")]
    pub record: Vec<u8>,
    /// Long beginnings that it has sent since its last packet, and where.
    #[prost(message, repeated, tag = "7")]
    pub prefixes: Vec<CachedPrefix>,
    /// Availability zone of the sender.
    #[prost(string, tag = "8")]
    pub zone: String,
    /// Says only that the sender has just read something new in the store.
    #[prost(bool, tag = "6")]
    pub change_hint: bool,
    /// Beside a nudge: version of the operator's document that the sender has.
    #[prost(uint64, tag = "9")]
    pub document_version: u64,
    /// Bandwidth of the sender's link, in Mbit/s.
    #[prost(uint32, tag = "10")]
    pub link_mbps: u32,
}

/// Time between packets among `hosts`.
pub fn interval(hosts: u32) -> Duration {
    INTERVAL * hosts.div_ceil(FEW).max(1)
}

/// Time between the packets of a host that has so many others in its zone, itself included.
///
/// Most of a zone's requests stay there, so it is the zone's own load that has to be known
/// well. With hundreds of hosts, telling all of them alike made news seconds old.
pub fn zone_interval(near: u32, hosts: u32) -> Duration {
    interval(near.min(hosts))
}

/// Whether the packet of this number goes to the hosts of other zones as well.
pub fn is_cross_zone(number: u64, hosts: u32) -> bool {
    hosts <= FEW || number.is_multiple_of(FAR_EVERY)
}

/// Whether the packet of this number carries the usage record.
pub fn has_record(number: u64) -> bool {
    number.is_multiple_of(RECORD_EVERY)
}

/// The same of a packet that goes to other zones.
pub fn has_record_cross_zone(number: u64, hosts: u32) -> bool {
    match hosts <= FEW {
        true => has_record(number),
        false => number.is_multiple_of(FAR_EVERY * RECORD_EVERY_FAR),
    }
}

#[derive(Clone, Debug)]
struct Peer {
    heard: Moment,
    packet: Packet,
}

/// What all other hosts said last.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: Vec<Peer>,
}

impl Peers {
    /// Takes a packet in.
    pub fn receive(&mut self, now: Moment, me: Incarnation, packet: Packet, fleet: &mut Fleet, hosts: u32) {
        if packet.incarnation == me.0 {
            return;
        }
        fleet.record_zone_contact(now, &packet.zone, interval(hosts) * QUIET);
        let found = self
            .peers
            .binary_search_by_key(&packet.incarnation, |peer| peer.packet.incarnation);
        match found {
            Ok(at) if self.peers[at].packet.sequence >= packet.sequence => return,
            Ok(at) => self.peers[at] = Peer { heard: now, packet },
            Err(at) => self.peers.insert(at, Peer { heard: now, packet }),
        }
        self.forget(now, hosts);
        self.sum(fleet);
    }

    /// Work that the other hosts send to a service.
    pub fn flow(&self, service: &str) -> Flow {
        let service = digest(service.as_bytes());
        let flows = self.peers.iter().flat_map(|peer| &peer.packet.flows);
        let own = flows.filter(|flow| flow.service == service);
        own.fold(
            Flow {
                service,
                rate: 0,
                long: 0,
            },
            |sum, flow| sum.plus(flow),
        )
    }

    /// Forgets hosts that fell silent.
    fn forget(&mut self, now: Moment, hosts: u32) {
        let limit = interval(hosts) * SILENT;
        self.peers.retain(|peer| now.since(peer.heard) < limit);
    }

    fn sum(&self, fleet: &mut Fleet) {
        let mut loads: Vec<Load> = self
            .peers
            .iter()
            .flat_map(|peer| peer.packet.loads.iter().copied())
            .collect();
        loads.sort_unstable_by_key(|load| load.runner);
        fleet.set_peer_loads(|hash| {
            let from = loads.partition_point(|load| load.runner < hash);
            let own = loads[from..].iter().take_while(|load| load.runner == hash);
            own.fold(fleet::Load::default(), |sum, load| fleet::Load {
                running: sum.running + load.running,
                prefill_us: sum.prefill_us + load.prefill_us,
                kv_tokens: sum.kv_tokens + load.kv_tokens,
            })
        });
    }
}

/// What this host tells.
pub fn packet(me: Incarnation, number: u64, fleet: &Fleet, flows: Vec<Flow>) -> Packet {
    let loads = fleet
        .runners()
        .filter(|(_, runner)| runner.local_load.running > 0)
        .map(|(_, runner)| Load {
            runner: runner.hash,
            running: runner.local_load.running,
            prefill_us: runner.local_load.prefill_us,
            kv_tokens: runner.local_load.kv_tokens,
        });
    Packet {
        incarnation: me.0,
        sequence: number,
        loads: loads.collect(),
        flows,
        record: Vec::new(),
        prefixes: Vec::new(),
        zone: fleet.zone.clone(),
        change_hint: false,
        document_version: 0,
        link_mbps: 0,
    }
}

/// Span over which a host measures what it sends.
const SPAN_MS: u64 = 2_000;
/// Parts of the span.
const PARTS: u64 = 8;

/// What this host sends to each service.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    services: Vec<(u64, Vec<Sum>)>,
}

/// Work of one part of the span, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    part: u64,
    all: u64,
    long: u64,
}

impl Meter {
    /// Counts work that was sent, in microseconds of reading.
    pub fn add(&mut self, now: Moment, service: &str, work: u64, is_long: bool) {
        let service = digest(service.as_bytes());
        let at = match self.services.binary_search_by_key(&service, |(have, _)| *have) {
            Ok(at) => at,
            Err(at) => {
                self.services.insert(at, (service, Vec::new()));
                at
            }
        };
        let part = part(now);
        let sums = &mut self.services[at].1;
        sums.retain(|sum| sum.part + PARTS > part);
        if sums.last().is_none_or(|sum| sum.part != part) {
            sums.push(Sum {
                part,
                ..Sum::default()
            });
        }
        if let Some(sum) = sums.last_mut() {
            sum.all += work;
            sum.long += if is_long { work } else { 0 };
        }
    }

    /// Work a second by service.
    pub fn flows(&self, now: Moment) -> Vec<Flow> {
        let oldest = (part(now) + 1).saturating_sub(PARTS);
        let flows = self.services.iter().map(|(service, sums)| {
            let young = sums.iter().filter(|sum| sum.part >= oldest);
            let (all, long) = young.fold((0, 0), |(all, long), sum| (all + sum.all, long + sum.long));
            Flow {
                service: *service,
                rate: all * 1_000 / SPAN_MS,
                long: long * 1_000 / SPAN_MS,
            }
        });
        flows.collect()
    }
}

fn part(now: Moment) -> u64 {
    now.mono_us / 1_000 / (SPAN_MS / PARTS)
}
