//! Calls of the platform's store, counted.

use std::time::Duration;

use radishstair_core::store::{Answer, Call};

use super::Shared;
use super::adapter::StoreResponse;
use super::client::{Client, Outcome, Timeouts};

/// Keys of a page that are asked for.
pub const LIMIT: u32 = 500;
/// Longest wait for a write to the store.
pub const WRITE: Duration = Duration::from_millis(800);

/// Timeouts of a transfer whose size is not known beforehand: it goes on while bytes come,
/// up to a total far above what a megabyte takes over a slow link.
pub const TRANSFER: Timeouts = Timeouts {
    head: Duration::from_millis(1_200),
    idle: Duration::from_millis(1_200),
    total: Duration::from_secs(12),
};

/// Asks the store within a time limit and counts what came of it.
pub async fn send(shared: &Shared, client: &Client, call: &Call, limit: Duration) -> StoreResponse {
    send_with(shared, client, call, Timeouts::within(limit)).await
}

/// The same with other timeouts.
pub async fn send_with(shared: &Shared, client: &Client, call: &Call, timeouts: Timeouts) -> StoreResponse {
    let asked = shared.now();
    let address = shared.settings.load().store;
    let request = shared.adapter.store_request(call);
    let unanswered = |answer| StoreResponse {
        answer,
        has_more: false,
        store_revision: 0,
    };
    let (page, bytes) = match client.send_with(address, request, timeouts).await {
        Outcome::Response(status, body) => (
            shared.adapter.parse_store_response(call, status, &body),
            body.len(),
        ),
        Outcome::NotSent => (unanswered(Answer::Refused), 0),
        Outcome::Lost { received } => (unanswered(Answer::Lost), received),
    };
    let took = shared.now().since(asked);
    shared.metrics.observe_call(call.name(), bytes, took);
    if matches!(page.answer, Answer::Refused | Answer::Lost) {
        tracing::warn!(
            event = "store-call-failed",
            call = call.name(),
            outcome = page.answer.outcome(),
            bytes,
            took_ms = took.as_millis() as u64
        );
    }
    if !matches!(page.answer, Answer::Refused | Answer::Lost) {
        shared.state().store_contact.renew(asked);
    }
    shared
        .metrics
        .count_platform_call(call.name(), page.answer.outcome());
    page
}
