//! Sending and hearing what hosts have on runners, over UDP.
//!
//! Nothing is decided by these packets but which of several good runners gets a
//! request, and when a host asks for changes, so it needs no acknowledgement.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use prost::Message;
use radishstair_core::id::digest;
use radishstair_core::proxy::gossip::{self, Holder, Packet};
use radishstair_core::proxy::share::Host;
use tokio::net::UdpSocket;

use super::{Shared, document};

/// Most bytes of one datagram; loads of 1,500 runners fit in.
const DATAGRAM: usize = 48 * 1024;

/// Most holders that are kept for other zones; more are told as they are used again.
const UNTOLD: usize = 1_024;

/// Peers of other zones, sorted, as far as they were heard.
type Far = Arc<Mutex<Vec<SocketAddr>>>;

/// Sends and hears until the process ends.
pub async fn run(shared: Arc<Shared>, socket: UdpSocket) {
    let socket = Arc::new(socket);
    let far = Far::default();
    tokio::spawn(hear(shared.clone(), socket.clone(), far.clone()));
    let mut teller = Teller {
        shared: shared.clone(),
        socket: socket.clone(),
        number: 0,
        near_knows_idle: false,
        far_knows_idle: false,
        untold: Vec::new(),
        told: Arc::default(),
    };
    loop {
        let beyond = far.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let pause = teller.tell(&beyond).await;
        // What was found is told at once, and does not put the next packet off.
        let next = tokio::time::sleep(pause);
        tokio::pin!(next);
        loop {
            tokio::select! {
                () = &mut next => break,
                () = shared.found.notified() => send(&shared, &socket, &nudge(&shared), |_| true).await,
            }
        }
    }
}

/// Tells the others, those of this zone more often.
struct Teller {
    shared: Arc<Shared>,
    socket: Arc<UdpSocket>,
    number: u64,
    /// Whether those of this zone were told that nothing runs; that is said once.
    near_knows_idle: bool,
    /// The same of other zones.
    far_knows_idle: bool,
    /// What other zones were not told yet.
    untold: Vec<Holder>,
    /// Peers that were told last.
    told: Arc<Vec<SocketAddr>>,
}

impl Teller {
    /// Sends what is due; the time until the next packet.
    async fn tell(&mut self, beyond: &[SocketAddr]) -> Duration {
        self.number += 1;
        let now = self.shared.now();
        let (mut packet, hosts) = {
            let mut state = self.shared.state();
            (state.packet(now, self.shared.me, self.number), state.hosts)
        };
        packet.link_mbps = self.shared.own_place().link_mbps;
        packet.record = self.record(gossip::has_record(self.number));
        self.announce_to_new_peers();
        self.untold.extend(packet.holders.iter().copied());
        self.untold.truncate(UNTOLD);
        let is_far = |peer: &SocketAddr| beyond.binary_search(peer).is_ok();
        if says_something(&packet) || !self.near_knows_idle {
            self.near_knows_idle = packet.loads.is_empty();
            send(&self.shared, &self.socket, &packet, |peer| !is_far(peer)).await;
        }
        if gossip::goes_far(self.number, hosts) {
            packet.holders = std::mem::take(&mut self.untold);
            packet.record = self.record(gossip::has_record_far(self.number, hosts));
            if says_something(&packet) || !self.far_knows_idle {
                self.far_knows_idle = packet.loads.is_empty();
                send(&self.shared, &self.socket, &packet, is_far).await;
            }
        }
        let peers = self.shared.peers.load();
        let near = peers.iter().filter(|peer| !is_far(peer)).count();
        gossip::pause(near as u32, hosts)
    }

    /// Makes the next packets go out though nothing runs here, if there are other peers
    /// than before: they do not know where this host is.
    fn announce_to_new_peers(&mut self) {
        let peers = self.shared.peers.load_full();
        if !Arc::ptr_eq(&peers, &self.told) && *peers != *self.told {
            self.near_knows_idle = false;
            self.far_knows_idle = false;
        }
        self.told = peers;
    }

    /// The usage record of this run, if it is due.
    fn record(&self, is_due: bool) -> Vec<u8> {
        if !is_due {
            return Vec::new();
        }
        // Writing text and numbers as JSON cannot fail.
        serde_json::to_vec(&self.shared.record(false)).unwrap_or_default()
    }
}

/// Whether a packet tells more than that nothing runs.
fn says_something(packet: &Packet) -> bool {
    !packet.loads.is_empty() || !packet.record.is_empty() || !packet.holders.is_empty()
}

fn nudge(shared: &Shared) -> Packet {
    Packet {
        incarnation: shared.me.0,
        nudge: true,
        document: shared.document().version(),
        ..Packet::default()
    }
}

async fn send(shared: &Shared, socket: &UdpSocket, packet: &Packet, to: impl Fn(&SocketAddr) -> bool) {
    let bytes = packet.encode_to_vec();
    let own = shared.settings.load().peer_listen;
    let peers = shared.peers.load();
    for peer in peers.iter().filter(|peer| **peer != own && to(peer)) {
        // The next one says it again.
        let _ = socket.send_to(&bytes, *peer).await;
    }
}

/// Keeps in mind in which zone a peer is.
fn locate(far: &Far, peer: SocketAddr, is_far: bool) {
    let mut far = far.lock().unwrap_or_else(PoisonError::into_inner);
    match (far.binary_search(&peer), is_far) {
        (Err(at), true) => far.insert(at, peer),
        (Ok(at), false) => {
            far.remove(at);
        }
        _ => {}
    }
}

async fn hear(shared: Arc<Shared>, socket: Arc<UdpSocket>, far: Far) {
    let mut bytes = vec![0; DATAGRAM];
    loop {
        let Ok((length, peer)) = socket.recv_from(&mut bytes).await else {
            // A peer's closed port shows here; others may still send.
            tokio::task::yield_now().await;
            continue;
        };
        if let Ok(packet) = Packet::decode(&bytes[..length]) {
            if packet.nudge {
                document::hear_version(&shared, peer, packet.document);
                shared.nudged.notify_one();
                continue;
            }
            let now = shared.now();
            shared.locate(Host {
                address: peer,
                zone: digest(packet.zone.as_bytes()),
                link_mbps: packet.link_mbps,
            });
            let mut state = shared.state();
            locate(&far, peer, packet.zone != state.fleet.zone);
            state.hear(now, shared.me, packet);
        }
    }
}
