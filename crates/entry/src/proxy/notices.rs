//! Log lines about what runners say about themselves.

use radishstair_core::proxy::fleet::notice::Changes;
use radishstair_core::proxy::fleet::{holdoff, rate};

use super::job::Job;

/// Logs what the notices in a runner's answer to a request have changed.
pub fn log(job: &Job, runner: &str, changes: &Changes) {
    if changes.has_begun_to_leave {
        tracing::info!(event = "runner-leaving", request = job.metadata.id, runner);
    }
    if let Some(max_rejections) = changes.brittle {
        let service = &job.admission.service;
        tracing::warn!(event = "runners-brittle", service, max_rejections);
    }
    if let Some(change) = changes.rate {
        log_rate(runner, change);
    }
    if let Some(change) = changes.hold_off {
        log_hold_off(&job.metadata.id, runner, change);
    }
}

fn log_rate(runner: &str, change: rate::Change) {
    match change {
        rate::Change::Begun(per_s) => tracing::warn!(event = "runner-limited", runner, per_s),
        rate::Change::Changed { from, to } => {
            tracing::info!(event = "runner-limited", runner, per_s = to, former = from);
        }
        rate::Change::Ended => tracing::warn!(event = "runner-limit-ended", runner),
        rate::Change::Malformed => tracing::warn!(event = "runner-limit-malformed", runner),
    }
}

fn log_hold_off(request: &str, runner: &str, change: holdoff::Change) {
    match change {
        holdoff::Change::Begun(length) => {
            tracing::warn!(
                event = "runner-hold-off",
                request,
                runner,
                wait_ms = length.as_millis() as u64
            );
        }
        holdoff::Change::Extended(length) => {
            tracing::info!(
                event = "runner-hold-off-extended",
                request,
                runner,
                wait_ms = length.as_millis() as u64
            );
        }
        holdoff::Change::Ended => tracing::info!(event = "runner-hold-off-ended", request, runner),
        holdoff::Change::Malformed => tracing::warn!(event = "runner-hold-off-malformed", request, runner),
    }
}
