//! Calls of the platform's store, counted.

use std::time::Duration;

use radishstair_core::store::{Answer, Call};

use super::Shared;
use super::dialect::Page;
use super::store::{Asked, Asker, Patience};

/// Keys of a page that are asked for.
pub const LIMIT: u32 = 500;
/// Longest wait for a write to the store.
pub const WRITE: Duration = Duration::from_millis(800);

/// How an answer is waited for whose size is not known beforehand: only its silence and
/// a bound far above the time of a megabyte on a thin link end it.
pub const LONG: Patience = Patience {
    head: Duration::from_millis(1_200),
    silence: Duration::from_millis(1_200),
    whole: Duration::from_secs(12),
};

/// Asks the store within a time limit and counts what came of it.
pub async fn ask(shared: &Shared, asker: &Asker, call: &Call, limit: Duration) -> Page {
    ask_patiently(shared, asker, call, Patience::within(limit)).await
}

/// The same, as long as the answer goes on coming.
pub async fn ask_patiently(shared: &Shared, asker: &Asker, call: &Call, patience: Patience) -> Page {
    let asked = shared.now();
    let address = shared.settings.load().store;
    let request = shared.dialect.call(call);
    let unanswered = |answer| Page {
        answer,
        more: false,
        revision: 0,
    };
    let (page, bytes) = match asker.ask_patiently(address, request, patience).await {
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
        shared.state().store_answered.renew(asked);
    }
    shared.metrics.platform_call(call.name(), page.answer.outcome());
    page
}
