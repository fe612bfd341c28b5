//! Sending and hearing what hosts have on runners, over UDP.
//!
//! Nothing is decided by these packets but which of several good runners gets a
//! request, and when a host asks for changes, so it needs no acknowledgement.

use std::sync::Arc;

use prost::Message;
use radishstair_core::gate::gossip::{self, Packet};
use tokio::net::UdpSocket;

use super::Shared;

/// Most bytes of one datagram; loads of 1,500 runners fit in.
const DATAGRAM: usize = 48 * 1024;

/// Sends and hears until the process ends.
pub async fn run(shared: Arc<Shared>, socket: UdpSocket) {
    let socket = Arc::new(socket);
    tokio::spawn(hear(shared.clone(), socket.clone()));
    let mut number = 0;
    let mut idle = false;
    loop {
        number += 1;
        let (mut packet, pause) = {
            let now = shared.now();
            let mut state = shared.state();
            (
                state.packet(now, shared.me, number),
                gossip::interval(state.hosts),
            )
        };
        if number % gossip::RECORD_EVERY == 0 {
            // Writing text and numbers as JSON cannot fail.
            packet.record = serde_json::to_vec(&shared.record(false)).unwrap_or_default();
        }
        // That nothing runs any more is said once.
        let says_more = !packet.record.is_empty() || !packet.holders.is_empty();
        if !packet.loads.is_empty() || says_more || !idle {
            idle = packet.loads.is_empty();
            send(&shared, &socket, &packet).await;
        }
        // What was found is told at once, and does not put the next packet off.
        let next = tokio::time::sleep(pause);
        tokio::pin!(next);
        loop {
            tokio::select! {
                () = &mut next => break,
                () = shared.found.notified() => send(&shared, &socket, &nudge(&shared)).await,
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

async fn send(shared: &Shared, socket: &UdpSocket, packet: &Packet) {
    let bytes = packet.encode_to_vec();
    let own = shared.settings.load().peer_listen;
    for peer in shared.peers.load().iter().filter(|peer| **peer != own) {
        // The next one says it again.
        let _ = socket.send_to(&bytes, *peer).await;
    }
}

async fn hear(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut bytes = vec![0; DATAGRAM];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut bytes).await else {
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
            shared.state().hear(now, shared.me, packet);
        }
    }
}
