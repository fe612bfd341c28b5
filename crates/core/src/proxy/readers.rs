//! Which hosts read the store, and whom the others ask.
//!
//! Each call to the store costs, and hundreds of hosts that all read hundreds of
//! keys twice a second would fill it. So a few hosts read, the same on every host
//! that knows the same peers: in each availability zone those with the fastest links,
//! as a reader moves most of what is new. Each other host asks one of them, of its own
//! zone if there is one, for the age of its proof and for what has changed. Nobody is in
//! charge: a host whose peer does not answer, or has no fresh proof, reads the store
//! itself, and one that the store turns away asks a peer.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use crate::id::{digest, rendezvous_weight};
use crate::time::Moment;

/// Hosts that read however few there are: one may die unseen for seconds.
const LEAST: usize = 2;
/// Other hosts for each further one that reads. A reader then answers 25 hosts
/// twice a second; at 410 hosts 19 read, 32 calls a second of two pages each.
const HOSTS: usize = 24;
/// How long a host that could not help is not asked again.
const REST: Duration = Duration::from_secs(2);
/// Age of what a peer knows up to which it helps, whatever it knew before: a host that
/// reads does so every 0.6 s.
const FRESH: Duration = Duration::from_millis(750);
/// The same where it has learnt something since it was asked last: reading thousands
/// of keys takes a small host most of a second.
const FRESH_ANEW: Duration = Duration::from_millis(1_300);

plain! {
    /// A host that lives, as others know it.
    #[derive(Copy, Eq)]
    pub struct Host {
        /// Where peers reach it.
        pub address: SocketAddr,
        /// Hash of its availability zone's name; 0 while that is not known.
        pub zone: u64,
        /// Bandwidth of its link, in Mbit/s; 0 while that is not known.
        pub link_mbps: u32,
    }
}

impl Host {
    /// A host that has not told yet where it is.
    pub fn unlocated(address: SocketAddr) -> Self {
        Self {
            address,
            zone: 0,
            link_mbps: 0,
        }
    }
}

plain! {
    /// Where a host learns what is new.
    #[derive(Copy, Eq)]
    pub enum Source {
        /// The store.
        Store,
        /// A peer.
        Peer(SocketAddr),
    }
}

/// One host's choice among its peers.
#[derive(Clone, Debug, Default)]
pub struct Readers {
    resting: Vec<(SocketAddr, Moment)>,
}

/// Whether a peer's word is good enough not to ask the store; `as_of` is the moment of
/// its knowledge, `before` that of what was known before.
///
/// A peer that the store no longer answers goes on answering others. By its age alone
/// its word was taken twice more, and runners that had left got requests for 2.1 s.
pub fn is_recent(now: Moment, as_of: Moment, before: Option<Moment>) -> bool {
    let anew = before.is_none_or(|before| as_of.since(before) > Duration::ZERO);
    now.since(as_of) < if anew { FRESH_ANEW } else { FRESH }
}

impl Readers {
    /// Where to look first. `hosts` are all that live, `me` among them.
    pub fn preferred(&mut self, now: Moment, me: SocketAddr, hosts: &[Host]) -> Source {
        if is_reader(me, hosts) {
            return Source::Store;
        }
        self.nearest(now, me, hosts, &readers(hosts))
            .map_or(Source::Store, Source::Peer)
    }

    /// Any host that is not resting, another one for each that asks.
    pub fn any_peer(&mut self, now: Moment, me: SocketAddr, hosts: &[Host]) -> Option<SocketAddr> {
        self.nearest(now, me, hosts, hosts)
    }

    /// Whom to ask when the store does not answer: another reader, else any host,
    /// as the store may turn away all that read and serve others.
    pub fn fallback(&mut self, now: Moment, me: SocketAddr, hosts: &[Host]) -> Option<SocketAddr> {
        let readers = readers(hosts);
        self.nearest(now, me, hosts, &readers)
            .or_else(|| self.nearest(now, me, hosts, hosts))
    }

    /// A host did not answer, or did not know more.
    pub fn mark_unresponsive(&mut self, now: Moment, host: SocketAddr) {
        self.resting.retain(|(have, _)| *have != host);
        self.resting.push((host, now + REST));
    }

    /// The host of `among` that serves this one, of its own zone if there is any.
    fn nearest(&mut self, now: Moment, me: SocketAddr, hosts: &[Host], among: &[Host]) -> Option<SocketAddr> {
        self.resting.retain(|(_, until)| !now.reached(*until));
        let own = rank(&me);
        let zone = find(me, hosts).map_or(0, |host| host.zone);
        let rests = |host: &Host| self.resting.iter().any(|(have, _)| *have == host.address);
        let others = among.iter().filter(|host| host.address != me && !rests(host));
        let nearest =
            others.max_by_key(|host| (host.zone == zone, rendezvous_weight(rank(&host.address), own)));
        nearest.map(|host| host.address)
    }
}

/// Whether a host reads the store; so does one that is not known to live yet.
pub fn is_reader(me: SocketAddr, hosts: &[Host]) -> bool {
    find(me, hosts).is_none() || find(me, &readers(hosts)).is_some()
}

/// The hosts that read, the same on every host that knows the same ones.
fn readers(hosts: &[Host]) -> Vec<Host> {
    let most = LEAST + hosts.len() / HOSTS;
    let key = |host: &Host| (host.zone, Reverse(host.link_mbps), rank(&host.address));
    let mut hosts: Vec<_> = hosts.iter().map(|host| (key(host), *host)).collect();
    hosts.sort_unstable_by_key(|(key, _)| *key);
    let mut placed = Vec::with_capacity(hosts.len());
    for zone in hosts.chunk_by(|(_, one), (_, other)| one.zone == other.zone) {
        placed.extend(zone.iter().enumerate());
    }
    placed.sort_unstable_by_key(|(place, ((_, link, rank), _))| (*place, *link, *rank));
    placed.truncate(most);
    placed.into_iter().map(|(_, (_, host))| *host).collect()
}

fn find(address: SocketAddr, hosts: &[Host]) -> Option<&Host> {
    hosts.iter().find(|host| host.address == address)
}

fn rank(host: &SocketAddr) -> u64 {
    digest(host.to_string().as_bytes())
}
