//! Messages to peers over gRPC: heartbeats, configuration, usage and forwarded
//! calls.
//!
//! Runs on a thread of its own. Each message is sent once and may be lost; the
//! kernel repeats those that have to arrive.

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
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit of unanswered heartbeats to one peer; further ones are dropped, as newer
/// ones follow.
const MAX_HEARTBEATS_IN_FLIGHT: usize = 2;

/// A message to a peer's address.
#[derive(Debug)]
pub enum Message {
    /// Sends a heartbeat.
    Heartbeat(String, Box<Heartbeat>),
    /// Requests the configuration.
    Pull(String, Pull),
    /// Requests usage records.
    Collect(String, Collect),
}

/// Sends messages until the channel is closed.
pub async fn run_sender(
    handle: Arc<Handle>,
    dialer: Arc<Dialer>,
    mut messages: mpsc::UnboundedReceiver<Message>,
) {
    while let Some(message) = messages.recv().await {
        let handle = handle.clone();
        let dialer = dialer.clone();
        match message {
            Message::Heartbeat(address, heartbeat) => {
                let Some((channel, in_flight)) = dialer.channel(&address) else {
                    continue;
                };
                // Bounds the memory used for a peer that does not answer.
                if Arc::strong_count(&in_flight) > 2 + MAX_HEARTBEATS_IN_FLIGHT {
                    continue;
                }
                handle
                    .metrics
                    .heartbeat_bytes
                    .inc_by(heartbeat.encoded_len() as u64);
                let mut client = dialer.client_on(channel);
                tokio::spawn(async move {
                    let _in_flight = in_flight;
                    await_answer(client.heartbeat(*heartbeat)).await;
                });
            }
            Message::Pull(address, pull) => {
                let Some(mut client) = dialer.client(&address) else {
                    continue;
                };
                tokio::spawn(async move {
                    if let Some(pulled) = await_answer(client.pull(pull)).await {
                        handle.notify(Event::Pulled(pulled));
                    }
                });
            }
            Message::Collect(address, collect) => {
                let Some(mut client) = dialer.client(&address) else {
                    continue;
                };
                tokio::spawn(async move {
                    if let Some(collected) = await_answer(client.collect(collect)).await {
                        handle.notify(Event::Collected(collected));
                    }
                });
            }
        }
    }
}

async fn await_answer<T>(call: impl Future<Output = Result<Response<T>, Status>>) -> Option<T> {
    let answered = tokio::time::timeout(ANSWER_TIMEOUT, call).await.ok()?;
    answered.ok().map(Response::into_inner)
}
