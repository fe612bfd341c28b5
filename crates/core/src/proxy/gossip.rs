//! Load reports between hosts.
//!
//! Each host sends its load on each runner to the hosts of its zone, several times a second. A packet
//! replaces the host's previous one, so a lost datagram costs one interval. A host that goes
//! silent is dropped with its loads, as its requests have ended with it. Between two packets, a host sends its
//! zone the [changes](update). Other zones get some of the packets as well, or a [summary] of the zone
//! where that is newer.

use std::time::Duration;

use super::fleet::{self, Fleet};
use crate::id::{Incarnation, digest};
use crate::time::Moment;

pub mod datagram;
mod message;
pub mod summary;
pub mod update;

pub use message::{CachedPrefix, HoldOff, Load, Packet, PrefillRate, RateLimit};
use update::Update;

/// Time between packets if there are few hosts.
pub const INTERVAL: Duration = Duration::from_millis(200);
/// Number of hosts up to which that interval holds. With more it grows in proportion, so that a
/// host receives at most 50 datagrams a second.
const FULL_RATE_HOSTS: u32 = 10;
/// One in this many packets is sent to other zones as well, if there are more than
/// [`FULL_RATE_HOSTS`] hosts.
const CROSS_ZONE_EVERY: u64 = 4;
/// One in this many packets to other zones includes the usage record, if there are more than
/// [`FULL_RATE_HOSTS`] hosts.
const CROSS_ZONE_RECORD_EVERY: u64 = 3;
/// One in this many packets includes the usage record.
const RECORD_EVERY: u64 = 5;
/// Intervals without a packet after which a zone may be cut off.
const ZONE_SILENCE_INTERVALS: u32 = 3;
/// Intervals without a packet after which a host's loads are dropped, and the time that this takes at most.
/// Zones of up to 300 hosts send a packet in a shorter time.
const HOST_SILENCE_INTERVALS: u32 = 8;
const MAX_HOST_SILENCE: Duration = Duration::from_secs(10);
/// Maximum number of hosts that are known, silent ones included, as a multiple of the hosts. Each
/// restart of a host adds one.
const MAX_KNOWN_FACTOR: usize = 2;
/// Time after which a zone is overdue, beyond the times that its summaries announce: a lost datagram,
/// and one that waits at a delegate.
const SUMMARY_MARGIN: Duration = Duration::from_millis(500);

/// Time between packets for this number of hosts.
pub fn interval(hosts: u32) -> Duration {
    INTERVAL * hosts.div_ceil(FULL_RATE_HOSTS).max(1)
}

/// Time between packets within a zone of `near` hosts, including the sender.
///
/// Most requests of a zone stay in it, so the load of its own hosts has to be recent. With
/// hundreds of hosts, sending to all of them equally often made reports seconds old.
pub fn zone_interval(near: u32, hosts: u32) -> Duration {
    interval(near.min(hosts))
}

/// Whether the packet with this sequence number is sent to other zones as well.
pub fn is_cross_zone(sequence: u64, hosts: u32) -> bool {
    hosts <= FULL_RATE_HOSTS || sequence.is_multiple_of(CROSS_ZONE_EVERY)
}

/// Whether the packet with this sequence number includes the usage record when it is sent to
/// other zones.
pub fn has_record_cross_zone(sequence: u64, hosts: u32) -> bool {
    match hosts <= FULL_RATE_HOSTS {
        true => has_record(sequence),
        false => sequence.is_multiple_of(CROSS_ZONE_EVERY * CROSS_ZONE_RECORD_EVERY),
    }
}

/// Whether a zone of `near` hosts sends summaries to other zones, instead of each host some of its
/// packets. The more hosts a zone has, the less often each of them may send. Single reports place
/// requests better while they are newer than a summary can be.
pub fn uses_summaries(near: u32) -> bool {
    interval(near) * CROSS_ZONE_EVERY as u32 > summary::MAX_PAUSE
}

/// Whether the packet with this sequence number includes the usage record.
pub fn has_record(sequence: u64) -> bool {
    sequence.is_multiple_of(RECORD_EVERY)
}

#[derive(Clone, Debug)]
struct Peer {
    received: Moment,
    packet: Packet,
    /// Order of the last update that was applied.
    updated: (u64, u32),
}

/// Latest packet of each other host.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: Vec<Peer>,
}

impl Peers {
    /// Adds a packet and updates the fleet's load.
    pub fn receive(&mut self, now: Moment, me: Incarnation, packet: Packet, fleet: &mut Fleet, hosts: u32) {
        if packet.incarnation == me.0 {
            return;
        }
        let next = match packet.summary {
            true => Duration::from_millis(packet.next_ms.into()) * ZONE_SILENCE_INTERVALS + SUMMARY_MARGIN,
            false => interval(hosts) * ZONE_SILENCE_INTERVALS,
        };
        fleet.record_zone_contact(now, &packet.zone, next);
        let found = self
            .peers
            .binary_search_by_key(&packet.incarnation, |peer| peer.packet.incarnation);
        let peer = Peer {
            received: now,
            updated: (packet.sequence, 0),
            packet,
        };
        match found {
            Ok(at) if !peer.packet.summary && self.peers[at].packet.sequence >= peer.packet.sequence => {
                return;
            }
            Ok(at) => self.peers[at] = peer,
            Err(at) => self.peers.insert(at, peer),
        }
        self.drop_silent(now, hosts);
        self.apply_loads(fleet);
    }

    /// Applies a change of another host's load. One that arrives after a later report or update is
    /// ignored, and so is one from a host that has not sent a report yet.
    pub fn update(&mut self, now: Moment, update: Update, fleet: &mut Fleet) {
        let found = self
            .peers
            .binary_search_by_key(&update.incarnation, |peer| peer.packet.incarnation);
        let Ok(at) = found else {
            return;
        };
        let peer = &mut self.peers[at];
        if update.order() <= peer.updated {
            return;
        }
        peer.updated = update.order();
        peer.received = now;
        for load in update.loads {
            let loads = &mut peer.packet.loads;
            let known = loads.iter_mut().find(|known| known.runner == load.runner);
            let previous = match known {
                Some(known) => std::mem::replace(known, load),
                None => {
                    loads.push(load);
                    Load {
                        runner: load.runner,
                        ..Load::default()
                    }
                }
            };
            fleet.change_peer_load(load.runner, previous.into(), load.into());
        }
    }

    /// Adds what the other hosts of a zone have reported to a summary of the zone.
    pub fn add_to(&self, now: Moment, summary: &mut Packet) {
        let zone = summary.zone.clone();
        let is_of_zone = |peer: &&Peer| !peer.packet.summary && peer.packet.zone == zone;
        for peer in self.peers.iter().filter(is_of_zone) {
            summary::add(summary, &peer.packet);
            summary::add_limits(summary, &peer.packet.limits, now.since(peer.received));
        }
    }

    /// Prefill work that the other hosts send to a service.
    pub fn prefill_rate(&self, service: &str) -> PrefillRate {
        let service = digest(service.as_bytes());
        let rates = self.peers.iter().flat_map(|peer| &peer.packet.prefill_rates);
        let of_service = rates.filter(|rate| rate.service == service);
        of_service.fold(
            PrefillRate {
                service,
                total_us: 0,
                long_us: 0,
            },
            |sum, rate| sum.plus(rate),
        )
    }

    /// Drops the loads of hosts that have gone silent.
    ///
    /// A host without requests is silent as well, so the last ones stay known: their next updates
    /// arrive before a report.
    fn drop_silent(&mut self, now: Moment, hosts: u32) {
        let limit = (interval(hosts) * HOST_SILENCE_INTERVALS).min(MAX_HOST_SILENCE);
        let is_silent = |peer: &Peer| now.since(peer.received) >= limit;
        self.peers
            .retain(|peer| !(peer.packet.summary && is_silent(peer)));
        for peer in self.peers.iter_mut().filter(|peer| is_silent(peer)) {
            peer.packet.loads.clear();
            peer.packet.prefill_rates.clear();
            peer.packet.limits.clear();
        }
        let max_known = hosts.max(1) as usize * MAX_KNOWN_FACTOR;
        if self.peers.len() > max_known {
            let mut received: Vec<Moment> = self.peers.iter().map(|peer| peer.received).collect();
            received.sort_unstable();
            let oldest = received[received.len() - max_known];
            self.peers
                .retain(|peer| peer.received >= oldest || !is_silent(peer));
        }
    }

    fn apply_loads(&self, fleet: &mut Fleet) {
        let mut loads: Vec<Load> = self
            .peers
            .iter()
            .flat_map(|peer| peer.packet.loads.iter().copied())
            .collect();
        loads.sort_unstable_by_key(|load| load.runner);
        fleet.set_peer_loads(|hash| {
            let from = loads.partition_point(|load| load.runner < hash);
            let of_runner = loads[from..].iter().take_while(|load| load.runner == hash);
            of_runner.fold(fleet::Load::default(), |sum, load| sum.plus((*load).into()))
        });
    }
}

/// Builds this host's load report.
pub fn packet(me: Incarnation, sequence: u64, fleet: &Fleet, rates: Vec<PrefillRate>) -> Packet {
    let loads = fleet
        .runners()
        .filter(|(_, runner)| runner.local_load != fleet::Load::default())
        .map(|(_, runner)| Load::of(runner));
    Packet {
        incarnation: me.0,
        sequence,
        loads: loads.collect(),
        prefill_rates: rates,
        record: Vec::new(),
        prefixes: Vec::new(),
        zone: fleet.zone.clone(),
        ..Packet::default()
    }
}

/// Length of the window over which a host measures its rate, in milliseconds.
const RATE_WINDOW_MS: u64 = 2_000;
/// Number of buckets in that window.
const BUCKETS: u64 = 8;

/// Rate of prefill work that this host sends to each service.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    services: Vec<(u64, Vec<Bucket>)>,
}

/// Prefill work in one bucket, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    index: u64,
    all: u64,
    long: u64,
}

impl Meter {
    /// Adds prefill work that was sent, in microseconds.
    pub fn add(&mut self, now: Moment, service: &str, prefill_us: u64, is_long: bool) {
        let service = digest(service.as_bytes());
        let at = match self.services.binary_search_by_key(&service, |(have, _)| *have) {
            Ok(at) => at,
            Err(at) => {
                self.services.insert(at, (service, Vec::new()));
                at
            }
        };
        let index = bucket_index(now);
        let buckets = &mut self.services[at].1;
        buckets.retain(|bucket| bucket.index + BUCKETS > index);
        if buckets.last().is_none_or(|bucket| bucket.index != index) {
            buckets.push(Bucket {
                index,
                ..Bucket::default()
            });
        }
        if let Some(bucket) = buckets.last_mut() {
            bucket.all += prefill_us;
            bucket.long += if is_long { prefill_us } else { 0 };
        }
    }

    /// Current rate for each service.
    pub fn rates(&self, now: Moment) -> Vec<PrefillRate> {
        let oldest = (bucket_index(now) + 1).saturating_sub(BUCKETS);
        let rates = self.services.iter().map(|(service, buckets)| {
            let recent = buckets.iter().filter(|bucket| bucket.index >= oldest);
            let (all, long) = recent.fold((0, 0), |(all, long), bucket| {
                (all + bucket.all, long + bucket.long)
            });
            PrefillRate {
                service: *service,
                total_us: all * 1_000 / RATE_WINDOW_MS,
                long_us: long * 1_000 / RATE_WINDOW_MS,
            }
        });
        rates.collect()
    }
}

fn bucket_index(now: Moment) -> u64 {
    now.mono_us / 1_000 / (RATE_WINDOW_MS / BUCKETS)
}
