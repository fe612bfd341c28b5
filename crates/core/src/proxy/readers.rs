//! Choice of the hosts that read the store, and of the reader that each other host asks.
//!
//! Each call to the store has a cost, and hundreds of hosts that list hundreds of keys twice a
//! second would overload it. Only a few hosts read it, and all hosts with the same list of peers
//! choose the same ones: in each availability zone those with the fastest links, as a reader
//! transfers most of the updates. Each other host asks one reader, in its own zone if there is
//! one, for the age of its data and for the changes. There is no leader: a host whose peer does
//! not answer, or has no fresh data, reads the store itself, and a host that the store refuses
//! asks a peer.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use crate::id::{digest, rendezvous_weight};
use crate::time::Moment;

/// Minimum number of readers; a dead one may go unnoticed for seconds.
const MIN_READERS: usize = 2;
/// Number of delegates of a zone: while one is dead and still listed, the other goes on.
const DELEGATES: usize = 2;
/// Number of deputies in a zone: the store may turn away a third of the hosts.
const DEPUTIES: usize = 4;
/// Number of hosts per additional reader while their zones are unknown. A reader then answers 25
/// hosts in each round.
const HOSTS_PER_READER: usize = 24;
/// Time for which a host that could not help is not asked again.
const UNRESPONSIVE_PAUSE: Duration = Duration::from_secs(2);
/// Time for which a host whose data was too old is not asked again. It is due to read newer data at any
/// moment.
const OUTDATED_PAUSE: Duration = Duration::from_millis(300);
/// Maximum age, beyond a round of the readers, of a peer's data that is no newer than the data
/// known before.
const SAME_AGE_MARGIN: Duration = Duration::from_millis(150);
/// Maximum age, beyond a round of the readers, of a peer's data that is newer than the data known
/// before; a small host takes most of a second to list thousands of keys.
const NEW_AGE_MARGIN: Duration = Duration::from_millis(700);

plain! {
    /// A live host.
    #[derive(Copy, Eq)]
    pub struct Host {
        /// Address for requests from peers.
        pub address: SocketAddr,
        /// Hash of the availability zone's name; 0 if unknown.
        pub zone: u64,
        /// Bandwidth of the host's link in Mbit/s; 0 if unknown.
        pub link_mbps: u32,
    }
}

impl Host {
    /// A host whose zone and bandwidth are not known yet.
    pub fn unlocated(address: SocketAddr) -> Self {
        Self {
            address,
            zone: 0,
            link_mbps: 0,
        }
    }
}

plain! {
    /// Where a host gets its updates from.
    #[derive(Copy, Eq)]
    pub enum Source {
        /// The store.
        Store,
        /// The peer at this address.
        Peer(SocketAddr),
    }
}

/// One host's choice of peers to ask.
#[derive(Clone, Debug, Default)]
pub struct Readers {
    paused: Vec<(SocketAddr, Moment)>,
}

/// Whether a peer's answer is recent enough to skip the store. `as_of` is the moment of its data,
/// `before` that of the data known before.
///
/// A peer that has lost the store keeps answering. When its answers were accepted by their age
/// alone, two more of them counted as fresh, and runners that had left got requests for 2.1 s.
///
/// The data of a peer is as old as the beginning of its listing. With thousands of keys a listing takes
/// `listing`, by which the peer's next data may be later.
pub fn is_recent(
    now: Moment,
    round_interval: Duration,
    listing: Duration,
    as_of: Moment,
    before: Option<Moment>,
) -> bool {
    let is_newer = before.is_none_or(|before| as_of.since(before) > Duration::ZERO);
    let margin = match is_newer {
        true => NEW_AGE_MARGIN,
        false => (SAME_AGE_MARGIN + listing).min(NEW_AGE_MARGIN),
    };
    now.since(as_of) < round_interval + margin
}

plain! {
    /// Use of a peer's complete answer.
    #[derive(Copy, Eq)]
    pub enum Use {
        /// It is applied, and the store need not be asked.
        Fresh,
        /// It is applied, but the store has to be asked for newer data.
        Newer,
        /// What is known is as new.
        Old,
    }
}

/// Use of a peer's answer, by the moment of its data and of the data known before.
///
/// While the store turns some hosts away, the data of all readers may be seconds old. If it were
/// dropped for that, a host would go on with a list that is older still, and send requests to
/// runners that have left.
pub fn use_of(
    now: Moment,
    round_interval: Duration,
    listing: Duration,
    as_of: Moment,
    before: Option<Moment>,
) -> Use {
    match before.is_none_or(|before| as_of.since(before) > Duration::ZERO) {
        _ if is_recent(now, round_interval, listing, as_of, before) => Use::Fresh,
        true => Use::Newer,
        false => Use::Old,
    }
}

impl Readers {
    /// Source to ask first. `hosts` are all live hosts, including `me`.
    pub fn preferred(&mut self, now: Moment, me: SocketAddr, hosts: &[Host]) -> Source {
        if is_reader(me, hosts) {
            return Source::Store;
        }
        self.nearest(now, me, hosts, &readers(hosts))
            .map_or(Source::Store, Source::Peer)
    }

    /// Any peer that is not paused, different for each host that asks.
    pub fn any_peer(&mut self, now: Moment, me: SocketAddr, hosts: &[Host]) -> Option<SocketAddr> {
        self.nearest(now, me, hosts, hosts)
    }

    /// Another peer that is not paused for each `draw`.
    pub fn random_peer(
        &mut self,
        now: Moment,
        me: SocketAddr,
        hosts: &[Host],
        draw: u32,
    ) -> Option<SocketAddr> {
        self.paused.retain(|(_, until)| !now.reached(*until));
        let is_paused = |host: &Host| self.paused.iter().any(|(have, _)| *have == host.address);
        let others = hosts.iter().filter(|host| host.address != me && !is_paused(host));
        let salt = rendezvous_weight(address_hash(&me), u64::from(draw));
        let peer = others.max_by_key(|host| rendezvous_weight(address_hash(&host.address), salt));
        peer.map(|host| host.address)
    }

    /// Deputy of this host's zone to ask, if no reader has fresh data.
    pub fn deputy(&mut self, now: Moment, me: SocketAddr, hosts: &[Host]) -> Option<SocketAddr> {
        let deputies = deputies(me, hosts);
        self.nearest(now, me, hosts, &deputies)
    }

    /// Peer to ask if the store does not answer: another reader, or else any host, as the store
    /// may refuse all readers while it serves other hosts.
    pub fn fallback(&mut self, now: Moment, me: SocketAddr, hosts: &[Host]) -> Option<SocketAddr> {
        let readers = readers(hosts);
        self.nearest(now, me, hosts, &readers)
            .or_else(|| self.nearest(now, me, hosts, hosts))
    }

    /// Pauses a host that did not answer or had nothing newer.
    pub fn mark_unresponsive(&mut self, now: Moment, host: SocketAddr) {
        self.pause(host, now + UNRESPONSIVE_PAUSE);
    }

    /// Pauses a host that has answered with data that is too old.
    pub fn mark_outdated(&mut self, now: Moment, host: SocketAddr) {
        self.pause(host, now + OUTDATED_PAUSE);
    }

    fn pause(&mut self, host: SocketAddr, until: Moment) {
        self.paused.retain(|(have, _)| *have != host);
        self.paused.push((host, until));
    }

    /// Host of `candidates` for this host by rendezvous hashing, in its own zone if there is one.
    fn nearest(
        &mut self,
        now: Moment,
        me: SocketAddr,
        hosts: &[Host],
        candidates: &[Host],
    ) -> Option<SocketAddr> {
        self.paused.retain(|(_, until)| !now.reached(*until));
        let own_hash = address_hash(&me);
        let zone = find(me, hosts).map_or(0, |host| host.zone);
        let is_paused = |host: &Host| self.paused.iter().any(|(have, _)| *have == host.address);
        let others = candidates
            .iter()
            .filter(|host| host.address != me && !is_paused(host));
        let nearest = others.max_by_key(|host| {
            (
                host.zone == zone,
                rendezvous_weight(address_hash(&host.address), own_hash),
            )
        });
        nearest.map(|host| host.address)
    }
}

/// Whether a host reads the store. A host that is not in the list of live hosts yet does.
pub fn is_reader(me: SocketAddr, hosts: &[Host]) -> bool {
    find(me, hosts).is_none() || find(me, &readers(hosts)).is_some()
}

/// The readers; the same on all hosts with the same list of live hosts.
pub fn readers(hosts: &[Host]) -> Vec<Host> {
    let count = reader_count(hosts);
    let key = |host: &Host| (host.zone, Reverse(host.link_mbps), address_hash(&host.address));
    let mut hosts: Vec<_> = hosts.iter().map(|host| (key(host), *host)).collect();
    hosts.sort_unstable_by_key(|(key, _)| *key);
    let mut ranked = Vec::with_capacity(hosts.len());
    for zone in hosts.chunk_by(|(_, one), (_, other)| one.zone == other.zone) {
        ranked.extend(zone.iter().enumerate());
    }
    ranked.sort_unstable_by_key(|(position, ((_, link, address_hash), _))| (*position, *link, *address_hash));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, (_, host))| *host).collect()
}

/// Number of readers: one in each zone, so that the data enters a zone once. Where there are more
/// zones than a small fleet needs readers, some zones have none.
fn reader_count(hosts: &[Host]) -> usize {
    let by_size = MIN_READERS + hosts.len() / HOSTS_PER_READER;
    let mut zones: Vec<u64> = hosts.iter().map(|host| host.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    match zones.first() {
        // Some zones are unknown, as after a start.
        None | Some(0) => by_size,
        Some(_) => zones.len().clamp(MIN_READERS, by_size),
    }
}

/// Hosts that read the store at once if no reader has fresh data, as when the store turns the readers
/// away: the next ones in this host's zone. The others wait for them as long as their list allows, so
/// that not all hosts read the store together.
pub fn deputies(me: SocketAddr, hosts: &[Host]) -> Vec<Host> {
    let zone = find(me, hosts).map_or(0, |host| host.zone);
    let readers = readers(hosts);
    let is_reader = |host: &Host| readers.iter().any(|reader| reader.address == host.address);
    let mut others: Vec<Host> = hosts.iter().filter(|host| host.zone == zone).copied().collect();
    others.retain(|host| !is_reader(host));
    others.sort_by_cached_key(|host| (Reverse(host.link_mbps), address_hash(&host.address)));
    others.truncate(DEPUTIES);
    others
}

/// Delegates of each zone that is known: the two hosts with the fastest links, best first, in order
/// of the zones.
pub fn delegates(hosts: &[Host]) -> Vec<Vec<Host>> {
    let mut located: Vec<Host> = hosts.iter().filter(|host| host.zone != 0).copied().collect();
    located.sort_by_cached_key(|host| (host.zone, Reverse(host.link_mbps), address_hash(&host.address)));
    let zones = located.chunk_by(|one, other| one.zone == other.zone);
    zones
        .map(|zone| zone.iter().take(DELEGATES).copied().collect())
        .collect()
}

fn find(address: SocketAddr, hosts: &[Host]) -> Option<&Host> {
    hosts.iter().find(|host| host.address == address)
}

fn address_hash(host: &SocketAddr) -> u64 {
    digest(host.to_string().as_bytes())
}
