//! Calls of the platform's store, counted.

use std::time::Duration;

use radishstair_core::store::{Answer, Call};

use super::Shared;
use super::dialect::Page;
use super::store::{Asked, Asker, Timeouts};

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
pub async fn ask(shared: &Shared, asker: &Asker, call: &Call, limit: Duration) -> Page {
    ask_with(shared, asker, call, Timeouts::within(limit)).await
}

/// The same with other timeouts.
pub async fn ask_with(shared: &Shared, asker: &Asker, call: &Call, timeouts: Timeouts) -> Page {
    let asked = shared.now();
    let address = shared.settings.load().store;
    let request = shared.dialect.call(call);
    let unanswered = |answer| Page {
        answer,
        more: false,
        revision: 0,
    };
    let (page, bytes) = match asker.ask_with(address, request, timeouts).await {
        Asked::Answer(status, body) => (shared.dialect.answer(call, status, &body), body.len()),
        Asked::Never => (unanswered(Answer::Refused), 0),
        Asked::Lost { came } => (unanswered(Answer::Lost), came),
    };
    let took = shared.now().since(asked);
    shared.metrics.answered(call.name(), bytes, took);
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
    shared.metrics.platform_call(call.name(), page.answer.outcome());
    page
}
