//! Peers: heartbeats, configuration, usage and calls passed on, by gRPC.
//!
//! Runs on a thread of its own. Each message is sent once and may be lost;
//! what must arrive is repeated by the decisions, not here.

use std::sync::Arc;
use std::time::Duration;

use prost::Message as _;
use radishstair_core::kernel::Event;
use radishstair_core::peer::{Collect, Heartbeat, Pull};
use tokio::sync::mpsc;
use tonic::{Response, Status};

use crate::handle::Handle;

pub mod dialer;
pub mod serve;

pub use dialer::{Dialer, Token};

/// Longest wait for an answer to a control message.
const ANSWER: Duration = Duration::from_secs(2);
/// Heartbeats in the air to one peer; more are dropped, as newer ones follow.
const MAX_HEARTBEATS_IN_FLIGHT: usize = 2;

/// A message to a peer's address.
#[derive(Debug)]
pub enum Message {
    /// Heartbeat.
    Heartbeat(String, Box<Heartbeat>),
    /// Asks for configuration.
    Pull(String, Pull),
    /// Asks for usage.
    Collect(String, Collect),
}

/// Sends messages until the line is closed.
pub async fn send(handle: Arc<Handle>, dialer: Arc<Dialer>, mut messages: mpsc::UnboundedReceiver<Message>) {
    while let Some(message) = messages.recv().await {
        let handle = handle.clone();
        let dialer = dialer.clone();
        match message {
            Message::Heartbeat(address, beat) => {
                let Some((channel, in_flight)) = dialer.channel(&address) else {
                    continue;
                };
                // A frozen peer must not pile up messages here.
                if Arc::strong_count(&in_flight) > 2 + MAX_HEARTBEATS_IN_FLIGHT {
                    continue;
                }
                handle.metrics.heartbeat_bytes.inc_by(beat.encoded_len() as u64);
                let mut client = dialer.client_on(channel);
                tokio::spawn(async move {
                    let _in_air = in_flight;
                    answer(client.heartbeat(*beat)).await;
                });
            }
            Message::Pull(address, pull) => {
                let Some(mut client) = dialer.client(&address) else {
                    continue;
                };
                tokio::spawn(async move {
                    if let Some(pulled) = answer(client.pull(pull)).await {
                        handle.notify(Event::Pulled(pulled));
                    }
                });
            }
            Message::Collect(address, ask) => {
                let Some(mut client) = dialer.client(&address) else {
                    continue;
                };
                tokio::spawn(async move {
                    if let Some(collected) = answer(client.collect(ask)).await {
                        handle.notify(Event::Collected(collected));
                    }
                });
            }
        }
    }
}

async fn answer<T>(call: impl Future<Output = Result<Response<T>, Status>>) -> Option<T> {
    let answered = tokio::time::timeout(ANSWER, call).await.ok()?;
    answered.ok().map(Response::into_inner)
}
