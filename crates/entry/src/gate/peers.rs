//! Sending and hearing what hosts have on runners, over UDP.
//!
//! Nothing is decided by this news but which of several good runners gets a
//! request, and when a host asks for changes, so it needs no acknowledgement.

use std::sync::Arc;

use prost::Message;
use radishstair_core::gate::load::{self, News};
use tokio::net::UdpSocket;

use super::Shared;

/// Most bytes of one datagram; news of 1,500 runners fit in.
const DATAGRAM: usize = 48 * 1024;

/// Sends and hears until the process ends.
pub async fn run(shared: Arc<Shared>, socket: UdpSocket) {
    let socket = Arc::new(socket);
    tokio::spawn(hear(shared.clone(), socket.clone()));
    let mut number = 0;
    let mut idle = false;
    loop {
        number += 1;
        let (mut news, pause) = {
            let now = shared.now();
            let mut state = shared.state();
            (state.news(now, shared.me, number), load::beat(state.hosts))
        };
        if number % load::RECORD_EVERY == 0 {
            // Writing text and numbers as JSON cannot fail.
            news.record = serde_json::to_vec(&shared.record(false)).unwrap_or_default();
        }
        // That nothing runs any more is said once.
        let says_more = !news.record.is_empty() || !news.readings.is_empty();
        if !news.rows.is_empty() || says_more || !idle {
            idle = news.rows.is_empty();
            send(&shared, &socket, &news).await;
        }
        // What was found is told at once, and does not put the next news off.
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

fn nudge(shared: &Shared) -> News {
    News {
        incarnation: shared.me.0,
        nudge: true,
        ..News::default()
    }
}

async fn send(shared: &Shared, socket: &UdpSocket, news: &News) {
    let bytes = news.encode_to_vec();
    let own = shared.settings.load().peer_listen;
    for peer in shared.peers.load().iter().filter(|peer| **peer != own) {
        // The next beat says it again.
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
        if let Ok(news) = News::decode(&bytes[..length]) {
            if news.nudge {
                shared.nudged.notify_one();
                continue;
            }
            let now = shared.now();
            shared.state().hear(now, shared.me, news);
        }
    }
}
