//! Sending and hearing what hosts have on runners, over UDP.
//!
//! Nothing is decided by these packets but which of several good runners gets a
//! request, and when a host asks for changes, so it needs no acknowledgement.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use prost::Message;
use radishstair_core::gate::gossip::{self, Holder, Packet};
use tokio::net::UdpSocket;

use super::Shared;

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
    let mut number = 0;
    let mut idle = false;
    // What other zones were not told yet.
    let mut untold: Vec<Holder> = Vec::new();
    loop {
        number += 1;
        let beyond = far.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let now = shared.now();
        let (mut packet, hosts) = {
            let mut state = shared.state();
            (state.packet(now, shared.me, number), state.hosts)
        };
        // Writing text and numbers as JSON cannot fail.
        let record = || serde_json::to_vec(&shared.record(false)).unwrap_or_default();
        if gossip::has_record(number) {
            packet.record = record();
        }
        untold.extend(packet.holders.iter().copied());
        untold.truncate(UNTOLD);
        let is_far = |peer: &SocketAddr| beyond.binary_search(peer).is_ok();
        // That nothing runs any more is said once.
        let says_more = !packet.record.is_empty() || !packet.holders.is_empty();
        if !packet.loads.is_empty() || says_more || !idle {
            idle = packet.loads.is_empty();
            send(&shared, &socket, &packet, |peer| !is_far(peer)).await;
            if gossip::goes_far(number, hosts) {
                packet.holders = std::mem::take(&mut untold);
                packet.record.clear();
                if gossip::has_record_far(number, hosts) {
                    packet.record = record();
                }
                send(&shared, &socket, &packet, is_far).await;
            }
        }
        // What was found is told at once, and does not put the next packet off.
        let near = shared.peers.load().iter().filter(|peer| !is_far(peer)).count();
        let next = tokio::time::sleep(gossip::pause(near as u32, hosts));
        tokio::pin!(next);
        loop {
            tokio::select! {
                () = &mut next => break,
                () = shared.found.notified() => send(&shared, &socket, &nudge(&shared), |_| true).await,
            }
        }
    }
}

fn nudge(shared: &Shared) -> Packet {
    Packet {
        incarnation: shared.me.0,
        nudge: true,
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
                shared.nudged.notify_one();
                continue;
            }
            let now = shared.now();
            let mut state = shared.state();
            locate(&far, peer, packet.zone != state.fleet.zone);
            state.hear(now, shared.me, packet);
        }
    }
}
