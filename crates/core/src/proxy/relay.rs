//! Connections to runners that a peer opens for a host which has lost its path to a service.
//!
//! The peer relays bytes only. Admission, choice of the runner, attempts and budgets stay with the host that
//! took the request, and nothing of a request is sent before the peer has reached the runner. A peer
//! connects directly or not at all, so there is never a second hop.
//!
//! Each run of a host draws a secret and publishes its hash in its presence, which the store holds. Only the
//! hosts write presences, so whoever knows the secret of a present run is a host. What peers tell each
//! other of the store contains the hashes and no secret.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use super::State;
use super::fleet::{Key, Way};
use super::overload::Patience;
use super::placement::{Demand, Placement};
use super::reach::{Phase, Reach, Vouch};
use super::readers::Host;
use crate::id::{digest, rendezvous_weight};
use crate::time::Moment;

/// Time for which a peer that could not help is not asked again.
const PAUSE: Duration = Duration::from_secs(1);
/// Number of relayed connections that count as one step of a peer's load. Within a step, peers are chosen
/// at random: what they report is a moment old, and several hosts choose at the same time.
const LOAD_STEP: u32 = 8;
/// Number of steps by which a peer in this zone may be more loaded than one in another zone.
const ZONE_PREFERENCE: u32 = 2;

/// Secret of one run of a host, which it shows to the peers that connect for it.
#[derive(Clone, Copy)]
pub struct Secret([u8; 32]);

impl Secret {
    /// Secret with these random bytes.
    pub fn new(random: [u8; 32]) -> Self {
        Self(random)
    }

    /// Text that is sent to peers.
    pub fn to_text(self) -> String {
        hex::encode(self.0)
    }

    /// Hash of the secret, as published.
    pub fn hash(self) -> String {
        hash_of(&self.to_text())
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

fn hash_of(text: &str) -> String {
    hex::encode(Sha256::digest(text.as_bytes()))
}

/// Whether a text is the secret with this hash.
pub fn is_secret(text: &str, hash: &str) -> bool {
    !hash.is_empty() && bool::from(hash_of(text).as_bytes().ct_eq(hash.as_bytes()))
}

/// A host's choice of peers that connect for it.
#[derive(Clone, Debug, Default)]
pub struct Relays {
    /// Peers that could not help, and until when they are not asked.
    paused: Vec<(SocketAddr, Moment)>,
}

impl Relays {
    /// Does not use a peer for a while.
    pub fn pause(&mut self, now: Moment, peer: SocketAddr) {
        self.paused
            .retain(|(have, until)| *have != peer && !now.reached(*until));
        self.paused.push((peer, now + PAUSE));
    }

    fn is_paused(&self, now: Moment, peer: SocketAddr) -> bool {
        let mut paused = self.paused.iter();
        paused.any(|(have, until)| *have == peer && !now.reached(*until))
    }

    /// Peer that connects to a service's runners for this host, which is `own`; none of `tried`.
    ///
    /// Peers that report that they reach the service go first; those that have lost it are not asked.
    /// Of these, one of those with the fewest relayed connections is chosen, in this host's zone if they
    /// are not much more loaded.
    pub fn choose(
        &self,
        now: Moment,
        inputs: Inputs<'_>,
        tried: &[SocketAddr],
        random: u64,
    ) -> Option<SocketAddr> {
        let usable = inputs.hosts.iter().filter(|host| {
            host.address != inputs.own.address
                && !tried.contains(&host.address)
                && !self.is_paused(now, host.address)
        });
        let order = |host: &&Host| {
            let (vouch, relayed) = inputs.reach.vouch(now, host.address, inputs.service);
            let is_remote = host.zone != inputs.own.zone;
            let load = relayed / LOAD_STEP + if is_remote { ZONE_PREFERENCE } else { 0 };
            let draw = rendezvous_weight(random, digest(host.address.to_string().as_bytes()));
            (vouch, load, draw)
        };
        let best = usable.map(|host| (order(&host), host.address)).min()?;
        (best.0.0 != Vouch::Lost).then_some(best.1)
    }
}

/// What the choice of a peer depends on.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// Service of the runner.
    pub service: &'a str,
    /// This host.
    pub own: Host,
    /// All live hosts.
    pub hosts: &'a [Host],
    /// What the peers report.
    pub reach: &'a Reach,
}

/// Runners that a request was tried at.
#[derive(Clone, Copy, Debug)]
pub struct Tried<'a> {
    /// All of them.
    pub all: &'a [Key],
    /// Those that this host could not reach on its own path.
    pub unreached: &'a [Key],
}

impl State {
    /// Way on which a request to a service is sent now. While requests return to a path, their share
    /// grows with the time; `random` draws it.
    pub fn way(&self, now: Moment, service: &str, own: Host, hosts: &[Host], random: u64) -> Way {
        let is_direct = match self.reach.phase(service) {
            Phase::Direct => true,
            Phase::Lost { .. } => false,
            Phase::Returning { since } => self.reach.has_returned(now, since, random),
        };
        match is_direct || self.relay(now, service, own, hosts, &[], random).is_none() {
            true => Way::Direct,
            false => Way::Relayed,
        }
    }

    /// Chooses a runner on a way and counts the request there. If no runner is left on this host's own path,
    /// one is chosen that a peer may reach, if there `is_relayed` such a peer.
    ///
    /// Runners that were only tried directly, and have not got the request, may be tried through a peer.
    pub fn place_on_way(
        &mut self,
        now: Moment,
        demand: &mut Demand,
        tried: Tried<'_>,
        patience: Option<Patience>,
        is_relayed: impl FnOnce(&Self) -> bool,
    ) -> Placement {
        if demand.way == Way::Direct {
            let placement = self.place_in_time(now, demand, tried.all, patience);
            if placement != Placement::NoRunner || !is_relayed(self) {
                return placement;
            }
            demand.way = Way::Relayed;
        }
        let is_left = |key: &Key| !tried.unreached.contains(key);
        let tried: Vec<Key> = tried.all.iter().copied().filter(is_left).collect();
        self.place_in_time(now, demand, &tried, patience)
    }

    /// Peer that connects to a service's runners for this host, none of `tried`.
    pub fn relay(
        &self,
        now: Moment,
        service: &str,
        own: Host,
        hosts: &[Host],
        tried: &[SocketAddr],
        random: u64,
    ) -> Option<SocketAddr> {
        let inputs = Inputs {
            service,
            own,
            hosts,
            reach: &self.reach,
        };
        self.relays.choose(now, inputs, tried, random)
    }

    /// Runner to which this host may connect for a peer: one that it may use itself, at any rate.
    pub fn relay_target(&self, now: Moment, runner: &str) -> Option<(Key, SocketAddr)> {
        let key = self.fleet.find(runner)?;
        let runner = self.fleet.get(key)?;
        let is_usable =
            runner.is_available(now, Way::Direct) && runner.is_warm(now) && !runner.is_held_off(now);
        is_usable.then_some((key, runner.listed.address))
    }
}
