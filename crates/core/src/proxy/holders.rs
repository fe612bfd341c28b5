//! Choice of the hosts that keep something for all, by rendezvous hashing in each availability zone.

use std::net::SocketAddr;

use super::readers::Host;
use crate::id::{digest, rendezvous_weight};

/// Minimum and maximum number of hosts that are told; one in each zone between them.
const MIN_TOLD: usize = 4;
const MAX_TOLD: usize = 6;
/// Number of further hosts in each zone that are asked: one, as the host that told left itself out, and one
/// for a difference between the lists of live hosts.
const MARGIN: usize = 2;
/// Maximum number of hosts that are asked.
const MAX_ASKED: usize = 16;
/// Item by which the keepers are chosen.
const KEEPER: u64 = 0;

/// Hosts that are told about an item, of those that are alive without the one that tells.
pub fn told(item: u64, hosts: &[Host]) -> Vec<SocketAddr> {
    let ranked = ranked(item, hosts);
    let zones = ranked.iter().filter(|(position, _)| *position == 0).count();
    let told = ranked.iter().take(zones.clamp(MIN_TOLD, MAX_TOLD));
    told.map(|(_, address)| *address).collect()
}

/// Hosts that may have been told by a host with another view of who is alive.
pub fn possibly_told(item: u64, hosts: &[Host]) -> Vec<SocketAddr> {
    let ranked = ranked(item, hosts);
    let zones = ranked.iter().filter(|(position, _)| *position == 0).count();
    let positions = MIN_TOLD.div_ceil(zones.max(1)) + MARGIN;
    let asked = ranked.iter().filter(|(position, _)| *position < positions);
    asked.take(MAX_ASKED).map(|(_, address)| *address).collect()
}

/// Hosts that keep the versions of their zone's streams in the store, one in each zone, with one of its faster links.
pub fn keepers(hosts: &[Host]) -> Vec<SocketAddr> {
    let mut fastest: Vec<(u64, u32)> = hosts.iter().map(|host| (host.zone, host.link_mbps)).collect();
    fastest.sort_unstable_by(|one, other| other.cmp(one));
    fastest.dedup_by_key(|(zone, _)| *zone);
    let fastest = |zone: u64| {
        let at = fastest.binary_search_by(|(other, _)| zone.cmp(other));
        at.map_or(0, |at| fastest[at].1)
    };
    let is_fast = |host: &&Host| host.link_mbps.saturating_mul(2) >= fastest(host.zone);
    let fast: Vec<Host> = hosts.iter().filter(is_fast).copied().collect();
    let ranked = ranked(KEEPER, &fast);
    let first = ranked.iter().filter(|(position, _)| *position == 0);
    first.map(|(_, address)| *address).collect()
}

/// The one of them in the zone of a host.
pub fn keeper_for(own: SocketAddr, hosts: &[Host]) -> Option<SocketAddr> {
    let zone = hosts.iter().find(|host| host.address == own)?.zone;
    let of_zone: Vec<Host> = hosts.iter().filter(|host| host.zone == zone).copied().collect();
    keepers(&of_zone).first().copied()
}

/// All hosts in the order in which they hold an item, with their position in their zone: the first of each
/// zone before the second ones.
fn ranked(item: u64, hosts: &[Host]) -> Vec<(usize, SocketAddr)> {
    let weight = |host: &Host| rendezvous_weight(item, digest(host.address.to_string().as_bytes()));
    let mut weighted: Vec<(u64, u64, SocketAddr)> = hosts
        .iter()
        .map(|host| (host.zone, weight(host), host.address))
        .collect();
    weighted.sort_unstable();
    let mut ranked = Vec::with_capacity(weighted.len());
    for zone in weighted.chunk_by(|one, other| one.0 == other.0) {
        ranked.extend(zone.iter().rev().enumerate());
    }
    ranked.sort_unstable_by_key(|(position, (_, weight, _))| (*position, *weight));
    ranked
        .into_iter()
        .map(|(position, (_, _, address))| (position, *address))
        .collect()
}
