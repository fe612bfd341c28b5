//! Calls to the platform's store, with metrics and logging.

use std::time::Duration;

use radishstair_core::store::{Answer, Call};

use super::Shared;
use super::adapter::StoreResponse;
use super::client::{Client, Outcome, Timeouts};

/// Number of keys requested for one page of a listing.
pub const PAGE_LIMIT: u32 = 500;
/// Time limit for a write to the store.
pub const WRITE_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeouts of a transfer of unknown size: it continues while bytes arrive, up to a total
/// far above the time that a megabyte takes over a slow link.
pub const TRANSFER_TIMEOUTS: Timeouts = Timeouts {
    head: Duration::from_millis(1_200),
    idle: Duration::from_millis(1_200),
    total: Duration::from_secs(12),
};

/// Sends a call to the store with one time limit, and records its outcome.
pub async fn send(shared: &Shared, client: &Client, call: &Call, time_limit: Duration) -> StoreResponse {
    send_with(shared, client, call, Timeouts::all(time_limit)).await
}

/// Sends a call to the store with the given timeouts, and records its outcome.
pub async fn send_with(shared: &Shared, client: &Client, call: &Call, timeouts: Timeouts) -> StoreResponse {
    let sent_at = shared.now();
    let address = shared.settings.load().store;
    let request = shared.adapter.store_request(call);
    let without_response = |answer| StoreResponse {
        answer,
        has_more: false,
        store_revision: 0,
    };
    let (response, bytes) = match client.send_with(address, request, timeouts).await {
        Outcome::Response(status, body) => (
            shared.adapter.parse_store_response(call, status, &body),
            body.len(),
        ),
        Outcome::NotSent => (without_response(Answer::Refused), 0),
        Outcome::Lost { received } => (without_response(Answer::Lost), received),
    };
    let took = shared.now().since(sent_at);
    shared.metrics.observe_call(call.name(), bytes, took);
    if matches!(response.answer, Answer::Refused | Answer::Lost) {
        tracing::warn!(
            event = "store-call-failed",
            call = call.name(),
            outcome = response.answer.outcome(),
            bytes,
            took_ms = took.as_millis() as u64
        );
    }
    if !matches!(response.answer, Answer::Refused | Answer::Lost) {
        shared.state().store_contact.renew(sent_at);
    }
    shared
        .metrics
        .count_platform_call(call.name(), response.answer.outcome());
    response
}
